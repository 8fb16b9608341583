//! Two operators and three replicas under random interleavings and faults.
#![allow(clippy::unwrap_used, reason = "a step that fails should end the test")]

use std::cell::RefCell;
use std::collections::BTreeMap;

use chervil_base::catalog::CatalogSpec;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::Operation;
use chervil_config::Target;
use chervil_config::read_delta;
use chervil_config::read_history;
use chervil_fakes::FakeStore;
use chervil_platform::Store;
use proptest::prelude::*;
use tokio::runtime::Builder;

mod common;

use common::faulty_store::FaultyStore;

/// Number of pulls that each host makes during the changes.
const PULLS: usize = 40;

/// Sheets and overrides, some of them older, redundant or of undeclared targets.
fn arb_change() -> impl Strategy<Value = Change> {
    let target = prop_oneof![
        Just(common::zone("z1")),
        Just(common::zone("z2")),
        Just(common::server("l3")),
        Just(common::server("l70")),
    ];
    let sheets = (5u32..8, 66usize..72, 1u32..4).prop_map(|(hour, servers, slots)| {
        Change::ApplySheet { sheet: common::sheet(hour, servers, slots), confirmed_removals: None }
    });
    prop_oneof![
        2 => sheets,
        2 => target.clone().prop_map(Change::SetOverride),
        2 => target.prop_map(Change::ClearOverride),
    ]
}

/// Requested ids, changes and results of one operator, in order.
#[derive(Debug, Default)]
struct OperatorLog {
    results: Vec<(Box<str>, Change, ChangeResult)>,
}

async fn make_changes(store: &dyn Store, name: &str, changes: &[Change]) -> OperatorLog {
    let clock = common::clock();
    let editor = Editor::new(store, &clock, name, common::editor_settings());
    let mut log = OperatorLog::default();
    for (i, change) in changes.iter().enumerate() {
        let id: Box<str> = format!("{name}-{i}").into();
        let result = editor.change(change, &id).await;
        log.results.push((id, change.clone(), result));
    }
    log
}

/// Pulls into the replica `index` and returns the catalogs that were applied, in
/// order. Two of three pulls read the store, the others get a delta from a peer,
/// half of them truncated to one record. A state that is not applied must leave
/// the replica unchanged.
async fn pull_repeatedly(
    store: &dyn Store,
    replicas: &[RefCell<ConfigReplica>],
    index: usize,
    pulls: usize,
) -> Vec<CatalogSpec> {
    let mut catalogs = Vec::new();
    for i in 0..pulls {
        let replica = replicas[index].borrow().clone();
        let update = if i % 3 == 1 {
            let mut delta =
                replicas[(index + i) % replicas.len()].borrow().delta_since(replica.revision());
            delta.records.truncate(if i % 2 == 0 { usize::MAX } else { 1 });
            delta
        } else {
            read_delta(store, &replica).await.unwrap_or_default()
        };
        let before = replicas[index].borrow().clone();
        let advanced = replicas[index].borrow_mut().apply(&update);
        match advanced {
            Ok(true) => catalogs.push(replicas[index].borrow().effective_catalog()),
            _ => assert_eq!(*replicas[index].borrow(), before),
        }
    }
    catalogs
}

/// Catalog that results from the accepted operations up to `revision`. This
/// model is independent of records, deltas and the head.
fn expected_catalog(
    history: &[Operation],
    changes_by_id: &BTreeMap<&str, &Change>,
    revision: u64,
) -> CatalogSpec {
    let mut catalog = CatalogSpec::default();
    let mut overridden: Vec<&Target> = Vec::new();
    for o in history.iter().filter(|o| o.revision <= revision) {
        match changes_by_id[o.id.split('.').next().unwrap()] {
            Change::ApplySheet { sheet, .. } => catalog = sheet.catalog.clone(),
            Change::SetOverride(target) => overridden.push(target),
            Change::ClearOverride(target) => overridden.retain(|t| *t != target),
            Change::Recover(_) => unreachable!("not generated"),
        }
    }
    catalog.revision = revision;
    let zones =
        catalog.zones.iter_mut().filter(|z| overridden.contains(&&Target::Zone(z.name.clone())));
    zones.for_each(|z| z.in_service = false);
    let servers = catalog.servers.iter_mut();
    let drained = servers.filter(|s| overridden.contains(&&Target::Server(s.name.clone())));
    drained.for_each(|s| s.in_service = false);
    catalog
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Two operators change the configuration while three hosts pull it, with
    /// interleaved calls, failing calls, lost replies, stale reads and delayed
    /// writes. Guards against a host that reverts to a lower revision, a zone
    /// that comes back before its override is cleared, a change that is reported
    /// as failed although it was accepted, and an older export that replaces a
    /// newer one.
    #[test]
    fn accepted_changes_survive_interleavings_and_faults(
        seed: u64,
        fault_percent in 0u32..60,
        first in prop::collection::vec(arb_change(), 1..6),
        second in prop::collection::vec(arb_change(), 1..6),
    ) {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let store = FakeStore::new();
        let faulty_store = FaultyStore::new(&store, seed, fault_percent);
        let replicas: [RefCell<ConfigReplica>; 3] = Default::default();
        let (a, b, hosts, history) = runtime.block_on(async {
            let start = common::apply_sheet(common::sheet(5, 70, 2));
            common::make_change(&store, &start, "start").await;
            let (a, b, h1, h2, h3) = tokio::join!(
                make_changes(&faulty_store, "alice", &first),
                make_changes(&faulty_store, "bob", &second),
                pull_repeatedly(&faulty_store, &replicas, 0, PULLS),
                pull_repeatedly(&faulty_store, &replicas, 1, PULLS),
                pull_repeatedly(&faulty_store, &replicas, 2, PULLS),
            );
            faulty_store.heal().await;
            let end = pull_repeatedly(&store, &[RefCell::default()], 0, 1).await;
            (a, b, [h1, h2, h3, end], read_history(&store).await.unwrap())
        });
        let start = common::apply_sheet(common::sheet(5, 70, 2));
        let logs = a.results.iter().chain(&b.results);
        let mut changes_by_id: BTreeMap<&str, &Change> =
            logs.clone().map(|r| (&*r.0, &r.1)).collect();
        changes_by_id.insert("start", &start);

        for (id, _, result) in logs {
            let accepted = history.iter().find(|o| o.id.split('.').next() == Some(id));
            match result {
                ChangeResult::Accepted(r) => prop_assert_eq!(Some(&r.operation), accepted),
                ChangeResult::Unknown { .. } => {}
                failed => prop_assert_eq!(None, accepted, "{:?}", failed),
            }
        }
        let last = hosts[3].last().map(|c| c.revision);
        let newest = history.last().map(|o| o.revision);
        prop_assert_eq!(last, newest, "a healthy store serves the last accepted revision");
        for catalogs in &hosts {
            prop_assert!(catalogs.is_sorted_by(|a, b| a.revision < b.revision));
            for catalog in catalogs {
                let expected = expected_catalog(&history, &changes_by_id, catalog.revision);
                prop_assert_eq!(catalog, &expected);
            }
        }
        let accepted = history.iter().filter_map(|o| o.id.split('.').next());
        let exports: Vec<_> = accepted.filter_map(|id| match changes_by_id[id] {
            Change::ApplySheet { sheet, .. } => Some(sheet.exported),
            _ => None,
        }).collect();
        prop_assert!(exports.is_sorted());
    }
}
