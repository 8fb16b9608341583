//! Simulated platform: key-value store and host list over HTTP.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::message;
use chervil_platform::ListedHost;
use chervil_platform::MAX_VALUE;
use chervil_platform::Revision;
use chervil_platform::Versioned;
use hyper::Method;
use hyper::StatusCode;
use tokio::sync::Notify;
use tokio::time;

use crate::control::CommandSnafu;
use crate::control::ControlError;
use crate::control::parse;
use crate::control::patch;
use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::HttpResponse;
use crate::http::HttpServer;
use crate::http::ListenMode;
use crate::http::ListenerControl;
use crate::stats::PlatformStats;

/// Longest wait of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

message! {
    /// Faults of the platform.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// The store and the host list do not listen.
        pub down: bool,
        /// Every call takes this long, in milliseconds.
        pub slow_ms: u64,
        /// Replies to this many of the next writes are lost after the effect.
        pub lost_replies: u32,
        /// This many of the next writes are lost before the effect.
        pub lost_requests: u32,
        /// Reads return the values from before the last write of each key.
        pub stale_reads: bool,
        /// Watches never report a change.
        pub silent_watches: bool,
        /// The host list stays as it is, whatever `hosts` sets.
        pub lagging_hosts: bool,
    }

    /// Revision after a write.
    #[derive(Eq)]
    pub struct WriteReply {
        /// Revision of the key.
        pub revision: Revision,
    }

    /// Revision that a refused write would have had to name.
    #[derive(Eq)]
    pub struct ConflictReply {
        /// Revision of the key; 0 when it is absent.
        pub current: Revision,
    }
}

/// The simulated platform.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    changed: Notify,
    port: ListenerControl,
}

#[derive(Debug, Default)]
struct State {
    faults: PlatformFaults,
    revision: Revision,
    values: BTreeMap<Box<str>, Versioned>,
    before: BTreeMap<Box<str>, Option<Versioned>>,
    listed: Vec<ListedHost>,
    hosts: Vec<ListedHost>,
    stats: PlatformStats,
}

/// Kind of a write.
enum Effect {
    Put(Box<str>),
    Delete,
}

impl Platform {
    /// A platform with an empty store.
    pub fn new(hosts: Vec<ListedHost>) -> Arc<Platform> {
        let state = State { listed: hosts.clone(), hosts, ..State::default() };
        Arc::new(Platform {
            state: Mutex::new(state),
            changed: Notify::new(),
            port: ListenerControl::default(),
        })
    }

    /// Listens on `address`.
    pub async fn listen(self: &Arc<Platform>, address: SocketAddr) -> io::Result<HttpServer> {
        let handler = PlatformHandler { platform: self.clone() };
        HttpServer::start(address, self.port.clone(), Arc::new(handler)).await
    }

    /// Counters since the last reset.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats.clone()
    }

    /// Sets the counters to zero; waiting watches stay counted.
    pub fn reset_stats(&self) {
        let mut state = self.lock();
        let waiting = state.stats.waiting;
        state.stats = PlatformStats { waiting, ..PlatformStats::default() };
    }

    /// Runs a command of the control port.
    pub fn apply(&self, command: &str, body: &[u8]) -> Result<(), ControlError> {
        match command {
            "faults" => {
                let faults = patch(&self.lock().faults, body)?;
                self.set_faults(faults);
            }
            "hosts" => {
                let mut state = self.lock();
                state.hosts = parse(body)?;
                if !state.faults.lagging_hosts {
                    state.listed = state.hosts.clone();
                }
            }
            _ => return CommandSnafu { command }.fail(),
        }
        Ok(())
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let down = faults.down;
        let mut state = self.lock();
        if !faults.lagging_hosts {
            state.listed = state.hosts.clone();
        }
        state.faults = faults;
        drop(state);
        self.port.set_mode(if down { ListenMode::Down } else { ListenMode::Up });
        if down {
            self.port.reset_connections();
        }
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, key: &str, expected: Revision, effect: Effect) -> HttpResponse {
        if self.faults.lost_requests > 0 {
            self.faults.lost_requests -= 1;
            return HttpResponse::Close;
        }
        let current = self.values.get(key).map_or(0, |v| v.revision);
        if current != expected {
            self.stats.conflicts += 1;
            return HttpResponse::json(StatusCode::CONFLICT, &ConflictReply { current });
        }
        self.revision += 1;
        let revision = self.revision;
        self.before.insert(key.into(), self.values.get(key).cloned());
        match effect {
            Effect::Put(value) => {
                let entry = Versioned { key: key.into(), value, revision };
                self.values.insert(key.into(), entry);
            }
            Effect::Delete => {
                self.values.remove(key);
            }
        }
        if self.faults.lost_replies > 0 {
            self.faults.lost_replies -= 1;
            return HttpResponse::Close;
        }
        HttpResponse::json(StatusCode::OK, &WriteReply { revision })
    }

    fn read(&self, key: &str) -> Option<Versioned> {
        if self.faults.stale_reads
            && let Some(before) = self.before.get(key)
        {
            return before.clone();
        }
        self.values.get(key).cloned()
    }
}

