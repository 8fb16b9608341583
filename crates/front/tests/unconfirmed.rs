//! Requests whose arrival at a backend server is not confirmed: they may have arrived, so
//! that each further one is an extra request.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervil_front::peers;
use chervil_front::state::Bounds;
use chervil_route::budget::RetryLimit;
use chervil_route::config::Config;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::fleet::BackendEntry;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

use crate::support::BOUNDS;
use crate::support::TestHost;
use crate::support::bounds_without_retries;
use crate::support::config;
use crate::support::core_with;
use crate::support::entry;
use crate::support::gather;
use crate::support::journal;
use crate::support::peer;
use crate::support::read_message;
use crate::support::reply;
use crate::support::route;
use crate::support::start_host_with;
use crate::support::status;
use crate::support::until;

/// Body that does not fit into the receive buffer of a server that reads only the head.
const LARGE_BODY: usize = 400_000;

/// Time that callers and routes allow for an upload to servers that do not read it: the kernel
/// probes a closed receive window less and less often.
const UPLOAD_TIMEOUT: Duration = Duration::from_secs(4);

fn routes() -> Vec<Route> {
    let route = |prefix, target| Route { timeout: UPLOAD_TIMEOUT, ..route(prefix, target, true) };
    vec![route("/all/", gather(&["a"], 1.0)), route("/safe/", Target::One("quote".into()))]
}

/// Starts a host that may send no extra request, and allows large bodies.
async fn start_without_retries(entries: Vec<BackendEntry>) -> TestHost {
    start_with(bounds_without_retries(), entries).await
}

/// Starts a host with these bounds that allows large bodies.
async fn start_with(bounds: Bounds, entries: Vec<BackendEntry>) -> TestHost {
    let host = start_host_with(core_with(bounds), routes(), entries).await;
    let mut second = Config { version: 2, ..config(2, routes()) };
    second.limits.max_body_bytes = 2 * LARGE_BODY;
    host.core.state().adopt(second);
    host
}

/// Requests that have arrived at backend servers.
type Arrivals = Arc<AtomicUsize>;

/// Starts a backend server that reads the head of each request and no more, so that the rest
/// is never acknowledged.
async fn start_stalling(arrivals: &Arrivals) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = arrivals.clone();
    tokio::spawn(async move {
        let mut stalled = Vec::new();
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            let mut byte = [0];
            if stream.read(&mut byte).await.is_ok_and(|size| size > 0) {
                arrivals.fetch_add(1, Ordering::Relaxed);
            }
            stalled.push(stream);
        }
    });
    address
}

/// Four such servers of the service that a request to this path needs.
async fn stalling_servers(path: &str, arrivals: &Arrivals) -> Vec<BackendEntry> {
    let service = if path == "/all/1" { "a" } else { "quote" };
    let mut entries = Vec::new();
    for i in 0..4 {
        entries.push(entry(&format!("i-{i}"), service, start_stalling(arrivals).await));
    }
    entries
}

/// Guards against repeats that the retry budget does not see: a request that a server has
/// begun to read has arrived, although not all of its bytes were acknowledged.
#[tokio::test]
async fn unacknowledged_request_is_not_repeated_without_budget() {
    for path in ["/safe/1", "/all/1"] {
        let arrivals = Arrivals::default();
        let entries = stalling_servers(path, &arrivals).await;
        let host = start_without_retries(entries).await;

        let answer = host.ask("POST", path, &"x".repeat(LARGE_BODY)).await;

        assert_eq!(arrivals.load(Ordering::Relaxed), 1, "{path}");
        assert!([502, 504].contains(&status(&answer)), "{path}: {answer}");
    }
}

/// Guards against an upload that runs on more servers than its route allows: a server that reads
/// slowly closes its receive window, which is no sign that the request has not arrived.
#[tokio::test]
async fn upload_to_slow_readers_keeps_the_attempt_limit() {
    for path in ["/safe/1", "/all/1"] {
        let arrivals = Arrivals::default();
        let entries = stalling_servers(path, &arrivals).await;
        let retry_limit = RetryLimit { slack: 10_000.0, ..BOUNDS.retry_limit };
        let host = start_with(Bounds { retry_limit, ..BOUNDS }, entries).await;
        let mut caller = host.connect().await;
        let upload = format!(
            "POST {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: {}\r\ncontent-length: {LARGE_BODY}\r\n\r\n{}",
            UPLOAD_TIMEOUT.as_millis(),
            "x".repeat(LARGE_BODY),
        );

        caller.write_all(upload.as_bytes()).await.unwrap();
        let answer = read_message(&mut caller).await.unwrap();

        let (arrived, allowed) = (arrivals.load(Ordering::Relaxed), routes()[0].max_attempts);
        assert!(arrived <= allowed as usize, "{path}: {arrived} arrivals");
        assert!([502, 504].contains(&status(&answer)), "{path}: {answer}");
    }
}

