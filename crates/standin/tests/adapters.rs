//! Runs the HTTP clients of gate and agent against the stand-in, so that both
//! sides of each protocol stay compatible.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;

use chervil_backend::connection::AskCall;
use chervil_backend::connection::Connection;
use chervil_backend::connection::Connector as _;
use chervil_backend::connection::RequestError;
use chervil_backend::connection::RunCall;
use chervil_backend::connection::ServerRefusal;
use chervil_backend::http::HttpConnector;
use chervil_platform::HostList as _;
use chervil_platform::HttpHosts;
use chervil_platform::HttpSettings;
use chervil_platform::HttpStore;
use chervil_platform::Store as _;
use chervil_platform::StoreError;
use chervil_standin::cluster::Standin;
use chervil_standin::platform::Platform;
use chervil_standin::platform::PlatformFaults;
use chervil_standin::settings::Settings;

const TIMEOUT: Duration = Duration::from_secs(5);

async fn start() -> Standin {
    let settings: Settings = toml::from_str(
        r#"
        control = "127.0.0.1:0"
        [platform]
        listen = "127.0.0.1:0"
        [[platform.host]]
        host = "h1"
        zone = "z1"
        agent = "127.0.0.1:1"
        gate = "127.0.0.1:2"
        leaving = true
        [[service]]
        name = "lookup"
        servers = 1
        shards = 4
        slots = 2
        connections = 4
        connect_ms = 2
        "#,
    )
    .unwrap();
    Standin::start(&settings).await.unwrap()
}

fn platform(standin: &Standin) -> (Arc<Platform>, HttpSettings) {
    let url = format!("http://{}", standin.platform.unwrap());
    (standin.cluster.platform.clone().unwrap(), HttpSettings::new(&url))
}

async fn connect(standin: &Standin) -> Box<dyn Connection> {
    HttpConnector::default().open(standin.servers[0], TIMEOUT).await.unwrap().connection
}

fn ask_call(version: u64, body: &str) -> AskCall {
    AskCall {
        service: "lookup".into(),
        shard: 3,
        version,
        request_id: "1".into(),
        timeout: TIMEOUT,
        body: body.into(),
        traceparent: None,
    }
}

// Guards against a client of the store that misreads a response, for example
// because a key with a slash and a space is encoded differently on each side.
#[tokio::test]
async fn store_client_reads_all_responses() {
    let standin = start().await;
    let (_, settings) = platform(&standin);
    let store = HttpStore::new(&settings).unwrap();

    let first = store.put_if("a/b c", 0, "one").await.unwrap();
    let conflict = store.put_if("a/b c", 0, "two").await;
    let found = store.get("a/b c").await.unwrap().unwrap();
    let unchanged = store.watch("a/b c", first, Duration::from_millis(10)).await.unwrap();
    let changed = store.watch("a/b c", 0, TIMEOUT).await.unwrap();
    let listed = store.list("a/").await.unwrap();
    store.delete_if("a/b c", first).await.unwrap();

    assert_eq!(conflict, Err(StoreError::Conflict { current: first }));
    assert_eq!((&*found.key, &*found.value, found.revision), ("a/b c", "one", first));
    assert_eq!(unchanged, None);
    assert_eq!(changed, Some(found));
    assert_eq!(listed, [("a/b c".into(), first)]);
    assert_eq!(store.get("a/b c").await.unwrap(), None);
}

// Guards against reporting a write as not executed when only its response was
// lost, and against reporting an unreachable store as an unknown outcome.
#[tokio::test]
async fn lost_response_is_unknown_and_outage_is_unavailable() {
    let standin = start().await;
    let (platform, settings) = platform(&standin);
    let store = HttpStore::new(&settings).unwrap();
    platform.set_faults(PlatformFaults { lost_replies: 1, ..PlatformFaults::default() });

    let lost = store.put_if("k", 0, "v").await;
    let written = store.get("k").await.unwrap();
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    // The listener closes asynchronously after the fault is set.
    while store.get("k").await.is_ok() {}
    let down = store.put_if("k", 1, "w").await;

    assert_eq!(lost, Err(StoreError::Unknown));
    assert!(written.is_some());
    assert_eq!(down, Err(StoreError::Unavailable));
}

// Guards against a client of the host list that cannot parse the listed hosts.
#[tokio::test]
async fn host_list_client_reads_hosts() {
    let standin = start().await;
    let (_, settings) = platform(&standin);

    let hosts = HttpHosts::new(&settings).unwrap().hosts().await.unwrap();

    assert_eq!(hosts.len(), 1);
    assert_eq!((&*hosts[0].host, hosts[0].leaving), ("h1", true));
}

// Guards against a gate that misreads responses of backend servers, including
// the one for a version that the server does not hold.
#[tokio::test]
async fn gate_client_reads_responses() {
    let standin = start().await;
    let connection = connect(&standin).await;
    let run = RunCall {
        service: "lookup".into(),
        key: "1-a".into(),
        timeout: TIMEOUT,
        body: "{}".into(),
        traceparent: None,
    };

    let answer = connection.ask(&ask_call(1, "{}")).await.unwrap();
    let not_held = connection.ask(&ask_call(9, "{}")).await;
    let ran = connection.run(&run).await.unwrap();
    let status = connection.status(TIMEOUT).await.unwrap();

    assert_eq!((answer.rows.len(), answer.version, answer.partial), (3, 1, false));
    assert_eq!(answer.load.unwrap().slots, 2);
    let Err(RequestError::WrongVersion { held }) = not_held else { panic!("{not_held:?}") };
    assert_eq!((held[0].version, held[0].shards, held[0].held.len()), (1, 4, 4));
    assert!(ran.body.contains("1-a"), "{ran:?}");
    assert_eq!(status.versions, held);
    assert_eq!(standin.cluster.stats().servers["lookup-1"].opened, 1);
}

// Guards against a gate that mistakes a refusal by a draining server, or a
// connection lost in a crash, for another error.
#[tokio::test]
async fn gate_client_tells_refusal_from_lost_connection() {
    let standin = start().await;
    let connection = connect(&standin).await;
    standin.cluster.servers[0].model().faults.draining = true;

    let refused = connection.ask(&ask_call(1, "{}")).await;
    let status = connection.status(TIMEOUT).await.unwrap();
    standin.cluster.servers[0].model().faults.draining = false;
    let lost = connection.ask(&ask_call(1, "crash-the-server")).await;

    assert_eq!(refused, Err(RequestError::Refused { refusal: ServerRefusal::Draining }));
    assert!(status.draining);
    assert!(matches!(lost, Err(RequestError::ConnectionLost { .. })), "{lost:?}");
}
