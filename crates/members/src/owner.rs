//! Ownership of groups: which host may send work to a group.

use chervil_base::HashSet;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;

use crate::rendezvous::highest_ranked;

/// Ownership of groups under a member list and a quorum lease.
#[derive(Clone, Debug)]
pub struct Ownership<'a> {
    list: &'a MemberList,
    settled: bool,
    down: HashSet<&'a str>,
}

impl<'a> Ownership<'a> {
    /// Ownership under `lease`; `None` if the lease has another epoch than
    /// `list`.
    pub fn new(list: &'a MemberList, lease: &'a QuorumLease) -> Option<Ownership<'a>> {
        let down = lease.down.iter().map(|h| &**h).collect();
        let settled = lease.settled;
        (lease.epoch == list.epoch).then_some(Ownership { list, settled, down })
    }

    /// Whether a majority has held the list for [`QUORUM_LEASE`](crate::QUORUM_LEASE).
    pub fn is_settled(&self) -> bool {
        self.settled
    }

    /// Whether `host` owns the group `item` of `zone`.
    ///
    /// Until the list has settled, a host of the previous list may still own
    /// the group, so `host` must be its owner under both lists.
    pub fn is_owner(&self, host: &str, item: &str, zone: &str) -> bool {
        let owner = |hosts: &[MemberHost]| {
            let up = |h: &MemberHost| !self.down.contains(&*h.host);
            highest_ranked(hosts, item, Some(zone), up).is_some_and(|h| &*h.host == host)
        };
        owner(&self.list.hosts) && (self.settled || owner(&self.list.previous))
    }
}

/// Whether `host` owns the group `item` of `zone` for as long as `lease` lasts.
/// An expired lease owns nothing.
pub fn owns(list: &MemberList, lease: &QuorumLease, host: &str, item: &str, zone: &str) -> bool {
    let ownership = Ownership::new(list, lease).filter(|_| lease.remaining_ms > 0);
    ownership.is_some_and(|o| o.is_owner(host, item, zone))
}
