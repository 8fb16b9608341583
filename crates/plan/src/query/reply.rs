//! Replies of gates, failed attempts and retries.

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
use super::AttemptOutcome;
use super::MAX_ATTEMPTS;
use super::Query;
use crate::policy::Policy;

/// Lost connections after which a shard is not retried, because the request
/// itself may crash the servers.
const MAX_LOSSES: u8 = 2;

/// Maximum number of attempts for one shard that may have reached a server and
/// returned nothing.
const MAX_WASTED: u8 = 12;

/// Initial backoff before a shard is retried after every replica refused it; it
/// doubles each time.
const REFUSED_BACKOFF: Duration = Duration::from_millis(5);

/// Maximum backoff after refusals.
const MAX_REFUSED_BACKOFF: Duration = Duration::from_millis(100);

/// How long a server that refused without a retry hint is deprioritized.
const BUSY_PENALTY: Duration = Duration::from_millis(50);

impl AttemptOutcome {
    /// Whether the attempt certainly ended before it reached a backend server.
    pub(super) fn never_reached_server(self) -> bool {
        use Refusal::*;
        match self {
            AttemptOutcome::GateUnreachable | AttemptOutcome::Shed(_) => true,
            AttemptOutcome::Refused(reason) => matches!(
                reason,
                NotOwner | OutOfService | UnknownServer | Stopping | Expired | Unreachable
            ),
            _ => false,
        }
    }

    /// Whether the connection to the server may be stalled, so that the next
    /// attempt must use another one.
    pub(super) fn may_stall_connection(self) -> bool {
        matches!(
            self,
            AttemptOutcome::ConnectionLost
                | AttemptOutcome::Failed
                | AttemptOutcome::TimedOut
                | AttemptOutcome::Cancelled
        )
    }

    /// Whether it is proven that no backend server started the attempt.
    pub(super) fn proves_not_run(self) -> bool {
        matches!(
            self,
            AttemptOutcome::Refused(_) | AttemptOutcome::Shed(_) | AttemptOutcome::GateUnreachable
        )
    }

    /// Whether a backend server may have run the attempt.
    pub(super) fn may_have_run(self) -> bool {
        !self.proves_not_run() && self != AttemptOutcome::VersionGone
    }

    /// Reason to report for a shard whose last attempt ended like this.
    fn missing_reason(self) -> MissingReason {
        match self {
            AttemptOutcome::VersionGone => MissingReason::VersionGone,
            AttemptOutcome::Refused(_) | AttemptOutcome::Shed(_) => MissingReason::Refused,
            AttemptOutcome::ConnectionLost
            | AttemptOutcome::Failed
            | AttemptOutcome::GateLost
            | AttemptOutcome::GateUnreachable => MissingReason::Lost,
            AttemptOutcome::Partial => MissingReason::PartialReply,
            AttemptOutcome::Success | AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => {
                MissingReason::Timeout
            }
        }
    }
}

impl Query {
    /// Handles a reply. Ignores replies to attempts that have ended, duplicates,
    /// and replies to other queries or to an earlier process.
    pub(super) fn on_reply(
        &mut self,
        reply: AskReply,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let own = reply.incarnation == self.spec.incarnation && reply.query == self.spec.query;
        let open = self.attempts.get(reply.attempt as usize).is_some_and(|a| a.outcome.is_none());
        if !own || !open {
            return;
        }
        let at = reply.attempt;
        let host = &self.topology.gate(self.attempts[at as usize].gate).host;
        policy.health.record_gate_success(host);
        match reply.result {
            AskResult::Rows { version, .. } if version != self.pinned.version => {
                self.fail_attempt(at, AttemptOutcome::VersionGone, policy, now, actions)
            }
            AskResult::Rows { partial: true, .. } => {
                self.fail_attempt(at, AttemptOutcome::Partial, policy, now, actions)
            }
            AskResult::Rows { rows, .. } => self.on_rows(at, rows, policy, now, actions),
            AskResult::WrongVersion { held } => {
                self.on_wrong_version(at, held, policy, now, actions)
            }
            AskResult::Refused { reason, retry_ms } => {
                self.on_refused(at, reason, retry_ms, policy, now, actions)
            }
            AskResult::Lost => {
                self.fail_attempt(at, AttemptOutcome::ConnectionLost, policy, now, actions)
            }
            AskResult::Failed => {
                self.fail_attempt(at, AttemptOutcome::Failed, policy, now, actions)
            }
            AskResult::TimedOut => {
                self.fail_attempt(at, AttemptOutcome::TimedOut, policy, now, actions)
            }
        }
    }

