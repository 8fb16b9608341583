//! Operators who change the configuration at the same time.

use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::read_history;
use chervil_fakes::FakeStore;
use chervil_platform::Store;

mod common;

use common::apply;
use common::change;
use common::overtaken::Overtaken;
use common::pull;
use common::revision;
use common::sheet;
use common::zone;
use common::zone_in_service;

async fn with_sheet() -> FakeStore {
    let store = FakeStore::new();
    change(&store, &apply(sheet(6, 100, 2)), "start").await;
    store
}

async fn edit(store: &dyn Store, change: &Change, id: &str) -> ChangeResult {
    let clock = common::clock();
    Editor::new(store, &clock, "bob", common::settings()).change(change, id).await
}

/// Guards against a lost update: the second sheet was checked against another
/// state than the one that it would replace.
#[tokio::test]
async fn a_sheet_that_lost_to_another_sheet_shows_what_changed() {
    let store = with_sheet().await;
    let racing = Overtaken::new(&store, vec![apply(sheet(7, 100, 3))]);

    let result = edit(&racing, &apply(sheet(8, 100, 4)), "late").await;

    let ChangeResult::LostRace { revision, changes } = result else { panic!("{result:?}") };
    // Revision 2 is skipped: the attempt that lost has written records for it.
    assert_eq!((revision, changes.len()), (3, 1));
    assert_eq!(&*changes[0].operator, "alice");
    assert!(changes[0].summary.contains("100 servers changed"), "{}", changes[0].summary);
}

/// Guards against an older export that wins because the newer one came between
/// its check and its write.
#[tokio::test]
async fn an_older_export_loses_also_in_a_race() {
    let store = with_sheet().await;
    let racing = Overtaken::new(&store, vec![apply(sheet(8, 100, 3))]);

    let raced = edit(&racing, &apply(sheet(7, 100, 4)), "older").await;
    let repeated = edit(&store, &apply(sheet(7, 100, 4)), "again").await;

    assert!(matches!(raced, ChangeResult::LostRace { .. }), "{raced:?}");
    assert!(matches!(repeated, ChangeResult::OlderExport { .. }), "{repeated:?}");
}

/// Guards against an urgent zone-out that fails because of a sheet applied at
/// the same moment, and against a sheet that undoes it.
#[tokio::test]
async fn unrelated_changes_both_take_effect() {
    let store = with_sheet().await;
    let racing =
        Overtaken::new(&store, vec![apply(sheet(7, 100, 3)), Change::SetOverride(zone("z2"))]);
    let mut host = ConfigReplica::new();

    let result = edit(&racing, &Change::SetOverride(zone("z1")), "urgent").await;
    pull(&store, &mut host).await;

    assert_eq!(revision(&result), 4);
    assert!(!zone_in_service(&host, "z1") && !zone_in_service(&host, "z2"));
    assert!(host.effective_catalog().servers.iter().all(|s| s.slots == 3));
}

/// Guards against an operator who brings a zone back without noticing that
/// another one has just decided about it.
#[tokio::test]
async fn decisions_about_one_zone_conflict() {
    let store = with_sheet().await;
    let racing = Overtaken::new(&store, vec![Change::SetOverride(zone("z1"))]);

    let result = edit(&racing, &Change::SetOverride(zone("z1")), "same").await;

    assert!(matches!(result, ChangeResult::LostRace { revision: 2, .. }), "{result:?}");
}

/// Guards against a change that is reported as lost or unknown although it was
/// accepted and then followed by so many that the head no longer lists it.
#[tokio::test]
async fn a_lost_reply_is_resolved_after_many_later_changes() {
    for later in [1, 15, 40] {
        let store = with_sheet().await;
        let toggles = [Change::SetOverride(zone("z2")), Change::ClearOverride(zone("z2"))];
        let others = toggles.into_iter().cycle().take(later).collect::<Vec<_>>();
        // The wrapper makes the last one first.
        let others = others.into_iter().rev().collect();
        let racing = Overtaken::after_lost_reply(&store, others);

        let result = edit(&racing, &Change::SetOverride(zone("z1")), "mine").await;

        assert_eq!(revision(&result), 2, "after {later} later changes");
    }
}

/// Guards against a change that is reported as accepted because another one
/// has the same id, and against one that is made twice.
#[tokio::test]
async fn an_operation_id_identifies_one_change() {
    let store = with_sheet().await;

    let first = edit(&store, &Change::SetOverride(zone("z1")), "same").await;
    let repeated = edit(&store, &Change::SetOverride(zone("z1")), "same").await;
    let other = edit(&store, &Change::SetOverride(zone("z2")), "same").await;
    let history = read_history(&store).await;
    for i in 0..20 {
        let target = zone("z2");
        let next =
            if i % 2 == 0 { Change::ClearOverride(target) } else { Change::SetOverride(target) };
        change(&store, &next, &format!("{i}")).await;
    }
    edit(&store, &Change::ClearOverride(zone("z1")), "in").await;
    let clock = common::clock();
    let late = Editor::new(&store, &clock, "bob", common::settings()).search_history(true);
    let late = late.change(&Change::SetOverride(zone("z1")), "same").await;

    assert_eq!(revision(&late), 2, "the head no longer lists it");
    assert_eq!((revision(&first), revision(&repeated), revision(&other)), (2, 2, 3));
    assert_eq!(history.map(|h| h.len()), Ok(3));
}
