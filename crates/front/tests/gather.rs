//! Queries over all shards.

mod support;

use std::time::Duration;

use chervil_route::config::Route;
use chervil_route::fleet::Entry;

use crate::support::Act;
use crate::support::Backend;
use crate::support::crowded;
use crate::support::entry;
use crate::support::gather;
use crate::support::header;
use crate::support::host;
use crate::support::refusal;
use crate::support::reply;
use crate::support::route;
use crate::support::status;

const LOW: &str = "aaaaaaaaaaaaaaa1";
const MIDDLE: &str = "bbbbbbbbbbbbbbb2";
const HIGH: &str = "ccccccccccccccc3";

fn entries(backends: &[(&str, &Backend)]) -> Vec<Entry> {
    let numbered = backends.iter().enumerate();
    numbered.map(|(i, (s, b))| entry(&format!("i-{i}"), s, b.address)).collect()
}

fn query(least: f64) -> Vec<Route> {
    vec![route("/all/", gather(&["a", "b", "c"], least), true)]
}

async fn part(body: &str) -> Backend {
    Backend::start(vec![Act::Send(reply(200, body))]).await
}

/// Guards against an answer that is not the greatest records of all parts.
#[tokio::test]
async fn parts_become_one_answer() {
    let (a, b, c) = (part(LOW).await, part(HIGH).await, part(&format!("{MIDDLE}short")).await);
    let host = host(query(1.0), entries(&[("a", &a), ("b", &b), ("c", &c)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert!(answer.ends_with(&format!("{HIGH}{MIDDLE}")), "{answer}");
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
    assert_eq!(answer.matches("x-parts: s-200").count(), 3);
}

/// Guards against an answer that hides that a part is missing.
#[tokio::test]
async fn missing_part_is_stated() {
    let (a, b) = (part(LOW).await, part(HIGH).await);
    let failing = Backend::start(vec![Act::Send(reply(500, HIGH))]).await;
    let host = host(query(0.6), entries(&[("a", &a), ("b", &b), ("c", &failing)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
    assert!(answer.ends_with(&format!("{HIGH}{LOW}")), "{answer}");
}

/// Guards against an answer with fewer parts than the route asks for.
#[tokio::test]
async fn too_few_parts_are_no_answer() {
    let (a, b) = (part(LOW).await, part(HIGH).await);
    let failing = Backend::start(vec![Act::Send(reply(500, HIGH))]).await;
    let host = host(query(0.7), entries(&[("a", &a), ("b", &b), ("c", &failing)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 502);
}

/// Guards against a query that waits for a straggler although another replica
/// would have answered, and against more attempts than the route allows.
#[tokio::test]
async fn late_part_is_asked_of_another_replica() {
    let (a, b) = (part(LOW).await, part(HIGH).await);
    let slow = [Act::Late(5_000, reply(200, MIDDLE)), Act::Send(reply(200, MIDDLE))];
    let one = Backend::start(slow.to_vec()).await;
    let two = Backend::start(vec![Act::Send(reply(200, MIDDLE))]).await;
    let all = entries(&[("a", &a), ("b", &b), ("c", &one), ("c", &two)]);
    let host = host(query(1.0), all).await;

    for _ in 0..3 {
        let answer = host.ask("GET", "/all/1", "").await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"), "{answer}");
    }

    assert!(one.seen().len() + two.seen().len() <= 6);
}

/// Guards against a query that waits until its deadline although enough parts
/// are in at its latency target.
#[tokio::test]
async fn silent_part_is_left_out_at_the_latency_target() {
    let (a, b) = (part(LOW).await, part(HIGH).await);
    let silent = Backend::start(vec![Act::Silence]).await;
    let host = host(query(0.6), entries(&[("a", &a), ("b", &b), ("c", &silent)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
}

/// Guards against a part that is lost because its first choice was full.
#[tokio::test]
async fn refused_part_goes_to_another_replica() {
    let (a, b) = (part(LOW).await, part(HIGH).await);
    let full = Backend::start(vec![Act::Send(refusal())]).await;
    let free = part(MIDDLE).await;
    let all = entries(&[("a", &a), ("b", &b), ("c", &full), ("c", &free)]);
    let host = host(query(1.0), all).await;

    for _ in 0..3 {
        let answer = host.ask("GET", "/all/1", "").await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"), "{answer}");
    }
}

/// Guards against a shard without backend servers that fails whole queries.
#[tokio::test]
async fn shard_without_servers_is_left_out() {
    let (a, b) = (part(LOW).await, part(HIGH).await);
    let host = host(query(0.6), entries(&[("a", &a), ("b", &b)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"), "{answer}");
}

/// Guards against counting a connection beyond the limit of a backend server
/// as an attempt, once such connections are known to be reset: nothing ran.
#[tokio::test(start_paused = true)]
async fn crowded_server_uses_up_no_attempt() {
    let good = part(HIGH).await;
    let once = Route { attempts: 1, ..route("/all/", gather(&["a"], 1.0), true) };
    let entries = vec![entry("i-0", "a", good.address), entry("i-1", "a", crowded().await)];
    let host = host(vec![once], entries).await;
    let now = host.core.now();
    host.core.state().fleet.avoid("i-0", now + Duration::from_secs(9));
    host.core.pools().record_reset(now);

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
}

/// Guards against an idle connection to a backend server that has no room for
/// those of other hosts.
#[tokio::test]
async fn connection_to_a_crowded_server_is_closed_after_use() {
    let backend = part(HIGH).await;
    let routes = vec![route("/all/", gather(&["a"], 1.0), true)];
    let host = host(routes, vec![entry("i-0", "a", backend.address)]).await;
    host.ask("GET", "/all/1", "").await;
    let kept = host.core.pools().idle_count();
    let later = host.core.now() + Duration::from_secs(60);
    let now = host.core.now();

    let key = host.core.state().fleet.crowd("i-0", now, later).unwrap();
    host.core.pools().close_idle(key);
    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(kept, 1);
    assert_eq!(status(&answer), 200);
    assert_eq!(host.core.pools().idle_count(), 0);
}
