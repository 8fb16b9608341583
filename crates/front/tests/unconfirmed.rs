//! Requests whose arrival at a backend server is not confirmed: they may have arrived, so
//! that each further one is an extra request.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use chervil_route::config::Config;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::fleet::BackendEntry;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpSocket;

use crate::support::TestHost;
use crate::support::bounds_without_retries;
use crate::support::config;
use crate::support::core_with;
use crate::support::entry;
use crate::support::gather;
use crate::support::route;
use crate::support::start_host_with;
use crate::support::status;

/// Body that does not fit into the receive buffer of a server that reads only the head.
const LARGE_BODY: usize = 400_000;

fn routes() -> Vec<Route> {
    vec![
        route("/all/", gather(&["a"], 1.0), true),
        route("/safe/", Target::One("quote".into()), true),
    ]
}

/// Starts a host that may send no extra request, and allows large bodies.
async fn start_without_retries(entries: Vec<BackendEntry>) -> TestHost {
    let host = start_host_with(core_with(bounds_without_retries()), routes(), entries).await;
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

/// Guards against repeats that the retry budget does not see: a request that a server has
/// begun to read has arrived, although not all of its bytes were acknowledged.
#[tokio::test]
async fn unacknowledged_request_is_not_repeated_without_budget() {
    for path in ["/safe/1", "/all/1"] {
        let arrivals = Arrivals::default();
        let mut entries = Vec::new();
        for i in 0..4 {
            let service = if path == "/all/1" { "a" } else { "quote" };
            entries.push(entry(&format!("i-{i}"), service, start_stalling(&arrivals).await));
        }
        let host = start_without_retries(entries).await;

        let answer = host.ask("POST", path, &"x".repeat(LARGE_BODY)).await;

        assert_eq!(arrivals.load(Ordering::Relaxed), 1, "{path}");
        assert!([502, 504].contains(&status(&answer)), "{path}: {answer}");
    }
}
