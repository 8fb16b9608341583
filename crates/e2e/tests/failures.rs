//! Behavior of whole hosts when processes are killed or paused, the store is
//! down, a zone is out of service, or a request crashes backend servers.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use support::Reply;
use support::System;
use support::eventually;
use support::load::Load;
use support::new_key;
use tokio::time;

/// Whether a caller can trust the reply: a 200 must have exactly the rows of one
/// version. A failed connection and any other status, such as 206 for a partial
/// answer, claim no completeness.
fn is_accurate_if_ok(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_none_or(|r| r.status != 200 || r.is_accurate())
}

/// Guards against wrong answers and overloaded backend servers when a host is
/// killed under load and other hosts take ownership of its server groups.
#[tokio::test(flavor = "multi_thread")]
async fn killed_host_causes_no_wrong_answers_or_overload() {
    let mut system = System::start("kill", "").await;
    let load = Load::start(&system, 6);
    time::sleep(Duration::from_secs(1)).await;

    for process in system.hosts[0].processes() {
        process.kill();
    }
    time::sleep(Duration::from_secs(4)).await;
    eventually("answers are complete again", async || {
        system.query(1, "{}").await.is_some_and(|r| r.is_accurate())
    })
    .await;
    let replies = load.finish().await;

    assert!(replies.find(|r| !is_accurate_if_ok(r)).is_none());
    assert!(replies.count(|r| r.as_ref().is_some_and(Reply::is_accurate)) > 100);
    assert_eq!(system.limit_violations(), [0; 3]);
}

/// Guards against two owners of one server group: a host that was paused for
/// longer than its quorum lease resumes and keeps sending requests, although
/// another host has taken ownership meanwhile.
#[tokio::test(flavor = "multi_thread")]
async fn resumed_host_does_not_overload_servers_of_the_new_owner() {
    let system = System::start("pause", "").await;
    let load = Load::start(&system, 6);
    time::sleep(Duration::from_secs(1)).await;

    for _ in 0..2 {
        system.hosts[0].agent.signal("STOP");
        system.hosts[0].gate.signal("STOP");
        time::sleep(Duration::from_secs(4)).await;
        system.hosts[0].gate.signal("CONT");
        system.hosts[0].agent.signal("CONT");
        time::sleep(Duration::from_secs(3)).await;
    }
    let replies = load.finish().await;

    assert!(replies.find(|r| !is_accurate_if_ok(r)).is_none());
    assert_eq!(system.limit_violations(), [0; 3]);
}

/// Guards against queries that depend on the store, and against a `not_run`
/// outcome for work that has run: a store outage must refuse non-idempotent
/// work before it reaches a backend server, and leave queries unaffected.
#[tokio::test(flavor = "multi_thread")]
async fn store_outage_refuses_non_idempotent_work_but_no_queries() {
    let system = System::start("outage", "").await;
    let key = new_key();
    let ready = async || system.run(0, &new_key()).await.is_some_and(|r| r.status == 200);
    eventually("non-idempotent work runs", ready).await;
    let runs_before = system.sum(|s| s.runs);

    system.control("platform/faults", json!({"down": true})).await;
    let refused = system.run(0, &key).await.unwrap();
    let queries = join_all((0..3).map(|h| system.query(h, "{}"))).await;
    let runs = system.sum(|s| s.runs);
    system.control("platform/faults", json!({"down": false})).await;
    eventually("the refused key runs after the outage", async || {
        system.run(1, &key).await.is_some_and(|r| r.status == 200)
    })
    .await;

    assert_eq!((refused.status, &refused.body["outcome"]), (503, &json!("not_run")));
    assert_eq!(runs, runs_before);
    assert!(queries.iter().all(|q| q.as_ref().is_some_and(Reply::is_accurate)), "{queries:?}");
    assert_eq!(
        system.standin.cluster.stats().servers.values().map(|s| s.peak_key_runs).max(),
        Some(1)
    );
}

