//! Outages of the registry, as one host sees them.

use std::time::Duration;
use std::time::Instant;

use chervil_route::outage::Outage;

const MS: Duration = Duration::from_millis(1);
const SECOND: Duration = Duration::from_secs(1);
const MAX_BACKOFF: Duration = Duration::from_secs(1);

/// An outage in which a call at `now` failed.
fn failed(now: Instant) -> Outage {
    let mut outage = Outage::default();
    outage.record_failure(MAX_BACKOFF, now);
    outage
}

/// Guards against a host that takes the loss of its sources for an outage of the registry, since
/// it remembers a failed call from an outage that other hosts have shown to be over (DRAIN).
#[test]
fn data_of_another_host_end_an_outage() {
    let start = Instant::now();
    let mut outage = failed(start + SECOND);
    let shown = outage.record_contact(Some(start), start + 4 * SECOND);

    let later = outage.record_contact(Some(start + 13 * SECOND), start + 16 * SECOND);

    assert_eq!(shown, Some(4 * SECOND));
    assert_eq!(later, None);
    assert!(!outage.is_ongoing());
}

/// Guards against data from before a failed call that are taken as the end of the outage: live
/// servers whose entries lapsed would be removed.
#[test]
fn data_from_before_the_latest_failure_do_not_end_an_outage() {
    let start = Instant::now();
    let mut outage = failed(start + SECOND);
    outage.record_failure(MAX_BACKOFF, start + 3 * SECOND);

    let shown = outage.record_contact(Some(start), start + 2 * SECOND);

    assert_eq!(shown, None);
    assert!(outage.is_ongoing());
}

/// Guards against a backoff that outlives its outage: one failed call later would cost seconds.
#[test]
fn backoff_grows_within_one_outage_only() {
    let start = Instant::now();
    let mut outage = failed(start);
    for _ in 0..5 {
        outage.record_failure(MAX_BACKOFF, start);
    }
    let longest = outage.retry_at(start);
    outage.record_contact(Some(start), start + SECOND);

    let is_first = outage.record_failure(MAX_BACKOFF, start + 2 * SECOND);

    assert_eq!(longest, Some(start + MAX_BACKOFF));
    assert!(is_first);
    assert_eq!(outage.retry_at(start + 2 * SECOND), Some(start + 2 * SECOND + 150 * MS));
    assert_eq!(outage.retry_at(start + 3 * SECOND), None);
}

/// Guards against a host that holds removals back before it has a state.
#[test]
fn first_contact_ends_an_outage_of_no_length() {
    let start = Instant::now();
    let mut outage = failed(start);

    assert_eq!(outage.record_contact(None, start + SECOND), Some(Duration::ZERO));
}
