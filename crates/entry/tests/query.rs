//! Queries of callers, end to end through real RPC.

mod support;

use std::time::Duration;

use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryResult;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::Refusal;
use support::System;

async fn eventually<F>(mut holds: F)
where
    F: FnMut() -> bool,
{
    for _ in 0..300 {
        if holds() {
            return;
        }
        tokio::time::sleep(Duration::from_millis(10)).await;
    }
    panic!("the condition did not come true within 3 s");
}

#[tokio::test]
async fn a_query_returns_every_shard_of_one_version() {
    // Guards against a broken path from HTTP through planning to the gates.
    let system = System::start().await;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!(reply.status, 200, "{:?}", reply.json);
    assert_eq!(reply.coverage.as_deref(), Some("12/12"));
    assert_eq!(reply.json["version"], 7);
    let rows = reply.json["rows"].as_array().unwrap();
    assert_eq!(rows.len(), 24);
    assert!(rows.is_sorted_by_key(|r| r["key"].as_str().unwrap().to_owned()));
    assert!(rows.iter().all(|r| r["value"]["version"] == 7));
}

#[tokio::test]
async fn the_callers_trace_reaches_the_gates() {
    // Guards against spans of later hops that belong to no trace.
    let system = System::start().await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    system.post("/query/lookup", &[("traceparent", trace)], "q").await;

    let traces: Vec<_> = system.gates.iter().flat_map(|g| g.state().traces.clone()).collect();
    assert!(!traces.is_empty());
    let id = &trace[..35];
    assert!(traces.iter().all(|t| t.as_deref().is_some_and(|t| t.starts_with(id))), "{traces:?}");
}

#[tokio::test]
async fn a_lost_server_costs_no_shard() {
    // Guards against a partial answer although replicas are left.
    let system = System::start().await;
    system.gates(|g| drop(g.faults.insert("lookup-1".into(), AskResult::Lost)));

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, reply.coverage.as_deref()), (200, Some("12/12")));
}

#[tokio::test]
async fn a_partial_answer_is_marked_and_min_coverage_refuses_it() {
    // Guards against a partial answer that looks whole.
    let system = System::start().await;
    let partial = AskResult::Rows { version: 7, rows: Vec::new(), partial: true };
    system.gates(|g| {
        for i in 1..=3 {
            g.faults.insert(format!("lookup-{i}").into(), partial.clone());
        }
    });

    let headers = [("x-timeout-ms", "300")];
    let any = system.post("/query/lookup", &headers, "q").await;
    let headers = [("x-timeout-ms", "300"), ("x-min-coverage", "0.5")];
    let most = system.post("/query/lookup", &headers, "q").await;

    assert_eq!((any.status, any.coverage.as_deref()), (206, Some("0/12")));
    assert_eq!(any.json["coverage"]["missing"][0]["reason"], "partial_reply");
    assert_eq!((most.status, most.coverage.as_deref()), (504, Some("0/12")));
}

#[tokio::test]
async fn an_answer_comes_before_the_callers_deadline() {
    // Guards against waiting for replies beyond the deadline.
    let system = System::start().await;
    system.post("/query/lookup", &[], "q").await;
    system.gates(|g| g.delay = Duration::from_secs(5));

    let reply = system.post("/query/lookup", &[("x-timeout-ms", "200")], "q");
    let reply = tokio::time::timeout(Duration::from_secs(3), reply).await.unwrap();

    assert_eq!((reply.status, reply.coverage.as_deref()), (206, Some("0/12")));
}

#[tokio::test]
async fn a_query_follows_a_version_that_vanished() {
    // Guards against an answer from an index that lags behind the servers.
    let system = System::start().await;
    system.gates(|g| {
        g.version = 8;
        g.reported = Some(7);
    });

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, &reply.json["version"]), (200, &8.into()), "{:?}", reply.json);
}

#[tokio::test]
async fn the_next_gate_is_asked_when_one_disowns_a_group() {
    // Guards against failures during a change of ownership.
    let system = System::start().await;
    system.gates[0].state().disowns = true;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, reply.coverage.as_deref()), (200, Some("12/12")));
}

#[tokio::test]
async fn a_suspect_request_reaches_no_server() {
    // Guards against losing servers to a request that is resent.
    let system = System::start().await;
    system.agent.state().canary = CanaryReply::Suspect;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, &reply.json["reason"]), (503, &"suspect".into()));
    assert_eq!(system.asked(), 0);
}

#[tokio::test]
async fn a_request_whose_probe_was_lost_is_not_reported_as_not_run() {
    // Guards against a false "not run": the lost server had started the probe.
    let system = System::start().await;
    system.agent.state().canary = CanaryReply::Probe;
    system.gates(|g| {
        for i in 1..=3 {
            g.faults.insert(format!("lookup-{i}").into(), AskResult::Lost);
        }
    });

    let reply = system.post("/query/lookup", &[("x-timeout-ms", "300")], "q").await;

    assert_eq!((reply.status, &reply.json["outcome"]), (504, &"unknown".into()));
}

