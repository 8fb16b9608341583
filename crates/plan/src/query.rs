//! State machine of one scatter-gather query.
//!
//! A query pins one index version and sends one sub-request for each of its
//! shards; each sub-request sent is an attempt, and the attempts that go to one
//! gate together are a batch. Attempts and batches are numbered within the
//! query. A round covers one pinned version: a restart at a newer version
//! starts a new round.

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
use crate::topology::PinnedVersion;
use crate::topology::ServerIdx;
use crate::topology::Topology;

mod ask;
mod canary;
mod choose;
mod event;
mod finish;
mod reply;
mod restart;

pub(crate) use choose::seeded_hash;
pub use event::Action;
pub use event::Event;
pub use event::NotRunReason;
pub use event::QueryOutcome;
pub use event::QuerySpec;

/// Maximum number of attempts for one shard within one round.
const MAX_ATTEMPTS: u8 = 24;

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum AttemptOutcome {
    /// A complete reply.
    Success,
    /// The server marked its reply as partial.
    Partial,
    /// The server does not hold the shard at the pinned version.
    VersionGone,
    /// Refused without a retry hint, by the server or the gate.
    Refused(Refusal),
    /// Refused with a retry hint, which only gates send: the gate has no capacity
    /// left or cannot reach the server.
    Shed(Refusal),
    /// The connection to the server was lost after the request was written.
    ConnectionLost,
    /// The server failed or its reply could not be read.
    Failed,
    /// The deadline passed after the request was written.
    TimedOut,
    /// The connection to the gate was lost.
    GateLost,
    /// No connection to the gate could be opened.
    GateUnreachable,
    /// Cancelled, because another attempt was faster or because the query
    /// restarted or ended.
    Cancelled,
}

#[derive(Clone, Debug)]
struct Attempt {
    shard: Shard,
    server: ServerIdx,
    gate: GateIdx,
    batch: u32,
    sent_at: Instant,
    /// Previous attempt for the same shard.
    previous: Option<u32>,
    /// `None` while the attempt is open.
    outcome: Option<AttemptOutcome>,
}

#[derive(Clone, Debug)]
struct ShardState {
    /// Latest attempt; the earlier ones follow by [`Attempt::previous`].
    last_attempt: Option<u32>,
    /// Attempts without an outcome.
    open: u8,
    attempts: u8,
    hedges: u8,
    /// Attempts that lost the connection to their server.
    losses: u8,
    /// Attempts that may have reached a server and returned nothing.
    wasted: u8,
    answered: bool,
    /// No further attempt is possible at the pinned version.
    exhausted: bool,
    /// Time of the next hedge, or of the next retry if no attempt is open.
    due: Option<Instant>,
    /// Why the shard is missing if it stays unanswered.
    reason: MissingReason,
    rows: Vec<Row>,
}

#[derive(Clone, Debug)]
struct Batch {
    gate: GateIdx,
    /// First attempt; the others have the following numbers.
    first_attempt: u32,
    /// Attempts without an outcome.
    open: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Phase {
    /// Waits for a canary permit or for the outcome of a probe.
    Canary,
    /// Asks all shards.
    Running,
    Finished,
}

/// State of one query.
#[derive(Clone, Debug)]
pub struct Query {
    spec: QuerySpec,
    topology: Arc<Topology>,
    pinned: Arc<PinnedVersion>,
    phase: Phase,
    canary: canary::CanaryState,
    shards: Vec<ShardState>,
    attempts: Vec<Attempt>,
    batches: Vec<Batch>,
    /// First attempt of the current round.
    round_start: u32,
    restarts: u8,
    /// Sub-requests of this round, by [`ServerIdx`].
    assigned: Vec<u16>,
    /// Whether this round has sent a batch, by [`GateIdx`].
    gates_used: Vec<bool>,
    /// Servers to ask only after the others, by [`ServerIdx`].
    deprioritized_servers: Vec<bool>,
    /// Gates to ask only after the others, by [`GateIdx`].
    deprioritized_gates: Vec<bool>,
    /// Groups with the number of gates that replied that they do not own it.
    skipped_gates: Vec<(GroupIdx, u32)>,
    /// Latest topology received. The attempts of this round refer to `topology`.
    latest: Arc<Topology>,
    /// Versions held by the servers that replied that they do not hold the
    /// pinned one.
    index_updates: HashMap<Box<str>, Vec<HeldVersion>>,
    /// Shard that is retried alone after a loss, to find out whether the request
    /// itself crashes the servers.
    loss_probe: Option<Shard>,
    /// Whether a shard was answered after a loss, so that the request is not the
    /// cause.
    loss_cleared: bool,
    unanswered: u32,
    /// Number of shards that are exhausted.
    exhausted: u32,
    /// Refusals because of overload.
    overload_refusals: u32,
    hedge_delays: HedgeDelays,
    started_at: Instant,
    /// Time of the answer at the latest.
    finish_at: Instant,
    /// Since when a shard of this round has no candidate left.
    gone_since: Option<Instant>,
    /// Length of `index_updates` when a restart was last considered.
    considered_updates: usize,
    /// Earliest time at which something is due.
    timer: Instant,
}

impl Query {
    /// Starts a query that [`crate::limiter::Limiter::try_acquire`] has admitted,
    /// and returns the first actions.
    pub fn start(
        spec: QuerySpec,
        topology: Arc<Topology>,
        policy: &mut Policy,
        now: Instant,
    ) -> (Query, Vec<Action>) {
        let empty = || Arc::new(PinnedVersion { version: 0, replicas: Vec::new() });
        let pinned = topology.preferred().cloned().unwrap_or_else(empty);
        let mut query = Query::new(spec, topology, pinned, policy, now);
        let mut actions = Vec::new();
        if query.pinned.replicas.is_empty() {
            query.finish_not_run(NotRunReason::NoIndex, policy, now, &mut actions);
        } else if query.pinned.available_ratio() == 0.0 {
            query.finish_not_run(NotRunReason::NoReplica, policy, now, &mut actions);
        } else if query.finish_at <= now {
            query.finish_not_run(NotRunReason::Late, policy, now, &mut actions);
        } else if !policy.tunables.canary || policy.recent.contains(query.spec.digest, now) {
            query.schedule_all(policy, now);
            query.send_due(policy, now, &mut actions);
        } else {
            query.request_permit(&mut actions);
        }
        (query, actions)
    }

