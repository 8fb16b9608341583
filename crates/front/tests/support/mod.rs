//! Stand-ins of the front's tests: backend servers that follow a script, a
//! registry in memory, and a host between them.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::HashMap;
use chervil_base::clock::SystemClock;
use chervil_front::core::Core;
use chervil_front::journal::Journal;
use chervil_front::listen;
use chervil_front::listen::Lifecycle;
use chervil_front::logs::Log;
use chervil_front::metrics::Metrics;
use chervil_front::names::HeaderNames;
use chervil_front::registry::Changes;
use chervil_front::registry::Presence;
use chervil_front::registry::Registry;
use chervil_front::registry::RegistryError;
use chervil_front::state::Bounds;
use chervil_front::state::State;
use chervil_route::budget::Allowance;
use chervil_route::config::Config;
use chervil_route::config::Gather;
use chervil_route::config::Limits;
use chervil_route::config::Route;
use chervil_route::config::Service;
use chervil_route::config::Target;
use chervil_route::fleet::Entry;
use chervil_route::sources::Peer;
use chervil_route::sources::Sources;
use chervil_route::warmup::WarmupLimit;
use hyper::header::HeaderName;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

/// What a scripted backend server does with one request.
#[derive(Clone, Debug)]
pub enum Act {
    /// Sends these bytes; `{id}` stands for the request's id.
    Send(String),
    /// Sends these bytes after a while.
    Late(u64, String),
    /// Sends these bytes and closes the connection.
    SendAndClose(String),
    /// Resets the connection.
    Reset,
    /// Never answers.
    Silence,
}

/// A backend server that follows a script; the last act is repeated.
#[derive(Clone)]
pub struct Backend {
    pub address: SocketAddr,
    seen: Arc<Mutex<Vec<String>>>,
    closed: Arc<Mutex<u32>>,
}

impl Backend {
    pub async fn start(script: Vec<Act>) -> Backend {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let backend = Backend {
            address: listener.local_addr().unwrap(),
            seen: Arc::default(),
            closed: Arc::default(),
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

    /// Requests that arrived, as text.
    pub fn seen(&self) -> Vec<String> {
        self.seen.lock().unwrap().clone()
    }

    /// Connections that the host closed.
    pub fn closed(&self) -> u32 {
        *self.closed.lock().unwrap()
    }

    async fn serve(self, mut stream: TcpStream, script: Arc<Mutex<Vec<Act>>>) {
        while let Some(request) = read_message(&mut stream).await {
            let id = header(&request, "x-id").unwrap_or_default();
            self.seen.lock().unwrap().push(request);
            let act = {
                let mut script = script.lock().unwrap();
                if script.len() > 1 { script.remove(0) } else { script[0].clone() }
            };
            match act {
                Act::Send(text) => write(&mut stream, &text, &id).await,
                Act::Late(ms, text) => {
                    time::sleep(Duration::from_millis(ms)).await;
                    write(&mut stream, &text, &id).await;
                }
                Act::SendAndClose(text) => {
                    write(&mut stream, &text, &id).await;
                    return;
                }
                Act::Reset => {
                    reset(&stream);
                    return;
                }
                Act::Silence => {
                    let mut rest = [0; 1];
                    let _ = stream.read(&mut rest).await;
                    *self.closed.lock().unwrap() += 1;
                    return;
                }
            }
        }
    }
}

/// Address of a backend server that resets every connection soon after it was
/// opened, as one beyond its limit of connections does. For tests with paused
/// time, in which the host's timer for new connections fires after this one.
pub async fn crowded() -> SocketAddr {
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

/// Address of a backend server that crashes by the first request that it reads.
pub async fn crashing() -> SocketAddr {
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
    #[expect(deprecated, reason = "a reset is what is tested")]
    stream.set_linger(Some(Duration::ZERO)).unwrap();
}

async fn write(stream: &mut TcpStream, text: &str, id: &str) {
    let _ = stream.write_all(text.replace("{id}", id).as_bytes()).await;
}

/// Reads a message with a length, or without a body.
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

/// A header of a message, by its name in lower case.
pub fn header(message: &str, name: &str) -> Option<String> {
    let lines = message.split("\r\n").skip(1).take_while(|l| !l.is_empty());
    let mut pairs = lines.filter_map(|l| l.split_once(':'));
    pairs.find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, v)| v.trim().to_string())
}

/// A whole reply with proof.
pub fn reply(status: u16, body: &str) -> String {
    let length = body.len();
    format!(
        "HTTP/1.1 {status} X\r\nx-id: {{id}}\r\nx-stamp: s-{status}\r\ncontent-length: {length}\r\n\r\n{body}"
    )
}

/// A reply that says that the request was not run.
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
        warmup: HeaderName::from_static("x-warmup"),
        part_stamps: HeaderName::from_static("x-parts"),
        missing_parts: HeaderName::from_static("x-missing"),
    }
}

