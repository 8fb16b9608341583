//! Simulated backend servers over TCP.

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

const TIMEOUT: Duration = Duration::from_secs(10);

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
    Client::builder().timeout(TIMEOUT).build().unwrap()
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

async fn eventually<F>(condition: F)
where
    F: Fn() -> bool,
{
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(TIMEOUT, wait).await.unwrap();
}

// Guards against rows that depend on anything else: the load generator computes
// the expected answers on its own.
#[tokio::test]
async fn rows_are_a_function_of_service_version_and_shard() {
    let standin = start("").await;

    let reply = ask(&client(), &standin, 2, "{}").await.unwrap();

    let body: AskBody = reply.json().await.unwrap();
    assert_eq!(body.rows, shard_rows("lookup", 1, 2));
    assert!(!body.partial);
}

// Guards against a stand-in that hides overload by running requests beyond its
// slots or by not counting them.
#[tokio::test]
async fn excess_over_slots_is_refused_and_counted() {
    let standin = start("faults = { base_ms = 200.0 }").await;
    let client = client();

    let calls = (0..3).map(|_| ask(&client, &standin, 0, ""));
    let replies = futures::future::join_all(calls).await;

    let statuses: Vec<u16> = replies.into_iter().map(|r| r.unwrap().status().as_u16()).collect();
    assert_eq!(statuses.iter().filter(|c| **c == 503).count(), 1, "{statuses:?}");
    assert_eq!((stats(&standin).peak_over_slots, stats(&standin).busy), (1, 1));
}

// Guards against a connection limit that is counted but not enforced.
#[tokio::test]
async fn connections_over_the_limit_are_reset() {
    let standin = start("").await;
    let address = standin.servers[0];
    let mut open = Vec::new();
    for _ in 0..8 {
        open.push(tokio::net::TcpStream::connect(address).await.unwrap());
    }
    eventually(|| stats(&standin).connections == 8).await;

    let reply = ask(&client(), &standin, 0, "").await;

    assert!(reply.is_err());
    assert_eq!((stats(&standin).peak_connections, stats(&standin).over_connections), (8, 1));
}

// Guards against a request that keeps its slot after the caller has closed the
// connection.
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
    eventually(|| stats(&standin).running == 1).await;

    call.abort();

    eventually(|| stats(&standin).running == 0).await;
    assert_eq!(stats(&standin).cancelled, 1);
}

// Guards against a crash marker that is ignored, and against a server that comes
// back warm.
#[tokio::test]
async fn marked_request_crashes_the_server_and_it_returns_cold() {
    let standin = start("faults = { restart_ms = 50, cold_refuses = true, base_ms = 50.0 }").await;

    let lost = ask(&client(), &standin, 0, "x crash-the-server x").await;
    assert!(lost.is_err());
    let client = client();
    while ask(&client, &standin, 0, "").await.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let (a, b) = tokio::join!(ask(&client, &standin, 0, ""), ask(&client, &standin, 0, ""));

    let mut statuses = [a.unwrap().status().as_u16(), b.unwrap().status().as_u16()];
    statuses.sort_unstable();
    assert_eq!(statuses, [200, 503]);
    assert_eq!((stats(&standin).crashes, stats(&standin).cold), (1, 1));
}

// Guards against a cold server that handles as many requests as a warm one.
#[tokio::test]
async fn overloaded_cold_server_resets_connections() {
    let standin = start("start_cold = true\nfaults = { base_ms = 100.0, fall_ms = 50 }").await;
    let client = client();

    let (a, b) = tokio::join!(ask(&client, &standin, 0, ""), ask(&client, &standin, 0, ""));

    assert!(a.is_err() && b.is_err());
    assert_eq!(stats(&standin).falls, 1);
}

// Guards against a silent connection that still answers, and against a fault
// that affects new connections as well.
#[tokio::test]
async fn silent_connections_time_out_while_new_ones_work() {
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

// Guards against a publish with another number of shards, or a retire, that does
// not change what the servers answer and report.
#[tokio::test]
async fn versions_are_published_repartitioned_and_retired() {
    let standin = start("").await;

    control(&standin, "service:lookup/publish", json!({"version": 2, "shards": 6, "replicas": 1}))
        .await;
    control(&standin, "service:lookup/retire", json!({"version": 1})).await;
    let retired = ask(&client(), &standin, 0, "").await.unwrap();
    let url = format!("http://{}/status", standin.servers[1]);
    let status: Status = client().get(url).send().await.unwrap().json().await.unwrap();

    assert_eq!(retired.status(), StatusCode::CONFLICT);
    let held: Vec<(u64, u32, String)> =
        status.versions.iter().map(|v| (v.version, v.shards, v.held.to_string())).collect();
    assert_eq!(held, [(2, 6, "1;3;5".to_owned())]);
}

// Guards against a status that shows the true state when faults falsify it.
#[tokio::test]
async fn faults_falsify_the_status() {
    let standin = start("").await;
    let faults = json!({"status_running": 0, "draining": true, "hide_draining": true});
    control(&standin, "all/faults", faults).await;

    let url = format!("http://{}/status", standin.servers[0]);
    let status: Status = client().get(url).send().await.unwrap().json().await.unwrap();
    let refused = ask(&client(), &standin, 0, "").await.unwrap();

    assert!(!status.draining);
    assert_eq!(refused.text().await.unwrap(), r#"{"refused":"draining"}"#);
}

// Guards against requests that reach a zone after it was taken out of service
// and are not counted.
#[tokio::test]
async fn requests_after_the_mark_are_counted() {
    let standin = start("zones = [\"a\", \"b\"]").await;

    control(&standin, "zone:a/mark", json!({"on": true})).await;
    ask(&client(), &standin, 0, "").await.unwrap();
    ask(&client(), &standin, 1, "").await.unwrap();

    let servers = standin.cluster.stats().servers;
    assert_eq!((servers["lookup-1"].after_out, servers["lookup-2"].after_out), (1, 0));
}

// Guards against missing a duplicate execution of an idempotency key when each
// server executes it once.
#[tokio::test]
async fn executions_are_counted_by_key_over_all_servers() {
    let standin = start("").await;
    for address in &standin.servers {
        let request = client().post(format!("http://{address}/run/lookup"));
        request.header("idempotency-key", "1-a").send().await.unwrap();
    }

    let stats = standin.cluster.stats();

    assert_eq!((stats.keys, stats.repeated_keys["1-a"]), (1, 2));
}

// Guards against a queue that loses requests, or whose requests are not counted
// as excess over the slots.
#[tokio::test]
async fn excess_over_slots_waits_in_the_queue() {
    let standin = start("faults = { base_ms = 20.0, queue = 6 }").await;
    let client = client();

    let calls = (0..8).map(|_| ask(&client, &standin, 0, ""));
    let replies = futures::future::join_all(calls).await;

    assert!(replies.into_iter().all(|r| r.unwrap().status() == StatusCode::OK));
    assert_eq!((stats(&standin).peak_over_slots, stats(&standin).busy), (6, 0));
}
