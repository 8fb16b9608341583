//! Asking, running and cancelling through a gate.

#![allow(clippy::unwrap_used)]

use chervil_rpc::gate::*;

mod fixture;

/// A service time that no test waits for.
const NEVER_MS: f64 = 60_000.0;

/// Guards against lost or mixed-up replies, and against more requests at the
/// server than it has slots.
#[tokio::test]
async fn every_item_is_answered_within_the_slots() {
    let system = fixture::one(2, "").await;

    let items = (0..40).map(|a| fixture::item(a, false)).collect();
    let replies = fixture::ask(&system.client, fixture::batch(9, items)).await;

    let mut attempts: Vec<u32> = replies.iter().map(|r| r.attempt).collect();
    attempts.sort_unstable();
    assert_eq!(attempts, (0..40).collect::<Vec<u32>>());
    assert!(replies.iter().all(|r| r.incarnation == 7 && r.query == 9));
    assert!(replies.iter().all(|r| matches!(r.result, AskResult::Rows { version: 3, .. })));
    assert_eq!(system.stats().peak_running, 2);
}

/// Guards against a server that was never used getting its full load at once.
#[tokio::test]
async fn an_unused_server_gets_one_request_at_a_time() {
    let system = fixture::one(6, "").await;

    let items = (0..8).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&system.client, fixture::batch(1, items)).await;

    assert_eq!(system.stats().peak_running, 1);
}

/// Guards against non-idempotent work being sent again after a loss.
#[tokio::test]
async fn lost_work_is_unknown_and_sent_once() {
    let system = fixture::one(2, "").await;
    let done = system.client.run(fixture::run_request("k1")).await.unwrap();
    system.faults(|f| f.reset_share = 1.0);

    let lost = system.client.run(fixture::run_request("k2")).await.unwrap();

    assert!(matches!(done, RunReply::Done { .. }));
    assert_eq!(lost, RunReply::Unknown);
    assert_eq!((system.stats().runs, system.stats().peak_key_runs), (2, 1));
}

/// Guards against a refusal by the server being taken for an unknown end.
#[tokio::test]
async fn refused_work_is_not_run() {
    let system = fixture::one(2, "").await;
    system.faults(|f| (f.draining, f.hide_draining) = (true, true));

    let reply = system.client.run(fixture::run_request("k1")).await.unwrap();

    assert_eq!(reply, RunReply::NotRun { reason: Refusal::Draining });
}

/// Guards against the entry learning of a version change too late: the refusal
/// itself carries what the server holds, and a status that lags does not undo
/// it.
#[tokio::test]
async fn a_version_that_is_gone_is_reported_with_the_held_ones() {
    let system = fixture::one(2, "").await;
    system.faults(|f| f.status_frozen = true);
    {
        let mut model = system.standin.cluster.servers[0].model();
        let newer = chervil_base::index::HeldVersion { version: 4, ..model.versions()[0].clone() };
        model.retire(3);
        model.publish(newer);
    }

    let batch = fixture::batch(1, vec![fixture::item(0, false)]);
    let replies = fixture::ask(&system.client, batch).await;

    let AskResult::WrongVersion { held } = &replies[0].result else {
        panic!("{:?}", replies[0].result);
    };
    assert_eq!(held[0].version, 4);
    assert_eq!(system.client.index("lookup".into()).await.unwrap()[0].versions[0].version, 4);
}

/// Guards against abandoned work holding slots: dropping the subscription
/// removes queued items and closes the connection of the running one.
#[tokio::test]
async fn a_dropped_subscription_cancels_queued_and_running_items() {
    let system = fixture::one(2, "").await;
    system.faults(|f| f.base_ms = NEVER_MS);
    let items = (0..5).map(|a| fixture::item(a, false)).collect();
    let subscription = system.client.ask(fixture::batch(1, items)).await.unwrap();
    fixture::eventually(async || system.stats().running == 1).await;

    drop(subscription);

    fixture::eventually(async || system.stats().cancelled == 1).await;
    system.faults(|f| f.base_ms = 0.0);
    let batch = fixture::batch(2, vec![fixture::item(0, false)]);
    let replies = fixture::ask(&system.client, batch).await;
    assert!(matches!(replies[0].result, AskResult::Rows { .. }));
    assert_eq!(system.arrived(), 2);
}

/// Guards against a stalled attempt blocking its shard: the fresh attempt gets
/// another connection and the only slot.
#[tokio::test]
async fn a_fresh_attempt_succeeds_while_another_stalls() {
    let system = fixture::one(1, "").await;
    system.faults(|f| f.base_ms = NEVER_MS);
    let first = fixture::batch(1, vec![fixture::item(0, false)]);
    let mut stalled = system.client.ask(first).await.unwrap();
    fixture::eventually(async || system.stats().running == 1).await;
    system.faults(|f| f.base_ms = 0.0);

    let fresh = fixture::batch(1, vec![fixture::item(1, true)]);
    let replies = fixture::ask(&system.client, fresh).await;

    assert!(matches!(replies[0].result, AskResult::Rows { .. }));
    assert!(matches!(fixture::next(&mut stalled).await.result, AskResult::TimedOut));
    assert_eq!(system.stats().peak_running, 1);
}
