//! Replica of the configuration on a host, and its records.
#![allow(clippy::unwrap_used, reason = "a step that fails should end the test")]

use chervil_config::Change;
use chervil_config::ConfigReplica;
use chervil_config::MAX_SERVERS_PER_RECORD;
use chervil_config::RecordBody;
use chervil_config::split_catalog;
use chervil_fakes::FakeStore;
use chervil_rpc::agent::StateDelta;

mod common;

use common::apply_sheet;
use common::make_change;
use common::pull;
use common::sheet;
use common::zone;

/// Guards against records that are lost, duplicated or mixed up between the
/// sheet and the catalog of a host.
#[tokio::test]
async fn pulled_replica_equals_the_applied_sheet() {
    let store = FakeStore::new();
    let mut host = ConfigReplica::new();

    let result = make_change(&store, &apply_sheet(sheet(6, 300, 2)), "a").await;
    let advanced = pull(&store, &mut host).await;

    assert_eq!(common::accepted_revision(&result), 1);
    assert!(advanced);
    let mut expected = sheet(6, 300, 2).catalog;
    expected.revision = 1;
    assert_eq!(host.effective_catalog(), expected);
}

/// Store with sheets of 300 servers applied up to `revision`. Sheets differ in
/// the slots of all servers.
async fn store_at(revision: u32) -> FakeStore {
    let store = FakeStore::new();
    for slots in 1..=revision {
        make_change(&store, &apply_sheet(sheet(6, 300, slots)), &format!("{slots}")).await;
    }
    store
}

async fn replica_of(store: &FakeStore) -> ConfigReplica {
    let mut host = ConfigReplica::new();
    pull(store, &mut host).await;
    host
}

/// Guards against a host that mixes records of two revisions because part of a
/// delta got lost.
#[tokio::test]
async fn incomplete_delta_leaves_the_replica_unchanged() {
    let peer = replica_of(&store_at(2).await).await;
    let mut host = replica_of(&store_at(1).await).await;
    let before = host.effective_catalog();
    let full = peer.delta_since(host.revision());
    let mut incomplete = full.clone();
    incomplete.records.pop();

    let refused = host.apply(&incomplete).unwrap_err();
    let unchanged = host.effective_catalog();
    let adopted = host.apply(&full).unwrap();

    assert!(refused.to_string().contains("1 record(s) of revision 2 are missing"), "{refused}");
    assert_eq!(unchanged, before);
    assert!(adopted && host.effective_catalog() == peer.effective_catalog());
}

/// Guards against changes that transfer more than the head and the changed
/// record: the editor and the hosts would read all records for each change.
#[tokio::test]
async fn delta_contains_only_changed_records() {
    let store = FakeStore::new();
    let mut changed = sheet(7, 1000, 2);
    changed.catalog.servers[500].slots = 5;
    make_change(&store, &apply_sheet(sheet(6, 1000, 2)), "a").await;
    let mut host = replica_of(&store).await;
    let reads = store.reads();

    make_change(&store, &apply_sheet(changed), "b").await;
    let read_by_operator = store.reads() - reads;
    pull(&store, &mut host).await;
    let read_by_host = store.reads() - reads - read_by_operator;

    assert_eq!(host.delta_since(1).records.len(), 1);
    assert!(host.delta_since(0).records.len() > 1000 / 64);
    assert_eq!((read_by_operator, read_by_host), (2, 2), "the head and one record each");
}

/// Guards against a host that reverts to an older revision or applies one twice.
#[tokio::test]
async fn lower_and_equal_revisions_are_ignored() {
    let old = replica_of(&store_at(1).await).await;
    let mut host = replica_of(&store_at(2).await).await;

    let same = host.apply(&host.delta_since(0)).unwrap();
    let older = host.apply(&old.delta_since(0)).unwrap();
    let nothing = host.apply(&old.delta_since(1)).unwrap();

    assert!(!same && !older && !nothing);
    assert_eq!(host.revision(), 2);
}

/// Guards against a mix of two histories: after the store was restored from
/// older data, a different change may have got a revision that this host already
/// has. Records must be compared by digest, not only by revision.
#[tokio::test]
async fn records_of_a_diverged_history_are_replaced() {
    let store = store_at(1).await;
    let old = store.dump();
    make_change(&store, &apply_sheet(sheet(7, 300, 7)), "lost").await;
    let mut host = replica_of(&store).await;
    store.restore(old);
    make_change(&store, &apply_sheet(sheet(7, 300, 8)), "other").await;
    make_change(&store, &Change::SetOverride(zone("z1")), "out").await;
    let peer = replica_of(&store).await;

    let delta = host.apply(&peer.delta_since(host.revision()));
    let full = host.apply(&peer.delta_since(0)).unwrap();

    assert!(delta.is_err() && full);
    assert_eq!(host.effective_catalog(), peer.effective_catalog());
}

/// Guards against a panic of a host that receives a head or record that it
/// cannot parse, such as one of another version.
#[tokio::test]
async fn invalid_states_are_rejected_with_a_remedy() {
    let mut host = replica_of(&store_at(1).await).await;
    let mut bad_record = replica_of(&store_at(2).await).await.delta_since(0);
    bad_record.records[1].body = "{".into();
    let bad_head = StateDelta { head: Some("{".into()), ..StateDelta::default() };

    let errors = [host.apply(&bad_record).unwrap_err(), host.apply(&bad_head).unwrap_err()];

    assert!(errors[0].to_string().contains("pull again from revision 0"), "{}", errors[0]);
    assert!(errors[1].to_string().contains("apply the sheet with a chervilctl"), "{}", errors[1]);
    assert_eq!(host.revision(), 1);
}

/// Guards against records that exceed the size limit, and against a partitioning
/// that is not stable: adding a server may change one record or split one.
#[test]
fn records_are_bounded_and_adding_a_server_changes_at_most_two() {
    for servers in [1, 64, 65, 1000, 5000] {
        let before = split_catalog(&sheet(6, servers, 2).catalog, 1).unwrap();
        let after = split_catalog(&sheet(6, servers + 1, 2).catalog, 1).unwrap();

        let sizes = before
            .iter()
            .map(|r| serde_json::from_str::<RecordBody>(&r.body).unwrap().servers.len());
        assert!(sizes.clone().all(|s| s <= MAX_SERVERS_PER_RECORD));
        assert_eq!(sizes.sum::<usize>(), servers);
        let changed = after.iter().filter(|r| !before.contains(r)).count();
        assert!(changed <= 2, "{changed} records changed when one server was added to {servers}");
    }
}
