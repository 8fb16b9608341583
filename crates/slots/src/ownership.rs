//! Ownership of groups of backend servers by hosts.

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
    /// An ownership group that the host owns.
    #[derive(Copy, Eq)]
    pub struct OwnedGroup {
        /// Key in the catalog.
        pub group: GroupKey,
        /// Whether another host probably owned it before, so that its servers
        /// are probably warm.
        pub takeover: bool,
        /// Whether a former owner did not hand the group over, so that its work
        /// may still be running.
        pub unreleased: bool,
    }
}

/// Returns the groups that `host` owns under a member list and a quorum lease;
/// none if the lease belongs to another epoch than the list.
///
/// A group that the host gains by a change of the member list is owned only after
/// the lease has settled on the new epoch. Until then, the host keeps the groups
/// for which `is_held` returns true for the group name, provided that the previous
/// list assigns them to it, too. A group that the host loses stops being owned at
/// once.
///
/// `is_leaving` returns true for hosts in a planned shutdown, which hand over their
/// groups after their work has ended.
pub fn owned_groups<H, F>(
    host: &str,
    catalog: &Catalog,
    members: &MemberList,
    lease: &QuorumLease,
    is_held: H,
    is_leaving: F,
) -> Vec<OwnedGroup>
where
    H: Fn(&str) -> bool,
    F: Fn(&str) -> bool,
{
    // Under a lease for another list, any group may belong to another host.
    let Some(ownership) = Ownership::new(members, lease) else {
        return Vec::new();
    };
    let owned = catalog.groups.iter().filter(|(_, g)| {
        let zone = &*catalog.zones[g.zone].name;
        ownership.is_owner(host, &g.name, zone) && (ownership.is_settled() || is_held(&g.name))
    });
    let owned = owned.map(|(group, g)| {
        let takeover = has_former_owner(host, catalog, members, g, |_| true);
        let unreleased = has_former_owner(host, catalog, members, g, |h| !is_leaving(h));
        OwnedGroup { group, takeover, unreleased }
    });
    owned.collect()
}

/// Returns the host that takes over a group when `host` loses it: the first other
/// host in rendezvous order for which `is_up` returns true.
pub fn successor<'a, F>(
    host: &str,
    catalog: &Catalog,
    hosts: &'a [MemberHost],
    group: &Group,
    is_up: F,
) -> Option<&'a MemberHost>
where
    F: Fn(&str) -> bool,
{
    let zone = catalog.zones.get(group.zone).map(|z| &*z.name);
    rendezvous::highest_ranked(hosts, &group.name, zone, |h| &*h.host != host && is_up(&h.host))
}

/// Whether another host for which `accept` returns true may have owned the group
/// before, according to the current and the previous member list.
fn has_former_owner<F>(
    host: &str,
    catalog: &Catalog,
    members: &MemberList,
    group: &Group,
    accept: F,
) -> bool
where
    F: Fn(&str) -> bool,
{
    let zone = &*catalog.zones[group.zone].name;
    let other_owner = |hosts: &[MemberHost]| {
        let first = rendezvous::highest_ranked(hosts, &group.name, Some(zone), |h| {
            &*h.host == host || accept(&h.host)
        });
        first.is_some_and(|h| &*h.host != host)
    };
    other_owner(&members.hosts) || other_owner(&members.previous)
}
