//! Replication of registry events between hosts, and collection of their
//! reports about backend servers.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use chervil_base::HashMap;
use chervil_base::message;
use chervil_route::degradation::DegradationDetector;
use chervil_route::history::Position;
use chervil_route::peers::FORMAT;
use chervil_route::server_limit::Announcements;
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
use serde::Deserialize;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time;

use crate::answer;
use crate::answer::Answer;
use crate::client::Clients;
use crate::core::Core;
use crate::core::Reports;
use crate::journal::Basis;
use crate::journal::Cursor;
use crate::journal::Delta;
use crate::journal::Journal;
use crate::listen::Lifecycle;
use crate::logs::Category;
use crate::packed;
use crate::registry;
use crate::registry::Event;
use crate::registry::RegistryError;
use crate::relay::OFFER_PATH;
use crate::relay::QUERY_PATH;
use crate::relay_service;
use crate::watch;

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

/// Time for which a snapshot is reused, when many hosts start at once. Their cursor
/// is that of the snapshot, so that they get what has changed since.
const SNAPSHOT_TTL: Duration = Duration::from_millis(250);

/// Age that a poll must gain to be answered although there is no event.
const MIN_AGE_GAIN: Duration = Duration::from_millis(150);

message! {
    /// Request of a host for the events after its cursor.
    pub struct SyncRequest {
        /// Name of the requesting host.
        pub host: Box<str>,
        /// Position up to which it has applied events.
        pub cursor: Cursor,
        /// Longest time to wait for an event, in milliseconds; 0 if the host does
        /// not follow the replying one but loads the full state once.
        pub wait_ms: u64,
        /// Age of the replying host's data, in milliseconds, from which it replies
        /// at once.
        pub stale_ms: u64,
        /// Milliseconds since the requesting host was last in sync with the registry;
        /// `None` if it never was.
        pub age_ms: Option<u64>,
        /// Version of the messages that it can read; see [`FORMAT`].
        #[serde(default)]
        pub format: u32,
    }
}

/// Reply to such a request.
#[derive(Clone, Debug, Deserialize)]
pub struct SyncReply {
    /// Cursor of the requesting host after these events.
    pub cursor: Cursor,
    /// Latest registry revision whose state the replying host has in full. It is before
    /// the position of the cursor while that host holds removals back; `None` if the
    /// host runs a version that does not state it.
    #[serde(default)]
    pub settled: Option<u64>,
    /// Era of that revision.
    #[serde(default)]
    pub settled_era: u64,
    /// Position from which on the replying host has applied each change; `None` if it runs a
    /// version that does not state it.
    #[serde(default)]
    exact_from: Option<Position>,
    /// Milliseconds since the replying host was last in sync with the
    /// registry; `None` if it never was.
    pub age_ms: Option<u64>,
    /// Whether the events are a full snapshot rather than a delta.
    pub full: bool,
    /// Encoded events, oldest first; see [`packed::unpack_list`].
    pub events: Vec<Box<RawValue>>,
}

impl SyncReply {
    /// Position up to which the replying host has the state in full; a version that does not
    /// state it is taken at the position of its cursor.
    pub fn settled_position(&self) -> Position {
        let settled = self.settled.map(|revision| Position { era: self.settled_era, revision });
        settled.unwrap_or(self.cursor.position)
    }

    /// Position before which the events may state what changed in sum: always up to the cursor
    /// for a full state, and for a version that does not state it.
    pub fn exact_from(&self) -> Position {
        let position = self.cursor.position;
        match self.exact_from {
            Some(from) if self.full => from.max(position),
            Some(from) => from,
            None => position,
        }
    }
}

/// Connections to other hosts, by address.
#[derive(Debug)]
pub struct PeerClients {
    clients: Clients,
}

impl PeerClients {
    /// Clients whose replies take the memory of this host.
    pub fn new(core: &Core) -> PeerClients {
        PeerClients { clients: Clients::new(core.call_memory.clone()) }
    }

    /// Requests events from a host. It replies when it has an event or data that are
    /// notably newer, at once if its own data are stale, and when the requested wait
    /// is over.
    pub async fn sync(
        &mut self,
        address: SocketAddr,
        request: &SyncRequest,
    ) -> Result<SyncReply, RegistryError> {
        self.clients.get(address).call(Method::POST, SYNC_PATH, Some(request)).await
    }

    /// Sends a report to a host. Fails if it does not accept it in time.
    pub async fn report(
        &mut self,
        address: SocketAddr,
        reports: &Reports,
    ) -> Result<(), RegistryError> {
        let client = self.clients.get(address);
        let call = client.call::<_, bool>(Method::POST, REPORT_PATH, Some(reports));
        registry::within(REPORT_TIMEOUT, call).await.map(drop)
    }
}

