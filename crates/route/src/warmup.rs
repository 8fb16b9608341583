//! Rate limit on requests to cold backend servers.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Fraction of the rate limit that hosts use; the rest absorbs bursts of requests
/// that arrive together.
const LIMIT_UTILIZATION: f64 = 0.5;

/// Lower bound of the request rate of one host, in requests per second.
const MIN_HOST_RATE: f64 = 0.01;

/// Longest interval between two requests of one host, in seconds.
const MAX_INTERVAL_S: f64 = 60.0;

value! {
    /// Rate limit on requests to one cold backend server, over all hosts.
    #[derive(Copy)]
    pub struct WarmupLimit {
        /// Multiplier of the rate that the service sets.
        pub overshoot: f64,
        /// Requests per second on top of that.
        pub slack: f64,
    }

    /// Spaces out the requests of one host to one backend server while it is
    /// cold.
    #[derive(Copy)]
    pub struct WarmupPacer {
        phase: f64,
        cold_since: Option<Instant>,
        cold_until: Option<Instant>,
        last_sent: Option<Instant>,
    }
}

impl WarmupPacer {
    /// A pacer that sends its first request at the fraction `phase` (0 to 1) of
    /// the interval between two requests. Different phases keep hosts from
    /// starting at the same time.
    pub fn new(phase: f64) -> WarmupPacer {
        WarmupPacer { phase, cold_since: None, cold_until: None, last_sent: None }
    }

    /// Sets how much longer the backend server stays cold.
    pub fn set_remaining(&mut self, remaining: Duration, now: Instant) {
        if !self.is_cold(now) {
            self.cold_since = Some(now);
        }
        self.cold_until = (!remaining.is_zero()).then_some(now + remaining);
    }

    /// How much longer the backend server stays cold; zero if it is warm.
    pub fn remaining(&self, now: Instant) -> Duration {
        self.cold_until.map_or(Duration::ZERO, |u| u.saturating_duration_since(now))
    }

    /// Whether the backend server is cold.
    pub fn is_cold(&self, now: Instant) -> bool {
        self.cold_until.is_some_and(|u| u > now)
    }

    /// Whether this host, one of `hosts`, may send a request now. `rate` is the
    /// limit that the service sets, in requests per second. A rate of 0 means no
    /// limit: such a backend server is only slower while it is cold.
    pub fn may_send(&self, limit: WarmupLimit, rate: f64, hosts: u32, now: Instant) -> bool {
        if !self.is_cold(now) || rate <= 0.0 {
            return true;
        }
        let interval = send_interval(limit, rate, hosts);
        let started = self.cold_since.is_none_or(|s| now >= s + interval.mul_f64(self.phase));
        started && self.last_sent.is_none_or(|l| now.duration_since(l) >= interval)
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self, now: Instant) {
        self.last_sent = Some(now);
    }
}

/// Interval between two requests of one host. In any second, a host exceeds its
/// share of the rate by at most one request.
fn send_interval(limit: WarmupLimit, rate: f64, hosts: u32) -> Duration {
    let total_rate = (rate * limit.overshoot + limit.slack) * LIMIT_UTILIZATION;
    let host_rate = total_rate / f64::from(hosts.max(1));
    Duration::from_secs_f64((1.0 / host_rate.max(MIN_HOST_RATE)).min(MAX_INTERVAL_S))
}
