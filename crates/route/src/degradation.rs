//! Detection of degraded backend servers from the reports of all hosts.
//!
//! A single host sends too few requests to a backend server to tell a slow one
//! from one that pauses briefly. Each host therefore reports what it sees to its
//! upstream host, which tells all hosts to avoid a backend server once reports
//! about it go on for longer than a pause.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;

/// Length of a time slot; all reports within it count once.
const SLOT: Duration = Duration::from_millis(200);

/// Number of slots in the sliding window.
const WINDOW_SLOTS: u32 = 6;

/// Slots of the window that must contain a report. A pause of 250 ms fills two
/// or three.
const MIN_REPORTED_SLOTS: u32 = 4;

/// Minimum time between two notifications about the same backend server.
const NOTIFY_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time after its last report for which the history of a backend server is kept.
const RETENTION: Duration = Duration::from_secs(5);

/// Number of histories from which on old ones are removed at each new one: every backend
/// server of the largest planned deployment may be degraded at once.
const MAX_IDLE_HISTORIES: usize = 1_024;

value! {
    /// Reports of all hosts, by id of the backend server.
    #[derive(Default)]
    pub struct DegradationDetector {
        backends: HashMap<Box<str>, ReportHistory>,
    }

    #[derive(Copy)]
    struct ReportHistory {
        /// Bit set of slots with a report; the lowest bit is the slot of the
        /// last report.
        slots: u64,
        last_report: Instant,
        notified: Option<Instant>,
    }
}

impl DegradationDetector {
    /// Number of backend servers whose reports are kept.
    pub fn len(&self) -> usize {
        self.backends.len()
    }

    /// Whether no reports are kept.
    pub fn is_empty(&self) -> bool {
        self.backends.is_empty()
    }

    /// Records a report about a backend server. Returns true if the hosts must
    /// now be told to avoid it.
    pub fn report(&mut self, id: &str, now: Instant) -> bool {
        let Some(history) = self.backends.get_mut(id) else {
            if self.backends.len() >= MAX_IDLE_HISTORIES {
                self.backends.retain(|_, h| now.duration_since(h.last_report) < RETENTION);
            }
            let first = ReportHistory { slots: 1, last_report: now, notified: None };
            self.backends.insert(id.into(), first);
            return false;
        };
        let elapsed = now.duration_since(history.last_report).as_millis() / SLOT.as_millis();
        if elapsed > 0 {
            let shift = u32::try_from(elapsed).unwrap_or(u32::MAX);
            history.slots = history.slots.checked_shl(shift).unwrap_or(0) | 1;
            history.last_report = now;
        }
        let recent = history.slots & ((1 << WINDOW_SLOTS) - 1);
        let due = history.notified.is_none_or(|t| now.duration_since(t) >= NOTIFY_INTERVAL);
        let notify = recent.count_ones() >= MIN_REPORTED_SLOTS && due;
        if notify {
            history.notified = Some(now);
        }
        notify
    }
}
