//! Queries over HTTP, through a real entry to fake gates over RPC.

mod support;

use std::time::Duration;

use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryResult;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::Refusal;
use support::System;

/// Polls until the condition holds, for at most 3 s.
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
    panic!("the condition did not hold within 3 s");
}

#[tokio::test]
async fn a_query_returns_the_rows_of_all_shards_at_one_version() {
    // Guards against an entry that loses or misorders rows on the way from the
    // gates to the HTTP response, or mixes index versions.
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
async fn the_trace_context_of_the_caller_reaches_the_gates() {
    // Guards against spans of gates and backend servers that are not linked to
    // the caller's trace.
    let system = System::start().await;
    let trace = "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01";

    system.post("/query/lookup", &[("traceparent", trace)], "q").await;

    let traces: Vec<_> = system.gates.iter().flat_map(|g| g.state().traces.clone()).collect();
    assert!(!traces.is_empty());
    let id = &trace[..35];
    assert!(traces.iter().all(|t| t.as_deref().is_some_and(|t| t.starts_with(id))), "{traces:?}");
}

#[tokio::test]
async fn a_query_is_complete_when_one_of_three_replicas_is_lost() {
    // Guards against a partial answer although other replicas hold the shards.
    let system = System::start().await;
    system.configure_gates(|g| drop(g.faults.insert("lookup-1".into(), AskResult::Lost)));

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, reply.coverage.as_deref()), (200, Some("12/12")));
}

#[tokio::test]
async fn a_partial_answer_has_status_206_and_504_below_min_coverage() {
    // Guards against a partial answer that the caller takes for a complete one:
    // every server declares its own reply partial.
    let system = System::start().await;
    let partial = AskResult::Rows { version: 7, rows: Vec::new(), partial: true };
    system.configure_gates(|g| {
        for i in 1..=3 {
            g.faults.insert(format!("lookup-{i}").into(), partial.clone());
        }
    });

    let headers = [("x-timeout-ms", "300")];
    let accepted = system.post("/query/lookup", &headers, "q").await;
    let headers = [("x-timeout-ms", "300"), ("x-min-coverage", "0.5")];
    let refused = system.post("/query/lookup", &headers, "q").await;

    assert_eq!((accepted.status, accepted.coverage.as_deref()), (206, Some("0/12")));
    assert_eq!(accepted.json["coverage"]["missing"][0]["reason"], "partial_reply");
    assert_eq!((refused.status, refused.coverage.as_deref()), (504, Some("0/12")));
}

#[tokio::test]
async fn a_query_is_answered_by_the_callers_deadline() {
    // Guards against waiting for the replies of slow gates beyond the deadline.
    let system = System::start().await;
    system.post("/query/lookup", &[], "q").await;
    system.configure_gates(|g| g.delay = Duration::from_secs(5));

    let reply = system.post("/query/lookup", &[("x-timeout-ms", "200")], "q");
    let reply = tokio::time::timeout(Duration::from_secs(3), reply).await.unwrap();

    assert_eq!((reply.status, reply.coverage.as_deref()), (206, Some("0/12")));
}

#[tokio::test]
async fn a_query_recovers_from_a_stale_index() {
    // Guards against an empty answer after servers have replaced an index
    // version: the gates still report version 7, but the servers hold 8.
    let system = System::start().await;
    system.configure_gates(|g| {
        g.version = 8;
        g.reported_version = Some(7);
    });

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, &reply.json["version"]), (200, &8.into()), "{:?}", reply.json);
}

#[tokio::test]
async fn the_next_gate_is_asked_when_the_first_is_not_the_owner() {
    // Guards against missing shards while the ownership of a group moves and the
    // former owner refuses sub-requests.
    let system = System::start().await;
    system.gates[0].state().owns_nothing = true;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, reply.coverage.as_deref()), (200, Some("12/12")));
}

#[tokio::test]
async fn a_suspect_query_is_refused_without_any_sub_request() {
    // Guards against losing more servers to a request that has crashed servers
    // before and is resent.
    let system = System::start().await;
    system.agent.state().canary_reply = CanaryReply::Suspect;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!((reply.status, &reply.json["reason"]), (503, &"suspect".into()));
    assert_eq!(system.sub_requests(), 0);
}

#[tokio::test]
async fn a_query_whose_canary_probe_was_lost_has_an_unknown_outcome() {
    // Guards against reporting "not run" although the lost server may have
    // started the probe.
    let system = System::start().await;
    system.agent.state().canary_reply = CanaryReply::Probe;
    system.configure_gates(|g| {
        for i in 1..=3 {
            g.faults.insert(format!("lookup-{i}").into(), AskResult::Lost);
        }
    });

    let reply = system.post("/query/lookup", &[("x-timeout-ms", "300")], "q").await;

    assert_eq!((reply.status, &reply.json["outcome"]), (504, &"unknown".into()));
}

