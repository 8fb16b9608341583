//! Ends of calls, and the timer.

use std::time::Duration;
use std::time::Instant;

use chervil_backend::link::AskAnswer;
use chervil_backend::link::Connection;
use chervil_backend::link::LinkError;
use chervil_backend::link::Load;
use chervil_backend::link::Opened;
use chervil_backend::link::RunAnswer;
use chervil_backend::link::ServerRefusal;
use chervil_backend::link::ServerStatus;
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

use super::GateState;
use super::Kind;

/// Interval at which gauges are sent.
const REPORT: Duration = Duration::from_secs(1);

/// A connection was opened, or not.
pub(crate) struct OpenEnded {
    pub(super) conn: ConnKey,
    pub(super) sent: Instant,
    pub(super) result: Result<Opened, LinkError>,
}

/// A connection was prepared, or not.
pub(crate) struct Prepared {
    pub(super) conn: ConnKey,
    pub(super) result: Result<Box<dyn Connection>, LinkError>,
}

/// A status request ended.
pub(crate) struct ProbeEnded {
    pub(super) conn: ConnKey,
    pub(super) sent: Instant,
    pub(super) result: Result<ServerStatus, LinkError>,
    pub(super) connection: Box<dyn Connection>,
}

/// A started item ended.
pub(crate) struct Finished {
    pub(super) work: WorkKey,
    pub(super) conn: ConnKey,
    pub(super) sent: Instant,
    pub(super) answer: Answer,
    pub(super) connection: Box<dyn Connection>,
}

/// What a started item got.
pub(super) enum Answer {
    /// Reply to a request for one shard.
    Ask(AskAnswer),
    /// Reply to non-idempotent work.
    Run(RunAnswer),
    /// The right to send was lost before the write.
    NoRight,
    /// The call failed.
    Failed(LinkError),
}

/// Makes due what time alone makes due.
pub(crate) struct Tick;

impl Handler<OpenEnded> for GateState {
    type Return = ();

    async fn handle(&mut self, ended: OpenEnded, _: &mut Context<Self>) {
        let now = self.now();
        let server = self.slots.server_of(ended.conn).unwrap_or_default().to_owned();
        match ended.result {
            Ok(opened) => {
                let report = self.learn(ended.conn, opened.status, ended.sent);
                self.give_back(ended.conn, opened.connection);
                self.slots.opened(ended.conn, &report, now);
            }
            Err(LinkError::TimedOut) => {
                self.parts.metrics.count("status_silent", 1);
                self.conns.remove(ended.conn);
                if self.slots.opened_without_status(ended.conn, now) {
                    self.health.silent(&server);
                }
            }
            Err(e) => {
                self.health.unreachable(&server, &e.to_string());
                self.parts.metrics.count("open_failed", 1);
                self.conns.remove(ended.conn);
                self.slots.open_failed(ended.conn, now);
            }
        }
        self.act();
    }
}

impl Handler<Prepared> for GateState {
    type Return = ();

    async fn handle(&mut self, prepared: Prepared, _: &mut Context<Self>) {
        let now = self.now();
        match prepared.result {
            Ok(connection) => {
                self.give_back(prepared.conn, connection);
                self.slots.lazy_conn_ready(prepared.conn, now);
            }
            Err(_) => {
                self.conns.remove(prepared.conn);
                self.slots.open_failed(prepared.conn, now);
            }
        }
        self.act();
    }
}

impl Handler<ProbeEnded> for GateState {
    type Return = ();

    async fn handle(&mut self, ended: ProbeEnded, _: &mut Context<Self>) {
        let now = self.now();
        let report = match ended.result {
            Ok(status) => Some(self.learn(ended.conn, status, ended.sent)),
            Err(_) => {
                self.parts.metrics.count("probe_failed", 1);
                None
            }
        };
        self.give_back(ended.conn, ended.connection);
        self.slots.probe_finished(ended.conn, report.as_ref(), now);
        self.act();
    }
}

impl Handler<Finished> for GateState {
    type Return = ();

    async fn handle(&mut self, f: Finished, _: &mut Context<Self>) {
        let now = self.now();
        self.give_back(f.conn, f.connection);
        if let Answer::Failed(LinkError::WrongVersion { held }) = &f.answer
            && let Some(job) = self.jobs.get(f.work)
            && !held.is_empty()
        {
            let known = self.index.entry(job.server.clone()).or_default();
            known.refused(held.clone(), now);
        }
        let end = end_of(&f.answer, f.sent);
        if self.slots.finished(f.work, &end, now) == Disposition::Final {
            self.deliver(f.work, f.answer);
            self.parts.metrics.time("backend", now.saturating_duration_since(f.sent));
        }
        self.act();
    }
}

impl Handler<Tick> for GateState {
    type Return = ();

