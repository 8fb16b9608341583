//! Requests that are executed by one backend server of a service.

mod support;

use std::time::Duration;

use chervil_route::config::Target;
use tokio::net::TcpListener;
use tokio::time;

use crate::support::Backend;
use crate::support::Step;
use crate::support::TestHost;
use crate::support::entry;
use crate::support::header;
use crate::support::limited_reply;
use crate::support::read_message;
use crate::support::refusal;
use crate::support::reply;
use crate::support::route;
use crate::support::send_request;
use crate::support::start_connection_limited;
use crate::support::start_crashing;
use crate::support::start_host;
use crate::support::status;
use crate::support::until;

/// Starts a host with one route to a service of these backend servers.
async fn start_quotes(idempotent: bool, backends: &[&Backend]) -> TestHost {
    let numbered = backends.iter().enumerate();
    let entries = numbered.map(|(i, b)| entry(&format!("i-{i}"), "quote", b.address)).collect();
    start_host(vec![route("/q/", Target::One("quote".into()), idempotent)], entries).await
}

/// Number of requests that all backend servers received.
fn total_received(backends: &[&Backend]) -> usize {
    backends.iter().map(|b| b.received().len()).sum()
}

/// Guards against a request that is altered by the host, or sent without the id of
/// the backend server that must execute it.
#[tokio::test]
async fn request_is_forwarded_unchanged_with_deadline_and_expected_id() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(false, &[&backend]).await;

    let answer = host.ask("POST", "/q/7?x=1", "three ropes").await;

    let received = backend.received().remove(0);
    assert!(received.starts_with("POST /q/7?x=1 HTTP/1.1\r\n"), "{received}");
    assert!(received.ends_with("\r\n\r\nthree ropes"), "{received}");
    assert_eq!(header(&received, "x-id").as_deref(), Some("r-1"));
    assert_eq!(header(&received, "x-expect").as_deref(), Some("i-0"));
    let left: u64 = header(&received, "x-deadline").unwrap().parse().unwrap();
    assert!(left <= 1_500, "{left}");
    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s-200"));
    assert!(answer.ends_with("fine"));
}

/// Guards against executing a non-idempotent request twice: a reset, a truncated,
/// malformed, unstamped or encoded reply leaves unknown whether it ran.
#[tokio::test]
async fn non_idempotent_request_is_not_retried_after_a_lost_reply() {
    let broken = [
        Step::Reset,
        Step::ReplyAndClose(
            "HTTP/1.1 200 OK\r\nx-stamp: s\r\ncontent-length: 90\r\n\r\nhalf".into(),
        ),
        Step::ReplyAndClose("no reply at all\r\n\r\n".into()),
        Step::Reply(reply(200, "x").replace("x-stamp", "x-none")),
        Step::Reply(reply(200, "x").replace("x-stamp", "content-encoding: gzip\r\nx-stamp")),
    ];
    for step in broken {
        let first = Backend::start(vec![step.clone()]).await;
        let second = Backend::start(vec![step]).await;
        let host = start_quotes(false, &[&first, &second]).await;

        let answer = host.ask("POST", "/q/1", "rope").await;

        assert_eq!(status(&answer), 502, "{answer}");
        assert_eq!(total_received(&[&first, &second]), 1);
    }
}

/// Guards against returning the first failure of an idempotent request without
/// trying another backend server. Both fail here, which uses up the two attempts
/// of the route.
#[tokio::test]
async fn idempotent_request_is_retried_after_a_failure() {
    for step in [Step::Reset, Step::Reply(reply(500, "bad"))] {
        let first = Backend::start(vec![step.clone(), Step::Reply(reply(200, "fine"))]).await;
        let second = Backend::start(vec![step, Step::Reply(reply(200, "fine"))]).await;
        let host = start_quotes(true, &[&first, &second]).await;

        let answer = host.ask("GET", "/q/1", "").await;

        assert_eq!(total_received(&[&first, &second]), 2);
        assert!(matches!(status(&answer), 500 | 502), "{answer}");
    }
}

/// Guards against failing a request that one backend server refused for lack of a
/// free slot while another has one.
#[tokio::test]
async fn refused_request_is_retried_at_another_backend() {
    let full = Backend::start(vec![Step::Reply(refusal())]).await;
    let free = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(false, &[&full, &free]).await;

    for _ in 0..4 {
        let answer = host.ask("POST", "/q/1", "rope").await;
        assert_eq!(status(&answer), 200, "{answer}");
    }
}

