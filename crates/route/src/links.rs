//! Whether a host reaches the backend servers at all.
//!
//! Load pattern: a host is cut off from all backend servers, while callers, the registry and
//! other hosts reach it. Connections hang, are reset or can't be opened. Each attempt by
//! itself looks as if its server were slow or down, and a host that treats it so keeps its
//! callers waiting and reports working servers as degraded.
//!
//! A cut often takes a part of the servers: when an availability zone is cut off from the others,
//! its hosts reach the servers of their own zone only, where their requests go on.
//!
//! Any sign of any server shows that the links work. If an attempt fails or is overdue and
//! there was none since it began, the links are in doubt, and the host checks them: it
//! connects to servers of each availability zone, as those of one say nothing about the others.
//! If none accepts, the links are lost until one does.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Part of the hedge delay without a sign of any server after which an overdue reply puts the
/// links in doubt. The connection for the attempt may have been opened meanwhile, which is a
/// sign.
const SILENT_HEDGE_SHARE: f64 = 0.5;

/// Shortest such time: replies that have come may still wait to be read by a busy host.
const MIN_SILENCE: Duration = Duration::from_millis(20);

/// Backend servers of the host's own availability zone to which a check connects. A single one
/// may be down.
const CHECKED_IN_OWN_ZONE: usize = 2;

/// The same for each other zone.
const CHECKED_IN_OTHER_ZONE: usize = 1;

value! {
    /// What a host knows of its links to the backend servers.
    #[derive(Copy, Default)]
    pub struct Links {
        /// Time of the latest sign of any backend server: a reply or an accepted connection.
        last_sign: Option<Instant>,
        status: Status,
    }

    /// Result of a check.
    #[derive(Copy, Eq)]
    pub enum Check {
        /// The links work.
        Working,
        /// The links were lost now.
        Lost,
        /// The links are still lost.
        StillLost,
    }

    #[derive(Copy, Eq, Default)]
    enum Status {
        #[default]
        Working,
        /// Being checked.
        InDoubt,
        Lost,
    }
}

/// Backend servers of one availability zone to which a check of the links connects.
pub fn checked_servers(is_own_zone: bool) -> usize {
    if is_own_zone { CHECKED_IN_OWN_ZONE } else { CHECKED_IN_OTHER_ZONE }
}

impl Links {
    /// Records a sign of a backend server. Returns whether the links were lost before.
    pub fn record_sign(&mut self, now: Instant) -> bool {
        self.last_sign = self.last_sign.max(Some(now));
        let was_lost = self.is_lost();
        self.status = Status::Working;
        was_lost
    }

    /// Time since the latest sign of any backend server; `None` before the first one.
    pub fn silence(&self, now: Instant) -> Option<Duration> {
        self.last_sign.map(|sign| now.saturating_duration_since(sign))
    }

    /// Whether a backend server has given a sign since `time`.
    fn had_sign_since(&self, time: Instant) -> bool {
        self.last_sign.is_some_and(|sign| sign >= time)
    }

    /// Records that an attempt which began at `began` has failed. Returns whether that starts a
    /// check of the links.
    pub fn record_failure(&mut self, began: Instant) -> bool {
        let starts = self.status == Status::Working && !self.had_sign_since(began);
        if starts {
            self.status = Status::InDoubt;
        }
        starts
    }

    /// Records that a reply has not come within the hedge delay. Returns whether that starts a
    /// check of the links.
    pub fn record_overdue(&mut self, hedge_delay: Duration, now: Instant) -> bool {
        let silence = hedge_delay.mul_f64(SILENT_HEDGE_SHARE).max(MIN_SILENCE);
        now.checked_sub(silence).is_some_and(|since| self.record_failure(since))
    }

    /// Ends a check. Unless a server gave a sign meanwhile, the links are lost.
    pub fn finish_check(&mut self) -> Check {
        match self.status {
            Status::Working => Check::Working,
            Status::InDoubt => {
                self.status = Status::Lost;
                Check::Lost
            }
            Status::Lost => Check::StillLost,
        }
    }

    /// Ends a check for which there was no server to connect to.
    pub fn abandon_check(&mut self) {
        self.status = Status::Working;
    }

    /// Whether the links are lost.
    pub fn is_lost(&self) -> bool {
        self.status == Status::Lost
    }

    /// Whether the links are lost or being checked. What attempts show in that time says
    /// nothing about their servers.
    pub fn is_in_doubt(&self) -> bool {
        self.status != Status::Working
    }
}
