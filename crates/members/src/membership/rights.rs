//! Rights of this host as a candidate.

use std::time::Duration;
use std::time::Instant;

use chervil_rpc::agent::QuorumLease;

use super::Host;
use super::Membership;
use crate::MIN_LEASE;
use crate::QUORUM_LEASE;
use crate::RATE_MARGIN;
use crate::quorum::Count;
use crate::quorum::HostKey;
use crate::quorum::Times;

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
    pub(super) fn learn_from_peers(&mut self) {
        if self.learned || self.list.epoch == 0 {
            return;
        }
        let mut part = Count::default();
        for (_, host) in self.hosts.iter().filter(|(key, _)| *key != self.me) {
            if (1..=self.list.epoch).contains(&host.replies.epoch()) {
                part.add(host.seat);
            }
        }
        self.learned = self.quorum.meets_majorities(part, self.hosts[self.me].seat);
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
        let denied = self.deniable();
        let mut times: Vec<Times> = vec![Times::default(); denied.len()];
        let seat = self.hosts[self.me].seat;
        for (host, times) in denied.iter().zip(&mut times) {
            self.own_denial(*host, now).into_iter().for_each(|end| times.add(seat, end));
        }
        for (_, voter) in self.hosts.iter().filter(|(key, _)| *key != self.me) {
            // Both are sorted; after the loss of a zone they are long.
            let mut next = 0;
            for (host, end) in voter.replies.denials(now) {
                while denied.get(next).is_some_and(|h| *h < host) {
                    next += 1;
                }
                if denied.get(next) == Some(&host) {
                    times[next].add(voter.seat, end);
                }
            }
        }
        let ends = times.iter_mut().map(|times| self.quorum.newest(times));
        denied.iter().zip(ends).filter_map(|(host, end)| Some((*host, end?))).collect()
    }

    fn own_denial(&mut self, host: HostKey, now: Instant) -> Option<Instant> {
        if !self.can_vote(now) {
            return None;
        }
        let age = self.hosts[host].stance.report(now)?;
        (age >= QUORUM_LEASE).then(|| now + QUORUM_LEASE - RATE_MARGIN)
    }

    /// Listed hosts that any voter denies, sorted.
    fn deniable(&self) -> Vec<HostKey> {
        let candidate = |host: &Host| host.deniers > 0 || !host.stance.is_up();
        let listed = self.hosts.iter().filter(|(_, h)| h.seat.is_taken());
        let denied = listed.filter(|(key, h)| *key != self.me && candidate(h));
        let mut denied: Vec<HostKey> = denied.map(|(key, _)| key).collect();
        denied.sort_unstable();
        denied
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
