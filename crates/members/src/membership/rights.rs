//! Rights of this host as a candidate.

use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::QuorumLease;

use super::Membership;
use crate::MIN_LEASE;
use crate::QUORUM_LEASE;
use crate::RATE_MARGIN;
use crate::hostset::HostSet;
use crate::quorum::Count;
use crate::quorum::HostKey;
use crate::quorum::Times;
use crate::tally::Ballots;
use crate::tally::denial_ends;

impl Membership {
    /// Right of this host to send work.
    ///
    /// Denials by this host itself count as reported, so that its vote stays
    /// bound for as long as the result may be used.
    pub fn lease(&mut self, now: Instant) -> QuorumLease {
        self.settle(now);
        let none = QuorumLease {
            remaining_ms: 0,
            epoch: self.list.epoch,
            settled: self.settled,
            down: Vec::new(),
        };
        if self.released || !self.is_member() {
            return none;
        }
        let Some(mut until) = self.lease_end(now) else { return none };
        let least = MIN_LEASE.min(until - now);
        let mut down = Vec::new();
        for (host, end) in self.denied_until(now) {
            if end >= now + least {
                until = until.min(end);
                down.push(self.hosts[host].name.clone());
            }
        }
        let remaining_ms = (until - now).as_millis() as u64;
        QuorumLease { remaining_ms, down, ..none }
    }

    /// Whether this host holds a quorum lease.
    pub fn holds_lease(&self, now: Instant) -> bool {
        !self.released && self.is_member() && self.lease_end(now).is_some()
    }

    /// Whether a majority has held this epoch for the lease time.
    pub fn is_settled(&mut self, now: Instant) -> bool {
        self.settle(now);
        self.settled
    }

    /// Hosts of the list that a majority has denied without a break for `time`,
    /// as far as this host has seen.
    pub fn denied_for(&self, time: Duration, now: Instant) -> Vec<Box<str>> {
        let listed = self.hosts.values().filter(|h| h.seat.current);
        let denied = listed.filter(|h| h.denied_since.is_some_and(|since| now >= since + time));
        denied.map(|h| h.name.clone()).collect()
    }

    /// Counts the time that a majority has denied each host.
    pub(super) fn track_denied(&mut self, now: Instant) {
        let denied = self.denied_until(now);
        for (key, host) in &mut self.hosts {
            let since = host.denied_since.take();
            if denied.binary_search_by_key(&key, |(k, _)| *k).is_ok() {
                host.denied_since = since.or(Some(now));
            }
        }
    }

    /// Relies on the list when no majority that acknowledged a later one can
    /// be without a host that answered with this one.
    pub(super) fn confirm_list_from_peers(&mut self) {
        if self.list_confirmed || self.list.epoch == 0 {
            return;
        }
        let mut part = Count::default();
        for (_, host) in self.hosts.iter().filter(|(key, _)| *key != self.me) {
            if (1..=self.list.epoch).contains(&host.replies.epoch()) {
                part.add(host.seat);
            }
        }
        self.list_confirmed = self.quorum.meets_majorities(part, self.hosts[self.me].seat);
    }

    fn lease_end(&self, now: Instant) -> Option<Instant> {
        let own = self.can_vote(now).then_some(now);
        let mut times = Times::default();
        for (key, host) in &self.hosts {
            let support = if key == self.me { own } else { host.replies.support() };
            support.into_iter().for_each(|at| times.add(host.seat, at));
        }
        let end = self.quorum.newest(&mut times)? + QUORUM_LEASE - RATE_MARGIN;
        (end > now).then_some(end)
    }

    /// Hosts that a majority has denied for [`QUORUM_LEASE`], sorted, with the
    /// time until which it certainly denies them.
    fn denied_until(&mut self, now: Instant) -> Vec<(HostKey, Instant)> {
        let own = self.own_denials(now);
        let mut ballots = Vec::new();
        for (key, voter) in &self.hosts {
            if key != self.me && voter.seat.is_taken() {
                let ballot = |(hosts, until)| Ballots { seat: voter.seat, until, hosts };
                ballots.extend(voter.replies.denials(now).map(ballot));
            }
        }
        if !own.is_empty() {
            let until = now + QUORUM_LEASE - RATE_MARGIN;
            ballots.push(Ballots { seat: self.hosts[self.me].seat, until, hosts: &own });
        }
        if ballots.is_empty() {
            return Vec::new();
        }
        let ends = denial_ends(self.quorum, self.slots.len(), ballots);
        let listed = self.hosts.iter().filter(|(key, h)| *key != self.me && h.seat.is_taken());
        listed.filter_map(|(key, h)| Some((key, ends[h.slot]?))).collect()
    }

    /// Listed hosts that this host has denied for [`QUORUM_LEASE`]; they and
    /// the other denied ones count as reported.
    fn own_denials(&mut self, now: Instant) -> HostSet {
        let mut own = HostSet::default();
        if !self.can_vote(now) {
            return own;
        }
        let me = self.me;
        for key in self.denied.iter().filter(|key| **key != me) {
            // The host may have been forgotten.
            let Some(host) = self.hosts.get_mut(*key).filter(|h| h.seat.is_taken()) else {
                continue;
            };
            if host.stance.report(now).is_some_and(|age| age >= QUORUM_LEASE) {
                own.insert(host.slot);
            }
        }
        own
    }

    fn settle(&mut self, now: Instant) {
        if self.settled {
            return;
        }
        let epoch = self.list.epoch;
        let own = self.can_vote(now) && now >= self.adopted + QUORUM_LEASE;
        let mut part = Count::default();
        for (key, host) in &self.hosts {
            if if key == self.me { own } else { host.replies.has_held(epoch, now) } {
                part.add(host.seat);
            }
        }
        self.settled = self.quorum.is_majority(part);
    }
}
