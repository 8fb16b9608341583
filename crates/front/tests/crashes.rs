//! A request that crashes the backend servers executing it, sent again and again to twelve
//! hosts which share a registry.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use chervil_front::core::Core;
use chervil_front::crashes;
use chervil_front::follow;
use chervil_front::follow::Follower;
use chervil_front::links;
use chervil_front::listen;
use chervil_front::listen::Lifecycle;
use chervil_front::peers;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::Registration;
use chervil_front::registry::Registry;
use chervil_front::registry::RegistryError;
use chervil_front::watch;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::crashes::CrashRecord;
use chervil_route::fleet::BackendEntry;
use chervil_route::history::Position;
use chervil_route::peers::Peer;
use futures::future::join_all;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time;

use crate::support::TestHost;
use crate::support::config;
use crate::support::core;
use crate::support::entry;
use crate::support::gather;
use crate::support::journal;
use crate::support::peer;
use crate::support::read_message;
use crate::support::replica::settings;
use crate::support::reply;
use crate::support::route;
use crate::support::status;
use crate::support::until;

const HOSTS: usize = 12;

/// Time until a crashed server is back, as another instance.
const RESTART_TIME: Duration = Duration::from_millis(150);

/// Time after the third crash within which all hosts must know of it. The users allow four
/// seconds.
const KNOWN_WITHIN: Duration = Duration::from_millis(4_000);

/// Time that a server takes for a slow request.
const SLOW_TIME: Duration = Duration::from_millis(600);

/// Pause between two sends of the caller.
const SEND_PAUSE: Duration = Duration::from_millis(250);

/// A registry in memory that all hosts use.
#[derive(Default)]
struct SharedRegistry {
    events: Mutex<Vec<Event>>,
}

impl SharedRegistry {
    fn write(&self, event: Event) {
        self.events.lock().unwrap().push(event);
    }

    fn after(&self, revision: u64) -> Changes {
        let events = self.events.lock().unwrap();
        let position = Position { era: 0, revision: events.len() as u64 };
        let events = events[revision as usize..].to_vec();
        Changes { events, position, read_until: position }
    }
}

#[async_trait]
impl Registry for SharedRegistry {
    async fn list(&self) -> Result<Changes, RegistryError> {
        Ok(self.after(0))
    }

    async fn changes(&self, revision: u64, wait: Duration) -> Result<Changes, RegistryError> {
        let end = Instant::now() + wait;
        while self.after(revision).events.is_empty() && Instant::now() < end {
            time::sleep(Duration::from_millis(5)).await;
        }
        Ok(self.after(revision))
    }

    async fn register(
        &self,
        _host: &str,
        _peer: &Peer,
        _ttl: Duration,
    ) -> Result<Registration, RegistryError> {
        Ok(Registration { lease: 1 })
    }

    async fn record_crashes(
        &self,
        records: &[CrashRecord],
        _ttl: Duration,
    ) -> Result<(), RegistryError> {
        records.iter().for_each(|r| self.write(Event::RequestCrash(*r)));
        Ok(())
    }

    async fn renew(&self, _registration: Registration) -> Result<(), RegistryError> {
        Ok(())
    }
}

/// When a server crashes.
#[derive(Clone, Copy, PartialEq)]
enum Crashes {
    Never,
    /// At each request whose path contains `fatal`.
    AtFatalRequests,
    /// This long after each such request, whether or not its connection is still open.
    AfterFatalRequests(Duration),
    /// The same, after the server has closed the connection.
    AfterClosedRequests(Duration),
}

/// Backend servers that are back as new instances after they crash.
#[derive(Clone)]
struct Servers {
    registry: Arc<SharedRegistry>,
    /// Times of the crashes.
    crashed_at: Arc<Mutex<Vec<Instant>>>,
    /// Fatal requests that have arrived.
    arrivals: Arc<AtomicU64>,
}

impl Servers {
    fn new(registry: Arc<SharedRegistry>) -> Servers {
        Servers { registry, crashed_at: Arc::default(), arrivals: Arc::default() }
    }

    /// Starts a server of a service and restarts it whenever it has crashed.
    async fn start(&self, service: &'static str, number: usize, crashes: Crashes) {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let first = self.register(service, number, 0, listener.local_addr().unwrap());
        let servers = self.clone();
        tokio::spawn(async move {
            let (mut listener, mut id) = (listener, first);
            for boot in 1.. {
                servers.serve(listener, service, crashes).await;
                servers.crashed_at.lock().unwrap().push(Instant::now());
                time::sleep(RESTART_TIME).await;
                servers.registry.write(Event::ServerRemoved(id));
                listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
                id = servers.register(service, number, boot, listener.local_addr().unwrap());
            }
        });
    }

