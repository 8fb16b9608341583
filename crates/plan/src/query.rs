//! State machine of one query.

use std::sync::Arc;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::coverage::MissingReason;
use chervil_base::index::HeldVersion;
use chervil_base::shards::Shard;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::Row;

use crate::latency::HedgeDelays;
use crate::policy::Policy;
use crate::topology::GateIdx;
use crate::topology::GroupIdx;
use crate::topology::ServerIdx;
use crate::topology::ShardMap;
use crate::topology::Topology;

mod ask;
mod canary;
mod choose;
mod event;
mod finish;
mod reply;
mod restart;

pub(crate) use choose::mix;
pub use event::Action;
pub use event::Event;
pub use event::NotRunReason;
pub use event::QueryOutcome;
pub use event::QuerySpec;

/// Most attempts of one shard within one version.
const MAX_ATTEMPTS: u8 = 24;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    /// A whole reply.
    Good,
    /// The server declared its reply partial.
    Partial,
    /// The server does not hold the shard at the pinned version.
    Gone,
    Refused(Refusal),
    /// The gate had no room for it; only gates give a hint with a refusal.
    Shed(Refusal),
    Lost,
    Failed,
    TimedOut,
    /// The link to the gate was lost.
    GateLost,
    /// No connection to the gate could be opened.
    NoGate,
    /// Another attempt was faster, or the query restarted.
    Dropped,
}

#[derive(Clone, Debug)]
struct Attempt {
    shard: Shard,
    server: ServerIdx,
    gate: GateIdx,
    batch: u32,
    sent: Instant,
    /// Attempt of the same shard before this one.
    before: Option<u32>,
    end: Option<End>,
}

#[derive(Clone, Debug)]
struct ShardState {
    /// Latest attempt.
    last: Option<u32>,
    open: u8,
    attempts: u8,
    hedges: u8,
    losses: u8,
    /// Attempts that may have reached a server and brought nothing.
    costly: u8,
    answered: bool,
    /// Nothing more can be tried at the pinned version.
    stuck: bool,
    /// When to hedge, or to retry when no attempt is open.
    due: Option<Instant>,
    reason: MissingReason,
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Batch {
    gate: GateIdx,
    first: u32,
    open: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    Canary,
    Running,
    Finished,
}

/// One query.
#[derive(Clone, Debug)]
pub struct Query {
    spec: QuerySpec,
    topology: Arc<Topology>,
    pinned: Arc<ShardMap>,
    phase: Phase,
    canary: canary::Canary,
    shards: Vec<ShardState>,
    attempts: Vec<Attempt>,
    batches: Vec<Batch>,
    /// Attempts of earlier versions have lower numbers.
    round_start: u32,
    restarts: u8,
    /// Sub-requests of this query per server of the topology.
    assigned: Vec<u16>,
    /// Whether a gate of the topology got work of this query.
    opened: Vec<bool>,
    /// Servers of the topology that are asked after the others.
    failing: Vec<bool>,
    /// Gates of the topology that are asked after the others.
    failing_gates: Vec<bool>,
    /// Number of gates that disowned a group.
    disowned: Vec<(GroupIdx, u32)>,
    /// Newest topology seen; the attempts refer to `topology`.
    newest: Arc<Topology>,
    /// What servers that do not hold the pinned version told.
    updates: HashMap<Box<str>, Vec<HeldVersion>>,
    /// Shard that finds out whether losses come from the request itself.
    loss_probe: Option<Shard>,
    /// Whether a shard was answered after a loss.
    loss_cleared: bool,
    unanswered: u32,
    /// Shards that are stuck.
    stuck: u32,
    overloads: u32,
    late: HedgeDelays,
    started: Instant,
    finish_at: Instant,
    gone_since: Option<Instant>,
    /// Servers whose news were considered for a restart.
    considered: usize,
    timer: Instant,
}

impl Query {
    /// Starts a query that [`crate::limiter::Limiter::try_acquire`] has admitted.
    pub fn start(
        spec: QuerySpec,
        topology: Arc<Topology>,
        policy: &mut Policy,
        now: Instant,
    ) -> (Query, Vec<Action>) {
        let empty = || Arc::new(ShardMap { version: 0, holders: Vec::new() });
        let pinned = topology.preferred().cloned().unwrap_or_else(empty);
        let mut query = Query::new(spec, topology, pinned, policy, now);
        let mut actions = Vec::new();
        if query.pinned.holders.is_empty() {
            query.not_run(NotRunReason::NoIndex, policy, now, &mut actions);
        } else if query.pinned.available_ratio() == 0.0 {
            query.not_run(NotRunReason::NoReplica, policy, now, &mut actions);
        } else if query.finish_at <= now {
            query.not_run(NotRunReason::Late, policy, now, &mut actions);
        } else if !policy.tunables.canary || policy.recent.contains(query.spec.digest, now) {
            query.run_all(policy, now);
            query.flush(policy, now, &mut actions);
        } else {
            query.ask_permit(&mut actions);
        }
        (query, actions)
    }

