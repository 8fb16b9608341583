//! Token buckets that bound the extra sub-requests: hedges and retries.
//!
//! A query needs one sub-request for each shard of its pinned version; all
//! further ones are extra.

use std::time::Duration;
use std::time::Instant;

/// Initial tokens of each bucket.
const INITIAL_TOKENS: f64 = 20.0;

/// Minimum capacity of each bucket, in tokens.
const MIN_CAPACITY: f64 = 40.0;

/// How long after a fault hedges may also spend tokens of the fault bucket.
const FAULT_WINDOW: Duration = Duration::from_secs(1);

/// Limits the extra sub-requests of one service to a share of the needed ones.
///
/// Each needed sub-request adds tokens to two buckets. Hedges spend tokens of
/// the steady bucket; retries, and hedges shortly after a fault, spend from
/// both.
#[derive(Clone, Debug)]
pub struct RetryBudget {
    steady_share: f64,
    fault_share: f64,
    /// Tokens of the steady bucket.
    steady: f64,
    /// Tokens of the fault bucket.
    fault: f64,
    /// Capacity of each bucket, in tokens.
    capacity: f64,
    fault_until: Option<Instant>,
    needed: u64,
    extra: u64,
}

impl RetryBudget {
    /// Creates a budget of `steady` extra sub-requests per needed one in normal
    /// operation, and of `fault` in total under faults.
    pub fn new(steady: f64, fault: f64) -> RetryBudget {
        RetryBudget {
            steady_share: steady,
            fault_share: (fault - steady).max(0.0),
            steady: INITIAL_TOKENS,
            fault: INITIAL_TOKENS,
            capacity: MIN_CAPACITY,
            fault_until: None,
            needed: 0,
            extra: 0,
        }
    }

    /// Adds the tokens for the `needed` sub-requests of one query.
    pub fn deposit(&mut self, needed: u32) {
        let n = f64::from(needed);
        self.needed += u64::from(needed);
        self.capacity = MIN_CAPACITY.max(n * (self.steady_share + self.fault_share));
        self.steady = (self.steady + n * self.steady_share).min(self.capacity);
        self.fault = (self.fault + n * self.fault_share).min(self.capacity);
    }

    /// Records a fault, which lets hedges use the fault bucket for a while.
    pub fn record_fault(&mut self, now: Instant) {
        self.fault_until = Some(now + FAULT_WINDOW);
    }

    /// Takes a token for a hedge; false if there is none.
    pub fn take_hedge(&mut self, now: Instant) -> bool {
        let faulty = self.fault_until.is_some_and(|t| now < t);
        self.take_steady() || (faulty && self.take_fault())
    }

    /// Takes a token for a retry; false if there is none.
    pub fn take_retry(&mut self) -> bool {
        self.take_fault() || self.take_steady()
    }

    /// Needed sub-requests since the start.
    pub fn needed(&self) -> u64 {
        self.needed
    }

    /// Extra sub-requests granted since the start.
    pub fn extra(&self) -> u64 {
        self.extra
    }

    fn take_steady(&mut self) -> bool {
        let granted = self.steady >= 1.0;
        if granted {
            self.steady -= 1.0;
            self.extra += 1;
        }
        granted
    }

    fn take_fault(&mut self) -> bool {
        let granted = self.fault >= 1.0;
        if granted {
            self.fault -= 1.0;
            self.extra += 1;
        }
        granted
    }
}
