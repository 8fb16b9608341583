//! Requests to a gate: ask, run and cancel.

#![allow(clippy::unwrap_used)]

use chervil_rpc::gate::*;

mod fixture;

/// Service time that is longer than any test, in milliseconds.
const STALL_MS: f64 = 60_000.0;

/// Guards against lost or mixed-up replies, and against more concurrent requests to a
/// server than it has slots, when a batch has 20 times as many items as slots.
#[tokio::test]
async fn every_item_is_answered_within_the_slots() {
    let system = fixture::single_server(2, "").await;

    let items = (0..40).map(|a| fixture::item(a, false)).collect();
    let replies = fixture::ask(&system.client, fixture::batch(9, items)).await;

    let mut attempts: Vec<u32> = replies.iter().map(|r| r.attempt).collect();
    attempts.sort_unstable();
    assert_eq!(attempts, (0..40).collect::<Vec<u32>>());
    assert!(replies.iter().all(|r| r.incarnation == 7 && r.query == 9));
    assert!(replies.iter().all(|r| matches!(r.result, AskResult::Rows { version: 3, .. })));
    assert_eq!(system.stats().peak_running, 2);
}

/// Guards against full load on a server that may be cold: the gate has sent it no
/// request yet, so it must not use all slots at once.
#[tokio::test]
async fn an_unused_server_gets_one_request_at_a_time() {
    let system = fixture::single_server(6, "").await;

    let items = (0..8).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&system.client, fixture::batch(1, items)).await;

    assert_eq!(system.stats().peak_running, 1);
}

/// Guards against a second execution of a non-idempotent request: its connection is
/// lost after it was written, so the server may have executed it.
#[tokio::test]
async fn run_with_a_lost_connection_is_unknown_and_not_resent() {
    let system = fixture::single_server(2, "").await;
    let done = system.client.run(fixture::run_request("k1")).await.unwrap();
    system.set_faults(|f| f.reset_share = 1.0);

    let lost = system.client.run(fixture::run_request("k2")).await.unwrap();

    assert!(matches!(done, RunReply::Done { .. }));
    assert_eq!(lost, RunReply::Unknown);
    assert_eq!((system.stats().runs, system.stats().peak_key_runs), (2, 1));
}

/// Guards against an unknown outcome after the server refused a request, although the
/// refusal shows that the request was not executed.
#[tokio::test]
async fn run_refused_by_the_server_is_reported_as_not_run() {
    let system = fixture::single_server(2, "").await;
    system.set_faults(|f| (f.draining, f.hide_draining) = (true, true));

    let reply = system.client.run(fixture::run_request("k1")).await.unwrap();

    assert_eq!(reply, RunReply::NotRun { reason: Refusal::Draining });
}

/// Guards against entries that learn of a version change too late: the server's refusal
/// names the versions that it holds, and an outdated status must not override them.
#[tokio::test]
async fn wrong_version_is_reported_with_the_held_versions() {
    let system = fixture::single_server(2, "").await;
    system.set_faults(|f| f.status_frozen = true);
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

/// Guards against slots that cancelled work keeps in use: dropping the subscription must
/// remove the queued items and close the connection of the running one.
#[tokio::test]
async fn a_dropped_subscription_cancels_queued_and_running_items() {
    let system = fixture::single_server(2, "").await;
    system.set_faults(|f| f.base_ms = STALL_MS);
    let items = (0..5).map(|a| fixture::item(a, false)).collect();
    let subscription = system.client.ask(fixture::batch(1, items)).await.unwrap();
    fixture::eventually(async || system.stats().running == 1).await;

    drop(subscription);

    fixture::eventually(async || system.stats().cancelled == 1).await;
    system.set_faults(|f| f.base_ms = 0.0);
    let batch = fixture::batch(2, vec![fixture::item(0, false)]);
    let replies = fixture::ask(&system.client, batch).await;
    assert!(matches!(replies[0].result, AskResult::Rows { .. }));
    assert_eq!(system.requests_received(), 2);
}

/// Guards against a stalled attempt that blocks its shard: an attempt with `fresh` set
/// must get another connection and take over the only slot.
#[tokio::test]
async fn a_fresh_attempt_succeeds_while_another_stalls() {
    let system = fixture::single_server(1, "").await;
    system.set_faults(|f| f.base_ms = STALL_MS);
    let first = fixture::batch(1, vec![fixture::item(0, false)]);
    let mut stalled = system.client.ask(first).await.unwrap();
    fixture::eventually(async || system.stats().running == 1).await;
    system.set_faults(|f| f.base_ms = 0.0);

    let fresh = fixture::batch(1, vec![fixture::item(1, true)]);
    let replies = fixture::ask(&system.client, fresh).await;

    assert!(matches!(replies[0].result, AskResult::Rows { .. }));
    assert!(matches!(fixture::next_reply(&mut stalled).await.result, AskResult::TimedOut));
    assert_eq!(system.stats().peak_running, 1);
}
