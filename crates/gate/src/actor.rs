//! Actor that owns the state of the gate. It passes events to the [`Scheduler`] of
//! `chervil-slots` and carries out the actions that the scheduler returns.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_backend::connection::AskCall;
use chervil_backend::connection::Connection;
use chervil_backend::connection::Connector;
use chervil_backend::connection::RunCall;
use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::catalog::Catalog;
use chervil_base::clock::Clock;
use chervil_node::metrics::Metrics;
use chervil_node::shutdown::Lifecycle;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::View;
use chervil_rpc::client::PeerPool;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use chervil_slots::scheduler::Scheduler;
use chervil_slots::types::Action;
use chervil_slots::types::ConnKey;
use chervil_slots::types::Refused;
use chervil_slots::types::WorkKey;
use slotmap::SecondaryMap;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::task::AbortHandle;
use tracing::Span;
use xtra::WeakAddress;

use self::health::HealthLog;
use self::versions::KnownVersions;
use crate::fence::Fence;

mod calls;
mod health;
mod hints;
mod ownership;
mod results;
mod versions;
mod work;

pub(crate) use hints::AddHints;
pub(crate) use hints::SendAllHints;
pub(crate) use ownership::GetIndex;
pub(crate) use ownership::SetLease;
pub(crate) use ownership::SetView;
pub(crate) use results::TICK_INTERVAL;
pub(crate) use results::Tick;
pub(crate) use work::CancelWork;
pub(crate) use work::CountPending;
pub(crate) use work::Stop;
pub(crate) use work::SubmitBatch;
pub(crate) use work::SubmitRun;

/// Dependencies of the actor.
pub(crate) struct Dependencies {
    pub(crate) host: Box<str>,
    pub(crate) connector: Arc<dyn Connector>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) fence: Arc<Fence>,
    pub(crate) metrics: Metrics,
    pub(crate) lifecycle: Lifecycle,
    /// Timeout for opening a connection, and for a status reply.
    pub(crate) open_timeout: Duration,
    /// Address of the actor itself, to which its tasks send results.
    pub(crate) actor: WeakAddress<GateActor>,
}

/// Actor of a gate.
pub(crate) struct GateActor {
    deps: Dependencies,
    scheduler: Scheduler,
    catalog: Catalog,
    view: Option<View>,
    /// Member list that the current ownership was computed from.
    members: MemberList,
    /// Last quorum lease that had not expired when the agent replied.
    lease: Option<QuorumLease>,
    /// Index versions of the owned servers, by server name.
    versions: HashMap<Box<str>, KnownVersions>,
    health: HealthLog,
    jobs: SecondaryMap<WorkKey, Job>,
    conns: SecondaryMap<ConnKey, Conn>,
    /// Number of non-idempotent requests so far; serves as query id of the last one.
    run_count: u64,
    /// Names of the groups that were owned without a lapse of the quorum lease.
    held_groups: HashSet<Box<str>>,
    /// Groups that were lost recently, and until when their warm-up levels are sent to
    /// the new owner.
    lost_groups: HashMap<Box<str>, Instant>,
    /// When warm-up levels may be sent next.
    next_hint_at: Instant,
    /// When the levels of all owned groups are sent next; `None` for as soon as
    /// possible.
    full_hint_at: Option<Instant>,
    /// When the levels of lost groups are sent next.
    handover_hint_at: Instant,
    /// When gauges are sent next.
    next_report_at: Instant,
}

/// Connection to a backend server.
#[derive(Default)]
struct Conn {
    /// Present while the connection is idle; otherwise `task` owns it.
    connection: Option<Box<dyn Connection>>,
    /// Task that opens the connection or runs a request on it.
    task: Option<AbortHandle>,
}

/// Accepted work item that has not ended.
struct Job {
    server: Box<str>,
    accepted_at: Instant,
    deadline: Instant,
    span: Span,
    kind: JobKind,
}

enum JobKind {
    Ask { call: Arc<AskCall>, reply: ReplySender },
    Run { call: Arc<RunCall>, reply: oneshot::Sender<RunReply> },
}

