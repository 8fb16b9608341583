//! Hosts that are cut off from all backend servers, while callers and other hosts reach them.

mod support;

use std::net::SocketAddr;
use std::time::Duration;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use chervil_front::peers;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::config::WeightedService;
use chervil_route::fleet::BackendEntry;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::time;

use crate::support::Backend;
use crate::support::Step;
use crate::support::TestHost;
use crate::support::entry;
use crate::support::gather;
use crate::support::header;
use crate::support::journal;
use crate::support::peer;
use crate::support::read_message;
use crate::support::refusal;
use crate::support::reply;
use crate::support::route;
use crate::support::start_host;
use crate::support::status;
use crate::support::until;

const LOW: &str = "aaaaaaaaaaaaaaa1";
const HIGH: &str = "ccccccccccccccc3";

fn routes() -> Vec<Route> {
    let split = vec![
        WeightedService { service: "quote".into(), weight: 1.0 },
        WeightedService { service: "c".into(), weight: 0.0 },
    ];
    vec![
        route("/all/", gather(&["a", "b"], 1.0), true),
        route("/safe/", Target::One("quote".into()), true),
        route("/once/", Target::Split(split), false),
    ]
}

/// The backend servers of all services, which all hosts know by the same ids.
struct Servers {
    a: Backend,
    b: Backend,
    quote: Backend,
}

impl Servers {
    async fn start() -> Servers {
        Servers {
            a: Backend::start(vec![Step::Reply(reply(200, LOW))]).await,
            b: Backend::start(vec![Step::Reply(reply(200, HIGH))]).await,
            quote: Backend::start(vec![Step::Reply(reply(200, "fine"))]).await,
        }
    }

    fn entries(&self) -> Vec<BackendEntry> {
        entries([self.a.address, self.b.address, self.quote.address])
    }
}

fn entries([a, b, quote]: [SocketAddr; 3]) -> Vec<BackendEntry> {
    vec![entry("i-a", "a", a), entry("i-b", "b", b), entry("i-quote", "quote", quote)]
}

/// How connections of a cut host to backend servers fail.
#[derive(Clone, Copy, Debug)]
enum Cut {
    Refuses,
    Hangs,
}

/// Addresses that stand for the backend servers of a cut host. Those that hang have a full
/// queue of new connections, which lasts as long as the listeners and streams.
struct CutLinks {
    addresses: [SocketAddr; 3],
    _queues: Vec<(TcpListener, Vec<TcpStream>)>,
}

async fn cut_links(cut: Cut) -> CutLinks {
    let (mut addresses, mut queues) = (Vec::new(), Vec::new());
    for _ in 0..3 {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let address = socket.local_addr().unwrap();
        addresses.push(address);
        if matches!(cut, Cut::Refuses) {
            // Bound and not listening: no other test gets the address.
            std::mem::forget(socket);
            continue;
        }
        let listener = socket.listen(1).unwrap();
        let mut queued = Vec::new();
        while let Ok(stream) =
            time::timeout(Duration::from_millis(60), TcpStream::connect(address)).await
        {
            queued.push(stream.unwrap());
        }
        queues.push((listener, queued));
    }
    CutLinks { addresses: addresses.try_into().unwrap(), _queues: queues }
}

/// Starts a host that executes requests for others, and returns its address for them.
async fn start_helper(entries: Vec<BackendEntry>) -> (TestHost, SocketAddr) {
    let helper = start_host(routes(), entries).await;
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (core, lifecycle) = (helper.core.clone(), helper.lifecycle.clone());
    tokio::spawn(peers::serve(listener, core, journal(), lifecycle));
    (helper, address)
}

/// Starts a host with these backend servers that knows these other hosts.
async fn start_with(entries: Vec<BackendEntry>, hosts: &[SocketAddr]) -> TestHost {
    let host = start_host(routes(), entries).await;
    let mut state = host.core.state();
    for (i, address) in hosts.iter().enumerate() {
        state.peers.insert(format!("host-{i}").into(), peer(*address, 10));
    }
    drop(state);
    host
}

