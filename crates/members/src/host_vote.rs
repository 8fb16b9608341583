//! Vote of this host on one other host.

use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::Vote;

use crate::DOWN_AFTER;
use crate::QUORUM_LEASE;

/// Vote of this voter on one host: it supports the host's lease, denies it, or
/// abstains until an earlier vote no longer binds it.
#[derive(Clone, Debug)]
pub struct HostVote {
    last_heard: Instant,
    denial: Option<Denial>,
    support: Option<Support>,
    /// Incarnation that has released its lease for good.
    released: Option<u64>,
}

#[derive(Clone, Copy, Debug)]
struct Denial {
    since: Instant,
    last_reported: Instant,
}

/// Last support given, and the incarnation that got it.
#[derive(Clone, Copy, Debug)]
struct Support {
    incarnation: u64,
    at: Instant,
}

impl HostVote {
    /// Neither support nor denial; the host has [`DOWN_AFTER`] to send its
    /// first heartbeat.
    pub fn new(now: Instant) -> HostVote {
        HostVote { last_heard: now, denial: None, support: None, released: None }
    }

    /// Whether the host is not denied.
    pub fn is_up(&self) -> bool {
        self.denial.is_none()
    }

    /// Restarts the heartbeat timeout, for instance after a pause of this
    /// process. An existing denial stands.
    pub fn restart_timeout(&mut self, now: Instant) {
        self.last_heard = now;
    }

    /// Denies the host if its heartbeats have timed out.
    pub fn tick(&mut self, now: Instant) {
        if self.denial.is_none() && self.is_silent(now) {
            self.denial = Some(Denial { since: now, last_reported: now });
        }
    }

    /// Votes on a heartbeat that asks for support.
    ///
    /// For [`QUORUM_LEASE`] after a support, no other incarnation gets one: a
    /// delayed heartbeat of a former process must not replace the live process,
    /// because the former process may have been released.
    pub fn on_heartbeat(&mut self, incarnation: u64, now: Instant) -> Vote {
        let blocked = self.support.filter(|s| s.incarnation != incarnation);
        if blocked.is_some_and(|s| now < s.at + QUORUM_LEASE) {
            return Vote::Abstain;
        }
        if self.released == Some(incarnation) {
            return Vote::Down;
        }
        self.released = None;
        self.last_heard = now;
        if let Some(denial) = self.denial {
            if now < denial.last_reported + QUORUM_LEASE {
                return Vote::Abstain;
            }
            self.denial = None;
        }
        self.support = Some(Support { incarnation, at: now });
        Vote::Up
    }

    /// Denies the host because one of its processes released its lease for
    /// good. Such a denial is reported with its full age at once.
    ///
    /// Ignored if another process of the host was supported last.
    pub fn on_release(&mut self, incarnation: u64, now: Instant) {
        if self.support.is_some_and(|s| s.incarnation != incarnation) {
            return;
        }
        self.released = Some(incarnation);
        self.denial.get_or_insert(Denial { since: now, last_reported: now });
    }

    /// Age of the denial to report, capped at [`QUORUM_LEASE`]; `None` if the
    /// host is not denied or is heard again.
    ///
    /// A reported denial binds this voter for [`QUORUM_LEASE`].
    pub fn report_denial(&mut self, now: Instant) -> Option<Duration> {
        let silent = self.is_silent(now) || self.released.is_some();
        let denial = self.denial.as_mut().filter(|_| silent)?;
        denial.last_reported = now;
        let age = if self.released.is_some() { QUORUM_LEASE } else { now - denial.since };
        Some(age.min(QUORUM_LEASE))
    }

    /// Whether a support or reported denial still binds this voter, so that
    /// the vote must not be dropped.
    pub fn is_binding(&self, now: Instant) -> bool {
        let last_vote = self.denial.map(|d| d.last_reported).max(self.support.map(|s| s.at));
        last_vote.is_some_and(|at| now < at + QUORUM_LEASE)
    }

    fn is_silent(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_heard) >= DOWN_AFTER
    }
}
