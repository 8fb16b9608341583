//! The system under kills, pauses, outages and operators' commands.

#![allow(missing_docs)]

mod support;

use std::time::Duration;

use futures::future::join_all;
use serde_json::json;
use support::Reply;
use support::System;
use support::eventually;
use support::key;
use support::load::Load;
use tokio::time;

/// Whether a reply is what a promise allows: complete and accurate, or
/// declared otherwise.
fn is_truthful(reply: &Option<Reply>) -> bool {
    reply.as_ref().is_none_or(|r| r.status != 200 || r.is_accurate())
}

/// Guards against answers that are wrong, or servers that are overloaded, when
/// a host dies under load and its groups are taken over.
#[tokio::test(flavor = "multi_thread")]
async fn a_killed_host_costs_no_truth_and_no_slot() {
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

    assert!(replies.find(|r| !is_truthful(r)).is_none());
    assert!(replies.count(|r| r.as_ref().is_some_and(Reply::is_accurate)) > 100);
    assert_eq!(system.excess(), [0; 3]);
}

/// Guards against a paused owner that resumes and sends work together with the
/// host that has taken over.
#[tokio::test(flavor = "multi_thread")]
async fn a_paused_host_that_resumes_exceeds_no_slot() {
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

    assert!(replies.find(|r| !is_truthful(r)).is_none());
    assert_eq!(system.excess(), [0; 3]);
}

/// Guards against queries that need the store, and against a false "not run".
#[tokio::test(flavor = "multi_thread")]
async fn an_outage_of_the_store_stops_claims_only() {
    let system = System::start("outage", "").await;
    let key = key();
    let ready = async || system.run(0, &support::key()).await.is_some_and(|r| r.status == 200);
    eventually("work runs", ready).await;
    let before = system.sum(|s| s.runs);

    system.control("platform/faults", json!({"down": true})).await;
    let refused = system.run(0, &key).await.unwrap();
    let queries = join_all((0..3).map(|h| system.query(h, "{}"))).await;
    let runs = system.sum(|s| s.runs);
    system.control("platform/faults", json!({"down": false})).await;
    eventually("the key runs when the store is back", async || {
        system.run(1, &key).await.is_some_and(|r| r.status == 200)
    })
    .await;

    assert_eq!((refused.status, &refused.body["outcome"]), (503, &json!("not_run")));
    assert_eq!(runs, before);
    assert!(queries.iter().all(|q| q.as_ref().is_some_and(Reply::is_accurate)), "{queries:?}");
    assert_eq!(
        system.standin.cluster.stats().servers.values().map(|s| s.peak_key_runs).max(),
        Some(1)
    );
}

/// Guards against work for a zone that operators have taken out, and against
/// overload of its cold servers when it returns.
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_that_is_out_gets_no_work_and_returns_cold() {
    let system = System::start("zone", "").await;
    let load = Load::start(&system, 6);
    time::sleep(Duration::from_secs(1)).await;

    let out = system.ctl(&["zone", "out", "z2"]);
    system.control("zone:z2/mark", json!({"on": true})).await;
    time::sleep(Duration::from_secs(4)).await;
    let late = system.sum(|s| s.after_out);
    system.control("zone:z2/mark", json!({"on": false})).await;
    system.control("zone:z2/chill", json!({})).await;
    let back = system.ctl(&["zone", "in", "z2"]);
    let asks = system.standin.cluster.stats().servers["lookup-2"].asks;
    eventually("the zone gets work again", async || {
        system.standin.cluster.stats().servers["lookup-2"].asks > asks
    })
    .await;
    let replies = load.finish().await;

    assert!(out.status.success() && back.status.success(), "{out:?} {back:?}");
    // The mark follows the confirmation of all hosts, so that only work that
    // was already on its way may arrive after it.
    assert_eq!(late, 0);
    assert!(replies.find(|r| !is_truthful(r)).is_none());
    assert_eq!(system.excess(), [0; 3]);
}

/// Guards against a planned stop that cuts off requests.
#[tokio::test(flavor = "multi_thread")]
async fn a_rolling_restart_cuts_off_no_request() {
    let mut system = System::start("rolling", "").await;
    let load = Load::start(&system, 4);
    let mut codes = Vec::new();

    for host in 0..3 {
        system.hosts[host].entry.signal("TERM");
        codes.push(system.hosts[host].entry.ended().await);
        system.hosts[host].gate.signal("TERM");
        system.hosts[host].agent.signal("TERM");
        codes.push(system.hosts[host].gate.ended().await);
        codes.push(system.hosts[host].agent.ended().await);
        for process in system.hosts[host].processes() {
            process.restart();
        }
        eventually("the host is ready", async || system.is_ready(host).await).await;
        eventually("the host answers completely again", async || {
            system.query(host, "{}").await.is_some_and(|r| r.is_accurate())
        })
        .await;
    }
    let replies = load.finish().await;

    assert_eq!(codes, [Some(0); 9]);
    let cut = replies.find(|r| !r.as_ref().is_some_and(Reply::is_accurate));
    assert!(cut.is_none(), "{cut:?}");
    assert_eq!(system.excess(), [0; 3]);
}

/// Guards against a request that crashes every server that runs it, sent again
/// through all entries.
#[tokio::test(flavor = "multi_thread")]
async fn a_crashing_request_ends_at_most_two_servers() {
    let faults = "crash_marker = \"poison\"\nrestart_ms = 500";
    let system = System::start("crash", faults).await;

    for resend in 0..9 {
        system.query(resend % 3, "{\"match\":\"poison\"}").await;
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

/// Guards against a second run of one key, sent through all entries at once
/// while one of them dies.
#[tokio::test(flavor = "multi_thread")]
async fn duplicates_of_a_key_run_once_while_an_entry_dies() {
    let mut system = System::start("duplicates", "").await;
    let ready = async || system.run(1, &support::key()).await.is_some_and(|r| r.status == 200);
    eventually("work runs", ready).await;
    let keys: Vec<String> = (0..8).map(|_| key()).collect();

    let first = keys.iter().flat_map(|k| (0..3).map(|h| (h, k)).collect::<Vec<_>>());
    let sent = join_all(first.map(|(h, k)| system.run(h, k)));
    let replies = time::timeout(Duration::from_millis(30), sent).await;
    system.hosts[0].entry.kill();
    let resent = join_all(keys.iter().flat_map(|k| [system.run(1, k), system.run(2, k)])).await;

    let stats = system.standin.cluster.stats();
    assert_eq!(stats.servers.values().map(|s| s.peak_key_runs).max(), Some(1), "{replies:?}");
    for reply in resent.into_iter().flatten() {
        assert!([200, 409, 503, 504].contains(&reply.status), "{reply:?}");
    }
}
