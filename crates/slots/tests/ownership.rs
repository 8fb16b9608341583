//! Ownership of groups during changes of the member list.

#![allow(clippy::unwrap_used)]

use chervil_base::catalog::Catalog;
use chervil_rpc::agent::*;
use chervil_slots::ownership;
use chervil_slots::ownership::OwnedGroup;
use proptest::prelude::*;

mod fixture;

fn host(index: usize) -> MemberHost {
    let address = "127.0.0.1:1".parse().unwrap();
    let zone = if index.is_multiple_of(2) { "z1" } else { "z2" };
    let host = format!("h{index}").into();
    MemberHost { host, zone: zone.into(), agent: address, gate: address }
}

fn members(epoch: u64, hosts: &[usize], previous: &[usize]) -> MemberList {
    let list = |of: &[usize]| of.iter().map(|i| host(*i)).collect();
    MemberList { epoch, hosts: list(hosts), previous: list(previous) }
}

fn lease(epoch: u64, settled: bool, down: &[usize]) -> QuorumLease {
    let down = down.iter().map(|i| host(*i).host).collect();
    QuorumLease { remaining_ms: 1000, epoch, settled, down }
}

fn large_catalog() -> Catalog {
    let servers = (0..40).map(|i| fixture::server(&format!("lookup-{i}"), 2, 10)).collect();
    Catalog::new(&fixture::catalog(servers))
}

fn owned(index: usize, catalog: &Catalog, m: &MemberList, l: &QuorumLease) -> Vec<OwnedGroup> {
    ownership::owned_groups(&host(index).host, catalog, m, l, |_| true, |_| false)
}

/// Guards against two owners of a group during a change of the member list: a host that
/// gains the group waits until the lease has settled, and one that loses it stops at
/// once.
#[test]
fn gained_group_is_owned_only_after_the_lease_settled() {
    let catalog = large_catalog();
    let m = members(2, &[0, 2, 4], &[0, 2]);

    let early = owned(4, &catalog, &m, &lease(2, false, &[]));
    let late = owned(4, &catalog, &m, &lease(2, true, &[]));
    let old: usize =
        [0, 2].iter().map(|i| owned(*i, &catalog, &m, &lease(2, false, &[])).len()).sum();

    assert!(early.is_empty());
    assert!(!late.is_empty());
    assert_eq!(old + late.len(), catalog.groups.len());
}

/// Guards against two owners after two changes in a row, of which a host saw only the
/// second: a group that it did not hold is gained only once the lease has settled.
#[test]
fn group_not_held_is_not_owned_before_the_lease_settled() {
    let catalog = large_catalog();
    let m = members(3, &[0, 2, 4], &[0, 2, 4]);
    let l = lease(3, false, &[]);

    let none = ownership::owned_groups("h4", &catalog, &m, &l, |_| false, |_| false);

    assert!(none.is_empty());
}

/// Guards against ownership under an outdated member list.
#[test]
fn lease_of_a_newer_epoch_grants_no_groups() {
    let catalog = large_catalog();

    let none = owned(0, &catalog, &members(1, &[0, 2], &[0]), &lease(2, true, &[]));

    assert!(none.is_empty());
}

/// Guards against treating a takeover as first use of the servers, and a planned release
/// as a crash of the former owner.
#[test]
fn takeover_is_told_from_first_use_and_death_from_release() {
    let catalog = large_catalog();
    let m = members(2, &[0, 2], &[0, 2]);
    let l = lease(2, true, &[0]);

    let first = owned(2, &catalog, &m, &lease(2, true, &[]));
    let after_death = owned(2, &catalog, &m, &l);
    let after_release =
        ownership::owned_groups(&host(2).host, &catalog, &m, &l, |_| true, |h| *h == *host(0).host);

    assert!(first.iter().all(|o| !o.takeover && !o.unreleased));
    let gained = |o: &&OwnedGroup| first.iter().all(|f| f.group != o.group);
    assert!(after_death.iter().filter(gained).all(|o| o.takeover && o.unreleased));
    assert!(after_release.iter().filter(gained).all(|o| o.takeover && !o.unreleased));
    assert_eq!(after_death.len(), catalog.groups.len());
}

proptest! {
    #![proptest_config(fixture::proptest_config(256))]

    /// Guards against groups that have two owners, or none although a host is up.
    #[test]
    fn every_group_has_one_owner(
        size in 1_usize..8,
        down in prop::collection::btree_set(0_usize..8, 0..7),
    ) {
        let catalog = large_catalog();
        let hosts: Vec<usize> = (0..size).collect();
        let down: Vec<usize> = down.into_iter().filter(|d| *d < size).collect();
        let m = members(3, &hosts, &hosts);
        let l = lease(3, true, &down);

        let live = hosts.iter().filter(|h| !down.contains(h));
        let mut groups: Vec<_> = live
            .flat_map(|h| owned(*h, &catalog, &m, &l))
            .map(|o| o.group)
            .collect();
        groups.sort_unstable();

        let expected = if down.len() < size { catalog.groups.len() } else { 0 };
        prop_assert_eq!(groups.len(), expected);
        groups.dedup();
        prop_assert_eq!(groups.len(), expected);
    }
}
