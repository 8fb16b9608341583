//! Results of connection attempts, status requests and work items, and the timer.

use std::time::Duration;
use std::time::Instant;

use chervil_backend::connection::AskResponse;
use chervil_backend::connection::Connection;
use chervil_backend::connection::Load;
use chervil_backend::connection::Opened;
use chervil_backend::connection::RequestError;
use chervil_backend::connection::RunResponse;
use chervil_backend::connection::ServerRefusal;
use chervil_backend::connection::ServerStatus;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use chervil_slots::types::Completion;
use chervil_slots::types::ConnKey;
use chervil_slots::types::Disposition;
use chervil_slots::types::LoadReport;
use chervil_slots::types::StatusReport;
use chervil_slots::types::WorkKey;
use xtra::Context;
use xtra::Handler;

use super::GateActor;
use super::JobKind;

/// Interval of the actor's timer.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(10);

/// Interval between reports of the gauges.
const GAUGE_INTERVAL: Duration = Duration::from_secs(1);

/// Result of opening a connection.
pub(crate) struct OpenFinished {
    pub(super) conn: ConnKey,
    pub(super) sent_at: Instant,
    pub(super) result: Result<Opened, RequestError>,
}

/// Result of providing a connection that its first request opens.
pub(crate) struct LazyOpened {
    pub(super) conn: ConnKey,
    pub(super) result: Result<Box<dyn Connection>, RequestError>,
}

/// Result of a status request.
pub(crate) struct ProbeFinished {
    pub(super) conn: ConnKey,
    pub(super) sent_at: Instant,
    pub(super) result: Result<ServerStatus, RequestError>,
    pub(super) connection: Box<dyn Connection>,
}

/// End of a started work item; returns its connection.
pub(crate) struct WorkFinished {
    pub(super) work: WorkKey,
    pub(super) conn: ConnKey,
    pub(super) sent_at: Instant,
    pub(super) result: WorkResult,
    pub(super) connection: Box<dyn Connection>,
}

/// Result of a started work item.
pub(super) enum WorkResult {
    /// Reply to a request for one shard.
    Ask(AskResponse),
    /// Reply to a non-idempotent request.
    Run(RunResponse),
    /// The gate lost ownership of the server, or its quorum lease, before the request
    /// was written.
    OwnershipLost,
    /// The request failed.
    Failed(RequestError),
}

/// Timer message; triggers whatever is due.
pub(crate) struct Tick;

impl Handler<OpenFinished> for GateActor {
    type Return = ();

    async fn handle(&mut self, finished: OpenFinished, _: &mut Context<Self>) {
        let now = self.now();
        let server = self.scheduler.server_of(finished.conn).map(str::to_owned);
        match finished.result {
            Ok(opened) => {
                let report = self.record_status(finished.conn, opened.status, finished.sent_at);
                self.return_conn(finished.conn, opened.connection);
                self.scheduler.opened(finished.conn, &report, now);
            }
            Err(RequestError::TimedOut) => {
                self.deps.metrics.count("status_silent", 1);
                self.conns.remove(finished.conn);
                let silent = self.scheduler.opened_without_status(finished.conn, now);
                if let Some(server) = server.filter(|_| silent) {
                    self.health.log_no_status(&server);
                }
            }
            Err(e) => {
                if let Some(server) = server {
                    self.health.log_unreachable(&server, &e.to_string());
                }
                self.deps.metrics.count("open_failed", 1);
                self.conns.remove(finished.conn);
                self.scheduler.open_failed(finished.conn, now);
            }
        }
        self.run_actions();
    }
}

impl Handler<LazyOpened> for GateActor {
    type Return = ();

    async fn handle(&mut self, opened: LazyOpened, _: &mut Context<Self>) {
        let now = self.now();
        match opened.result {
            Ok(connection) => {
                self.return_conn(opened.conn, connection);
                self.scheduler.lazy_conn_ready(opened.conn, now);
            }
            Err(error) => {
                self.deps.metrics.count("open_failed", 1);
                if let Some(server) = self.scheduler.server_of(opened.conn) {
                    self.health.log_unreachable(server, &error.to_string());
                }
                self.conns.remove(opened.conn);
                self.scheduler.open_failed(opened.conn, now);
            }
        }
        self.run_actions();
    }
}

impl Handler<ProbeFinished> for GateActor {
    type Return = ();

    async fn handle(&mut self, finished: ProbeFinished, _: &mut Context<Self>) {
        let now = self.now();
        let report = match finished.result {
            Ok(status) => Some(self.record_status(finished.conn, status, finished.sent_at)),
            Err(_) => {
                self.deps.metrics.count("probe_failed", 1);
                None
            }
        };
        self.return_conn(finished.conn, finished.connection);
        self.scheduler.probe_finished(finished.conn, report.as_ref(), now);
        self.run_actions();
    }
}

impl Handler<WorkFinished> for GateActor {
    type Return = ();

    async fn handle(&mut self, finished: WorkFinished, _: &mut Context<Self>) {
        let now = self.now();
        self.return_conn(finished.conn, finished.connection);
        if let WorkResult::Failed(RequestError::WrongVersion { held }) = &finished.result
            && let Some(job) = self.jobs.get(finished.work)
            && !held.is_empty()
        {
            let known = self.versions.entry(job.server.clone()).or_default();
            known.record_refusal(held.clone(), now);
        }
        let completion = completion_of(&finished.result, finished.sent_at);
        if self.scheduler.finished(finished.work, &completion, now) == Disposition::Final {
            self.send_result(finished.work, finished.result);
            let backend_time = now.saturating_duration_since(finished.sent_at);
            self.deps.metrics.time("backend", backend_time);
        }
        self.run_actions();
    }
}