/// Sends the result of one attempt to the subscriber of its batch.
struct ReplySender {
    incarnation: u64,
    query: u64,
    attempt: u32,
    replies: mpsc::UnboundedSender<AskReply>,
}

impl ReplySender {
    fn send(self, result: AskResult) {
        let ReplySender { incarnation, query, attempt, replies } = self;
        // Fails if the subscription was dropped.
        let _ = replies.send(AskReply { incarnation, query, attempt, result });
    }
}

impl Job {
    fn refuse(self, refused: Refused) {
        let Refused { reason, retry_after } = refused;
        match self.kind {
            JobKind::Ask { reply, .. } => {
                let retry_ms = retry_after.map(|r| r.as_millis() as u32);
                reply.send(AskResult::Refused { reason, retry_ms });
            }
            JobKind::Run { reply, .. } => {
                // Fails if the caller has disconnected.
                let _ = reply.send(RunReply::NotRun { reason });
            }
        }
    }
}

impl xtra::Actor for GateActor {
    type Stop = ();

    async fn stopped(self) {}
}

impl GateActor {
    pub(crate) fn new(deps: Dependencies, scheduler: Scheduler) -> GateActor {
        let now = deps.clock.now();
        GateActor {
            deps,
            scheduler,
            catalog: Catalog::default(),
            view: None,
            members: MemberList::default(),
            lease: None,
            versions: HashMap::default(),
            health: HealthLog::default(),
            jobs: SecondaryMap::new(),
            conns: SecondaryMap::new(),
            run_count: 0,
            held_groups: HashSet::default(),
            lost_groups: HashMap::default(),
            next_hint_at: now,
            full_hint_at: None,
            handover_hint_at: now,
            next_report_at: now,
        }
    }

    fn now(&self) -> Instant {
        self.deps.clock.now()
    }

    /// Carries out the pending actions of the scheduler.
    fn run_actions(&mut self) {
        for action in self.scheduler.take_actions() {
            match action {
                Action::Open { conn, address } => self.open(conn, address),
                Action::OpenLazy { conn, address } => self.open_lazy(conn, address),
                Action::Start { work, conn } => self.start(work, conn),
                Action::Probe { conn } => self.probe(conn),
                Action::Close { conn } => self.close(conn),
                Action::Refuse { work, refused } => self.refuse(work, refused),
                Action::Abandon { work } => self.abandon(work),
            }
        }
    }

    fn close(&mut self, conn: ConnKey) {
        let Some(conn) = self.conns.remove(conn) else {
            return;
        };
        // Aborting the task drops the connection if the task owns it.
        if let Some(task) = conn.task {
            task.abort();
        }
        if let Some(connection) = conn.connection {
            connection.close();
        }
    }

    fn refuse(&mut self, work: WorkKey, refused: Refused) {
        if let Some(job) = self.jobs.remove(work) {
            self.count_refusal(refused.reason);
            job.refuse(refused);
        }
    }

    fn abandon(&mut self, work: WorkKey) {
        match self.jobs.remove(work).map(|j| j.kind) {
            // Not `Lost`: the request stalled, but the server did not drop its
            // connection.
            Some(JobKind::Ask { reply, .. }) => reply.send(AskResult::TimedOut),
            Some(JobKind::Run { reply, .. }) => {
                // Fails if the caller has disconnected.
                let _ = reply.send(RunReply::Unknown);
            }
            None => {}
        }
    }

    fn count_refusal(&self, reason: Refusal) {
        let name = match reason {
            Refusal::NotOwner => "refused.not_owner",
            Refusal::Busy => "refused.busy",
            Refusal::Cold => "refused.cold",
            Refusal::Draining => "refused.draining",
            Refusal::OutOfService => "refused.out_of_service",
            Refusal::UnknownServer => "refused.unknown_server",
            Refusal::Expired => "refused.expired",
            Refusal::Stopping => "refused.stopping",
            Refusal::Unreachable => "refused.unreachable",
        };
        self.deps.metrics.count(name, 1);
    }
}
