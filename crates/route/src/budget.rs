//! Budget of extra requests (retries and hedges) to a service.
//!
//! In any time window, all hosts together may send a service extra requests up to a fixed
//! ratio of its requests plus a fixed number. Each host has a fixed share of that number,
//! so that hosts need not coordinate.
//!
//! Load pattern: a part of the backend servers is slow or silent, so that hosts spend all
//! they have, and hosts are killed and start again within the window. A new process does
//! not know what the one before it has spent. It therefore starts with little and
//! earns what it spends, which bounds the sum over processes as well as over hosts.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Fraction of the limit that running hosts spend. The rest is what processes start with, so
/// that the first failed requests after a start can be sent again.
const LIMIT_UTILIZATION: f64 = 0.88;

/// Fraction of a host's share of the slack that it can save up for a burst. It gets the
/// rest evenly over the window.
const BURST_FRACTION: f64 = 0.5;

/// Shortest window.
const MIN_WINDOW: Duration = Duration::from_millis(10);

value! {
    /// Limit on extra requests to one service, over all hosts.
    #[derive(Copy)]
    pub struct RetryLimit {
        /// Extra requests per request.
        pub ratio: f64,
        /// Extra requests per window on top of that.
        pub slack: f64,
        /// Sliding window over which requests are counted.
        pub window: Duration,
    }

    /// Extra requests that one host may send to one service, as a token bucket.
    ///
    /// In any window, a host spends at most what it had saved, the rest of its slack, and
    /// what the requests of that window have earned.
    pub struct RetryBudget {
        tokens: f64,
        updated_at: Instant,
        /// Tokens earned by a request.
        ratio: f64,
        /// Tokens earned in a second.
        refill: f64,
        /// Most tokens that can be saved.
        capacity: f64,
    }
}

impl RetryBudget {
    /// The budget of a process that has just started, on a host that may spend the
    /// fraction `share` of the slack.
    pub fn new(limit: RetryLimit, share: f64, now: Instant) -> RetryBudget {
        let mut budget = RetryBudget {
            tokens: limit.slack * share * (1.0 - LIMIT_UTILIZATION),
            updated_at: now,
            ratio: limit.ratio * LIMIT_UTILIZATION,
            refill: 0.0,
            capacity: 0.0,
        };
        budget.resize(limit, share);
        budget
    }

    /// Changes the fraction of the slack that this host may spend.
    pub fn resize(&mut self, limit: RetryLimit, share: f64) {
        let slack = limit.slack * share * LIMIT_UTILIZATION;
        let window = limit.window.max(MIN_WINDOW).as_secs_f64();
        self.refill = slack * (1.0 - BURST_FRACTION) / window;
        // With less than one token, a host could never spend what it earns.
        self.capacity = (slack * BURST_FRACTION).max(1.0);
        self.tokens = self.tokens.min(self.capacity);
    }

    /// Counts a first request to the service, which earns `ratio` extra requests.
    pub fn record_request(&mut self, now: Instant) {
        self.advance(now);
        self.earn(self.ratio);
    }

    /// Spends one extra request. Returns false if the budget is exhausted.
    pub fn try_spend(&mut self, now: Instant) -> bool {
        self.advance(now);
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }

    /// Gives back an extra request that was spent but not sent.
    pub fn refund(&mut self) {
        self.earn(1.0);
    }

    fn advance(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.updated_at = self.updated_at.max(now);
        self.earn(self.refill * elapsed.as_secs_f64());
    }

    fn earn(&mut self, tokens: f64) {
        self.tokens = (self.tokens + tokens).min(self.capacity);
    }
}
