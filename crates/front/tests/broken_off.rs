//! Replies without a length, which end with their connection: one that is reset is not whole,
//! whatever became of the request meanwhile.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_front::exchange::Connection;
use chervil_front::reply::Reply;
use chervil_http::error::ExchangeError;
use chervil_http::memory::ReplyMemory;
use chervil_route::config::Config;
use chervil_route::config::Target;
use socket2::SockRef;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

use crate::support::TestHost;
use crate::support::config;
use crate::support::entry;
use crate::support::exchange::send_and_read;
use crate::support::gather;
use crate::support::header;
use crate::support::route;
use crate::support::start_host;
use crate::support::status;

/// Upload that fits neither into the receive buffer of [`listen`] nor into the send buffer.
const LONG_UPLOAD: usize = 8 * 1024 * 1024;

/// Upload that fits into the send buffer and not into the receive buffer.
const SHORT_UPLOAD: usize = 32 * 1024;

/// Records of one shard, 16 bytes each.
const RECORDS: &str = "record-000000004record-000000003record-000000002record-000000001";

/// A listener whose connections have a small receive buffer, so that uploads wait for the server.
fn listen() -> TcpListener {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    socket.listen(64).unwrap()
}

/// How a server ends a connection after half of its reply.
#[derive(Clone, Copy, Debug)]
enum End {
    /// Resets it.
    Reset,
    /// Ends its reply and resets the connection then, as a server does that crashes when it has
    /// read all that has come so far.
    CloseThenReset,
}

/// A reply without a length to request `id`, with this body.
fn endless_reply(id: &str, body: &str) -> String {
    format!("HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-stamp: s-1\r\nconnection: close\r\n\r\n{body}")
}

/// Reads a head, sends half of a reply and ends the connection.
async fn break_off(mut stream: TcpStream, end: End) {
    let mut head = [0; 512];
    let size = stream.read(&mut head).await.unwrap();
    let id = header(&String::from_utf8_lossy(&head[..size]), "x-id").unwrap_or("1".into());
    let half = &RECORDS[..RECORDS.len() / 2];
    stream.write_all(endless_reply(&id, half).as_bytes()).await.unwrap();
    if matches!(end, End::CloseThenReset) {
        stream.shutdown().await.unwrap();
    } else {
        time::sleep(Duration::from_millis(20)).await;
    }
    SockRef::from(&stream).set_linger(Some(Duration::ZERO)).unwrap();
}

/// What is read of a reply that is broken off while a request of this size is sent.
async fn exchange(size: usize, end: End) -> Result<Reply, ExchangeError> {
    let listener = listen();
    let stream = TcpStream::connect(listener.local_addr().unwrap()).await.unwrap();
    let (server, _) = listener.accept().await.unwrap();
    let memory = Arc::new(ReplyMemory::default());
    let mut connection = Connection::new(stream, Arc::new(()), memory, time::Instant::now().into());
    let message = format!("POST / HTTP/1.1\r\nx-id: 1\r\n\r\n{}", "m".repeat(size));
    let server = tokio::spawn(break_off(server, end));
    let result = send_and_read(&mut connection, message.as_bytes(), "1").await;
    server.await.unwrap();
    result
}

/// Guards against half of an answer that passes for a whole one, because the failed write of the
/// request has taken the error of the socket.
#[tokio::test]
async fn reply_of_a_connection_that_is_reset_during_the_upload_is_not_whole() {
    for end in [End::Reset, End::CloseThenReset] {
        let result = exchange(LONG_UPLOAD, end).await;

        assert!(result.as_ref().is_err_and(ExchangeError::is_disconnect), "{end:?}: {result:?}");
    }
}

/// The same for a request that was written in full and not yet received in full.
#[tokio::test]
async fn reply_of_a_connection_that_is_reset_after_the_write_is_not_whole() {
    for end in [End::Reset, End::CloseThenReset] {
        let result = exchange(SHORT_UPLOAD, end).await;

        assert!(result.as_ref().is_err_and(ExchangeError::is_disconnect), "{end:?}: {result:?}");
    }
}

/// Starts a backend server that breaks off each reply.
fn start_breaking() -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(break_off(stream, End::Reset));
        }
    });
    address
}

/// Starts a backend server that replies before it reads the body, and reads that only after a
/// pause. The second half of its reply comes then.
fn start_slow_reader(pause: Duration) -> SocketAddr {
    let listener = listen();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut head = [0; 512];
                let size = stream.read(&mut head).await.unwrap();
                let text = String::from_utf8_lossy(&head[..size]).to_string();
                let (half, rest) = RECORDS.split_at(RECORDS.len() / 2);
                stream.write_all(endless_reply("r-1", half).as_bytes()).await.unwrap();
                time::sleep(pause).await;
                let start = text.find("\r\n\r\n").map_or(0, |end| size - end - 4);
                let length: usize = header(&text, "content-length").unwrap().parse().unwrap();
                let mut left = vec![0; length - start];
                stream.read_exact(&mut left).await.unwrap();
                stream.write_all(rest.as_bytes()).await.unwrap();
            });
        }
    });
    address
}

/// A host that takes large bodies, with two servers at this address for each service.
async fn host(address: SocketAddr) -> TestHost {
    let routes = || {
        vec![
            route("/all/", gather(&["a", "b"], 0.5), true),
            route("/q/", Target::One("quote".into()), true),
        ]
    };
    let services = ["a", "b", "quote"];
    let entries = services.map(|service| entry(&format!("i-{service}"), service, address));
    let host = start_host(routes(), entries.into()).await;
    let mut second = Config { version: 2, ..config(2, routes()) };
    second.limits.max_body_bytes = 2 * LONG_UPLOAD;
    host.core.state().adopt(second);
    host
}

/// Guards against callers that get half of an answer, or a merged one from half of a part, as a
/// success.
#[tokio::test]
async fn upload_whose_reply_is_broken_off_is_no_success() {
    let host = host(start_breaking()).await;
    for path in ["/q/1", "/all/1"] {
        let answer = host.ask("POST", path, &"m".repeat(LONG_UPLOAD)).await;

        assert!([502, 504].contains(&status(&answer)), "{path}: {answer}");
    }
}

/// Guards against an upload that is cut off because a sound server reads it slowly.
#[tokio::test]
async fn upload_that_a_server_reads_slowly_is_answered_whole() {
    let host = host(start_slow_reader(Duration::from_millis(900))).await;

    let answer = host.ask("POST", "/q/1", &"m".repeat(LONG_UPLOAD)).await;

    assert_eq!(status(&answer), 200, "{answer}");
    assert!(answer.ends_with(RECORDS), "{answer}");
}
