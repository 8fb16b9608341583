//! The HTTP adapters, against a server on a loopback port.
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_fakes::FakeHosts;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_fakes::http;
use chervil_platform::HostList;
use chervil_platform::HttpHosts;
use chervil_platform::HttpSettings;
use chervil_platform::HttpStore;
use chervil_platform::ListedHost;
use chervil_platform::MAX_VALUE_BYTES;
use chervil_platform::Store;
use chervil_platform::StoreError;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;

fn settings(address: SocketAddr) -> HttpSettings {
    let timeout = Duration::from_millis(300);
    HttpSettings { timeout, ..HttpSettings::new(&format!("http://{address}")) }
}

async fn site() -> (Arc<FakeStore>, Arc<FakeHosts>, HttpStore, HttpSettings) {
    let store = Arc::new(FakeStore::new());
    let hosts = Arc::new(FakeHosts::default());
    let (address, _) = http::serve(store.clone(), hosts.clone()).await.unwrap();
    let settings = settings(address);
    (store, hosts, HttpStore::new(&settings).unwrap(), settings)
}

/// Server that reads each request and then sends `reply` and closes.
async fn raw(reply: &'static str) -> HttpStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let _ = socket.read(&mut [0; 4096]).await;
            let _ = socket.write_all(reply.as_bytes()).await;
        }
    });
    HttpStore::new(&settings(address)).unwrap()
}

/// Guards the whole protocol, with keys that contain slashes and values that
/// are not ASCII.
#[tokio::test]
async fn values_are_written_read_listed_and_deleted() {
    let (_, _, store, _) = site().await;
    let key = "config/record/s01/7";

    let missing = store.get(key).await;
    let first = store.put_if(key, 0, "one ☂").await.unwrap();
    let found = store.get(key).await.unwrap().unwrap();
    let second = store.put_if(key, first, "two").await.unwrap();
    let listed = store.list("config/record/").await;
    let stale = store.put_if(key, first, "three").await;
    let deleted = store.delete_if(key, second).await;
    let again = store.delete_if(key, second).await;

    assert_eq!(missing, Ok(None));
    assert_eq!((&*found.value, found.revision), ("one ☂", first));
    assert_eq!(listed, Ok(vec![(key.into(), second)]));
    assert_eq!(stale, Err(StoreError::Conflict { current: second }));
    assert_eq!(deleted, Ok(()));
    assert_eq!(again, Err(StoreError::Conflict { current: 0 }));
    assert_eq!(store.calls(), 8);
}

/// Guards against a watch that misses a change or never returns.
#[tokio::test]
async fn a_watch_ends_with_a_change_or_with_its_wait() {
    let (fake, _, store, _) = site().await;
    let first = store.put_if("k", 0, "one").await.unwrap();

    let quiet = store.watch("k", first, Duration::from_millis(20)).await;
    let known = store.watch("k", 0, Duration::from_secs(60)).await.unwrap().unwrap();
    let (changed, _) = tokio::join!(
        store.watch("k", first, Duration::from_secs(60)),
        fake.put_if("k", first, "two"),
    );

    assert_eq!(quiet, Ok(None));
    assert_eq!(&*known.value, "one");
    assert_eq!(&*changed.unwrap().unwrap().value, "two");
}

/// Guards the difference between a write that was not sent and one whose
/// effect is not known.
#[tokio::test]
async fn a_write_without_a_reply_is_unknown_and_without_a_connection_unavailable() {
    let (fake, _, store, _) = site().await;
    let closed = HttpStore::new(&HttpSettings::new("http://127.0.0.1:9")).unwrap();
    fake.set_faults(Faults { lost_replies: 1, ..Faults::default() });

    let lost = store.put_if("k", 0, "one").await;
    let found = store.get("k").await.unwrap();
    let unsent = closed.put_if("k", 0, "one").await;
    let unread = closed.get("k").await;

    assert_eq!(lost, Err(StoreError::Unknown));
    assert_eq!(found.map(|f| f.value), Some("one".into()));
    assert_eq!(unsent, Err(StoreError::Unavailable));
    assert_eq!(unread, Err(StoreError::Unavailable));
}

/// Guards against replies that are cut short, make no sense or come from a
/// proxy: a read failed, and a write may have taken effect.
#[tokio::test]
async fn unusable_replies_are_unavailable_for_reads_and_unknown_for_writes() {
    let replies = [
        "",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"revision\"",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
    ];
    for reply in replies {
        let store = raw(reply).await;

        let read = store.get("k").await;
        let listed = store.list("k").await;
        let written = store.put_if("k", 1, "v").await;

        assert_eq!(read, Err(StoreError::Unavailable), "{reply}");
        assert_eq!(listed, Err(StoreError::Unavailable), "{reply}");
        assert_eq!(written, Err(StoreError::Unknown), "{reply}");
    }
}

/// Guards against a wrong URL that looks like a store where another operator
/// was first.
#[tokio::test]
async fn a_write_to_a_path_that_does_not_exist_is_not_a_conflict() {
    let store = raw("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;

    let written = store.put_if("k", 1, "v").await;

    assert_eq!(written, Err(StoreError::Unknown));
}

/// Guards the bound of the store, which a real one enforces in its own way.
#[tokio::test]
async fn a_value_that_is_too_large_is_not_sent() {
    let (_, _, store, _) = site().await;

    let result = store.put_if("k", 0, &"x".repeat(MAX_VALUE_BYTES + 1)).await;

    assert_eq!(result, Err(StoreError::TooLarge { size: MAX_VALUE_BYTES + 1 }));
    assert_eq!(store.calls(), 0);
}

/// Guards the host list.
#[tokio::test]
async fn hosts_are_listed() {
    let (_, fake, _, settings) = site().await;
    let address = "127.0.0.1:7001".parse().unwrap();
    let host = ListedHost {
        host: "h1".into(),
        zone: "z1".into(),
        agent: address,
        gate: address,
        leaving: true,
    };
    fake.set_hosts(vec![host.clone()]);
    let hosts = HttpHosts::new(&settings).unwrap();

    let listed = hosts.hosts().await;

    assert_eq!(listed, Ok(vec![host]));
    assert_eq!(hosts.calls(), 1);
}

/// Guards against URLs that would never work.
#[test]
fn other_urls_are_refused() {
    for url in ["", "127.0.0.1:80", "https://127.0.0.1", "http://"] {
        assert!(HttpStore::new(&HttpSettings::new(url)).is_err(), "{url}");
    }
}
