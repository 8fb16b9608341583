//! Asking, running and cancelling through a gate.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::GateRpcClient as _;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use fixture::agent;
use fixture::agent::FakeAgent;
use fixture::backend::FakeBackend;

mod fixture;

async fn system(slots: u32) -> (FakeBackend, FakeAgent) {
    let backend = FakeBackend::start(slots).await;
    let servers = vec![agent::server("lookup-1", backend.address, slots, 10)];
    let agent = FakeAgent::start(servers, vec![agent::host("h1", agent::nowhere())]).await;
    (backend, agent)
}

/// Guards against lost or mixed-up replies, and against more requests at the
/// server than it has slots.
#[tokio::test]
async fn every_item_is_answered_within_the_slots() {
    let (backend, agent) = system(2).await;
    backend.state().delay = Duration::from_millis(2);
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;

    let items = (0..40).map(|a| fixture::item(a, false)).collect();
    let replies = fixture::ask(&client, fixture::batch(9, items)).await;

    let mut attempts: Vec<u32> = replies.iter().map(|r| r.attempt).collect();
    attempts.sort_unstable();
    assert_eq!(attempts, (0..40).collect::<Vec<u32>>());
    assert!(replies.iter().all(|r| r.incarnation == 7 && r.query == 9));
    assert!(replies.iter().all(|r| matches!(r.result, AskResult::Rows { version: 3, .. })));
    assert_eq!(backend.state().peak, 2);
}

/// Guards against a server that was never used getting its full load at once.
#[tokio::test]
async fn an_unused_server_gets_one_request_at_a_time() {
    let (backend, agent) = system(6).await;
    backend.state().delay = Duration::from_millis(2);
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;

    let items = (0..8).map(|a| fixture::item(a, false)).collect();
    fixture::ask(&client, fixture::batch(1, items)).await;

    assert_eq!(backend.state().peak, 1);
}

/// Guards against non-idempotent work being sent again after a loss.
#[tokio::test]
async fn lost_work_is_unknown_and_sent_once() {
    let (backend, agent) = system(2).await;
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    let done = client.run(fixture::run_request("k1")).await.unwrap();
    backend.state().resets = 1;

    let lost = client.run(fixture::run_request("k2")).await.unwrap();

    assert!(matches!(done, RunReply::Done { .. }));
    assert_eq!(lost, RunReply::Unknown);
    assert_eq!(backend.state().runs, ["k1", "k2"]);
}

/// Guards against a refusal by the server being taken for an unknown end.
#[tokio::test]
async fn refused_work_is_not_run() {
    let (backend, agent) = system(2).await;
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    backend.state().refuse = Some("busy");

    let reply = client.run(fixture::run_request("k1")).await.unwrap();

    assert_eq!(reply, RunReply::NotRun { reason: Refusal::Busy });
}

/// Guards against the entry learning of a version change too late: the
/// refusal itself carries what the server holds.
#[tokio::test]
async fn a_version_that_is_gone_is_reported_with_the_held_ones() {
    let (backend, agent) = system(2).await;
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    backend.state().version = 4;

    let replies = fixture::ask(&client, fixture::batch(1, vec![fixture::item(0, false)])).await;

    let AskResult::WrongVersion { held } = &replies[0].result else {
        panic!("{:?}", replies[0].result);
    };
    assert_eq!(held[0].version, 4);
}

/// Guards against abandoned work holding slots: dropping the subscription
/// removes queued items and closes the connection of the running one.
#[tokio::test]
async fn a_dropped_subscription_cancels_queued_and_running_items() {
    let (backend, agent) = system(2).await;
    backend.state().delay = Duration::from_secs(60);
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    let items = (0..5).map(|a| fixture::item(a, false)).collect();
    let subscription = client.ask(fixture::batch(1, items)).await.unwrap();
    fixture::eventually(async || backend.state().running == 1).await;

    drop(subscription);

    fixture::eventually(async || backend.state().cancelled == 1).await;
    backend.state().delay = Duration::ZERO;
    let replies = fixture::ask(&client, fixture::batch(2, vec![fixture::item(0, false)])).await;
    assert!(matches!(replies[0].result, AskResult::Rows { .. }));
    assert_eq!(backend.state().started, 2);
}

/// Guards against a silent connection blocking its shard: the fresh attempt
/// gets another connection and the only slot.
#[tokio::test]
async fn a_fresh_attempt_succeeds_while_a_connection_is_silent() {
    let (backend, agent) = system(1).await;
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;
    backend.state().silent = 1;
    let first = fixture::batch(1, vec![fixture::item(0, false)]);
    let mut stalled = client.ask(first).await.unwrap();
    fixture::eventually(async || backend.state().running == 1).await;

    let fresh = fixture::batch(1, vec![fixture::item(1, true)]);
    let replies = fixture::ask(&client, fresh).await;

    assert!(matches!(replies[0].result, AskResult::Rows { .. }));
    assert!(matches!(fixture::next(&mut stalled).await.result, AskResult::Lost));
    let state = backend.state();
    assert_eq!(state.dead.len(), 1);
    assert_eq!(state.peak, 1);
}

/// Guards against an unbounded reply filling the memory.
#[tokio::test]
async fn an_oversized_reply_fails() {
    let (backend, agent) = system(2).await;
    backend.state().padding = 5 * 1024 * 1024;
    let (_gate, client) = fixture::start(&agent).await;
    fixture::warm(&client, 1).await;

    let replies = fixture::ask(&client, fixture::batch(1, vec![fixture::item(0, false)])).await;

    assert!(matches!(replies[0].result, AskResult::Failed));
}
