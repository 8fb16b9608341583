//! Stand-in of a backend server that answers queries and quotes and injects
//! faults of its own.

use std::collections::VecDeque;
use std::hash::BuildHasher as _;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chervil_base::HashMap;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Request;
use hyper::Response;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time;

use crate::announcement::Announced;
use crate::announcement::Announcement;
use crate::broken;
use crate::platform;
use crate::recorder::Recorder;

/// Number of records that one shard contributes to the answer to a query.
const RECORDS_PER_PART: u64 = 8;

/// Time that a request takes without faults.
const SERVICE_TIME: Duration = Duration::from_millis(6);

/// Factor by which a slow backend server takes longer.
const SLOW_FACTOR: u32 = 20;

/// Time past the bound within which a request that is already in flight may
/// still arrive.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(400);

/// Bytes that a connection holds between a stand-in and the breaking of its replies.
const CONNECTION_BUFFER_BYTES: usize = 64 * 1024;

/// Window over which the requests to a backend server that names a limit are counted.
const LIMIT_WINDOW: Duration = Duration::from_secs(4);

/// Requests that the window may contain: a multiple of what the limit allows, and a number
/// on top of that.
const LIMIT_BOUND: (f64, f64) = (1.5, 5.0);

/// One in this many requests that a denying backend server runs gets such an answer.
const DENIAL_INTERVAL: u64 = 8;

/// Fault of a backend server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMode {
    /// No fault.
    Healthy,
    /// Each request takes `SLOW_FACTOR` times as long.
    Slow,
    /// Every other request is refused with 503 and is not run.
    Refusing,
    /// Every other request is run, but the connection is closed without an answer, or the
    /// answer is broken.
    LostReplies,
}

#[derive(Debug)]
struct State {
    mode: BackendMode,
    /// Number of requests so far; faults that hit every other request go by it.
    request_count: u64,
    /// Time at which the store recorded that it drains or was removed; `None`
    /// while it is registered as ready.
    withdrawn_at: Option<Instant>,
    limit: Option<Limit>,
    announced: Option<Announced>,
    /// Whether it answers some requests that it runs with a status that denies it.
    denies: bool,
}

/// A rate limit that a backend server names.
#[derive(Debug)]
struct Limit {
    /// Requests per second from all hosts.
    rate: f64,
    /// Time at which it was first named.
    named_at: Instant,
    /// Arrivals in the last window.
    arrivals: VecDeque<Instant>,
}

/// Handle on a backend server; clones share its state.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Id in the registry.
    pub id: Arc<str>,
    /// Service that it belongs to.
    pub service: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

type Reply = io::Result<Response<Full<Bytes>>>;

/// Records that the shard served by `service` holds for a request, derived from
/// a hash so that callers can compute the expected answer.
pub fn records(service: &str, request: &str) -> Vec<[u8; 16]> {
    let hasher = HashMap::<u64, u64>::default();
    let record = |i: u64| {
        let text = format!("{:016x}", hasher.hasher().hash_one((service, request, i)));
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&text.as_bytes()[..16]);
        bytes
    };
    (0..RECORDS_PER_PART).map(record).collect()
}

/// Value of the response stamp: proof that `service` ran the request.
pub fn stamp(service: &str, request: &str) -> String {
    format!("{service}.{request}")
}

