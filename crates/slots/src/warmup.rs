//! Warm-up level of a backend server: the concurrency that it has been seen
//! to bear.

use std::time::Duration;
use std::time::Instant;

use crate::types::LoadReport;

/// Consecutive good replies that double the level.
const STREAK: u32 = 8;

/// A reply this many times slower than the median is slow.
const SLOW_FACTOR: f64 = 4.0;

/// Consecutive slow replies that are a cold-start signal. A single one is a
/// straggler: 1 reply in 100 is expected to be one.
const SLOW_LIMIT: u32 = 3;

/// Replies faster than this are never slow; scheduling alone delays a reply by
/// several milliseconds on a busy host.
const SLOW_FLOOR: Duration = Duration::from_millis(10);

/// Replies after which the median is taken as learned.
const LEARNED: u32 = 16;

/// Relative step by which a reply moves the median.
const MEDIAN_STEP: f64 = 0.05;

/// Warm-up state of one backend server.
#[derive(Clone, Debug)]
pub struct Warmup {
    level: u32,
    streak: u32,
    slow: u32,
    median: f64,
    samples: u32,
    last: Option<(Instant, Duration)>,
}

impl Warmup {
    /// Starts at `level`, or at 1 if that is lower.
    pub fn new(level: u32) -> Warmup {
        Warmup { level: level.max(1), streak: 0, slow: 0, median: 0.0, samples: 0, last: None }
    }

    /// Concurrency that the server bears.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Replaces the level by one that a former owner learned.
    pub fn set_level(&mut self, level: u32) {
        self.level = level.max(1);
        self.streak = 0;
    }

    /// Median time to reply, once learned.
    pub fn median_latency(&self) -> Option<Duration> {
        (self.samples >= LEARNED).then(|| Duration::from_secs_f64(self.median))
    }

    /// Takes a cold-start signal.
    pub fn reset(&mut self) {
        self.level = 1;
        self.streak = 0;
        self.slow = 0;
    }

    /// Takes the time that a reply took, or that passed without one.
    pub fn record_reply(&mut self, took: Duration, good: bool, slots: u32) {
        let is_slow = self.is_slow(took);
        if good {
            self.learn(took);
        }
        if is_slow {
            self.streak = 0;
            self.slow += 1;
            if self.slow >= SLOW_LIMIT {
                self.reset();
            }
        } else if good {
            self.slow = 0;
            self.streak += 1;
            if self.streak >= STREAK {
                self.streak = 0;
                self.level = self.level.saturating_mul(2).min(slots.max(self.level));
            }
        }
    }

    /// Takes the uptime of a report; returns whether the server restarted.
    ///
    /// Only a report whose request was sent after the last report arrived can
    /// prove a restart, as replies may overtake each other.
    pub fn record_uptime(&mut self, report: &LoadReport, now: Instant) -> bool {
        let restarted =
            self.last.is_some_and(|(at, uptime)| report.sent_at >= at && report.uptime < uptime);
        let newer = self.last.is_none_or(|(at, _)| report.sent_at >= at);
        if newer {
            self.last = Some((now, report.uptime));
        }
        if restarted {
            self.reset();
        }
        restarted
    }

    fn is_slow(&self, took: Duration) -> bool {
        self.median_latency().is_some_and(|m| took > SLOW_FLOOR && took > m.mul_f64(SLOW_FACTOR))
    }

    fn learn(&mut self, took: Duration) {
        let took = took.as_secs_f64().max(1e-6);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.median = took;
        } else if took > self.median {
            self.median *= 1.0 + MEDIAN_STEP;
        } else {
            self.median *= 1.0 - MEDIAN_STEP;
        }
    }
}
