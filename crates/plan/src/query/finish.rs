//! The end of a query: coverage, merge and early refusal.

use std::time::Duration;
use std::time::Instant;

use chervil_base::coverage::Coverage;
use chervil_base::coverage::MissingReason;
use chervil_base::coverage::MissingShard;
use chervil_base::shards::Shard;
use chervil_rpc::gate::Row;

use super::Action;
use super::End;
use super::NotRunReason;
use super::Phase;
use super::Query;
use super::QueryOutcome;
use super::ShardState;
use crate::policy::Policy;

/// How long a query waits for news of a newer version when shards of the
/// pinned one are gone.
const GONE_WAIT: Duration = Duration::from_millis(250);

/// Share of refusals for overload, in percent of the shards, that lowers the
/// service's limit.
const OVERLOAD_PERCENT: u32 = 5;

/// Share of shards without any reply, in percent, that lowers the service's
/// limit. A single server that hangs must not reach it.
const LATE_PERCENT: u32 = 50;

/// Retry hint of a request that cannot be served as it is, in milliseconds.
const LONG_RETRY_MS: u32 = 1000;

/// Retry hint of a refused request, in milliseconds.
const SHORT_RETRY_MS: u32 = 100;

impl Query {
    /// Finishes when all shards are answered, when the rest cannot be, or
    /// when the time is up.
    pub(super) fn finish_if_done(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Canary && now >= self.finish_at {
            return self.not_run(NotRunReason::NoPermit, policy, now, actions);
        }
        if self.phase != Phase::Running {
            return;
        }
        if now < self.finish_at && self.is_exhausted() && self.unanswered > 0 {
            self.restart_at_reported(policy, now, actions);
        }
        if now >= self.finish_at || (self.is_exhausted() && !self.awaits_version(now)) {
            self.finish(policy, now, actions);
        }
    }

    /// Whether no shard that is missing can be answered at the pinned version.
    fn is_exhausted(&self) -> bool {
        self.unanswered == self.stuck
    }

    /// Whether news of a newer version may still come.
    fn awaits_version(&mut self, now: Instant) -> bool {
        let Some(since) = self.gone_since else { return false };
        let gone = |s: &ShardState| s.stuck && s.reason == MissingReason::VersionGone;
        let waits = now < since + GONE_WAIT && self.shards.iter().any(gone);
        if waits {
            self.wake(since + GONE_WAIT);
        }
        waits
    }

    fn finish(&mut self, policy: &mut Policy, now: Instant, actions: &mut Vec<Action>) {
        let started = self.attempts.iter().any(|a| a.end.is_none_or(|e| !e.is_not_run()));
        if self.unanswered == self.shards.len() as u32 && !started {
            let reason = if self.attempts.is_empty() {
                NotRunReason::NoReplica
            } else {
                NotRunReason::Refused
            };
            return self.not_run(reason, policy, now, actions);
        }
        let coverage = self.coverage();
        let rows = self.merge();
        self.leave(policy, now, actions);
        actions.push(Action::Finish(QueryOutcome::Answer { coverage, rows }));
    }

    /// Ends the query without an answer.
    pub(super) fn not_run(
        &mut self,
        reason: NotRunReason,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let retry_ms = match reason {
            NotRunReason::Suspect | NotRunReason::NoIndex => LONG_RETRY_MS,
            NotRunReason::NoPermit
            | NotRunReason::Refused
            | NotRunReason::NoReplica
            | NotRunReason::Late => SHORT_RETRY_MS,
        };
        let probed = self.attempts.iter().any(|a| a.end.is_none_or(End::may_have_run));
        self.leave(policy, now, actions);
        let ending = if probed {
            QueryOutcome::RefusedAfterProbe { reason, retry_ms }
        } else {
            QueryOutcome::NotRun { reason, retry_ms }
        };
        actions.push(Action::Finish(ending));
    }

    fn leave(&mut self, policy: &mut Policy, now: Instant, actions: &mut Vec<Action>) {
        let shards = self.shards.len() as u32;
        let late = self.shards.iter().filter(|s| !s.answered && s.reason == MissingReason::Timeout);
        let overloaded = self.overloads * 100 > shards * OVERLOAD_PERCENT
            || late.count() as u32 * 100 > shards * LATE_PERCENT;
        let took = now.saturating_duration_since(self.started);
        self.phase = Phase::Finished;
        self.close_all(policy, actions);
        self.give_up_probes(actions);
        policy.limiter.release(took, overloaded, now);
    }

    fn coverage(&self) -> Coverage {
        let missing = self.shards.iter().enumerate().filter(|(_, s)| !s.answered);
        let missing = missing.map(|(i, s)| MissingShard { shard: i as Shard, reason: s.reason });
        Coverage {
            version: Some(self.pinned.version),
            total: self.shards.len() as u32,
            answered: self.shards.len() as u32 - self.unanswered,
            missing: missing.collect(),
        }
    }

    /// Rows of the answered shards, sorted by key; equal keys keep the order
    /// of their shards.
    fn merge(&mut self) -> Vec<Row> {
        let count = self.shards.iter().map(|s| s.rows.len()).sum();
        let mut rows = Vec::with_capacity(count);
        self.shards.iter_mut().for_each(|s| rows.append(&mut s.rows));
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }
}
