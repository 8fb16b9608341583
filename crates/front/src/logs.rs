//! Rate limits of the request log.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Instant;

use chervil_base::value;

/// Log lines per second for successful requests.
const SUCCESS_RATE: f64 = 20.0;

/// Log lines per second for all other requests.
const NOTABLE_RATE: f64 = 100.0;

/// Burst size, as seconds of the rate.
const BURST_SECONDS: f64 = 2.0;

value! {
    /// Category of a log line; each has its own rate limit.
    #[derive(Copy)]
    pub enum Category {
        /// A successful request.
        Success,
        /// Any other request: failed, refused, partial, or without a route.
        Notable,
    }

    #[derive(Copy)]
    struct TokenBucket {
        tokens: f64,
        /// Tokens per second.
        rate: f64,
        refilled_at: Option<Instant>,
    }
}

/// Limits the rate of log lines, and counts the dropped ones.
#[derive(Debug)]
pub struct LogLimiter {
    success: Mutex<TokenBucket>,
    notable: Mutex<TokenBucket>,
    dropped: AtomicU64,
}

impl Default for LogLimiter {
    fn default() -> LogLimiter {
        LogLimiter {
            success: Mutex::new(TokenBucket::new(SUCCESS_RATE)),
            notable: Mutex::new(TokenBucket::new(NOTABLE_RATE)),
            dropped: AtomicU64::new(0),
        }
    }
}

impl LogLimiter {
    /// Whether a line may be written now; counts it as dropped if not.
    pub fn allows(&self, category: Category, now: Instant) -> bool {
        let bucket = match category {
            Category::Success => &self.success,
            Category::Notable => &self.notable,
        };
        let allowed = bucket.lock().unwrap_or_else(PoisonError::into_inner).take(now);
        if !allowed {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
        allowed
    }

    /// Number of lines dropped since the start.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }
}

impl TokenBucket {
    fn new(rate: f64) -> TokenBucket {
        TokenBucket { tokens: rate * BURST_SECONDS, rate, refilled_at: None }
    }

    /// Takes a token; false if there is none.
    fn take(&mut self, now: Instant) -> bool {
        let elapsed = self.refilled_at.map_or(0.0, |at| now.duration_since(at).as_secs_f64());
        self.refilled_at = Some(now);
        self.tokens = (self.tokens + elapsed * self.rate).min(self.rate * BURST_SECONDS);
        let allowed = self.tokens >= 1.0;
        if allowed {
            self.tokens -= 1.0;
        }
        allowed
    }
}
