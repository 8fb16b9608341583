//! What hosts keep to after the registry was restored from an older copy. Load pattern: its
//! list shows servers that have left, calls leaving ones ready, and lacks evacuations.

mod support;

use std::time::Duration;
use std::time::Instant;

use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::Fleet;
use chervil_route::restore::Restoration;

use crate::support::entry;
use crate::support::fleet;

const HOLD: Duration = Duration::from_secs(6);

fn draining(id: &str) -> BackendEntry {
    BackendEntry { draining: true, ..entry(id, "north") }
}

/// After a restore at `now`: "left" has departed before, and "leaving" is draining.
fn restored(now: Instant) -> (Restoration, Fleet) {
    let mut restoration = Restoration::default();
    restoration.record_departure(entry("left", "north"), now);
    restoration.begin(HOLD, now);
    (restoration, fleet(&[draining("leaving"), entry("a", "north")], now))
}

/// Guards against requests to servers that the copy brings back, and against keeping servers
/// out that are new, live or registered under an id for the second time.
#[test]
fn only_entries_that_undo_a_departure_or_drain_are_withheld() {
    let (mut restoration, fleet) = restored(Instant::now());
    let restarted = BackendEntry { started_at_ms: Some(7), ..entry("left", "north") };
    let moved =
        BackendEntry { address: "127.0.0.1:9001".parse().unwrap(), ..entry("leaving", "north") };

    let mut withholds = |entry: &BackendEntry| restoration.withholds(entry, &fleet);

    assert!(withholds(&entry("left", "north")));
    assert!(withholds(&entry("leaving", "north")));
    assert!(!withholds(&draining("leaving")));
    assert!(!withholds(&entry("a", "north")));
    assert!(!withholds(&entry("unknown", "north")));
    assert!(!withholds(&restarted));
    assert!(!withholds(&moved));
}

/// Guards against keeping out for good what the registry still states after the hold, and
/// against applying what it has taken back since.
#[test]
fn what_the_registry_still_states_is_applied_after_the_hold() {
    let now = Instant::now();
    let (mut restoration, fleet) = restored(now);
    restoration.withholds(&entry("left", "north"), &fleet);
    restoration.withholds(&entry("leaving", "north"), &fleet);
    restoration.withholds(&draining("leaving"), &fleet);
    restoration.withholds_revocation("south");
    restoration.withholds_revocation("east");
    restoration.forget_revocation("east");

    let early = restoration.finish(now + HOLD - Duration::from_millis(1));
    let withheld = restoration.finish(now + HOLD).unwrap();

    assert_eq!(early, None);
    assert_eq!(withheld.entries, [entry("left", "north")]);
    assert_eq!(withheld.zones, ["south".into()]);
    assert!(!restoration.is_withholding());
}

/// Guards against servers that stay out after an outage in which their entries expired: they
/// register again, and the registry was not restored.
#[test]
fn nothing_is_withheld_without_a_restore() {
    let now = Instant::now();
    let mut restoration = Restoration::default();
    restoration.record_departure(entry("left", "north"), now);

    assert!(!restoration.withholds(&entry("left", "north"), &fleet(&[], now)));
    assert!(!restoration.withholds_revocation("south"));
}

/// Guards against memory that grows with each server that leaves.
#[test]
fn departures_are_remembered_within_a_limit() {
    let now = Instant::now();
    let mut restoration = Restoration::default();
    for i in 0..5_000 {
        let left_at = now + Duration::from_millis(i);
        restoration.record_departure(entry(&format!("i-{i}"), "north"), left_at);
    }
    restoration.begin(HOLD, now + Duration::from_secs(5));
    let fleet = fleet(&[], now);

    let withheld: Vec<bool> = [0, 4_999]
        .map(|i| restoration.withholds(&entry(&format!("i-{i}"), "north"), &fleet))
        .to_vec();

    assert_eq!(withheld, [false, true]);
}
