//! End of a query: coverage, merged rows and refusals.

use std::time::Duration;
use std::time::Instant;

use chervil_base::coverage::Coverage;
use chervil_base::coverage::MissingReason;
use chervil_base::coverage::MissingShard;
use chervil_base::shards::Shard;
use chervil_rpc::gate::Row;

use super::Action;
use super::AttemptOutcome;
use super::NotRunReason;
use super::Phase;
use super::Query;
use super::QueryOutcome;
use super::ShardState;
use crate::policy::Policy;

/// How long a query waits for a newer version to become known when servers no
/// longer hold the pinned one.
const NEWER_VERSION_WAIT: Duration = Duration::from_millis(250);

/// Refusals because of overload above which a query counts as overloaded and
/// lowers the concurrency limit, in percent of the shards.
const OVERLOAD_PERCENT: u32 = 5;

/// Shards without a reply above which a query counts as overloaded, in percent
/// of the shards. High enough that a single hanging server does not reach it.
const TIMEOUT_PERCENT: u32 = 50;

/// Retry hint where an early retry would be refused again, in milliseconds.
const LONG_RETRY_MS: u32 = 1000;

/// Retry hint of other refusals, in milliseconds.
const SHORT_RETRY_MS: u32 = 100;

impl Query {
    /// Finishes the query when all shards are answered, when the missing ones
    /// cannot be, or at `finish_at`.
    pub(super) fn finish_if_done(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Canary && now >= self.finish_at {
            return self.finish_not_run(NotRunReason::NoPermit, policy, now, actions);
        }
        if self.phase != Phase::Running {
            return;
        }
        if now < self.finish_at && self.all_exhausted() && self.unanswered > 0 {
            self.restart_on_reports(policy, now, actions);
        }
        if now >= self.finish_at || (self.all_exhausted() && !self.awaits_newer_version(now)) {
            self.finish(policy, now, actions);
        }
    }

    /// Whether every unanswered shard is exhausted at the pinned version.
    fn all_exhausted(&self) -> bool {
        self.unanswered == self.exhausted
    }

    /// Whether a newer version may still become known; arms the timer for the end
    /// of the wait.
    fn awaits_newer_version(&mut self, now: Instant) -> bool {
        let Some(since) = self.gone_since else { return false };
        let gone = |s: &ShardState| s.exhausted && s.reason == MissingReason::VersionGone;
        let waits = now < since + NEWER_VERSION_WAIT && self.shards.iter().any(gone);
        if waits {
            self.arm_timer(since + NEWER_VERSION_WAIT);
        }
        waits
    }

    fn finish(&mut self, policy: &mut Policy, now: Instant, actions: &mut Vec<Action>) {
        let started = self.attempts.iter().any(|a| a.outcome.is_none_or(|o| !o.proves_not_run()));
        if self.unanswered == self.shards.len() as u32 && !started {
            let reason = if self.attempts.is_empty() {
                NotRunReason::NoReplica
            } else {
                NotRunReason::Refused
            };
            return self.finish_not_run(reason, policy, now, actions);
        }
        let coverage = self.coverage();
        let rows = self.merge_rows();
        self.close(policy, now, actions);
        actions.push(Action::Finish(QueryOutcome::Answer { coverage, rows }));
    }

    /// Finishes the query with a refusal.
    pub(super) fn finish_not_run(
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
        let probed =
            self.attempts.iter().any(|a| a.outcome.is_none_or(AttemptOutcome::may_have_run));
        self.close(policy, now, actions);
        let outcome = if probed {
            QueryOutcome::RefusedAfterProbe { reason, retry_ms }
        } else {
            QueryOutcome::NotRun { reason, retry_ms }
        };
        actions.push(Action::Finish(outcome));
    }

    /// Cancels what is open and releases the permits and the concurrency limit.
    fn close(&mut self, policy: &mut Policy, now: Instant, actions: &mut Vec<Action>) {
        let shards = self.shards.len() as u32;
        let timed_out =
            self.shards.iter().filter(|s| !s.answered && s.reason == MissingReason::Timeout);
        let overloaded = self.overload_refusals * 100 > shards * OVERLOAD_PERCENT
            || timed_out.count() as u32 * 100 > shards * TIMEOUT_PERCENT;
        let took = now.saturating_duration_since(self.started_at);
        self.phase = Phase::Finished;
        self.close_open_attempts(policy, actions);
        self.release_permits(actions);
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

    /// Rows of the answered shards, sorted by key; rows with equal keys stay in
    /// the order of their shards.
    fn merge_rows(&mut self) -> Vec<Row> {
        let count = self.shards.iter().map(|s| s.rows.len()).sum();
        let mut rows = Vec::with_capacity(count);
        self.shards.iter_mut().for_each(|s| rows.append(&mut s.rows));
        rows.sort_by(|a, b| a.key.cmp(&b.key));
        rows
    }
}
