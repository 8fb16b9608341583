//! Scatter-gather queries over all shards of a route.

mod support;

use std::time::Duration;

use chervil_route::config::Route;
use chervil_route::fleet::BackendEntry;

use crate::support::Backend;
use crate::support::Step;
use crate::support::entry;
use crate::support::gather;
use crate::support::header;
use crate::support::limited_reply;
use crate::support::refusal;
use crate::support::reply;
use crate::support::route;
use crate::support::start_connection_limited;
use crate::support::start_host;
use crate::support::status;

const LOW: &str = "aaaaaaaaaaaaaaa1";
const MIDDLE: &str = "bbbbbbbbbbbbbbb2";
const HIGH: &str = "ccccccccccccccc3";

fn entries(backends: &[(&str, &Backend)]) -> Vec<BackendEntry> {
    let numbered = backends.iter().enumerate();
    numbered.map(|(i, (s, b))| entry(&format!("i-{i}"), s, b.address)).collect()
}

fn query_routes(min_coverage: f64) -> Vec<Route> {
    vec![route("/all/", gather(&["a", "b", "c"], min_coverage), true)]
}

/// Starts a backend server that always replies with these records.
async fn start_shard(body: &str) -> Backend {
    Backend::start(vec![Step::Reply(reply(200, body))]).await
}

