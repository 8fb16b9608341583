//! Backend servers that send second copies of a reply, or bytes without end, over real
//! sockets.

mod support;

use std::sync::Arc;
use std::time::Duration;

use chervil_front::reply::Reply;
use chervil_http::error::ExchangeError;
use chervil_http::memory::ReplyMemory;
use futures::future::join_all;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time;

use crate::support::exchange::connect;
use crate::support::exchange::exchange;

/// Memory for all replies, as docs/decisions/13 states it, and one read on top for each
/// connection.
const MEMORY_LIMIT: usize = 24 * 1024 * 1024;

fn reply(id: Option<&str>, body: &str) -> String {
    let id = id.map(|id| format!("x-id: {id}\r\n")).unwrap_or_default();
    let length = body.len();
    format!("HTTP/1.1 200 X\r\n{id}x-stamp: s\r\ncontent-length: {length}\r\n\r\n{body}")
}

/// Sends the reply to request 1, then `copy` and the reply to request 2, which arrive after
/// request 2 was sent. Returns what is read as its reply.
async fn second_reply(copy: &str) -> Result<Reply, ExchangeError> {
    let (mut connection, mut server) = connect(&Arc::default()).await;
    server.write_all(reply(Some("1"), "first").as_bytes()).await.unwrap();
    exchange(&mut connection, "1").await.unwrap();
    assert!(connection.is_clean());
    let late = format!("{copy}{}", reply(Some("2"), "second"));
    server.write_all(late.as_bytes()).await.unwrap();
    exchange(&mut connection, "2").await
}

/// Guards against a second copy of an answer, late, on a connection in use again: the next
/// caller must not get it. Here the copy carries its request id.
#[tokio::test]
async fn late_copy_with_an_id_is_skipped() {
    let reply = second_reply(&reply(Some("1"), "first")).await.unwrap();

    assert_eq!(&*reply.body, b"second");
}

/// The same for a chunked copy with trailers that look like a reply.
#[tokio::test]
async fn late_chunked_copy_with_trailers_is_skipped() {
    let copy = "HTTP/1.1 200 X\r\nx-id: 1\r\ntransfer-encoding: chunked\r\n\r\n5\r\nfirst\r\n0\r\n\
        x-id: 2\r\nx-stamp: s\r\n\r\n";

    let reply = second_reply(copy).await.unwrap();

    assert_eq!(&*reply.body, b"second");
}

/// The same for a copy without an id, which cannot be told from an answer.
#[tokio::test]
async fn late_copy_without_an_id_fails_the_exchange() {
    let result = second_reply(&reply(None, "first")).await;

    assert!(matches!(result, Err(ExchangeError::InvalidReply { .. })), "{result:?}");
}

/// The same for a copy that states two ids, the second of which matches.
#[tokio::test]
async fn late_copy_with_two_ids_is_skipped() {
    let copy = reply(Some("1"), "first").replace("x-id: 1", "x-id: 1\r\nx-id: 2");

    let reply = second_reply(&copy).await.unwrap();

    assert_eq!(&*reply.body, b"second");
}

/// Guards against reuse of a connection whose replies carry no id: a late copy on it could
/// not be noticed.
#[tokio::test]
async fn connection_without_ids_is_not_reused() {
    let (mut connection, mut server) = connect(&Arc::default()).await;
    server.write_all(reply(None, "only").as_bytes()).await.unwrap();

    let reply = exchange(&mut connection, "1").await.unwrap();

    assert!(reply.closes);
}

/// Guards against a copy that arrives while the connection is idle, in whole or in part:
/// the connection must not be used again.
#[tokio::test]
async fn connection_with_unread_bytes_is_not_clean() {
    for part in [reply(Some("1"), "first"), "HTTP/1.1 2".into()] {
        let (mut connection, mut server) = connect(&Arc::default()).await;
        server.write_all(reply(Some("1"), "first").as_bytes()).await.unwrap();
        exchange(&mut connection, "1").await.unwrap();
        server.write_all(part.as_bytes()).await.unwrap();
        time::sleep(Duration::from_millis(20)).await;

        assert!(!connection.is_clean(), "{part:?}");
    }
}

/// Sends `start` and then `rest` again and again until the connection is closed.
async fn send_without_end(server: &mut TcpStream, start: &str, rest: &[u8]) {
    let mut sent = server.write_all(start.as_bytes()).await;
    while sent.is_ok() {
        sent = server.write_all(rest).await;
    }
}

