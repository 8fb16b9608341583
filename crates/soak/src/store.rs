//! In-memory stand-in of the platform's key-value store: ranges, watches, leases
//! and transactions over HTTP.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chervil_base::HashMap;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde_json::Value;
use serde_json::json;
use tokio::net::TcpListener;
use tokio::time;

/// Number of events kept for watches; older ones are compacted.
const MAX_EVENTS: usize = 400;

/// Interval at which a long-polling watch checks for new events.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Interval at which the store is copied.
const COPY_INTERVAL: Duration = Duration::from_millis(500);

/// Number of copies that are kept; older ones are dropped.
const MAX_COPIES: usize = 20;

/// Delay of each call while the store is slow.
const SLOW_CALL_DELAY: Duration = Duration::from_millis(300);

/// Fault of the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoreMode {
    /// No fault.
    Healthy,
    /// Every call is refused with 503.
    Unavailable,
    /// Every call is carried out, but the connection is closed without an answer.
    LostReplies,
    /// Every call is delayed by `SLOW_CALL_DELAY`.
    Slow,
}

#[derive(Debug)]
struct State {
    items: BTreeMap<String, Item>,
    /// Events with their revisions, oldest first.
    events: Vec<(u64, Value)>,
    /// Expiry and time to live of each lease, by id.
    leases: HashMap<u64, (Instant, Duration)>,
    revision: u64,
    /// Revision up to which events were dropped; a watch from before it gets 410.
    compact_revision: u64,
    mode: StoreMode,
    /// Number of times that the store was restored from a copy, plus one.
    era: u64,
    /// Copies, oldest first.
    copies: VecDeque<Copy>,
    /// Writes and deletions of operators and backend servers, with their times.
    outside_writes: Vec<(Instant, String, Option<Value>)>,
}

/// A copy of the store.
#[derive(Debug)]
struct Copy {
    taken_at: Instant,
    items: BTreeMap<String, Item>,
    leases: HashMap<u64, (Instant, Duration)>,
    revision: u64,
}

#[derive(Clone, Debug)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    /// Lease that the item expires with; 0 for none.
    lease: u64,
}

/// Handle on the store; clones share its data.
#[derive(Clone, Debug)]
pub struct Store {
    state: Arc<Mutex<State>>,
}