/// Guards against requests to a zone that an operator has taken out of service,
/// and against overload of its servers, which are cold when the zone returns.
#[tokio::test(flavor = "multi_thread")]
async fn zone_out_of_service_gets_no_requests_and_warms_up_on_return() {
    let system = System::start("zone", "").await;
    let load = Load::start(&system, 6);
    time::sleep(Duration::from_secs(1)).await;

    let zone_out = system.ctl(&["zone", "out", "z2"]);
    system.control("zone:z2/mark", json!({"on": true})).await;
    time::sleep(Duration::from_secs(4)).await;
    let after_out = system.sum(|s| s.after_out);
    system.control("zone:z2/mark", json!({"on": false})).await;
    system.control("zone:z2/chill", json!({})).await;
    let zone_in = system.ctl(&["zone", "in", "z2"]);
    let asks_before = system.standin.cluster.stats().servers["lookup-2"].asks;
    eventually("the zone gets requests again", async || {
        system.standin.cluster.stats().servers["lookup-2"].asks > asks_before
    })
    .await;
    let replies = load.finish().await;

    assert!(zone_out.status.success() && zone_in.status.success(), "{zone_out:?} {zone_in:?}");
    // `zone out` returns when all hosts have confirmed the change, so only
    // requests already in flight could arrive after the servers are marked.
    assert_eq!(after_out, 0);
    assert!(replies.find(|r| !is_accurate_if_ok(r)).is_none());
    assert_eq!(system.limit_violations(), [0; 3]);
}

/// Guards against dropped requests during a planned restart: on SIGTERM each
/// process must finish its requests before it exits.
#[tokio::test(flavor = "multi_thread")]
async fn rolling_restart_drops_no_requests() {
    let mut system = System::start("rolling", "").await;
    let load = Load::start(&system, 4);
    let mut exit_codes = Vec::new();

    for host in 0..3 {
        system.hosts[host].entry.signal("TERM");
        exit_codes.push(system.hosts[host].entry.wait_exit().await);
        system.hosts[host].gate.signal("TERM");
        system.hosts[host].agent.signal("TERM");
        exit_codes.push(system.hosts[host].gate.wait_exit().await);
        exit_codes.push(system.hosts[host].agent.wait_exit().await);
        for process in system.hosts[host].processes() {
            process.spawn();
        }
        eventually("the host is ready", async || system.is_ready(host).await).await;
        eventually("the host answers completely again", async || {
            system.query(host, "{}").await.is_some_and(|r| r.is_accurate())
        })
        .await;
    }
    let replies = load.finish().await;

    assert_eq!(exit_codes, [Some(0); 9]);
    let failed = replies.find(|r| !r.as_ref().is_some_and(Reply::is_accurate));
    assert!(failed.is_none(), "{failed:?}");
    assert_eq!(system.limit_violations(), [0; 3]);
}

/// Guards against a request that crashes every backend server that runs it: the
/// caller retries through all entries, and without a shared record of suspect
/// requests each retry would crash more servers.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_request_crashes_at_most_two_servers() {
    let faults = "crash_marker = \"poison\"\nrestart_ms = 500";
    let system = System::start("crash", faults).await;

    for attempt in 0..9 {
        system.query(attempt % 3, "{\"match\":\"poison\"}").await;
        time::sleep(Duration::from_millis(300)).await;
    }
    let last = system.query(0, "{\"match\":\"poison\"}").await.unwrap();

    let crashes = system.sum(|s| s.crashes);
    assert!((1..=2).contains(&crashes), "{crashes} crashes");
    assert_eq!((last.status, &last.body["reason"]), (503, &json!("suspect")), "{last:?}");
    eventually("other requests are answered", async || {
        system.query(1, "{}").await.is_some_and(|r| r.is_accurate())
    })
    .await;
}

/// Guards against a second run of an idempotency key: callers send the same keys
/// through all entries at once, one entry is killed meanwhile, and the keys are
/// sent again through the others.
#[tokio::test(flavor = "multi_thread")]
async fn duplicate_keys_run_once_when_an_entry_is_killed() {
    let mut system = System::start("duplicates", "").await;
    let ready = async || system.run(1, &new_key()).await.is_some_and(|r| r.status == 200);
    eventually("non-idempotent work runs", ready).await;
    let keys: Vec<String> = (0..8).map(|_| new_key()).collect();

    let requests = keys.iter().flat_map(|k| (0..3).map(|h| (h, k)).collect::<Vec<_>>());
    let responses = join_all(requests.map(|(h, k)| system.run(h, k)));
    let replies = time::timeout(Duration::from_millis(30), responses).await;
    system.hosts[0].entry.kill();
    let retries = join_all(keys.iter().flat_map(|k| [system.run(1, k), system.run(2, k)])).await;

    let stats = system.standin.cluster.stats();
    assert_eq!(stats.servers.values().map(|s| s.peak_key_runs).max(), Some(1), "{replies:?}");
    for reply in retries.into_iter().flatten() {
        assert!([200, 409, 503, 504].contains(&reply.status), "{reply:?}");
    }
}