struct PlatformHandler {
    platform: Arc<Platform>,
}

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        let slow = self.platform.lock().faults.slow_ms;
        if slow > 0 {
            time::sleep(Duration::from_millis(slow)).await;
        }
        let key = call.path.strip_prefix("/kv/").map(decode);
        match (&call.method, key) {
            (&Method::GET, Some(key)) => match call.query_param("after") {
                Some(after) => self.watch(&key, after, &call).await,
                None => self.get(&key),
            },
            (&Method::PUT, Some(key)) => self.put(&key, &call),
            (&Method::DELETE, Some(key)) => self.delete(&key, &call),
            (&Method::GET, None) if &*call.path == "/list" => self.list(&call),
            (&Method::GET, None) if &*call.path == "/hosts" => self.hosts(),
            _ => HttpResponse::Empty(StatusCode::NOT_FOUND),
        }
    }
}

impl PlatformHandler {
    fn get(&self, key: &str) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.gets += 1;
        match state.read(key) {
            Some(found) => HttpResponse::json(StatusCode::OK, &found),
            None => HttpResponse::Empty(StatusCode::NOT_FOUND),
        }
    }

    fn put(&self, key: &str, call: &HttpRequest) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.puts += 1;
        if call.body.len() > MAX_VALUE {
            return HttpResponse::Empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Some(expected) = expected(call) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let Ok(value) = std::str::from_utf8(&call.body) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let answer = state.write(key, expected, Effect::Put(value.into()));
        drop(state);
        self.platform.changed.notify_waiters();
        answer
    }

    fn delete(&self, key: &str, call: &HttpRequest) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.deletes += 1;
        let Some(expected) = expected(call) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let answer = state.write(key, expected, Effect::Delete);
        drop(state);
        self.platform.changed.notify_waiters();
        answer
    }

    async fn watch(&self, key: &str, after: &str, call: &HttpRequest) -> HttpResponse {
        let wait = call.query_param("wait_ms").and_then(|w| w.parse().ok());
        let (Ok(after), Some(wait)) = (after.parse::<Revision>(), wait) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let end = time::Instant::now() + Duration::from_millis(wait).min(MAX_WAIT);
        let _waiting = Waiting::new(&self.platform);
        loop {
            let changed = self.platform.changed.notified();
            tokio::pin!(changed);
            // A change between the read and the wait must not be missed.
            changed.as_mut().enable();
            {
                let state = self.platform.lock();
                let found = state.values.get(key).filter(|v| v.revision != after);
                if let Some(found) = found.filter(|_| !state.faults.silent_watches) {
                    return HttpResponse::json(StatusCode::OK, found);
                }
            }
            if time::timeout_at(end, changed).await.is_err() {
                return HttpResponse::Empty(StatusCode::NO_CONTENT);
            }
        }
    }

    fn list(&self, call: &HttpRequest) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.lists += 1;
        let prefix = decode(call.query_param("prefix").unwrap_or_default());
        let matching = state.values.values().filter(|v| v.key.starts_with(&*prefix));
        let keys: Vec<(&str, Revision)> = matching.map(|v| (&*v.key, v.revision)).collect();
        HttpResponse::json(StatusCode::OK, &keys)
    }

    fn hosts(&self) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.hosts += 1;
        HttpResponse::json(StatusCode::OK, &state.listed)
    }
}

/// Counts a watch as waiting until it is dropped.
struct Waiting<'a>(&'a Platform);

impl<'a> Waiting<'a> {
    fn new(platform: &'a Platform) -> Waiting<'a> {
        let mut state = platform.lock();
        state.stats.watches += 1;
        state.stats.waiting += 1;
        Waiting(platform)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.waiting -= 1;
    }
}

fn expected(call: &HttpRequest) -> Option<Revision> {
    call.query_param("if_revision")?.parse().ok()
}

/// Replaces percent escapes of a path or query.
fn decode(text: &str) -> Box<str> {
    let mut bytes = Vec::with_capacity(text.len());
    let mut rest = text.as_bytes();
    while let [first, tail @ ..] = rest {
        rest = tail;
        if let (b'%', Some(hex)) = (first, tail.get(..2))
            && let Ok(byte) = u8::from_str_radix(&String::from_utf8_lossy(hex), 16)
        {
            bytes.push(byte);
            rest = &tail[2..];
        } else {
            bytes.push(*first);
        }
    }
    String::from_utf8_lossy(&bytes).into()
}
