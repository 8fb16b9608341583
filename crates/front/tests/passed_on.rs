//! Requests that are passed from host to host: the route limits their executions over all of them.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chervil_base::HashSet;
use chervil_base::digest;
use chervil_front::client::Client;
use chervil_front::core::Core;
use chervil_front::peers;
use chervil_front::registry::RegistryError;
use chervil_front::state::Bounds;
use chervil_http::memory::ReplyMemory;
use chervil_route::budget::RetryLimit;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::crashes::CrashRecord;
use chervil_route::crashes::Loss;
use chervil_route::fleet::BackendEntry;
use chervil_route::peers::FORMAT_WITH_EXECUTIONS;
use chervil_route::peers::Peer;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;

use crate::support::BOUNDS;
use crate::support::Backend;
use crate::support::Step;
use crate::support::TestHost;
use crate::support::core_with;
use crate::support::entry;
use crate::support::gather;
use crate::support::header;
use crate::support::journal;
use crate::support::peer;
use crate::support::read_message;
use crate::support::reply;
use crate::support::route;
use crate::support::start_host;
use crate::support::start_host_with;
use crate::support::status;
use crate::support::until;

/// A query over two shards, and a request to one server, of each of which the route allows
/// `max_attempts` executions.
fn routes(max_attempts: u32) -> Vec<Route> {
    let routes = [
        route("/all/", gather(&["a", "b"], 1.0), true),
        route("/safe/", Target::One("quote".into()), true),
    ];
    routes.map(|r| Route { max_attempts, ..r }).into()
}

/// Services that a request to this path needs.
fn needed(path: &str) -> &'static [&'static str] {
    if path == "/all/1" { &["a", "b"] } else { &["quote"] }
}

/// A listener at a port that no other test gets while this process lives, whether the listener is
/// open or not.
fn listen_at_reserved_port() -> TcpListener {
    let bind = |address: &str| {
        let socket = TcpSocket::new_v4().unwrap();
        socket.set_reuseaddr(true).unwrap();
        socket.bind(address.parse().unwrap()).unwrap();
        socket
    };
    let reserved = bind("127.0.0.1:0");
    let listening = bind(&reserved.local_addr().unwrap().to_string());
    std::mem::forget(reserved);
    listening.listen(16).unwrap()
}

/// Servers of which those that a request needs read it, never reply and accept no further
/// connection, while the others refuse connections: a host that has sent the request finds its
/// links lost.
async fn start_going_silent(path: &str) -> Vec<BackendEntry> {
    let mut entries = Vec::new();
    for service in ["a", "b", "quote"] {
        let listener = listen_at_reserved_port();
        entries.push(entry(&format!("i-{service}"), service, listener.local_addr().unwrap()));
        if needed(path).contains(&service) {
            tokio::spawn(async move {
                let (mut stream, _) = listener.accept().await.unwrap();
                drop(listener);
                while read_message(&mut stream).await.is_some() {}
            });
        }
    }
    entries
}

/// Servers of all services that execute each request and fail, two of each.
struct FailingServers {
    servers: Vec<(&'static str, Backend)>,
}

impl FailingServers {
    async fn start() -> FailingServers {
        let mut servers = Vec::new();
        for service in ["a", "a", "b", "b", "quote", "quote"] {
            servers.push((service, Backend::start(vec![Step::Reply(reply(500, "no"))]).await));
        }
        FailingServers { servers }
    }

    fn entries(&self) -> Vec<BackendEntry> {
        let servers = self.servers.iter().enumerate();
        servers.map(|(i, (service, b))| entry(&format!("i-{i}"), service, b.address)).collect()
    }

