//! Estimate of the work at a backend server that this gate does not account
//! for: a former owner's, or its own that it gave up.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

use crate::types::LoadReport;

/// Time in which a request that was sent earlier on one connection may arrive
/// later than a request on another. A longer time would keep the estimate high
/// on a busy server, whose items are mostly younger.
pub(crate) const ORDER_MARGIN: Duration = Duration::from_millis(2);

/// Ends of own work that are remembered.
const MAX_ENDS: usize = 1024;

/// Time after a takeover, or after a proof of another sender, in which single
/// reports do not lower the estimate unless own work runs: a server that another
/// sender keeps busy shows a free slot for the moment between two of its
/// requests.
const SHARED: Duration = Duration::from_secs(10);

/// Time and number of reports that lower the estimate in that phase.
const WINDOW: (Duration, u32) = (Duration::from_millis(200), 5);

/// Time after a takeover in which reports are wanted at a high rate.
const SETTLING: Duration = Duration::from_secs(1);

/// Time for which claimed work of others may hold back all items. The work of a
/// former owner has mostly ended by then; a server whose reports mislead would
/// otherwise never be used.
const BLOCK_LIMIT: Duration = Duration::from_secs(3);

/// Items that a server must run, while it claims to be full, to prove that its
/// reports mislead.
const TRIALS: u32 = 3;

/// Time for which misleading reports are ignored.
const DISTRUST: Duration = Duration::from_secs(30);

/// Age after which the end of own work no longer matters.
const ENDS_KEPT: Duration = Duration::from_secs(30);

value! {
    /// Estimate for one backend server.
    #[derive(Default, Eq)]
    pub struct ExternalLoad {
        count: u32,
        raised: Option<Instant>,
        ends: VecDeque<Instant>,
        blocked: Option<Instant>,
        trials: Option<u32>,
        ignored: Option<Instant>,
        shared: Option<Instant>,
        window: Option<Window>,
    }

    /// Reports that would lower the estimate.
    #[derive(Copy, Eq)]
    struct Window {
        since: Instant,
        reports: u32,
        high: u32,
    }
}

impl ExternalLoad {
    /// Requests that are taken to run at the server besides this gate's own.
    pub fn count(&self) -> u32 {
        if self.ignored.is_some() { 0 } else { self.count }
    }

    /// Whether one item may start although the claims leave no slot.
    pub fn in_trial(&self) -> bool {
        self.trials.is_some()
    }

    /// Notes whether the claims hold back all items; starts and ends trials.
    pub fn tick(&mut self, blocked: bool, now: Instant) {
        self.ignored = self.ignored.filter(|until| now < *until);
        if !blocked {
            self.blocked = None;
            return;
        }
        let since = *self.blocked.get_or_insert(now);
        if self.trials.is_none() && now.saturating_duration_since(since) >= BLOCK_LIMIT {
            self.trials = Some(0);
        }
    }

    /// The server ran an item.
    pub fn record_success(&mut self, now: Instant) {
        let Some(trials) = &mut self.trials else {
            return;
        };
        *trials += 1;
        if *trials >= TRIALS {
            self.trials = None;
            self.ignored = Some(now + DISTRUST);
        }
    }

    /// The server refused an item for lack of slots, so that at least `count`
    /// requests of others run.
    pub fn record_busy(&mut self, count: u32, now: Instant) {
        self.trials = None;
        self.ignored = None;
        self.blocked = None;
        self.raise_to(count, now);
    }

    /// Another host may have used the server: all its slots count as used until
    /// reports show otherwise.
    pub fn assume_full(&mut self, slots: u32, now: Instant) {
        self.count = slots;
        self.raised = Some(now);
        self.shared = Some(now);
        self.window = None;
    }

    /// Whether reports are wanted soon.
    pub fn needs_frequent_probes(&self, now: Instant) -> bool {
        self.count() > 0 && self.shared.is_some_and(|at| now < at + SETTLING)
    }

    /// An own request was given up and may still run at the server.
    pub fn add_abandoned(&mut self, now: Instant) {
        self.count = self.count.saturating_add(1);
        self.raised = Some(now);
    }

    fn raise_to(&mut self, count: u32, now: Instant) {
        if count > self.count {
            self.count = count;
            self.raised = Some(now);
        }
    }

    /// An own request ended.
    pub fn record_completed(&mut self, now: Instant) {
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
    pub fn observe(&mut self, report: &LoadReport, started: &[Instant], now: Instant) {
        let certain = started.iter().filter(|s| **s + ORDER_MARGIN < report.sent_at).count();
        let ended = self.ends.len() - self.ends.partition_point(|e| *e < report.sent_at);
        let possible = started.len() + ended;
        let high = report.running.saturating_sub(certain as u32);
        let low = report.running.saturating_sub(possible as u32);
        if low > self.count {
            self.raise_to(low, now);
            self.shared = Some(now);
        } else if high >= self.count {
            self.window = None;
        } else if self.raised.is_none_or(|r| report.sent_at >= r) {
            self.lower(high, started.is_empty(), now);
        }
    }

    fn lower(&mut self, high: u32, alone: bool, now: Instant) {
        if !alone || self.shared.is_none_or(|at| now >= at + SHARED) {
            self.window = None;
            self.count = high;
            return;
        }
        let window = self.window.get_or_insert(Window { since: now, reports: 0, high });
        window.reports += 1;
        window.high = window.high.max(high);
        let age = now.saturating_duration_since(window.since);
        if age >= WINDOW.0 && window.reports >= WINDOW.1 {
            self.count = window.high;
            self.window = None;
        }
    }
}