    /// Fails all open attempts of a batch whose gate can no longer reply.
    pub(super) fn on_batch_lost(
        &mut self,
        batch: u32,
        outcome: AttemptOutcome,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(info) = self.batches.get(batch as usize).filter(|b| b.open > 0) else { return };
        let (first, gate) = (info.first_attempt, info.gate);
        policy.health.record_gate_failure(&self.topology.gate(gate).host, now);
        self.deprioritized_gates[gate.0 as usize] = true;
        policy.budget.record_fault(now);
        let next = self.batches.get(batch as usize + 1);
        let next = next.map_or(self.attempts.len() as u32, |b| b.first_attempt);
        for at in first..next {
            if self.attempts[at as usize].outcome.is_none() {
                self.fail_attempt(at, outcome, policy, now, actions);
            }
        }
    }

    /// Handles a complete reply.
    fn on_rows(
        &mut self,
        at: u32,
        rows: Vec<Row>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &self.attempts[at as usize];
        let (shard, server) = (attempt.shard, attempt.server);
        let took = now.saturating_duration_since(attempt.sent_at);
        let name = &self.topology.server(server).name;
        policy.health.record_success(name);
        policy.health.record_latency(name, took);
        policy.latency.record(took, now);
        self.close_attempt(at, AttemptOutcome::Success, policy, actions);
        let state = &mut self.shards[shard as usize];
        (state.answered, state.due, state.rows) = (true, None, rows);
        self.unanswered -= 1;
        self.loss_cleared |= self.shards[shard as usize].losses > 0;
        self.cancel_rest(shard, policy, now, actions);
        self.on_probe_success(at, policy, now, actions);
    }

    /// Cancels the other attempts for a shard that has been answered.
    fn cancel_rest(
        &mut self,
        shard: Shard,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let mut next = self.shards[shard as usize].last_attempt;
        while let Some(at) = next {
            let attempt = &self.attempts[at as usize];
            next = attempt.previous;
            if attempt.outcome.is_none() {
                // The time so far is a lower bound of its latency.
                let took = now.saturating_duration_since(attempt.sent_at);
                policy.latency.record(took, now);
                policy.health.record_slow(&self.topology.server(attempt.server).name, took, now);
                self.close_attempt(at, AttemptOutcome::Cancelled, policy, actions);
            }
        }
    }

    /// Handles a reply of a server that does not hold the shard at the pinned
    /// version; its first one also triggers a refresh of the index.
    fn on_wrong_version(
        &mut self,
        at: u32,
        held: Vec<HeldVersion>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let server = self.topology.server(self.attempts[at as usize].server).name.clone();
        let first = self.index_updates.insert(server.clone(), held.clone()).is_none();
        if first {
            let updates = vec![ServerIndex { server, versions: held }];
            actions.push(Action::RefreshIndex { updates });
        }
        self.fail_attempt(at, AttemptOutcome::VersionGone, policy, now, actions);
    }

    /// Handles a refusal of a gate or server.
    fn on_refused(
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
        let wait = retry_ms.map_or(BUSY_PENALTY, |ms| Duration::from_millis(ms.into()));
        let position = attempt.server;
        let overloaded = retry_ms.is_some() && reason != Refusal::Unreachable;
        if overloaded || matches!(reason, Refusal::Busy | Refusal::Expired) {
            self.overload_refusals += 1;
        } else {
            policy.budget.record_fault(now);
        }
        match reason {
            Refusal::Unreachable => policy.health.record_failure(&server.name, now),
            Refusal::NotOwner | Refusal::Stopping => self.record_not_owner(server.group, gate),
            _ => policy.health.record_busy(&server.name, wait, now),
        }
        if !matches!(reason, Refusal::NotOwner | Refusal::Stopping) {
            self.deprioritized_servers[position.0 as usize] = true;
        }
        let outcome = if retry_ms.is_some() {
            AttemptOutcome::Shed(reason)
        } else {
            AttemptOutcome::Refused(reason)
        };
        self.fail_attempt(at, outcome, policy, now, actions);
    }

