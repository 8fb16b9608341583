//! What one voter last answered, with times bounded on the safe side.

use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::Vote;

use crate::QUORUM_LEASE;
use crate::RATE_MARGIN;
use crate::quorum::HostKey;

/// A voter's denial of a host.
#[derive(Clone, Copy, Debug)]
struct Denial {
    host: HostKey,
    /// Latest possible time at which the denial reaches [`QUORUM_LEASE`].
    mature: Instant,
    /// Earliest possible time at which the voter may support the host again.
    until: Instant,
}

/// Answers of one voter to this host's heartbeats.
#[derive(Clone, Debug, Default)]
pub(crate) struct Replies {
    floor: Option<Instant>,
    sent: Option<Instant>,
    support: Option<Instant>,
    incarnation: u64,
    epoch: u64,
    epoch_since: Option<Instant>,
    /// Sorted by host.
    denials: Box<[Denial]>,
}

/// Answer to a heartbeat, with its send and arrival times here.
pub(crate) struct Answer {
    pub(crate) sent: Instant,
    pub(crate) received: Instant,
    pub(crate) vote: Vote,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
    pub(crate) denials: Vec<(HostKey, Duration)>,
}

impl Replies {
    /// Takes note of an answer; answers to older heartbeats are ignored.
    pub(crate) fn record(&mut self, answer: Answer) {
        if self.floor.max(self.sent).is_some_and(|floor| floor >= answer.sent) {
            return;
        }
        self.sent = Some(answer.sent);
        if answer.vote == Vote::Up {
            self.support = Some(answer.sent);
        }
        // A restarted voter may know an older list.
        if self.incarnation != answer.incarnation || self.epoch != answer.epoch {
            self.epoch_since = Some(answer.received);
        }
        self.incarnation = answer.incarnation;
        self.epoch = answer.epoch;
        let Answer { sent, received, denials, .. } = answer;
        let new = denials.into_iter().map(|(host, age)| Denial {
            host,
            mature: received + QUORUM_LEASE.saturating_sub(age),
            until: sent + QUORUM_LEASE - RATE_MARGIN,
        });
        let mut new: Vec<Denial> = new.collect();
        new.sort_unstable_by_key(|d| d.host);
        // A denial that is no longer reported still binds its voter, so that
        // the groups of a host that returns keep their owner meanwhile.
        let bound = self.denials.iter().filter(|d| d.until > received && d.mature < d.until);
        let bound = bound.filter(|d| new.binary_search_by_key(&d.host, |n| n.host).is_err());
        let bound: Vec<Denial> = bound.copied().collect();
        new.extend(bound);
        new.sort_unstable_by_key(|d| d.host);
        self.denials = new.into();
    }

    /// Send time of the newest heartbeat that the voter supported.
    pub(crate) fn support(&self) -> Option<Instant> {
        self.support
    }

    /// Epoch of the voter's list.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the voter has held `epoch` or a later one for [`QUORUM_LEASE`].
    ///
    /// Only a recent answer counts: a voter that restarted since may have
    /// learned an older list, and votes [`QUORUM_LEASE`] after its restart.
    pub(crate) fn has_held(&self, epoch: u64, now: Instant) -> bool {
        let recent = self.sent.is_some_and(|sent| now < sent + QUORUM_LEASE - RATE_MARGIN);
        let since = self.epoch_since.filter(|_| self.epoch >= epoch && recent);
        since.is_some_and(|since| now >= since + QUORUM_LEASE)
    }

    /// Hosts that the voter denies or denied recently.
    pub(crate) fn denied(&self) -> impl Iterator<Item = HostKey> {
        self.denials.iter().map(|d| d.host)
    }

    /// Hosts that the voter has denied for [`QUORUM_LEASE`], sorted, with the
    /// time until which it certainly denies them.
    pub(crate) fn denials(&self, now: Instant) -> impl Iterator<Item = (HostKey, Instant)> {
        let valid = self.denials.iter().filter(move |d| d.mature <= now && now < d.until);
        valid.map(|d| (d.host, d.until))
    }

    /// Forgets all support, given to a right that was released since, and
    /// ignores answers to heartbeats sent until now.
    pub(crate) fn withdraw(&mut self, now: Instant) {
        self.support = None;
        self.floor = Some(now);
        self.denials = Box::default();
    }
}
