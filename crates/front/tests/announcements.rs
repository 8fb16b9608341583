//! Backend servers that say in their answers that they leave, or that they want nothing for a
//! while. The registry knows nothing of it.

mod support;

use std::time::Duration;
use std::time::UNIX_EPOCH;

use chervil_front::registry::Event;
use chervil_front::reply::parse_retry_after;
use chervil_route::config::Target;
use proptest::prelude::*;
use tokio::time;

use crate::support::ADDRESS;
use crate::support::BOUNDS;
use crate::support::Backend;
use crate::support::ScriptedRegistry;
use crate::support::Step;
use crate::support::TestHost;
use crate::support::configuration;
use crate::support::core;
use crate::support::entry;
use crate::support::gather;
use crate::support::header;
use crate::support::journal;
use crate::support::peer;
use crate::support::replica::changes;
use crate::support::replica::settings;
use crate::support::replica::start;
use crate::support::replica::start_upstream;
use crate::support::reply;
use crate::support::route;
use crate::support::server;
use crate::support::start_host;
use crate::support::status;
use crate::support::until;

/// A host with a route to one server of a service, one that is a query over its shard, and these
/// backend servers for both.
async fn start_with(backends: &[&Backend]) -> TestHost {
    let numbered = backends.iter().enumerate();
    let entries = numbered.map(|(i, b)| entry(&format!("i-{i}"), "a", b.address)).collect();
    let routes = vec![
        route("/all/", gather(&["a"], 1.0), true),
        route("/safe/", Target::One("a".into()), true),
        route("/once/", Target::One("a".into()), false),
    ];
    start_host(routes, entries).await
}

const REQUESTS: [(&str, &str); 3] = [("GET", "/all/1"), ("GET", "/safe/1"), ("POST", "/once/1")];

/// A complete reply with one more header.
fn reply_with(header: &str) -> String {
    reply(200, "aaaaaaaaaaaaaaa1").replace("x-stamp", &format!("{header}\r\nx-stamp"))
}

fn pausing(retry_after: &str) -> String {
    format!(
        "HTTP/1.1 503 Full\r\nx-refused: 1\r\nretry-after: {retry_after}\r\ncontent-length: 0\r\n\r\n"
    )
}

/// Guards against requests to a server that has said that it leaves: first ones, repeated and
/// hedged ones, and those of queries, while the registry calls it ready.
#[tokio::test]
async fn server_that_says_it_leaves_gets_no_further_request() {
    for (method, path) in REQUESTS {
        let leaving = Backend::start(vec![Step::Reply(reply_with("x-leaving: 1"))]).await;
        let steady = Backend::start(vec![Step::Reply(reply_with("x-other: 1"))]).await;
        let host = start_with(&[&leaving, &steady]).await;

        for _ in 0..8 {
            assert_eq!(status(&host.ask(method, path, "").await), 200);
        }

        assert!(leaving.received().len() <= 1, "{path}");
        assert!(steady.received().len() >= 7, "{path}");
    }
}

/// Guards against an answer that is lost because its server leaves, and against a host that
/// takes another value of the header for an announcement.
#[tokio::test]
async fn answers_of_leaving_servers_are_passed_on() {
    let leaving = Backend::start(vec![Step::Reply(reply_with("x-leaving: 1"))]).await;
    let staying = Backend::start(vec![Step::Reply(reply_with("x-leaving: 0"))]).await;
    let host = start_with(&[&leaving]).await;
    let other = start_with(&[&staying]).await;

    let answers = [
        status(&host.ask("POST", "/once/1", "").await),
        status(&host.ask("POST", "/once/2", "").await),
        status(&other.ask("POST", "/once/1", "").await),
        status(&other.ask("POST", "/once/2", "").await),
    ];

    assert_eq!(answers, [200, 503, 200, 200]);
}

/// Guards against other hosts that go on sending to a server that leaves, those that follow a
/// host and those that load its full state.
#[tokio::test]
async fn leaving_heard_by_one_host_reaches_the_others() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (upstream, address) = start_upstream(registry).await;
    let follower = || {
        let registry = ScriptedRegistry::default();
        let listed = Event::Host("upstream".into(), peer(address, 500));
        let own = Event::Host("own".into(), peer(ADDRESS, 10));
        let list = changes(5, vec![configuration(3), server("a"), listed, own]);
        registry.lists.lock().unwrap().push(list);
        registry.changes.lock().unwrap().push(changes(5, vec![]));
        start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core())
    };
    let first = follower();
    until(|| upstream.lifecycle.is_ready() && first.lifecycle.is_ready()).await;

    let key = upstream.core.state().fleet.key("a").unwrap();
    upstream.core.mark_leaving(key);
    until(|| !first.core.state().fleet.has_eligible("quote")).await;
    let second = follower();

    until(|| !second.core.state().fleet.has_eligible("quote")).await;
}

