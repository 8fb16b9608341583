//! Fixtures: scripted backend servers on loopback addresses, a scripted in-memory
//! registry and a host that serves callers.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

pub mod exchange;
pub mod replica;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::clock::SystemClock;
use chervil_front::core::Core;
use chervil_front::journal::Journal;
use chervil_front::links;
use chervil_front::listen;
use chervil_front::listen::Lifecycle;
use chervil_front::logs::LogLimiter;
use chervil_front::metrics::Metrics;
use chervil_front::names::HeaderNames;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::Registration;
use chervil_front::registry::Registry;
use chervil_front::registry::RegistryError;
use chervil_front::state::Bounds;
use chervil_front::state::State;
use chervil_front::watch;
use chervil_route::budget::RetryLimit;
use chervil_route::config::Config;
use chervil_route::config::Gather;
use chervil_route::config::Limits;
use chervil_route::config::Route;
use chervil_route::config::Service;
use chervil_route::config::Target;
use chervil_route::crashes::CrashRecord;
use chervil_route::fleet::BackendEntry;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use chervil_route::relay::Location;
use chervil_route::server_pause::DEFAULT_MAX_PAUSE;
use chervil_route::warmup::WarmupLimit;
use hyper::header::HeaderName;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

/// How a scripted backend server handles one request.
#[derive(Clone, Debug)]
pub enum Step {
    /// Sends this text, with `{id}` replaced by the request id.
    Reply(String),
    /// Sends this text after a delay in milliseconds.
    ReplyAfter(u64, String),
    /// Sends this text and closes the connection.
    ReplyAndClose(String),
    /// Sends this text and resets the connection once it has arrived.
    ReplyAndReset(String),
    /// Resets the connection.
    Reset,
    /// Never replies; waits for the host to close the connection.
    NeverReply,
}

/// A backend server that handles each request by the next step of a script. The
/// last step is repeated.
#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    received: Arc<Mutex<Vec<String>>>,
    abandoned: Arc<Mutex<u32>>,
}

impl Backend {
    pub async fn start(script: Vec<Step>) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Backend {
            address: listener.local_addr().unwrap(),
            received: Arc::default(),
            abandoned: Arc::default(),
        };
        let script = Arc::new(Mutex::new(script));
        let served = backend.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(served.clone().serve(stream, script.clone()));
            }
        });
        backend
    }

    /// Received requests, as text.
    pub fn received(&self) -> Vec<String> {
        self.received.lock().unwrap().clone()
    }

    /// Number of connections that the host closed while it waited for a reply.
    pub fn abandoned(&self) -> u32 {
        *self.abandoned.lock().unwrap()
    }

    async fn serve(self, mut stream: TcpStream, script: Arc<Mutex<Vec<Step>>>) {
        while let Some(request) = read_message(&mut stream).await {
            let id = header(&request, "x-id").unwrap_or_default();
            self.received.lock().unwrap().push(request);
            let step = {
                let mut script = script.lock().unwrap();
                if script.len() > 1 { script.remove(0) } else { script[0].clone() }
            };
            match step {
                Step::Reply(text) => write(&mut stream, &text, &id).await,
                Step::ReplyAfter(ms, text) => {
                    time::sleep(Duration::from_millis(ms)).await;
                    write(&mut stream, &text, &id).await;
                }
                Step::ReplyAndClose(text) => {
                    write(&mut stream, &text, &id).await;
                    return;
                }
                Step::ReplyAndReset(text) => {
                    write(&mut stream, &text, &id).await;
                    time::sleep(Duration::from_millis(20)).await;
                    reset(&stream);
                    return;
                }
                Step::Reset => {
                    reset(&stream);
                    return;
                }
                Step::NeverReply => {
                    let mut rest = [0; 1];
                    let _ = stream.read(&mut rest).await;
                    *self.abandoned.lock().unwrap() += 1;
                    return;
                }
            }
        }
    }
}

/// Starts a backend server that resets every connection 1 ms after accepting it,
/// as a real one does above its connection limit, and returns its address. Only
/// for tests with paused time: there the timer with which the host checks new
/// connections for a reset fires after this one.
pub async fn start_connection_limited() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            time::sleep(Duration::from_millis(1)).await;
            reset(&stream);
        }
    });
    address
}

/// Starts a backend server that crashes on the first request that it reads: it
/// closes its port and resets the connection. Returns its address.
pub async fn start_crashing() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        drop(listener);
        read_message(&mut stream).await;
        reset(&stream);
    });
    address
}

fn reset(stream: &TcpStream) {
    #[expect(deprecated, reason = "a zero linger time makes the close send a reset")]
    stream.set_linger(Some(Duration::ZERO)).unwrap();
}

