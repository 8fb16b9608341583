//! Planned stops under load.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use chervil_front::crashes;
use chervil_front::host;
use chervil_front::listen;
use chervil_front::listen::Lifecycle;
use chervil_front::watch;
use chervil_route::config::Route;
use chervil_route::config::Target;
use futures::future::join_all;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::support::Backend;
use crate::support::ScriptedRegistry;
use crate::support::Step;
use crate::support::TestHost;
use crate::support::config;
use crate::support::entry;
use crate::support::header;
use crate::support::read_message;
use crate::support::reply;
use crate::support::route;
use crate::support::send_request;
use crate::support::start_host;
use crate::support::status;
use crate::support::until;

const GRACE: Duration = Duration::from_secs(2);

async fn host(backend: &Backend) -> TestHost {
    let routes = vec![route("/q/", Target::One("quote".into()), true)];
    start_host(routes, vec![entry("i-1", "quote", backend.address)]).await
}

/// Load pattern: callers on open connections send on while the host stops. Guards against
/// requests that are cut off although the host has read them.
#[tokio::test]
async fn requests_on_open_connections_are_answered_during_a_stop() {
    let backend = Backend::start(vec![Step::ReplyAfter(30, reply(200, "ok"))]).await;
    let host = Arc::new(host(&backend).await);
    let lifecycle = host.lifecycle.clone();
    let callers = (0..60u64).map(|i| {
        let host = host.clone();
        async move {
            let mut stream = host.connect().await;
            let mut answers = Vec::new();
            time::sleep(Duration::from_millis(i)).await;
            // Ends at the answer that closes the connection.
            loop {
                send_request(&mut stream, "GET", "/q/1", "").await;
                let Some(answer) = read_message(&mut stream).await else { break };
                let closes = header(&answer, "connection").as_deref() == Some("close");
                answers.push(answer);
                if closes {
                    break;
                }
            }
            answers
        }
    });
    let callers = tokio::spawn(join_all(callers));
    time::sleep(Duration::from_millis(100)).await;

    lifecycle.stop(GRACE).await;

    for answers in callers.await.unwrap() {
        let last = answers.last().expect("a request was cut off");
        assert_eq!(header(last, "connection").as_deref(), Some("close"));
        assert!(answers.iter().all(|a| matches!(status(a), 200 | 503)), "{answers:?}");
    }
}

/// Guards against a connection that is closed before its first request is read, because
/// the host was already closing when it was accepted.
#[tokio::test]
async fn request_on_a_connection_accepted_while_closing_is_answered() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let host = host(&backend).await;
    // Keeps the host from ending the stop.
    let mut busy = host.connect().await;
    send_request(&mut busy, "GET", "/q/1", "").await;
    let slow = Backend::start(vec![Step::ReplyAfter(1_900, reply(200, "slow"))]).await;
    let now = host.core.now();
    host.core.state().fleet.remove("i-1");
    host.core.state().fleet.upsert(entry("i-2", "quote", slow.address), now);
    read_message(&mut busy).await.unwrap();
    send_request(&mut busy, "GET", "/q/2", "").await;
    time::sleep(Duration::from_millis(50)).await;
    host.core.state().fleet.upsert(entry("i-3", "quote", backend.address), now);
    host.core.state().fleet.remove("i-2");
    let lifecycle = host.lifecycle.clone();
    let stop = tokio::spawn(async move { lifecycle.stop(GRACE).await });
    // Half of the grace period, after which the host closes idle connections.
    time::sleep(GRACE / 2 + Duration::from_millis(100)).await;

    let answer = host.ask("GET", "/q/3", "").await;

    assert_eq!(status(&answer), 200);
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    stop.await.unwrap();
}

/// Time from the stop signal at which too little of [`GRACE`] is left for a request of typical
/// latency.
const LATE: Duration = Duration::from_millis(1_400);

