//! Replies, refusals and losses.

use std::time::Duration;
use std::time::Instant;

use chervil_base::coverage::MissingReason;
use chervil_base::index::HeldVersion;
use chervil_base::index::ServerIndex;
use chervil_base::shards::Shard;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::AskResult;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::Row;

use super::Action;
use super::End;
use super::MAX_ATTEMPTS;
use super::Query;
use crate::policy::Policy;

/// Losses after which a shard is not asked again: its request may be what
/// ends the servers.
const MAX_LOSSES: u8 = 2;

/// Attempts of one shard that may reach a server and bring nothing.
const MAX_COSTLY: u8 = 12;

/// First wait before a refused shard is asked again where every replica
/// refused; it doubles each time.
const REFUSED_WAIT: Duration = Duration::from_millis(5);

/// Longest such wait.
const MAX_REFUSED_WAIT: Duration = Duration::from_millis(100);

/// How long a server that refused without a hint is asked last.
const BUSY_WAIT: Duration = Duration::from_millis(50);

impl End {
    /// Whether the attempt ended before any backend server heard of it.
    pub(super) fn is_before_server(self) -> bool {
        use Refusal::*;
        match self {
            End::NoGate | End::Shed(_) => true,
            End::Refused(reason) => matches!(
                reason,
                NotOwner | OutOfService | UnknownServer | Stopping | Expired | Unreachable
            ),
            _ => false,
        }
    }

    /// Whether the attempt may have left a stalled connection behind.
    pub(super) fn may_stall(self) -> bool {
        matches!(self, End::Lost | End::Failed | End::TimedOut | End::Dropped)
    }

    /// Whether it is proven that no backend server started the attempt.
    pub(super) fn is_not_run(self) -> bool {
        matches!(self, End::Refused(_) | End::Shed(_) | End::NoGate)
    }

    /// Whether a backend server may have run the attempt.
    pub(super) fn may_have_run(self) -> bool {
        !self.is_not_run() && self != End::Gone
    }

    fn reason(self) -> MissingReason {
        match self {
            End::Gone => MissingReason::VersionGone,
            End::Refused(_) | End::Shed(_) => MissingReason::Refused,
            End::Lost | End::Failed | End::GateLost | End::NoGate => MissingReason::Lost,
            End::Partial => MissingReason::PartialReply,
            End::Good | End::TimedOut | End::Dropped => MissingReason::Timeout,
        }
    }
}

impl Query {
    /// Takes in a reply, unless it is late, a duplicate or someone else's.
    pub(super) fn on_reply(
        &mut self,
        reply: AskReply,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let own = reply.incarnation == self.spec.incarnation && reply.query == self.spec.query;
        let open = self.attempts.get(reply.attempt as usize).is_some_and(|a| a.end.is_none());
        if !own || !open {
            return;
        }
        let at = reply.attempt;
        let host = &self.topology.gate(self.attempts[at as usize].gate).host;
        policy.health.record_gate_success(host);
        match reply.result {
            AskResult::Rows { version, .. } if version != self.pinned.version => {
                self.ended(at, End::Gone, policy, now, actions)
            }
            AskResult::Rows { partial: true, .. } => {
                self.ended(at, End::Partial, policy, now, actions)
            }
            AskResult::Rows { rows, .. } => self.good(at, rows, policy, now, actions),
            AskResult::WrongVersion { held } => self.gone(at, held, policy, now, actions),
            AskResult::Refused { reason, retry_ms } => {
                self.refused(at, reason, retry_ms, policy, now, actions)
            }
            AskResult::Lost => self.ended(at, End::Lost, policy, now, actions),
            AskResult::Failed => self.ended(at, End::Failed, policy, now, actions),
            AskResult::TimedOut => self.ended(at, End::TimedOut, policy, now, actions),
        }
    }

    /// Ends all open attempts of a batch whose gate cannot report any more.
    pub(super) fn on_batch_lost(
        &mut self,
        batch: u32,
        end: End,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(info) = self.batches.get(batch as usize).filter(|b| b.open > 0) else { return };
        let (first, gate) = (info.first, info.gate);
        policy.health.record_gate_failure(&self.topology.gate(gate).host, now);
        self.failing_gates[gate.0 as usize] = true;
        policy.budget.record_fault(now);
        let next = self.batches.get(batch as usize + 1);
        let next = next.map_or(self.attempts.len() as u32, |b| b.first);
        for at in first..next {
            if self.attempts[at as usize].end.is_none() {
                self.ended(at, end, policy, now, actions);
            }
        }
    }

    fn good(
        &mut self,
        at: u32,
        rows: Vec<Row>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &self.attempts[at as usize];
        let (shard, server) = (attempt.shard, attempt.server);
        let took = now.saturating_duration_since(attempt.sent);
        let name = &self.topology.server(server).name;
        policy.health.record_success(name);
        policy.health.record_latency(name, took);
        policy.latency.record(took, now);
        self.close(at, End::Good, policy, actions);
        let state = &mut self.shards[shard as usize];
        (state.answered, state.due, state.rows) = (true, None, rows);
        self.unanswered -= 1;
        self.loss_cleared |= self.shards[shard as usize].losses > 0;
        self.drop_rest(shard, policy, now, actions);
        self.probe_good(at, policy, now, actions);
    }

    /// Drops the attempts that a faster one has made pointless.
    fn drop_rest(
        &mut self,
        shard: Shard,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut next = self.shards[shard as usize].last;
        while let Some(at) = next {
            let attempt = &self.attempts[at as usize];
            next = attempt.before;
            if attempt.end.is_none() {
                // What it has taken so far is a lower bound of its latency.
                let took = now.saturating_duration_since(attempt.sent);
                policy.latency.record(took, now);
                policy.health.record_slow(&self.topology.server(attempt.server).name, took, now);
                self.close(at, End::Dropped, policy, actions);
            }
        }
    }

