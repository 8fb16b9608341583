//! Adaptive concurrency limit of one service, which rejects whole requests
//! before any sub-request is sent.

use std::time::Duration;
use std::time::Instant;

/// Factor applied to the limit on overload.
const DECREASE: f64 = 0.85;

/// Minimum time between two decreases, so that the requests hit by one overload
/// lower the limit only once.
const DECREASE_INTERVAL: Duration = Duration::from_millis(100);

/// Lower bound of the limit; with less concurrency a service could not recover.
const MIN_LIMIT: f64 = 2.0;

/// Minimum and maximum retry hint, in milliseconds.
const RETRY_MS: (u32, u32) = (20, 2000);

/// Concurrency limiter with additive increase and multiplicative decrease
/// (AIMD).
#[derive(Clone, Debug)]
pub struct Limiter {
    limit: f64,
    max: f64,
    running: u32,
    last_decrease: Option<Instant>,
    mean_duration: Duration,
}

/// Error of [`Limiter::try_acquire`]: the limit is reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LimitReached {
    /// Suggested wait before a retry, in milliseconds.
    pub retry_ms: u32,
}

impl Limiter {
    /// Creates a limiter whose limit starts at `initial` and never exceeds `max`.
    pub fn new(initial: u32, max: u32) -> Limiter {
        let max = f64::from(max).max(MIN_LIMIT);
        Limiter {
            limit: f64::from(initial).clamp(MIN_LIMIT, max),
            max,
            running: 0,
            last_decrease: None,
            mean_duration: Duration::from_millis(50),
        }
    }

    /// Admits one request, or returns an error when the limit is reached.
    ///
    /// Each admitted request must be followed by [`Limiter::release`] or
    /// [`Limiter::release_cancelled`].
    pub fn try_acquire(&mut self) -> Result<(), LimitReached> {
        if f64::from(self.running) >= self.limit.floor() {
            let (low, high) = RETRY_MS;
            let retry_ms = (self.mean_duration.as_millis() as u32).clamp(low, high);
            return Err(LimitReached { retry_ms });
        }
        self.running += 1;
        Ok(())
    }

    /// Records that an admitted request ended after `took` and adapts the limit;
    /// `overloaded` lowers it.
    pub fn release(&mut self, took: Duration, overloaded: bool, now: Instant) {
        // Grow the limit only while at least half of it is in use.
        let running = f64::from(self.running);
        let in_use = running * 2.0 >= self.limit;
        self.running = self.running.saturating_sub(1);
        self.mean_duration = (self.mean_duration * 7 + took) / 8;
        if overloaded {
            self.decrease(running, now);
        } else if in_use {
            self.limit = (self.limit + 1.0 / self.limit).min(self.max);
        }
    }

    /// Records that the caller cancelled an admitted request; the limit is not
    /// adapted.
    pub fn release_cancelled(&mut self) {
        self.running = self.running.saturating_sub(1);
    }

    /// Current limit, in concurrent requests.
    pub fn limit(&self) -> u32 {
        self.limit as u32
    }

    /// Admitted requests that have not ended.
    pub fn running(&self) -> u32 {
        self.running
    }

    fn decrease(&mut self, running: f64, now: Instant) {
        let recent = |t: Instant| now.saturating_duration_since(t) < DECREASE_INTERVAL;
        if !self.last_decrease.is_some_and(recent) {
            // Cap the limit at twice the running requests first: lowering a
            // limit far above them would take many steps to have an effect.
            self.limit = (self.limit.min(running * 2.0) * DECREASE).max(MIN_LIMIT);
            self.last_decrease = Some(now);
        }
    }
}
