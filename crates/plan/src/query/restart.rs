//! Restart at a newer version when the pinned one disappears.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::Action;
use super::Phase;
use super::Query;
use crate::layout::Layout;
use crate::layout::Pinned;
use crate::policy::Policy;

/// Most restarts of one query.
const MAX_RESTARTS: u8 = 3;

/// Least time that must be left for a restart to be worth it.
const MIN_LEFT: Duration = Duration::from_millis(5);

impl Query {
    /// Takes in a new layout; the query uses it only when it has to restart,
    /// because its attempts refer to the old one.
    pub(super) fn on_layout(
        &mut self,
        layout: Arc<Layout>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.phase == Phase::Canary {
            return self.adopt(layout, policy, now);
        }
        if self.gone_since.is_none() {
            return;
        }
        // What servers told this query is newer than what the layout says.
        let layout = if self.told.is_empty() {
            layout
        } else {
            Arc::new(layout.with(self.told.iter().cloned()))
        };
        let reachable = 1.0 - f64::from(self.stuck) / self.shards.len().max(1) as f64;
        let in_time = self.finish_at.saturating_duration_since(now) >= MIN_LEFT;
        if self.restarts >= MAX_RESTARTS || !in_time {
            return;
        }
        match layout.newer_than(self.pinned.version) {
            Some(newer) if newer.ratio() > reachable => {
                self.restart(layout, newer, policy, now, actions)
            }
            _ => {}
        }
    }

    /// Considers a restart on the news of this query's own replies.
    pub(super) fn restart_as_told(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        if self.told.len() > self.considered {
            self.considered = self.told.len();
            self.on_layout(self.layout.clone(), policy, now, actions);
            if self.timer <= now {
                self.flush(policy, now, actions);
            }
        }
    }

    /// Uses a new layout from the start, while no attempt is open.
    fn adopt(&mut self, layout: Arc<Layout>, policy: &mut Policy, now: Instant) {
        let idle = self.batches.iter().all(|b| b.open == 0);
        if let Some(pinned) = layout.pinned().filter(|p| idle && p.ratio() > 0.0) {
            self.pinned = pinned.clone();
            self.layout = layout;
            self.begin_round(policy, now);
        }
    }

    fn restart(
        &mut self,
        layout: Arc<Layout>,
        pinned: Pinned,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.close_all(policy, actions);
        self.restarts += 1;
        self.layout = layout;
        self.pinned = Arc::new(pinned);
        self.begin_round(policy, now);
        self.run_all(policy, now);
    }
}