/// Guards against an answer to a request that no backend server executed which does
/// not say so, or lacks `retry-after`.
#[tokio::test]
async fn request_that_no_backend_executes_gets_503_with_retry_after() {
    let full = Backend::start(vec![Step::Reply(refusal())]).await;
    let host = start_quotes(false, &[&full]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some());
}

/// Guards against a 503, which says that nothing ran, for a request that a backend
/// server received and never answered.
#[tokio::test]
async fn unanswered_request_gets_504_instead_of_a_refusal() {
    let silent = Backend::start(vec![Step::NeverReply]).await;
    let host = start_quotes(false, &[&silent]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 504);
}

/// Guards against replacing the error status of a backend server by another one.
#[tokio::test]
async fn error_status_of_the_backend_is_forwarded() {
    let backend = Backend::start(vec![Step::Reply(reply(422, "no such rope"))]).await;
    let host = start_quotes(false, &[&backend]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 422);
    assert_eq!(header(&answer, "x-stamp").as_deref(), Some("s-422"));
}

/// Guards against a status by which the caller of a request that ran takes it for one that has not
/// run, and sends it again. Every other status, and each one for a request that may be repeated, is
/// forwarded unchanged.
#[tokio::test]
async fn status_that_denies_execution_is_not_forwarded_for_a_request_that_ran() {
    for code in [400, 404, 408, 409, 421, 429, 500, 502, 503, 504] {
        let backend = Backend::start(vec![Step::Reply(reply(code, "own failure"))]).await;
        let other = Backend::start(vec![Step::Reply(reply(code, "own failure"))]).await;
        for idempotent in [false, true] {
            let host = start_quotes(idempotent, &[&backend, &other]).await;
            let before = total_received(&[&backend, &other]);

            let answer = host.ask("POST", "/q/1", "rope").await;

            let denies = [408, 421, 429, 503].contains(&code) && !idempotent;
            assert_eq!(status(&answer), if denies { 502 } else { code }, "{answer}");
            assert_eq!(header(&answer, "x-stamp").is_some(), !denies, "{answer}");
            let runs = total_received(&[&backend, &other]) - before;
            assert!(idempotent || runs == 1, "{code}: ran {runs} times");
        }
    }
}

/// Guards against failing requests while one backend server is unreachable and
/// another is up.
#[tokio::test]
async fn unreachable_backend_is_skipped() {
    let unreachable = TcpListener::bind("127.0.0.1:0").await.unwrap().local_addr().unwrap();
    let live = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let entries = vec![entry("i-0", "quote", unreachable), entry("i-1", "quote", live.address)];
    let host = start_host(vec![route("/q/", Target::One("quote".into()), false)], entries).await;

    for _ in 0..4 {
        assert_eq!(status(&host.ask("POST", "/q/1", "rope").await), 200);
    }
}

/// Guards against sending further requests to an address that now belongs to another
/// backend server, which answers 421.
#[tokio::test]
async fn misdirected_request_is_retried_and_its_address_avoided() {
    let other = "HTTP/1.1 421 Other\r\ncontent-length: 0\r\n\r\n";
    let taken = Backend::start(vec![Step::Reply(other.into())]).await;
    let live = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(false, &[&taken, &live]).await;

    for _ in 0..6 {
        assert_eq!(status(&host.ask("POST", "/q/1", "rope").await), 200);
    }

    assert!(taken.received().len() <= 1);
}

/// Guards against returning the late reply to an earlier request on the same
/// connection, recognisable by its request id.
#[tokio::test]
async fn late_reply_to_an_earlier_request_is_skipped() {
    let stale = reply(200, "old").replace("{id}", "r-0") + &reply(200, "new");
    let backend = Backend::start(vec![Step::Reply(stale)]).await;
    let host = start_quotes(false, &[&backend]).await;

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert!(answer.ends_with("new"), "{answer}");
}

/// Guards against taking surplus bytes after a reply for the reply to the next
/// request.
#[tokio::test]
async fn connection_with_unread_bytes_is_not_reused() {
    let twice = reply(200, "one") + &reply(200, "two");
    let backend = Backend::start(vec![Step::Reply(twice), Step::Reply(reply(200, "three"))]).await;
    let host = start_quotes(false, &[&backend]).await;

    let first = host.ask("POST", "/q/1", "rope").await;
    let second = host.ask("POST", "/q/1", "rope").await;

    assert!(first.ends_with("one"), "{first}");
    assert!(second.ends_with("three"), "{second}");
}

/// Guards against treating a body that is delimited by the end of its connection as
/// truncated.
#[tokio::test]
async fn reply_without_a_length_ends_at_connection_close() {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\n\r\nall of it";
    let backend = Backend::start(vec![Step::ReplyAndClose(text.into())]).await;
    let host = start_quotes(false, &[&backend]).await;

    assert!(host.ask("POST", "/q/1", "rope").await.ends_with("all of it"));
}

