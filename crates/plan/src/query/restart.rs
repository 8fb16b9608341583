//! Restart at a newer version when the pinned one disappears.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::index::ServerIndex;

use super::Action;
use super::Phase;
use super::Query;
use crate::policy::Policy;
use crate::topology::ShardMap;
use crate::topology::Topology;

/// Most restarts of one query.
const MAX_RESTARTS: u8 = 3;

/// Least time that must be left for a restart to be worth it.
const MIN_LEFT: Duration = Duration::from_millis(5);

impl Query {
    /// Considers the newest topology; the query uses it only when it has to
    /// restart, because its attempts refer to the old one.
    pub(super) fn on_layout(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Canary {
            return self.adopt(policy, now);
        }
        let in_time = self.finish_at.saturating_duration_since(now) >= MIN_LEFT;
        if self.updates.is_empty() || self.restarts >= MAX_RESTARTS || !in_time {
            return;
        }
        // What servers told this query is newer than what the topology says.
        let updates = self.updates.iter();
        let updates = updates.map(|(s, v)| ServerIndex { server: s.clone(), versions: v.clone() });
        let topology = Arc::new(self.newest.with_updates(updates));
        match topology.best_newer_than(self.pinned.version) {
            Some(newer) if newer.available_ratio() > self.attainable(&topology) => {
                self.restart(topology, newer, policy, now, actions)
            }
            _ => {}
        }
    }

    /// Considers a restart on the news of this query's own replies.
    pub(super) fn restart_at_reported(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.updates.len() > self.considered {
            self.considered = self.updates.len();
            self.on_layout(policy, now, actions);
            if self.timer <= now {
                self.flush(policy, now, actions);
            }
        }
    }

    /// Share of the shards that are answered or can be, according to `topology`.
    fn attainable(&self, topology: &Topology) -> f64 {
        let held = topology.available_shards(self.pinned.version);
        let can = |shard: usize| held.as_ref().is_some_and(|h| h.get(shard) == Some(&true));
        let shards = self.shards.iter().enumerate();
        let count = shards.filter(|(i, s)| s.answered || (!s.stuck && can(*i))).count();
        count as f64 / self.shards.len().max(1) as f64
    }

    /// Uses the newest topology from the start, while no attempt is open.
    pub(super) fn adopt(&mut self, policy: &mut Policy, now: Instant) {
        let idle = self.batches.iter().all(|b| b.open == 0);
        let newest = self.newest.clone();
        if !idle || Arc::ptr_eq(&newest, &self.topology) {
            return;
        }
        if let Some(pinned) = newest.preferred().filter(|p| p.available_ratio() > 0.0) {
            self.pinned = pinned.clone();
            self.topology = newest;
            self.begin_round(policy, now);
        }
    }

    fn restart(
        &mut self,
        topology: Arc<Topology>,
        pinned: ShardMap,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.close_all(policy, actions);
        self.restarts += 1;
        self.topology = topology;
        self.pinned = Arc::new(pinned);
        self.begin_round(policy, now);
        self.run_all(policy, now);
    }
}