pub async fn write(stream: &mut TcpStream, text: &str, id: &str) {
    let _ = stream.write_all(text.replace("{id}", id).as_bytes()).await;
}

/// Reads one HTTP message, whose body must have a `content-length` if it has one.
/// `None` at the end of the stream.
pub async fn read_message(stream: &mut TcpStream) -> Option<String> {
    let mut text = Vec::new();
    loop {
        let mut byte = [0];
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        text.push(byte[0]);
        if text.ends_with(b"\r\n\r\n") {
            break;
        }
    }
    let head = String::from_utf8(text).unwrap();
    let length = header(&head, "content-length").and_then(|l| l.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some(head + &String::from_utf8_lossy(&body))
}

/// Value of a header of a message.
pub fn header(message: &str, name: &str) -> Option<String> {
    let lines = message.split("\r\n").skip(1).take_while(|l| !l.is_empty());
    let mut pairs = lines.filter_map(|l| l.split_once(':'));
    pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string())
}

/// A complete reply with a response stamp.
pub fn reply(status: u16, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nx-id: {{id}}\r\nx-stamp: s-{status}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// A reply stating that the request was not executed.
pub fn refusal() -> String {
    "HTTP/1.1 503 Full\r\nx-refused: 1\r\ncontent-length: 0\r\n\r\n".into()
}

pub fn names() -> HeaderNames {
    HeaderNames {
        request_id: HeaderName::from_static("x-id"),
        deadline: HeaderName::from_static("x-deadline"),
        stamp: HeaderName::from_static("x-stamp"),
        expected_id: HeaderName::from_static("x-expect"),
        load: HeaderName::from_static("x-load"),
        refused: HeaderName::from_static("x-refused"),
        limit: HeaderName::from_static("x-limit"),
        leaving: HeaderName::from_static("x-leaving"),
        warmup: HeaderName::from_static("x-warmup"),
        part_stamps: HeaderName::from_static("x-parts"),
        missing_parts: HeaderName::from_static("x-missing"),
    }
}

pub fn entry(id: &str, service: &str, address: SocketAddr) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        service: service.into(),
        address,
        zone: "north".into(),
        slots: 4,
        draining: false,
        warmup_left: Duration::ZERO,
        started_at_ms: None,
    }
}

pub fn route(prefix: &str, target: Target, idempotent: bool) -> Route {
    Route {
        name: prefix.into(),
        hostname: "shop.example".into(),
        prefix: prefix.into(),
        target,
        idempotent,
        timeout: Duration::from_secs(2),
        latency_target: Duration::from_millis(400),
        max_attempts: 2,
        priority: 1,
    }
}

pub fn gather(shards: &[&str], min_coverage: f64) -> Target {
    let shards = shards.iter().map(|s| Box::from(*s)).collect();
    Target::Gather(Gather { shards, top_k: 2, min_coverage })
}

pub fn config(version: u64, routes: Vec<Route>) -> Config {
    let service = Service { max_connections: 120, cold_rate: 0.0 };
    let services = ["a", "b", "c", "quote"].map(|s| (Box::from(s), service));
    let limits = Limits {
        max_head_bytes: 16_384,
        max_body_bytes: 1_000,
        idle_timeout: Duration::from_secs(15),
    };
    Config { version, routes, services: HashMap::from_iter(services), limits }
}

pub const BOUNDS: Bounds = Bounds {
    retry_limit: RetryLimit { ratio: 0.2, slack: 104.0, window: Duration::from_secs(10) },
    warmup_limit: WarmupLimit { overshoot: 1.5, slack: 5.0 },
    max_pause: DEFAULT_MAX_PAUSE,
};

pub fn location() -> Location {
    Location { zone: "north".into(), region_zones: HashSet::from_iter(["east".into()]) }
}

/// Bounds that allow no extra request to any service.
pub fn bounds_without_retries() -> Bounds {
    let retry_limit = RetryLimit { ratio: 0.0, slack: 0.0, ..BOUNDS.retry_limit };
    Bounds { retry_limit, ..BOUNDS }
}

pub fn core() -> Arc<Core> {
    core_with(BOUNDS)
}

pub fn core_with(bounds: Bounds) -> Arc<Core> {
    let peers = PeerTable::new("own".into(), 10);
    let state = State::new(location(), bounds, 12, peers, SmallRng::seed_from_u64(1));
    let clock = Arc::new(SystemClock);
    Arc::new(Core::new(names(), LogLimiter::default(), Metrics::default(), clock, state))
}

