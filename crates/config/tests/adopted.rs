//! A host's copy of the configuration.
#![allow(clippy::unwrap_used, reason = "a step that fails should end the test")]

use chervil_config::Adopted;
use chervil_config::Change;
use chervil_config::RECORD_SERVERS;
use chervil_config::RecordBody;
use chervil_config::split;
use chervil_fakes::FakeStore;
use chervil_rpc::agent::StateDelta;

mod common;

use common::apply;
use common::change;
use common::pull;
use common::sheet;
use common::zone;

/// Guards against records that are lost or mixed up on the way to a host.
#[tokio::test]
async fn an_applied_sheet_reaches_a_host_whole() {
    let store = FakeStore::new();
    let mut host = Adopted::new();

    let result = change(&store, &apply(sheet(6, 300, 2)), "a").await;
    let grew = pull(&store, &mut host).await;

    assert_eq!(common::revision(&result), 1);
    assert!(grew);
    let mut expected = sheet(6, 300, 2).catalog;
    expected.revision = 1;
    assert_eq!(host.catalog(), expected);
}

async fn store_at(revision: u32) -> FakeStore {
    let store = FakeStore::new();
    for slots in 1..=revision {
        change(&store, &apply(sheet(6, 300, slots)), &format!("{slots}")).await;
    }
    store
}

async fn host_of(store: &FakeStore) -> Adopted {
    let mut host = Adopted::new();
    pull(store, &mut host).await;
    host
}

/// Guards against a host that mixes records of two revisions when part of a
/// delta is lost.
#[tokio::test]
async fn an_incomplete_delta_changes_nothing() {
    let peer = host_of(&store_at(2).await).await;
    let mut host = host_of(&store_at(1).await).await;
    let before = host.catalog();
    let whole = peer.newer_than(host.revision());
    let mut cut = whole.clone();
    cut.records.pop();

    let refused = host.apply(&cut).unwrap_err();
    let unchanged = host.catalog();
    let adopted = host.apply(&whole).unwrap();

    assert!(refused.to_string().contains("1 record(s) of revision 2 are missing"), "{refused}");
    assert_eq!(unchanged, before);
    assert!(adopted && host.catalog() == peer.catalog());
}

/// Guards the size of what travels with a change.
#[tokio::test]
async fn a_delta_holds_only_the_records_that_changed() {
    let store = FakeStore::new();
    let mut changed = sheet(7, 1000, 2);
    changed.catalog.servers[500].slots = 5;
    change(&store, &apply(sheet(6, 1000, 2)), "a").await;
    let mut host = host_of(&store).await;
    let reads = store.reads();

    change(&store, &apply(changed), "b").await;
    let read_by_operator = store.reads() - reads;
    pull(&store, &mut host).await;
    let read_by_host = store.reads() - reads - read_by_operator;

    assert_eq!(host.newer_than(1).records.len(), 1);
    assert!(host.newer_than(0).records.len() > 1000 / 64);
    assert_eq!((read_by_operator, read_by_host), (2, 2), "the head and one record each");
}

/// Guards against a host that goes back, or that adopts a revision twice.
#[tokio::test]
async fn only_higher_revisions_are_adopted() {
    let old = host_of(&store_at(1).await).await;
    let mut host = host_of(&store_at(2).await).await;

    let same = host.apply(&host.newer_than(0)).unwrap();
    let older = host.apply(&old.newer_than(0)).unwrap();
    let nothing = host.apply(&old.newer_than(1)).unwrap();

    assert!(!same && !older && !nothing);
    assert_eq!(host.revision(), 2);
}

/// Guards against a mix of two histories: after a restore, another change may
/// have got a revision that this host knows with other content.
#[tokio::test]
async fn records_of_another_history_are_not_kept() {
    let store = store_at(1).await;
    let old = store.dump();
    change(&store, &apply(sheet(7, 300, 7)), "lost").await;
    let mut host = host_of(&store).await;
    store.restore(old);
    change(&store, &apply(sheet(7, 300, 8)), "other").await;
    change(&store, &Change::Out(zone("z1")), "out").await;
    let peer = host_of(&store).await;

    let delta = host.apply(&peer.newer_than(host.revision()));
    let whole = host.apply(&peer.newer_than(0)).unwrap();

    assert!(delta.is_err() && whole);
    assert_eq!(host.catalog(), peer.catalog());
}

/// Guards against values that cannot be read, which must not stop a host.
#[tokio::test]
async fn unreadable_states_are_errors_with_a_remedy() {
    let mut host = host_of(&store_at(1).await).await;
    let mut bad_record = host_of(&store_at(2).await).await.newer_than(0);
    bad_record.records[1].body = "{".into();
    let bad_head = StateDelta { head: Some("{".into()), ..StateDelta::default() };

    let errors = [host.apply(&bad_record).unwrap_err(), host.apply(&bad_head).unwrap_err()];

    assert!(errors[0].to_string().contains("pull again from revision 0"), "{}", errors[0]);
    assert!(errors[1].to_string().contains("apply the sheet with a chervilctl"), "{}", errors[1]);
    assert_eq!(host.revision(), 1);
}

/// Guards the bound on records, and that adding a server touches one record or
/// divides one.
#[test]
fn records_are_bounded_and_stable() {
    for servers in [1, 64, 65, 1000, 5000] {
        let before = split(&sheet(6, servers, 2).catalog, 1).unwrap();
        let after = split(&sheet(6, servers + 1, 2).catalog, 1).unwrap();

        let sizes = before
            .iter()
            .map(|r| serde_json::from_str::<RecordBody>(&r.body).unwrap().servers.len());
        assert!(sizes.clone().all(|s| s <= RECORD_SERVERS));
        assert_eq!(sizes.sum::<usize>(), servers);
        let changed = after.iter().filter(|r| !before.contains(r)).count();
        assert!(changed <= 2, "{changed} records for one more than {servers} servers");
    }
}