/// Guards against callers that get nothing from a host which has lost its links, although
/// other hosts reach the backend servers: queries, requests that may be repeated and those
/// that may not.
#[tokio::test]
async fn requests_of_a_cut_host_are_executed_by_another_one() {
    for cut in [Cut::Refuses, Cut::Hangs] {
        let (servers, links) = (Servers::start().await, cut_links(cut).await);
        let (_helper, address) = start_helper(servers.entries()).await;
        let host = start_with(entries(links.addresses), &[address]).await;

        let query = host.ask("GET", "/all/1", "").await;
        let safe = host.ask("GET", "/safe/1", "").await;
        let once = host.ask("POST", "/once/1", "rope").await;

        assert_eq!([&query, &safe, &once].map(|a| status(a)), [200; 3], "{cut:?}");
        assert!(query.ends_with(&format!("{HIGH}{LOW}")), "{query}");
        assert!(once.ends_with("fine"), "{once}");
        assert_eq!(header(&once, "x-stamp").as_deref(), Some("s-200"));
        let received = servers.quote.received();
        assert_eq!(received.len(), 2);
        assert!(received[1].starts_with("POST /once/1 HTTP/1.1\r\n"), "{received:?}");
        assert!(received[1].ends_with("\r\n\r\nrope"), "{received:?}");
        assert_eq!(header(&received[1], "x-id").as_deref(), Some("r-1"));
    }
}

/// Guards against a request that may not be repeated and whose first connection hangs: it was
/// not sent, so another host may execute it.
#[tokio::test]
async fn unsent_request_of_a_cut_host_is_executed_once_by_another_one() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Hangs).await);
    let (_helper, address) = start_helper(servers.entries()).await;
    let host = start_with(entries(links.addresses), &[address]).await;

    let answer = host.ask("POST", "/once/1", "rope").await;

    assert_eq!(status(&answer), 200, "{answer}");
    assert_eq!(servers.quote.received().len(), 1);
}

/// Guards against a status by which the caller takes a request that ran for one that has not run,
/// from a helper of this build that returns it, and from one of an earlier build that passes it on.
#[tokio::test]
async fn status_that_denies_execution_is_not_passed_on_by_another_host() {
    let text = reply(503, "own failure");
    let quote = Backend::start(vec![Step::Reply(text.clone())]).await;
    let sound = Servers::start().await;
    let servers = entries([sound.a.address, sound.b.address, quote.address]);
    let (_helper, helper) = start_helper(servers).await;
    let links = cut_links(Cut::Refuses).await;
    for address in [helper, start_forwarding(&text.replace("{id}", "r-1")).await] {
        let host = start_with(entries(links.addresses), &[address]).await;

        let answer = host.ask("POST", "/once/1", "rope").await;

        assert_eq!(status(&answer), 502, "{answer}");
        assert_eq!(header(&answer, "x-stamp"), None, "{answer}");
    }
    assert_eq!(quote.received().len(), 1);
}

/// Starts a host of an earlier build that accepts each offer and passes this reply of a backend
/// server on.
async fn start_forwarding(text: &str) -> SocketAddr {
    let (head, body) = text.split_at(text.find("\r\n\r\n").unwrap() + 4);
    let (head, body) = (STANDARD.encode(head), STANDARD.encode(body));
    let outcome = json!({ "Answered": { "status": 503, "head": head, "body": body, "asked": [] } });
    let replies = ["true".to_string(), outcome.to_string()];
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for body in replies.iter().cycle() {
            if read_message(&mut stream).await.is_none() {
                return;
            }
            let text = format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
            support::write(&mut stream, &text, "").await;
        }
    });
    address
}

/// Starts a backend server that reads one request, never replies, and accepts no further
/// connection.
async fn start_going_silent() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        while support::read_message(&mut stream).await.is_some() {}
    });
    address
}

/// Guards against running a request twice that was sent before the links were lost and may
/// not be repeated, and against losing one that may.
#[tokio::test]
async fn sent_request_of_a_cut_host_is_repeated_only_if_it_may_be() {
    let servers = Servers::start().await;
    let (_helper, address) = start_helper(servers.entries()).await;
    let mut answers = Vec::new();
    for (method, path) in [("GET", "/all/1"), ("GET", "/safe/1"), ("POST", "/once/1")] {
        // The servers that the request does not need are out of reach already.
        let mut links = cut_links(Cut::Refuses).await.addresses;
        let needed = if path == "/all/1" { 0..2 } else { 2..3 };
        for address in &mut links[needed] {
            *address = start_going_silent().await;
        }
        let host = start_with(entries(links), &[address]).await;

        answers.push(status(&host.ask(method, path, "").await));
    }

    assert_eq!(answers, [200, 200, 504]);
    assert!(servers.quote.received().iter().all(|r| r.starts_with("GET /safe/1 ")));
}

