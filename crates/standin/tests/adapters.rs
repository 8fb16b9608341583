//! The adapters of gate and agent against the stand-in: both sides of each
//! protocol must agree.

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

const PATIENCE: Duration = Duration::from_secs(5);

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
    HttpConnector::default().open(standin.servers[0], PATIENCE).await.unwrap().connection
}

fn call(version: u64, body: &str) -> AskCall {
    AskCall {
        service: "lookup".into(),
        shard: 3,
        version,
        request_id: "1".into(),
        timeout: PATIENCE,
        body: body.into(),
        traceparent: None,
    }
}

// Guards against a store protocol that the two sides read differently.
#[tokio::test]
async fn store_calls_agree() {
    let standin = start().await;
    let (_, settings) = platform(&standin);
    let store = HttpStore::new(&settings).unwrap();

    let first = store.put_if("a/b c", 0, "one").await.unwrap();
    let conflict = store.put_if("a/b c", 0, "two").await;
    let found = store.get("a/b c").await.unwrap().unwrap();
    let unchanged = store.watch("a/b c", first, Duration::from_millis(10)).await.unwrap();
    let changed = store.watch("a/b c", 0, PATIENCE).await.unwrap();
    let listed = store.list("a/").await.unwrap();
    store.delete_if("a/b c", first).await.unwrap();

    assert_eq!(conflict, Err(StoreError::Conflict { current: first }));
    assert_eq!((&*found.key, &*found.value, found.revision), ("a/b c", "one", first));
    assert_eq!(unchanged, None);
    assert_eq!(changed, Some(found));
    assert_eq!(listed, [("a/b c".into(), first)]);
    assert_eq!(store.get("a/b c").await.unwrap(), None);
}

// Guards against a lost write that counts as not written, and against an
// outage that counts as a lost write.
#[tokio::test]
async fn store_faults_keep_their_meaning() {
    let standin = start().await;
    let (platform, settings) = platform(&standin);
    let store = HttpStore::new(&settings).unwrap();
    platform.set_faults(PlatformFaults { lost_replies: 1, ..PlatformFaults::default() });

    let lost = store.put_if("k", 0, "v").await;
    let kept = store.get("k").await.unwrap();
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });
    // The port closes shortly after the fault is set.
    while store.get("k").await.is_ok() {}
    let down = store.put_if("k", 1, "w").await;

    assert_eq!(lost, Err(StoreError::Unknown));
    assert!(kept.is_some());
    assert_eq!(down, Err(StoreError::Unavailable));
}

// Guards against hosts that the adapter cannot read.
#[tokio::test]
async fn host_lists_agree() {
    let standin = start().await;
    let (_, settings) = platform(&standin);

    let hosts = HttpHosts::new(&settings).unwrap().hosts().await.unwrap();

    assert_eq!(hosts.len(), 1);
    assert_eq!((&*hosts[0].host, hosts[0].leaving), ("h1", true));
}

// Guards against replies that the gate cannot read.
#[tokio::test]
async fn replies_agree() {
    let standin = start().await;
    let connection = connect(&standin).await;
    let run = RunCall {
        service: "lookup".into(),
        key: "1-a".into(),
        timeout: PATIENCE,
        body: "{}".into(),
        traceparent: None,
    };

    let answer = connection.ask(&call(1, "{}")).await.unwrap();
    let wrong = connection.ask(&call(9, "{}")).await;
    let ran = connection.run(&run).await.unwrap();
    let status = connection.status(PATIENCE).await.unwrap();

    assert_eq!((answer.rows.len(), answer.version, answer.partial), (3, 1, false));
    assert_eq!(answer.load.unwrap().slots, 2);
    let Err(RequestError::WrongVersion { held }) = wrong else { panic!("{wrong:?}") };
    assert_eq!((held[0].version, held[0].shards, held[0].held.len()), (1, 4, 4));
    assert!(ran.body.contains("1-a"), "{ran:?}");
    assert_eq!(status.versions, held);
    assert_eq!(standin.cluster.stats().servers["lookup-1"].opened, 1);
}

// Guards against a refusal or a crash that the gate takes for something else.
#[tokio::test]
async fn refusals_and_losses_agree() {
    let standin = start().await;
    let connection = connect(&standin).await;
    standin.cluster.servers[0].model().faults.draining = true;

    let refused = connection.ask(&call(1, "{}")).await;
    let status = connection.status(PATIENCE).await.unwrap();
    standin.cluster.servers[0].model().faults.draining = false;
    let lost = connection.ask(&call(1, "crash-the-server")).await;

    assert_eq!(refused, Err(RequestError::Refused { refusal: ServerRefusal::Draining }));
    assert!(status.draining);
    assert!(matches!(lost, Err(RequestError::ConnectionLost { .. })), "{lost:?}");
}
