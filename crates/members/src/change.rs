//! Changes of the member list.

use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;

/// First list of a new installation: epoch 1 with `host` alone.
pub fn first_list(host: MemberHost) -> MemberList {
    MemberList { epoch: 1, hosts: vec![host], previous: Vec::new() }
}

/// Successor of `list`, or `None` when nothing changes.
///
/// A host that joins under a listed name replaces the listed one. Without a
/// join or removal, a joint list, which requires majorities of both `hosts` and
/// `previous`, is followed by one that requires a majority of `hosts` only.
pub fn next_list(
    list: &MemberList,
    joining: &[MemberHost],
    leaving: &[Box<str>],
) -> Option<MemberList> {
    let stays =
        |h: &&MemberHost| !leaving.contains(&h.host) && !joining.iter().any(|j| j.host == h.host);
    let mut hosts: Vec<MemberHost> = list.hosts.iter().filter(stays).cloned().collect();
    hosts.extend(joining.iter().cloned());
    hosts.sort_by(|a, b| a.host.cmp(&b.host));
    hosts.dedup_by(|a, b| a.host == b.host);
    let joint = !list.previous.is_empty() && list.previous != list.hosts;
    if hosts.is_empty() || (hosts == list.hosts && !joint) {
        return None;
    }
    Some(MemberList { epoch: list.epoch + 1, hosts, previous: list.hosts.clone() })
}
