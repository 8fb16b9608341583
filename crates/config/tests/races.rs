//! Concurrent changes by several operators.

use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::read_history;
use chervil_fakes::FakeStore;
use chervil_platform::Store;

mod common;

use common::accepted_revision;
use common::apply_sheet;
use common::make_change;
use common::pull;
use common::racing_store::RacingStore;
use common::sheet;
use common::zone;
use common::zone_in_service;

/// Store at revision 1, with a sheet of 100 servers applied.
async fn with_sheet() -> FakeStore {
    let store = FakeStore::new();
    make_change(&store, &apply_sheet(sheet(6, 100, 2)), "start").await;
    store
}

async fn edit(store: &dyn Store, change: &Change, id: &str) -> ChangeResult {
    let clock = common::clock();
    Editor::new(store, &clock, "bob", common::editor_settings()).change(change, id).await
}

/// Guards against a lost update: a sheet was validated against a head that a
/// concurrent sheet has replaced in the meantime.
#[tokio::test]
async fn concurrent_sheet_is_rejected_with_the_changes_since() {
    let store = with_sheet().await;
    let racing_store = RacingStore::new(&store, vec![apply_sheet(sheet(7, 100, 3))]);

    let result = edit(&racing_store, &apply_sheet(sheet(8, 100, 4)), "late").await;

    let ChangeResult::LostRace { revision, changes } = result else { panic!("{result:?}") };
    // Revision 2 is skipped, because the rejected attempt wrote records for it.
    assert_eq!((revision, changes.len()), (3, 1));
    assert_eq!(&*changes[0].operator, "alice");
    assert!(changes[0].summary.contains("100 servers changed"), "{}", changes[0].summary);
}

/// Guards against an older export that replaces a newer one, because the newer
/// one was applied between the check of the export times and the write.
#[tokio::test]
async fn older_export_is_rejected_when_a_newer_one_wins_the_race() {
    let store = with_sheet().await;
    let racing_store = RacingStore::new(&store, vec![apply_sheet(sheet(8, 100, 3))]);

    let raced = edit(&racing_store, &apply_sheet(sheet(7, 100, 4)), "older").await;
    let repeated = edit(&store, &apply_sheet(sheet(7, 100, 4)), "again").await;

    assert!(matches!(raced, ChangeResult::LostRace { .. }), "{raced:?}");
    assert!(matches!(repeated, ChangeResult::OlderExport { .. }), "{repeated:?}");
}

/// Guards against an urgent zone evacuation that is rejected because a sheet and
/// another override are written at the same time, and against one of the changes
/// being undone.
#[tokio::test]
async fn unrelated_concurrent_changes_both_take_effect() {
    let store = with_sheet().await;
    let racing_store = RacingStore::new(
        &store,
        vec![apply_sheet(sheet(7, 100, 3)), Change::SetOverride(zone("z2"))],
    );
    let mut host = ConfigReplica::new();

    let result = edit(&racing_store, &Change::SetOverride(zone("z1")), "urgent").await;
    pull(&store, &mut host).await;

    assert_eq!(accepted_revision(&result), 4);
    assert!(!zone_in_service(&host, "z1") && !zone_in_service(&host, "z2"));
    assert!(host.effective_catalog().servers.iter().all(|s| s.slots == 3));
}

/// Guards against an operator who changes the override of a zone without
/// noticing that another operator has just changed it.
#[tokio::test]
async fn concurrent_overrides_of_one_zone_conflict() {
    let store = with_sheet().await;
    let racing_store = RacingStore::new(&store, vec![Change::SetOverride(zone("z1"))]);

    let result = edit(&racing_store, &Change::SetOverride(zone("z1")), "same").await;

    assert!(matches!(result, ChangeResult::LostRace { revision: 2, .. }), "{result:?}");
}

/// Guards against an accepted change that is reported as rejected or unknown:
/// its reply was lost, and so many changes followed that the head no longer
/// lists it.
#[tokio::test]
async fn lost_reply_is_resolved_after_many_later_changes() {
    for later in [1, 15, 40] {
        let store = with_sheet().await;
        let toggles = [Change::SetOverride(zone("z2")), Change::ClearOverride(zone("z2"))];
        let others = toggles.into_iter().cycle().take(later).collect::<Vec<_>>();
        // `RacingStore` makes the last one first.
        let others = others.into_iter().rev().collect();
        let racing_store = RacingStore::after_lost_reply(&store, others);

        let result = edit(&racing_store, &Change::SetOverride(zone("z1")), "mine").await;

        assert_eq!(accepted_revision(&result), 2, "after {later} later changes");
    }
}

/// Guards against a change that is made twice when it is repeated with the same
/// id, also after the head no longer lists it, and against a change that is not
/// made because a different one has the same id.
#[tokio::test]
async fn operation_id_is_idempotent_for_one_change() {
    let store = with_sheet().await;

    let first = edit(&store, &Change::SetOverride(zone("z1")), "same").await;
    let repeated = edit(&store, &Change::SetOverride(zone("z1")), "same").await;
    let other = edit(&store, &Change::SetOverride(zone("z2")), "same").await;
    let history = read_history(&store).await;
    for i in 0..20 {
        let target = zone("z2");
        let next =
            if i % 2 == 0 { Change::ClearOverride(target) } else { Change::SetOverride(target) };
        make_change(&store, &next, &format!("{i}")).await;
    }
    edit(&store, &Change::ClearOverride(zone("z1")), "in").await;
    let clock = common::clock();
    let late = Editor::new(&store, &clock, "bob", common::editor_settings()).search_history(true);
    let late = late.change(&Change::SetOverride(zone("z1")), "same").await;

    assert_eq!(accepted_revision(&late), 2, "found in the history only");
    assert_eq!(
        (accepted_revision(&first), accepted_revision(&repeated), accepted_revision(&other)),
        (2, 2, 3)
    );
    assert_eq!(history.map(|h| h.len()), Ok(3));
}
