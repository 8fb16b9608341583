//! Simulated backend servers over real connections.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_standin::cluster::Standin;
use chervil_standin::request::Status;
use chervil_standin::rows::shard_rows;
use chervil_standin::server::AskBody;
use chervil_standin::settings::Settings;
use chervil_standin::stats::ServerStats;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;
use serde_json::json;

const PATIENCE: Duration = Duration::from_secs(10);

fn settings(extra: &str) -> Settings {
    let text = format!(
        r#"
        control = "127.0.0.1:0"
        seed = 7
        [[service]]
        name = "lookup"
        servers = 2
        shards = 4
        replicas = 1
        slots = 2
        connections = 8
        {extra}
        "#
    );
    toml::from_str(&text).unwrap()
}

async fn start(extra: &str) -> Standin {
    Standin::start(&settings(extra)).await.unwrap()
}

fn client() -> Client {
    Client::builder().timeout(PATIENCE).build().unwrap()
}

async fn ask(
    client: &Client,
    standin: &Standin,
    shard: u32,
    body: &str,
) -> reqwest::Result<Response> {
    let address = standin.servers[shard as usize % 2];
    let request = client.post(format!("http://{address}/shard/lookup/{shard}"));
    request.header("x-index-version", "1").body(body.to_owned()).send().await
}

async fn control(standin: &Standin, path: &str, body: Value) -> StatusCode {
    let url = format!("http://{}/control/{path}", standin.control);
    let reply = client().post(url).body(body.to_string()).send().await.unwrap();
    reply.status()
}

fn stats(standin: &Standin) -> ServerStats {
    standin.cluster.stats().servers["lookup-1"].clone()
}

async fn until<F>(accept: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !accept() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(PATIENCE, wait).await.unwrap();
}

// Guards against rows that a naive reader cannot compute.
#[tokio::test]
async fn rows_are_a_function_of_service_version_and_shard() {
    let standin = start("").await;

    let reply = ask(&client(), &standin, 2, "{}").await.unwrap();

    let body: AskBody = reply.json().await.unwrap();
    assert_eq!(body.rows, shard_rows("lookup", 1, 2));
    assert!(!body.partial);
}

// Guards against a stand-in that hides overload: the excess must be refused
// and counted.
#[tokio::test]
async fn excess_over_slots_is_refused_and_counted() {
    let standin = start("faults = { base_ms = 200.0 }").await;
    let client = client();

    let calls = (0..3).map(|_| ask(&client, &standin, 0, ""));
    let replies = futures::future::join_all(calls).await;

    let codes: Vec<u16> = replies.into_iter().map(|r| r.unwrap().status().as_u16()).collect();
    assert_eq!(codes.iter().filter(|c| **c == 503).count(), 1, "{codes:?}");
    assert_eq!((stats(&standin).peak_over_slots, stats(&standin).busy), (1, 1));
}

// Guards against a connection limit that is only counted.
#[tokio::test]
async fn connections_over_the_limit_are_reset() {
    let standin = start("").await;
    let address = standin.servers[0];
    let mut held = Vec::new();
    for _ in 0..8 {
        held.push(tokio::net::TcpStream::connect(address).await.unwrap());
    }
    until(|| stats(&standin).connections == 8).await;

    let reply = ask(&client(), &standin, 0, "").await;

    assert!(reply.is_err());
    assert_eq!((stats(&standin).peak_connections, stats(&standin).over_connections), (8, 1));
}

// Guards against work that goes on after its caller has gone.
#[tokio::test]
async fn closing_the_connection_cancels_the_request() {
    let standin = start("faults = { base_ms = 60000.0 }").await;
    let client = client();
    let call = tokio::spawn({
        let address = standin.servers[0];
        async move {
            let request = client.post(format!("http://{address}/shard/lookup/0"));
            request.header("x-index-version", "1").send().await
        }
    });
    until(|| stats(&standin).running == 1).await;

    call.abort();

    until(|| stats(&standin).running == 0).await;
    assert_eq!(stats(&standin).cancelled, 1);
}

// Guards against a crash that leaves the server usable or warm.
#[tokio::test]
async fn marked_request_crashes_the_server_and_it_returns_cold() {
    let standin = start("faults = { restart_ms = 50, cold_refuses = true, base_ms = 50.0 }").await;

    let lost = ask(&client(), &standin, 0, "x crash-the-server x").await;
    assert!(lost.is_err());
    let fresh = client();
    while ask(&fresh, &standin, 0, "").await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (a, b) = tokio::join!(ask(&fresh, &standin, 0, ""), ask(&fresh, &standin, 0, ""));

    let mut codes = [a.unwrap().status().as_u16(), b.unwrap().status().as_u16()];
    codes.sort_unstable();
    assert_eq!(codes, [200, 503]);
    assert_eq!((stats(&standin).crashes, stats(&standin).cold), (1, 1));
}