    /// Handles an event and returns the resulting actions.
    pub fn handle(&mut self, event: Event, policy: &mut Policy, now: Instant) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase == Phase::Finished {
            return actions;
        }
        match event {
            Event::Reply(reply) => self.on_reply(reply, policy, now, &mut actions),
            Event::BatchLost { batch, sent } => {
                let outcome =
                    if sent { AttemptOutcome::GateLost } else { AttemptOutcome::GateUnreachable };
                self.on_batch_lost(batch, outcome, policy, now, &mut actions)
            }
            Event::PermitReply { nonce, reply } => {
                self.on_permit_reply(nonce, reply, policy, now, &mut actions)
            }
            Event::Topology(topology) => {
                self.latest = topology;
                self.consider_restart(policy, now, &mut actions)
            }
            Event::Timer => {}
        }
        self.send_due(policy, now, &mut actions);
        actions
    }

    /// Cancels the query because its caller disconnected.
    pub fn cancel(&mut self, policy: &mut Policy) -> Vec<Action> {
        let mut actions = Vec::new();
        if self.phase != Phase::Finished {
            self.phase = Phase::Finished;
            self.close_open_attempts(policy, &mut actions);
            self.release_permits(&mut actions);
            policy.limiter.release_cancelled();
        }
        actions
    }

    /// Time at which [`Event::Timer`] is to be passed to [`Query::handle`].
    pub fn next_timer(&self) -> Instant {
        self.timer.min(self.finish_at)
    }

    /// Whether the query has finished or was cancelled.
    pub fn is_finished(&self) -> bool {
        self.phase == Phase::Finished
    }

    fn new(
        spec: QuerySpec,
        topology: Arc<Topology>,
        pinned: Arc<PinnedVersion>,
        policy: &mut Policy,
        now: Instant,
    ) -> Query {
        let left = spec.deadline.saturating_duration_since(now);
        // At most a tenth of the remaining time, so that a short timeout still
        // leaves time for the sub-requests.
        let margin = policy.tunables.margin().min(left / 10);
        let mut query = Query {
            finish_at: spec.deadline.checked_sub(margin).unwrap_or(now),
            spec,
            latest: topology.clone(),
            topology,
            pinned,
            phase: Phase::Canary,
            canary: canary::CanaryState::default(),
            shards: Vec::new(),
            attempts: Vec::new(),
            batches: Vec::new(),
            round_start: 0,
            restarts: 0,
            assigned: Vec::new(),
            gates_used: Vec::new(),
            deprioritized_servers: Vec::new(),
            deprioritized_gates: Vec::new(),
            skipped_gates: Vec::new(),
            index_updates: HashMap::default(),
            loss_probe: None,
            loss_cleared: false,
            unanswered: 0,
            exhausted: 0,
            overload_refusals: 0,
            hedge_delays: policy.hedge_delays(now),
            started_at: now,
            gone_since: None,
            considered_updates: 0,
            timer: now,
        };
        query.timer = query.finish_at;
        query.begin_round(policy, now);
        query
    }

    /// Resets the state of the round for a newly pinned version.
    fn begin_round(&mut self, policy: &mut Policy, now: Instant) {
        let count = self.pinned.replicas.len();
        let fresh = ShardState {
            last_attempt: None,
            open: 0,
            attempts: 0,
            hedges: 0,
            losses: 0,
            wasted: 0,
            answered: false,
            exhausted: false,
            due: None,
            reason: MissingReason::Timeout,
            rows: Vec::new(),
        };
        self.shards = vec![fresh; count];
        self.unanswered = count as u32;
        self.exhausted = 0;
        self.round_start = self.attempts.len() as u32;
        self.assigned = vec![0; self.topology.parts().servers.len()];
        self.gates_used = vec![false; self.topology.parts().gates.len()];
        self.skipped_gates.clear();
        self.load_deprioritized(policy, now);
        self.gone_since = None;
    }

    /// Schedules all shards without an open attempt or an answer.
    fn schedule_all(&mut self, policy: &mut Policy, now: Instant) {
        self.phase = Phase::Running;
        policy.budget.deposit(self.pinned.replicas.len() as u32);
        for shard in self.shards.iter_mut().filter(|s| !s.answered && !s.exhausted && s.open == 0) {
            shard.due = Some(now);
        }
        self.arm_timer(now);
    }

    fn arm_timer(&mut self, at: Instant) {
        self.timer = self.timer.min(at);
    }
}
