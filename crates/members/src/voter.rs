//! State of one voter as its heartbeat replies show it. Times are rounded so
//! that a candidate never relies on a vote longer than its voter is bound.

use std::mem;
use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::Vote;

use crate::CLOCK_RATE_MARGIN;
use crate::QUORUM_LEASE;
use crate::hostset::HostSet;

/// Hosts that a voter denies with the same start and end.
#[derive(Clone, Debug)]
struct DenialGroup {
    hosts: HostSet,
    /// Latest possible time at which the denials have lasted [`QUORUM_LEASE`]
    /// and count.
    effective_from: Instant,
    /// Earliest possible time at which the voter may support the hosts again.
    until: Instant,
}

/// Last known votes of one voter.
#[derive(Clone, Debug, Default)]
pub(crate) struct VoterState {
    /// Replies to heartbeats sent up to this time are ignored.
    ignored_until: Option<Instant>,
    /// Send time of the newest heartbeat that was answered.
    last_sent: Option<Instant>,
    supported_at: Option<Instant>,
    incarnation: u64,
    epoch: u64,
    epoch_since: Option<Instant>,
    /// Disjoint sets of hosts. There are few, because a voter starts its
    /// denials at its ticks.
    denials: Box<[DenialGroup]>,
}

/// Reply of a voter to a heartbeat.
pub(crate) struct VoterReply {
    /// When this host sent the heartbeat.
    pub(crate) sent: Instant,
    /// When the reply arrived.
    pub(crate) received: Instant,
    pub(crate) vote: Vote,
    pub(crate) incarnation: u64,
    pub(crate) epoch: u64,
    /// Slots of the denied hosts, and the ages of the denials.
    pub(crate) denials: Vec<(usize, Duration)>,
}

impl VoterState {
    /// Applies a reply, unless a newer heartbeat has been answered already.
    pub(crate) fn record(&mut self, reply: VoterReply) {
        if self.ignored_until.max(self.last_sent).is_some_and(|limit| limit >= reply.sent) {
            return;
        }
        self.last_sent = Some(reply.sent);
        if reply.vote == Vote::Up {
            self.supported_at = Some(reply.sent);
        }
        // A restarted voter may know an older list.
        if self.incarnation != reply.incarnation || self.epoch != reply.epoch {
            self.epoch_since = Some(reply.received);
        }
        self.incarnation = reply.incarnation;
        self.epoch = reply.epoch;
        self.merge_denials(&reply);
    }

    /// Replaces the denials by the reported ones, but keeps an unreported
    /// denial until it ends: it still binds its voter, and the groups of a
    /// returning host keep their owner in the meantime.
    fn merge_denials(&mut self, reply: &VoterReply) {
        if reply.denials.is_empty() && self.denials.is_empty() {
            return;
        }
        let (mut denials, reported) = group_denials(reply);
        for mut old in mem::take(&mut self.denials) {
            old.hosts.subtract(&reported);
            let binding = old.until > reply.received && old.effective_from < old.until;
            if binding && !old.hosts.is_empty() {
                denials.push(old);
            }
        }
        self.denials = denials.into();
    }

    /// Send time of the newest heartbeat that the voter supported.
    pub(crate) fn supported_at(&self) -> Option<Instant> {
        self.supported_at
    }

    /// Epoch of the voter's list; 0 when it has none that it may rely on.
    pub(crate) fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Whether the voter has held `epoch` or a later one for [`QUORUM_LEASE`].
    ///
    /// Requires a recent reply: a voter that restarted since may have learned
    /// an older list, but it does not vote until [`QUORUM_LEASE`] after its
    /// restart.
    pub(crate) fn has_held(&self, epoch: u64, now: Instant) -> bool {
        let recent =
            self.last_sent.is_some_and(|sent| now < sent + QUORUM_LEASE - CLOCK_RATE_MARGIN);
        let since = self.epoch_since.filter(|_| self.epoch >= epoch && recent);
        since.is_some_and(|since| now >= since + QUORUM_LEASE)
    }

    /// Hosts that the voter has denied for [`QUORUM_LEASE`], with the time up
    /// to which the voter is bound to deny them.
    pub(crate) fn effective_denials(
        &self,
        now: Instant,
    ) -> impl Iterator<Item = (&HostSet, Instant)> {
        let effective =
            self.denials.iter().filter(move |d| d.effective_from <= now && now < d.until);
        effective.map(|d| (&d.hosts, d.until))
    }

    /// Drops the denials of removed hosts, whose slots may be reused.
    pub(crate) fn remove_hosts(&mut self, removed: &HostSet) {
        self.denials.iter_mut().for_each(|d| d.hosts.subtract(removed));
    }

    /// Drops all votes, and ignores replies to heartbeats sent up to `now`:
    /// they were given for a lease that this host has released.
    pub(crate) fn discard_votes(&mut self, now: Instant) {
        self.supported_at = None;
        self.ignored_until = Some(now);
        self.denials = Box::default();
    }
}

/// Denials of a reply grouped by their times, and the set of all denied hosts.
/// A host that is listed twice counts once.
fn group_denials(reply: &VoterReply) -> (Vec<DenialGroup>, HostSet) {
    let mut ages: Vec<(Duration, HostSet)> = Vec::new();
    let mut reported = HostSet::default();
    for (slot, age) in &reply.denials {
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
    let until = reply.sent + QUORUM_LEASE - CLOCK_RATE_MARGIN;
    let denials = ages.into_iter().map(|(age, mut hosts)| {
        hosts.shrink_to_fit();
        DenialGroup { hosts, effective_from: reply.received + (QUORUM_LEASE - age), until }
    });
    (denials.collect(), reported)
}