    fn register(&self, service: &str, number: usize, boot: u64, address: SocketAddr) -> Box<str> {
        let id = format!("{service}-{number}-{boot}");
        let entry = BackendEntry { started_at_ms: Some(boot), ..entry(&id, service, address) };
        self.registry.write(Event::Server(Box::new(entry)));
        id.into()
    }

    /// Serves until a request crashes the server, which closes its port and all connections.
    async fn serve(&self, listener: TcpListener, service: &str, crashes: Crashes) {
        let mut connections = JoinSet::new();
        loop {
            tokio::select! {
                accepted = listener.accept() => {
                    let (stream, _) = accepted.unwrap();
                    connections.spawn(answer(stream, service.into(), crashes));
                }
                Some(ended) = connections.join_next() => {
                    if ended.unwrap() == Ended::Fatal {
                        self.arrivals.fetch_add(1, Ordering::Relaxed);
                        return;
                    }
                }
            }
        }
    }

    fn arrivals(&self) -> u64 {
        self.arrivals.load(Ordering::Relaxed)
    }

    fn third_crash(&self) -> Option<Instant> {
        self.crashed_at.lock().unwrap().get(2).copied()
    }
}

#[derive(PartialEq)]
enum Ended {
    Closed,
    Fatal,
}

async fn answer(mut stream: TcpStream, service: String, crashes: Crashes) -> Ended {
    while let Some(request) = read_message(&mut stream).await {
        let is_fatal = request.contains("/fatal");
        match crashes {
            Crashes::AtFatalRequests if is_fatal => return Ended::Fatal,
            Crashes::AfterFatalRequests(delay) if is_fatal => {
                time::sleep(delay).await;
                return Ended::Fatal;
            }
            Crashes::AfterClosedRequests(delay) if is_fatal => {
                drop(stream);
                time::sleep(delay).await;
                return Ended::Fatal;
            }
            _ if request.contains("/slow") => time::sleep(SLOW_TIME).await,
            _ => {}
        }
        let id = support::header(&request, "x-id").unwrap();
        let text = reply(200, &format!("{service:>16}")).replace("{id}", &id);
        support::write(&mut stream, &text, &id).await;
    }
    Ended::Closed
}

/// Starts a host that follows the registry, and writes its entry there.
async fn start_host(name: &str, registry: &Arc<SharedRegistry>) -> TestHost {
    let core: Arc<Core> = core();
    let (journal, lifecycle) = (journal(), Arc::new(Lifecycle::default()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    registry.write(Event::Host(name.into(), peer(address, 10)));
    let (settings, shared) = (settings(name, address, Vec::new()), registry.clone());
    let follower =
        Follower::new(core.clone(), shared, lifecycle.clone(), journal.clone(), &settings, 12);
    tokio::spawn(follower.run());
    tokio::spawn(peers::serve(listener, core.clone(), journal, lifecycle.clone()));
    tokio::spawn(links::watch(core.clone()));
    tokio::spawn(watch::run(core.clone()));
    tokio::spawn(follow::watch_for_pauses(core.clone()));
    tokio::spawn(crashes::publish(core.clone(), registry.clone()));
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(listen::serve(listener, core.clone(), lifecycle.clone()));
    until(|| lifecycle.is_ready()).await;
    TestHost { core, lifecycle, address }
}

async fn start_hosts(registry: &Arc<SharedRegistry>) -> Vec<TestHost> {
    let mut hosts = Vec::new();
    for i in 0..HOSTS {
        hosts.push(start_host(&format!("host-{i}"), registry).await);
    }
    hosts
}

fn routes() -> Vec<Route> {
    vec![
        route("/all/", gather(&["a", "b", "c", "quote"], 0.75), true),
        route("/half/", gather(&["a", "b"], 0.5), true),
        route("/two/", gather(&["a", "b"], 1.0), true),
        route("/one/", Target::One("a".into()), true),
        route("/order/", Target::One("a".into()), false),
    ]
}

fn start_registry() -> Arc<SharedRegistry> {
    let registry = Arc::new(SharedRegistry::default());
    registry.write(Event::Config(Box::new(config(1, routes()))));
    registry
}

/// Sends a request 12 times, each time to the next host, and leaves after `stay`. The next
/// send waits until the servers have crashed, which they do within `pause`. Returns the same as
/// [`send_to_all`].
async fn send_and_leave(
    hosts: &[TestHost],
    servers: &Servers,
    path: &str,
    (stay, pause): (Duration, Duration),
) -> u32 {
    let mut later = 0;
    for host in hosts {
        let before = servers.arrivals();
        let known = servers.third_crash().is_some_and(|at| at.elapsed() > KNOWN_WITHIN);
        let _ = time::timeout(stay, host.ask("POST", path, "rope")).await;
        time::sleep(pause).await;
        later += u32::from(known && servers.arrivals() > before);
    }
    later
}

/// Sends a request 24 times, each time to the next host. Returns how often it has reached a
/// server later than all hosts must know of the third crash.
async fn send_to_all(hosts: &[TestHost], servers: &Servers, path: &str) -> u32 {
    let mut later = 0;
    for host in hosts.iter().cycle().take(2 * HOSTS) {
        let before = servers.arrivals();
        let known = servers.third_crash().is_some_and(|at| at.elapsed() > KNOWN_WITHIN);
        host.ask("POST", path, "rope").await;
        later += u32::from(known && servers.arrivals() > before);
        time::sleep(SEND_PAUSE).await;
    }
    later
}

/// Guards against a request that takes down three servers for each host, and more where it is
/// sent to several shards at once.
#[tokio::test(flavor = "multi_thread")]
async fn crashing_query_is_bounded_over_twelve_hosts() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    for service in ["a", "b", "c", "quote"] {
        for number in 0..3 {
            servers.start(service, number, Crashes::AtFatalRequests).await;
        }
    }
    let hosts = start_hosts(&registry).await;

    let later = send_to_all(&hosts, &servers, "/all/fatal").await;

    let last = hosts[0].ask("POST", "/all/fatal", "rope").await;
    let other = hosts[0].ask("POST", "/all/fine", "rope").await;
    assert_eq!(later, 0, "{} crashes", servers.arrivals());
    assert_eq!([status(&last), status(&other)], [503, 200]);
}

/// Guards against partial answers that clear a request which crashes the servers of one shard.
#[tokio::test(flavor = "multi_thread")]
async fn query_that_crashes_one_shard_is_bounded_over_twelve_hosts() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    for number in 0..3 {
        servers.start("a", number, Crashes::AtFatalRequests).await;
        servers.start("b", number, Crashes::Never).await;
    }
    let hosts = start_hosts(&registry).await;

    let later = send_to_all(&hosts, &servers, "/half/fatal").await;

    assert_eq!(later, 0, "{} crashes", servers.arrivals());
    assert!(servers.third_crash().is_some());
}