    /// Requests that the servers of a service have executed.
    fn executed(&self, service: &str) -> usize {
        let servers = self.servers.iter().filter(|(s, _)| *s == service);
        servers.map(|(_, b)| b.received().len()).sum()
    }
}

/// State of a host that earns a hundred retries with each request.
fn core_with_retries() -> Arc<Core> {
    let retry_limit = RetryLimit { ratio: 100.0, ..BOUNDS.retry_limit };
    core_with(Bounds { retry_limit, ..BOUNDS })
}

/// Starts a host that executes requests for others and has retries to spend, and returns its
/// address for them.
async fn start_helper(routes: Vec<Route>, entries: Vec<BackendEntry>) -> (TestHost, SocketAddr) {
    let helper = start_host_with(core_with_retries(), routes, entries).await;
    let now = helper.core.now();
    for service in ["a", "b", "quote"] {
        helper.core.state().credit_retry_budget(service, now);
    }
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (core, lifecycle) = (helper.core.clone(), helper.lifecycle.clone());
    tokio::spawn(peers::serve(listener, core, journal(), lifecycle));
    (helper, address)
}

/// Starts a host that loses its links once it has sent a request to this path, and knows these
/// other hosts.
async fn start_losing_links(routes: Vec<Route>, path: &str, helpers: &[Peer]) -> TestHost {
    let host = start_host(routes, start_going_silent(path).await).await;
    for (i, helper) in helpers.iter().enumerate() {
        host.core.state().peers.insert(format!("helper-{i}").into(), helper.clone());
    }
    host
}

/// Guards against a request that runs on more servers than its route allows, since the host to
/// which it is passed begins with none (BUDGET). One of two executions is used when the links are
/// lost.
#[tokio::test]
async fn helper_uses_only_the_attempts_that_are_left() {
    let servers = FailingServers::start().await;
    let (_helper, address) = start_helper(routes(2), servers.entries()).await;
    for path in ["/safe/1", "/all/1"] {
        let host = start_losing_links(routes(2), path, &[peer(address, 10)]).await;

        host.ask("GET", path, "").await;
    }

    assert_eq!(["quote", "a", "b"].map(|s| servers.executed(s)), [1; 3]);
}

/// Guards against the same with the last execution used, and against an answer that states that
/// the request has not run.
#[tokio::test]
async fn request_without_attempts_left_is_not_passed_on() {
    let servers = FailingServers::start().await;
    let (_helper, address) = start_helper(routes(1), servers.entries()).await;
    let mut statuses = HashSet::default();
    for path in ["/safe/1", "/all/1"] {
        let host = start_losing_links(routes(1), path, &[peer(address, 10)]).await;

        statuses.insert(status(&host.ask("GET", path, "").await));
    }

    assert_eq!(["quote", "a", "b"].map(|s| servers.executed(s)), [0; 3]);
    assert!(statuses.is_subset(&HashSet::from_iter([502, 504])), "{statuses:?}");
}

/// Guards against executions that are forgotten when a helper loses its links as well and gives the
/// request back: the two that the route allows are used, by one host each.
#[tokio::test]
async fn executions_of_a_helper_that_gives_a_request_back_count() {
    let servers = FailingServers::start().await;
    let (_last, address) = start_helper(routes(2), servers.entries()).await;
    for path in ["/safe/1", "/all/1"] {
        let (helper, first) = start_helper(routes(2), start_going_silent(path).await).await;
        // The other helper joins once this one executes the request.
        let host = start_losing_links(routes(2), path, &[peer(first, 500)]).await;
        let asking = host.ask("GET", path, "");
        let joining = async {
            support::until(|| helper.core.metrics.text().contains("relay.served 1")).await;
            host.core.state().peers.insert("last".into(), peer(address, 10));
        };

        let (answer, ()) = tokio::join!(asking, joining);

        assert!([502, 504].contains(&status(&answer)), "{answer}");
    }

    assert_eq!(["quote", "a", "b"].map(|s| servers.executed(s)), [0; 3]);
}

/// Guards against hosts of an earlier build that get a request which has been executed: they do
/// not know its executions.
#[tokio::test]
async fn executed_request_is_not_passed_to_a_host_of_an_earlier_build() {
    let servers = FailingServers::start().await;
    let (_helper, address) = start_helper(routes(2), servers.entries()).await;
    let earlier = Peer { format: FORMAT_WITH_EXECUTIONS - 1, ..peer(address, 10) };
    for path in ["/safe/1", "/all/1"] {
        let host = start_losing_links(routes(2), path, std::slice::from_ref(&earlier)).await;

        let answer = host.ask("GET", path, "").await;

        assert_eq!(status(&answer), 502, "{answer}");
    }

    assert_eq!(["quote", "a", "b"].map(|s| servers.executed(s)), [0; 3]);
}

/// A request as a host of an earlier build passes it to a helper.
fn request_of_earlier_build(helper: &TestHost, repeated: bool) -> Value {
    let digest = helper.core.state().route_digest("/safe/").unwrap();
    json!({
        "offer": { "route": "/safe/", "digest": digest },
        // GET /safe/1 with the id "r-1".
        "head": "R0VUIC9zYWZlLzEgSFRUUC8xLjENCngtaWQ6IHItMQ0K", "body": "", "id": "ci0x",
        "no_body": false, "deadline_ms": 900, "soft_deadline_ms": 900,
        "service": "quote", "repeated": repeated, "format": FORMAT_WITH_EXECUTIONS - 1,
        "digest": 7,
    })
}

/// Passes it.
async fn pass_as_earlier_build(helper: &TestHost, address: SocketAddr, repeated: bool) -> Value {
    let request = request_of_earlier_build(helper, repeated);
    Client::new(address).call(Method::POST, "/relay/query", Some(&request)).await.unwrap()
}

/// Guards against executing a request again that a host of an earlier build may have sent, and
/// against declining what it has not sent.
#[tokio::test]
async fn request_of_an_earlier_build_is_executed_only_if_it_was_not_before() {
    let servers = FailingServers::start().await;
    let (helper, address) = start_helper(routes(2), servers.entries()).await;

    let repeated = pass_as_earlier_build(&helper, address, true).await;
    let after_repeated = servers.executed("quote");
    let first = pass_as_earlier_build(&helper, address, false).await;

    // A host of that build avoids one that declines, also for requests that it has not sent.
    assert_eq!(repeated["Unknown"]["timed_out"], false, "{repeated}");
    assert_eq!(after_repeated, 0);
    assert_eq!(first["Answered"]["status"], 500, "{first}");
}

/// Guards against a host that earns retries with a query of which a relay has earned them already
/// and which it gave back.
#[tokio::test]
async fn query_that_a_relay_gave_back_is_counted_once() {
    let given_back = json!({ "OutOfReach": { "sent": false, "executed": [] } }).to_string();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let relay = peer(listener.local_addr().unwrap(), 500);
    tokio::spawn(async move {
        let mut bodies = ["true".to_string(), given_back].into_iter().cycle();
        let (mut stream, _) = listener.accept().await.unwrap();
        while read_message(&mut stream).await.is_some() {
            let body = bodies.next().unwrap();
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            support::write(&mut stream, &text, "").await;
        }
    });
    let low = Backend::start(vec![Step::Reply(reply(200, "aaaaaaaaaaaaaaa1"))]).await;
    let servers = vec![entry("i-a", "a", low.address), entry("i-b", "b", low.address)];
    let host = start_host_with(core_with_retries(), routes(2), servers).await;
    for i in 0..4 {
        host.core.state().peers.insert(format!("relay-{i}").into(), relay.clone());
    }
    host.core.state().update_division(12);

    let answer = host.ask("GET", "/all/1", "").await;

    assert_eq!(status(&answer), 200, "{answer}");
    assert!(!host.core.try_spend_retry("a"));
}

/// Guards against a refusal, which states that a request has not run, for one that the host has
/// sent before it passed it on (REFUSED): the helper has no server for it, or knows that it
/// crashes servers.
#[tokio::test]
async fn executed_request_that_a_helper_does_not_send_is_not_refused() {
    let mut statuses = Vec::new();
    for path in ["/safe/1", "/all/1"] {
        let (_helper, address) = start_helper(routes(2), Vec::new()).await;
        let host = start_losing_links(routes(2), path, &[peer(address, 10)]).await;
        statuses.push(status(&host.ask("GET", path, "").await));

        let servers = FailingServers::start().await;
        let (helper, address) = start_helper(routes(2), servers.entries()).await;
        let digest = digest::request_digest(&format!("127.0.0.1 GET {path} HTTP/1.1"), b"");
        let now = helper.core.now();
        for crash in 0..3 {
            helper
                .core
                .state()
                .crashes
                .add(CrashRecord { digest, crash, loss: Loss::Awaited }, now);
        }
        let host = start_losing_links(routes(2), path, &[peer(address, 10)]).await;
        statuses.push(status(&host.ask("GET", path, "").await));
    }

    assert_eq!(statuses, [502; 4]);
}

/// Load pattern: hosts that have passed requests to this one read the large outcomes slowly.
/// Guards against outcomes that no limit counts until they have been sent.
#[tokio::test]
async fn large_outcomes_for_other_hosts_count_until_they_are_sent() {
    const REPLY_MEMORY: usize = 24 * 1024 * 1024;
    const SIZE: usize = 7 * 1024 * 1024;
    let large = Backend::start(vec![Step::Reply(reply(200, &"x".repeat(SIZE)))]).await;
    let entries = vec![entry("i-0", "quote", large.address)];
    let (helper, address) = start_helper(routes(2), entries).await;
    let request = request_of_earlier_build(&helper, false).to_string();
    let mut readers = Vec::new();

    for _ in 0..4 {
        let mut stream = TcpStream::connect(address).await.unwrap();
        let length = request.len();
        let head =
            format!("POST /relay/query HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
        support::write(&mut stream, &(head + &request), "").await;
        // Outcomes are prepared one after the other; the rest of each waits to be read.
        let mut status_line = [0; 12];
        stream.read_exact(&mut status_line).await.unwrap();
        readers.push((status_line, stream));
    }

    let used = helper.core.reply_memory.used();
    assert!((SIZE..=REPLY_MEMORY).contains(&used), "{used} bytes");
    assert!(readers.iter().all(|(line, _)| [b"HTTP/1.1 200", b"HTTP/1.1 500"].contains(&line)));
    drop(readers);
    until(|| helper.core.reply_memory.used() == 0).await;
}

/// Guards against large replies that a host gets from another one, and that no limit counts until
/// its callers have read them.
#[test]
fn large_replies_of_other_hosts_count_until_they_are_dropped() {
    let memory = Arc::new(ReplyMemory::default());
    let body = Bytes::from(vec![b'x'; 7 * 1024 * 1024]);

    let kept: Vec<Bytes> = (0..10).map_while(|_| memory.hold(body.clone())).collect();

    assert_eq!(kept.len(), 2);
    assert!(memory.used() >= 2 * body.len());
    drop(kept);
    assert_eq!(memory.used(), 0);
    assert!(memory.hold(body).is_some());
}

/// Guards against an outcome that is lost without a sign because the memory for replies is in use.
#[tokio::test]
async fn outcome_that_does_not_fit_is_counted_and_lost() {
    const MIB: usize = 1024 * 1024;
    let large = Backend::start(vec![Step::Reply(reply(200, &"x".repeat(6 * MIB)))]).await;
    let entries = vec![entry("i-0", "quote", large.address)];
    let (helper, address) = start_helper(routes(2), entries).await;
    let _held = helper.core.reply_memory.hold(Bytes::from(vec![0; 9 * MIB])).unwrap();
    let request = request_of_earlier_build(&helper, false);

    let client = Client::new(address);
    let outcome = client.call::<_, Value>(Method::POST, "/relay/query", Some(&request)).await;

    assert_eq!(outcome, Err(RegistryError::Refused { status: 500 }));
    let metrics = helper.core.metrics.text();
    assert!(metrics.contains("relay.too_large 1"), "{metrics}");
}

/// Guards against a request that a stopping host takes from another one when its own callers are
/// gone, and cuts off when its process ends: the other host may have been suspended between the
/// offer and the request.
#[tokio::test]
async fn request_that_comes_after_the_drain_is_declined() {
    let servers = FailingServers::start().await;
    let (helper, address) = start_helper(routes(2), servers.entries()).await;
    helper.lifecycle.stop(Duration::from_secs(1)).await;

    let outcome = pass_as_earlier_build(&helper, address, false).await;

    assert_eq!(outcome, Value::Null);
    assert_eq!(servers.executed("quote"), 0);
}

/// Guards against a host that ends while another one still reads the outcome of its request.
#[tokio::test]
async fn request_is_in_progress_until_its_outcome_is_sent() {
    const SIZE: usize = 6 * 1024 * 1024;
    let large = Backend::start(vec![Step::Reply(reply(200, &"x".repeat(SIZE)))]).await;
    let entries = vec![entry("i-0", "quote", large.address)];
    let (helper, address) = start_helper(routes(2), entries).await;
    let request = request_of_earlier_build(&helper, false).to_string();
    let length = request.len();
    let head = format!("POST /relay/query HTTP/1.1\r\nhost: h\r\ncontent-length: {length}\r\n\r\n");
    let mut stream = TcpStream::connect(address).await.unwrap();
    support::write(&mut stream, &(head + &request), "").await;
    let mut status_line = [0; 12];
    stream.read_exact(&mut status_line).await.unwrap();

    let while_unread = helper.lifecycle.relayed();
    let mut rest = vec![0; 64 * 1024];
    let mut left = SIZE;
    while left > 0 {
        left = left.saturating_sub(stream.read(&mut rest).await.unwrap());
    }

    assert_eq!(while_unread, 1);
}

/// Guards against a reply with status 000 of a server that another host asks, which the caller
/// would get as an answer.
#[tokio::test]
async fn status_000_of_a_helpers_server_is_no_answer() {
    let text = reply(200, "no").replace("200 X", "000 X");
    let servers = [
        Backend::start(vec![Step::ReplyAndClose(text.clone())]).await,
        Backend::start(vec![Step::ReplyAndClose(text)]).await,
    ];
    let addresses = servers.each_ref().map(|server| server.address);
    let entries = vec![
        entry("i-quote", "quote", addresses[0]),
        entry("i-a", "a", addresses[1]),
        entry("i-b", "b", addresses[1]),
    ];
    for path in ["/safe/1", "/all/1"] {
        let (_helper, address) = start_helper(routes(3), entries.clone()).await;
        let host = start_losing_links(routes(3), path, &[peer(address, 10)]).await;

        let answer = host.ask("GET", path, "").await;

        assert!([502, 504].contains(&status(&answer)), "{path}: {answer}");
        assert_eq!(header(&answer, "x-stamp"), None, "{path}: {answer}");
        assert_eq!(header(&answer, "x-parts"), None, "{path}: {answer}");
    }
    assert!(servers.iter().all(|server| !server.received().is_empty()));
}