/// Guards against requests that come late in the grace period, are sent to a backend server
/// and are cut off without an answer when the process ends: on an open connection and on a new
/// one. The caller must learn that they did not run.
#[tokio::test]
async fn request_that_would_outlast_the_stop_is_refused() {
    let slow = Backend::start(vec![Step::ReplyAfter(1_450, reply(200, "slow"))]).await;
    let host = Arc::new(host(&slow).await);
    // Keeps the host from ending the stop.
    let mut busy = host.connect().await;
    send_request(&mut busy, "GET", "/q/0", "").await;
    until(|| slow.received().len() == 1).await;
    let lifecycle = host.lifecycle.clone();
    let stop = tokio::spawn(async move { lifecycle.stop(GRACE).await });
    time::sleep(LATE).await;

    let asking = host.clone();
    let caller = tokio::spawn(async move { asking.ask("GET", "/q/1", "").await });
    stop.await.unwrap();

    assert!(caller.is_finished(), "cut off at the end of the grace period");
    let answer = caller.await.unwrap();
    assert_eq!(status(&answer), 503);
    assert!(header(&answer, "retry-after").is_some());
    assert_eq!(header(&answer, "connection").as_deref(), Some("close"));
    assert!(slow.received().iter().all(|r| r.starts_with("GET /q/0 ")));
}

/// Guards against a request that is cut off without an answer because it is still running when
/// the grace period ends.
#[tokio::test]
async fn request_in_progress_when_the_grace_period_ends_gets_an_answer() {
    let slow = Backend::start(vec![Step::ReplyAfter(9_000, reply(200, "slow"))]).await;
    let routes = vec![Route {
        timeout: Duration::from_secs(9),
        ..route("/q/", Target::One("quote".into()), false)
    }];
    let host = Arc::new(start_host(routes, vec![entry("i-1", "quote", slow.address)]).await);
    let asking = host.clone();
    let caller = tokio::spawn(async move {
        let mut stream = asking.connect().await;
        let request = "POST /q/1 HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: 9000\r\ncontent-length: 0\r\n\r\n";
        stream.write_all(request.as_bytes()).await.unwrap();
        read_message(&mut stream).await
    });
    until(|| slow.received().len() == 1).await;

    host.lifecycle.stop(GRACE).await;

    assert!(caller.is_finished(), "cut off at the end of the grace period");
    assert_eq!(caller.await.unwrap().map(|a| status(&a)), Some(504));
}

/// Guards against refusing what can still be served in the grace period.
#[tokio::test]
async fn request_that_ends_before_the_stop_is_served() {
    let backend = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let host = host(&backend).await;
    let lifecycle = host.lifecycle.clone();
    // Keeps the host from ending the stop.
    let mut busy = host.connect().await;
    let stop = tokio::spawn(async move { lifecycle.stop(GRACE).await });
    time::sleep(GRACE / 4).await;

    send_request(&mut busy, "GET", "/q/1", "").await;
    let answer = read_message(&mut busy).await.unwrap();

    assert_eq!(status(&answer), 200);
    stop.await.unwrap();
}

/// Starts another host that takes reports after a delay, and returns its address and the texts of
/// the reports.
async fn start_slow_peer(delay: Duration) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    start_peer(delay, "200 OK").await
}

/// The same with the status that it replies with.
async fn start_peer(delay: Duration, status: &str) -> (SocketAddr, Arc<Mutex<Vec<String>>>) {
    let text = format!("HTTP/1.1 {status}\r\ncontent-length: 4\r\n\r\ntrue");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let reports = Arc::new(Mutex::new(Vec::new()));
    let received = reports.clone();
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            while let Some(report) = read_message(&mut stream).await {
                time::sleep(delay).await;
                received.lock().unwrap().push(report);
                support::write(&mut stream, &text, "").await;
            }
        }
    });
    (address, reports)
}

