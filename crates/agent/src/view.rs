//! Views of the installation for the host's own entry and gate.

use std::sync::Arc;

use chervil_base::catalog::CatalogSpec;
use chervil_base::value;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::View;

value! {
    /// State from which the views with one sequence number are made.
    #[derive(Default)]
    pub(crate) struct ViewState {
        pub(crate) sequence: u64,
        pub(crate) host: Box<str>,
        pub(crate) members: Arc<MemberList>,
        pub(crate) hosts: Vec<Member>,
        pub(crate) catalog: Arc<CatalogSpec>,
        pub(crate) ready: bool,
    }
}

impl ViewState {
    /// View for a client that holds the catalog of `revision`, 0 for none.
    pub(crate) fn view(&self, revision: u64) -> View {
        let client_has_it = revision != 0 && revision == self.catalog.revision;
        View {
            sequence: self.sequence,
            host: self.host.clone(),
            members: (*self.members).clone(),
            hosts: self.hosts.clone(),
            catalog: (!client_has_it).then(|| (*self.catalog).clone()),
            ready: self.ready,
        }
    }

    /// Whether both are equal apart from their sequence numbers. Catalogs and
    /// member lists are compared by revision and epoch.
    pub(crate) fn same_content(&self, other: &ViewState) -> bool {
        self.ready == other.ready
            && self.catalog.revision == other.catalog.revision
            && self.members.epoch == other.members.epoch
            && self.hosts == other.hosts
    }
}