#[tokio::test]
async fn a_new_request_is_probed_once_and_the_result_is_reported() {
    // Guards against a new request that is sent to all servers before a canary
    // has succeeded, a canary whose result is never reported, and a second canary
    // for a request that has just succeeded.
    let system = System::start().await;
    system.agent.state().canary_reply = CanaryReply::Probe;

    let first = system.post("/query/lookup", &[], "q").await;
    let again = system.post("/query/lookup", &[], "q").await;

    assert_eq!((first.status, again.status), (200, 200));
    eventually(|| !system.agent.state().canary_reports.is_empty()).await;
    let state = system.agent.state();
    assert_eq!(state.canary_requests.len(), 1, "a recent success needs no second canary");
    assert_eq!(state.canary_reports[0].result, CanaryResult::Good);
}

#[tokio::test]
async fn a_canary_permit_is_given_back_when_the_caller_disconnects() {
    // Guards against a permit that stays taken after its query was cancelled and
    // blocks the same request of all other callers.
    let system = System::start().await;
    system.agent.state().canary_reply = CanaryReply::Probe;
    system.configure_gates(|g| g.delay = Duration::from_secs(5));

    let url = format!("http://{}/query/lookup", system.entry.address);
    let request = system.http.post(url).header("x-timeout-ms", "9000").body("q");
    let response = request.timeout(Duration::from_millis(300)).send().await;

    assert!(response.is_err());
    eventually(|| !system.agent.state().canary_reports.is_empty()).await;
    assert_eq!(system.agent.state().canary_reports[0].result, CanaryResult::NotRun);
}

#[tokio::test]
async fn invalid_requests_are_refused_without_sub_requests() {
    // Guards against sub-requests for requests that cannot be answered, and
    // against errors without a stable code and a remedy.
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

    assert_eq!(system.sub_requests(), 0);
}

#[tokio::test]
async fn requests_refused_as_not_run_send_no_sub_requests() {
    // Guards against reporting "not run" for a query that was sent, and against
    // accepting requests while the agent's view is not ready.
    let system = System::start().await;
    let out_of_service = system.post("/query/closed", &[], "q").await;
    system.agent.update_view(|v| v.ready = false);
    eventually(|| !system.entry.entry.lifecycle.is_ready()).await;

    let reply = system.post("/query/lookup", &[], "q").await;

    assert_eq!(
        (out_of_service.status, &out_of_service.json["reason"]),
        (503, &"out_of_service".into())
    );
    assert_eq!((reply.status, &reply.json["outcome"]), (503, &"not_run".into()));
    assert_eq!(system.sub_requests(), 0);
}

#[tokio::test]
async fn queries_over_the_concurrency_limit_are_refused_with_a_retry_hint() {
    // Guards against an overload that reduces the coverage of all answers; the
    // queries over the limit are refused instead.
    let system = System::start_with("first_limit = 2\nmax_limit = 2").await;
    system.configure_gates(|g| g.delay = Duration::from_millis(300));

    let posts = (0..6).map(|_| system.post("/query/lookup", &[], "q"));
    let replies = futures::future::join_all(posts).await;

    let refused: Vec<_> = replies.iter().filter(|r| r.status == 503).collect();
    assert_eq!(refused.len(), 4);
    assert!(refused.iter().all(|r| r.retry_after.is_some() && r.json["reason"] == "overloaded"));
    assert!(replies.iter().filter(|r| r.status != 503).all(|r| r.status == 200));
}

#[tokio::test]
async fn a_shutdown_waits_for_running_requests() {
    // Guards against a planned shutdown that interrupts running requests.
    let system = System::start().await;
    system.post("/query/lookup", &[], "q").await;
    system.configure_gates(|g| g.delay = Duration::from_millis(200));
    let url = format!("http://{}/query/lookup", system.entry.address);
    let request = tokio::spawn(system.http.post(url).body("q").send());
    eventually(|| system.entry.entry.lifecycle.running_requests() > 0).await;

    let drained = system.entry.stop(&system.settings).await;

    assert!(drained);
    assert_eq!(request.await.unwrap().unwrap().status(), 200);
}

#[tokio::test]
async fn a_query_that_all_servers_refuse_is_reported_as_not_run() {
    // Guards against an empty answer in place of a 503, after which the caller
    // may resend.
    let system = System::start().await;
    let busy = AskResult::Refused { reason: Refusal::Busy, retry_ms: None };
    system.configure_gates(|g| {
        for i in 1..=3 {
            g.faults.insert(format!("lookup-{i}").into(), busy.clone());
        }
    });

    let reply = system.post("/query/lookup", &[("x-timeout-ms", "300")], "q").await;

    assert_eq!((reply.status, &reply.json["outcome"]), (503, &"not_run".into()));
}