// Guards against a cold server that bears full load.
#[tokio::test]
async fn overwhelmed_cold_server_resets_connections() {
    let standin = start("start_cold = true\nfaults = { base_ms = 100.0, fall_ms = 50 }").await;
    let client = client();

    let (a, b) = tokio::join!(ask(&client, &standin, 0, ""), ask(&client, &standin, 0, ""));

    assert!(a.is_err() && b.is_err());
    assert_eq!(stats(&standin).falls, 1);
}

// Guards against a silent connection that still answers, and against a fault
// that also hits new connections.
#[tokio::test]
async fn silent_connections_hang_while_new_ones_work() {
    let standin = start("").await;
    let old = Client::builder().timeout(Duration::from_millis(200)).build().unwrap();
    ask(&old, &standin, 0, "").await.unwrap().bytes().await.unwrap();

    let code = control(&standin, "lookup-1/silence", json!({})).await;
    let hung = ask(&old, &standin, 0, "").await;
    let served = ask(&client(), &standin, 0, "").await;

    assert_eq!(code, StatusCode::OK);
    assert!(hung.is_err_and(|e| e.is_timeout()));
    assert_eq!(served.unwrap().status(), StatusCode::OK);
}

// Guards against versions that cannot change while queries run.
#[tokio::test]
async fn versions_are_published_repartitioned_and_retired() {
    let standin = start("").await;

    control(&standin, "service:lookup/publish", json!({"version": 2, "shards": 6, "replicas": 1}))
        .await;
    control(&standin, "service:lookup/retire", json!({"version": 1})).await;
    let gone = ask(&client(), &standin, 0, "").await.unwrap();
    let url = format!("http://{}/status", standin.servers[1]);
    let status: Status = client().get(url).send().await.unwrap().json().await.unwrap();

    assert_eq!(gone.status(), StatusCode::CONFLICT);
    let held: Vec<(u64, u32, String)> =
        status.versions.iter().map(|v| (v.version, v.shards, v.held.to_string())).collect();
    assert_eq!(held, [(2, 6, "1;3;5".to_owned())]);
}

// Guards against a status that cannot mislead.
#[tokio::test]
async fn status_claims_what_the_faults_say() {
    let standin = start("").await;
    let faults = json!({"status_running": 0, "draining": true, "hide_draining": true});
    control(&standin, "all/faults", faults).await;

    let url = format!("http://{}/status", standin.servers[0]);
    let status: Status = client().get(url).send().await.unwrap().json().await.unwrap();
    let refused = ask(&client(), &standin, 0, "").await.unwrap();

    assert!(!status.draining);
    assert_eq!(refused.text().await.unwrap(), r#"{"refused":"draining"}"#);
}

// Guards against work after a zone was taken out that nobody counts.
#[tokio::test]
async fn work_after_the_mark_is_counted() {
    let standin = start("zones = [\"a\", \"b\"]").await;

    control(&standin, "zone:a/mark", json!({"on": true})).await;
    ask(&client(), &standin, 0, "").await.unwrap();
    ask(&client(), &standin, 1, "").await.unwrap();

    let servers = standin.cluster.stats().servers;
    assert_eq!((servers["lookup-1"].after_out, servers["lookup-2"].after_out), (1, 0));
}

// Guards against a repeated run that no counter shows.
#[tokio::test]
async fn runs_are_counted_by_key_over_all_servers() {
    let standin = start("").await;
    for address in &standin.servers {
        let request = client().post(format!("http://{address}/run/lookup"));
        request.header("idempotency-key", "1-a").send().await.unwrap();
    }

    let stats = standin.cluster.stats();

    assert_eq!((stats.keys, stats.repeated_keys["1-a"]), (1, 2));
}

// Guards against a queue that loses a waiting request or hides it from the
// counters.
#[tokio::test]
async fn excess_waits_when_the_server_has_a_queue() {
    let standin = start("faults = { base_ms = 20.0, queue = 6 }").await;
    let client = client();

    let calls = (0..8).map(|_| ask(&client, &standin, 0, ""));
    let replies = futures::future::join_all(calls).await;

    assert!(replies.into_iter().all(|r| r.unwrap().status() == StatusCode::OK));
    assert_eq!((stats(&standin).peak_over_slots, stats(&standin).busy), (6, 0));
}