impl Store {
    /// Starts a store on a free loopback port and returns its address.
    pub async fn start() -> std::io::Result<(Store, SocketAddr)> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let state = State {
            items: BTreeMap::new(),
            events: Vec::new(),
            leases: HashMap::default(),
            revision: 1,
            compact_revision: 1,
            mode: StoreMode::Healthy,
            era: 1,
            copies: VecDeque::new(),
            outside_writes: Vec::new(),
        };
        let store = Store { state: Arc::new(Mutex::new(state)) };
        tokio::spawn(store.clone().take_copies());
        let server = store.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let store = server.clone();
                let service = service_fn(move |r| store.clone().handle(r));
                let mut builder = http1::Builder::new();
                builder.header_read_timeout(None);
                tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
            }
        });
        Ok((store, address))
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Writes a value without a lease, bypassing the store's faults.
    pub fn put(&self, key: &str, value: &Value) {
        let mut state = self.lock();
        state.write(key, value.to_string().into_bytes(), 0);
        state.outside_writes.push((Instant::now(), key.into(), Some(value.clone())));
    }

    /// Deletes a value, bypassing the store's faults.
    pub fn delete(&self, key: &str) {
        let mut state = self.lock();
        state.delete(key);
        state.outside_writes.push((Instant::now(), key.into(), None));
    }

    async fn take_copies(self) {
        loop {
            {
                let mut state = self.lock();
                let (items, leases) = (state.items.clone(), state.leases.clone());
                let (taken_at, revision) = (Instant::now(), state.revision);
                state.copies.push_back(Copy { taken_at, items, leases, revision });
                if state.copies.len() > MAX_COPIES {
                    state.copies.pop_front();
                }
                // Writes before the oldest copy are never lost.
                let oldest = state.copies.front().map_or(taken_at, |copy| copy.taken_at);
                state.outside_writes.retain(|(at, _, _)| *at >= oldest);
            }
            time::sleep(COPY_INTERVAL).await;
        }
    }

    /// Restores the store from the youngest copy that is at least `age` old, with the revision
    /// that it had. Returns what operators and backend servers have written since, oldest
    /// first, with `None` for a deletion.
    pub fn restore(&self, age: Duration) -> Vec<(String, Option<Value>)> {
        let mut state = self.lock();
        let old = |c: &&Copy| c.taken_at.elapsed() >= age;
        let Some(copy) = state.copies.iter().rev().find(old).or(state.copies.front()) else {
            return Vec::new();
        };
        let taken_at = copy.taken_at;
        let (items, leases, revision) = (copy.items.clone(), copy.leases.clone(), copy.revision);
        (state.items, state.leases, state.revision) = (items, leases, revision);
        state.events.clear();
        state.compact_revision = revision;
        state.era += 1;
        state.copies.clear();
        let lost = state.outside_writes.iter().filter(|(at, _, _)| *at >= taken_at);
        lost.map(|(_, key, value)| (key.clone(), value.clone())).collect()
    }

    /// Sets the fault of the store.
    pub fn set_mode(&self, mode: StoreMode) {
        self.lock().mode = mode;
    }

    /// Drops all events, so that watches from before now get 410.
    pub fn compact(&self) {
        let mut state = self.lock();
        state.events.clear();
        state.compact_revision = state.revision;
    }

    async fn handle(
        self,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, std::io::Error> {
        let mode = self.lock().mode;
        if mode == StoreMode::Unavailable {
            return Ok(response(503, &json!({ "error": "busy" }), self.lock().era));
        }
        if mode == StoreMode::Slow {
            time::sleep(SLOW_CALL_DELAY).await;
        }
        let path = request.uri().path().to_string();
        let query = request.uri().query().unwrap_or_default().to_string();
        let body = request.into_body().collect().await.map_err(std::io::Error::other)?.to_bytes();
        let body: Value = serde_json::from_slice(&body).unwrap_or(Value::Null);
        let (status, reply) = match path.as_str() {
            "/kv-watch" => self.watch(&query).await,
            _ => self.lock().dispatch(&path, &query, &body),
        };
        if mode == StoreMode::LostReplies {
            return Err(std::io::Error::other(
                "fault injected: connection closed without an answer",
            ));
        }
        Ok(response(status, &reply, self.lock().era))
    }

    async fn watch(&self, query: &str) -> (u16, Value) {
        let after = query_number(query, "after");
        let end = time::Instant::now() + Duration::from_millis(query_number(query, "wait_ms"));
        loop {
            {
                let mut state = self.lock();
                state.expire_leases();
                if after < state.compact_revision || after > state.revision {
                    return (410, json!({ "error": "history lost" }));
                }
                let events: Vec<&Value> =
                    state.events.iter().filter(|e| e.0 > after).map(|e| &e.1).collect();
                if !events.is_empty() || time::Instant::now() >= end {
                    let revision = state.revision;
                    return (200, json!({ "events": events, "store_revision": revision }));
                }
            }
            time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }
}

impl State {
    fn dispatch(&mut self, path: &str, query: &str, body: &Value) -> (u16, Value) {
        self.expire_leases();
        match path {
            "/kv-range" => (200, self.range(query)),
            "/kv-lease" => {
                self.revision += 1;
                let ttl = Duration::from_millis(body["ttl_ms"].as_u64().unwrap_or(1_000));
                self.leases.insert(self.revision, (Instant::now() + ttl, ttl));
                (200, json!({ "lease": self.revision, "ttl_ms": ttl.as_millis() as u64 }))
            }
            "/kv-txn" => self.transact(body),
            _ => self.keep_alive(path),
        }
    }

    fn transact(&mut self, body: &Value) -> (u16, Value) {
        for write in body["writes"].as_array().into_iter().flatten() {
            let lease = write["lease"].as_u64().unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, json!({ "error": "no such lease" }));
            }
            let value = STANDARD.decode(write["value"].as_str().unwrap_or_default());
            self.write(write["key"].as_str().unwrap_or_default(), value.unwrap_or_default(), lease);
        }
        (200, json!({ "revision": self.revision }))
    }

    fn keep_alive(&mut self, path: &str) -> (u16, Value) {
        let lease = path.rsplit('/').next().and_then(|l| l.parse().ok()).unwrap_or(0);
        match self.leases.get_mut(&lease) {
            Some((end, ttl)) => {
                *end = Instant::now() + *ttl;
                (200, json!({ "ttl_ms": ttl.as_millis() as u64 }))
            }
            None => (404, json!({ "error": "no such lease" })),
        }
    }

    fn range(&self, query: &str) -> Value {
        let prefix = query_param(query, "path_prefix");
        let after = query_param(query, "after");
        let matching =
            self.items.iter().filter(|(k, _)| k.starts_with(prefix) && k.as_str() > after);
        let items: Vec<Value> = matching.map(|(k, i)| item_json(k, i)).collect();
        json!({ "items": items, "has_more": false, "store_revision": self.revision })
    }

    fn write(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let written = Item { value, revision: self.revision, lease };
        self.record_event(item_json(key, &written));
        self.items.insert(key.into(), written);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            self.record_event(json!({ "key": key, "revision": revision, "deleted": true }));
        }
    }

    fn record_event(&mut self, event: Value) {
        self.events.push((self.revision, event));
        if self.events.len() > MAX_EVENTS {
            self.compact_revision = self.events.remove(0).0;
        }
    }

    fn expire_leases(&mut self) {
        let now = Instant::now();
        self.leases.retain(|_, (end, _)| *end > now);
        let expired = |i: &Item| i.lease != 0 && !self.leases.contains_key(&i.lease);
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| expired(i)).map(|(k, _)| k.clone()).collect();
        keys.iter().for_each(|k| self.delete(k));
    }
}

fn item_json(key: &str, item: &Item) -> Value {
    json!({ "key": key, "value": STANDARD.encode(&item.value), "revision": item.revision,
        "created_at": item.revision, "lease": item.lease })
}

fn query_param<'a>(query: &'a str, name: &str) -> &'a str {
    let pairs = query.split('&').filter_map(|p| p.split_once('='));
    pairs.into_iter().find(|(n, _)| *n == name).map_or("", |(_, v)| v)
}

fn query_number(query: &str, name: &str) -> u64 {
    query_param(query, name).parse().unwrap_or(0)
}

fn response(status: u16, body: &Value, era: u64) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(Bytes::from(body.to_string())));
    response.headers_mut().insert("store-era", era.into());
    if let Ok(status) = status.try_into() {
        *response.status_mut() = status;
    }
    response
}
