//! Changes and pulls while the store is faulty, down or restored from older
//! data.
#![allow(clippy::unwrap_used, reason = "a step that fails should end the test")]

use std::time::Duration;

use chervil_base::catalog::CatalogSpec;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::HEAD_KEY;
use chervil_config::HISTORY_KEY;
use chervil_config::RECORD_PREFIX;
use chervil_config::read_delta;
use chervil_config::read_history;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_platform::Store;
use chervil_platform::StoreError;

mod common;

use common::accepted_revision;
use common::apply_sheet;
use common::make_change;
use common::pull;
use common::server;
use common::sheet;
use common::zone;
use common::zone_in_service;

/// Store at revision 1, with a sheet of 100 servers applied.
async fn with_sheet() -> FakeStore {
    let store = FakeStore::new();
    make_change(&store, &apply_sheet(sheet(6, 100, 2)), "start").await;
    store
}

/// Guards against a lost reply or request that makes a change fail, or whose
/// retry makes the change twice.
#[tokio::test]
async fn lost_replies_and_requests_neither_fail_nor_repeat_a_change() {
    let faults = [
        Faults { lost_replies: 1, ..Faults::default() },
        Faults { lost_requests: 1, ..Faults::default() },
        Faults { lost_replies: 1, lost_requests: 1, ..Faults::default() },
    ];
    for fault in faults {
        let store = with_sheet().await;
        store.set_faults(fault.clone());

        let out = make_change(&store, &Change::SetOverride(zone("z1")), "out").await;
        store.set_faults(fault.clone());
        let next = make_change(&store, &apply_sheet(sheet(7, 100, 3)), "next").await;

        assert_eq!((accepted_revision(&out), accepted_revision(&next)), (2, 3), "{fault:?}");
        assert_eq!(read_history(&store).await.unwrap().len(), 3);
    }
}

/// Guards against reporting a change as failed when no attempt was confirmed:
/// one of them may have been accepted.
#[tokio::test]
async fn unconfirmed_change_is_reported_as_unknown() {
    let store = with_sheet().await;
    store.set_faults(Faults { lost_requests: 99, ..Faults::default() });

    let result = make_change(&store, &Change::SetOverride(zone("z1")), "out").await;

    assert_eq!(result, ChangeResult::Unknown { operation: "out".into() });
}

/// Guards against changes that are made, or reported as unknown, while the store
/// is down, and against waiting for it to come back.
#[tokio::test]
async fn store_outage_is_reported_and_changes_nothing() {
    let store = with_sheet().await;
    let before = store.dump();
    store.set_faults(Faults { down: true, ..Faults::default() });

    let results = [
        make_change(&store, &Change::SetOverride(zone("z1")), "out").await,
        make_change(&store, &apply_sheet(sheet(7, 100, 3)), "sheet").await,
    ];
    let read = read_delta(&store, &ConfigReplica::new()).await;

    assert!(results.iter().all(|r| *r == ChangeResult::StoreDown), "{results:?}");
    assert_eq!(read, Err(StoreError::Unavailable));
    assert_eq!(store.dump(), before);
}

/// Guards against "nothing to change" on the basis of a stale read: the head
/// that was read has the zone out, but it has been brought back since.
#[tokio::test]
async fn stale_read_is_not_reported_as_unchanged() {
    let store = with_sheet().await;
    make_change(&store, &Change::SetOverride(zone("z1")), "out").await;
    make_change(&store, &Change::ClearOverride(zone("z1")), "in").await;
    store.set_faults(Faults { stale_reads: 1, ..Faults::default() });

    let result = make_change(&store, &Change::SetOverride(zone("z1")), "again").await;

    // The override of the zone differs between the stale head and the current one.
    assert!(matches!(result, ChangeResult::LostRace { revision: 3, .. }), "{result:?}");
}

/// Guards against a failure when nothing needs to change, because the reply to
/// the write that rules out a stale read got lost.
#[tokio::test]
async fn unchanged_is_reported_despite_lost_replies() {
    for faults in [
        Faults { lost_replies: 1, ..Faults::default() },
        Faults { lost_requests: 1, ..Faults::default() },
    ] {
        let store = with_sheet().await;
        store.set_faults(faults);

        let result = make_change(&store, &Change::ClearOverride(zone("z1")), "in").await;

        assert_eq!(result, ChangeResult::Unchanged { revision: 1 });
    }
}

/// Guards against a host that stays behind, because stale reads make it miss the
/// new head or its records.
#[tokio::test]
async fn replica_catches_up_after_stale_reads() {
    for stale in 1..4 {
        let store = with_sheet().await;
        make_change(&store, &apply_sheet(sheet(7, 100, 3)), "next").await;
        let mut host = ConfigReplica::new();
        store.set_faults(Faults { stale_reads: stale, ..Faults::default() });

        let read = read_delta(&store, &host).await;
        store.set_faults(Faults::default());
        let _ = read.map(|r| host.apply(&r).unwrap());
        pull(&store, &mut host).await;

        assert_eq!(host.revision(), 2, "{stale} stale reads");
    }
}

/// Guards against hosts that revert accepted changes after the store was
/// restored from older data.
#[tokio::test]
async fn store_restored_from_older_data_does_not_revert_a_replica() {
    let store = with_sheet().await;
    let old = store.dump();
    make_change(&store, &Change::SetOverride(zone("z1")), "out").await;
    make_change(&store, &apply_sheet(sheet(7, 100, 3)), "next").await;
    let mut host = ConfigReplica::new();
    pull(&store, &mut host).await;
    store.restore(old);

    let advanced = pull(&store, &mut host).await;

    assert!(!advanced && host.revision() == 3 && !zone_in_service(&host, "z1"));
}

