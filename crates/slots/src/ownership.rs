//! Which groups a host owns.

use chervil_base::HashSet;
use chervil_base::catalog::Catalog;
use chervil_base::catalog::Group;
use chervil_base::catalog::GroupKey;
use chervil_base::value;
use chervil_members::rank;
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
        /// probably warm and may still run that host's work.
        pub takeover: bool,
    }
}

/// Groups that `host` owns under a member list and a quorum lease.
///
/// A group gained by a change of the member list is owned only once the lease
/// has settled on the new epoch; a group lost is not owned at once.
pub fn owned_groups(
    host: &str,
    catalog: &Catalog,
    members: &MemberList,
    lease: &QuorumLease,
) -> Vec<OwnedGroup> {
    // The lease rests on a member list that this host has not seen yet, which
    // may have given any group to another host.
    if lease.epoch > members.epoch {
        return Vec::new();
    }
    let down: HashSet<&str> = lease.down.iter().map(|h| &**h).collect();
    let settled = lease.settled && lease.epoch == members.epoch;
    let owns = |group: &Group, hosts: &[MemberHost]| {
        let zone = &*catalog.zones[group.zone].name;
        let first = rank::first(hosts, &group.name, Some(zone), |h| !down.contains(&*h.host));
        first.is_some_and(|h| &*h.host == host)
    };
    let groups = catalog.groups.iter();
    let owned =
        groups.filter(|(_, g)| owns(g, &members.hosts) && (settled || owns(g, &members.previous)));
    owned
        .map(|(group, g)| OwnedGroup { group, takeover: !is_first(host, catalog, members, g) })
        .collect()
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
    rank::first(hosts, &group.name, zone, |h| &*h.host != host && up(&h.host))
}

/// Whether no other host can have owned the group before, as far as the member
/// list tells.
fn is_first(host: &str, catalog: &Catalog, members: &MemberList, group: &Group) -> bool {
    let zone = &*catalog.zones[group.zone].name;
    let first = |hosts: &[MemberHost]| {
        rank::first(hosts, &group.name, Some(zone), |_| true).is_none_or(|h| &*h.host == host)
    };
    first(&members.hosts) && first(&members.previous)
}
