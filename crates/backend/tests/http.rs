//! Tests of the HTTP connector against a server with scripted behavior.

#![allow(clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervil_backend::connection::*;
use chervil_backend::http::*;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

const TIMEOUT: Duration = Duration::from_secs(5);
const SHORT_TIMEOUT: Duration = Duration::from_millis(100);
const STATUS: &str = r#"{"versions":[{"version":3,"shards":4,"held":"0-3"}],
    "load":{"running":1,"slots":2},"draining":false,"uptime_ms":5}"#;
const ROWS: &str = r#"{"version":3,"rows":[{"key":"k","value":1}],"partial":true,
    "load":{"running":0,"slots":2},"uptime_ms":7}"#;

/// What the test server does with every request other than a status request.
#[derive(Clone, Copy)]
enum Mode {
    /// Replies with this status code and body.
    Reply(u16, &'static str),
    /// Never replies.
    Silent,
    /// Closes the connection without a reply.
    Close,
    /// Closes the connection after a reply with rows.
    ReplyAndClose,
    /// Closes the connection after 1 of 9 body bytes.
    Truncate,
    /// Sends this text and closes the connection.
    Raw(&'static str),
}

struct TestServer {
    address: SocketAddr,
    /// Number of accepted connections.
    accepted: Arc<AtomicUsize>,
    /// Number of requests other than status requests.
    requests: Arc<AtomicUsize>,
    /// Number of closed connections.
    closed: Arc<AtomicUsize>,
}

async fn start_server(mode: Mode) -> TestServer {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = TestServer {
        address: listener.local_addr().unwrap(),
        accepted: Arc::default(),
        requests: Arc::default(),
        closed: Arc::default(),
    };
    let (accepted, requests) = (server.accepted.clone(), server.requests.clone());
    let closed = server.closed.clone();
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            accepted.fetch_add(1, Ordering::SeqCst);
            let (requests, closed) = (requests.clone(), closed.clone());
            tokio::spawn(async move {
                serve(stream, mode, &requests).await;
                closed.fetch_add(1, Ordering::SeqCst);
            });
        }
    });
    server
}

