//! Simulated platform: key-value store and host list over HTTP, in memory.

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
use chervil_platform::MAX_VALUE_BYTES;
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

/// Upper bound on `wait_ms` of a watch; longer waits are shortened to it.
const MAX_WATCH_WAIT: Duration = Duration::from_secs(60);

message! {
    /// Faults injected into the platform.
    #[derive(Default, Eq)]
    #[serde(default, deny_unknown_fields)]
    pub struct PlatformFaults {
        /// Resets all connections and refuses new ones.
        pub down: bool,
        /// Delay of every call, in milliseconds.
        pub slow_ms: u64,
        /// Number of following writes that take effect and get no response.
        pub lost_replies: u32,
        /// Number of following writes that take no effect and get no response.
        pub lost_requests: u32,
        /// Reads return the value of each key before its last write.
        pub stale_reads: bool,
        /// Watches never report a change.
        pub silent_watches: bool,
        /// The host list does not follow the `hosts` command until the fault ends.
        pub lagging_hosts: bool,
    }

    /// Response to a successful write.
    #[derive(Eq)]
    pub struct WriteReply {
        /// Revision that the write created.
        pub revision: Revision,
    }

    /// Response to a write whose expected revision did not match.
    #[derive(Eq)]
    pub struct ConflictReply {
        /// Current revision of the key; 0 if it is absent.
        pub current: Revision,
    }
}

/// The simulated platform: store, host list and their faults.
#[derive(Debug)]
pub struct Platform {
    state: Mutex<State>,
    /// Wakes watches after a write or a change of the faults.
    changed: Notify,
    listener: ListenerControl,
}

#[derive(Debug, Default)]
struct State {
    faults: PlatformFaults,
    /// Revision of the last write; all keys share one sequence.
    revision: Revision,
    values: BTreeMap<Box<str>, Versioned>,
    /// Values before the last write, for `stale_reads`.
    previous: BTreeMap<Box<str>, Option<Versioned>>,
    /// Hosts that the host list returns; lags behind `hosts` under
    /// `lagging_hosts`.
    listed: Vec<ListedHost>,
    hosts: Vec<ListedHost>,
    stats: PlatformStats,
}

enum WriteOp {
    Put(Box<str>),
    Delete,
}

impl Platform {
    /// A platform with an empty store and a list of `hosts`.
    pub fn new(hosts: Vec<ListedHost>) -> Arc<Platform> {
        let state = State { listed: hosts.clone(), hosts, ..State::default() };
        Arc::new(Platform {
            state: Mutex::new(state),
            changed: Notify::new(),
            listener: ListenerControl::default(),
        })
    }

    /// Starts to listen on `address`.
    pub async fn listen(self: &Arc<Platform>, address: SocketAddr) -> io::Result<HttpServer> {
        let handler = PlatformHandler { platform: self.clone() };
        HttpServer::start(address, self.listener.clone(), Arc::new(handler)).await
    }

    /// Counters since the last reset.
    pub fn stats(&self) -> PlatformStats {
        self.lock().stats.clone()
    }

    /// Resets the counters except the gauge `waiting`.
    pub fn reset_stats(&self) {
        let mut state = self.lock();
        let waiting = state.stats.waiting;
        state.stats = PlatformStats { waiting, ..PlatformStats::default() };
    }

    /// Executes a command of the control port: `faults` or `hosts`.
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

