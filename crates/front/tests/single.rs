//! Requests to one backend server.

mod support;

use std::time::Duration;

use chervil_route::config::Target;
use tokio::net::TcpListener;
use tokio::time;

use crate::support::Act;
use crate::support::Backend;
use crate::support::Host;
use crate::support::crashing;
use crate::support::crowded;
use crate::support::entry;
use crate::support::header;
use crate::support::host;
use crate::support::read_message;
use crate::support::refusal;
use crate::support::reply;
use crate::support::route;
use crate::support::send;
use crate::support::status;
use crate::support::until;

async fn quotes(idempotent: bool, backends: &[&Backend]) -> Host {
    let numbered = backends.iter().enumerate();
    let entries = numbered.map(|(i, b)| entry(&format!("i-{i}"), "quote", b.address)).collect();
    host(vec![route("/q/", Target::One("quote".into()), idempotent)], entries).await
}

fn total(backends: &[&Backend]) -> usize {
    backends.iter().map(|b| b.seen().len()).sum()
}

/// Guards against a request that is changed on its way, or sent without the
/// name of the backend server that must run it.
#[tokio::test]
async fn request_arrives_unchanged_with_deadline_and_expected_server() {
    let backend = Backend::start(vec![Act::Send(reply(200, "fine"))]).await;
    let host = quotes(false, &[&backend]).await;

    let answer = host.ask("POST", "/q/7?x=1", "three ropes").await;

    let seen = backend.seen().remove(0);
    assert!(seen.starts_with("POST /q/7?x=1 HTTP/1.1\r\n"), "{seen}");
    assert!(seen.ends_with("\r\n\r\nthree ropes"), "{seen}");
    assert_eq!(header(&seen, "x-id").as_deref(), Some("r-1"));
    assert_eq!(header(&seen, "x-expect").as_deref(), Some("i-0"));
    let left: u64 = header(&seen, "x-deadline").unwrap().parse().unwrap();
    assert!(left <= 1_500, "{left}");
    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s-200"));
    assert!(answer.ends_with("fine"));
}

/// Guards against a quote that is made twice after its answer was lost.
#[tokio::test]
async fn lost_answer_is_not_repeated_when_the_request_must_not_be() {
    let broken = [
        Act::Reset,
        Act::SendAndClose("HTTP/1.1 200 OK\r\nx-stamp: s\r\ncontent-length: 90\r\n\r\nhalf".into()),
        Act::SendAndClose("no reply at all\r\n\r\n".into()),
        Act::Send(reply(200, "x").replace("x-stamp", "x-none")),
        Act::Send(reply(200, "x").replace("x-stamp", "content-encoding: gzip\r\nx-stamp")),
    ];
    for act in broken {
        let first = Backend::start(vec![act.clone()]).await;
        let second = Backend::start(vec![act]).await;
        let host = quotes(false, &[&first, &second]).await;

        let answer = host.ask("POST", "/q/1", "rope").await;

        assert_eq!(status(&answer), 502, "{answer}");
        assert_eq!(total(&[&first, &second]), 1);
    }
}

/// Guards against a failure that reaches the caller although another backend
/// server would have answered.
#[tokio::test]
async fn lost_answer_is_repeated_when_the_request_may_be() {
    for act in [Act::Reset, Act::Send(reply(500, "bad"))] {
        let first = Backend::start(vec![act.clone(), Act::Send(reply(200, "fine"))]).await;
        let second = Backend::start(vec![act, Act::Send(reply(200, "fine"))]).await;
        let host = quotes(true, &[&first, &second]).await;
        // The first backend server that is chosen fails; so may the second one.
        let answer = host.ask("GET", "/q/1", "").await;

        assert_eq!(total(&[&first, &second]), 2);
        assert!(matches!(status(&answer), 500 | 502), "{answer}");
    }
}

