//! The HTTP adapter against a server that replies as a test says.

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

const LIMIT: Duration = Duration::from_secs(5);
const SHORT: Duration = Duration::from_millis(100);
const STATUS: &str = r#"{"versions":[{"version":3,"shards":4,"held":"0-3"}],
    "load":{"running":1,"slots":2},"draining":false,"uptime_ms":5}"#;
const ROWS: &str = r#"{"version":3,"rows":[{"key":"k","value":1}],"partial":true,
    "load":{"running":0,"slots":2},"uptime_ms":7}"#;

/// What the server does with a request for work.
#[derive(Clone, Copy)]
enum Mode {
    Reply(u16, &'static str),
    Silent,
    Close,
    /// Closes the connection after the reply.
    ReplyAndClose,
    /// Replies only after the first line of the reply, and then closes.
    Cut,
}

struct Server {
    address: SocketAddr,
    accepted: Arc<AtomicUsize>,
    requests: Arc<AtomicUsize>,
    closed: Arc<AtomicUsize>,
}

async fn server(mode: Mode) -> Server {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let server = Server {
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
            Mode::Cut => {
                stream.write_all(b"HTTP/1.1 200 X\r\ncontent-length: 9\r\n\r\n{").await.unwrap();
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

async fn open(server: &Server, settings: HttpSettings) -> Box<dyn Connection> {
    HttpConnector::new(settings).open(server.address, LIMIT).await.unwrap().connection
}

fn call(timeout: Duration) -> AskCall {
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
        timeout: LIMIT,
        body: "{}".into(),
        traceparent: None,
    }
}

/// Guards against an end of a call that is reported as another one; whether
/// work may run again rests on the difference.
#[tokio::test]
async fn each_end_has_its_own_error() {
    let refused = |refusal| Some(RequestError::Refused { refusal });
    let cases = [
        (Mode::Reply(503, r#"{"refused":"busy"}"#), refused(ServerRefusal::Busy)),
        (Mode::Reply(503, r#"{"refused":"cold"}"#), refused(ServerRefusal::Cold)),
        (Mode::Reply(503, r#"{"refused":"draining"}"#), refused(ServerRefusal::Draining)),
        (Mode::Reply(409, "not held"), Some(RequestError::WrongVersion { held: vec![] })),
        (Mode::Silent, Some(RequestError::TimedOut)),
        (Mode::Close, None),
        (Mode::Cut, None),
    ];

    for (mode, expected) in cases {
        let server = server(mode).await;
        let connection = open(&server, HttpSettings::default()).await;

        let error = connection.ask(&call(SHORT)).await.unwrap_err();

        match expected {
            Some(expected) => assert_eq!(error, expected),
            None => assert!(matches!(error, RequestError::ConnectionLost { .. }), "{error:?}"),
        }
        assert_eq!(server.requests.load(Ordering::SeqCst), 1);
    }
}

/// Guards against replies that are not understood being taken for answers, and
/// against a 503 of something between that proves nothing.
#[tokio::test]
async fn unreadable_replies_prove_nothing() {
    for mode in [Mode::Reply(200, "{"), Mode::Reply(503, "sorry"), Mode::Reply(500, "")] {
        let server = server(mode).await;
        let connection = open(&server, HttpSettings::default()).await;

        let error = connection.ask(&call(LIMIT)).await.unwrap_err();

        assert!(matches!(error, RequestError::InvalidReply { .. }), "{error:?}");
    }
}

/// Guards against lost fields of the protocol.
#[tokio::test]
async fn replies_and_status_are_read() {
    let server = server(Mode::Reply(200, ROWS)).await;
    let opened = HttpConnector::default().open(server.address, LIMIT).await.unwrap();

    let answer = opened.connection.ask(&call(LIMIT)).await.unwrap();
    let ran = opened.connection.run(&run_call()).await.unwrap();

    assert_eq!(opened.status.versions[0].version, 3);
    assert_eq!((opened.status.load.running, opened.status.load.slots), (1, 2));
    assert_eq!((answer.version, answer.rows.len(), answer.partial), (3, 1, true));
    assert_eq!(answer.load.unwrap().uptime, Duration::from_millis(7));
    assert_eq!((&*ran.body, ran.load), (ROWS, answer.load));
}

/// Guards against one object using more than one connection, of which the
/// limit of the server would not know.
#[tokio::test]
async fn an_object_opens_one_connection() {
    let server = server(Mode::Reply(200, ROWS)).await;
    let connection = open(&server, HttpSettings::default()).await;

    for _ in 0..200 {
        connection.ask(&call(LIMIT)).await.unwrap();
    }

    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
}

/// Guards against work on a connection that the server closed while it was
/// idle being taken for started work, or being sent on another connection.
#[tokio::test]
async fn a_closed_idle_connection_starts_nothing() {
    let server = server(Mode::ReplyAndClose).await;
    let connection = open(&server, HttpSettings::default()).await;
    connection.run(&run_call()).await.unwrap();
    tokio::time::sleep(SHORT).await;

    let error = connection.run(&run_call()).await.unwrap_err();

    assert!(matches!(error, RequestError::NotConnected { .. }), "{error:?}");
    assert_eq!(server.accepted.load(Ordering::SeqCst), 1);
    assert_eq!(server.requests.load(Ordering::SeqCst), 1);
}

/// Guards against a server that does not listen being taken for lost work.
#[tokio::test]
async fn a_port_without_a_server_is_not_connected() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let link = HttpConnector::default();

    let opened = link.open(address, LIMIT).await.err().unwrap();
    let lazy = link.open_lazy(address).unwrap().run(&run_call()).await.unwrap_err();

    assert!(matches!(opened, RequestError::NotConnected { .. }), "{opened:?}");
    assert!(matches!(lazy, RequestError::NotConnected { .. }), "{lazy:?}");
}

/// Guards against a cancelled request running on: dropping the call closes the
/// connection.
#[tokio::test]
async fn a_dropped_call_closes_the_connection() {
    let server = server(Mode::Silent).await;
    let connection = open(&server, HttpSettings::default()).await;

    let ended = tokio::time::timeout(SHORT, connection.ask(&call(LIMIT))).await;

    assert!(ended.is_err());
    let end = std::time::Instant::now() + LIMIT;
    while server.closed.load(Ordering::SeqCst) == 0 {
        assert!(std::time::Instant::now() < end, "the connection stayed open");
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against a reply that fills the memory.
#[tokio::test]
async fn a_long_reply_is_refused() {
    let server = server(Mode::Reply(200, ROWS)).await;
    let settings = HttpSettings { max_reply_bytes: STATUS.len(), ..HttpSettings::default() };
    let connection = open(&server, settings).await;
    let small = HttpSettings { max_reply_bytes: 10, ..settings };

    assert!(connection.ask(&call(LIMIT)).await.is_ok());
    assert!(HttpConnector::new(small).open(server.address, LIMIT).await.is_err());
}
