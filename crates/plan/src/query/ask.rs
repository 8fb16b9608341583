//! Sending of due attempts: first attempts, hedges and retries.

use std::time::Duration;
use std::time::Instant;

use chervil_base::coverage::MissingReason;
use chervil_base::shards::Shard;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::AskItem;

use super::Action;
use super::Attempt;
use super::Batch;
use super::MAX_ATTEMPTS;
use super::Phase;
use super::Query;
use super::choose::Choice;
use crate::policy::Policy;

/// Wait before an attempt that the retry budget denied is tried again.
const BUDGET_RETRY_DELAY: Duration = Duration::from_millis(5);

/// Interval at which a shard that waits for the loss probe checks for its
/// outcome.
const LOSS_PROBE_POLL: Duration = Duration::from_millis(2);

/// Time reserved for the way of a gate's replies to the entry.
const REPLY_MARGIN: Duration = Duration::from_millis(2);

impl Query {
    /// Sends the due attempts, and finishes the query if no further attempt can
    /// help.
    pub(super) fn send_due(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Finished {
            return;
        }
        if self.phase == Phase::Canary {
            self.send_due_probes(policy, now, actions);
        } else if self.timer <= now {
            self.timer = self.finish_at;
            let choices = self.collect_due(policy, now);
            self.send_batches(choices, policy, now, actions);
        }
        self.finish_if_done(policy, now, actions);
    }

    /// Plans the due attempts of all shards and sets the timer for the others.
    fn collect_due(&mut self, policy: &mut Policy, now: Instant) -> Vec<Choice> {
        let mut choices = Vec::new();
        for shard in 0..self.shards.len() as Shard {
            match self.shards[shard as usize].due {
                Some(due) if due <= now => choices.extend(self.plan_attempt(shard, policy, now)),
                Some(due) => self.arm_timer(due),
                None => {}
            }
        }
        choices
    }

    /// Plans the due attempt of a shard; `None` if it must wait or nothing can be
    /// sent.
    fn plan_attempt(&mut self, shard: Shard, policy: &mut Policy, now: Instant) -> Option<Choice> {
        let state = &self.shards[shard as usize];
        let (hedge, first) = (state.open > 0, state.attempts == 0);
        if state.attempts >= MAX_ATTEMPTS {
            self.shards[shard as usize].due = None;
            if !hedge {
                self.mark_exhausted(shard);
            }
            return None;
        }
        if self.awaits_loss_probe(shard) {
            self.schedule(shard, now + LOSS_PROBE_POLL);
            return None;
        }
        let Some(choice) = self.choose(shard, policy) else {
            self.handle_no_candidate(shard, now);
            return None;
        };
        if hedge && state.hedges > 0 {
            // One slow reply is normal; a second one for the same shard
            // indicates a fault.
            policy.budget.record_fault(now);
        }
        let granted = match (hedge, first) {
            (true, _) => policy.budget.take_hedge(now),
            (false, true) => true,
            (false, false) => !self.may_have_reached_server(shard) || policy.budget.take_retry(),
        };
        if !granted {
            self.schedule(shard, now + BUDGET_RETRY_DELAY);
            return None;
        }
        self.record_choice(&choice, hedge, policy, now);
        Some(choice)
    }

    /// Whether a shard that lost the connection to a server must wait for the
    /// loss probe. Until one shard has been answered after a loss, such shards
    /// are retried one at a time, so that a request that crashes its servers
    /// crashes only one more.
    fn awaits_loss_probe(&self, shard: Shard) -> bool {
        if self.shards[shard as usize].losses == 0 || self.loss_cleared {
            return false;
        }
        self.loss_probe.is_some_and(|p| self.shards[p as usize].open > 0)
    }

    /// Updates the state for a chosen attempt and schedules its hedge.
    pub(super) fn record_choice(&mut self, c: &Choice, hedge: bool, policy: &Policy, now: Instant) {
        let shard = c.shard;
        self.assigned[c.server.0 as usize] += 1;
        self.gates_used[c.gate.0 as usize] = true;
        let state = &mut self.shards[shard as usize];
        if state.losses > 0 && !self.loss_cleared {
            self.loss_probe = Some(shard);
        }
        state.attempts += 1;
        state.open += 1;
        state.hedges += u8::from(hedge);
        state.due = None;
        if state.hedges < policy.tunables.max_hedges {
            let at = now + self.hedge_delays.hedge;
            self.schedule(shard, at);
        }
    }

    /// Whether the latest attempt for a shard may have reached its server, so
    /// that a retry adds load and needs a token of the budget.
    fn may_have_reached_server(&self, shard: Shard) -> bool {
        let last = self.shards[shard as usize].last_attempt;
        let outcome = last.and_then(|l| self.attempts[l as usize].outcome);
        outcome.is_none_or(|o| !o.never_reached_server())
    }

    /// Marks a shard without a candidate and without open attempts as exhausted.
    fn handle_no_candidate(&mut self, shard: Shard, now: Instant) {
        let unheld = self.pinned.replicas[shard as usize].is_empty();
        let state = &mut self.shards[shard as usize];
        state.due = None;
        if state.open == 0 {
            state.reason = if unheld { MissingReason::NoReplica } else { state.reason };
            self.gone_since.get_or_insert(now);
            self.mark_exhausted(shard);
        }
    }

    /// Sets the time of a shard's next attempt.
    pub(super) fn schedule(&mut self, shard: Shard, at: Instant) {
        self.shards[shard as usize].due = Some(at);
        self.arm_timer(at);
    }

    /// Groups the choices by gate and sends one batch to each gate.
    pub(super) fn send_batches(
        &mut self,
        mut choices: Vec<Choice>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        choices.sort_by_key(|c| (c.gate, c.shard));
        for group in choices.chunk_by(|a, b| a.gate == b.gate) {
            let batch = self.batches.len() as u32;
            let (gate, first) = (group[0].gate, self.attempts.len() as u32);
            self.batches.push(Batch { gate, first_attempt: first, open: group.len() as u32 });
            let items = group.iter().map(|c| self.add_attempt(c, batch, policy, now)).collect();
            let ask = self.build_batch(items, now);
            actions.push(Action::SendBatch { batch, gate, topology: self.topology.clone(), ask });
        }
    }

    /// Records an attempt and returns its item of the batch.
    fn add_attempt(
        &mut self,
        c: &Choice,
        batch: u32,
        policy: &mut Policy,
        now: Instant,
    ) -> AskItem {
        let attempt = self.attempts.len() as u32;
        let previous = self.shards[c.shard as usize].last_attempt.replace(attempt);
        self.attempts.push(Attempt {
            shard: c.shard,
            server: c.server,
            gate: c.gate,
            batch,
            sent_at: now,
            previous,
            outcome: None,
        });
        let server = &self.topology.server(c.server).name;
        policy.health.record_sent(server);
        AskItem { attempt, shard: c.shard, server: server.clone(), fresh: c.fresh }
    }

    fn build_batch(&self, items: Vec<AskItem>, now: Instant) -> AskBatch {
        let left = self.finish_at.saturating_duration_since(now).saturating_sub(REPLY_MARGIN);
        AskBatch {
            incarnation: self.spec.incarnation,
            query: self.spec.query,
            service: self.spec.service.clone(),
            version: self.pinned.version,
            timeout_ms: left.as_millis().max(1) as u32,
            digest: self.spec.digest,
            body: self.spec.body.clone(),
            trace: self.spec.trace.clone(),
            items,
        }
    }
}
