//! Comparison of catalogs, and the text form of export times.
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use chervil_base::catalog::CatalogSpec;
use chervil_sheet::diff::Diff;
use chervil_sheet::sheet::Sheet;
use chervil_sheet::time::ExportTime;
use proptest::prelude::*;

/// Catalog of one zone and one service with servers of these names and slots.
fn catalog(servers: &[(&str, u32)]) -> CatalogSpec {
    let mut text = String::from(
        "kind,name,service,zone,address,slots,connections,connect_ms,shards,state\n\
         sheet,2026-12-04T06:00:00Z,,,,,,,,\nzone,z1,,,,,,,,in\nservice,lookup,,,,,,,1,in\n",
    );
    for (name, slots) in servers {
        let port = 9000 + name.len() * 256 + name.bytes().map(usize::from).sum::<usize>();
        text.push_str(&format!("server,{name},lookup,z1,127.0.0.1:{port},{slots},50,6,0,in\n"));
    }
    Sheet::parse("s.csv", text.as_bytes()).unwrap().catalog
}

/// Operators decide by these lines whether to apply a sheet. Guards against a
/// difference that is missing, listed twice or shown with wrong values.
#[test]
fn diff_lists_added_removed_and_changed_servers() {
    let old = catalog(&[("a", 2), ("b", 2), ("c", 2)]);
    let new = catalog(&[("b", 3), ("c", 2), ("d", 2)]);

    let diff = Diff::new(&old, &new);

    let lines: Vec<_> = diff.differences.iter().map(ToString::to_string).collect();
    assert_eq!(lines, ["- server a", "~ server b slots 2 -> 3", "+ server d"]);
    assert_eq!(&*diff.summary(), "1 server added, 1 server removed, 1 server changed");
    assert!(Diff::new(&old, &old).is_empty());
}

/// Guards against an off-by-one error at the limit: removing exactly a fifth
/// of a service's servers needs no confirmation. Also guards against a server
/// that is not counted as removed because it moved to another service.
#[test]
fn removal_is_large_above_a_fifth_of_the_service() {
    let names = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j"].map(|n| (n, 2));
    let old = catalog(&names);
    let mut moved = old.clone();
    moved.servers[0].service = "billing".into();

    let fifth = Diff::new(&old, &catalog(&names[2..]));
    let more = Diff::new(&old, &catalog(&names[3..]));
    let moved = Diff::new(&old, &moved);

    assert_eq!((fifth.removed_servers(), fifth.removals[0].is_large()), (2, false));
    assert_eq!((more.removed_servers(), more.removals[0].is_large()), (3, true));
    assert_eq!(moved.removed_servers(), 1);
}

proptest! {
    /// A sheet is rejected if the stored export time is later. Guards against
    /// times that change when they are written and parsed again.
    #[test]
    fn export_time_round_trips_through_text(seconds in 0u64..250_000_000_000) {
        let time = ExportTime::from_unix_secs(seconds);
        prop_assert_eq!(time.to_string().parse::<ExportTime>().unwrap(), time);
    }
}
