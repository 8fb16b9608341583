//! Shared state of a service: retry budget, limiter, latency, recent successes
//! and replica health.

use std::time::Duration;
use std::time::Instant;

use chervil_plan::budget::RetryBudget;
use chervil_plan::latency::LatencyHistogram;
use chervil_plan::limiter::Limiter;
use chervil_plan::recent::RecentSuccesses;
use chervil_plan::replica::ReplicaHealth;

fn millis(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// Budget without its initial tokens.
fn empty_budget() -> RetryBudget {
    let mut budget = RetryBudget::new(0.05, 0.10);
    while budget.take_retry() {}
    budget
}

#[test]
fn hedges_stay_within_steady_extra() {
    // Guards against hedges that overload the servers when every reply is slow:
    // they may add 5 % to the needed sub-requests.
    let (mut budget, now) = (empty_budget(), Instant::now());
    let mut granted = 0;

    for _ in 0..1000 {
        budget.deposit(100);
        granted += (0..100).filter(|_| budget.take_hedge(now)).count();
    }

    assert!((4900..=5000).contains(&granted), "{granted} of 100000");
}

#[test]
fn retries_and_hedges_under_faults_stay_within_fault_extra() {
    // Guards against a retry storm during an outage: retries and hedges together
    // may add 10 % to the needed sub-requests.
    let (mut budget, now) = (empty_budget(), Instant::now());
    let mut granted = 0;

    for _ in 0..1000 {
        budget.deposit(100);
        budget.record_fault(now);
        granted += (0..50).filter(|_| budget.take_hedge(now)).count();
        granted += (0..50).filter(|_| budget.take_retry()).count();
    }

    assert!((9900..=10_000).contains(&granted), "{granted} of 100000");
}

#[test]
fn one_overload_lowers_the_limit_once_and_it_recovers() {
    // Guards against a limit that collapses because many queries report the same
    // overload, and against one that never grows again.
    let (mut limiter, now) = (Limiter::new(100, 200), Instant::now());
    for _ in 0..100 {
        limiter.try_acquire().unwrap();
    }
    assert!(limiter.try_acquire().is_err(), "admitted a request above the limit");

    for _ in 0..50 {
        limiter.release(millis(10), true, now);
    }
    let low = limiter.limit();
    for _ in 0..20_000 {
        while limiter.try_acquire().is_ok() {}
        limiter.release(millis(10), false, now);
    }

    assert_eq!(low, 85);
    assert!(limiter.limit() > 150, "{}", limiter.limit());
}

#[test]
fn an_overload_lowers_a_limit_far_above_the_running_requests() {
    // Guards against an overload that lasts until a limit far above the running
    // requests has come down step by step.
    let (mut limiter, now) = (Limiter::new(1000, 1000), Instant::now());
    for step in 0..10 {
        let admitted = (0..5).filter(|_| limiter.try_acquire().is_ok()).count();
        (0..admitted).for_each(|_| limiter.release(millis(10), true, now + millis(200 * step)));
    }

    assert!(limiter.limit() <= 5, "{}", limiter.limit());
}

#[test]
fn a_refused_request_gets_a_bounded_retry_hint() {
    // Guards against a hint of 0, which would make callers retry in a busy loop,
    // and against one of minutes.
    let (mut limiter, now) = (Limiter::new(2, 2), Instant::now());
    limiter.try_acquire().unwrap();
    limiter.try_acquire().unwrap();

    let fast = limiter.try_acquire().unwrap_err();
    for _ in 0..100 {
        limiter.release(Duration::from_secs(60), false, now);
        limiter.try_acquire().unwrap();
    }
    let slow = limiter.try_acquire().unwrap_err();

    assert!(fast.retry_ms >= 20);
    assert_eq!(slow.retry_ms, 2000);
}

#[test]
fn the_hedge_delay_follows_recent_latency_only() {
    // Guards against a hedge delay that stays high after a period of slow replies
    // has ended.
    let (mut latency, start) = (LatencyHistogram::new(), Instant::now());
    for _ in 0..1000 {
        latency.record(millis(400), start);
    }
    let before = latency.hedge_delays(0.98, start);

    for step in 1..=12 {
        let now = start + Duration::from_secs(step);
        (0..500).for_each(|_| latency.record(millis(10), now));
    }
    let after = latency.hedge_delays(0.98, start + Duration::from_secs(12));

    assert!(before.unwrap().hedge >= millis(390));
    assert!(after.unwrap().hedge <= millis(11));
}

#[test]
fn no_hedge_delay_below_the_minimum_of_samples() {
    // Guards against a hedge delay derived from the first few replies of a
    // process.
    let (mut latency, now) = (LatencyHistogram::new(), Instant::now());
    (0..199).for_each(|_| latency.record(millis(1), now));

    assert_eq!(latency.hedge_delays(0.98, now), None);
}

#[test]
fn hanging_sub_requests_do_not_raise_the_hedge_delay() {
    // Guards against a feedback loop: cancelled sub-requests are recorded with the
    // time they had run, so with many hanging connections each hedge would raise
    // the next delay.
    let (mut latency, now) = (LatencyHistogram::new(), Instant::now());
    (0..900).for_each(|_| latency.record(millis(10), now));
    (0..100).for_each(|_| latency.record(millis(900), now));

    let delay = latency.hedge_delays(0.98, now).unwrap().hedge;

    assert!(delay <= millis(41), "{delay:?}");
}

#[test]
fn successes_expire_and_are_removed_on_a_loss() {
    // Guards against a request that succeeded once and skips the canary probe for
    // ever.
    let (mut recent, now) = (RecentSuccesses::new(millis(100)), Instant::now());
    recent.insert(1, now);
    recent.insert(2, now);

    recent.remove(2);

    assert!(recent.contains(1, now + millis(99)));
    assert!(!recent.contains(2, now));
    assert!(!recent.contains(1, now + millis(250)));
}

#[test]
fn a_failing_server_is_deprioritized_for_longer_each_time() {
    // Guards against a dead server that is preferred again after each short
    // penalty.
    let (mut health, now) = (ReplicaHealth::default(), Instant::now());

    health.record_failure("a", now);
    let once = health.is_deprioritized("a", now + millis(300));
    health.record_failure("a", now);
    let twice = health.is_deprioritized("a", now + millis(300));
    health.record_success("a");

    assert!(!once && twice);
    assert!(!health.is_deprioritized("a", now));
}

#[test]
fn a_server_with_consecutive_slow_replies_is_deprioritized() {
    // Guards against a hanging server that costs every query a hedge delay: its
    // sub-requests are cancelled when the hedge wins and never count as failed.
    let (mut health, now) = (ReplicaHealth::default(), Instant::now());

    (0..2).for_each(|_| health.record_slow("a", millis(50), now));
    let few = health.is_deprioritized("a", now);
    health.record_slow("a", millis(50), now);

    assert!(!few);
    assert!(health.is_deprioritized("a", now));
}

#[test]
fn cost_follows_load_latency_and_slots() {
    // Guards against a cost that ignores the sub-requests in flight, the measured
    // latency or the number of slots.
    let mut health = ReplicaHealth::default();
    health.record_latency("fast", millis(10));
    (0..50).for_each(|_| health.record_latency("slow", millis(100)));
    health.record_sent("fast");
    let loaded = health.cost("fast", 2, 0);
    health.record_ended("fast");

    assert!(loaded > health.cost("fast", 2, 0));
    assert!(health.cost("slow", 2, 0) > 3.0 * health.cost("fast", 2, 0));
    assert!(health.cost("fast", 6, 0) < health.cost("fast", 2, 0));
}
