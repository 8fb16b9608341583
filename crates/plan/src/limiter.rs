//! Concurrency limit of one service, for the early refusal of entire requests.

use std::time::Duration;
use std::time::Instant;

/// Factor by which overload lowers the limit.
const DECREASE: f64 = 0.85;

/// Shortest time between two decreases, so that queries that met the same
/// overload count once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Smallest limit; lower, a service could not recover.
const MIN_LIMIT: f64 = 2.0;

/// Bounds of the retry hint, in milliseconds.
const RETRY_MS: (u32, u32) = (20, 2000);

/// Additive increase, multiplicative decrease.
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    max: f64,
    running: u32,
    decreased: Option<Instant>,
    typical: Duration,
}

/// A query that was refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReached {
    /// When to try again, in milliseconds.
    pub retry_ms: u32,
}

impl Limiter {
    /// A limiter that starts at `first` and never exceeds `max`.
    pub fn new(first: u32, max: u32) -> Limiter {
        let max = f64::from(max).max(MIN_LIMIT);
        Limiter {
            limit: f64::from(first).clamp(MIN_LIMIT, max),
            max,
            running: 0,
            decreased: None,
            typical: Duration::from_millis(50),
        }
    }

    /// Admits a query or refuses it.
    pub fn try_acquire(&mut self) -> Result<(), LimitReached> {
        if f64::from(self.running) >= self.limit.floor() {
            let (low, high) = RETRY_MS;
            let retry_ms = (self.typical.as_millis() as u32).clamp(low, high);
            return Err(LimitReached { retry_ms });
        }
        self.running += 1;
        Ok(())
    }

    /// Records that an admitted query ended.
    pub fn release(&mut self, took: Duration, overloaded: bool, now: Instant) {
        // The limit grows only while it is being used.
        let running = f64::from(self.running);
        let used = running * 2.0 >= self.limit;
        self.running = self.running.saturating_sub(1);
        self.typical = (self.typical * 7 + took) / 8;
        if overloaded {
            self.decrease(running, now);
        } else if used {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Records that an admitted query was given up by its caller.
    pub fn release_cancelled(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Current limit.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Admitted queries that have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn decrease(&mut self, running: f64, now: Instant) {
        let recent = |t: Instant| now.saturating_duration_since(t) < DECREASE_INTERVAL;
        if !self.decreased.is_some_and(recent) {
            // A limit far above what runs would take long to have an effect.
            self.limit = (self.limit.min(running * 2.0) * DECREASE).max(MIN_LIMIT);
            self.decreased = Some(now);
        }
    }
}