/// Guards against the loss of a request that a full backend server refused.
#[tokio::test]
async fn refused_request_goes_to_another_server() {
    let full = Backend::start(vec![Act::Send(refusal())]).await;
    let free = Backend::start(vec![Act::Send(reply(200, "fine"))]).await;
    let host = quotes(false, &[&full, &free]).await;

    for _ in 0..4 {
        let answer = host.ask("POST", "/q/1", "rope").await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

/// Guards against a refusal that is untrue, or that does not say when to come
/// back: no backend server has run the request.
#[tokio::test]
async fn request_that_nobody_runs_is_refused_with_a_time() {
    let full = Backend::start(vec![Act::Send(refusal())]).await;
    let host = quotes(false, &[&full]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some());
}

/// Guards against a refusal of a request that may have run elsewhere before.
#[tokio::test]
async fn unknown_outcome_is_not_called_a_refusal() {
    let silent = Backend::start(vec![Act::Silence]).await;
    let host = quotes(false, &[&silent]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 504);
}

/// Guards against a failure of a backend server that is passed on as another.
#[tokio::test]
async fn failure_of_the_server_is_passed_on() {
    let backend = Backend::start(vec![Act::Send(reply(422, "no such rope"))]).await;
    let host = quotes(false, &[&backend]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 422);
    assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s-422"));
}

/// Guards against an unreachable backend server that costs the caller anything.
#[tokio::test]
async fn unreachable_server_is_passed_over() {
    let gone = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let live = Backend::start(vec![Act::Send(reply(200, "fine"))]).await;
    let entries = vec![entry("i-0", "quote", gone), entry("i-1", "quote", live.address)];
    let host = host(vec![route("/q/", Target::One("quote".into()), false)], entries).await;

    for _ in 0..4 {
        assert_eq!(status(&host.ask("POST", "/q/1", "rope").await), 200);
    }
}

/// Guards against requests to an address that another service has taken over.
#[tokio::test]
async fn misdirected_request_is_sent_elsewhere_and_the_address_avoided() {
    let other = "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n";
    let taken = Backend::start(vec![Act::Send(other.into())]).await;
    let live = Backend::start(vec![Act::Send(reply(200, "fine"))]).await;
    let host = quotes(false, &[&taken, &live]).await;

    for _ in 0..6 {
        assert_eq!(status(&host.ask("POST", "/q/1", "rope").await), 200);
    }

    assert!(taken.seen().len() <= 1);
}

/// Guards against the answer to an earlier request that arrives late, on a
/// connection that is used again.
#[tokio::test]
async fn late_answer_to_another_request_is_skipped() {
    let stale = reply(200, "old").replace("{id}", "r-0") + &reply(200, "new");
    let backend = Backend::start(vec![Act::Send(stale)]).await;
    let host = quotes(false, &[&backend]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert!(answer.ends_with("new"), "{answer}");
}

/// Guards against bytes after an answer that are taken for the next one.
#[tokio::test]
async fn connection_with_bytes_left_over_is_not_used_again() {
    let twice = reply(200, "one") + &reply(200, "two");
    let backend = Backend::start(vec![Act::Send(twice), Act::Send(reply(200, "three"))]).await;
    let host = quotes(false, &[&backend]).await;

    let first = host.ask("POST", "/q/1", "rope").await;
    let second = host.ask("POST", "/q/1", "rope").await;

    assert!(first.ends_with("one"), "{first}");
    assert!(second.ends_with("three"), "{second}");
}

/// Guards against a body that ends with its connection and counts as cut off.
#[tokio::test]
async fn answer_without_a_length_ends_with_its_connection() {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n\r\nall of it";
    let backend = Backend::start(vec![Act::SendAndClose(text.into())]).await;
    let host = quotes(false, &[&backend]).await;

    assert!(host.ask("POST", "/q/1", "rope").await.ends_with("all of it"));
}

/// Guards against chunks that are passed on with their sizes, or cut short.
#[tokio::test]
async fn chunked_answer_is_passed_on_whole() {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nrope\r\n2\r\n!!\r\n0\r\n\r\n";
    let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nrope\r\n";
    let script = vec![Act::Send(text.into()), Act::SendAndClose(cut.into())];
    let backend = Backend::start(script).await;
    let host = quotes(false, &[&backend]).await;

    let whole = host.ask("POST", "/q/1", "rope").await;
    let broken = host.ask("POST", "/q/1", "rope").await;

    assert!(whole.ends_with("rope!!"), "{whole}");
    assert_eq!(status(&broken), 502);
}

/// Guards against work at backend servers for a caller that has left.
#[tokio::test]
async fn caller_that_leaves_ends_the_work() {
    let silent = Backend::start(vec![Act::Silence]).await;
    let host = quotes(true, &[&silent]).await;
    let mut stream = host.connect().await;
    send(&mut stream, "GET", "/q/1", "").await;
    until(|| !silent.seen().is_empty()).await;

    drop(stream);

    time::timeout(Duration::from_secs(5), until(|| silent.closed() > 0)).await.unwrap();
}

/// Guards against a request that is sent to nobody's route or with too much.
#[tokio::test]
async fn request_outside_of_the_configuration_is_refused() {
    let backend = Backend::start(vec![Act::Send(reply(200, "fine"))]).await;
    let host = quotes(false, &[&backend]).await;

    let unknown = host.ask("GET", "/other/1", "").await;
    let large = host.ask("POST", "/q/1", &"x".repeat(1_001)).await;

    assert_eq!((status(&unknown), status(&large)), (404, 413));
    assert!(backend.seen().is_empty());
}

/// Guards against a planned stop that cuts off a running request, or a kept
/// connection that is closed without a word.
#[tokio::test]
async fn stop_answers_what_runs_and_closes_idle_connections() {
    let backend = Backend::start(vec![Act::Late(300, reply(200, "fine"))]).await;
    let host = quotes(false, &[&backend]).await;
    let mut busy = host.connect().await;
    let mut idle = host.connect().await;
    send(&mut busy, "POST", "/q/1", "rope").await;
    until(|| !backend.seen().is_empty()).await;

    let stop = host.lifecycle.stop(Duration::from_secs(2));
    let (answer, closed, ()) = tokio::join!(read_message(&mut busy), read_message(&mut idle), stop);

    let answer = answer.unwrap();
    assert!(answer.ends_with("fine"));
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    assert_eq!(closed, None);
    assert!(!host.lifecycle.is_ready());
}

/// Guards against sending a request that must not run twice over a connection
/// that the backend server is about to reset, after which nobody knows whether
/// it ran.
#[tokio::test(start_paused = true)]
async fn crowded_server_gets_no_request_that_must_not_be_repeated() {
    let routes = vec![route("/quotes/", Target::One("quote".into()), false)];
    let host = host(routes, vec![entry("i-0", "quote", crowded().await)]).await;

    let answer = host.ask("POST", "/quotes/1", "x").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some());
}

/// Guards against refusing a request, as one that crashes backend servers, after
/// answers to requests like it were lost by servers that run on.
#[tokio::test]
async fn request_with_lost_answers_is_no_suspect() {
    let server = Backend::start(vec![Act::Reset; 6]).await;
    let host = quotes(false, &[&server]).await;
    for _ in 0..5 {
        host.ask("POST", "/q/1", "rope").await;
        // Time in which a crash would be confirmed.
        time::sleep(Duration::from_millis(100)).await;
    }

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 502);
    assert_eq!(server.seen().len(), 6);
}

/// Guards against sending a request on that has crashed three backend servers.
#[tokio::test]
async fn request_that_crashes_servers_is_refused() {
    let servers = [crashing().await, crashing().await, crashing().await, crashing().await];
    let entries = servers.iter().enumerate();
    let entries = entries.map(|(i, a)| entry(&format!("i-{i}"), "quote", *a)).collect();
    let host = host(vec![route("/q/", Target::One("quote".into()), false)], entries).await;
    for _ in 0..3 {
        let answer = host.ask("POST", "/q/1", "rope").await;
        assert_eq!(status(&answer), 502);
        time::sleep(Duration::from_millis(200)).await;
    }

    let again = host.ask("POST", "/q/1", "rope").await;
    let other = host.ask("POST", "/q/2", "rope").await;

    assert_eq!(status(&again), 503);
    assert_eq!(status(&other), 502, "the fourth server crashes by another request");
}

/// Guards against heads of any size in the memory of a small host.
#[tokio::test]
async fn oversized_head_is_refused() {
    let server = Backend::start(vec![Act::Send(reply(200, "fine"))]).await;
    let host = quotes(true, &[&server]).await;
    let path = format!("/q/{}", "x".repeat(20_000));

    let answer = host.ask("GET", &path, "").await;

    assert!(matches!(status(&answer), 414 | 431), "{answer}");
    assert!(server.seen().is_empty());
}
