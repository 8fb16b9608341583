//! Grants, losses, expiry and eviction of canary permits.

use std::time::Duration;
use std::time::Instant;

use chervil_canary::CanaryPermits;
use chervil_canary::MAX_LOSSES;
use chervil_canary::PROBE_TIMEOUT;
use chervil_canary::RETENTION;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prop_assert;
use proptest::prop_oneof;
use proptest::proptest;

const DIGEST: u64 = 7;

fn request(nonce: u64) -> CanaryRequest {
    CanaryRequest { digest: DIGEST, nonce, forwarded: false }
}

fn report(nonce: u64, result: CanaryResult) -> CanaryReport {
    CanaryReport { digest: DIGEST, nonce, result, forwarded: false }
}

/// Guards against a request that crashes servers reaching a third one when the
/// caller resends it through another entry.
#[test]
fn two_losses_make_a_request_suspect() {
    let now = Instant::now();
    let mut permits = CanaryPermits::default();

    for nonce in 0..2 {
        assert_eq!(permits.request_permit(&request(nonce), now), CanaryReply::Probe);
        permits.report(&report(nonce, CanaryResult::Lost), now);
    }
    let third = permits.request_permit(&request(2), now);

    assert_eq!(third, CanaryReply::Suspect);
}

/// Guards against one broken connection making a harmless request suspect.
#[test]
fn success_after_one_loss_clears_the_losses() {
    let now = Instant::now();
    let mut permits = CanaryPermits::default();
    permits.request_permit(&request(0), now);
    permits.report(&report(0, CanaryResult::Lost), now);

    permits.request_permit(&request(1), now);
    permits.report(&report(1, CanaryResult::Good), now);

    assert_eq!(permits.request_permit(&request(2), now), CanaryReply::Known);
}

/// Guards against several entries probing the same new request on more than two
/// servers concurrently.
#[test]
fn concurrent_permits_are_limited() {
    let now = Instant::now();
    let mut permits = CanaryPermits::default();

    let replies: Vec<CanaryReply> =
        (0..5).map(|n| permits.request_permit(&request(n), now)).collect();

    let probes = replies.iter().filter(|r| **r == CanaryReply::Probe).count();
    assert_eq!(probes, MAX_LOSSES);
    assert!(matches!(replies[2], CanaryReply::Wait { .. }));
}

/// Guards against losses that are never reported because the request crashes the
/// entry host as well.
#[test]
fn probe_without_report_counts_as_lost_after_the_timeout() {
    let start = Instant::now();
    let mut permits = CanaryPermits::default();
    permits.request_permit(&request(0), start);
    permits.request_permit(&request(1), start);

    let reply = permits.request_permit(&request(2), start + PROBE_TIMEOUT);

    assert_eq!(reply, CanaryReply::Suspect);
}

/// Guards against a permit request that is repeated after a lost reply using up
/// both permits.
#[test]
fn repeated_request_gets_the_same_permit() {
    let now = Instant::now();
    let mut permits = CanaryPermits::default();

    permits.request_permit(&request(0), now);
    permits.request_permit(&request(0), now);

    assert_eq!(permits.request_permit(&request(1), now), CanaryReply::Probe);
}

/// Guards against a suspect request being refused for ever, and against its
/// losses being dropped before the retention time.
#[test]
fn suspect_expires_after_the_retention_time() {
    let start = Instant::now();
    let mut permits = CanaryPermits::default();
    permits.report(&report(0, CanaryResult::Lost), start);
    permits.report(&report(1, CanaryResult::Lost), start);

    let before = permits.request_permit(&request(2), start + RETENTION - Duration::from_secs(1));
    let after = permits.request_permit(&request(3), start + RETENTION);

    assert_eq!(before, CanaryReply::Suspect);
    assert_eq!(after, CanaryReply::Probe);
}

/// Guards against a flood of new requests evicting the record of a suspect one.
#[test]
fn eviction_keeps_suspect_requests() {
    let now = Instant::now();
    let mut permits = CanaryPermits::new(8);
    permits.report(&report(0, CanaryResult::Lost), now);
    permits.report(&report(1, CanaryResult::Lost), now);

    for digest in 100..200 {
        let result = CanaryResult::Good;
        permits.report(&CanaryReport { digest, nonce: 0, result, forwarded: false }, now);
    }

    assert!(permits.len() <= 8);
    assert_eq!(permits.request_permit(&request(2), now), CanaryReply::Suspect);
}

#[derive(Clone, Debug)]
enum Step {
    Request,
    /// Reports the running probe at this position as lost.
    ReportLost(usize),
    /// Returns the permit of the running probe at this position unused.
    ReportNotRun(usize),
    /// Advances the clock, in milliseconds.
    Advance(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Request),
        2 => (0..4usize).prop_map(Step::ReportLost),
        1 => (0..4usize).prop_map(Step::ReportNotRun),
        1 => (1..4_000u64).prop_map(Step::Advance),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    /// Guards against an order of permit requests, losses and unused permits in
    /// which a request that crashes every server reaches a third one.
    #[test]
    fn any_order_of_steps_grants_at_most_two_probes(steps in steps()) {
        let mut now = Instant::now();
        let mut permits = CanaryPermits::default();
        let mut running: Vec<u64> = Vec::new();
        let mut granted = 0;
        let mut unused = 0;

        for (nonce, step) in steps.into_iter().enumerate() {
            match step {
                Step::Request => if permits.request_permit(&request(nonce as u64), now) == CanaryReply::Probe {
                    granted += 1;
                    running.push(nonce as u64);
                },
                Step::ReportLost(i) if i < running.len() => {
                    permits.report(&report(running.remove(i), CanaryResult::Lost), now);
                }
                Step::ReportNotRun(i) if i < running.len() => {
                    unused += 1;
                    permits.report(&report(running.remove(i), CanaryResult::NotRun), now);
                }
                Step::Advance(ms) => now += Duration::from_millis(ms),
                Step::ReportLost(_) | Step::ReportNotRun(_) => {}
            }
            prop_assert!(granted - unused <= MAX_LOSSES);
        }
    }
}
