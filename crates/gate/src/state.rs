//! The actor that owns the gate's state. It feeds events to the state machine
//! of `chervil-slots` and carries out its actions.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_backend::link::AskCall;
use chervil_backend::link::BackendLink;
use chervil_backend::link::Connection;
use chervil_backend::link::RunCall;
use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::catalog::Catalog;
use chervil_base::clock::Clock;
use chervil_node::metrics::Metrics;
use chervil_node::shutdown::Lifecycle;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::View;
use chervil_rpc::client::Peers;
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
use self::held::Held;
use crate::rights::Rights;

mod calls;
mod events;
mod health;
mod held;
mod hints;
mod view;
mod work;

pub(crate) use events::Tick;
pub(crate) use hints::Hint;
pub(crate) use hints::HintAll;
pub(crate) use view::Index;
pub(crate) use view::SetLease;
pub(crate) use view::SetView;
pub(crate) use view::TICK;
pub(crate) use work::Cancel;
pub(crate) use work::Pending;
pub(crate) use work::Stop;
pub(crate) use work::SubmitBatch;
pub(crate) use work::SubmitRun;

/// What the actor needs from its process.
pub(crate) struct Parts {
    pub(crate) host: Box<str>,
    pub(crate) link: Arc<dyn BackendLink>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) peers: Arc<Peers>,
    pub(crate) rights: Arc<Rights>,
    pub(crate) metrics: Metrics,
    pub(crate) lifecycle: Lifecycle,
    pub(crate) open_timeout: Duration,
    pub(crate) address: WeakAddress<GateState>,
}

/// State of a gate.
pub(crate) struct GateState {
    parts: Parts,
    slots: Scheduler,
    catalog: Catalog,
    view: Option<View>,
    /// Member list that the ownership rests on.
    list: MemberList,
    lease: Option<QuorumLease>,
    index: HashMap<Box<str>, Held>,
    health: HealthLog,
    jobs: SecondaryMap<WorkKey, Job>,
    conns: SecondaryMap<ConnKey, Line>,
    resend_at: Option<Instant>,
    report_at: Instant,
    runs: u64,
    /// Names of the groups owned without a gap in the quorum lease.
    held: HashSet<Box<str>>,
    hint_at: Instant,
    /// Groups that were lost a short time ago, whose levels the new owner needs.
    handover: HashMap<Box<str>, Instant>,
    handover_at: Instant,
}

/// A connection as the actor holds it.
#[derive(Default)]
struct Line {
    /// Present while nothing runs on it; a task owns it otherwise.
    connection: Option<Box<dyn Connection>>,
    task: Option<AbortHandle>,
}

/// An accepted work item.
struct Job {
    server: Box<str>,
    accepted: Instant,
    deadline: Instant,
    span: Span,
    kind: Kind,
}

enum Kind {
    Ask { call: Arc<AskCall>, to: Recipient },
    Run { call: Arc<RunCall>, reply: oneshot::Sender<RunReply> },
}

/// Where the result of an attempt goes.
struct Recipient {
    incarnation: u64,
    query: u64,
    attempt: u32,
    replies: mpsc::UnboundedSender<AskReply>,
}

impl Recipient {
    fn send(self, result: AskResult) {
        let Recipient { incarnation, query, attempt, replies } = self;
        // The subscriber may have gone.
        let _ = replies.send(AskReply { incarnation, query, attempt, result });
    }
}

impl Job {
    fn refuse(self, refused: Refused) {
        let Refused { reason, retry_after } = refused;
        match self.kind {
            Kind::Ask { to, .. } => {
                let retry_ms = retry_after.map(|r| r.as_millis() as u32);
                to.send(AskResult::Refused { reason, retry_ms });
            }
            Kind::Run { reply, .. } => {
                // The caller may have gone.
                let _ = reply.send(RunReply::NotRun { reason });
            }
        }
    }
}

impl xtra::Actor for GateState {
    type Stop = ();

    async fn stopped(self) {}
}

impl GateState {
    pub(crate) fn new(parts: Parts, slots: Scheduler) -> GateState {
        let report_at = parts.clock.now();
        GateState {
            parts,
            slots,
            catalog: Catalog::default(),
            view: None,
            list: MemberList::default(),
            lease: None,
            index: HashMap::default(),
            health: HealthLog::default(),
            jobs: SecondaryMap::new(),
            conns: SecondaryMap::new(),
            resend_at: None,
            report_at,
            runs: 0,
            held: HashSet::default(),
            hint_at: report_at,
            handover: HashMap::default(),
            handover_at: report_at,
        }
    }

    fn now(&self) -> Instant {
        self.parts.clock.now()
    }

    /// Carries out what the state machine asks for.
    fn act(&mut self) {
        for action in self.slots.take_actions() {
            match action {
                Action::Open { conn, address } => self.open(conn, address),
                Action::OpenLazy { conn, address } => self.prepare(conn, address),
                Action::Start { work, conn } => self.start(work, conn),
                Action::Probe { conn } => self.probe(conn),
                Action::Close { conn } => self.close(conn),
                Action::Refuse { work, refused } => self.refuse(work, refused),
                Action::Abandon { work } => self.abandon(work),
            }
        }
    }

    fn close(&mut self, conn: ConnKey) {
        let Some(line) = self.conns.remove(conn) else {
            return;
        };
        // The task owns the connection while a request runs.
        if let Some(task) = line.task {
            task.abort();
        }
        if let Some(connection) = line.connection {
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
            // Not a loss: the request did not end its connection.
            Some(Kind::Ask { to, .. }) => to.send(AskResult::TimedOut),
            Some(Kind::Run { reply, .. }) => {
                // The caller may have gone.
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
        self.parts.metrics.count(name, 1);
    }
}