    /// Replaces all faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let down = faults.down;
        let mut state = self.lock();
        if !faults.lagging_hosts {
            state.listed = state.hosts.clone();
        }
        state.faults = faults;
        drop(state);
        self.listener.set_mode(if down { ListenMode::Down } else { ListenMode::Up });
        if down {
            self.listener.reset_connections();
        }
        self.changed.notify_waiters();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn write(&mut self, key: &str, expected: Revision, op: WriteOp) -> HttpResponse {
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
        self.previous.insert(key.into(), self.values.get(key).cloned());
        match op {
            WriteOp::Put(value) => {
                let entry = Versioned { key: key.into(), value, revision };
                self.values.insert(key.into(), entry);
            }
            WriteOp::Delete => {
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
            && let Some(previous) = self.previous.get(key)
        {
            return previous.clone();
        }
        self.values.get(key).cloned()
    }
}

struct PlatformHandler {
    platform: Arc<Platform>,
}

#[async_trait]
impl Handler for PlatformHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let delay_ms = self.platform.lock().faults.slow_ms;
        if delay_ms > 0 {
            time::sleep(Duration::from_millis(delay_ms)).await;
        }
        let key = request.path.strip_prefix("/kv/").map(percent_decode);
        match (&request.method, key) {
            (&Method::GET, Some(key)) => match request.query_param("after") {
                Some(after) => self.watch(&key, after, &request).await,
                None => self.get(&key),
            },
            (&Method::PUT, Some(key)) => self.put(&key, &request),
            (&Method::DELETE, Some(key)) => self.delete(&key, &request),
            (&Method::GET, None) if &*request.path == "/list" => self.list(&request),
            (&Method::GET, None) if &*request.path == "/hosts" => self.hosts(),
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

    fn put(&self, key: &str, request: &HttpRequest) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.puts += 1;
        if request.body.len() > MAX_VALUE_BYTES {
            return HttpResponse::Empty(StatusCode::PAYLOAD_TOO_LARGE);
        }
        let Some(expected) = expected_revision(request) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let Ok(value) = std::str::from_utf8(&request.body) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let response = state.write(key, expected, WriteOp::Put(value.into()));
        drop(state);
        self.platform.changed.notify_waiters();
        response
    }

    fn delete(&self, key: &str, request: &HttpRequest) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.deletes += 1;
        let Some(expected) = expected_revision(request) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let response = state.write(key, expected, WriteOp::Delete);
        drop(state);
        self.platform.changed.notify_waiters();
        response
    }

    async fn watch(&self, key: &str, after: &str, request: &HttpRequest) -> HttpResponse {
        let wait = request.query_param("wait_ms").and_then(|w| w.parse().ok());
        let (Ok(after), Some(wait)) = (after.parse::<Revision>(), wait) else {
            return HttpResponse::Empty(StatusCode::BAD_REQUEST);
        };
        let deadline = time::Instant::now() + Duration::from_millis(wait).min(MAX_WATCH_WAIT);
        let _guard = WatchGuard::new(&self.platform);
        loop {
            let changed = self.platform.changed.notified();
            tokio::pin!(changed);
            // Registers before the read, so that a change between the read and the
            // wait is not missed.
            changed.as_mut().enable();
            {
                let state = self.platform.lock();
                let found = state.values.get(key).filter(|v| v.revision != after);
                if let Some(found) = found.filter(|_| !state.faults.silent_watches) {
                    return HttpResponse::json(StatusCode::OK, found);
                }
            }
            if time::timeout_at(deadline, changed).await.is_err() {
                return HttpResponse::Empty(StatusCode::NO_CONTENT);
            }
        }
    }

    fn list(&self, request: &HttpRequest) -> HttpResponse {
        let mut state = self.platform.lock();
        state.stats.lists += 1;
        let prefix = percent_decode(request.query_param("prefix").unwrap_or_default());
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
struct WatchGuard<'a>(&'a Platform);

impl<'a> WatchGuard<'a> {
    fn new(platform: &'a Platform) -> WatchGuard<'a> {
        let mut state = platform.lock();
        state.stats.watches += 1;
        state.stats.waiting += 1;
        WatchGuard(platform)
    }
}

impl Drop for WatchGuard<'_> {
    fn drop(&mut self) {
        self.0.lock().stats.waiting -= 1;
    }
}

fn expected_revision(request: &HttpRequest) -> Option<Revision> {
    request.query_param("if_revision")?.parse().ok()
}

/// Decodes percent escapes; invalid ones stay as they are.
fn percent_decode(text: &str) -> Box<str> {
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
