//! Sending what is due: first attempts, hedges and retries.

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

/// Time after which an attempt that the budget denied is considered again.
const BUDGET_WAIT: Duration = Duration::from_millis(5);

/// Time after which a shard that waits for the end of another's attempt is
/// considered again.
const LOSS_WAIT: Duration = Duration::from_millis(2);

/// Time kept back from a gate's part for its replies to travel.
const WAY_BACK: Duration = Duration::from_millis(2);

impl Query {
    /// Sends what is due, and finishes when nothing more can be gained.
    pub(super) fn flush(&mut self, policy: &mut Policy, now: Instant, actions: &mut Vec<Action>) {
        if self.phase == Phase::Finished {
            return;
        }
        if self.phase == Phase::Canary {
            self.flush_canary(policy, now, actions);
        } else if self.timer <= now {
            self.timer = self.finish_at;
            let choices = self.collect_due(policy, now);
            self.send(choices, policy, now, actions);
        }
        self.finish_if_done(policy, now, actions);
    }

    fn collect_due(&mut self, policy: &mut Policy, now: Instant) -> Vec<Choice> {
        let mut choices = Vec::new();
        for shard in 0..self.shards.len() as Shard {
            match self.shards[shard as usize].due {
                Some(due) if due <= now => choices.extend(self.due(shard, policy, now)),
                Some(due) => self.wake(due),
                None => {}
            }
        }
        choices
    }

    /// Decides on the attempt of a shard whose time has come.
    fn due(&mut self, shard: Shard, policy: &mut Policy, now: Instant) -> Option<Choice> {
        let state = &self.shards[shard as usize];
        let (hedge, first) = (state.open > 0, state.attempts == 0);
        if state.attempts >= MAX_ATTEMPTS {
            self.shards[shard as usize].due = None;
            if !hedge {
                self.set_stuck(shard);
            }
            return None;
        }
        if self.must_wait(shard) {
            self.schedule(shard, now + LOSS_WAIT);
            return None;
        }
        let Some(choice) = self.choose(shard, policy) else {
            self.nothing_to_ask(shard, now);
            return None;
        };
        if hedge && state.hedges > 0 {
            // One slow reply is usual; two for one shard point to a fault.
            policy.budget.record_fault(now);
        }
        let granted = match (hedge, first) {
            (true, _) => policy.budget.take_hedge(now),
            (false, true) => true,
            (false, false) => !self.reached_server(shard) || policy.budget.take_retry(),
        };
        if !granted {
            self.schedule(shard, now + BUDGET_WAIT);
            return None;
        }
        self.account(&choice, hedge, policy, now);
        Some(choice)
    }

    /// Whether a shard that lost a server must wait. Until one shard has been
    /// answered after a loss, a single one at a time is asked again, so that a
    /// request that ends its servers ends no more than that one.
    fn must_wait(&self, shard: Shard) -> bool {
        if self.shards[shard as usize].losses == 0 || self.loss_cleared {
            return false;
        }
        self.loss_probe.is_some_and(|p| self.shards[p as usize].open > 0)
    }

    pub(super) fn account(&mut self, c: &Choice, hedge: bool, policy: &Policy, now: Instant) {
        let shard = c.shard;
        self.assigned[c.server.0 as usize] += 1;
        self.opened[c.gate.0 as usize] = true;
        let state = &mut self.shards[shard as usize];
        if state.losses > 0 && !self.loss_cleared {
            self.loss_probe = Some(shard);
        }
        state.attempts += 1;
        state.open += 1;
        state.hedges += u8::from(hedge);
        state.due = None;
        if state.hedges < policy.tunables.max_hedges {
            let at = now + self.late.hedge;
            self.schedule(shard, at);
        }
    }

    /// Whether the latest attempt of a shard may have reached its server, so
    /// that another one adds load.
    fn reached_server(&self, shard: Shard) -> bool {
        let last = self.shards[shard as usize].last;
        let end = last.and_then(|l| self.attempts[l as usize].end);
        end.is_none_or(|e| !e.is_before_server())
    }

    fn nothing_to_ask(&mut self, shard: Shard, now: Instant) {
        let none = self.pinned.holders[shard as usize].is_empty();
        let state = &mut self.shards[shard as usize];
        state.due = None;
        if state.open == 0 {
            state.reason = if none { MissingReason::NoReplica } else { state.reason };
            self.gone_since.get_or_insert(now);
            self.set_stuck(shard);
        }
    }

    pub(super) fn schedule(&mut self, shard: Shard, at: Instant) {
        self.shards[shard as usize].due = Some(at);
        self.wake(at);
    }

    /// Groups choices by gate and sends one batch to each.
    pub(super) fn send(
        &mut self,
        mut choices: Vec<Choice>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        choices.sort_by_key(|c| (c.gate, c.shard));
        for part in choices.chunk_by(|a, b| a.gate == b.gate) {
            let batch = self.batches.len() as u32;
            let (gate, first) = (part[0].gate, self.attempts.len() as u32);
            self.batches.push(Batch { gate, first, open: part.len() as u32 });
            let items = part.iter().map(|c| self.attempt(c, batch, policy, now)).collect();
            let ask = self.batch(items, now);
            actions.push(Action::SendBatch { batch, gate, topology: self.topology.clone(), ask });
        }
    }

    fn attempt(&mut self, c: &Choice, batch: u32, policy: &mut Policy, now: Instant) -> AskItem {
        let attempt = self.attempts.len() as u32;
        let before = self.shards[c.shard as usize].last.replace(attempt);
        self.attempts.push(Attempt {
            shard: c.shard,
            server: c.server,
            gate: c.gate,
            batch,
            sent: now,
            before,
            end: None,
        });
        let server = &self.topology.server(c.server).name;
        policy.health.record_sent(server);
        AskItem { attempt, shard: c.shard, server: server.clone(), fresh: c.fresh }
    }

    fn batch(&self, items: Vec<AskItem>, now: Instant) -> AskBatch {
        let left = self.finish_at.saturating_duration_since(now).saturating_sub(WAY_BACK);
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