/// Serves other hosts, and sends the reports of this host.
pub async fn serve(
    listener: TcpListener,
    core: Arc<Core>,
    journal: Arc<Journal>,
    lifecycle: Arc<Lifecycle>,
) {
    let service = Arc::new(PeerService {
        core,
        journal,
        lifecycle,
        detector: Mutex::default(),
        announced: Mutex::default(),
        snapshots: Mutex::default(),
    });
    tokio::spawn(send_reports(service.clone()));
    loop {
        // Accepting fails when file descriptors run out; the next call waits for
        // a free one.
        let Ok((stream, _)) = listener.accept().await else { continue };
        tokio::spawn(serve_connection(stream, service.clone()));
    }
}

/// Sends the reports of this host and of those that follow it to the upstream. A host
/// without an upstream evaluates them.
async fn send_reports(service: Arc<PeerService>) {
    let mut peers = PeerClients::new(&service.core);
    loop {
        time::sleep(REPORT_INTERVAL).await;
        let reports = service.core.take_reports();
        if reports == Reports::default() {
            continue;
        }
        let core = &service.core;
        let upstream = core.state().peers.upstream(core.now()).map(|u| u.address);
        let Some(address) = upstream else {
            service.process(&reports);
            continue;
        };
        if peers.report(address, &reports).await.is_err() {
            service.core.metrics.count("reports.lost");
            // Each host reports once that a server leaves; the rest is observed again.
            core.add_reports(&Reports { leaving: reports.leaving, ..Reports::default() });
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
    lifecycle: Arc<Lifecycle>,
    detector: Mutex<DegradationDetector>,
    announced: Mutex<Announcements>,
    /// By version of the messages.
    snapshots: Mutex<HashMap<u32, Snapshot>>,
}

/// The full state as encoded events, and the cursor of a host that applies it.
#[derive(Clone)]
struct Snapshot {
    taken_at: Instant,
    cursor: Cursor,
    settled: Position,
    events: Arc<str>,
}

impl PeerService {
    /// The full state for hosts with this version of the messages, at most [`SNAPSHOT_TTL`]
    /// old; `delta` describes the present one.
    fn snapshot(&self, delta: &Delta, format: u32) -> Snapshot {
        let (now, format) = (self.core.now(), format.min(FORMAT));
        let mut cached = self.snapshots.lock().unwrap_or_else(PoisonError::into_inner);
        let recent = |s: &&Snapshot| now.duration_since(s.taken_at) < SNAPSHOT_TTL;
        if let Some(snapshot) = cached.get(&format).filter(recent) {
            return snapshot.clone();
        }
        let events = self.core.state().snapshot(format, now);
        // Always `Some`: see `packed::pack_list`.
        let events = packed::pack_list(&events).unwrap_or_else(|| "[]".into()).into();
        let Delta { cursor, settled, .. } = *delta;
        let snapshot = Snapshot { taken_at: now, cursor, settled, events };
        cached.insert(format, snapshot.clone());
        snapshot
    }

    /// Passes the reports of another host on to the upstream of this one, or
    /// evaluates them if it has none.
    fn receive(&self, reports: &Reports) {
        if self.core.state().peers.upstream(self.core.now()).is_some() {
            self.core.add_reports(reports);
        } else {
            self.process(reports);
        }
    }

    /// Evaluates reports, and publishes an event for each backend server that the hosts must
    /// avoid, to which they must keep no idle connections, or that names a limit.
    fn process(&self, reports: &Reports) {
        let core = &self.core;
        let now = core.now();
        for id in &reports.at_limit {
            if self.core.mark_at_connection_limit(id) {
                spdlog::info!("backend at its connection limit", kv: { id = &**id });
                self.journal.push(&Event::AtConnectionLimit(id.clone()));
            }
        }
        let mut announced = self.announced.lock().unwrap_or_else(PoisonError::into_inner);
        // A limit that is both named and ended in one interval stays, until an answer shows
        // again that it has ended.
        for id in &reports.ended_limits {
            announced.forget(id);
            core.state().end_limit(id);
            self.journal.push(&Event::ServerLimitEnded(id.clone()));
        }
        for (id, rate) in &reports.limits {
            if announced.announce(id, *rate, now) {
                core.state().name_limit(id, *rate, now);
                self.journal.push(&Event::ServerLimit { id: id.clone(), rate: *rate });
            }
        }
        for (id, started_at_ms) in &reports.leaving {
            let (id, started_at_ms) = (id.clone(), *started_at_ms);
            core.state().fleet.mark_leaving(&id, started_at_ms, now);
            self.journal.push(&Event::ServerLeaving { id, started_at_ms });
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
    let path = Box::from(request.uri().path());
    let Ok(body) = request.into_body().collect().await else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the question cannot be read\n");
    };
    let body = body.to_bytes();
    let (core, lifecycle) = (&service.core, &service.lifecycle);
    match &*path {
        OFFER_PATH => relay_service::answer_offer(core, lifecycle, &body),
        QUERY_PATH => relay_service::answer_request(core, lifecycle, &body).await,
        REPORT_PATH => respond_to_reports(service, &body),
        _ => respond_to_follower(service, &body).await,
    }
}

fn respond_to_reports(service: &PeerService, body: &[u8]) -> Answer {
    let Ok(reports) = serde_json::from_slice::<Reports>(body) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the report is malformed\n");
    };
    let lifecycle = &service.lifecycle;
    // From then on, a stopping host may have passed on its last report.
    let is_late = lifecycle.is_draining();
    if is_late || (!reports.abandoned.is_empty() && !lifecycle.is_ready()) {
        let text = "this host is not serving; report to another one\n";
        return answer::plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    if !reports.abandoned.is_empty() {
        watch::take_over(&service.core, &reports.abandoned);
    }
    service.receive(&reports);
    answer::plain_text(StatusCode::OK, "true\n")
}

async fn respond_to_follower(service: &PeerService, body: &[u8]) -> Answer {
    let (core, journal) = (&service.core, &service.journal);
    let Ok(request) = serde_json::from_slice::<SyncRequest>(body) else {
        return answer::plain_text(StatusCode::BAD_REQUEST, "the question is malformed\n");
    };
    if request.wait_ms > 0 && !journal.admit(&request.host, core.now()) {
        let text = "this host serves too many others; poll another one\n";
        return answer::plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    }
    wait_for_events(core, journal, &request).await;
    let delta = journal.delta(request.cursor, request.format, core.now());
    if delta.basis != Basis::Serial && core.log_limiter.allows(Category::Notable, core.now()) {
        log_change_of_source(&request, &delta);
    }
    Response::new(Full::new(Bytes::from(encode_reply(service, delta, request.format))))
}

/// Logs the reply to a host that has followed another source, or an earlier record of this one.
fn log_change_of_source(request: &SyncRequest, delta: &Delta) {
    let (from, to) = (request.cursor.position, delta.cursor.position);
    spdlog::info!("registry data for a host that followed another source", kv: {
        host = &*request.host,
        basis = delta.basis.name(),
        events = delta.events.as_ref().map_or(0, Vec::len),
        from = from.revision,
        to = to.revision,
        era = to.era,
    });
}

/// Waits until there are events after the cursor, this host's data are notably newer
/// than those of the requesting one, they become stale, or the requested wait ends.
async fn wait_for_events(core: &Core, journal: &Journal, request: &SyncRequest) {
    let start = core.now();
    let end = start + Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    let stale = Duration::from_millis(request.stale_ms);
    let requester_age = request.age_ms.map(Duration::from_millis);
    let mut changes = journal.subscribe();
    loop {
        let now = core.now();
        changes.mark_unchanged();
        let delta = journal.delta(request.cursor, request.format, now);
        let age = delta.age.unwrap_or(Duration::MAX);
        let gain = requester_age.map(|a| (a + (now - start)).saturating_sub(age));
        let is_newer = gain.is_some_and(|g| g >= MIN_AGE_GAIN);
        let has_events = delta.events.is_none_or(|e| !e.is_empty());
        if has_events || is_newer || age >= stale || now >= end {
            return;
        }
        let stale_at = now + (stale - age);
        tokio::select! {
            _ = changes.changed() => {}
            () = time::sleep_until(stale_at.min(end).into()) => {}
        }
    }
}

/// JSON of a [`SyncReply`] to a host with this version of the messages, joined from events that
/// are already encoded.
fn encode_reply(service: &PeerService, delta: Delta, format: u32) -> String {
    let full = delta.events.is_none();
    let (cursor, settled, events, extra_age) = match &delta.events {
        Some(events) => {
            // Always `Some`: see `packed::pack_list`.
            let list = packed::pack_list(events).unwrap_or_else(|| "[]".into());
            (delta.cursor, delta.settled, Arc::from(list), Duration::ZERO)
        }
        None => {
            let snapshot = service.snapshot(&delta, format);
            let extra_age = service.core.now().duration_since(snapshot.taken_at);
            (snapshot.cursor, snapshot.settled, snapshot.events, extra_age)
        }
    };
    // Cursors and positions consist of numbers, which serialise without errors.
    let cursor = serde_json::to_string(&cursor).unwrap_or_default();
    let age = delta.age.map_or("null".into(), |a| (a + extra_age).as_millis().to_string());
    let exact_from = serde_json::to_string(&delta.exact_from).unwrap_or_default();
    let Position { era, revision } = settled;
    format!(
        "{{\"cursor\":{cursor},\"settled\":{revision},\"settled_era\":{era},\"exact_from\":{exact_from},\"age_ms\":{age},\"full\":{full},\"events\":{events}}}"
    )
}
