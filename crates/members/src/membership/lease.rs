//! Quorum lease of this host, and the denials that a majority agrees on.

use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::QuorumLease;

use super::Membership;
use crate::CLOCK_RATE_MARGIN;
use crate::MIN_LEASE;
use crate::QUORUM_LEASE;
use crate::hostset::HostSet;
use crate::quorum::HostKey;
use crate::quorum::ListCounts;
use crate::quorum::VoteTimes;
use crate::tally::VoterDenials;
use crate::tally::majority_denial_ends;

impl Membership {
    /// Quorum lease of this host, which permits it to send work to the groups
    /// that it owns; `remaining_ms` is 0 without a majority.
    ///
    /// The denials by this host count as reported to itself, so that they bind
    /// its vote for as long as the lease may be used.
    pub fn lease(&mut self, now: Instant) -> QuorumLease {
        self.update_settled(now);
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
        let min_remaining = MIN_LEASE.min(until - now);
        let mut down = Vec::new();
        for (host, end) in self.denied_until(now) {
            if end >= now + min_remaining {
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

    /// Whether a majority has held this epoch or a later one for
    /// [`QUORUM_LEASE`].
    pub fn is_settled(&mut self, now: Instant) -> bool {
        self.update_settled(now);
        self.settled
    }

    /// Hosts of the current list that a majority has denied without a break for
    /// at least `time`, as observed at the ticks of this host.
    pub fn denied_for(&self, time: Duration, now: Instant) -> Vec<Box<str>> {
        let members = self.hosts.values().filter(|h| h.listed.current);
        let denied = members.filter(|h| h.denied_since.is_some_and(|since| now >= since + time));
        denied.map(|h| h.name.clone()).collect()
    }

    /// Sets `denied_since` of hosts that a majority has started to deny, and
    /// clears it for the others.
    pub(super) fn update_denied_since(&mut self, now: Instant) {
        let denied = self.denied_until(now);
        for (key, host) in &mut self.hosts {
            let since = host.denied_since.take();
            if denied.binary_search_by_key(&key, |(k, _)| *k).is_ok() {
                host.denied_since = since.or(Some(now));
            }
        }
    }

    /// Confirms the list without the store: once the peers that reported this or
    /// an earlier epoch intersect every majority, no majority can have
    /// acknowledged a later list.
    pub(super) fn confirm_list_from_peers(&mut self) {
        if self.list_confirmed || self.list.epoch == 0 {
            return;
        }
        let mut peers = ListCounts::default();
        for (_, host) in self.hosts.iter().filter(|(key, _)| *key != self.local) {
            if (1..=self.list.epoch).contains(&host.voter.epoch()) {
                peers.add(host.listed);
            }
        }
        self.list_confirmed =
            self.list_sizes.intersects_majorities(peers, self.hosts[self.local].listed);
    }

    /// End of the lease; `None` without a majority or after its end.
    fn lease_end(&self, now: Instant) -> Option<Instant> {
        let own = self.can_vote(now).then_some(now);
        let mut times = VoteTimes::default();
        for (key, host) in &self.hosts {
            let support = if key == self.local { own } else { host.voter.supported_at() };
            support.into_iter().for_each(|at| times.add(host.listed, at));
        }
        let end = self.list_sizes.majority_time(&mut times)? + QUORUM_LEASE - CLOCK_RATE_MARGIN;
        (end > now).then_some(end)
    }

    /// Hosts that a majority has denied for [`QUORUM_LEASE`], sorted by key, with
    /// the time up to which the majority is bound to deny them.
    fn denied_until(&mut self, now: Instant) -> Vec<(HostKey, Instant)> {
        let own = self.own_denials(now);
        let mut denials = Vec::new();
        for (key, host) in &self.hosts {
            if key != self.local && host.listed.any() {
                let effective = host.voter.effective_denials(now);
                denials.extend(effective.map(|(hosts, until)| VoterDenials {
                    voter: host.listed,
                    until,
                    hosts,
                }));
            }
        }
        if !own.is_empty() {
            let until = now + QUORUM_LEASE - CLOCK_RATE_MARGIN;
            denials.push(VoterDenials { voter: self.hosts[self.local].listed, until, hosts: &own });
        }
        if denials.is_empty() {
            return Vec::new();
        }
        let ends = majority_denial_ends(self.list_sizes, self.slots.capacity(), denials);
        let listed = self.hosts.iter().filter(|(key, h)| *key != self.local && h.listed.any());
        listed.filter_map(|(key, h)| Some((key, ends[h.slot]?))).collect()
    }

    /// Listed hosts that this host has denied for [`QUORUM_LEASE`]. Marks the
    /// denials of all listed hosts as reported.
    fn own_denials(&mut self, now: Instant) -> HostSet {
        let mut own = HostSet::default();
        if !self.can_vote(now) {
            return own;
        }
        let local = self.local;
        for key in self.denied.iter().filter(|key| **key != local) {
            // The key is stale if the host was removed after the last tick.
            let Some(host) = self.hosts.get_mut(*key).filter(|h| h.listed.any()) else {
                continue;
            };
            if host.vote.report_denial(now).is_some_and(|age| age >= QUORUM_LEASE) {
                own.insert(host.slot);
            }
        }
        own
    }

    fn update_settled(&mut self, now: Instant) {
        if self.settled {
            return;
        }
        let epoch = self.list.epoch;
        let own = self.can_vote(now) && now >= self.adopted_at + QUORUM_LEASE;
        let mut holders = ListCounts::default();
        for (key, host) in &self.hosts {
            if if key == self.local { own } else { host.voter.has_held(epoch, now) } {
                holders.add(host.listed);
            }
        }
        self.settled = self.list_sizes.is_majority(holders);
    }
}
