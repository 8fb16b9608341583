//! Stand-in of a backend server.

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
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::time;

use crate::platform;
use crate::recorder::Recorder;

/// Records of a part.
const RECORDS_PER_PART: u64 = 8;

/// Usual time of a request.
const SERVICE_TIME: Duration = Duration::from_millis(6);

/// Time after a bound by which requests on their way may arrive late.
const IN_FLIGHT_ALLOWANCE: Duration = Duration::from_millis(400);

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BackendMode {
    /// It answers.
    Healthy,
    /// It takes twenty times as long.
    Slow,
    /// It refuses every other request.
    Refusing,
    /// It runs every other request and closes the connection instead of answering.
    LostReplies,
}

#[derive(Debug)]
struct State {
    mode: BackendMode,
    request_count: u64,
    /// Time at which the store took in that it leaves.
    withdrawn_at: Option<Instant>,
}

/// A backend server.
#[derive(Clone, Debug)]
pub struct Backend {
    /// Id in the registry.
    pub id: Arc<str>,
    /// Service.
    pub service: Arc<str>,
    /// Address at which it listens.
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    recorder: Recorder,
}

type Reply = io::Result<Response<Full<Bytes>>>;

/// Records that a shard holds for a request.
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

/// Proof that a service ran a request.
pub fn stamp(service: &str, request: &str) -> String {
    format!("{service}.{request}")
}

impl Backend {
    /// Starts a backend server.
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
                tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
            }
        });
        Ok(backend)
    }

    /// Changes how it behaves.
    pub fn set_mode(&self, mode: BackendMode) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).mode = mode;
    }

    /// Notes that the store has taken in that it leaves, or stays.
    pub fn set_withdrawn(&self, withdrawn_at: Option<Instant>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).withdrawn_at = withdrawn_at;
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
        let (mode, request_count, withdrawn_at) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.request_count += 1;
            (state.mode, state.request_count, state.withdrawn_at)
        };
        // A body that ends early shows as a failure at the caller.
        let _ = request.into_body().collect().await;
        if mode == BackendMode::Refusing && request_count.is_multiple_of(2) {
            let mut refusal = response(503, &id, Bytes::new());
            refusal
                .headers_mut()
                .insert(platform::NOT_EXECUTED, hyper::header::HeaderValue::from(1));
            return Ok(refusal);
        }
        self.check_withdrawn(withdrawn_at, &id);
        self.recorder.record_run(&id, &self.id);
        let service_time = if mode == BackendMode::Slow { SERVICE_TIME * 20 } else { SERVICE_TIME };
        time::sleep(service_time.min(Duration::from_millis(deadline))).await;
        if mode == BackendMode::LostReplies && request_count.is_multiple_of(2) {
            return Err(io::Error::other("the response is cut"));
        }
        Ok(self.success(&id))
    }

    fn check_withdrawn(&self, withdrawn_at: Option<Instant>, id: &str) {
        let now = Instant::now();
        let bound = Duration::from_millis(platform::CHANGE_BOUND_MS) + IN_FLIGHT_ALLOWANCE;
        let is_late = withdrawn_at.is_some_and(|at| now > at + bound);
        if is_late && self.recorder.bounds_apply(now) {
            self.recorder.record_violation(format!("{id} reached {} after it had left", self.id));
        }
    }

    fn success(&self, id: &str) -> Response<Full<Bytes>> {
        let body = if self.service.starts_with("quote") {
            Bytes::from(format!("quote for {id}"))
        } else {
            Bytes::from(records(&self.service, id).concat())
        };
        let mut response = response(200, id, body);
        if let Ok(stamp) = stamp(&self.service, id).try_into() {
            response.headers_mut().insert(platform::RESPONSE_STAMP, stamp);
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
