//! Estimate of the work at a backend server that this gate does not account
//! for: a former owner's, or its own that it gave up.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

use crate::types::Report;

/// Time in which a request that was sent earlier on one connection may arrive
/// later than a request on another.
const ORDER_MARGIN: Duration = Duration::from_millis(50);

/// Ends of own work that are remembered.
const MAX_ENDS: usize = 1024;

/// Age after which the end of own work no longer matters.
const ENDS_KEPT: Duration = Duration::from_secs(30);

value! {
    /// Estimate for one backend server.
    #[derive(Default, Eq)]
    pub struct Foreign {
        count: u32,
        raised: Option<Instant>,
        ends: VecDeque<Instant>,
    }
}

impl Foreign {
    /// Requests that are taken to run at the server besides this gate's own.
    pub fn count(&self) -> u32 {
        self.count
    }

    /// An own request was given up and may still run at the server.
    pub fn add(&mut self, now: Instant) {
        self.count = self.count.saturating_add(1);
        self.raised = Some(now);
    }

    /// The server proved that at least `count` such requests run.
    pub fn raise_to(&mut self, count: u32, now: Instant) {
        if count > self.count {
            self.count = count;
            self.raised = Some(now);
        }
    }

    /// An own request ended.
    pub fn ended(&mut self, now: Instant) {
        self.ends.push_back(now);
        while self.ends.len() > MAX_ENDS || self.ends.front().is_some_and(|e| *e + ENDS_KEPT < now)
        {
            self.ends.pop_front();
        }
    }

    /// Corrects the estimate by a report; `started` holds the start times of
    /// the own requests that still run.
    ///
    /// The estimate falls to what the report leaves after own requests that
    /// certainly ran at its time, and rises to what it leaves after all own
    /// requests that possibly did. A report requested before the last rise
    /// proves no fall.
    pub fn observe(&mut self, report: &Report, started: &[Instant], now: Instant) {
        let certain = started.iter().filter(|s| **s + ORDER_MARGIN < report.sent).count();
        let ended = self.ends.iter().filter(|e| **e >= report.sent).count();
        let possible = started.len() + ended;
        let high = report.running.saturating_sub(certain as u32);
        let low = report.running.saturating_sub(possible as u32);
        if low > self.count {
            self.raise_to(low, now);
        } else if high < self.count && self.raised.is_none_or(|r| report.sent >= r) {
            self.count = high;
        }
    }
}