/// A host that serves callers with a fixed configuration and fixed backend servers.
pub struct TestHost {
    pub core: Arc<Core>,
    pub lifecycle: Arc<Lifecycle>,
    pub address: SocketAddr,
}

pub async fn start_host(routes: Vec<Route>, entries: Vec<BackendEntry>) -> TestHost {
    start_host_with(core(), routes, entries).await
}

pub async fn start_host_with(
    core: Arc<Core>,
    routes: Vec<Route>,
    entries: Vec<BackendEntry>,
) -> TestHost {
    let now = core.now();
    core.state().adopt(config(1, routes));
    for entry in entries {
        core.state().fleet.upsert(entry, now);
    }
    let lifecycle = Arc::new(Lifecycle::default());
    lifecycle.start_serving();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(listen::serve(listener, core.clone(), lifecycle.clone()));
    tokio::spawn(links::watch(core.clone()));
    tokio::spawn(watch::run(core.clone()));
    TestHost { core, lifecycle, address }
}

impl TestHost {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends a request on a new connection and returns the answer as text.
    pub async fn ask(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = self.connect().await;
        send_request(&mut stream, method, path, body).await;
        read_message(&mut stream).await.unwrap()
    }
}

pub async fn send_request(stream: &mut TcpStream, method: &str, path: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: 1500\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

/// A registry that answers calls from lists of results. The last one of a list is
/// repeated.
#[derive(Default)]
pub struct ScriptedRegistry {
    pub lists: Mutex<Vec<Result<Changes, RegistryError>>>,
    pub changes: Mutex<Vec<Result<Changes, RegistryError>>>,
    pub calls: Mutex<u32>,
    /// Number of `register` calls.
    pub registered: Mutex<u32>,
    /// Records passed to `record_crashes`.
    pub crashes: Mutex<Vec<CrashRecord>>,
    /// Leases passed to `renew`.
    pub renewed: Mutex<Vec<u64>>,
}

fn next_result(
    results: &Mutex<Vec<Result<Changes, RegistryError>>>,
) -> Result<Changes, RegistryError> {
    let mut results = results.lock().unwrap();
    if results.len() > 1 { results.remove(0) } else { results[0].clone() }
}

#[async_trait]
impl Registry for ScriptedRegistry {
    async fn list(&self) -> Result<Changes, RegistryError> {
        *self.calls.lock().unwrap() += 1;
        next_result(&self.lists)
    }

    async fn changes(&self, _revision: u64, wait: Duration) -> Result<Changes, RegistryError> {
        *self.calls.lock().unwrap() += 1;
        time::sleep(wait / 10).await;
        next_result(&self.changes)
    }

    async fn register(
        &self,
        _host: &str,
        _peer: &Peer,
        _ttl: Duration,
    ) -> Result<Registration, RegistryError> {
        *self.registered.lock().unwrap() += 1;
        Ok(Registration { lease: 1 })
    }

    async fn record_crashes(
        &self,
        records: &[CrashRecord],
        _ttl: Duration,
    ) -> Result<(), RegistryError> {
        self.crashes.lock().unwrap().extend_from_slice(records);
        Ok(())
    }

    async fn renew(&self, registration: Registration) -> Result<(), RegistryError> {
        self.renewed.lock().unwrap().push(registration.lease);
        Ok(())
    }
}

/// The journal of another process than all other journals.
pub fn journal() -> Arc<Journal> {
    static BOOT: AtomicU64 = AtomicU64::new(1);
    Arc::new(Journal::new(BOOT.fetch_add(1, Ordering::Relaxed)))
}

/// Polls a condition every 5 ms until it holds. Has no timeout.
pub async fn until<Holds>(holds: Holds)
where
    Holds: Fn() -> bool,
{
    while !holds() {
        time::sleep(Duration::from_millis(5)).await;
    }
}

/// A complete reply with a response stamp that names a rate limit.
pub fn limited_reply(limit: &str, body: &str) -> String {
    reply(200, body).replace("x-stamp", &format!("x-limit: {limit}\r\nx-stamp"))
}

/// Address of servers and hosts that are never called.
pub const ADDRESS: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

pub fn peer(address: SocketAddr, cpu_millicores: u32) -> Peer {
    Peer { address, cpu_millicores, zone: "north".into(), lease: 0, format: FORMAT }
}

pub fn server(id: &str) -> Event {
    Event::Server(Box::new(entry(id, "quote", ADDRESS)))
}

pub fn configuration(version: u64) -> Event {
    let routes = vec![route("/q/", Target::One("quote".into()), false)];
    Event::Config(Box::new(config(version, routes)))
}