pub fn entry(id: &str, service: &str, address: SocketAddr) -> Entry {
    Entry {
        id: id.into(),
        service: service.into(),
        address,
        zone: "north".into(),
        slots: 4,
        draining: false,
        warmup: Duration::ZERO,
        born: None,
    }
}

pub fn route(prefix: &str, target: Target, idempotent: bool) -> Route {
    Route {
        name: prefix.into(),
        host: "shop.example".into(),
        prefix: prefix.into(),
        target,
        idempotent,
        timeout: Duration::from_secs(2),
        aim: Duration::from_millis(400),
        attempts: 2,
        priority: 1,
    }
}

pub fn gather(shards: &[&str], least: f64) -> Target {
    let shards = shards.iter().map(|s| Box::from(*s)).collect();
    Target::Gather(Gather { shards, top: 2, least })
}

pub fn config(version: u64, routes: Vec<Route>) -> Config {
    let service = Service { connections: 120, cold_rate: 0.0 };
    let services = ["a", "b", "c", "quote"].map(|s| (Box::from(s), service));
    let limits = Limits { head: 16_384, body: 1_000, idle: Duration::from_secs(15) };
    Config { version, routes, services: HashMap::from_iter(services), limits }
}

pub const BOUNDS: Bounds = Bounds {
    allowance: Allowance { ratio: 0.2, slack: 104.0, window: Duration::from_secs(10) },
    warmup: WarmupLimit { overshoot: 1.5, slack: 5.0 },
};

pub fn core() -> Arc<Core> {
    let sources = Sources::new("own".into());
    let state = State::new("north".into(), BOUNDS, 12, sources, SmallRng::seed_from_u64(1));
    let clock = Arc::new(SystemClock);
    Arc::new(Core::new(names(), Log::default(), Metrics::default(), clock, state))
}

/// A host with a configuration and backend servers.
pub struct Host {
    pub core: Arc<Core>,
    pub lifecycle: Arc<Lifecycle>,
    pub address: SocketAddr,
}

pub async fn host(routes: Vec<Route>, entries: Vec<Entry>) -> Host {
    let core = core();
    let now = core.now();
    core.state().adopt(config(1, routes));
    for entry in entries {
        core.state().fleet.upsert(entry, now);
    }
    let lifecycle = Arc::new(Lifecycle::default());
    lifecycle.begin();
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(listen::serve(listener, core.clone(), lifecycle.clone()));
    Host { core, lifecycle, address }
}

impl Host {
    pub async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.unwrap()
    }

    /// Sends a request on a new connection and reads the answer.
    pub async fn ask(&self, method: &str, path: &str, body: &str) -> String {
        let mut stream = self.connect().await;
        send(&mut stream, method, path, body).await;
        read_message(&mut stream).await.unwrap()
    }
}

pub async fn send(stream: &mut TcpStream, method: &str, path: &str, body: &str) {
    let length = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nhost: shop.example\r\nx-id: r-1\r\nx-deadline: 1500\r\ncontent-length: {length}\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes()).await.unwrap();
}

pub fn status(answer: &str) -> u16 {
    answer.split(' ').nth(1).unwrap().parse().unwrap()
}

/// A registry that answers from a script of results; the last one is repeated.
#[derive(Default)]
pub struct Script {
    pub lists: Mutex<Vec<Result<Changes, RegistryError>>>,
    pub changes: Mutex<Vec<Result<Changes, RegistryError>>>,
    pub calls: Mutex<u32>,
    /// Times that the host announced itself.
    pub announced: Mutex<u32>,
    /// Leases that were renewed.
    pub renewed: Mutex<Vec<u64>>,
}

fn next(results: &Mutex<Vec<Result<Changes, RegistryError>>>) -> Result<Changes, RegistryError> {
    let mut results = results.lock().unwrap();
    if results.len() > 1 { results.remove(0) } else { results[0].clone() }
}

#[async_trait]
impl Registry for Script {
    async fn list(&self) -> Result<Changes, RegistryError> {
        *self.calls.lock().unwrap() += 1;
        next(&self.lists)
    }

    async fn changes(&self, _revision: u64, wait: Duration) -> Result<Changes, RegistryError> {
        *self.calls.lock().unwrap() += 1;
        time::sleep(wait / 10).await;
        next(&self.changes)
    }

    async fn announce(
        &self,
        _host: &str,
        _peer: Peer,
        _ttl: Duration,
    ) -> Result<Presence, RegistryError> {
        *self.announced.lock().unwrap() += 1;
        Ok(Presence { lease: 1 })
    }

    async fn renew(&self, presence: Presence) -> Result<(), RegistryError> {
        self.renewed.lock().unwrap().push(presence.lease);
        Ok(())
    }
}

pub fn journal() -> Arc<Journal> {
    Arc::new(Journal::new(1))
}

/// Waits until a condition holds; the test fails by its own timeout otherwise.
pub async fn until<Holds>(holds: Holds)
where
    Holds: Fn() -> bool,
{
    while !holds() {
        time::sleep(Duration::from_millis(5)).await;
    }
}