    /// Ends an attempt without rows and schedules a retry if one is allowed.
    fn fail_attempt(
        &mut self,
        at: u32,
        outcome: AttemptOutcome,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &self.attempts[at as usize];
        let (shard, server) = (attempt.shard, attempt.server);
        if matches!(
            outcome,
            AttemptOutcome::ConnectionLost | AttemptOutcome::Failed | AttemptOutcome::TimedOut
        ) {
            policy.health.record_failure(&self.topology.server(server).name, now);
            self.deprioritized_servers[server.0 as usize] = true;
            policy.budget.record_fault(now);
        }
        self.close_attempt(at, outcome, policy, actions);
        let state = &mut self.shards[shard as usize];
        state.reason = outcome.missing_reason();
        state.wasted += u8::from(!outcome.never_reached_server());
        if outcome == AttemptOutcome::ConnectionLost {
            state.losses += 1;
            policy.recent.remove(self.spec.digest);
            self.give_up_if_suspect(shard);
        }
        if self.on_probe_failure(at, outcome, now, actions) || self.shards[shard as usize].open > 0
        {
            return;
        }
        self.schedule_retry(shard, outcome, now);
    }

    /// Schedules the retry of a shard without open attempts, at once or after a
    /// backoff when all replicas have refused, or marks the shard as exhausted.
    fn schedule_retry(&mut self, shard: Shard, outcome: AttemptOutcome, now: Instant) {
        let state = &self.shards[shard as usize];
        let replicas = self.pinned.replicas[shard as usize].len();
        // A server that replied partially would do so again, so each replica
        // is asked only once.
        let partial = outcome == AttemptOutcome::Partial && usize::from(state.wasted) >= replicas;
        if partial || state.losses >= MAX_LOSSES || state.wasted >= MAX_WASTED {
            return self.mark_exhausted(shard);
        }
        if self.shards[shard as usize].exhausted {
            return;
        }
        let tries = match outcome {
            AttemptOutcome::Refused(Refusal::NotOwner | Refusal::Stopping) => {
                self.owner_gates(shard)
            }
            AttemptOutcome::Refused(_) | AttemptOutcome::Shed(_) => {
                self.pinned.replicas[shard as usize].len()
            }
            _ => usize::from(MAX_ATTEMPTS),
        };
        let wait = match usize::from(self.shards[shard as usize].attempts).checked_sub(tries) {
            Some(excess) => (REFUSED_BACKOFF * (1 << excess.min(10))).min(MAX_REFUSED_BACKOFF),
            None => Duration::ZERO,
        };
        self.schedule(shard, now + wait);
    }

    /// Gives up all shards that lost a connection when the loss probe lost one
    /// too: the request may crash every server that runs it.
    fn give_up_if_suspect(&mut self, shard: Shard) {
        if self.loss_probe == Some(shard) && !self.loss_cleared {
            for shard in 0..self.shards.len() as Shard {
                let state = &self.shards[shard as usize];
                if state.losses > 0 && !state.answered {
                    self.mark_exhausted(shard);
                }
            }
        }
    }

    /// Number of gates that may own a replica of the shard, counted once per
    /// replica.
    fn owner_gates(&self, shard: Shard) -> usize {
        let replicas = &self.pinned.replicas[shard as usize];
        let groups = replicas.iter().map(|s| self.topology.server(*s).group);
        groups.map(|g| self.topology.group(g).gates.len()).sum()
    }

    /// Records that no further attempt is possible for a shard.
    pub(super) fn mark_exhausted(&mut self, shard: Shard) {
        let state = &mut self.shards[shard as usize];
        state.due = None;
        self.exhausted += u32::from(!state.exhausted);
        state.exhausted = true;
    }

    /// Records the outcome of an attempt; the last one of a batch cancels the
    /// batch.
    pub(super) fn close_attempt(
        &mut self,
        at: u32,
        outcome: AttemptOutcome,
        policy: &mut Policy,
        actions: &mut Vec<Action>,
    ) {
        let attempt = &mut self.attempts[at as usize];
        attempt.outcome = Some(outcome);
        let batch = attempt.batch;
        policy.health.record_ended(&self.topology.server(attempt.server).name);
        self.shards[attempt.shard as usize].open -= 1;
        let open = &mut self.batches[batch as usize].open;
        *open -= 1;
        if *open == 0 {
            actions.push(Action::CancelBatch { batch });
        }
    }

    /// Cancels every open attempt.
    pub(super) fn close_open_attempts(&mut self, policy: &mut Policy, actions: &mut Vec<Action>) {
        for at in self.round_start..self.attempts.len() as u32 {
            if self.attempts[at as usize].outcome.is_none() {
                self.close_attempt(at, AttemptOutcome::Cancelled, policy, actions);
            }
        }
    }
}