/// Where a reply without end never ends: text before, and what is repeated.
fn endless_replies() -> Vec<(&'static str, &'static str, Vec<u8>)> {
    let head = "HTTP/1.1 200 X\r\nx-id: 1\r\nx-stamp: s\r\n";
    let text = |end: &str| -> &'static str { Box::leak(format!("{head}{end}").into_boxed_str()) };
    vec![
        ("status line", "HTTP/1.1 200 ", b"x".repeat(4096)),
        ("header", text("x-more: "), b"x".repeat(4096)),
        ("headers", head, b"x-more: x\r\n".repeat(100)),
        ("body of stated length", text("content-length: 99999999999\r\n\r\n"), b"x".repeat(4096)),
        ("body without length", text("\r\n"), b"x".repeat(65_536)),
        (
            "chunks",
            text("transfer-encoding: chunked\r\n\r\n"),
            b"1000\r\n".iter().copied().chain(b"x".repeat(4096)).chain(*b"\r\n").collect(),
        ),
        ("chunk size", text("transfer-encoding: chunked\r\n\r\n"), b"1".repeat(4096)),
        ("chunk extension", text("transfer-encoding: chunked\r\n\r\n1;"), b"x".repeat(4096)),
        ("trailer line", text("transfer-encoding: chunked\r\n\r\n0\r\nx: "), b"x".repeat(4096)),
        ("trailer lines", text("transfer-encoding: chunked\r\n\r\n0\r\n"), b"x: y\r\n".repeat(700)),
        ("interim replies", "", b"HTTP/1.1 102 X\r\n\r\n".repeat(100)),
        ("no reply", "", b"\0".repeat(4096)),
    ]
}

/// Guards against replies without end, in each part of a reply: the attempt must end, and
/// the connection be closed, so that the server notices.
#[tokio::test]
async fn reply_without_end_is_given_up() {
    for (part, start, rest) in endless_replies() {
        let memory = Arc::new(ReplyMemory::default());
        let (mut connection, mut server) = connect(&memory).await;

        let ((), result) = tokio::join!(send_without_end(&mut server, start, &rest), async move {
            exchange(&mut connection, "1").await
        });

        assert!(matches!(result, Err(ExchangeError::InvalidReply { .. })), "{part}: {result:?}");
        assert_eq!(memory.used(), 0, "{part}");
    }
}

/// Load pattern: 200 backend servers at once send bodies without end to a host of 160 MB.
/// Guards against memory that grows with the number of such servers.
#[tokio::test]
async fn replies_without_end_share_a_memory_limit() {
    let memory = Arc::new(ReplyMemory::default());
    let attempts = (0..200).map(|_| async {
        let (mut connection, mut server) = connect(&memory).await;
        let watched = memory.clone();
        let (peak, result) = tokio::join!(
            async move {
                let mut peak = 0;
                let mut sent = server.write_all(b"HTTP/1.1 200 X\r\nx-id: 1\r\n\r\n").await;
                while sent.is_ok() {
                    sent = server.write_all(&[b'x'; 16_384]).await;
                    peak = peak.max(watched.used());
                    tokio::task::yield_now().await;
                }
                peak
            },
            async move { exchange(&mut connection, "1").await }
        );
        assert!(result.is_err());
        peak
    });

    let peak = join_all(attempts).await.into_iter().max().unwrap();

    assert!(peak <= MEMORY_LIMIT + 200 * 65_536, "{peak} bytes");
    assert_eq!(memory.used(), 0);
}

/// Guards against a server that sends one byte at a time: its attempt ends when the caller
/// gives up, by dropping it, and the server sees the connection closed.
#[tokio::test]
async fn dropped_attempt_closes_the_connection_of_a_slow_reply() {
    let (mut connection, mut server) = connect(&Arc::default()).await;
    server.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 50\r\n\r\nx").await.unwrap();

    let attempt = time::timeout(Duration::from_millis(50), exchange(&mut connection, "1")).await;
    drop(connection);

    assert!(attempt.is_err());
    let mut request = Vec::new();
    let _ = server.read_to_end(&mut request).await;
    time::sleep(Duration::from_millis(10)).await;
    let first = server.write_all(b"x").await;
    time::sleep(Duration::from_millis(10)).await;
    assert!(first.is_err() || server.write_all(b"x").await.is_err());
}

/// Load pattern: a few backend servers send large bodies and stop before their end, up to the
/// memory for all replies. Guards against small replies that fail meanwhile: the requests of
/// other callers would end with them.
#[tokio::test]
async fn small_replies_are_read_beside_large_ones_that_do_not_end() {
    let memory = Arc::new(ReplyMemory::default());
    let head = b"HTTP/1.1 200 X\r\nx-id: 1\r\ncontent-length: 8000000\r\n\r\n";
    let sizes = [vec![7_900_000; 4], vec![65_536; 40], vec![4_096; 40]].concat();
    let mut stalled = Vec::new();
    for size in sizes {
        let (mut connection, mut server) = connect(&memory).await;
        let attempt = tokio::spawn(async move { exchange(&mut connection, "1").await });
        server.write_all(head).await.unwrap();
        // Fails if the host gives the reply up.
        let _ = server.write_all(&vec![b'x'; size]).await;
        stalled.push((attempt, server));
    }
    time::sleep(Duration::from_millis(50)).await;

    for id in ["1", "2", "3"] {
        let (mut connection, mut server) = connect(&memory).await;
        server.write_all(reply(Some(id), &"x".repeat(10_000)).as_bytes()).await.unwrap();

        let reply = exchange(&mut connection, id).await;

        assert!(reply.is_ok(), "{reply:?} with {} bytes in use", memory.used());
    }
    assert!(memory.used() <= MEMORY_LIMIT);
    stalled.iter().for_each(|(attempt, _)| attempt.abort());
}
