//! Token buckets that bound the extra sub-requests: hedges and retries.

use std::time::Duration;
use std::time::Instant;

/// Tokens of each bucket at the start.
const FIRST_TOKENS: f64 = 20.0;

/// Smallest capacity of each bucket.
const MIN_CAPACITY: f64 = 40.0;

/// How long a fault lets hedges draw on the tokens kept for faults.
const FAULT_WINDOW: Duration = Duration::from_secs(1);

/// Bounds the extra sub-requests of one service.
///
/// Each needed sub-request pays into two buckets. Hedges draw on the steady
/// one; retries, and hedges while faults are seen, draw on both.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    steady_share: f64,
    fault_share: f64,
    steady: f64,
    fault: f64,
    capacity: f64,
    faulty_until: Option<Instant>,
    needed: u64,
    extra: u64,
}

impl RetryBudget {
    /// A budget of `steady` extra sub-requests per needed one, and of `fault`
    /// in total under faults.
    pub fn new(steady: f64, fault: f64) -> RetryBudget {
        RetryBudget {
            steady_share: steady,
            fault_share: (fault - steady).max(0.0),
            steady: FIRST_TOKENS,
            fault: FIRST_TOKENS,
            capacity: MIN_CAPACITY,
            faulty_until: None,
            needed: 0,
            extra: 0,
        }
    }

    /// Pays in for the needed sub-requests of one query.
    pub fn deposit(&mut self, needed: u32) {
        let n = f64::from(needed);
        self.needed += u64::from(needed);
        self.capacity = MIN_CAPACITY.max(n * (self.steady_share + self.fault_share));
        self.steady = (self.steady + n * self.steady_share).min(self.capacity);
        self.fault = (self.fault + n * self.fault_share).min(self.capacity);
    }

    /// Records that a fault was seen.
    pub fn record_fault(&mut self, now: Instant) {
        self.faulty_until = Some(now + FAULT_WINDOW);
    }

    /// Takes a token for a hedge.
    pub fn take_hedge(&mut self, now: Instant) -> bool {
        let faulty = self.faulty_until.is_some_and(|t| now < t);
        self.spend_steady() || (faulty && self.spend_fault())
    }

    /// Takes a token for a retry.
    pub fn take_retry(&mut self) -> bool {
        self.spend_fault() || self.spend_steady()
    }

    /// Needed sub-requests so far.
    pub fn needed(&self) -> u64 {
        self.needed
    }

    /// Extra sub-requests so far.
    pub fn extra(&self) -> u64 {
        self.extra
    }

    fn spend_steady(&mut self) -> bool {
        let granted = self.steady >= 1.0;
        if granted {
            self.steady -= 1.0;
            self.extra += 1;
        }
        granted
    }

    fn spend_fault(&mut self) -> bool {
        let granted = self.fault >= 1.0;
        if granted {
            self.fault -= 1.0;
            self.extra += 1;
        }
        granted
    }
}
