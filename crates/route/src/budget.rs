//! Budget of extra requests to a service.
//!
//! All hosts together may send a service, in any window of time, a fixed ratio
//! of extra requests and a fixed number besides. Each host spends its share of
//! that number, so that no message between hosts is needed.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Part of the allowance that is spent; the rest covers a host that restarts
/// with a new share within the same window.
const USED_SHARE: f64 = 0.92;

/// Part of its share that a host may spend in its first window.
const INITIAL_SHARE: f64 = 0.75;

/// Parts into which a window is cut.
const SLOTS: usize = 10;

value! {
    /// Allowance of extra requests for one service, over all hosts.
    #[derive(Copy)]
    pub struct RetryLimit {
        /// Extra requests for each request.
        pub ratio: f64,
        /// Extra requests in a window besides.
        pub slack: f64,
        /// Window over which requests are counted.
        pub window: Duration,
    }

    /// What one host may still spend on one service.
    pub struct RetryBudget {
        share: f64,
        ratio: f64,
        slot: Duration,
        start: Instant,
        /// Number of the current slot since the start.
        turn: u64,
        /// The current slot and those that are younger than a window. One slot
        /// more than the window has, since the current one is not full.
        counts: [Count; SLOTS + 1],
    }

    #[derive(Copy, Default)]
    struct Count {
        asked: u32,
        extra: u32,
    }
}

impl RetryBudget {
    /// A budget for one of `hosts` hosts.
    pub fn new(limit: RetryLimit, hosts: u32, now: Instant) -> RetryBudget {
        RetryBudget {
            share: share(limit, hosts),
            ratio: limit.ratio * USED_SHARE,
            slot: (limit.window / SLOTS as u32).max(Duration::from_millis(1)),
            start: now,
            turn: 0,
            counts: [Count::default(); SLOTS + 1],
        }
    }

    /// Adapts the budget to another number of hosts.
    pub fn resize(&mut self, limit: RetryLimit, hosts: u32) {
        self.share = share(limit, hosts);
    }

    /// Counts a request to the service.
    pub fn record_request(&mut self, now: Instant) {
        self.current(now).asked += 1;
    }

    /// Takes one extra request out of the budget, if it has one.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.advance(now);
        let share = if self.turn < SLOTS as u64 { INITIAL_SHARE } else { 1.0 } * self.share;
        let asked: u32 = self.counts.iter().map(|c| c.asked).sum();
        let extra: u32 = self.counts.iter().map(|c| c.extra).sum();
        // The oldest slot may lie outside of the window that ends now.
        let oldest = self.counts[self.index(self.turn + 1)].asked;
        let allowed = share + self.ratio * f64::from(asked - oldest);
        let enough = f64::from(extra) + 1.0 <= allowed;
        if enough {
            self.current(now).extra += 1;
        }
        enough
    }

    fn current(&mut self, now: Instant) -> &mut Count {
        self.advance(now);
        let index = self.index(self.turn);
        &mut self.counts[index]
    }

    /// Clears the slots that have begun since the last call.
    fn advance(&mut self, now: Instant) {
        let passed = now.saturating_duration_since(self.start).as_nanos() / self.slot.as_nanos();
        let turn = u64::try_from(passed).unwrap_or(u64::MAX);
        let begun = turn.saturating_sub(self.turn).min(self.counts.len() as u64);
        for step in 0..begun {
            let index = self.index(turn - step);
            self.counts[index] = Count::default();
        }
        self.turn = self.turn.max(turn);
    }

    fn index(&self, turn: u64) -> usize {
        (turn % self.counts.len() as u64) as usize
    }
}

fn share(limit: RetryLimit, hosts: u32) -> f64 {
    (limit.slack * USED_SHARE / f64::from(hosts.max(1))).max(1.0)
}
