//! Structured logs of a host, bounded in volume.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use chervil_base::value;

/// Lines a second for requests that succeeded.
const SUCCESS_RATE: f64 = 20.0;

/// Lines a second for requests that failed and for what the host believes.
const NOTABLE_RATE: f64 = 100.0;

/// Seconds of a rate that may come at once.
const BURST_SECONDS: f64 = 2.0;

value! {
    /// How much a line matters.
    #[derive(Copy)]
    pub enum Category {
        /// A request that succeeded.
        Success,
        /// A failure, or a change of what the host believes.
        Notable,
    }

    #[derive(Copy)]
    struct Bucket {
        tokens: f64,
        rate: f64,
        at: Option<Instant>,
    }
}

/// Decides which lines are written; those dropped are counted.
#[derive(Debug)]
pub struct LogLimiter {
    success: Mutex<Bucket>,
    notable: Mutex<Bucket>,
    dropped: AtomicU64,
}

impl Default for LogLimiter {
    fn default() -> LogLimiter {
        LogLimiter {
            success: Mutex::new(Bucket::new(SUCCESS_RATE)),
            notable: Mutex::new(Bucket::new(NOTABLE_RATE)),
            dropped: AtomicU64::new(0),
        }
    }
}

impl LogLimiter {
    /// Whether a line may be written now.
    pub fn allows(&self, weight: Category, now: Instant) -> bool {
        let bucket = match weight {
            Category::Success => &self.success,
            Category::Notable => &self.notable,
        };
        let allowed = bucket.lock().unwrap_or_else(PoisonError::into_inner).take(now);
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Lines that were dropped so far.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl Bucket {
    fn new(rate: f64) -> Bucket {
        Bucket { tokens: rate * BURST_SECONDS, rate, at: None }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = self.at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.at = Some(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate * BURST_SECONDS);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
