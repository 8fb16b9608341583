//! Replication of registry events between hosts, and collection of their
//! reports about backend servers.

use std::convert::Infallible;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use chervil_base::HashMap;
use chervil_base::message;
use chervil_route::degradation::DegradationDetector;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::Response;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::answer;
use crate::answer::Answer;
use crate::client::Client;
use crate::core::Core;
use crate::core::Reports;
use crate::journal::Cursor;
use crate::journal::Delta;
use crate::journal::Journal;
use crate::packed::Packed;
use crate::registry::Event;
use crate::registry::RegistryError;

/// Longest time that a request for events is held open (long polling).
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Path of requests for events.
const SYNC_PATH: &str = "/news";

/// Path of reports about backend servers.
const REPORT_PATH: &str = "/reports";

/// Interval at which reports are sent.
const REPORT_INTERVAL: Duration = Duration::from_millis(200);

/// Time after which a report counts as lost. It is not retried, since the next
/// one follows soon.
const REPORT_TIMEOUT: Duration = Duration::from_millis(300);

message! {
    /// Request of a host for the events after its cursor.
    #[derive(Copy)]
    struct SyncRequest {
        cursor: Cursor,
        /// Longest time to wait for an event.
        wait_ms: u64,
        /// Age of the replying host's data from which it replies at once.
        stale_ms: u64,
    }

    /// Reply to such a request.
    pub struct SyncReply {
        /// Cursor of the requesting host after these events.
        pub cursor: Cursor,
        /// Milliseconds since the replying host was last in sync with the
        /// registry; `None` if it never was.
        pub age_ms: Option<u64>,
        /// Whether the events are a full snapshot rather than a delta.
        pub full: bool,
        /// Events, oldest first.
        pub events: Vec<Packed>,
    }
}

/// Connections to other hosts, by address.
#[derive(Debug, Default)]
pub struct PeerClients {
    clients: HashMap<SocketAddr, Client>,
}

impl PeerClients {
    fn client(&mut self, address: SocketAddr) -> &Client {
        self.clients.entry(address).or_insert_with(|| Client::new(address))
    }

    /// Requests the events after `cursor` from a host. The host replies after
    /// `wait` at the latest, and at once if its own data are older than `stale`.
    pub async fn sync(
        &mut self,
        address: SocketAddr,
        cursor: Cursor,
        wait: Duration,
        stale: Duration,
    ) -> Result<SyncReply, RegistryError> {
        let request = SyncRequest {
            cursor,
            wait_ms: wait.as_millis() as u64,
            stale_ms: stale.as_millis() as u64,
        };
        self.client(address).call(Method::POST, SYNC_PATH, Some(&request)).await
    }
}

/// Serves other hosts, and sends the reports of this host.
pub async fn serve(listener: TcpListener, core: Arc<Core>, journal: Arc<Journal>) {
    let detector = Mutex::default();
    let service = Arc::new(PeerService { core, journal, detector });
    tokio::spawn(send_reports(service.clone()));
    loop {
        // Accepting fails when file descriptors run out; the next call waits for
        // a free one.
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(serve_connection(stream, service.clone()));
    }
}

/// Sends the reports to the upstream of this host. A host without an upstream
/// evaluates its own reports.
async fn send_reports(service: Arc<PeerService>) {
    let mut peers = PeerClients::default();
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let reports = service.core.take_reports();
        if reports == Reports::default() {
            continue;
        }
        let core = &service.core;
        let upstream = core.state().peers.upstream(core.now()).map(|(_, p)| p.address);
        let Some(address) = upstream else {
            service.process(&reports);
            continue;
        };
        let client = peers.client(address);
        let call = client.call::<_, bool>(Method::POST, REPORT_PATH, Some(&reports));
        if !matches!(time::timeout(REPORT_TIMEOUT, call).await, Ok(Ok(_))) {
            service.core.metrics.count("reports.lost");
        }
    }
}