impl Backend {
    /// Starts a backend server on a free loopback port.
    pub async fn start(id: String, service: String, recorder: Recorder) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let backend = Backend {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State {
                mode: BackendMode::Healthy,
                request_count: 0,
                withdrawn_at: None,
                limit: None,
                announced: None,
                denies: false,
            })),
            recorder,
        };
        let server = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backend = server.clone();
                let service = service_fn(move |r| backend.clone().handle(r));
                let mut builder = http1::Builder::new();
                builder.header_read_timeout(None);
                let (served, passed) = tokio::io::duplex(CONNECTION_BUFFER_BYTES);
                tokio::spawn(builder.serve_connection(TokioIo::new(served), service));
                tokio::spawn(broken::pass_on(stream, passed));
            }
        });
        Ok(backend)
    }

    /// Sets the fault of the backend server.
    pub fn set_mode(&self, mode: BackendMode) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).mode = mode;
    }

    /// Sets the time at which the store recorded the drain or removal, or `None`
    /// when the backend server is registered as ready again.
    pub fn set_withdrawn(&self, withdrawn_at: Option<Instant>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).withdrawn_at = withdrawn_at;
    }

    /// Sets the rate limit that the backend server names, in requests per second, or ends it.
    pub fn set_limit(&self, rate: Option<f64>) {
        let named_at = Instant::now();
        let limit = rate.map(|rate| Limit { rate, named_at, arrivals: VecDeque::new() });
        self.state.lock().unwrap_or_else(PoisonError::into_inner).limit = limit;
    }

    /// Sets whether it answers some requests that it runs with a status that denies it.
    pub fn set_denies(&self, denies: bool) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).denies = denies;
    }

    /// Sets what the backend server announces in its answers, or ends it.
    pub fn set_announcement(&self, announcement: Option<Announcement>) {
        let announced = announcement.map(Announced::new);
        self.state.lock().unwrap_or_else(PoisonError::into_inner).announced = announced;
    }

    /// Whether it announces that it leaves.
    pub fn is_leaving(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.announced.as_ref().is_some_and(|a| a.announcement == Announcement::Leaving)
    }

    /// What it announces in the answer to a request that came through the host at this port,
    /// if anything. Records a violation if the host should not have sent the request.
    fn announce(&self, host: u16) -> Option<Announcement> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let announced = state.announced.as_mut()?;
        if let Some(violation) = announced.record(host, &self.recorder) {
            self.recorder.record_violation(format!("{}: {violation}", self.id));
        }
        Some(announced.announcement)
    }

    async fn handle(self, request: Request<Incoming>) -> Reply {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = header(platform::REQUEST_ID);
        if header(platform::EXPECT_INSTANCE) != *self.id {
            return Ok(response(421, &id, Bytes::new()));
        }
        let deadline = header(platform::DEADLINE_MS).parse::<u64>().unwrap_or(0);
        let (mode, request_count, withdrawn_at, denies) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.request_count += 1;
            (state.mode, state.request_count, state.withdrawn_at, state.denies)
        };
        let host = header(platform::VIA_HOST).parse().unwrap_or(0);
        // A truncated body needs no handling here: the caller sees a failure.
        let _ = request.into_body().collect().await;
        self.recorder.record_arrival(&self.service, &id);
        let announcement = self.announce(host);
        if let Some(Announcement::Pause(time)) = announcement {
            let mut refusal = response(503, &id, Bytes::new());
            let headers = refusal.headers_mut();
            headers.insert(platform::NOT_EXECUTED, HeaderValue::from(1));
            if let Ok(seconds) = time.as_secs_f64().to_string().try_into() {
                headers.insert(platform::RETRY_AFTER, seconds);
            }
            return Ok(refusal);
        }
        if mode == BackendMode::Refusing && request_count.is_multiple_of(2) {
            let mut refusal = response(503, &id, Bytes::new());
            refusal.headers_mut().insert(platform::NOT_EXECUTED, HeaderValue::from(1));
            return Ok(refusal);
        }
        self.check_withdrawn(withdrawn_at, &id);
        self.check_limit();
        self.recorder.record_run(&id, &self.id);
        let service_time =
            if mode == BackendMode::Slow { SERVICE_TIME * SLOW_FACTOR } else { SERVICE_TIME };
        time::sleep(service_time.min(Duration::from_millis(deadline))).await;
        let loses_reply = mode == BackendMode::LostReplies && request_count.is_multiple_of(2);
        // Hosts of earlier builds pass some broken answers on.
        let breaks_reply = request_count.is_multiple_of(4) && !self.recorder.has_unaware_hosts();
        let is_denied = denies && request_count.is_multiple_of(DENIAL_INTERVAL);
        if is_denied && !self.recorder.has_unaware_hosts() {
            return Ok(self.stamped(503, &id, Bytes::new()));
        }
        if loses_reply && breaks_reply {
            let mut success = self.success(&id);
            success.headers_mut().insert(broken::BREAK_REPLY, (request_count / 4).into());
            return Ok(success);
        }
        if loses_reply {
            return Err(io::Error::other("fault injected: connection closed without an answer"));
        }
        let mut success = self.success(&id);
        if announcement == Some(Announcement::Leaving) {
            success.headers_mut().insert(platform::SERVER_LEAVING, HeaderValue::from(1));
        }
        Ok(success)
    }

    /// Records a violation if a request arrives although the hosts must have
    /// stopped using this backend server.
    fn check_withdrawn(&self, withdrawn_at: Option<Instant>, id: &str) {
        let now = Instant::now();
        let bound = Duration::from_millis(platform::CHANGE_BOUND_MS) + IN_FLIGHT_ALLOWANCE;
        let is_late = withdrawn_at.is_some_and(|at| now > at + bound);
        if is_late && self.recorder.bounds_apply(now) {
            self.recorder.record_violation(format!(
                "{id} reached {} more than {bound:?} after its drain or removal",
                self.id
            ));
        }
    }

    /// Records a violation if more requests arrive than a limit allows that has been named
    /// for long enough.
    fn check_limit(&self) {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let Some(limit) = &mut state.limit else { return };
        limit.arrivals.push_back(now);
        limit.arrivals.retain(|at| now.duration_since(*at) < LIMIT_WINDOW);
        let allowed = LIMIT_BOUND.0 * limit.rate * LIMIT_WINDOW.as_secs_f64() + LIMIT_BOUND.1;
        let is_settled = now.duration_since(limit.named_at) > LIMIT_WINDOW * 2;
        let count = limit.arrivals.len();
        if count as f64 > allowed && is_settled && self.recorder.bounds_apply(now) {
            self.recorder.record_violation(format!(
                "{} got {count} requests in {LIMIT_WINDOW:?}, its limit allows {allowed}",
                self.id
            ));
        }
    }

    /// A reply that proves that the request ran.
    fn stamped(&self, status: u16, id: &str, body: Bytes) -> Response<Full<Bytes>> {
        let mut response = response(status, id, body);
        if let Ok(stamp) = stamp(&self.service, id).try_into() {
            response.headers_mut().insert(platform::RESPONSE_STAMP, stamp);
        }
        response
    }

    fn success(&self, id: &str) -> Response<Full<Bytes>> {
        let body = if self.service.starts_with("quote") {
            Bytes::from(format!("quote for {id}"))
        } else {
            Bytes::from(records(&self.service, id).concat())
        };
        let mut response = self.stamped(200, id, body);
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let rate = state.limit.as_ref().map(|limit| limit.rate.to_string().try_into());
        if let Some(Ok(rate)) = rate {
            response.headers_mut().insert(platform::SERVER_LIMIT, rate);
        }
        response
    }
}

fn response(status: u16, id: &str, body: Bytes) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body));
    if let Ok(status) = status.try_into() {
        *response.status_mut() = status;
    }
    if let Ok(id) = id.try_into() {
        response.headers_mut().insert(platform::REQUEST_ID, id);
    }
    response
}
