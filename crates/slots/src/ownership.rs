//! Which groups a host owns.

use chervil_base::catalog::Catalog;
use chervil_base::catalog::Group;
use chervil_base::catalog::GroupKey;
use chervil_base::value;
use chervil_members::owner::Ownership;
use chervil_members::rendezvous;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;

value! {
    /// A group that the host owns.
    #[derive(Copy, Eq)]
    pub struct OwnedGroup {
        /// Key in the catalog.
        pub group: GroupKey,
        /// Whether another host owned it before, so that its servers are
        /// probably warm.
        pub takeover: bool,
        /// Whether that host may still run work on them, as it did not release
        /// them.
        pub shared: bool,
    }
}

/// Groups that `host` owns under a member list and a quorum lease.
///
/// A group gained by a change of the member list is owned only once the lease
/// has settled on the new epoch; until then, the host keeps what it holds (by
/// group name) if the list before gives it that, too. A lost group stops
/// being owned at once. `leaving` tells hosts that stop on purpose, which hand over without
/// running work.
pub fn owned_groups<H, F>(
    host: &str,
    catalog: &Catalog,
    members: &MemberList,
    lease: &QuorumLease,
    held: H,
    leaving: F,
) -> Vec<OwnedGroup>
where
    H: Fn(&str) -> bool,
    F: Fn(&str) -> bool,
{
    // A lease on another list may have given any group to another host.
    let Some(ownership) = Ownership::new(members, lease) else {
        return Vec::new();
    };
    let owned = catalog.groups.iter().filter(|(_, g)| {
        let zone = &*catalog.zones[g.zone].name;
        ownership.is_owner(host, &g.name, zone) && (ownership.is_settled() || held(&g.name))
    });
    let owned = owned.map(|(group, g)| {
        let takeover = former(host, catalog, members, g, |_| true);
        let shared = former(host, catalog, members, g, |h| !leaving(h));
        OwnedGroup { group, takeover, shared }
    });
    owned.collect()
}

/// Host that owns a group after `host`: the first other one for which `up` is
/// true.
pub fn successor<'a, F>(
    host: &str,
    catalog: &Catalog,
    hosts: &'a [MemberHost],
    group: &Group,
    up: F,
) -> Option<&'a MemberHost>
where
    F: Fn(&str) -> bool,
{
    let zone = catalog.zones.get(group.zone).map(|z| &*z.name);
    rendezvous::highest_ranked(hosts, &group.name, zone, |h| &*h.host != host && up(&h.host))
}

/// Whether another host for which `accept` is true may have owned the group
/// before, as far as the member list tells.
fn former<F>(host: &str, catalog: &Catalog, members: &MemberList, group: &Group, accept: F) -> bool
where
    F: Fn(&str) -> bool,
{
    let zone = &*catalog.zones[group.zone].name;
    let another = |hosts: &[MemberHost]| {
        let first = rendezvous::highest_ranked(hosts, &group.name, Some(zone), |h| {
            &*h.host == host || accept(&h.host)
        });
        first.is_some_and(|h| &*h.host != host)
    };
    another(&members.hosts) || another(&members.previous)
}