    /// Takes in an event.
    pub fn handle(&mut self, event: Event, policy: &mut Policy, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase == Phase::Finished {
            return actions;
        }
        match event {
            Event::Reply(reply) => self.on_reply(reply, policy, now, &mut actions),
            Event::BatchLost { batch, sent } => {
                let end = if sent { End::GateLost } else { End::NoGate };
                self.on_batch_lost(batch, end, policy, now, &mut actions)
            }
            Event::PermitReply { nonce, reply } => {
                self.on_permit(nonce, reply, policy, now, &mut actions)
            }
            Event::Topology(topology) => {
                self.newest = topology;
                self.on_layout(policy, now, &mut actions)
            }
            Event::Timer => {}
        }
        self.flush(policy, now, &mut actions);
        actions
    }

    /// Gives the query up because its caller left.
    pub fn cancel(&mut self, policy: &mut Policy) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase != Phase::Finished {
            self.phase = Phase::Finished;
            self.close_all(policy, &mut actions);
            self.give_up_probes(&mut actions);
            policy.limiter.release_cancelled();
        }
        actions
    }

    /// When [`Event::Timer`] is due.
    pub fn next_timer(&self) -> Instant {
        self.timer.min(self.finish_at)
    }

    /// Whether the query has ended.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    fn new(
        spec: QuerySpec,
        topology: Arc<Topology>,
        pinned: Arc<ShardMap>,
        policy: &mut Policy,
        now: Instant,
    ) -> Query {
        let left = spec.deadline.saturating_duration_since(now);
        // A tenth of a short deadline, so that some time is left for the work.
        let margin = policy.tunables.margin().min(left / 10);
        let mut query = Query {
            finish_at: spec.deadline.checked_sub(margin).unwrap_or(now),
            spec,
            newest: topology.clone(),
            topology,
            pinned,
            phase: Phase::Canary,
            canary: canary::Canary::default(),
            shards: Vec::new(),
            attempts: Vec::new(),
            batches: Vec::new(),
            round_start: 0,
            restarts: 0,
            assigned: Vec::new(),
            opened: Vec::new(),
            failing: Vec::new(),
            failing_gates: Vec::new(),
            disowned: Vec::new(),
            updates: HashMap::default(),
            loss_probe: None,
            loss_cleared: false,
            unanswered: 0,
            stuck: 0,
            overloads: 0,
            late: policy.hedge_delays(now),
            started: now,
            gone_since: None,
            considered: 0,
            timer: now,
        };
        query.timer = query.finish_at;
        query.begin_round(policy, now);
        query
    }

    /// Resets what belongs to one pinned version.
    fn begin_round(&mut self, policy: &mut Policy, now: Instant) {
        let count = self.pinned.holders.len();
        let fresh = ShardState {
            last: None,
            open: 0,
            attempts: 0,
            hedges: 0,
            losses: 0,
            costly: 0,
            answered: false,
            stuck: false,
            due: None,
            reason: MissingReason::Timeout,
            rows: Vec::new(),
        };
        self.shards = vec![fresh; count];
        self.unanswered = count as u32;
        self.stuck = 0;
        self.round_start = self.attempts.len() as u32;
        self.assigned = vec![0; self.topology.parts().servers.len()];
        self.opened = vec![false; self.topology.parts().gates.len()];
        self.disowned.clear();
        self.mark_failing(policy, now);
        self.gone_since = None;
    }

    /// Schedules every shard that has not been asked.
    fn run_all(&mut self, policy: &mut Policy, now: Instant) {
        self.phase = Phase::Running;
        policy.budget.deposit(self.pinned.holders.len() as u32);
        for shard in self.shards.iter_mut().filter(|s| !s.answered && !s.stuck && s.open == 0) {
            shard.due = Some(now);
        }
        self.wake(now);
    }

    fn wake(&mut self, at: Instant) {
        self.timer = self.timer.min(at);
    }
}
