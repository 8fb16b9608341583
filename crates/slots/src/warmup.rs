//! Warm-up level of a backend server: the concurrency that it is known to
//! handle.

use std::time::Duration;
use std::time::Instant;

use crate::types::LoadReport;

/// Consecutive good replies after which the level doubles.
const REPLIES_TO_DOUBLE: u32 = 8;

/// A reply is slow when it takes more than this multiple of the median.
const SLOW_FACTOR: f64 = 4.0;

/// Number of slow replies, without a normal good one in between, that indicate a
/// cold start. Fewer are treated as stragglers, which are expected at a rate of
/// 1 in 100 replies.
const SLOW_STREAK_LIMIT: u32 = 3;

/// Replies that take no longer than this are never slow: on a busy host,
/// scheduling alone delays a reply by several milliseconds.
const MIN_SLOW_LATENCY: Duration = Duration::from_millis(10);

/// Replies needed before the median is used.
const MIN_SAMPLES: u32 = 16;

/// Relative step by which each reply moves the median towards its latency.
const MEDIAN_STEP: f64 = 0.05;

/// Warm-up state of one backend server.
#[derive(Clone, Debug)]
pub struct Warmup {
    level: u32,
    good_streak: u32,
    slow_streak: u32,
    /// Running estimate of the median latency, in seconds.
    median_s: f64,
    samples: u32,
    /// Time of arrival and uptime of the newest report.
    last_uptime: Option<(Instant, Duration)>,
}

impl Warmup {
    /// Starts at `level`, but at least at 1.
    pub fn new(level: u32) -> Warmup {
        Warmup {
            level: level.max(1),
            good_streak: 0,
            slow_streak: 0,
            median_s: 0.0,
            samples: 0,
            last_uptime: None,
        }
    }

    /// Number of concurrent requests that the server is known to handle, at least 1.
    pub fn level(&self) -> u32 {
        self.level
    }

    /// Sets the level to `level`, but at least to 1; used for a newly owned server.
    pub fn set_level(&mut self, level: u32) {
        self.level = level.max(1);
        self.good_streak = 0;
    }

    /// Median latency of good replies; `None` before enough replies arrived.
    pub fn median_latency(&self) -> Option<Duration> {
        (self.samples >= MIN_SAMPLES).then(|| Duration::from_secs_f64(self.median_s))
    }

    /// Resets the level to 1 after a sign of a cold start.
    pub fn reset(&mut self) {
        self.level = 1;
        self.good_streak = 0;
        self.slow_streak = 0;
    }

    /// Records the latency of a reply (`good`), or the time spent waiting when none
    /// arrived. The level grows up to `slots`.
    pub fn record_reply(&mut self, latency: Duration, good: bool, slots: u32) {
        let is_slow = self.is_slow(latency);
        if good {
            self.update_median(latency);
        }
        if is_slow {
            self.good_streak = 0;
            self.slow_streak += 1;
            if self.slow_streak >= SLOW_STREAK_LIMIT {
                self.reset();
            }
        } else if good {
            self.slow_streak = 0;
            self.good_streak += 1;
            if self.good_streak >= REPLIES_TO_DOUBLE {
                self.good_streak = 0;
                self.level = self.level.saturating_mul(2).min(slots.max(self.level));
            }
        }
    }

    /// Records the uptime in a report; returns whether the server restarted.
    ///
    /// Replies can arrive out of order, so a lower uptime proves a restart only
    /// if the request was sent after the last report had arrived.
    pub fn record_uptime(&mut self, report: &LoadReport, now: Instant) -> bool {
        let restarted = self
            .last_uptime
            .is_some_and(|(at, uptime)| report.sent_at >= at && report.uptime < uptime);
        let newer = self.last_uptime.is_none_or(|(at, _)| report.sent_at >= at);
        if newer {
            self.last_uptime = Some((now, report.uptime));
        }
        if restarted {
            self.reset();
        }
        restarted
    }

    fn is_slow(&self, latency: Duration) -> bool {
        self.median_latency()
            .is_some_and(|m| latency > MIN_SLOW_LATENCY && latency > m.mul_f64(SLOW_FACTOR))
    }

    fn update_median(&mut self, latency: Duration) {
        let latency = latency.as_secs_f64().max(1e-6);
        self.samples = self.samples.saturating_add(1);
        if self.samples == 1 {
            self.median_s = latency;
        } else if latency > self.median_s {
            self.median_s *= 1.0 + MEDIAN_STEP;
        } else {
            self.median_s *= 1.0 - MEDIAN_STEP;
        }
    }
}