/// Guards against one revision with two contents after the store was restored
/// from older data: a change on top of it would reuse a revision that hosts
/// already have.
#[tokio::test]
async fn change_is_rejected_when_hosts_are_ahead_of_the_store() {
    let store = with_sheet().await;
    let clock = common::clock();
    let editor =
        Editor::new(&store, &clock, "alice", common::editor_settings()).min_head_revision(5);

    let result = editor.change(&Change::SetOverride(zone("z1")), "out").await;

    assert_eq!(result, ChangeResult::StoreOlder { store: 1, hosts: 5 });
}

/// Guards against a restored store that cannot catch up with its hosts, and
/// against a recovery that reuses one of their revisions for other content.
#[tokio::test]
async fn recovery_restores_the_state_of_a_host_under_a_new_revision() {
    let store = with_sheet().await;
    let old = store.dump();
    make_change(&store, &apply_sheet(sheet(7, 100, 3)), "next").await;
    make_change(&store, &Change::SetOverride(zone("z1")), "out").await;
    let mut host = ConfigReplica::new();
    pull(&store, &mut host).await;
    let before = host.effective_catalog();
    store.restore(old);

    let recovered = make_change(&store, &Change::Recover(host.clone()), "recover").await;
    let repeated = make_change(&store, &Change::Recover(host.clone()), "again").await;
    pull(&store, &mut host).await;
    let mut fresh = ConfigReplica::new();
    pull(&store, &mut fresh).await;

    assert_eq!(accepted_revision(&recovered), 4);
    assert_eq!(repeated, ChangeResult::Unchanged { revision: 4 });
    assert_eq!(host.effective_catalog(), fresh.effective_catalog());
    assert_eq!(CatalogSpec { revision: 3, ..fresh.effective_catalog() }, before);
    assert_eq!(read_history(&store).await.unwrap().len(), 4);
}

/// Guards against records that an attempt wrote before its head was rejected: a
/// later change at the same revision must neither refer to them nor fail because
/// their keys are taken.
#[tokio::test]
async fn leftover_records_of_a_failed_attempt_are_not_used() {
    let store = with_sheet().await;
    let kept = store.dump();
    make_change(&store, &apply_sheet(sheet(7, 100, 9)), "lost").await;
    let mut mixed = store.dump();
    mixed.retain(|v| &*v.key != HEAD_KEY);
    mixed.extend(kept.into_iter().filter(|v| &*v.key == HEAD_KEY));
    store.restore(mixed);
    let mut host = ConfigReplica::new();

    let result = make_change(&store, &apply_sheet(sheet(7, 100, 3)), "next").await;
    pull(&store, &mut host).await;

    assert_eq!(accepted_revision(&result), 3);
    assert!(host.effective_catalog().servers.iter().all(|s| s.slots == 3));
}

/// Guards against a history or head that grows without bound, and against
/// operations that are lost or duplicated when they move from the head to the
/// history while replies get lost.
#[tokio::test]
async fn history_keeps_the_last_200_changes() {
    let store = with_sheet().await;
    for i in 0..230 {
        let target = zone("z1");
        let next =
            if i % 2 == 0 { Change::SetOverride(target) } else { Change::ClearOverride(target) };
        store.set_faults(Faults { lost_replies: u32::from(i % 7 == 0), ..Faults::default() });
        accepted_revision(&make_change(&store, &next, &format!("op{i}")).await);
    }

    let history = read_history(&store).await.unwrap();
    let size = |key: &str| store.dump().iter().find(|v| &*v.key == key).unwrap().value.len();

    let revisions: Vec<u64> = history.iter().map(|o| o.revision).collect();
    assert_eq!(revisions, (32..=231).collect::<Vec<u64>>());
    assert!(size(HEAD_KEY) < 4096, "{}", size(HEAD_KEY));
    assert!(size(HISTORY_KEY) < 40_000, "{}", size(HISTORY_KEY));
}

/// Guards against unreferenced records that accumulate, and against deleting
/// records that a host may still read: a sweep only marks them, and the next one
/// deletes them.
#[tokio::test]
async fn replaced_records_are_deleted_by_the_second_sweep() {
    let store = FakeStore::new();
    let clock = common::clock();
    let editor = Editor::new(&store, &clock, "alice", common::editor_settings());
    let apply_at = |hour, slots| apply_sheet(sheet(hour, 10, slots));
    let records = async || store.list(RECORD_PREFIX).await.unwrap().len();
    editor.change(&apply_at(6, 1), "a").await;

    editor.change(&apply_at(6, 2), "b").await;
    let replaced = records().await;
    clock.advance(Duration::from_secs(601));
    editor.change(&apply_at(6, 3), "c").await;
    let marked = records().await;
    clock.advance(Duration::from_secs(601));
    editor.change(&Change::SetOverride(server("l1")), "d").await;
    let swept = records().await;
    let mut host = ConfigReplica::new();
    pull(&store, &mut host).await;

    // The base record and one server record are still referenced.
    assert_eq!((replaced, marked, swept), (3, 4, 2));
    assert_eq!(host.revision(), 4);
}