/// Load pattern: hosts stop in series, so that the load balancer has no better one and opens new
/// connections to each until it is gone. Guards against requests that a host still reads while it
/// passes its watch on, and cuts off when the process ends.
#[tokio::test]
async fn no_request_is_read_after_the_drain() {
    let (peer_address, reports) = start_slow_peer(Duration::from_millis(200)).await;
    let quick = Backend::start(vec![Step::ReplyAfter(30, reply(200, "ok"))]).await;
    let silent = Backend::start(vec![Step::NeverReply]).await;
    let routes = vec![
        route("/q/", Target::One("quote".into()), true),
        route("/left/", Target::One("a".into()), false),
    ];
    let entries = vec![entry("i-1", "quote", quick.address), entry("i-2", "a", silent.address)];
    let host = Arc::new(start_host(routes, entries).await);
    host.core.state().peers.insert("other".into(), support::peer(peer_address, 10));
    // The caller leaves, so that its server is watched.
    let _ = time::timeout(Duration::from_millis(60), host.ask("POST", "/left/1", "")).await;
    let asking = host.clone();
    let callers = tokio::spawn(async move {
        let mut requests = JoinSet::new();
        // Ends when the host refuses connections.
        while let Ok(mut stream) = TcpStream::connect(asking.address).await {
            requests.spawn(async move {
                send_request(&mut stream, "GET", "/q/1", "").await;
                read_message(&mut stream).await.is_some()
            });
            time::sleep(Duration::from_millis(5)).await;
        }
        requests.join_all().await
    });

    host::stop(&host.core, &host.lifecycle, GRACE).await;

    let open = host.lifecycle.open_connections();
    let refused = TcpStream::connect(host.address).await.is_err();
    assert!(open == 0 && refused, "{open} connections are open, new ones are refused: {refused}");
    assert!(callers.await.unwrap().into_iter().all(|answered| answered));
    let reports = reports.lock().unwrap();
    assert!(reports.iter().any(|r| r.contains("i-2")), "the watch reaches no other host");
}

/// Load pattern: as above, with earlier requests that keep the host from ending. Guards against new
/// connections that are refused while the host waits anyway, and against a host that waits for new
/// ones without end.
#[tokio::test]
async fn new_connections_are_accepted_while_earlier_requests_run() {
    let slow = Backend::start(vec![Step::ReplyAfter(1_300, reply(200, "slow"))]).await;
    let quick = Backend::start(vec![Step::ReplyAfter(30, reply(200, "ok"))]).await;
    let routes = vec![
        route("/q/", Target::One("quote".into()), true),
        route("/slow/", Target::One("a".into()), false),
    ];
    let entries = vec![entry("i-1", "quote", quick.address), entry("i-2", "a", slow.address)];
    let host = Arc::new(start_host(routes, entries).await);
    let asking = host.clone();
    let early = tokio::spawn(async move { asking.ask("POST", "/slow/1", "").await });
    until(|| slow.received().len() == 1).await;
    let (lifecycle, start) = (host.lifecycle.clone(), Instant::now());
    let stop = tokio::spawn(async move { lifecycle.stop(GRACE).await });
    // After half of the grace period, at which the host begins to close.
    time::sleep(GRACE / 2 + Duration::from_millis(100)).await;
    let mut answers = Vec::new();
    while let Ok(mut stream) = TcpStream::connect(host.address).await
        && start.elapsed() < GRACE
    {
        send_request(&mut stream, "GET", "/q/1", "").await;
        answers.push(status(&read_message(&mut stream).await.unwrap()));
    }

    stop.await.unwrap();

    assert_eq!(status(&early.await.unwrap()), 200);
    // Late ones may be refused, since too little time is left for them.
    assert_eq!(answers.first(), Some(&200), "{answers:?}");
    assert!(answers.iter().all(|status| [200, 503].contains(status)), "{answers:?}");
    assert!(start.elapsed() < GRACE, "waits for new connections");
}

