//! Two operators and three hosts under random interleavings and faults.
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

use common::stepped::Stepped;

/// Pulls of each host during the changes.
const PULLS: usize = 40;

fn changes() -> impl Strategy<Value = Change> {
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

#[derive(Debug, Default)]
struct Log {
    results: Vec<(Box<str>, Change, ChangeResult)>,
}

async fn operate(store: &dyn Store, name: &str, changes: &[Change]) -> Log {
    let clock = common::clock();
    let editor = Editor::new(store, &clock, name, common::settings());
    let mut log = Log::default();
    for (i, change) in changes.iter().enumerate() {
        let id: Box<str> = format!("{name}-{i}").into();
        let result = editor.change(change, &id).await;
        log.results.push((id, change.clone(), result));
    }
    log
}

/// Catalogs that host `me` adopted, in order. Most pulls go to the store, the
/// others to a peer, whose delta may lack a record.
async fn adopt(
    store: &dyn Store,
    hosts: &[RefCell<ConfigReplica>],
    me: usize,
    pulls: usize,
) -> Vec<CatalogSpec> {
    let mut seen = Vec::new();
    for i in 0..pulls {
        let host = hosts[me].borrow().clone();
        let offer = if i % 3 == 1 {
            let mut delta = hosts[(me + i) % hosts.len()].borrow().delta_since(host.revision());
            delta.records.truncate(if i % 2 == 0 { usize::MAX } else { 1 });
            delta
        } else {
            read_delta(store, &host).await.unwrap_or_default()
        };
        let before = hosts[me].borrow().clone();
        let grew = hosts[me].borrow_mut().apply(&offer);
        match grew {
            Ok(true) => seen.push(hosts[me].borrow().effective_catalog()),
            _ => assert_eq!(*hosts[me].borrow(), before),
        }
    }
    seen
}

/// Catalog that the accepted operations up to `revision` amount to.
fn expected(history: &[Operation], all: &BTreeMap<&str, &Change>, revision: u64) -> CatalogSpec {
    let mut catalog = CatalogSpec::default();
    let mut out: Vec<&Target> = Vec::new();
    for o in history.iter().filter(|o| o.revision <= revision) {
        match all[o.id.split('.').next().unwrap()] {
            Change::ApplySheet { sheet, .. } => catalog = sheet.catalog.clone(),
            Change::SetOverride(target) => out.push(target),
            Change::ClearOverride(target) => out.retain(|t| *t != target),
            Change::Recover(_) => unreachable!("not generated"),
        }
    }
    catalog.revision = revision;
    let zones = catalog.zones.iter_mut().filter(|z| out.contains(&&Target::Zone(z.name.clone())));
    zones.for_each(|z| z.in_service = false);
    let servers = catalog.servers.iter_mut();
    let drained = servers.filter(|s| out.contains(&&Target::Server(s.name.clone())));
    drained.for_each(|s| s.in_service = false);
    catalog
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(200))]

    /// Guards the plain statements: an accepted revision never reverts on any
    /// host, a zone taken out stays out until brought back, unknown is never
    /// reported as failed, an older export never replaces a newer one.
    #[test]
    fn plain_statements_hold(
        seed: u64,
        faulty in 0u32..60,
        first in prop::collection::vec(changes(), 1..6),
        second in prop::collection::vec(changes(), 1..6),
    ) {
        let runtime = Builder::new_current_thread().enable_all().build().unwrap();
        let store = FakeStore::new();
        let stepped = Stepped::new(&store, seed, faulty);
        let copies: [RefCell<ConfigReplica>; 3] = Default::default();
        let (a, b, hosts, history) = runtime.block_on(async {
            common::change(&store, &common::apply(common::sheet(5, 70, 2)), "start").await;
            let (a, b, h1, h2, h3) = tokio::join!(
                operate(&stepped, "alice", &first),
                operate(&stepped, "bob", &second),
                adopt(&stepped, &copies, 0, PULLS),
                adopt(&stepped, &copies, 1, PULLS),
                adopt(&stepped, &copies, 2, PULLS),
            );
            stepped.settle().await;
            let end = adopt(&store, &[RefCell::default()], 0, 1).await;
            (a, b, [h1, h2, h3, end], read_history(&store).await.unwrap())
        });
        let start = common::apply(common::sheet(5, 70, 2));
        let logs = a.results.iter().chain(&b.results);
        let mut all: BTreeMap<&str, &Change> = logs.clone().map(|r| (&*r.0, &r.1)).collect();
        all.insert("start", &start);

        for (id, _, result) in logs {
            let accepted = history.iter().find(|o| o.id.split('.').next() == Some(id));
            match result {
                ChangeResult::Accepted(r) => prop_assert_eq!(Some(&r.operation), accepted),
                ChangeResult::Unknown { .. } => {}
                failed => prop_assert_eq!(None, accepted, "{:?}", failed),
            }
        }
        let last = hosts[3].last().map(|c| c.revision);
        prop_assert_eq!(last, history.last().map(|o| o.revision), "readable when all is well");
        for seen in &hosts {
            prop_assert!(seen.is_sorted_by(|a, b| a.revision < b.revision));
            for catalog in seen {
                prop_assert_eq!(catalog, &expected(&history, &all, catalog.revision));
            }
        }
        let exports: Vec<_> = history.iter().filter_map(|o| match all[o.id.split('.').next()?] {
            Change::ApplySheet { sheet, .. } => Some(sheet.exported),
            _ => None,
        }).collect();
        prop_assert!(exports.is_sorted());
    }
}
