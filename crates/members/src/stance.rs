//! One voter's stand on one host.

use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::Vote;

use crate::DOWN_AFTER;
use crate::QUORUM_LEASE;

/// Stand of this voter on one host: it supports the host's lease, denies it,
/// or does neither while it waits.
#[derive(Clone, Debug)]
pub struct Stance {
    heard: Instant,
    denied: Option<Denied>,
    supported: Option<Supported>,
    released: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Denied {
    since: Instant,
    reported: Instant,
}

/// Last support given, and to which process of the host.
#[derive(Clone, Copy, Debug)]
struct Supported {
    incarnation: u64,
    at: Instant,
}

impl Stance {
    /// Stand on a host that gets [`DOWN_AFTER`] to be heard.
    pub fn new(now: Instant) -> Stance {
        Stance { heard: now, denied: None, supported: None, released: None }
    }

    /// Whether the host is not denied.
    pub fn is_up(&self) -> bool {
        self.denied.is_none()
    }

    /// Gives the host the full time to be heard again, after this process
    /// itself was paused. Existing denials stand.
    pub fn restart_timeout(&mut self, now: Instant) {
        self.heard = now;
    }

    /// Denies the host when it has not been heard for too long.
    pub fn tick(&mut self, now: Instant) {
        if self.denied.is_none() && self.is_silent(now) {
            self.denied = Some(Denied { since: now, reported: now });
        }
    }

    /// Answers a heartbeat that asks for support.
    ///
    /// The incarnation that was supported last blocks every other one for
    /// [`QUORUM_LEASE`]: a delayed heartbeat of a former process must not
    /// replace the live one, because the former one may have been released.
    pub fn hear(&mut self, incarnation: u64, now: Instant) -> Vote {
        let blocked = self.supported.filter(|s| s.incarnation != incarnation);
        if blocked.is_some_and(|s| now < s.at + QUORUM_LEASE) {
            return Vote::Abstain;
        }
        if self.released == Some(incarnation) {
            return Vote::Down;
        }
        self.released = None;
        self.heard = now;
        if let Some(denied) = self.denied {
            if now < denied.reported + QUORUM_LEASE {
                return Vote::Abstain;
            }
            self.denied = None;
        }
        self.supported = Some(Supported { incarnation, at: now });
        Vote::Up
    }

    /// Takes note that a process of the host gave up its rights for good.
    ///
    /// The denial counts in full at once, unless another process of the host
    /// was supported last.
    pub fn release(&mut self, incarnation: u64, now: Instant) {
        if self.supported.is_some_and(|s| s.incarnation != incarnation) {
            return;
        }
        self.released = Some(incarnation);
        self.denied.get_or_insert(Denied { since: now, reported: now });
    }

    /// Reports a denial: the time since which the host has been denied, capped
    /// at [`QUORUM_LEASE`]. The report binds this voter for that time.
    pub fn report(&mut self, now: Instant) -> Option<Duration> {
        let silent = self.is_silent(now) || self.released.is_some();
        let denied = self.denied.as_mut().filter(|_| silent)?;
        denied.reported = now;
        let age = if self.released.is_some() { QUORUM_LEASE } else { now - denied.since };
        Some(age.min(QUORUM_LEASE))
    }

    /// Whether dropping this stand could break a promise.
    pub fn binds(&self, now: Instant) -> bool {
        let promised = self.denied.map(|d| d.reported).max(self.supported.map(|s| s.at));
        promised.is_some_and(|at| now < at + QUORUM_LEASE)
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.heard) >= DOWN_AFTER
    }
}
