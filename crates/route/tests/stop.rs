//! Requests that come while a host stops. Load pattern: callers that send on until the process
//! is gone.

use std::time::Duration;

use chervil_route::stop;

const TYPICAL: Duration = Duration::from_millis(90);

const TIMEOUT: Duration = Duration::from_secs(4);

/// Guards against requests that are cut off when the process ends, and against refusing those
/// that can be served: one request every 50 ms of a grace period of six seconds.
#[test]
fn requests_are_taken_while_they_can_end_before_the_stop() {
    let lefts = (0..120u32).map(|i| Duration::from_millis(50) * i);

    let (taken, refused): (Vec<Duration>, Vec<Duration>) =
        lefts.partition(|left| stop::admits(*left, TIMEOUT, TYPICAL));

    assert!(taken.iter().all(|left| *left >= 4 * TYPICAL), "{taken:?}");
    assert!(refused.iter().all(|left| *left < TIMEOUT / 4), "{refused:?}");
}

/// Guards against refusing a request whose caller does not wait longer than the host runs.
#[test]
fn request_that_ends_before_the_stop_in_any_case_is_taken() {
    let left = Duration::from_millis(200);

    assert!(stop::admits(left, left, TYPICAL));
}