/// Guards against an answer that holds other records than the greatest of all
/// shards, or a record that is shorter than 16 bytes.
#[tokio::test]
async fn shard_replies_are_merged_into_the_top_records() {
    let (a, b, c) = (
        start_shard(LOW).await,
        start_shard(HIGH).await,
        start_shard(&format!("{MIDDLE}short")).await,
    );
    let host = start_host(query_routes(1.0), entries(&[("a", &a), ("b", &b), ("c", &c)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert!(answer.ends_with(&format!("{HIGH}{MIDDLE}")), "{answer}");
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
    assert_eq!(answer.matches("x-parts: s-200").count(), 3);
}

/// Guards against an answer that does not state that a shard is missing.
#[tokio::test]
async fn answer_states_the_number_of_missing_shards() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let failing = Backend::start(vec![Step::Reply(reply(500, HIGH))]).await;
    let host =
        start_host(query_routes(0.6), entries(&[("a", &a), ("b", &b), ("c", &failing)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
    assert!(answer.ends_with(&format!("{HIGH}{LOW}")), "{answer}");
}

/// Guards against an answer from fewer shards than the route requires.
#[tokio::test]
async fn query_fails_below_the_minimum_coverage() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let failing = Backend::start(vec![Step::Reply(reply(500, HIGH))]).await;
    let host =
        start_host(query_routes(0.7), entries(&[("a", &a), ("b", &b), ("c", &failing)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 502);
}

/// Guards against a query that waits for a slow replica instead of hedging to
/// another one, and against more attempts than the route allows.
#[tokio::test]
async fn slow_shard_is_hedged_to_another_replica() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let slow = [Step::ReplyAfter(5_000, reply(200, MIDDLE)), Step::Reply(reply(200, MIDDLE))];
    let one = Backend::start(slow.to_vec()).await;
    let two = Backend::start(vec![Step::Reply(reply(200, MIDDLE))]).await;
    let all = entries(&[("a", &a), ("b", &b), ("c", &one), ("c", &two)]);
    let host = start_host(query_routes(1.0), all).await;

    for _ in 0..3 {
        let answer = host.ask("GET", "/all/1", "").await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"), "{answer}");
    }

    assert!(one.received().len() + two.received().len() <= 6);
}

/// Guards against a query that waits until its deadline for an unresponsive shard
/// although enough shards have replied by the latency target.
#[tokio::test]
async fn query_ends_at_the_latency_target_without_an_unresponsive_shard() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let silent = Backend::start(vec![Step::NeverReply]).await;
    let host =
        start_host(query_routes(0.6), entries(&[("a", &a), ("b", &b), ("c", &silent)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
}

/// Guards against a missing shard after the first replica refused the request for
/// lack of a free slot.
#[tokio::test]
async fn refused_shard_request_is_retried_at_another_replica() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let full = Backend::start(vec![Step::Reply(refusal())]).await;
    let free = start_shard(MIDDLE).await;
    let all = entries(&[("a", &a), ("b", &b), ("c", &full), ("c", &free)]);
    let host = start_host(query_routes(1.0), all).await;

    for _ in 0..3 {
        let answer = host.ask("GET", "/all/1", "").await;
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"), "{answer}");
    }
}

/// Guards against a query that fails as a whole because one shard has no backend
/// servers.
#[tokio::test]
async fn shard_without_backends_is_reported_missing() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let host = start_host(query_routes(0.6), entries(&[("a", &a), ("b", &b)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"), "{answer}");
}

/// Guards against counting a connection that a backend server reset at its
/// connection limit as an attempt. The host has seen such a reset before, so it
/// notices this one before it sends the request: nothing ran.
#[tokio::test(start_paused = true)]
async fn connection_limit_reset_consumes_no_attempt() {
    let good = start_shard(HIGH).await;
    let once = Route { max_attempts: 1, ..route("/all/", gather(&["a"], 1.0), true) };
    let entries =
        vec![entry("i-0", "a", good.address), entry("i-1", "a", start_connection_limited().await)];
    let host = start_host(vec![once], entries).await;
    let now = host.core.now();
    host.core.state().fleet.avoid("i-0", now + Duration::from_secs(9));
    host.core.pools().record_reset(now);

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("0"));
}

/// Guards against an idle connection to a backend server at its connection limit,
/// which leaves no connection for other hosts.
#[tokio::test]
async fn connection_to_a_backend_at_its_limit_is_not_kept_idle() {
    let backend = start_shard(HIGH).await;
    let routes = vec![route("/all/", gather(&["a"], 1.0), true)];
    let host = start_host(routes, vec![entry("i-0", "a", backend.address)]).await;
    host.ask("GET", "/all/1", "").await;
    let kept = host.core.pools().idle_count();
    let later = host.core.now() + Duration::from_secs(60);
    let now = host.core.now();

    let key = host.core.state().fleet.mark_at_connection_limit("i-0", now, later).unwrap();
    host.core.pools().close_idle(key);
    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(kept, 1);
    assert_eq!(status(&answer), 200);
    assert_eq!(host.core.pools().idle_count(), 0);
}

/// Guards against a query that waits until its deadline although too many shards have no
/// backend server: it is refused before anything is sent.
#[tokio::test]
async fn query_is_refused_at_once_if_too_many_shards_have_no_server() {
    let a = start_shard(LOW).await;
    let host = start_host(query_routes(0.6), entries(&[("a", &a)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert_eq!(a.received().len(), 0);
}

/// Guards against a query that waits for the other shards when it can no longer get
/// enough: 504 would mean that it waited until its deadline.
#[tokio::test]
async fn query_ends_at_once_if_it_can_no_longer_get_enough_shards() {
    let failing = Backend::start(vec![Step::Reply(reply(500, HIGH))]).await;
    let (a, b) = (
        Backend::start(vec![Step::NeverReply]).await,
        Backend::start(vec![Step::NeverReply]).await,
    );
    let host =
        start_host(query_routes(1.0), entries(&[("a", &a), ("b", &b), ("c", &failing)])).await;

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 502);
    crate::support::until(|| a.abandoned() > 0 && b.abandoned() > 0).await;
}

/// Guards against a query that waits for a shard whose servers are all at the limits that
/// they name: it ends with the other shards.
#[tokio::test]
async fn shard_at_its_limit_is_left_out() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let limited = Backend::start(vec![Step::Reply(limited_reply("0", MIDDLE))]).await;
    let host =
        start_host(query_routes(0.6), entries(&[("a", &a), ("b", &b), ("c", &limited)])).await;
    host.ask("GET", "/all/1", "").await;

    let answer = host.ask("GET", "/all/2", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"));
    assert_eq!(limited.received().len(), 1);
}

/// Guards against sending a query to some shards when the limits of the others leave too
/// few for an answer.
#[tokio::test]
async fn query_that_limits_do_not_allow_is_refused_before_it_is_sent() {
    let (a, b) = (start_shard(LOW).await, start_shard(HIGH).await);
    let limited = Backend::start(vec![Step::Reply(limited_reply("0", MIDDLE))]).await;
    let host =
        start_host(query_routes(1.0), entries(&[("a", &a), ("b", &b), ("c", &limited)])).await;
    host.ask("GET", "/all/1", "").await;

    let answer = host.ask("GET", "/all/2", "").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert_eq!([&a, &b, &limited].map(|s| s.received().len()), [1, 1, 1]);
}

/// Guards against the records of a reply that ends inside its head or before its body is
/// complete: its shard is missing.
#[tokio::test]
async fn shard_reply_that_ends_early_is_no_part_of_the_answer() {
    let a = start_shard(LOW).await;
    let whole = reply(200, HIGH).replace("{id}", "r-1");
    for end in 0..whole.len() {
        let cut = Backend::start(vec![Step::ReplyAndClose(whole[..end].to_string())]).await;
        let routes = vec![route("/all/", gather(&["a", "b"], 0.5), true)];
        let host = start_host(routes, entries(&[("a", &a), ("b", &cut)])).await;

        let answer = host.ask("GET", "/all/1", "").await;

        assert_eq!(status(&answer), 200, "{answer}");
        assert_eq!(header(&answer, "x-missing").as_deref(), Some("1"), "{end}: {answer}");
        assert!(answer.ends_with(LOW) && !answer.contains(HIGH), "{end}: {answer}");
    }
}