/// Starts a backend server that answers one request, reads all others on that connection without
/// an answer, and accepts no further connection: its replies are lost on the way.
async fn start_losing_replies(arrivals: &Arrivals) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = arrivals.clone();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        answer_once(&mut stream).await;
        while read_message(&mut stream).await.is_some() {
            arrivals.fetch_add(1, Ordering::Relaxed);
        }
    });
    address
}

async fn answer_once(stream: &mut TcpStream) {
    let request = read_message(stream).await.unwrap();
    let id = support::header(&request, "x-id").unwrap();
    let text = reply(200, "aaaaaaaaaaaaaaa1").replace("{id}", &id);
    stream.write_all(text.as_bytes()).await.unwrap();
}

/// Guards against repeats that the retry budget does not see: a request may have arrived although
/// the host that sent it has heard of no server since.
#[tokio::test]
async fn unanswered_request_is_not_passed_on_without_budget() {
    for (service, path) in [("quote", "/safe/1"), ("a", "/all/1")] {
        let arrivals = Arrivals::default();
        let server = start_losing_replies(&arrivals).await;
        let working = start_counting(&arrivals).await;
        let helper = start_without_retries(vec![entry("i-1", service, working)]).await;
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let (core, lifecycle) = (helper.core.clone(), helper.lifecycle.clone());
        tokio::spawn(peers::serve(listener, core, journal(), lifecycle));
        let host = start_without_retries(vec![entry("i-1", service, server)]).await;
        host.core.state().peers.insert("helper".into(), peer(address, 10));
        let first = host.ask("GET", path, "").await;
        // The sign of the first reply must not count for the second request.
        time::sleep(Duration::from_millis(50)).await;

        let second = host.ask("GET", path, "").await;

        until(|| host.core.has_lost_links()).await;
        assert_eq!(status(&first), 200);
        assert_eq!(arrivals.load(Ordering::Relaxed), 1, "{path}");
        assert!([502, 504].contains(&status(&second)), "{path}: {second}");
    }
}

/// Starts a backend server that answers all requests.
async fn start_counting(arrivals: &Arrivals) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let arrivals = arrivals.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            answer_once(&mut stream).await;
            arrivals.fetch_add(1, Ordering::Relaxed);
        }
    });
    address
}

/// Starts a backend server that begins to read after a while, and then counts the requests that
/// arrive in full.
async fn start_late_reader(arrivals: &Arrivals, read: &Arc<AtomicUsize>) -> SocketAddr {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_recv_buffer_size(4 * 1024).unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(16).unwrap();
    let address = listener.local_addr().unwrap();
    let (arrivals, read) = (arrivals.clone(), read.clone());
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            time::sleep(Duration::from_millis(400)).await;
            let mut received = Vec::new();
            // Ends with an error if the host has reset the connection.
            let _ = stream.read_to_end(&mut received).await;
            arrivals.fetch_add(usize::from(received.len() >= LARGE_BODY), Ordering::Relaxed);
            read.fetch_add(1, Ordering::Relaxed);
        }
    });
    address
}

/// Guards against requests that arrive long after the host has ended the attempt, when they are
/// neither wanted any more nor within the window in which they were counted.
#[tokio::test]
async fn request_that_was_given_up_does_not_arrive_later() {
    for path in ["/safe/1", "/all/1"] {
        let (arrivals, read) = (Arrivals::default(), Arc::new(AtomicUsize::new(0)));
        let server = start_late_reader(&arrivals, &read).await;
        let entries = vec![entry("i-1", "quote", server), entry("i-2", "a", server)];
        let host = start_without_retries(entries).await;
        let mut short = config(3, routes());
        short.limits.max_body_bytes = 2 * LARGE_BODY;
        short.routes.iter_mut().for_each(|r| r.timeout = Duration::from_millis(200));
        host.core.state().adopt(short);

        let answer = host.ask("POST", path, &"x".repeat(LARGE_BODY)).await;
        until(|| read.load(Ordering::Relaxed) > 0).await;

        assert_eq!(status(&answer), 504, "{path}");
        assert_eq!(arrivals.load(Ordering::Relaxed), 0, "{path}");
    }
}
