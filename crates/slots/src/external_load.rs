//! Estimate of the external load of a backend server: requests that it runs
//! besides the items this gate tracks as running. They were sent by another
//! owner, or by this gate before it abandoned them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

use crate::types::LoadReport;

/// Shortest time within which messages on different connections count as possibly
/// out of order; on a slow network or host, the round trip of a status request
/// takes its place. A longer margin would keep the estimate too high on a busy
/// server, where most items were started more recently than that.
pub(crate) const REORDER_MARGIN: Duration = Duration::from_millis(2);

/// Maximum number of completion times of own requests that are kept.
const MAX_COMPLETIONS: usize = 1024;

/// Time after a takeover, or after a report that proved another sender, during
/// which a single report does not lower the estimate unless own items are running.
/// A server that another sender keeps busy has a free slot for a moment between
/// two of that sender's requests.
const CONTENTION_PERIOD: Duration = Duration::from_secs(10);

/// Within `CONTENTION_PERIOD`, the estimate falls only after all reports in a window
/// of at least this length allowed it.
const LOWERING_WINDOW: Duration = Duration::from_millis(200);

/// Minimum number of reports in that window.
const LOWERING_REPORTS: u32 = 5;

/// Time after a takeover, or after a report that proved another sender, during
/// which the status is requested at a high rate.
const TAKEOVER_PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Time for which the estimated load may block all items before a trial starts.
/// Most requests of a former owner have ended by then. Without a limit, a server
/// whose reports are wrong would never be used.
const MAX_BLOCKED: Duration = Duration::from_secs(3);

/// Number of items that a server must run during a trial, while its reports leave no
/// slot free, before the reports are considered wrong.
const TRIAL_ITEMS: u32 = 3;

/// Time for which reports are ignored after a trial showed them to be wrong.
const IGNORE_PERIOD: Duration = Duration::from_secs(30);

/// Age after which a completion time no longer affects the estimate.
const COMPLETION_RETENTION: Duration = Duration::from_secs(30);

value! {
    /// External load of one backend server.
    #[derive(Default, Eq)]
    pub struct ExternalLoad {
        /// Estimated number of external requests.
        estimate: u32,
        /// When the estimate last rose.
        raised_at: Option<Instant>,
        /// When own requests ended, oldest first.
        completions: VecDeque<Instant>,
        /// Since when the estimate has blocked all items.
        blocked_since: Option<Instant>,
        /// Items completed in the current trial; `None` without a trial.
        trial_runs: Option<u32>,
        /// Until when the estimate counts as 0 because reports are wrong.
        ignored_until: Option<Instant>,
        /// Time of the last takeover or proof of another sender.
        contended_at: Option<Instant>,
        window: Option<LoweringWindow>,
        /// Round trip of the last status request.
        round_trip: Duration,
        pending: Option<PendingReport>,
    }

    /// A report that may lower the estimate, once it is known which own requests the
    /// server had already ended when it made the report: their replies are still on
    /// the way when the report arrives.
    #[derive(Eq)]
    struct PendingReport {
        running: u32,
        /// Start times of the own requests that the server surely had received and
        /// that have not ended since.
        counted: Vec<Instant>,
        /// Whether no own request was running.
        own_idle: bool,
        settles_at: Instant,
    }

    /// Consecutive reports that would lower the estimate.
    #[derive(Copy, Eq)]
    struct LoweringWindow {
        since: Instant,
        reports: u32,
        /// Highest upper bound among the reports.
        upper: u32,
    }
}

impl ExternalLoad {
    /// Estimated number of external requests that the server runs.
    pub fn count(&self) -> u32 {
        if self.ignored_until.is_some() { 0 } else { self.estimate }
    }

    /// Whether one item may start although the estimate leaves no slot.
    pub fn in_trial(&self) -> bool {
        self.trial_runs.is_some()
    }

    /// Records whether the estimate blocks all items, and starts a trial when it has
    /// done so for `MAX_BLOCKED`. Ends the period in which reports are ignored.
    pub fn tick(&mut self, blocked: bool, now: Instant) {
        self.settle(now);
        self.ignored_until = self.ignored_until.filter(|until| now < *until);
        if !blocked {
            self.blocked_since = None;
            return;
        }
        let since = *self.blocked_since.get_or_insert(now);
        if self.trial_runs.is_none() && now.saturating_duration_since(since) >= MAX_BLOCKED {
            self.trial_runs = Some(0);
        }
    }

    /// Records that the server ran an item.
    pub fn record_success(&mut self, now: Instant) {
        let Some(runs) = &mut self.trial_runs else {
            return;
        };
        *runs += 1;
        if *runs >= TRIAL_ITEMS {
            self.trial_runs = None;
            self.ignored_until = Some(now + IGNORE_PERIOD);
        }
    }