#[tokio::test]
async fn a_first_request_goes_to_one_server_and_is_reported() {
    // Guards against a fan-out before the canary has succeeded.
    let system = System::start().await;
    system.agent.state().canary = CanaryReply::Probe;

    let first = system.post("/query/lookup", &[], "q").await;
    let again = system.post("/query/lookup", &[], "q").await;

    assert_eq!((first.status, again.status), (200, 200));
    eventually(|| !system.agent.state().reports.is_empty()).await;
    let state = system.agent.state();
    assert_eq!(state.canaries.len(), 1, "a recent success needs no second canary");
    assert_eq!(state.reports[0].result, CanaryResult::Good);
}

#[tokio::test]
async fn a_permit_is_given_back_when_the_caller_leaves() {
    // Guards against a permit that blocks a request for everyone.
    let system = System::start().await;
    system.agent.state().canary = CanaryReply::Probe;
    system.gates(|g| g.delay = Duration::from_secs(5));

    let url = format!("http://{}/query/lookup", system.entry.address);
    let request = system.http.post(url).header("x-timeout-ms", "9000").body("q");
    let left = request.timeout(Duration::from_millis(300)).send().await;

    assert!(left.is_err());
    eventually(|| !system.agent.state().reports.is_empty()).await;
    assert_eq!(system.agent.state().reports[0].result, CanaryResult::NotRun);
}

#[tokio::test]
async fn invalid_requests_start_no_work() {
    // Guards against sub-requests for requests that cannot be answered.
    let system = System::start().await;
    let large = "x".repeat(256 * 1024 + 1);
    let header = "y".repeat(17 * 1024);
    type Case<'a> = (&'a str, &'a [(&'a str, &'a str)], &'a str, u16, &'a str);
    let cases: [Case; 9] = [
        ("/query/nothing", &[], "q", 404, "unknown_service"),
        ("/other", &[], "q", 404, "unknown_path"),
        ("/query/lookup", &[("x-timeout-ms", "0")], "q", 400, "deadline_past"),
        ("/query/lookup", &[("x-timeout-ms", "10001")], "q", 400, "bad_timeout"),
        ("/query/lookup", &[("x-timeout-ms", "-5")], "q", 400, "bad_timeout"),
        ("/query/lookup", &[("x-min-coverage", "2")], "q", 400, "bad_min_coverage"),
        ("/query/lookup", &[("x-min-coverage", "NaN")], "q", 400, "bad_min_coverage"),
        ("/query/lookup", &[("x-other", &header)], "q", 431, "headers_too_large"),
        ("/query/lookup", &[], &large, 413, "body_too_large"),
    ];

    for (path, headers, body, status, error) in cases {
        let reply = system.post(path, headers, body).await;
        assert_eq!((reply.status, &reply.json["error"]), (status, &error.into()), "{path}");
        assert!(reply.json["message"].as_str().unwrap().contains(';'), "no remedy: {error}");
    }

    assert_eq!(system.asked(), 0);
}

#[tokio::test]
async fn refusals_that_say_not_run_have_started_nothing() {
    // Guards against a false "not run" and against work while not ready.
    let system = System::start().await;
    let closed = system.post("/query/closed", &[], "q").await;
    system.agent.change(|v| v.ready = false);
    eventually(|| !system.entry.entry.lifecycle.is_ready()).await;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((closed.status, &closed.json["reason"]), (503, &"out_of_service".into()));
    assert_eq!((reply.status, &reply.json["outcome"]), (503, &"not_run".into()));
    assert_eq!(system.asked(), 0);
}

#[tokio::test]
async fn overload_refuses_entire_requests_with_a_retry_hint() {
    // Guards against reducing the coverage of every answer under overload.
    let system = System::start_with("first_limit = 2\nmax_limit = 2").await;
    system.gates(|g| g.delay = Duration::from_millis(300));

    let posts = (0..6).map(|_| system.post("/query/lookup", &[], "q"));
    let replies = futures::future::join_all(posts).await;

    let refused: Vec<_> = replies.iter().filter(|r| r.status == 503).collect();
    assert_eq!(refused.len(), 4);
    assert!(refused.iter().all(|r| r.retry.is_some() && r.json["reason"] == "overloaded"));
    assert!(replies.iter().filter(|r| r.status != 503).all(|r| r.status == 200));
}

#[tokio::test]
async fn a_stop_lets_running_requests_end() {
    // Guards against a planned shutdown that interrupts a request.
    let system = System::start().await;
    system.post("/query/lookup", &[], "q").await;
    system.gates(|g| g.delay = Duration::from_millis(200));
    let url = format!("http://{}/query/lookup", system.entry.address);
    let request = tokio::spawn(system.http.post(url).body("q").send());
    eventually(|| system.entry.entry.lifecycle.running_requests() > 0).await;

    let drained = system.entry.stop(&system.settings).await;

    assert!(drained);
    assert_eq!(request.await.unwrap().unwrap().status(), 200);
}

#[tokio::test]
async fn refused_queries_are_not_run() {
    // Guards against an empty answer in place of a refusal that can be retried.
    let system = System::start().await;
    let busy = AskResult::Refused { reason: Refusal::Busy, retry_ms: None };
    system.gates(|g| {
        for i in 1..=3 {
            g.faults.insert(format!("lookup-{i}").into(), busy.clone());
        }
    });

    let reply = system.post("/query/lookup", &[("x-timeout-ms", "300")], "q").await;

    assert_eq!((reply.status, &reply.json["outcome"]), (503, &"not_run".into()));
}
