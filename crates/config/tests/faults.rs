//! Changes under faults of the store.
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

use common::apply;
use common::change;
use common::pull;
use common::revision;
use common::server;
use common::sheet;
use common::zone;
use common::zone_in_service;

async fn with_sheet() -> FakeStore {
    let store = FakeStore::new();
    change(&store, &apply(sheet(6, 100, 2)), "start").await;
    store
}

/// Guards against a lost reply that is reported as a failure, or that makes
/// the change twice.
#[tokio::test]
async fn lost_replies_and_requests_are_resolved() {
    let faults = [
        Faults { lost_replies: 1, ..Faults::default() },
        Faults { lost_requests: 1, ..Faults::default() },
        Faults { lost_replies: 1, lost_requests: 1, ..Faults::default() },
    ];
    for fault in faults {
        let store = with_sheet().await;
        store.set_faults(fault.clone());

        let out = change(&store, &Change::SetOverride(zone("z1")), "out").await;
        store.set_faults(fault.clone());
        let next = change(&store, &apply(sheet(7, 100, 3)), "next").await;

        assert_eq!((revision(&out), revision(&next)), (2, 3), "{fault:?}");
        assert_eq!(read_history(&store).await.unwrap().len(), 3);
    }
}

/// Guards against a change that is reported as failed although it was accepted
/// and only the replies got lost.
#[tokio::test]
async fn a_change_whose_fate_cannot_be_read_is_unknown() {
    let store = with_sheet().await;
    store.set_faults(Faults { lost_requests: 99, ..Faults::default() });

    let result = change(&store, &Change::SetOverride(zone("z1")), "out").await;

    assert_eq!(result, ChangeResult::Unknown { operation: "out".into() });
}

/// Guards against a false "nothing changed", and against a wait for a store
/// that is down.
#[tokio::test]
async fn an_outage_changes_nothing_and_says_so() {
    let store = with_sheet().await;
    let before = store.dump();
    store.set_faults(Faults { down: true, ..Faults::default() });

    let results = [
        change(&store, &Change::SetOverride(zone("z1")), "out").await,
        change(&store, &apply(sheet(7, 100, 3)), "sheet").await,
    ];
    let read = read_delta(&store, &ConfigReplica::new()).await;

    assert!(results.iter().all(|r| *r == ChangeResult::StoreDown), "{results:?}");
    assert_eq!(read, Err(StoreError::Unavailable));
    assert_eq!(store.dump(), before);
}

/// Guards against a decision that rests on a stale read: "already out" when the
/// zone has been brought back since.
#[tokio::test]
async fn a_stale_read_does_not_make_a_change_look_unneeded() {
    let store = with_sheet().await;
    change(&store, &Change::SetOverride(zone("z1")), "out").await;
    change(&store, &Change::ClearOverride(zone("z1")), "in").await;
    store.set_faults(Faults { stale_reads: 1, ..Faults::default() });

    let result = change(&store, &Change::SetOverride(zone("z1")), "again").await;

    // The head that was read and the one in force differ about the zone.
    assert!(matches!(result, ChangeResult::LostRace { revision: 3, .. }), "{result:?}");
}

/// Guards against a failure where there is nothing to do, because the write
/// that proves it got no reply.
#[tokio::test]
async fn an_unneeded_change_is_recognized_under_lost_replies() {
    for faults in [
        Faults { lost_replies: 1, ..Faults::default() },
        Faults { lost_requests: 1, ..Faults::default() },
    ] {
        let store = with_sheet().await;
        store.set_faults(faults);

        let result = change(&store, &Change::ClearOverride(zone("z1")), "in").await;

        assert_eq!(result, ChangeResult::Unchanged { revision: 1 });
    }
}

/// Guards against records that appear to be missing after a stale read.
#[tokio::test]
async fn stale_reads_are_repeated() {
    for stale in 1..4 {
        let store = with_sheet().await;
        change(&store, &apply(sheet(7, 100, 3)), "next").await;
        let mut host = ConfigReplica::new();
        store.set_faults(Faults { stale_reads: stale, ..Faults::default() });

        let read = read_delta(&store, &host).await;
        store.set_faults(Faults::default());
        let _ = read.map(|r| host.apply(&r).unwrap());
        pull(&store, &mut host).await;

        assert_eq!(host.revision(), 2, "{stale} stale reads");
    }
}

