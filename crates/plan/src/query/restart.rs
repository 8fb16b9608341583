//! Restart at a newer version when the pinned one disappears.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::index::ServerIndex;

use super::Action;
use super::Phase;
use super::Query;
use crate::policy::Policy;
use crate::topology::PinnedVersion;
use crate::topology::Topology;

/// Maximum number of restarts of one query.
const MAX_RESTARTS: u8 = 3;

/// Minimum remaining time for a restart; with less, it is not worthwhile.
const MIN_REMAINING: Duration = Duration::from_millis(5);

impl Query {
    /// Restarts the query at a newer version if that covers more shards than the
    /// pinned one still can. Otherwise the latest topology is not used, because
    /// the open attempts refer to the old one. In the canary phase it is adopted
    /// at once if no attempt is open.
    pub(super) fn consider_restart(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Canary {
            return self.adopt_latest(policy, now);
        }
        let in_time = self.finish_at.saturating_duration_since(now) >= MIN_REMAINING;
        if self.index_updates.is_empty() || self.restarts >= MAX_RESTARTS || !in_time {
            return;
        }
        // Versions reported to this query are more recent than the topology.
        let updates = self.index_updates.iter();
        let updates = updates.map(|(s, v)| ServerIndex { server: s.clone(), versions: v.clone() });
        let topology = Arc::new(self.latest.with_updates(updates));
        match topology.best_newer_than(self.pinned.version) {
            Some(newer) if newer.available_ratio() > self.attainable_ratio(&topology) => {
                self.restart(topology, newer, policy, now, actions)
            }
            _ => {}
        }
    }

    /// Considers a restart if more servers have replied since the last time that
    /// they do not hold the pinned version.
    pub(super) fn restart_on_reports(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.index_updates.len() > self.considered_updates {
            self.considered_updates = self.index_updates.len();
            self.consider_restart(policy, now, actions);
            if self.timer <= now {
                self.send_due(policy, now, actions);
            }
        }
    }

    /// Share of the shards that are answered or can still be answered at the
    /// pinned version according to `topology`.
    fn attainable_ratio(&self, topology: &Topology) -> f64 {
        let held = topology.available_shards(self.pinned.version);
        let can = |shard: usize| held.as_ref().is_some_and(|h| h.get(shard) == Some(&true));
        let shards = self.shards.iter().enumerate();
        let count = shards.filter(|(i, s)| s.answered || (!s.exhausted && can(*i))).count();
        count as f64 / self.shards.len().max(1) as f64
    }

    /// Switches to the latest topology and its preferred version if no attempt is
    /// open.
    pub(super) fn adopt_latest(&mut self, policy: &mut Policy, now: Instant) {
        let idle = self.batches.iter().all(|b| b.open == 0);
        let latest = self.latest.clone();
        if !idle || Arc::ptr_eq(&latest, &self.topology) {
            return;
        }
        if let Some(pinned) = latest.preferred().filter(|p| p.available_ratio() > 0.0) {
            self.pinned = pinned.clone();
            self.topology = latest;
            self.begin_round(policy, now);
        }
    }

    /// Cancels the open attempts and asks all shards at the new version.
    fn restart(
        &mut self,
        topology: Arc<Topology>,
        pinned: PinnedVersion,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.close_open_attempts(policy, actions);
        self.restarts += 1;
        self.topology = topology;
        self.pinned = Arc::new(pinned);
        self.begin_round(policy, now);
        self.schedule_all(policy, now);
    }
}