/// Guards against forwarding a chunked body with its chunk sizes, or one that was
/// truncated.
#[tokio::test]
async fn chunked_reply_is_decoded_and_a_truncated_one_rejected() {
    let text = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nrope\r\n2\r\n!!\r\n0\r\n\r\n";
    let cut = "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s\r\ntransfer-encoding: chunked\r\n\r\n4\r\nrope\r\n";
    let script = vec![Step::Reply(text.into()), Step::ReplyAndClose(cut.into())];
    let backend = Backend::start(script).await;
    let host = start_quotes(false, &[&backend]).await;

    let whole = host.ask("POST", "/q/1", "rope").await;
    let broken = host.ask("POST", "/q/1", "rope").await;

    assert!(whole.ends_with("rope!!"), "{whole}");
    assert_eq!(status(&broken), 502);
}

/// Guards against a backend server that keeps working for a caller that has
/// disconnected: the host must close the connection to it.
#[tokio::test]
async fn caller_disconnect_cancels_the_attempt() {
    let silent = Backend::start(vec![Step::NeverReply]).await;
    let host = start_quotes(true, &[&silent]).await;
    let mut stream = host.connect().await;
    send_request(&mut stream, "GET", "/q/1", "").await;
    until(|| !silent.received().is_empty()).await;

    drop(stream);

    time::timeout(Duration::from_secs(5), until(|| silent.abandoned() > 0)).await.unwrap();
}

/// Guards against forwarding a request that no route matches, or whose body exceeds
/// the configured limit.
#[tokio::test]
async fn unrouted_and_oversized_requests_are_rejected() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(false, &[&backend]).await;

    let unknown = host.ask("GET", "/other/1", "").await;
    let large = host.ask("POST", "/q/1", &"x".repeat(1_001)).await;

    assert_eq!((status(&unknown), status(&large)), (404, 413));
    assert!(backend.received().is_empty());
}

/// Guards against a graceful stop that aborts a running request, leaves out
/// `connection: close` in its answer, or keeps idle connections open.
#[tokio::test]
async fn graceful_stop_answers_running_requests_and_closes_idle_connections() {
    let backend = Backend::start(vec![Step::ReplyAfter(300, reply(200, "fine"))]).await;
    let host = start_quotes(false, &[&backend]).await;
    let mut busy = host.connect().await;
    let mut idle = host.connect().await;
    send_request(&mut busy, "POST", "/q/1", "rope").await;
    until(|| !backend.received().is_empty()).await;

    let stop = host.lifecycle.stop(Duration::from_secs(2));
    let (answer, closed, ()) = tokio::join!(read_message(&mut busy), read_message(&mut idle), stop);

    let answer = answer.unwrap();
    assert!(answer.ends_with("fine"));
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    assert_eq!(closed, None);
    assert!(!host.lifecycle.is_ready());
}

/// Guards against sending a non-idempotent request on a new connection that the
/// backend server is about to reset for its connection limit, after which it would
/// be unknown whether the request ran.
#[tokio::test(start_paused = true)]
async fn non_idempotent_request_is_not_sent_to_a_backend_at_its_connection_limit() {
    let routes = vec![route("/quotes/", Target::One("quote".into()), false)];
    let host =
        start_host(routes, vec![entry("i-0", "quote", start_connection_limited().await)]).await;

    let answer = host.ask("POST", "/quotes/1", "x").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some());
}

/// Guards against blocking a request as the cause of crashes when the backend server
/// only lost its replies and is still running.
#[tokio::test]
async fn lost_replies_of_a_running_backend_do_not_block_a_request() {
    let server = Backend::start(vec![Step::Reset; 6]).await;
    let host = start_quotes(false, &[&server]).await;
    for _ in 0..5 {
        host.ask("POST", "/q/1", "rope").await;
        // Longer than the delay of the probe that would confirm a crash.
        time::sleep(Duration::from_millis(100)).await;
    }

    let answer = host.ask("POST", "/q/1", "rope").await;

    assert_eq!(status(&answer), 502);
    assert_eq!(server.received().len(), 6);
}