    fn gone(
        &mut self,
        at: u32,
        held: Vec<HeldVersion>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let server = self.topology.server(self.attempts[at as usize].server).name.clone();
        let first = self.updates.insert(server.clone(), held.clone()).is_none();
        if first {
            let updates = vec![ServerIndex { server, versions: held }];
            actions.push(Action::RefreshIndex { updates });
        }
        self.ended(at, End::Gone, policy, now, actions);
    }

    fn refused(
        &mut self,
        at: u32,
        reason: Refusal,
        retry_ms: Option<u32>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &self.attempts[at as usize];
        let (server, gate) = (self.topology.server(attempt.server), attempt.gate);
        let wait = retry_ms.map_or(BUSY_WAIT, |ms| Duration::from_millis(ms.into()));
        let position = attempt.server;
        let shed = retry_ms.is_some() && reason != Refusal::Unreachable;
        if shed || matches!(reason, Refusal::Busy | Refusal::Expired) {
            self.overloads += 1;
        } else {
            policy.budget.record_fault(now);
        }
        match reason {
            Refusal::Unreachable => policy.health.record_failure(&server.name, now),
            Refusal::NotOwner | Refusal::Stopping => self.disown(server.group, gate),
            _ => policy.health.record_busy(&server.name, wait, now),
        }
        if !matches!(reason, Refusal::NotOwner | Refusal::Stopping) {
            self.failing[position.0 as usize] = true;
        }
        let end = if retry_ms.is_some() { End::Shed(reason) } else { End::Refused(reason) };
        self.ended(at, end, policy, now, actions);
    }

    /// Ends an attempt that brought nothing and schedules what comes next.
    fn ended(
        &mut self,
        at: u32,
        end: End,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &self.attempts[at as usize];
        let (shard, server) = (attempt.shard, attempt.server);
        if matches!(end, End::Lost | End::Failed | End::TimedOut) {
            policy.health.record_failure(&self.topology.server(server).name, now);
            self.failing[server.0 as usize] = true;
            policy.budget.record_fault(now);
        }
        self.close(at, end, policy, actions);
        let state = &mut self.shards[shard as usize];
        state.reason = end.reason();
        state.costly += u8::from(!end.is_before_server());
        if end == End::Lost {
            state.losses += 1;
            policy.recent.remove(self.spec.digest);
            self.lost(shard);
        }
        if self.probe_ended(at, end, now, actions) || self.shards[shard as usize].open > 0 {
            return;
        }
        self.retry(shard, end, now);
    }

    fn retry(&mut self, shard: Shard, end: End, now: Instant) {
        let state = &self.shards[shard as usize];
        let holders = self.pinned.holders[shard as usize].len();
        // A server that replied in part will not do better at once.
        let partial = end == End::Partial && usize::from(state.costly) >= holders;
        if partial || state.losses >= MAX_LOSSES || state.costly >= MAX_COSTLY {
            return self.set_stuck(shard);
        }
        if self.shards[shard as usize].stuck {
            return;
        }
        let tries = match end {
            End::Refused(Refusal::NotOwner | Refusal::Stopping) => self.gates_of(shard),
            End::Refused(_) | End::Shed(_) => self.pinned.holders[shard as usize].len(),
            _ => usize::from(MAX_ATTEMPTS),
        };
        let wait = match usize::from(self.shards[shard as usize].attempts).checked_sub(tries) {
            Some(rounds) => (REFUSED_WAIT * (1 << rounds.min(10))).min(MAX_REFUSED_WAIT),
            None => Duration::ZERO,
        };
        self.schedule(shard, now + wait);
    }

    /// Gives up the shards that lost a server when the request has ended a
    /// second one: it may end every server that runs it.
    fn lost(&mut self, shard: Shard) {
        if self.loss_probe == Some(shard) && !self.loss_cleared {
            for shard in 0..self.shards.len() as Shard {
                let state = &self.shards[shard as usize];
                if state.losses > 0 && !state.answered {
                    self.set_stuck(shard);
                }
            }
        }
    }

    /// Number of gates that may own a replica of the shard.
    fn gates_of(&self, shard: Shard) -> usize {
        let holders = &self.pinned.holders[shard as usize];
        let groups = holders.iter().map(|s| self.topology.server(*s).group);
        groups.map(|g| self.topology.group(g).gates.len()).sum()
    }

    /// Records that nothing more can be tried for a shard.
    pub(super) fn set_stuck(&mut self, shard: Shard) {
        let state = &mut self.shards[shard as usize];
        state.due = None;
        self.stuck += u32::from(!state.stuck);
        state.stuck = true;
    }

    /// Marks an attempt as ended; the last one of a batch ends the batch.
    pub(super) fn close(
        &mut self,
        at: u32,
        end: End,
        policy: &mut Policy,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &mut self.attempts[at as usize];
        attempt.end = Some(end);
        let batch = attempt.batch;
        policy.health.record_ended(&self.topology.server(attempt.server).name);
        self.shards[attempt.shard as usize].open -= 1;
        let open = &mut self.batches[batch as usize].open;
        *open -= 1;
        if *open == 0 {
            actions.push(Action::CancelBatch { batch });
        }
    }

    /// Ends every open attempt.
    pub(super) fn close_all(&mut self, policy: &mut Policy, actions: &mut Vec<Action>) {
        for at in self.round_start..self.attempts.len() as u32 {
            if self.attempts[at as usize].end.is_none() {
                self.close(at, End::Dropped, policy, actions);
            }
        }
    }
}
