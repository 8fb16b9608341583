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

use crate::ledger::Ledger;
use crate::wire;

/// Records of a part.
const RECORDS: u64 = 8;

/// Usual time of a request.
const WORK: Duration = Duration::from_millis(6);

/// Time after a bound by which requests on their way may arrive late.
const SLACK: Duration = Duration::from_millis(400);

/// How a backend server behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Manner {
    /// It answers.
    Well,
    /// It takes twenty times as long.
    Slow,
    /// It refuses every other request.
    Full,
    /// It runs every other request and closes the connection instead of answering.
    Cut,
}

#[derive(Debug)]
struct State {
    manner: Manner,
    turn: u64,
    /// Time at which the store took in that it leaves.
    left: Option<Instant>,
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
    ledger: Ledger,
}

type Answer = io::Result<Response<Full<Bytes>>>;

/// Records that a shard holds for a request.
pub fn records(service: &str, request: &str) -> Vec<[u8; 16]> {
    let hasher = HashMap::<u64, u64>::default();
    let record = |i: u64| {
        let text = format!("{:016x}", hasher.hasher().hash_one((service, request, i)));
        let mut bytes = [0; 16];
        bytes.copy_from_slice(&text.as_bytes()[..16]);
        bytes
    };
    (0..RECORDS).map(record).collect()
}

/// Proof that a service ran a request.
pub fn stamp(service: &str, request: &str) -> String {
    format!("{service}.{request}")
}

impl Backend {
    /// Starts a backend server.
    pub async fn start(id: String, service: String, ledger: Ledger) -> io::Result<Backend> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let backend = Backend {
            id: id.into(),
            service: service.into(),
            address: listener.local_addr()?,
            state: Arc::new(Mutex::new(State { manner: Manner::Well, turn: 0, left: None })),
            ledger,
        };
        let served = backend.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let backend = served.clone();
                let service = service_fn(move |r| backend.clone().answer(r));
                let mut builder = http1::Builder::new();
                builder.header_read_timeout(None);
                tokio::spawn(builder.serve_connection(TokioIo::new(stream), service));
            }
        });
        Ok(backend)
    }

    /// Changes how it behaves.
    pub fn set(&self, manner: Manner) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).manner = manner;
    }

    /// Notes that the store has taken in that it leaves, or stays.
    pub fn set_left(&self, left: Option<Instant>) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).left = left;
    }

    async fn answer(self, request: Request<Incoming>) -> Answer {
        let header = |name: &str| {
            let value = request.headers().get(name).and_then(|v| v.to_str().ok());
            value.unwrap_or_default().to_string()
        };
        let id = header(wire::REQUEST_ID);
        if header(wire::EXPECT) != *self.id {
            return Ok(plain(421, &id, Bytes::new()));
        }
        let deadline = header(wire::DEADLINE).parse::<u64>().unwrap_or(0);
        let (manner, turn, left) = {
            let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
            state.turn += 1;
            (state.manner, state.turn, state.left)
        };
        // A body that ends early shows as a failure at the caller.
        let _ = request.into_body().collect().await;
        if manner == Manner::Full && turn.is_multiple_of(2) {
            let mut refusal = plain(503, &id, Bytes::new());
            refusal.headers_mut().insert(wire::REFUSED, hyper::header::HeaderValue::from(1));
            return Ok(refusal);
        }
        self.check_left(left, &id);
        self.ledger.ran(&id, &self.id);
        let work = if manner == Manner::Slow { WORK * 20 } else { WORK };
        time::sleep(work.min(Duration::from_millis(deadline))).await;
        if manner == Manner::Cut && turn.is_multiple_of(2) {
            return Err(io::Error::other("the answer is cut"));
        }
        Ok(self.success(&id))
    }

    fn check_left(&self, left: Option<Instant>, id: &str) {
        let now = Instant::now();
        let bound = Duration::from_millis(wire::CHANGE_MS) + SLACK;
        let late = left.is_some_and(|l| now > l + bound);
        if late && self.ledger.is_calm(now) {
            self.ledger.violation(format!("{id} reached {} after it had left", self.id));
        }
    }

    fn success(&self, id: &str) -> Response<Full<Bytes>> {
        let body = if self.service.starts_with("quote") {
            Bytes::from(format!("quote for {id}"))
        } else {
            Bytes::from(records(&self.service, id).concat())
        };
        let mut answer = plain(200, id, body);
        if let Ok(stamp) = stamp(&self.service, id).try_into() {
            answer.headers_mut().insert(wire::STAMP, stamp);
        }
        answer
    }
}

fn plain(status: u16, id: &str, body: Bytes) -> Response<Full<Bytes>> {
    let mut answer = Response::new(Full::new(body));
    if let Ok(status) = status.try_into() {
        *answer.status_mut() = status;
    }
    if let Ok(id) = id.try_into() {
        answer.headers_mut().insert(wire::REQUEST_ID, id);
    }
    answer
}