/// Guards against requests to a server within the pause that it has asked for, and against a
/// host that does not come back to it.
#[tokio::test]
async fn server_that_asks_for_a_pause_gets_no_request_until_it_is_over() {
    for (method, path) in REQUESTS {
        let fine = Step::Reply(reply_with("x-other: 1"));
        let pausing = Backend::start(vec![Step::Reply(pausing("0.6")), fine.clone()]).await;
        let steady = Backend::start(vec![fine]).await;
        let host = start_with(&[&pausing]).await;
        host.ask(method, path, "").await;
        let now = host.core.now();
        host.core.state().fleet.upsert(entry("i-1", "a", steady.address), now);
        let mut statuses = Vec::new();

        for _ in 0..8 {
            statuses.push(status(&host.ask(method, path, "").await));
        }
        let within = pausing.received().len();
        time::sleep(Duration::from_millis(800)).await;
        host.core.state().fleet.remove("i-1");
        statuses.push(status(&host.ask(method, path, "").await));

        assert_eq!(statuses, [200; 9], "{path}");
        assert_eq!((within, pausing.received().len()), (1, 2), "{path}");
    }
}

/// Guards against callers that wait for a server which wants nothing, and against callers that
/// come back before it does.
#[tokio::test]
async fn request_whose_servers_all_pause_is_refused_with_the_time() {
    for (method, path) in REQUESTS {
        let backend = Backend::start(vec![Step::Reply(pausing("7"))]).await;
        let host = start_with(&[&backend]).await;
        host.ask(method, path, "").await;

        let answer = host.ask(method, path, "").await;

        assert_eq!(status(&answer), 503, "{path}");
        let retry_after: f64 = header(&answer, "retry-after").unwrap().parse().unwrap();
        assert!((6.0..=11.0).contains(&retry_after), "{path}: {retry_after}");
        assert_eq!(backend.received().len(), 1, "{path}");
    }
}

/// Guards against a wish for a pause that is taken for a failure of the server.
#[tokio::test]
async fn pause_is_no_sign_against_the_server() {
    let backend = Backend::start(vec![Step::Reply(pausing("0.2"))]).await;
    let host = start_with(&[&backend]).await;

    host.ask("POST", "/once/1", "").await;

    let now = host.core.now();
    let state = host.core.state();
    assert!(state.fleet.iter().all(|b| !b.health.is_backing_off(now)));
    drop(state);
    assert!(host.core.take_reports().degraded.is_empty());
}

/// Guards against a header that stops requests for good, or none that should.
#[test]
fn retry_after_has_an_outcome_for_each_value() {
    let seconds = |text: &str| parse_retry_after(text, None).map(|t| t.as_secs_f64());
    let date = "Sat, 05 Dec 2026 10:00:00 GMT";

    assert_eq!(seconds("2"), Some(2.0));
    assert_eq!(seconds("0.25"), Some(0.25));
    assert_eq!(seconds("1e30"), Some(86_400.0));
    for none in ["0", "-3", "NaN", "inf", "", "soon", date] {
        assert_eq!(seconds(none), None, "{none:?}");
    }
    let later = |text| parse_retry_after(text, Some(date));
    assert_eq!(later("Sat, 05 Dec 2026 10:00:30 GMT"), Some(Duration::from_secs(30)));
    assert_eq!(later("Sat, 05 Dec 2026 09:00:00 GMT"), None);
}

/// Values of the header: numbers of all sizes, dates, and any other text.
fn header_value() -> impl Strategy<Value = String> {
    prop_oneof![
        any::<f64>().prop_map(|n| n.to_string()),
        any::<i64>().prop_map(|n| n.to_string()),
        "[-+]?[0-9]{0,30}(\\.[0-9]{0,30})?(e[-+]?[0-9]{1,6})?",
        (0u64..1 << 37).prop_map(|s| httpdate::fmt_http_date(UNIX_EPOCH + Duration::from_secs(s))),
        ".{0,40}",
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against a header that ends the process, or stops requests to a server for longer
    /// than the settings allow.
    #[test]
    fn any_retry_after_gives_a_bounded_pause(text in header_value(), date in header_value()) {
        let time = parse_retry_after(&text, Some(&date));

        let host = core();
        let now = host.now();
        let mut state = host.state();
        state.fleet.upsert(entry("i-0", "quote", ADDRESS), now);
        let key = state.fleet.key("i-0").unwrap();
        if let Some(time) = time {
            prop_assert!(!time.is_zero());
            state.pause_server(key, time, now);
        }
        let wait = state.fleet.get(key).unwrap().pause.wait(now);
        prop_assert!(wait <= BOUNDS.max_pause.mul_f64(1.2), "{text:?}: {wait:?}");
        prop_assert_eq!(wait.is_zero(), time.is_none());
    }
}
