//! The HTTP clients against servers on loopback ports.
#![allow(clippy::unwrap_used, reason = "a failed fixture should fail its test")]

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

async fn start_platform() -> (Arc<FakeStore>, Arc<FakeHosts>, HttpStore, HttpSettings) {
    let store = Arc::new(FakeStore::new());
    let hosts = Arc::new(FakeHosts::default());
    let (address, _) = http::serve(store.clone(), hosts.clone()).await.unwrap();
    let settings = settings(address);
    (store, hosts, HttpStore::new(&settings).unwrap(), settings)
}

/// Client of a server that answers each request with the bytes of `response` and
/// closes the connection.
async fn client_of_raw_server(response: &'static str) -> HttpStore {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let _ = socket.read(&mut [0; 4096]).await;
            let _ = socket.write_all(response.as_bytes()).await;
        }
    });
    HttpStore::new(&settings(address)).unwrap()
}

/// Guards against breaking the protocol of any call, here with a key that
/// contains slashes and a value that is not ASCII.
#[tokio::test]
async fn values_are_written_read_listed_and_deleted() {
    let (_, _, store, _) = start_platform().await;
    let key = "config/record/s01/7";

    let missing = store.get(key).await;
    let first = store.put_if(key, 0, "one ☂").await.unwrap();
    let found = store.get(key).await.unwrap().unwrap();
    let second = store.put_if(key, first, "two").await.unwrap();
    let listed = store.list("config/record/").await;
    let stale = store.put_if(key, first, "three").await;
    let deleted = store.delete_if(key, second).await;
    let repeated = store.delete_if(key, second).await;

    assert_eq!(missing, Ok(None));
    assert_eq!((&*found.value, found.revision), ("one ☂", first));
    assert_eq!(listed, Ok(vec![(key.into(), second)]));
    assert_eq!(stale, Err(StoreError::Conflict { current: second }));
    assert_eq!(deleted, Ok(()));
    assert_eq!(repeated, Err(StoreError::Conflict { current: 0 }));
    assert_eq!(store.calls(), 8);
}

/// Guards against a watch that misses a change made before or during the wait,
/// or that never returns when there is none.
#[tokio::test]
async fn a_watch_returns_a_change_or_ends_after_its_wait() {
    let (fake, _, store, _) = start_platform().await;
    let first = store.put_if("k", 0, "one").await.unwrap();

    let unchanged = store.watch("k", first, Duration::from_millis(20)).await;
    let earlier = store.watch("k", 0, Duration::from_secs(60)).await.unwrap().unwrap();
    let (changed, _) = tokio::join!(
        store.watch("k", first, Duration::from_secs(60)),
        fake.put_if("k", first, "two"),
    );

    assert_eq!(unchanged, Ok(None));
    assert_eq!(&*earlier.value, "one");
    assert_eq!(&*changed.unwrap().unwrap().value, "two");
}

/// Guards against mixing up a write that was not sent, as no connection could be
/// opened, with one whose response was lost and which may have taken effect.
#[tokio::test]
async fn a_write_without_a_response_is_unknown_and_without_a_connection_unavailable() {
    let (fake, _, store, _) = start_platform().await;
    let unreachable = HttpStore::new(&HttpSettings::new("http://127.0.0.1:9")).unwrap();
    fake.set_faults(Faults { lost_replies: 1, ..Faults::default() });

    let lost = store.put_if("k", 0, "one").await;
    let found = store.get("k").await.unwrap();
    let unsent = unreachable.put_if("k", 0, "one").await;
    let unread = unreachable.get("k").await;

    assert_eq!(lost, Err(StoreError::Unknown));
    assert_eq!(found.map(|f| f.value), Some("one".into()));
    assert_eq!(unsent, Err(StoreError::Unavailable));
    assert_eq!(unread, Err(StoreError::Unavailable));
}

/// Guards against trusting a response that is truncated, malformed or sent by a
/// proxy: the read has failed, and the write may have taken effect.
#[tokio::test]
async fn unusable_responses_are_unavailable_for_reads_and_unknown_for_writes() {
    let responses = [
        "",
        "HTTP/1.1 200 OK\r\ncontent-length: 100\r\n\r\n{\"revision\"",
        "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 409 Conflict\r\ncontent-length: 2\r\n\r\n{}",
        "HTTP/1.1 503 Service Unavailable\r\ncontent-length: 0\r\n\r\n",
        "HTTP/1.1 302 Found\r\nlocation: /\r\ncontent-length: 0\r\n\r\n",
    ];
    for response in responses {
        let store = client_of_raw_server(response).await;

        let read = store.get("k").await;
        let listed = store.list("k").await;
        let written = store.put_if("k", 1, "v").await;

        assert_eq!(read, Err(StoreError::Unavailable), "{response}");
        assert_eq!(listed, Err(StoreError::Unavailable), "{response}");
        assert_eq!(written, Err(StoreError::Unknown), "{response}");
    }
}

