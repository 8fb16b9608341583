//! Limit on requests to a cold backend server.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Part of the bound that is used; the rest covers requests that arrive
/// bunched.
const USED_SHARE: f64 = 0.5;

value! {
    /// What cold backend servers bear, over all hosts.
    #[derive(Copy)]
    pub struct WarmupLimit {
        /// Factor on the rate that the service states.
        pub overshoot: f64,
        /// Requests a second besides.
        pub slack: f64,
    }

    /// Pacing of one host's requests to one cold backend server.
    #[derive(Copy)]
    pub struct WarmupPacer {
        phase: f64,
        since: Option<Instant>,
        until: Option<Instant>,
        last: Option<Instant>,
    }
}

impl WarmupPacer {
    /// Pacing that begins at `phase` (0 to 1) of the interval between two
    /// requests, so that hosts do not begin together.
    pub fn new(phase: f64) -> WarmupPacer {
        WarmupPacer { phase, since: None, until: None, last: None }
    }

    /// Takes in that the backend server stays cold for `left`.
    pub fn set_remaining(&mut self, left: Duration, now: Instant) {
        if !self.is_cold(now) {
            self.since = Some(now);
        }
        self.until = (!left.is_zero()).then_some(now + left);
    }

    /// How much longer the backend server is cold.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now))
    }

    /// Whether the backend server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.until.is_some_and(|u| u > now)
    }

    /// Whether one of `hosts` hosts may send a request now. A service whose
    /// rate is 0 states no bound: its cold backend servers are only slow.
    pub fn may_send(&self, limit: WarmupLimit, rate: f64, hosts: u32, now: Instant) -> bool {
        if !self.is_cold(now) || rate <= 0.0 {
            return true;
        }
        let interval = interval(limit, rate, hosts);
        let first = self.since.is_none_or(|s| now >= s + interval.mul_f64(self.phase));
        first && self.last.is_none_or(|l| now.duration_since(l) >= interval)
    }

    /// Counts a request.
    pub fn record_sent(&mut self, now: Instant) {
        self.last = Some(now);
    }
}

/// Time between two requests of one host. In any second a host sends at most
/// one request more than its rate says.
fn interval(limit: WarmupLimit, rate: f64, hosts: u32) -> Duration {
    let total = (rate * limit.overshoot + limit.slack) * USED_SHARE;
    let own = total / f64::from(hosts.max(1));
    Duration::from_secs_f64((1.0 / own.max(0.01)).min(60.0))
}