/// Gives the host that ranks last this address.
fn insert_last(host: &TestHost, address: SocketAddr) {
    let mut state = host.core.state();
    let last: Box<str> = state.peers.ranked().last().unwrap().0.into();
    state.peers.insert(last, support::peer(address, 10));
}

/// Load pattern: hosts stop in series, so that the first ones that are asked are stopping as well.
/// Guards against a watch that ends with its host although another one would take it.
#[tokio::test]
async fn watch_reaches_a_host_beyond_those_that_decline() {
    let silent = Backend::start(vec![Step::NeverReply]).await;
    let host = host(&silent).await;
    let (declining, _) = start_peer(Duration::ZERO, "503 Service Unavailable").await;
    let (taking, reports) = start_slow_peer(Duration::ZERO).await;
    for i in 0..6 {
        host.core.state().peers.insert(format!("host-{i}").into(), support::peer(declining, 10));
    }
    insert_last(&host, taking);
    let _ = time::timeout(Duration::from_millis(60), host.ask("POST", "/q/1", "")).await;

    host::stop(&host.core, &host.lifecycle, GRACE).await;

    assert_eq!(reports.lock().unwrap().len(), 1);
}

/// Guards against a crash that counts against no request because its host ends while it confirms
/// the crash, since its links are in doubt.
#[tokio::test]
async fn crash_that_is_being_confirmed_is_passed_on() {
    let (peer_address, reports) = start_slow_peer(Duration::ZERO).await;
    let (core, lifecycle) = (support::core(), Arc::new(Lifecycle::default()));
    core.state().adopt(config(1, vec![route("/q/", Target::One("quote".into()), false)]));
    let crashing = entry("i-1", "quote", support::start_crashing().await);
    let now = core.now();
    core.state().fleet.upsert(crashing, now);
    core.state().peers.insert("other".into(), support::peer(peer_address, 10));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    // Nothing checks the links.
    tokio::spawn(listen::serve(listener, core.clone(), lifecycle.clone()));
    let host = TestHost { core, lifecycle, address };
    let asked = host.ask("POST", "/q/1", "").await;
    host.core.record_failed_attempt(host.core.now());

    host::stop(&host.core, &host.lifecycle, GRACE).await;

    assert_eq!(status(&asked), 502);
    let reports = reports.lock().unwrap();
    assert!(reports.iter().any(|r| r.contains("\"server\":\"i-1\"")), "{reports:?}");
}

/// Guards against a crash that no other host learns of, because its host ends before it has written
/// it to the registry.
#[tokio::test]
async fn crash_is_written_before_the_host_ends() {
    let registry = Arc::new(ScriptedRegistry::default());
    let sound = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let routes = vec![route("/q/", Target::One("quote".into()), false)];
    let crashing = support::start_crashing().await;
    let entries = vec![entry("i-1", "quote", crashing), entry("i-2", "a", sound.address)];
    let host = start_host(routes, entries).await;
    tokio::spawn(crashes::publish(host.core.clone(), registry.clone()));
    let asked = host.ask("POST", "/q/1", "").await;

    watch::hand_over(&host.core).await;
    crashes::flush(&host.core).await;

    assert_eq!(status(&asked), 502);
    assert_eq!(registry.crashes.lock().unwrap().len(), 1);
}

/// Guards against observations that end with their host: it reports each departure once.
#[tokio::test]
async fn next_report_of_a_stopping_host_is_sent() {
    let (peer_address, reports) = start_slow_peer(Duration::ZERO).await;
    let backend = Backend::start(vec![Step::Reply(reply(200, "ok"))]).await;
    let host = host(&backend).await;
    host.core.state().peers.insert("other".into(), support::peer(peer_address, 10));
    let key = host.core.state().fleet.key("i-1").unwrap();
    host.core.mark_leaving(key);

    host::stop(&host.core, &host.lifecycle, GRACE).await;

    let reports = reports.lock().unwrap();
    assert!(reports.iter().any(|r| r.contains("\"leaving\":{\"i-1\"")), "{reports:?}");
}
