//! Fixtures: sheets, changes, stores with faults, and editors.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::fmt::Write as _;
use std::time::Duration;
use std::time::SystemTime;

use chervil_base::clock::ManualClock;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::Editor;
use chervil_config::EditorSettings;
use chervil_config::Target;
use chervil_config::read_delta;
use chervil_fakes::FakeStore;
use chervil_sheet::sheet::Sheet;

pub mod faulty_store;
pub mod racing_store;

/// 2026-12-04T06:00:00Z, in seconds since 1970.
pub const SIX_AM_SECS: u64 = 1_796_364_000;

/// Clock at 07:00, an hour after the export of most sheets.
pub fn clock() -> ManualClock {
    ManualClock::new(SystemTime::UNIX_EPOCH + Duration::from_secs(SIX_AM_SECS + 3600))
}

/// Text of a sheet exported at `hour`, with `servers` servers l0, l1, ... of one
/// service, alternating between zones z1 and z2, with `slots` slots each.
pub fn sheet_text(hour: u32, servers: usize, slots: u32) -> String {
    let mut text =
        String::from("kind,name,service,zone,address,slots,connections,connect_ms,shards,state\n");
    writeln!(text, "sheet,2026-12-04T{hour:02}:00:00Z,,,,,,,,").unwrap();
    text.push_str("zone,z1,,,,,,,,in\nzone,z2,,,,,,,,in\nservice,lookup,,,,,,,4,in\n");
    for i in 0..servers {
        let zone = i % 2 + 1;
        let port = 10_000 + i;
        writeln!(text, "server,l{i},lookup,z{zone},127.0.0.1:{port},{slots},50,6,0-3,in").unwrap();
    }
    text
}

pub fn sheet(hour: u32, servers: usize, slots: u32) -> Sheet {
    Sheet::parse("sheet.csv", sheet_text(hour, servers, slots).as_bytes()).unwrap()
}

pub fn apply_sheet(sheet: Sheet) -> Change {
    Change::ApplySheet { sheet, confirmed_removals: None }
}

pub fn zone(name: &str) -> Target {
    Target::Zone(name.into())
}

pub fn server(name: &str) -> Target {
    Target::Server(name.into())
}

pub fn editor_settings() -> EditorSettings {
    EditorSettings { max_attempts: 3, initial_backoff: Duration::from_millis(1) }
}

/// Makes a change as operator alice.
pub async fn make_change(store: &FakeStore, change: &Change, id: &str) -> ChangeResult {
    let clock = clock();
    Editor::new(store, &clock, "alice", editor_settings()).change(change, id).await
}

/// Revision of an accepted change; panics for other results.
pub fn accepted_revision(result: &ChangeResult) -> u64 {
    match result {
        ChangeResult::Accepted(a) => a.operation.revision,
        other => panic!("not accepted: {other:?}"),
    }
}

/// Brings a replica up to date from the store. Returns whether its revision
/// increased.
pub async fn pull(store: &FakeStore, replica: &mut ConfigReplica) -> bool {
    let delta = read_delta(store, replica).await.unwrap();
    replica.apply(&delta).unwrap()
}

pub fn zone_in_service(replica: &ConfigReplica, name: &str) -> bool {
    replica.effective_catalog().zones.iter().any(|z| &*z.name == name && z.in_service)
}
