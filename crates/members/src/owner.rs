//! Which host may send to a group.

use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;

use crate::rank::first;

/// Whether `host` owns the group `item` of `zone` under `lease`, for as long as
/// the lease lasts.
///
/// The lease and the list must be of the same epoch. Until the epoch is
/// settled, a host of the list before may still hold the right, so that the
/// host must own the group in both lists.
pub fn owns(list: &MemberList, lease: &QuorumLease, host: &str, item: &str, zone: &str) -> bool {
    if lease.remaining_ms == 0 || lease.epoch != list.epoch {
        return false;
    }
    let owner = |hosts: &[MemberHost]| {
        let up = |h: &MemberHost| !lease.down.contains(&h.host);
        first(hosts, item, Some(zone), up).is_some_and(|h| &*h.host == host)
    };
    owner(&list.hosts) && (lease.settled || owner(&list.previous))
}
