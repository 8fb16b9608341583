//! Tests of the canary permits.

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

fn ask(nonce: u64) -> CanaryRequest {
    CanaryRequest { digest: DIGEST, nonce, forwarded: false }
}

fn report(nonce: u64, result: CanaryResult) -> CanaryReport {
    CanaryReport { digest: DIGEST, nonce, result, forwarded: false }
}

/// Guards against a request that crashes servers being tried on a third one
/// when its caller sends it again through another host.
#[test]
fn refuses_after_two_losses() {
    let now = Instant::now();
    let mut suspects = CanaryPermits::default();

    for nonce in 0..2 {
        assert_eq!(suspects.request_permit(&ask(nonce), now), CanaryReply::Probe);
        suspects.report(&report(nonce, CanaryResult::Lost), now);
    }
    let third = suspects.request_permit(&ask(2), now);

    assert_eq!(third, CanaryReply::Suspect);
}

/// Guards against a mere broken connection making a request suspect.
#[test]
fn success_after_one_loss_clears_the_request() {
    let now = Instant::now();
    let mut suspects = CanaryPermits::default();
    suspects.request_permit(&ask(0), now);
    suspects.report(&report(0, CanaryResult::Lost), now);

    suspects.request_permit(&ask(1), now);
    suspects.report(&report(1, CanaryResult::Good), now);

    assert_eq!(suspects.request_permit(&ask(2), now), CanaryReply::Known);
}

/// Guards against many hosts probing the same new request at once.
#[test]
fn limits_concurrent_probes() {
    let now = Instant::now();
    let mut suspects = CanaryPermits::default();

    let replies: Vec<CanaryReply> = (0..5).map(|n| suspects.request_permit(&ask(n), now)).collect();

    let probes = replies.iter().filter(|r| **r == CanaryReply::Probe).count();
    assert_eq!(probes, MAX_LOSSES);
    assert!(matches!(replies[2], CanaryReply::Wait { .. }));
}

/// Guards against a request that kills its entry host too being forgotten.
#[test]
fn probe_without_report_counts_as_lost() {
    let start = Instant::now();
    let mut suspects = CanaryPermits::default();
    suspects.request_permit(&ask(0), start);
    suspects.request_permit(&ask(1), start);

    let reply = suspects.request_permit(&ask(2), start + PROBE_TIMEOUT);

    assert_eq!(reply, CanaryReply::Suspect);
}

/// Guards against a lost reply to an ask using up both permits.
#[test]
fn repeated_ask_gets_the_same_permit() {
    let now = Instant::now();
    let mut suspects = CanaryPermits::default();

    suspects.request_permit(&ask(0), now);
    suspects.request_permit(&ask(0), now);

    assert_eq!(suspects.request_permit(&ask(1), now), CanaryReply::Probe);
}

/// Guards against suspects being kept for ever, and against being forgotten
/// early.
#[test]
fn suspect_expires_after_the_retention_time() {
    let start = Instant::now();
    let mut suspects = CanaryPermits::default();
    suspects.report(&report(0, CanaryResult::Lost), start);
    suspects.report(&report(1, CanaryResult::Lost), start);

    let before = suspects.request_permit(&ask(2), start + RETENTION - Duration::from_secs(1));
    let after = suspects.request_permit(&ask(3), start + RETENTION);

    assert_eq!(before, CanaryReply::Suspect);
    assert_eq!(after, CanaryReply::Probe);
}

/// Guards against a flood of new requests clearing a suspect from the list.
#[test]
fn eviction_keeps_suspects() {
    let now = Instant::now();
    let mut suspects = CanaryPermits::new(8);
    suspects.report(&report(0, CanaryResult::Lost), now);
    suspects.report(&report(1, CanaryResult::Lost), now);

    for digest in 100..200 {
        let result = CanaryResult::Good;
        suspects.report(&CanaryReport { digest, nonce: 0, result, forwarded: false }, now);
    }

    assert!(suspects.len() <= 8);
    assert_eq!(suspects.request_permit(&ask(2), now), CanaryReply::Suspect);
}

#[derive(Clone, Debug)]
enum Step {
    Ask,
    Lose(usize),
    GiveUp(usize),
    Wait(u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => Just(Step::Ask),
        2 => (0..4usize).prop_map(Step::Lose),
        1 => (0..4usize).prop_map(Step::GiveUp),
        1 => (1..4_000u64).prop_map(Step::Wait),
    ];
    proptest::collection::vec(step, 1..80)
}

proptest! {
    /// Guards against any order of asks, losses and abandoned probes letting
    /// a request that crashes every server reach a third one.
    #[test]
    fn at_most_two_servers_are_lost(steps in steps()) {
        let mut now = Instant::now();
        let mut suspects = CanaryPermits::default();
        let mut running: Vec<u64> = Vec::new();
        let mut permits = 0;
        let mut unused = 0;

        for (nonce, step) in steps.into_iter().enumerate() {
            match step {
                Step::Ask => if suspects.request_permit(&ask(nonce as u64), now) == CanaryReply::Probe {
                    permits += 1;
                    running.push(nonce as u64);
                },
                Step::Lose(i) if i < running.len() => {
                    suspects.report(&report(running.remove(i), CanaryResult::Lost), now);
                }
                Step::GiveUp(i) if i < running.len() => {
                    unused += 1;
                    suspects.report(&report(running.remove(i), CanaryResult::NotRun), now);
                }
                Step::Wait(ms) => now += Duration::from_millis(ms),
                Step::Lose(_) | Step::GiveUp(_) => {}
            }
            prop_assert!(permits - unused <= MAX_LOSSES);
        }
    }
}
