//! What the host's own entry and gate see of the system.

use std::sync::Arc;

use chervil_base::catalog::CatalogSpec;
use chervil_base::value;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::View;

value! {
    /// State that the views of one sequence number are made of.
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
    /// View for an asker that holds the catalog of `revision`.
    pub(crate) fn view(&self, revision: u64) -> View {
        let known = revision != 0 && revision == self.catalog.revision;
        View {
            sequence: self.sequence,
            host: self.host.clone(),
            members: (*self.members).clone(),
            hosts: self.hosts.clone(),
            catalog: (!known).then(|| (*self.catalog).clone()),
            ready: self.ready,
        }
    }

    /// Whether both show the same, apart from their sequence numbers.
    pub(crate) fn same(&self, other: &ViewState) -> bool {
        self.ready == other.ready
            && self.catalog.revision == other.catalog.revision
            && self.members.epoch == other.members.epoch
            && self.hosts == other.hosts
    }
}