/// Guards against crashes that do not count because they take down all servers that a host
/// talks to, which looks as if its links were lost.
#[tokio::test(flavor = "multi_thread")]
async fn query_that_crashes_all_servers_is_bounded_over_twelve_hosts() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    servers.start("a", 0, Crashes::AtFatalRequests).await;
    servers.start("b", 0, Crashes::AtFatalRequests).await;
    let hosts = start_hosts(&registry).await;

    let later = send_to_all(&hosts, &servers, "/two/fatal").await;

    assert_eq!(later, 0, "{} crashes", servers.arrivals());
    assert!(servers.third_crash().is_some());
}

/// Guards against hosts that forget the crashes of a request when all of them are restarted.
#[tokio::test(flavor = "multi_thread")]
async fn crashes_are_known_after_a_restart_of_all_hosts() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    for number in 0..3 {
        servers.start("a", number, Crashes::AtFatalRequests).await;
        servers.start("b", number, Crashes::AtFatalRequests).await;
    }
    let hosts = start_hosts(&registry).await;
    send_to_all(&hosts, &servers, "/two/fatal").await;
    let crashed = servers.arrivals();
    drop(hosts);

    let restarted = start_hosts(&registry).await;
    let later = send_to_all(&restarted, &servers, "/two/fatal").await;

    assert_eq!((later, servers.arrivals()), (0, crashed));
}

/// Guards against a request that is refused because it was lost once, when many servers
/// crashed for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn victim_of_another_request_is_served_again() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    for service in ["a", "b", "c", "quote"] {
        for number in 0..3 {
            servers.start(service, number, Crashes::AtFatalRequests).await;
        }
    }
    let hosts = start_hosts(&registry).await;
    let fine = async {
        for _ in 0..20 {
            hosts[1].ask("POST", "/all/fine", "rope").await;
        }
    };
    tokio::join!(hosts[0].ask("POST", "/all/fatal", "rope"), fine);
    time::sleep(RESTART_TIME * 5).await;

    let answers = [
        hosts[1].ask("POST", "/all/fine", "rope").await,
        hosts[2].ask("POST", "/all/fine", "rope").await,
    ];

    assert_eq!(answers.each_ref().map(|a| status(a)), [200; 2]);
}