/// Guards against forwarding a request again that has crashed three backend servers.
#[tokio::test]
async fn request_that_crashed_three_backends_is_refused() {
    let servers = [
        start_crashing().await,
        start_crashing().await,
        start_crashing().await,
        start_crashing().await,
    ];
    let entries = servers.iter().enumerate();
    let entries = entries.map(|(i, a)| entry(&format!("i-{i}"), "quote", *a)).collect();
    let host = start_host(vec![route("/q/", Target::One("quote".into()), false)], entries).await;
    for _ in 0..3 {
        let answer = host.ask("POST", "/q/1", "rope").await;
        assert_eq!(status(&answer), 502);
        time::sleep(Duration::from_millis(200)).await;
    }

    let again = host.ask("POST", "/q/1", "rope").await;
    let other = host.ask("POST", "/q/2", "rope").await;

    assert_eq!(status(&again), 503);
    assert_eq!(
        status(&other),
        502,
        "another request still reaches the fourth backend, which crashes on it"
    );
}

/// Guards against unbounded request heads, which could exhaust the memory of a small
/// host.
#[tokio::test]
async fn oversized_request_head_is_refused() {
    let server = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(true, &[&server]).await;
    let path = format!("/q/{}", "x".repeat(20_000));

    let answer = host.ask("GET", &path, "").await;

    assert!(matches!(status(&answer), 414 | 431), "{answer}");
    assert!(server.received().is_empty());
}

/// Guards against a backend server that names a limit and gets as many requests as before.
#[tokio::test]
async fn requests_beyond_a_named_limit_go_to_another_server() {
    let limited = Backend::start(vec![Step::Reply(limited_reply("0.5", "slow"))]).await;
    let free = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let host = start_quotes(false, &[&limited, &free]).await;

    let mut statuses = Vec::new();
    for _ in 0..30 {
        statuses.push(status(&host.ask("POST", "/q/1", "rope").await));
    }

    assert!(statuses.iter().all(|s| *s == 200), "{statuses:?}");
    // The first answer names the limit; this host's share is a request in half a minute.
    assert!(limited.received().len() <= 2, "{}", limited.received().len());
}

/// Guards against a request that waits for a server which is known not to take it, and
/// against one that is sent all the same.
#[tokio::test]
async fn request_that_no_limit_allows_is_refused() {
    let backend = Backend::start(vec![Step::Reply(limited_reply("0", "last"))]).await;
    let host = start_quotes(true, &[&backend]).await;
    host.ask("GET", "/q/1", "").await;

    let answer = host.ask("GET", "/q/2", "").await;

    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some(), "{answer}");
    assert_eq!(backend.received().len(), 1);
}

/// Guards against a limit that cannot be read and is taken for another one.
#[tokio::test]
async fn malformed_limit_changes_nothing() {
    for limit in ["many", "-1", "inf", "NaN", ""] {
        let backend = Backend::start(vec![Step::Reply(limited_reply(limit, "fine"))]).await;
        let host = start_quotes(true, &[&backend]).await;
        host.ask("GET", "/q/1", "").await;

        let answer = host.ask("GET", "/q/2", "").await;

        assert_eq!(status(&answer), 200, "{limit}");
    }
}

/// Guards against a reply that ends inside its head, or before its body is complete, and reaches
/// the caller as a whole one. Each prefix of three kinds of reply is sent.
#[tokio::test]
async fn reply_that_ends_early_is_never_a_success() {
    let head = "HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-stamp: s-200\r\n";
    let framed = format!("{head}content-length: 4\r\n\r\nfine");
    let chunked = format!("{head}transfer-encoding: chunked\r\n\r\n4\r\nfine\r\n0\r\n\r\n");
    // Without a length, the end of the connection is the end of the body.
    let unframed = format!("{head}\r\n");
    for whole in [framed, chunked, unframed] {
        for end in 0..whole.len() {
            let cut = whole[..end].to_string();
            let backend = Backend::start(vec![Step::ReplyAndClose(cut.clone())]).await;
            let host = start_quotes(false, &[&backend]).await;

            let answer = host.ask("POST", "/q/1", "rope").await;

            assert_eq!(status(&answer), 502, "{cut:?}: {answer:?}");
        }
    }
}

/// Guards against the same with a connection that is reset: then a body without a length is not
/// complete either.
#[tokio::test]
async fn reply_without_a_length_that_is_reset_is_never_a_success() {
    let head = "HTTP/1.1 200 OK\r\nx-id: r-1\r\nx-stamp: s-200\r\n\r\n";
    for text in [head.to_string(), format!("{head}fi"), head[..40].to_string()] {
        let backend = Backend::start(vec![Step::ReplyAndReset(text)]).await;
        let host = start_quotes(false, &[&backend]).await;

        let answer = host.ask("POST", "/q/1", "rope").await;

        assert_eq!(status(&answer), 502, "{answer:?}");
    }
}