/// Guards against a restored store that reverts what hosts have accepted.
#[tokio::test]
async fn a_store_that_came_back_older_is_ignored() {
    let store = with_sheet().await;
    let old = store.dump();
    change(&store, &Change::SetOverride(zone("z1")), "out").await;
    change(&store, &apply(sheet(7, 100, 3)), "next").await;
    let mut host = ConfigReplica::new();
    pull(&store, &mut host).await;
    store.restore(old);

    let grew = pull(&store, &mut host).await;

    assert!(!grew && host.revision() == 3 && !zone_in_service(&host, "z1"));
}

/// Guards against revisions that mean two things after a restore: a change on
/// top of the older state must not count as newer than what hosts hold.
#[tokio::test]
async fn a_change_on_a_store_older_than_the_hosts_is_refused() {
    let store = with_sheet().await;
    let clock = common::clock();
    let editor = Editor::new(&store, &clock, "alice", common::settings()).min_store_revision(5);

    let result = editor.change(&Change::SetOverride(zone("z1")), "out").await;

    assert_eq!(result, ChangeResult::StoreOlder { store: 1, hosts: 5 });
}

/// Guards against a restored store that stays behind its hosts for good, or
/// that gives their revisions another meaning.
#[tokio::test]
async fn recovery_writes_back_what_hosts_hold() {
    let store = with_sheet().await;
    let old = store.dump();
    change(&store, &apply(sheet(7, 100, 3)), "next").await;
    change(&store, &Change::SetOverride(zone("z1")), "out").await;
    let mut host = ConfigReplica::new();
    pull(&store, &mut host).await;
    let before = host.effective_catalog();
    store.restore(old);

    let recovered = change(&store, &Change::Recover(host.clone()), "recover").await;
    let repeated = change(&store, &Change::Recover(host.clone()), "again").await;
    pull(&store, &mut host).await;
    let mut fresh = ConfigReplica::new();
    pull(&store, &mut fresh).await;

    assert_eq!(revision(&recovered), 4);
    assert_eq!(repeated, ChangeResult::Unchanged { revision: 4 });
    assert_eq!(host.effective_catalog(), fresh.effective_catalog());
    assert_eq!(CatalogSpec { revision: 3, ..fresh.effective_catalog() }, before);
    assert_eq!(read_history(&store).await.unwrap().len(), 4);
}

/// Guards against records of an attempt that lost: a later change must not
/// refer to them, nor fail because of them.
#[tokio::test]
async fn records_left_by_a_failed_attempt_are_not_used() {
    let store = with_sheet().await;
    let kept = store.dump();
    change(&store, &apply(sheet(7, 100, 9)), "lost").await;
    let mut mixed = store.dump();
    mixed.retain(|v| &*v.key != HEAD_KEY);
    mixed.extend(kept.into_iter().filter(|v| &*v.key == HEAD_KEY));
    store.restore(mixed);
    let mut host = ConfigReplica::new();

    let result = change(&store, &apply(sheet(7, 100, 3)), "next").await;
    pull(&store, &mut host).await;

    assert_eq!(revision(&result), 3);
    assert!(host.effective_catalog().servers.iter().all(|s| s.slots == 3));
}

/// Guards the bound of the history and of the head, and against entries that
/// get lost on the way from one to the other.
#[tokio::test]
async fn the_history_keeps_the_last_200_changes() {
    let store = with_sheet().await;
    for i in 0..230 {
        let target = zone("z1");
        let next =
            if i % 2 == 0 { Change::SetOverride(target) } else { Change::ClearOverride(target) };
        store.set_faults(Faults { lost_replies: u32::from(i % 7 == 0), ..Faults::default() });
        revision(&change(&store, &next, &format!("op{i}")).await);
    }

    let history = read_history(&store).await.unwrap();
    let size = |key: &str| store.dump().iter().find(|v| &*v.key == key).unwrap().value.len();

    let revisions: Vec<u64> = history.iter().map(|o| o.revision).collect();
    assert_eq!(revisions, (32..=231).collect::<Vec<u64>>());
    assert!(size(HEAD_KEY) < 4096, "{}", size(HEAD_KEY));
    assert!(size(HISTORY_KEY) < 40_000, "{}", size(HISTORY_KEY));
}

/// Guards against records that pile up, and against the deletion of records
/// that a host may still read.
#[tokio::test]
async fn old_records_are_deleted_a_while_after_they_were_replaced() {
    let store = FakeStore::new();
    let clock = common::clock();
    let editor = Editor::new(&store, &clock, "alice", common::settings());
    let apply_at = |hour, slots| apply(sheet(hour, 10, slots));
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

    // The base record and one server record are in use.
    assert_eq!((replaced, marked, swept), (3, 4, 2));
    assert_eq!(host.revision(), 4);
}