/// Starts three servers of a service that crash some time after they began to execute a fatal
/// request, and three sound ones of another service.
async fn start_late_crashing(registry: &Arc<SharedRegistry>, delay: Duration) -> Servers {
    let servers = Servers::new(registry.clone());
    for number in 0..3 {
        servers.start("a", number, Crashes::AfterFatalRequests(delay)).await;
        servers.start("b", number, Crashes::Never).await;
    }
    servers
}

/// Guards against a crash that counts against no request because the caller has left before it:
/// the request takes down servers each time that it is sent.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_the_caller_has_left_counts() {
    for path in ["/one/fatal", "/order/fatal"] {
        let registry = start_registry();
        let servers = start_late_crashing(&registry, Duration::from_millis(200)).await;
        let hosts = start_hosts(&registry).await;

        let times = (Duration::from_millis(80), Duration::from_millis(700));
        let later = send_and_leave(&hosts, &servers, path, times).await;

        assert!(later <= 3, "{path}: {later} late sends, {} crashes", servers.arrivals());
        assert!(servers.third_crash().is_some());
    }
}

/// Guards against a crash that counts against no request because the answer has gone out without
/// the shard of the server.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_an_answer_without_the_shard_counts() {
    let registry = start_registry();
    let servers = start_late_crashing(&registry, Duration::from_millis(900)).await;
    let hosts = start_hosts(&registry).await;

    let times = (Duration::from_secs(5), Duration::from_secs(1));
    let later = send_and_leave(&hosts, &servers, "/half/fatal", times).await;

    assert!(later <= 3, "{later} late sends, {} crashes", servers.arrivals());
    assert!(servers.third_crash().is_some());
}

/// Guards against a sound request that is refused because its callers left early while servers
/// crashed for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn abandoned_victim_of_another_request_is_served_again() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    for number in 0..3 {
        servers.start("a", number, Crashes::AtFatalRequests).await;
    }
    let hosts = start_hosts(&registry).await;
    join_all(hosts.iter().chain(&hosts).chain(&hosts).map(|host| {
        let ask = host.ask("POST", "/one/slow", "rope");
        time::timeout(Duration::from_millis(60), ask)
    }))
    .await;

    // Each of these requests takes down a server or two, and is another one for the hosts.
    for host in &hosts {
        if servers.third_crash().is_none() {
            host.ask("POST", "/one/fatal", &format!("{}", servers.arrivals())).await;
        }
    }
    time::sleep(Duration::from_secs(2)).await;
    let answers = join_all(hosts.iter().map(|h| h.ask("POST", "/one/slow", "rope"))).await;

    assert!(servers.third_crash().is_some());
    assert_eq!(answers.iter().map(|a| status(a)).collect::<Vec<_>>(), [200; HOSTS]);
}

/// Guards against a crash that counts against no request because the host that was watching the
/// server has stopped.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_the_host_has_stopped_counts() {
    let registry = start_registry();
    let servers = start_late_crashing(&registry, Duration::from_millis(1_500)).await;
    let hosts = start_hosts(&registry).await;
    let _ =
        time::timeout(Duration::from_millis(80), hosts[0].ask("POST", "/one/fatal", "rope")).await;

    let lifecycle = hosts[0].lifecycle.clone();
    tokio::spawn(async move { lifecycle.stop(Duration::from_secs(10)).await });
    until(|| !hosts[0].lifecycle.is_ready()).await;
    watch::hand_over(&hosts[0].core).await;
    let handed_over = hosts[0].core.watches.is_empty();

    until(|| servers.arrivals() > 0).await;
    let (core, now) = (&hosts[1].core, hosts[1].core.now());
    let is_known = || !core.state().crashes.records(now).is_empty();
    let known = time::timeout(KNOWN_WITHIN, until(is_known)).await;
    assert!(handed_over);
    assert!(known.is_ok());
}

/// Guards against a crash that counts against no request because the connection broke while the
/// server was sound, and the server went on executing the request.
#[tokio::test(flavor = "multi_thread")]
async fn crash_after_the_connection_has_broken_counts() {
    let registry = start_registry();
    let servers = Servers::new(registry.clone());
    for number in 0..3 {
        let crashes = Crashes::AfterClosedRequests(Duration::from_millis(600));
        servers.start("a", number, crashes).await;
    }
    let hosts = start_hosts(&registry).await;

    hosts[0].ask("POST", "/order/fatal", "rope").await;

    until(|| servers.arrivals() > 0).await;
    let (core, now) = (&hosts[1].core, hosts[1].core.now());
    let is_known = || !core.state().crashes.records(now).is_empty();
    assert!(time::timeout(KNOWN_WITHIN, until(is_known)).await.is_ok());
}