async fn serve_connection(stream: TcpStream, service: Arc<PeerService>) {
    let handler = service_fn(|request: Request<Incoming>| {
        let service = service.clone();
        async move { Ok::<_, Infallible>(respond(&service, request).await) }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None);
    // Errors are ignored: the other host notices them as a failed call.
    let _ = stream.set_nodelay(true);
    let _ = builder.serve_connection(TokioIo::new(stream), handler).await;
}

/// Server side: the journal to replicate, and the detector that evaluates reports.
struct PeerService {
    core: Arc<Core>,
    journal: Arc<Journal>,
    detector: Mutex<DegradationDetector>,
}

impl PeerService {
    /// Evaluates reports, and publishes an event for each backend server that
    /// the hosts must avoid, or to which they must keep no idle connections.
    fn process(&self, reports: &Reports) {
        let now = self.core.now();
        for id in &reports.at_limit {
            if self.core.mark_at_connection_limit(id) {
                spdlog::info!("backend at its connection limit", kv: { id = &**id });
                self.journal.push(&Event::AtConnectionLimit(id.clone()));
            }
        }
        let mut detector = self.detector.lock().unwrap_or_else(PoisonError::into_inner);
        for id in &reports.degraded {
            if detector.report(id, now) {
                spdlog::info!("backend in trouble", kv: { id = &**id });
                self.core.state().avoid(id, now);
                self.journal.push(&Event::Degraded(id.clone()));
            }
        }
    }
}

async fn respond(service: &PeerService, request: Request<Incoming>) -> Answer {
    let is_report = request.uri().path() == REPORT_PATH;
    let (core, journal) = (&service.core, &service.journal);
    let Ok(body) = request.into_body().collect().await else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the question cannot be read\n");
    };
    if is_report {
        let Ok(reports) = serde_json::from_slice::<Reports>(&body.to_bytes()) else {
            return answer::plain_text(StatusCode::BAD_REQUEST, "the report is malformed\n");
        };
        service.process(&reports);
        return answer::plain_text(StatusCode::OK, "true\n");
    }
    let Ok(request) = serde_json::from_slice::<SyncRequest>(&body.to_bytes()) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the question is malformed\n");
    };
    wait_for_events(core, journal, request).await;
    let delta = journal.delta(request.cursor, core.now());
    Response::new(Full::new(Bytes::from(encode_reply(core, delta))))
}

/// Waits until there are events after the cursor, this host's data become stale
/// or the requested wait ends.
async fn wait_for_events(core: &Core, journal: &Journal, request: SyncRequest) {
    let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    let end = core.now() + wait;
    let stale = Duration::from_millis(request.stale_ms);
    let mut serial = journal.subscribe();
    loop {
        let now = core.now();
        serial.mark_unchanged();
        let delta = journal.delta(request.cursor, now);
        let age = delta.age.unwrap_or(Duration::MAX);
        if delta.events.is_none_or(|e| !e.is_empty()) || age >= stale || now >= end {
            return;
        }
        let stale_at = now + (stale - age);
        tokio::select! {
            _ = serial.changed() => {}
            () = time::sleep_until(stale_at.min(end).into()) => {}
        }
    }
}

/// JSON of a [`SyncReply`], joined from events that are already encoded.
fn encode_reply(core: &Core, delta: Delta) -> String {
    let full = delta.events.is_none();
    let events = delta.events.unwrap_or_else(|| core.state().snapshot(core.now()));
    // A cursor consists of numbers, which serialise without errors.
    let cursor = serde_json::to_string(&delta.cursor).unwrap_or_default();
    let age = delta.age.map_or("null".into(), |a| a.as_millis().to_string());
    let mut text = String::new();
    // Writing to a string cannot fail.
    let _ = write!(text, "{{\"cursor\":{cursor},\"age_ms\":{age},\"full\":{full},\"events\":[");
    text.push_str(&events.join(","));
    text.push_str("]}");
    text
}