/// Guards against a request that is lost at a host which is cut off itself, and against
/// requests that go from one cut host to the next.
#[tokio::test]
async fn cut_helper_declines_and_another_one_is_used() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Refuses).await);
    let (_helper, address) = start_helper(servers.entries()).await;
    let (cut_helper, cut_address) = start_helper(entries(links.addresses)).await;
    let hosts = [cut_address, cut_address, cut_address, address];
    let host = start_with(entries(links.addresses), &hosts).await;
    let mut statuses = Vec::new();

    for i in 0..6 {
        statuses.push(status(&host.ask("GET", &format!("/all/{i}"), "").await));
        statuses.push(status(&host.ask("POST", &format!("/once/{i}"), "").await));
    }

    assert_eq!(statuses, [200; 12]);
    assert!(cut_helper.core.has_lost_links());
}

/// Guards against callers that wait until their deadlines for what no host can serve, and
/// against an answer that leaves unknown whether the request ran.
#[tokio::test]
async fn request_that_no_host_can_execute_is_refused() {
    let links = cut_links(Cut::Refuses).await;
    let host = start_with(entries(links.addresses), &[]).await;
    host.ask("GET", "/all/0", "").await;

    let answers = [host.ask("GET", "/all/1", "").await, host.ask("POST", "/once/1", "rope").await];

    assert_eq!(answers.each_ref().map(|a| status(a)), [503; 2]);
    assert!(answers.iter().all(|a| header(a, "retry-after").is_some()), "{answers:?}");
}

/// Guards against hosts that avoid working servers because a cut host reports them, and that
/// a cut host itself avoids after its links are back.
#[tokio::test]
async fn cut_host_does_not_blame_the_servers() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Refuses).await);
    let (_helper, address) = start_helper(servers.entries()).await;
    let host = start_with(entries(links.addresses), &[address]).await;

    for _ in 0..3 {
        host.ask("GET", "/all/1", "").await;
    }

    assert!(host.core.has_lost_links());
    assert!(host.core.take_reports().degraded.is_empty());
    let now = host.core.now();
    let backing_off =
        host.core.state().fleet.iter().filter(|b| b.health.is_backing_off(now)).count();
    assert!(backing_off <= 1, "{backing_off} servers in backoff");
}

/// Guards against a host that keeps passing requests on after its links are back.
#[tokio::test]
async fn host_serves_itself_again_once_a_server_accepts_a_connection() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Refuses).await);
    let (helper, address) = start_helper(servers.entries()).await;
    let host = start_with(entries(links.addresses), &[address]).await;
    host.ask("GET", "/all/1", "").await;
    let was_lost = host.core.has_lost_links();

    let now = host.core.now();
    for entry in servers.entries() {
        host.core.state().fleet.upsert(entry, now);
    }
    until(|| !host.core.has_lost_links()).await;
    let answer = host.ask("GET", "/all/2", "").await;

    assert!(was_lost);
    assert_eq!(status(&answer), 200);
    assert!(helper.core.metrics.text().contains("relay.served 1"));
}

/// Guards against a request that is refused at a host whose open connections work while new
/// ones are refused.
#[tokio::test]
async fn request_without_an_open_connection_is_executed_by_another_host() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Refuses).await);
    let (_helper, address) = start_helper(servers.entries()).await;
    let [_, _, quote] = links.addresses;
    let own = entries([servers.a.address, servers.b.address, quote]);
    let host = start_with(own, &[address]).await;

    let query = host.ask("GET", "/all/1", "").await;
    let once = host.ask("POST", "/once/1", "rope").await;

    assert_eq!([&query, &once].map(|a| status(a)), [200; 2]);
    assert!(!host.core.has_lost_links());
    assert_eq!(servers.quote.received().len(), 1);
}

/// Guards against retry budgets that two hosts earn with the same request.
#[tokio::test]
async fn passed_request_is_counted_by_one_host_only() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Refuses).await);
    let (helper, address) = start_helper(servers.entries()).await;
    let [_, _, quote] = links.addresses;
    let own = entries([servers.a.address, servers.b.address, quote]);
    let host = start_with(own, &[address]).await;
    host.ask("GET", "/all/1", "").await;

    let answer = host.ask("POST", "/once/1", "rope").await;

    assert_eq!(status(&answer), 200);
    let earned = [&host, &helper].map(|h| h.core.try_spend_retry("quote"));
    assert_eq!(earned, [true, false]);
}

