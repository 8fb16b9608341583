//! Rendezvous hashing: every host ranks the hosts for an item alike, and the
//! removal of a host moves only the items of that host.

use std::cmp::Reverse;

use chervil_base::digest::rendezvous_weight;
use chervil_rpc::agent::MemberHost;

/// Hosts by descending rendezvous weight for `item`. With a `zone`, the hosts
/// of that zone come before all others.
pub fn rank<'a>(hosts: &'a [MemberHost], item: &str, zone: Option<&str>) -> Vec<&'a MemberHost> {
    let mut order: Vec<&MemberHost> = hosts.iter().collect();
    order.sort_by_cached_key(|h| {
        let other_zone = zone.is_some_and(|z| z != &*h.zone);
        (other_zone, Reverse(rendezvous_weight(&h.host, item)), h.host.clone())
    });
    order
}

/// First host in the order of [`rank`] that `accept` returns true for.
pub fn highest_ranked<'a, F>(
    hosts: &'a [MemberHost],
    item: &str,
    zone: Option<&str>,
    accept: F,
) -> Option<&'a MemberHost>
where
    F: Fn(&MemberHost) -> bool,
{
    let accepted = hosts.iter().filter(|h| accept(h));
    accepted.min_by_key(|h| {
        let other_zone = zone.is_some_and(|z| z != &*h.zone);
        (other_zone, Reverse(rendezvous_weight(&h.host, item)), &h.host)
    })
}