/// Guards against taking a 404 for a conflict: with a wrong base URL every write
/// would look as if another operator had written first.
#[tokio::test]
async fn a_write_to_a_path_that_does_not_exist_is_not_a_conflict() {
    let store = client_of_raw_server("HTTP/1.1 404 Not Found\r\ncontent-length: 0\r\n\r\n").await;

    let written = store.put_if("k", 1, "v").await;

    assert_eq!(written, Err(StoreError::Unknown));
}

/// Guards against sending an oversized value: real stores differ in how they
/// reject one.
#[tokio::test]
async fn a_value_that_is_too_large_is_not_sent() {
    let (_, _, store, _) = start_platform().await;

    let result = store.put_if("k", 0, &"x".repeat(MAX_VALUE_BYTES + 1)).await;

    assert_eq!(result, Err(StoreError::TooLarge { size: MAX_VALUE_BYTES + 1 }));
    assert_eq!(store.calls(), 0);
}

/// Guards against losing hosts or fields of the host list.
#[tokio::test]
async fn hosts_are_listed() {
    let (_, fake, _, settings) = start_platform().await;
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

/// Guards against accepting a URL at start that no call could use, such as one
/// with the scheme https, which is not supported.
#[test]
fn unusable_urls_are_rejected() {
    for url in ["", "127.0.0.1:80", "https://127.0.0.1", "http://"] {
        assert!(HttpStore::new(&HttpSettings::new(url)).is_err(), "{url}");
    }
}

/// Guards against trusting a response that HTTP/1.1 does not allow: here one that says that a key
/// does not exist, and one that says that a write has lost against another.
#[tokio::test]
async fn response_that_violates_the_grammar_is_no_answer() {
    let body = "{\"current\":7}";
    let conflict = format!(
        "HTTP/1.1 409 Conflict\r\nx-more: 1\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let mut accepted = Vec::new();
    for change in [
        |text: &str| text.replace("x-more: 1\r", "x-more: 1"),
        |text: &str| text.replace("HTTP", "\r\nHTTP"),
        |text: &str| text.replace("x-more", "transfer-encoding: gzip\r\nx-more"),
        |text: &str| text.replace("x-more", "x\nmore"),
        |text: &str| text.replace("length: ", "length: +"),
        |text: &str| text.replace("x-more: 1", "x-more 1"),
    ] {
        let broken: &'static str = change(&conflict).leak();
        let missing: &'static str = broken.replace("409 Conflict", "404 Not Found").leak();

        let written = client_of_raw_server(broken).await.put_if("k", 1, "v").await;
        let read = client_of_raw_server(missing).await.get("k").await;

        if written != Err(StoreError::Unknown) || read != Err(StoreError::Unavailable) {
            accepted.push((broken, written, read));
        }
    }

    assert!(accepted.is_empty(), "{accepted:#?}");
    let sound: &'static str = conflict.leak();
    let written = client_of_raw_server(sound).await.put_if("k", 1, "v").await;
    assert_eq!(written, Err(StoreError::Conflict { current: 7 }));
}

/// Guards against a response without end that is kept until the call times out.
#[tokio::test]
async fn response_without_end_is_given_up() {
    const ENOUGH: usize = 64 * 1024 * 1024;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let timeout = Duration::from_secs(30);
    let settings = HttpSettings { timeout, ..settings(listener.local_addr().unwrap()) };
    let store = HttpStore::new(&settings).unwrap();
    let server = async {
        let (mut socket, _) = listener.accept().await.unwrap();
        let _ = socket.read(&mut [0; 4096]).await;
        socket.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
        let mut sent = 0;
        while sent < ENOUGH && socket.write_all(&[b' '; 4096]).await.is_ok() {
            sent += 4096;
        }
        sent
    };

    let (read, sent) = tokio::join!(store.get("k"), server);

    assert_eq!(read, Err(StoreError::Unavailable));
    assert!(sent < ENOUGH, "{sent} bytes were read");
}
