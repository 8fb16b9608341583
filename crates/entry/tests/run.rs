//! Run requests over HTTP, through a real entry to a fake agent and fake gates.

mod support;

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use support::Reply;
use support::System;

/// Idempotency key with the current time plus `offset_s`.
fn key_at(offset_s: i64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
    format!("{}-abcdefgh", now + offset_s)
}

async fn post(system: &System) -> Reply {
    system.post("/run/lookup", &[("idempotency-key", &key_at(0))], "order").await
}

/// Makes servers refuse run requests.
fn refuse(system: &System, servers: &[u32], reason: Refusal) {
    system.configure_gates(|g| {
        for i in servers {
            g.run_replies.insert(format!("lookup-{i}").into(), RunReply::NotRun { reason });
        }
    });
}

#[tokio::test]
async fn a_run_claims_its_key_runs_once_and_records_the_outcome() {
    // Guards against a run without a claim, and an outcome that is not recorded
    // under the claim's nonce.
    let system = System::start().await;

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (200, &"done".into()));
    assert_eq!(reply.json["reply"], "ran order");
    assert_eq!(system.run_servers().len(), 1);
    let state = system.agent.state();
    assert_eq!(state.claims[0].nonce, state.settled[0].nonce);
    assert_eq!(state.settled[0].outcome, RecordedOutcome::Done { body: "ran order".into() });
}

#[tokio::test]
async fn a_refused_run_is_sent_to_the_next_server() {
    // Guards against giving up when busy servers refuse although another is free.
    let system = System::start().await;
    refuse(&system, &[1, 2], Refusal::Busy);

    let reply = post(&system).await;

    assert_eq!(reply.status, 200);
    assert_eq!(system.run_servers().last().map(|s| &**s), Some("lookup-3"));
}

#[tokio::test]
async fn a_run_with_an_unknown_outcome_is_not_retried() {
    // Guards against running work twice when a server may have started it.
    let system = System::start().await;
    let unknown = |i: u32| (format!("lookup-{i}").into(), RunReply::Unknown);
    system.configure_gates(|g| g.run_replies = (1..=3).map(unknown).collect());

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (504, &"unknown".into()));
    assert_eq!(system.run_servers().len(), 1);
    assert_eq!(system.agent.state().settled[0].outcome, RecordedOutcome::Unknown);
}

#[tokio::test]
async fn a_run_that_all_servers_refuse_is_reported_and_recorded_as_not_run() {
    // Guards against a key that stays claimed although nothing was run, so that
    // a resend with it fails.
    let system = System::start().await;
    refuse(&system, &[1, 2, 3], Refusal::Busy);

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (503, &"not_run".into()));
    assert!(reply.retry_after.is_some());
    assert_eq!(system.agent.state().settled[0].outcome, RecordedOutcome::NotRun);
}

#[tokio::test]
async fn no_server_is_asked_without_a_granted_claim() {
    // Guards against running work that another request with the key is running or
    // has done, or whose key could not be claimed.
    let system = System::start().await;
    let cases = [
        (ClaimReply::Done { body: "before".into() }, 200, "done"),
        (ClaimReply::Running, 409, "unknown"),
        (ClaimReply::Mismatch, 409, "unknown"),
        (ClaimReply::Unknown, 504, "unknown"),
        (ClaimReply::Unavailable, 503, "not_run"),
        (ClaimReply::Invalid { remedy: "use a new key".into() }, 400, "not_run"),
    ];

    for (claim, status, outcome) in cases {
        system.agent.state().claim_reply = claim.clone();
        let reply = post(&system).await;
        assert_eq!((reply.status, &reply.json["outcome"]), (status, &outcome.into()), "{claim:?}");
    }

    assert!(system.run_servers().is_empty());
}

#[tokio::test]
async fn a_done_run_is_reported_although_its_outcome_cannot_be_recorded() {
    // Guards against reporting done work as unknown because the store is down.
    let system = System::start().await;
    system.agent.state().settle_fails = true;

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (200, &"done".into()));
}

#[tokio::test]
async fn a_claimed_run_continues_when_the_caller_disconnects() {
    // Guards against a claimed key whose outcome is never recorded because the
    // run was cancelled with the caller's connection.
    let system = System::start().await;
    system.configure_gates(|g| g.delay = Duration::from_millis(300));

    let url = format!("http://{}/run/lookup", system.entry.address);
    let request = system.http.post(url).header("idempotency-key", key_at(0)).body("order");
    let response = request.timeout(Duration::from_millis(150)).send().await;

    assert!(response.is_err());
    for _ in 0..200 {
        if !system.agent.state().settled.is_empty() {
            break;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    let settled = system.agent.state().settled.clone();
    assert_eq!(settled[0].outcome, RecordedOutcome::Done { body: "ran order".into() });
}

#[tokio::test]
async fn invalid_keys_are_refused_before_a_claim() {
    // Guards against claims in buckets that are already deleted (old keys) or far
    // in the future, which could not detect a repeated run.
    let system = System::start().await;
    let old = key_at(-4000);
    let future = key_at(600);
    let cases: [(&str, &str); 5] = [
        (&old, "key_too_old"),
        (&future, "key_in_future"),
        ("abc-defghijk", "key_malformed"),
        ("17-x", "key_malformed"),
        ("nokey", "key_malformed"),
    ];

    for (key, error) in cases {
        let reply = system.post("/run/lookup", &[("idempotency-key", key)], "q").await;
        assert_eq!((reply.status, &reply.json["error"]), (400, &error.into()), "{key}");
    }
    let reply = system.post("/run/lookup", &[], "q").await;

    assert_eq!(reply.json["error"], "key_missing");
    assert!(system.agent.state().claims.is_empty());
}