    async fn handle(&mut self, _: Tick, _: &mut Context<Self>) {
        let now = self.now();
        self.slots.tick(now);
        self.act();
        self.send_hints(now);
        let ready = self.slots.has_lease(now) && self.view.as_ref().is_some_and(|v| v.ready);
        self.parts.lifecycle.set_ready(ready);
        if now >= self.report_at {
            self.report_at = now + REPORT;
            self.report();
        }
    }
}

impl GateState {
    /// Takes what a status reply says of the index; returns the rest.
    fn learn(&mut self, conn: ConnKey, status: ServerStatus, sent: Instant) -> StatusReport {
        if let Some(server) = self.slots.server_of(conn) {
            self.health.status(server, status.draining);
            let known = self.index.entry(server.into()).or_default();
            known.status(status.versions, sent);
        }
        StatusReport { load: report_of(status.load, sent), draining: status.draining }
    }

    fn deliver(&mut self, work: WorkKey, answer: Answer) {
        let Some(job) = self.jobs.remove(work) else {
            return;
        };
        match job.kind {
            Kind::Ask { to, .. } => to.send(self.ask_result(&job.server, answer)),
            Kind::Run { reply, .. } => {
                // The caller may have gone.
                let _ = reply.send(run_reply(answer));
            }
        }
    }

    fn ask_result(&self, server: &str, answer: Answer) -> AskResult {
        match answer {
            Answer::Ask(a) => {
                AskResult::Rows { version: a.version, rows: a.rows, partial: a.partial }
            }
            Answer::Run(_) => AskResult::Failed,
            Answer::NoRight => refused(Refusal::NotOwner),
            Answer::Failed(LinkError::NotConnected { .. }) => refused(Refusal::Unreachable),
            Answer::Failed(LinkError::Refused { refusal }) => refused(reason_of(refusal)),
            Answer::Failed(LinkError::Lost { .. }) => AskResult::Lost,
            Answer::Failed(LinkError::TimedOut) => AskResult::TimedOut,
            Answer::Failed(LinkError::Unreadable { .. }) => AskResult::Failed,
            Answer::Failed(LinkError::WrongVersion { .. }) => AskResult::WrongVersion {
                held: self.index.get(server).map(|h| h.versions().to_vec()).unwrap_or_default(),
            },
        }
    }

    fn report(&self) {
        let lease = self.slots.has_lease(self.now());
        self.parts.metrics.gauge("lease", lease.into());
        self.parts.metrics.gauge("servers", self.slots.owned_servers().count() as u64);
        let loads = self.slots.owned_servers().filter_map(|s| self.slots.load(s));
        let (mut queued, mut running, mut connections) = (0, 0, 0);
        for load in loads {
            queued += load.queued as u64;
            running += load.running as u64;
            connections += load.connections as u64;
        }
        self.parts.metrics.gauge("queued", queued);
        self.parts.metrics.gauge("running", running);
        self.parts.metrics.gauge("connections", connections);
    }
}

fn refused(reason: Refusal) -> AskResult {
    AskResult::Refused { reason, retry_ms: None }
}

fn run_reply(answer: Answer) -> RunReply {
    match answer {
        Answer::Run(a) => RunReply::Done { body: a.body },
        Answer::NoRight => RunReply::NotRun { reason: Refusal::NotOwner },
        Answer::Failed(LinkError::NotConnected { .. }) => {
            RunReply::NotRun { reason: Refusal::Unreachable }
        }
        Answer::Failed(LinkError::Refused { refusal }) => {
            RunReply::NotRun { reason: reason_of(refusal) }
        }
        Answer::Ask(_) | Answer::Failed(_) => RunReply::Unknown,
    }
}

fn end_of(answer: &Answer, sent: Instant) -> Completion {
    match answer {
        Answer::Ask(a) => Completion::Replied { report: a.load.map(|l| report_of(l, sent)) },
        Answer::Run(a) => Completion::Replied { report: a.load.map(|l| report_of(l, sent)) },
        Answer::NoRight => Completion::OwnershipLost,
        Answer::Failed(LinkError::NotConnected { .. }) => Completion::NotWritten,
        Answer::Failed(LinkError::Refused { refusal }) => {
            Completion::Refused { reason: reason_of(*refusal) }
        }
        Answer::Failed(LinkError::Lost { .. }) => Completion::ConnectionLost,
        Answer::Failed(LinkError::TimedOut) => Completion::TimedOut,
        Answer::Failed(LinkError::WrongVersion { .. }) => Completion::WrongVersion,
        Answer::Failed(LinkError::Unreadable { .. }) => Completion::InvalidReply,
    }
}

fn report_of(load: Load, sent: Instant) -> LoadReport {
    LoadReport { running: load.running, slots: load.slots, uptime: load.uptime, sent_at: sent }
}

fn reason_of(refusal: ServerRefusal) -> Refusal {
    match refusal {
        ServerRefusal::Busy => Refusal::Busy,
        ServerRefusal::Cold => Refusal::Cold,
        ServerRefusal::Draining => Refusal::Draining,
    }
}