/// Guards against hosts that pass a request round for whose service all servers are down.
#[tokio::test]
async fn request_whose_servers_refuse_all_hosts_is_refused() {
    let (servers, links) = (Servers::start().await, cut_links(Cut::Refuses).await);
    let [_, _, quote] = links.addresses;
    let own = || entries([servers.a.address, servers.b.address, quote]);
    let (first, first_address) = start_helper(own()).await;
    let (second, second_address) = start_helper(own()).await;
    let host = start_with(own(), &[first_address, second_address]).await;
    host.ask("GET", "/all/1", "").await;
    first.ask("GET", "/all/1", "").await;
    second.ask("GET", "/all/1", "").await;

    let answer = host.ask("POST", "/once/1", "rope").await;

    assert_eq!(status(&answer), 503);
    let served = |h: &TestHost| h.core.metrics.text().matches("relay.served 1").count();
    assert_eq!(served(&first) + served(&second), 1);
}

/// Guards against requests that are passed on because servers are slow, full or silent: they
/// accept connections, so that another host would fare no better.
#[tokio::test]
async fn host_with_failing_servers_serves_itself() {
    let (_helper, address) = start_helper(Servers::start().await.entries()).await;
    for step in [Step::NeverReply, Step::Reset, Step::Reply(refusal())] {
        let servers = Servers {
            a: Backend::start(vec![step.clone()]).await,
            b: Backend::start(vec![step.clone()]).await,
            quote: Backend::start(vec![step.clone()]).await,
        };
        let host = start_with(servers.entries(), &[address]).await;

        let answers = [
            status(&host.ask("GET", "/all/1", "").await),
            status(&host.ask("GET", "/safe/1", "").await),
        ];

        assert!(answers.iter().all(|s| *s >= 500), "{step:?}: {answers:?}");
        assert!(!host.core.has_lost_links(), "{step:?}");
    }
}

/// Guards against a host that takes its links for lost when its availability zone is cut off
/// from the others, although the servers of its own zone are in reach (BUDGET): requests that
/// run there would be executed by another host once more.
#[tokio::test]
async fn host_of_a_zone_that_is_cut_off_keeps_its_links_to_that_zone() {
    let own = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let cut = cut_links(Cut::Refuses).await.addresses;
    let mut servers = vec![entry("i-own", "quote", own.address)];
    for i in 0..9 {
        let zone = ["east", "south", "west"][i % 3].into();
        servers.push(BackendEntry { zone, ..entry(&format!("i-{i}"), "a", cut[i % 3]) });
    }
    let mut routes = routes();
    routes.push(route("/cut/", Target::One("a".into()), true));

    for _ in 0..12 {
        let host = start_host(routes.clone(), servers.clone()).await;
        host.ask("GET", "/cut/1", "").await;
        until(|| !host.core.has_links_in_doubt() || host.core.has_lost_links()).await;
        let answer = host.ask("GET", "/safe/1", "").await;

        assert_eq!(status(&answer), 200, "{answer}");
        let metrics = host.core.metrics.text();
        assert!(metrics.contains("links.checks"), "{metrics}");
        assert!(!metrics.contains("links.lost"), "{metrics}");
    }
}

/// Guards against a check of the links that closes connections which requests use: one that is
/// refused leaves none, although the open one worked.
#[tokio::test]
async fn check_of_the_links_keeps_open_connections() {
    let cut = cut_links(Cut::Refuses).await.addresses;
    let used = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let unused = Backend::start(vec![Step::Reply(reply(200, "fine"))]).await;
    let servers = vec![
        entry("i-used", "quote", used.address),
        entry("i-unused", "b", unused.address),
        BackendEntry { zone: "east".into(), ..entry("i-cut", "a", cut[0]) },
    ];
    let mut routes = routes();
    routes.push(route("/cut/", Target::One("a".into()), true));
    let host = start_host(routes, servers).await;
    // As many hosts as each server allows connections: one for each.
    host.core.state().update_division(120);
    host.ask("GET", "/safe/1", "").await;
    let key = host.core.state().fleet.key("i-used").unwrap();
    for check in 1..=8 {
        host.ask("GET", "/cut/1", "").await;
        until(|| !host.core.has_links_in_doubt()).await;

        let metrics = host.core.metrics.text();
        assert!(metrics.contains(&format!("links.checks {check}")), "{metrics}");
        assert!(host.core.pools().has_idle(key), "closed by check {check}");
    }
}