impl Handler<Tick> for GateActor {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = self.now();
        self.scheduler.tick(now);
        self.run_actions();
        self.send_hints(now);
        let ready = self.scheduler.has_lease(now) && self.view.as_ref().is_some_and(|v| v.ready);
        self.deps.lifecycle.set_ready(ready);
        if now >= self.next_report_at {
            self.next_report_at = now + GAUGE_INTERVAL;
            self.send_gauges();
        }
    }
}

impl GateActor {
    /// Records index versions and drain state from a status reply; returns the part of
    /// the reply that the scheduler needs.
    fn record_status(
        &mut self,
        conn: ConnKey,
        status: ServerStatus,
        sent_at: Instant,
    ) -> StatusReport {
        if let Some(server) = self.scheduler.server_of(conn) {
            self.health.log_status(server, status.draining);
            let known = self.versions.entry(server.into()).or_default();
            known.record_status(status.versions, sent_at);
        }
        StatusReport { load: load_report(status.load, sent_at), draining: status.draining }
    }

    /// Sends the result of a work item to its caller.
    fn send_result(&mut self, work: WorkKey, result: WorkResult) {
        let Some(job) = self.jobs.remove(work) else {
            return;
        };
        match job.kind {
            JobKind::Ask { reply, .. } => reply.send(self.ask_result(&job.server, result)),
            JobKind::Run { reply, .. } => {
                // Fails if the caller has disconnected.
                let _ = reply.send(run_reply(result));
            }
        }
    }

    fn ask_result(&self, server: &str, result: WorkResult) -> AskResult {
        match result {
            WorkResult::Ask(a) => {
                AskResult::Rows { version: a.version, rows: a.rows, partial: a.partial }
            }
            WorkResult::Run(_) => AskResult::Failed,
            WorkResult::OwnershipLost => refused(Refusal::NotOwner),
            WorkResult::Failed(RequestError::NotConnected { .. }) => refused(Refusal::Unreachable),
            WorkResult::Failed(RequestError::Refused { refusal }) => {
                refused(refusal_reason(refusal))
            }
            WorkResult::Failed(RequestError::ConnectionLost { .. }) => AskResult::Lost,
            WorkResult::Failed(RequestError::TimedOut) => AskResult::TimedOut,
            WorkResult::Failed(RequestError::InvalidReply { .. }) => AskResult::Failed,
            WorkResult::Failed(RequestError::WrongVersion { .. }) => AskResult::WrongVersion {
                held: self.versions.get(server).map(|h| h.versions().to_vec()).unwrap_or_default(),
            },
        }
    }

    fn send_gauges(&self) {
        let lease = self.scheduler.has_lease(self.now());
        self.deps.metrics.gauge("lease", lease.into());
        self.deps.metrics.gauge("servers", self.scheduler.owned_servers().count() as u64);
        let loads = self.scheduler.owned_servers().filter_map(|s| self.scheduler.load(s));
        let (mut queued, mut running, mut connections) = (0, 0, 0);
        for load in loads {
            queued += load.queued as u64;
            running += load.running as u64;
            connections += load.connections as u64;
        }
        self.deps.metrics.gauge("queued", queued);
        self.deps.metrics.gauge("running", running);
        self.deps.metrics.gauge("connections", connections);
    }
}

fn refused(reason: Refusal) -> AskResult {
    AskResult::Refused { reason, retry_ms: None }
}

fn run_reply(result: WorkResult) -> RunReply {
    match result {
        WorkResult::Run(a) => RunReply::Done { body: a.body },
        WorkResult::OwnershipLost => RunReply::NotRun { reason: Refusal::NotOwner },
        WorkResult::Failed(RequestError::NotConnected { .. }) => {
            RunReply::NotRun { reason: Refusal::Unreachable }
        }
        WorkResult::Failed(RequestError::Refused { refusal }) => {
            RunReply::NotRun { reason: refusal_reason(refusal) }
        }
        WorkResult::Ask(_) | WorkResult::Failed(_) => RunReply::Unknown,
    }
}

fn completion_of(result: &WorkResult, sent_at: Instant) -> Completion {
    match result {
        WorkResult::Ask(a) => {
            Completion::Replied { report: a.load.map(|l| load_report(l, sent_at)) }
        }
        WorkResult::Run(a) => {
            Completion::Replied { report: a.load.map(|l| load_report(l, sent_at)) }
        }
        WorkResult::OwnershipLost => Completion::OwnershipLost,
        WorkResult::Failed(RequestError::NotConnected { .. }) => Completion::NotWritten,
        WorkResult::Failed(RequestError::Refused { refusal }) => {
            Completion::Refused { reason: refusal_reason(*refusal) }
        }
        WorkResult::Failed(RequestError::ConnectionLost { .. }) => Completion::ConnectionLost,
        WorkResult::Failed(RequestError::TimedOut) => Completion::TimedOut,
        WorkResult::Failed(RequestError::WrongVersion { .. }) => Completion::WrongVersion,
        WorkResult::Failed(RequestError::InvalidReply { .. }) => Completion::InvalidReply,
    }
}

fn load_report(load: Load, sent_at: Instant) -> LoadReport {
    LoadReport { running: load.running, slots: load.slots, uptime: load.uptime, sent_at }
}

fn refusal_reason(refusal: ServerRefusal) -> Refusal {
    match refusal {
        ServerRefusal::Busy => Refusal::Busy,
        ServerRefusal::Cold => Refusal::Cold,
        ServerRefusal::Draining => Refusal::Draining,
    }
}
