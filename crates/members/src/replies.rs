//! What one voter last answered, with times bounded on the safe side.

use std::mem;
use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::Vote;

use crate::QUORUM_LEASE;
use crate::RATE_MARGIN;
use crate::hostset::HostSet;

/// A voter's denials of hosts that have the same times.
#[derive(Clone, Debug)]
struct Denials {
    hosts: HostSet,
    /// Latest possible time at which the denials reach [`QUORUM_LEASE`].
    mature: Instant,
    /// Earliest possible time at which the voter may support the hosts again.
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
    /// Each host is in one of them at most. A voter starts its denials at its
    /// ticks, so that few times differ.
    denials: Box<[Denials]>,
}

/// Answer to a heartbeat, with its send and arrival times here.
pub(crate) struct Answer {
    pub(crate) sent: Instant,
    pub(crate) received: Instant,
    pub(crate) vote: Vote,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
    /// Slots of the hosts, and the ages of the denials.
    pub(crate) denials: Vec<(usize, Duration)>,
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
        self.replace_denials(&answer);
    }

    /// Keeps a denial that is no longer reported: it still binds its voter, so
    /// that the groups of a host that returns keep their owner meanwhile.
    fn replace_denials(&mut self, answer: &Answer) {
        if answer.denials.is_empty() && self.denials.is_empty() {
            return;
        }
        let (mut denials, reported) = reported(answer);
        for mut old in mem::take(&mut self.denials) {
            old.hosts.subtract(&reported);
            let bound = old.until > answer.received && old.mature < old.until;
            if bound && !old.hosts.is_empty() {
                denials.push(old);
            }
        }
        self.denials = denials.into();
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

    /// Hosts that the voter has denied for [`QUORUM_LEASE`], with the time until
    /// which it certainly denies them.
    pub(crate) fn denials(&self, now: Instant) -> impl Iterator<Item = (&HostSet, Instant)> {
        let valid = self.denials.iter().filter(move |d| d.mature <= now && now < d.until);
        valid.map(|d| (&d.hosts, d.until))
    }

    /// Forgets the denials of hosts whose slots are given to other hosts.
    pub(crate) fn forget(&mut self, gone: &HostSet) {
        self.denials.iter_mut().for_each(|d| d.hosts.subtract(gone));
    }

    /// Forgets all support, given to a right that was released since, and
    /// ignores answers to heartbeats sent until now.
    pub(crate) fn withdraw(&mut self, now: Instant) {
        self.support = None;
        self.floor = Some(now);
        self.denials = Box::default();
    }
}

/// Denials of an answer by their times, and all hosts that it denies. A host
/// that is listed twice counts once.
fn reported(answer: &Answer) -> (Vec<Denials>, HostSet) {
    let mut ages: Vec<(Duration, HostSet)> = Vec::new();
    let mut reported = HostSet::default();
    for (slot, age) in &answer.denials {
        if !reported.insert(*slot) {
            continue;
        }
        let age = QUORUM_LEASE.min(*age);
        let found = ages.iter().position(|(a, _)| *a == age).unwrap_or_else(|| {
            ages.push((age, HostSet::default()));
            ages.len() - 1
        });
        ages[found].1.insert(*slot);
    }
    let until = answer.sent + QUORUM_LEASE - RATE_MARGIN;
    let denials = ages.into_iter().map(|(age, mut hosts)| {
        hosts.shrink();
        Denials { hosts, mature: answer.received + (QUORUM_LEASE - age), until }
    });
    (denials.collect(), reported)
}
