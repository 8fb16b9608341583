//! Non-idempotent requests of callers.

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

fn key_at(offset: i64) -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs() as i64;
    format!("{}-abcdefgh", now + offset)
}

async fn post(system: &System) -> Reply {
    system.post("/run/lookup", &[("idempotency-key", &key_at(0))], "order").await
}

fn refuse(system: &System, servers: &[u32], reason: Refusal) {
    system.gates(|g| {
        for i in servers {
            g.runs.insert(format!("lookup-{i}").into(), RunReply::NotRun { reason });
        }
    });
}

#[tokio::test]
async fn work_is_claimed_run_once_and_recorded() {
    // Guards against a run without a claim, and an outcome that is not kept.
    let system = System::start().await;

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (200, &"done".into()));
    assert_eq!(reply.json["reply"], "ran order");
    assert_eq!(system.runs().len(), 1);
    let state = system.agent.state();
    assert_eq!(state.claims[0].nonce, state.settled[0].nonce);
    assert_eq!(state.settled[0].outcome, RecordedOutcome::Done { body: "ran order".into() });
}

#[tokio::test]
async fn another_server_runs_it_only_when_the_first_did_not() {
    // Guards against giving up although a server is free.
    let system = System::start().await;
    refuse(&system, &[1, 2], Refusal::Busy);

    let reply = post(&system).await;

    assert_eq!(reply.status, 200);
    assert_eq!(system.runs().last().map(|s| &**s), Some("lookup-3"));
}

#[tokio::test]
async fn an_unknown_end_is_never_retried() {
    // Guards against a second run of work whose end is not known.
    let system = System::start().await;
    let unknown = |i: u32| (format!("lookup-{i}").into(), RunReply::Unknown);
    system.gates(|g| g.runs = (1..=3).map(unknown).collect());

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (504, &"unknown".into()));
    assert_eq!(system.runs().len(), 1);
    assert_eq!(system.agent.state().settled[0].outcome, RecordedOutcome::Unknown);
}

#[tokio::test]
async fn refused_work_is_reported_and_recorded_as_not_run() {
    // Guards against a key that stays blocked although nothing was run.
    let system = System::start().await;
    refuse(&system, &[1, 2, 3], Refusal::Busy);

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (503, &"not_run".into()));
    assert!(reply.retry.is_some());
    assert_eq!(system.agent.state().settled[0].outcome, RecordedOutcome::NotRun);
}

#[tokio::test]
async fn nothing_runs_without_a_granted_claim() {
    // Guards against a run of work that another request holds or has done.
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
        system.agent.state().claim = claim.clone();
        let reply = post(&system).await;
        assert_eq!((reply.status, &reply.json["outcome"]), (status, &outcome.into()), "{claim:?}");
    }

    assert!(system.runs().is_empty());
}

#[tokio::test]
async fn a_failed_record_does_not_take_the_answer_away() {
    // Guards against reporting done work as unknown because the store is down.
    let system = System::start().await;
    system.agent.state().settle_fails = true;

    let reply = post(&system).await;

    assert_eq!((reply.status, &reply.json["outcome"]), (200, &"done".into()));
}

#[tokio::test]
async fn a_caller_that_leaves_does_not_abort_claimed_work() {
    // Guards against a claimed key whose outcome is never recorded.
    let system = System::start().await;
    system.gates(|g| g.delay = Duration::from_millis(300));

    let url = format!("http://{}/run/lookup", system.entry.address);
    let request = system.http.post(url).header("idempotency-key", key_at(0)).body("order");
    let left = request.timeout(Duration::from_millis(150)).send().await;

    assert!(left.is_err());
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
async fn bad_keys_are_refused_before_a_claim() {
    // Guards against claims whose bucket is deleted or not yet due.
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