async fn serve(mut stream: TcpStream, mode: Mode, requests: &AtomicUsize) {
    let mut buffer = [0; 4096];
    while let Ok(n @ 1..) = stream.read(&mut buffer).await {
        let is_status = buffer[..n].starts_with(b"GET /status");
        requests.fetch_add(usize::from(!is_status), Ordering::SeqCst);
        let (code, body) = match mode {
            _ if is_status => (200, STATUS),
            Mode::Reply(code, body) => (code, body),
            Mode::ReplyAndClose => (200, ROWS),
            Mode::Silent => continue,
            Mode::Close => return,
            Mode::Truncate => {
                stream.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n{").await.unwrap();
                return;
            }
            Mode::Raw(text) => {
                stream.write_all(text.as_bytes()).await.unwrap();
                return;
            }
        };
        let text = format!("HTTP/1.1 {code} X\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        stream.write_all(text.as_bytes()).await.unwrap();
        if matches!(mode, Mode::ReplyAndClose) && !is_status {
            return;
        }
    }
}

async fn open(server: &TestServer, settings: HttpSettings) -> Box<dyn Connection> {
    HttpConnector::new(settings).open(server.address, TIMEOUT).await.unwrap().connection
}

fn ask_call(timeout: Duration) -> AskCall {
    AskCall {
        service: "lookup".into(),
        shard: 1,
        version: 3,
        request_id: "1-1-1".into(),
        timeout,
        body: "{}".into(),
        traceparent: None,
    }
}

fn run_call() -> RunCall {
    RunCall {
        service: "lookup".into(),
        key: "k".into(),
        timeout: TIMEOUT,
        body: "{}".into(),
        traceparent: None,
    }
}

/// Guards against one failure being reported as another: callers decide by the error
/// whether the request may be sent again.
#[tokio::test]
async fn each_failure_has_its_own_error() {
    let refused = |refusal| Some(RequestError::Refused { refusal });
    let cases = [
        (Mode::Reply(503, r#"{"refused":"busy"}"#), refused(ServerRefusal::Busy)),
        (Mode::Reply(503, r#"{"refused":"cold"}"#), refused(ServerRefusal::Cold)),
        (Mode::Reply(503, r#"{"refused":"draining"}"#), refused(ServerRefusal::Draining)),
        (Mode::Reply(409, "not held"), Some(RequestError::WrongVersion { held: vec![] })),
        (Mode::Silent, Some(RequestError::TimedOut)),
        (Mode::Close, None),
        (Mode::Truncate, None),
    ];

    for (mode, expected) in cases {
        let server = start_server(mode).await;
        let connection = open(&server, HttpSettings::default()).await;

        let error = connection.ask(&ask_call(SHORT_TIMEOUT)).await.unwrap_err();

        match expected {
            Some(expected) => assert_eq!(error, expected),
            None => assert!(matches!(error, RequestError::ConnectionLost { .. }), "{error:?}"),
        }
        assert_eq!(server.requests.load(Ordering::SeqCst), 1);
    }
}

/// Guards against malformed replies being accepted, and against a 503 from an
/// intermediary being taken for a refusal: it does not show that the server did not
/// start the request.
#[tokio::test]
async fn malformed_replies_are_invalid() {
    for mode in [Mode::Reply(200, "{"), Mode::Reply(503, "sorry"), Mode::Reply(500, "")] {
        let server = start_server(mode).await;
        let connection = open(&server, HttpSettings::default()).await;

        let error = connection.ask(&ask_call(TIMEOUT)).await.unwrap_err();

        assert!(matches!(error, RequestError::InvalidReply { .. }), "{error:?}");
    }
}

/// Guards against fields that are dropped or mixed up when replies are parsed.
#[tokio::test]
async fn replies_and_status_are_parsed() {
    let server = start_server(Mode::Reply(200, ROWS)).await;
    let opened = HttpConnector::default().open(server.address, TIMEOUT).await.unwrap();

    let answer = opened.connection.ask(&ask_call(TIMEOUT)).await.unwrap();
    let ran = opened.connection.run(&run_call()).await.unwrap();

    assert_eq!(opened.status.versions[0].version, 3);
    assert_eq!((opened.status.load.running, opened.status.load.slots), (1, 2));
    assert_eq!((answer.version, answer.rows.len(), answer.partial), (3, 1, true));
    assert_eq!(answer.load.unwrap().uptime, Duration::from_millis(7));
    assert_eq!((&*ran.body, ran.load), (ROWS, answer.load));
}

/// Guards against a `Connection` that opens more than one TCP connection: the gate
/// would not count it against the server's connection limit.
#[tokio::test]
async fn requests_share_one_tcp_connection() {
    let server = start_server(Mode::Reply(200, ROWS)).await;
    let connection = open(&server, HttpSettings::default()).await;

    for _ in 0..200 {
        connection.ask(&ask_call(TIMEOUT)).await.unwrap();
    }

    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
}

/// Guards against a request on a connection that the server closed while it was idle:
/// it must neither count as started nor be sent on another connection.
#[tokio::test]
async fn request_on_a_closed_idle_connection_is_not_sent() {
    let server = start_server(Mode::ReplyAndClose).await;
    let connection = open(&server, HttpSettings::default()).await;
    connection.run(&run_call()).await.unwrap();
    tokio::time::sleep(SHORT_TIMEOUT).await;

    let error = connection.run(&run_call()).await.unwrap_err();

    assert!(matches!(error, RequestError::NotConnected { .. }), "{error:?}");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

/// Guards against a refused connection being reported as a lost one, after which the
/// request could not be sent again.
#[tokio::test]
async fn closed_port_is_reported_as_not_connected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let connector = HttpConnector::default();

    let opened = connector.open(address, TIMEOUT).await.err().unwrap();
    let lazy = connector.open_lazy(address).unwrap().run(&run_call()).await.unwrap_err();

    assert!(matches!(opened, RequestError::NotConnected { .. }), "{opened:?}");
    assert!(matches!(lazy, RequestError::NotConnected { .. }), "{lazy:?}");
}

/// Guards against a cancelled request that continues at the server: dropping the
/// future of a request must close the connection.
#[tokio::test]
async fn dropped_request_closes_the_connection() {
    let server = start_server(Mode::Silent).await;
    let connection = open(&server, HttpSettings::default()).await;

    let result = tokio::time::timeout(SHORT_TIMEOUT, connection.ask(&ask_call(TIMEOUT))).await;

    assert!(result.is_err());
    let deadline = std::time::Instant::now() + TIMEOUT;
    while server.closed.load(Ordering::SeqCst) == 0 {
        assert!(std::time::Instant::now() < deadline, "the connection was not closed");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against memory exhaustion by a reply of unlimited size.
#[tokio::test]
async fn oversized_reply_is_rejected() {
    let server = start_server(Mode::Reply(200, ROWS)).await;
    let settings = HttpSettings { max_reply_bytes: STATUS.len(), ..HttpSettings::default() };
    let connection = open(&server, settings).await;
    let small = HttpSettings { max_reply_bytes: 10, ..settings };

    assert!(connection.ask(&ask_call(TIMEOUT)).await.is_ok());
    assert!(HttpConnector::new(small).open(server.address, TIMEOUT).await.is_err());
}

/// Guards against a broken reply that callers get as the answer to a request that runs once at
/// most: here its body is passed on as it is.
#[tokio::test]
async fn reply_that_violates_the_grammar_is_no_answer() {
    let sound = "HTTP/1.1 200 X\r\nx-more: 1\r\ncontent-length: 4\r\n\r\ndone";
    let chunked = "HTTP/1.1 200 X\r\ntransfer-encoding: chunked\r\n\r\n4\r\ndone\r\n0\r\n\r\n";
    let broken = [
        sound.replace("200", "000"),
        sound.replace("200", "999"),
        sound.replace("content-length: 4", "content-length: +4"),
        sound.replace("content-length: 4", "content-length: 4x"),
        sound.replace("content-length: 4", "content-length 4"),
        sound.replace("content-length", "content length"),
        sound.replace("content-length", "\x01content-length"),
        sound.replace("content-length", "\ncontent-length"),
        sound.replace("x-more: 1\r", "x-more: 1"),
        sound.replace("HTTP", "\r\nHTTP"),
        sound.replace("content-length: 4", "content-length: 9"),
        sound.replace("content-length", "transfer-encoding: chunked\r\ncontent-length"),
        chunked.replace("transfer", "content-length: 4\r\ntransfer"),
        chunked.replace("0\r\n\r\n", "\r\n\r\n"),
        chunked.replace("0\r\n\r\n", "0\r\nx 1\r\n\r\n"),
        chunked.replace("chunked\r", "gzip\r"),
    ];

    let mut accepted = Vec::new();
    for text in broken {
        let text: &'static str = text.leak();
        let server = start_server(Mode::Raw(text)).await;
        if open(&server, HttpSettings::default()).await.run(&run_call()).await.is_ok() {
            accepted.push(text);
        }
    }

    assert_eq!(accepted, Vec::<&str>::new());
}
