//! Rendezvous order of hosts.

use std::cmp::Reverse;

use chervil_base::digest::rendezvous_weight;
use chervil_rpc::agent::MemberHost;

/// Hosts in rendezvous order for `item`; hosts of `zone` come before the rest.
pub fn rank<'a>(hosts: &'a [MemberHost], item: &str, zone: Option<&str>) -> Vec<&'a MemberHost> {
    let mut order: Vec<&MemberHost> = hosts.iter().collect();
    order.sort_by_cached_key(|h| {
        let distant = zone.is_some_and(|z| z != &*h.zone);
        (distant, Reverse(rendezvous_weight(&h.host, item)), h.host.clone())
    });
    order
}

/// First host in rendezvous order for which `accept` is true.
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
        let distant = zone.is_some_and(|z| z != &*h.zone);
        (distant, Reverse(rendezvous_weight(&h.host, item)), &h.host)
    })
}