    /// Records that the server refused an item for lack of slots, which proves at
    /// least `count` external requests.
    pub fn record_busy(&mut self, count: u32, now: Instant) {
        self.trial_runs = None;
        self.ignored_until = None;
        self.blocked_since = None;
        self.raise_to(count, now);
    }

    /// Assumes that external requests use all slots, because another host may have
    /// used the server; reports lower the estimate.
    pub fn assume_full(&mut self, slots: u32, now: Instant) {
        self.estimate = slots;
        self.raised_at = Some(now);
        self.contended_at = Some(now);
        self.window = None;
        self.pending = None;
    }

    /// Whether the status is needed at a high rate, to release the slots that are
    /// assumed to be in use after a takeover.
    pub fn needs_frequent_probes(&self, now: Instant) -> bool {
        self.count() > 0 && self.contended_at.is_some_and(|at| now < at + TAKEOVER_PROBE_PERIOD)
    }

    /// Counts an own request that was abandoned but may still run at the server.
    pub fn add_abandoned(&mut self, now: Instant) {
        self.estimate = self.estimate.saturating_add(1);
        self.raised_at = Some(now);
        self.pending = None;
    }

    fn raise_to(&mut self, count: u32, now: Instant) {
        if count > self.estimate {
            self.estimate = count;
            self.raised_at = Some(now);
            self.pending = None;
        }
    }

    /// Records the round trip of a status request.
    pub fn record_round_trip(&mut self, round_trip: Duration) {
        self.round_trip = round_trip;
    }

    /// Records that an own request that was started at `started` ended.
    pub fn record_completed(&mut self, started: Instant, now: Instant) {
        if let Some(pending) = &mut self.pending
            && let Some(index) = pending.counted.iter().position(|s| *s == started)
        {
            pending.counted.swap_remove(index);
        }
        self.completions.push_back(now);
        while self.completions.len() > MAX_COMPLETIONS
            || self.completions.front().is_some_and(|e| *e + COMPLETION_RETENTION < now)
        {
            self.completions.pop_front();
        }
    }

    /// Corrects the estimate by a report; `started` holds the start times of the
    /// own requests that are still running.
    ///
    /// A report bounds the external load: own requests that were surely running
    /// when the server made it give an upper bound, and all own requests that may
    /// have been running give a lower bound. A higher estimate falls to the upper
    /// bound, and a lower one rises to the lower bound. A report that was requested
    /// before the last rise does not lower the estimate, and one that may lower it
    /// settles first; see [`PendingReport`].
    pub fn observe(&mut self, report: &LoadReport, started: &[Instant], now: Instant) {
        self.settle(now);
        let margin = self.reorder_margin();
        let counted = started.iter().copied().filter(|s| *s + margin < report.sent_at);
        let counted: Vec<Instant> = counted.collect();
        let completed =
            self.completions.len() - self.completions.partition_point(|e| *e < report.sent_at);
        let maybe_running = started.len() + completed;
        let upper = report.running.saturating_sub(counted.len() as u32);
        let lower = report.running.saturating_sub(maybe_running as u32);
        if lower > self.estimate {
            self.raise_to(lower, now);
            self.contended_at = Some(now);
        } else if upper >= self.estimate {
            self.window = None;
            self.pending = None;
        } else if self.raised_at.is_none_or(|r| report.sent_at >= r) && self.pending.is_none() {
            let (running, own_idle) = (report.running, started.is_empty());
            // Without own requests in the count, no reply can be on the way.
            let settles_at = if counted.is_empty() { now } else { now + margin };
            self.pending = Some(PendingReport { running, counted, own_idle, settles_at });
            self.settle(now);
        }
    }

    /// Applies the pending report when its time has come.
    fn settle(&mut self, now: Instant) {
        if let Some(pending) = self.pending.take_if(|p| p.settles_at <= now) {
            let upper = pending.running.saturating_sub(pending.counted.len() as u32);
            if upper < self.estimate {
                self.lower_to(upper, pending.own_idle, now);
            }
        }
    }

    /// Time within which messages on different connections may arrive out of order.
    fn reorder_margin(&self) -> Duration {
        self.round_trip.max(REORDER_MARGIN)
    }

    fn lower_to(&mut self, upper: u32, own_idle: bool, now: Instant) {
        if !own_idle || self.contended_at.is_none_or(|at| now >= at + CONTENTION_PERIOD) {
            self.window = None;
            self.estimate = upper;
            return;
        }
        let window = self.window.get_or_insert(LoweringWindow { since: now, reports: 0, upper });
        window.reports += 1;
        window.upper = window.upper.max(upper);
        let age = now.saturating_duration_since(window.since);
        if age >= LOWERING_WINDOW && window.reports >= LOWERING_REPORTS {
            self.estimate = window.upper;
            self.window = None;
        }
    }
}
