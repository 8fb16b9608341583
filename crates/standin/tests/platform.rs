//! The simulated platform over TCP.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_platform::Versioned;
use chervil_standin::cluster::Standin;
use chervil_standin::platform::PlatformFaults;
use chervil_standin::settings::Settings;
use reqwest::Client;
use reqwest::StatusCode;

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
        leaving = false
        "#,
    )
    .unwrap();
    Standin::start(&settings).await.unwrap()
}

fn url(standin: &Standin, path: &str) -> String {
    format!("http://{}/{path}", standin.platform.unwrap())
}

async fn put(standin: &Standin, key: &str, expected: u64, value: &str) -> reqwest::Result<String> {
    let url = url(standin, &format!("kv/{key}?if_revision={expected}"));
    let reply = Client::new().put(url).body(value.to_owned()).send().await?;
    Ok(format!("{} {}", reply.status().as_u16(), reply.text().await?))
}

async fn get(standin: &Standin, path: &str) -> reqwest::Response {
    Client::new().get(url(standin, path)).send().await.unwrap()
}

// Guards against a write that overwrites a value of a newer revision.
#[tokio::test]
async fn writes_compare_and_swap() {
    let standin = start().await;

    let first = put(&standin, "a/b", 0, "one").await.unwrap();
    let stale = put(&standin, "a/b", 0, "two").await.unwrap();
    let next = put(&standin, "a/b", 1, "three").await.unwrap();
    let found: Versioned = get(&standin, "kv/a/b").await.json().await.unwrap();

    assert_eq!(first, r#"200 {"revision":1}"#);
    assert_eq!(stale, r#"409 {"current":1}"#);
    assert_eq!(next, r#"200 {"revision":2}"#);
    assert_eq!((&*found.value, found.revision), ("three", 2));
}

// Guards against a `lost_replies` fault that discards the write as well.
#[tokio::test]
async fn write_with_lost_response_takes_effect() {
    let standin = start().await;
    let platform = standin.cluster.platform.clone().unwrap();
    platform.set_faults(PlatformFaults { lost_replies: 1, ..PlatformFaults::default() });

    let lost = put(&standin, "k", 0, "v").await;

    assert!(lost.is_err());
    assert_eq!(get(&standin, "kv/k").await.status(), StatusCode::OK);
}

// Guards against a `down` fault that still accepts connections, or that does not
// end when it is cleared.
#[tokio::test]
async fn store_that_is_down_refuses_connections_and_returns() {
    let standin = start().await;
    let platform = standin.cluster.platform.clone().unwrap();
    platform.set_faults(PlatformFaults { down: true, ..PlatformFaults::default() });

    // The listener closes asynchronously after the fault is set.
    while put(&standin, "k", 0, "v").await.is_ok() {}
    platform.set_faults(PlatformFaults::default());
    let mut reply = put(&standin, "other", 0, "v").await;
    while reply.is_err() {
        reply = put(&standin, "other", 0, "v").await;
    }

    assert!(reply.unwrap().starts_with("200"));
}

// Guards against a watch that misses a change made while it waits, and against
// one that reports changes despite the `silent_watches` fault.
#[tokio::test]
async fn watch_reports_a_change_unless_it_is_silent() {
    let standin = start().await;
    put(&standin, "k", 0, "v").await.unwrap();

    let waiting = get(&standin, "kv/k?after=1&wait_ms=10000");
    let (changed, _) = tokio::join!(waiting, put(&standin, "k", 1, "w"));
    let unchanged = get(&standin, "kv/k?after=2&wait_ms=20").await;
    let platform = standin.cluster.platform.clone().unwrap();
    platform.set_faults(PlatformFaults { silent_watches: true, ..PlatformFaults::default() });
    let silent = get(&standin, "kv/k?after=1&wait_ms=20").await;

    let changed: Versioned = changed.json().await.unwrap();
    assert_eq!(changed.revision, 2);
    assert_eq!(unchanged.status(), StatusCode::NO_CONTENT);
    assert_eq!(silent.status(), StatusCode::NO_CONTENT);
}

// Guards against accepting values above the limit of 1 MB, which the real store
// refuses.
#[tokio::test]
async fn value_over_the_limit_is_refused() {
    let standin = start().await;

    let reply = put(&standin, "k", 0, &"x".repeat(1_000_001)).await.unwrap();

    assert!(reply.starts_with("413"), "{reply}");
}

// Guards against calls that are not counted, and against a listing that includes
// keys of other prefixes.
#[tokio::test]
async fn keys_are_listed_by_prefix_and_calls_counted() {
    let standin = start().await;
    put(&standin, "a/1", 0, "v").await.unwrap();
    put(&standin, "b/1", 0, "v").await.unwrap();

    let keys = get(&standin, "list?prefix=a%2F").await.text().await.unwrap();
    let hosts = get(&standin, "hosts").await.text().await.unwrap();

    let stats = standin.cluster.stats().platform.unwrap();
    assert_eq!(keys, r#"[["a/1",1]]"#);
    assert!(hosts.contains(r#""host":"h1""#), "{hosts}");
    assert_eq!((stats.puts, stats.lists, stats.hosts, stats.calls()), (2, 1, 1, 4));
}

// Guards against a `lagging_hosts` fault under which the list changes at once or
// never catches up.
#[tokio::test]
async fn host_list_lags_until_the_fault_ends() {
    let standin = start().await;
    let platform = standin.cluster.platform.clone().unwrap();
    platform.set_faults(PlatformFaults { lagging_hosts: true, ..PlatformFaults::default() });
    platform.apply("hosts", b"[]").unwrap();

    let during = get(&standin, "hosts").await.text().await.unwrap();
    platform.set_faults(PlatformFaults::default());
    let after = get(&standin, "hosts").await.text().await.unwrap();

    assert!(during.contains("h1"));
    assert_eq!(after, "[]");
}

// Guards against a `slow_ms` fault without effect.
#[tokio::test]
async fn slow_store_exceeds_a_short_timeout() {
    let standin = start().await;
    let platform = standin.cluster.platform.clone().unwrap();
    platform.set_faults(PlatformFaults { slow_ms: 60_000, ..PlatformFaults::default() });

    let request = Client::new().get(url(&standin, "kv/k"));
    let reply = request.timeout(Duration::from_millis(100)).send().await;

    assert!(reply.is_err_and(|e| e.is_timeout()));
}
