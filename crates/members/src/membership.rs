//! Membership as one host sees it: its stand as a voter and its rights as a
//! candidate.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;
use chervil_rpc::agent::Denial;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::Vote;
use slotmap::SlotMap;

use crate::DOWN_AFTER;
use crate::MIN_LEASE;
use crate::QUORUM_LEASE;
use crate::quorum::HostKey;
use crate::quorum::Quorum;
use crate::replies::Answer;
use crate::replies::Replies;
use crate::stance::Stance;

value! {
    /// Answer of the voter to a heartbeat.
    pub struct Ballot {
        /// Stand on the sender.
        pub vote: Vote,
        /// Hosts that the voter denies.
        pub denials: Vec<Denial>,
    }
}

#[derive(Debug)]
struct Host {
    name: Box<str>,
    stance: Stance,
    replies: Replies,
    denied_since: Option<Instant>,
}

/// State of the member list, the votes and the quorum lease on one host.
#[derive(Debug)]
pub struct Membership {
    me: HostKey,
    incarnation: u64,
    started: Instant,
    ticked: Instant,
    adopted: Instant,
    learned: bool,
    released: bool,
    settled: bool,
    list: MemberList,
    quorum: Quorum,
    hosts: SlotMap<HostKey, Host>,
    names: HashMap<Box<str>, HostKey>,
}

impl Membership {
    /// Membership of a process that has just started.
    pub fn new(name: &str, incarnation: u64, now: Instant) -> Membership {
        let mut hosts = SlotMap::with_key();
        let me = hosts.insert(Host::new(name, now));
        let mut names = HashMap::default();
        names.insert(name.into(), me);
        Membership {
            me,
            incarnation,
            started: now,
            ticked: now,
            adopted: now,
            learned: false,
            released: false,
            settled: false,
            list: MemberList::default(),
            quorum: Quorum::default(),
            hosts,
            names,
        }
    }

    /// List in force on this host.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Epoch that heartbeats carry: 0 while this host may not rely on its list,
    /// so that it does not count as a holder of the list.
    pub fn epoch(&self) -> u64 {
        if self.learned { self.list.epoch } else { 0 }
    }

    /// Incarnation that heartbeats carry.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether this host has released its rights.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Whether this host is in the list in force.
    pub fn is_member(&self) -> bool {
        self.quorum.current.contains(&self.me)
    }

    /// Adopts a list of a later epoch; returns whether it did.
    pub fn adopt(&mut self, list: &MemberList, now: Instant) -> bool {
        if list.epoch <= self.list.epoch {
            return false;
        }
        let current = self.keys(&list.hosts, now);
        let previous = self.keys(&list.previous, now);
        self.quorum = Quorum { current, previous };
        self.list = list.clone();
        self.settled = false;
        self.adopted = now;
        self.forget_strangers(now);
        true
    }

    /// The member list was read from the store, so that it is no older than
    /// any list that this host's former process acknowledged.
    pub fn set_learned(&mut self) {
        self.learned = true;
    }

    /// Whether this host may rely on its list.
    pub fn is_learned(&self) -> bool {
        self.learned
    }

    /// Gives up all rights of this host until [`Membership::renew`].
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Asks for rights again after a release, as a new incarnation.
    pub fn renew(&mut self, incarnation: u64, now: Instant) {
        self.incarnation = incarnation;
        self.released = false;
        self.hosts.values_mut().for_each(|h| h.replies.withdraw(now));
    }

    /// Updates stands; to be called at least every [`HEARTBEAT_INTERVAL`](crate::HEARTBEAT_INTERVAL).
    pub fn tick(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.ticked) >= DOWN_AFTER / 2;
        self.ticked = now;
        let votes = self.can_vote(now);
        let me = self.me;
        for (_, host) in self.hosts.iter_mut().filter(|(key, _)| *key != me) {
            if paused {
                host.stance.excuse(now);
            } else if votes {
                host.stance.tick(now);
            }
        }
        self.track_denied(now);
    }

    /// Answers a heartbeat. Unless the sender's gate is serving, it asks for
    /// no support.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> Ballot {
        let vote = self.vote(heartbeat, now);
        let denials = if self.can_vote(now) { self.report(now) } else { Vec::new() };
        Ballot { vote, denials }
    }

    /// Takes note of the answer to a heartbeat that was sent at `sent`.
    pub fn on_reply(&mut self, sent: Instant, reply: &HeartbeatReply, now: Instant) {
        let Some(key) = self.names.get(&reply.state.host).copied() else { return };
        if key == self.me {
            return;
        }
        let names = &self.names;
        let denied = |d: &Denial| Some((*names.get(&d.host)?, Duration::from_millis(d.age_ms)));
        let denials = reply.denials.iter().filter_map(denied).collect();
        let answer = Answer {
            sent,
            received: now,
            vote: reply.vote,
            incarnation: reply.state.incarnation,
            epoch: reply.state.epoch,
            denials,
        };
        self.hosts[key].replies.record(answer);
        self.learn_from_peers();
    }

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
        for host in self.deniable() {
            let Some(end) = self.denied_until(host, now) else { continue };
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

    /// Whether this host takes a listed host for live.
    pub fn is_up(&self, host: &str) -> bool {
        self.names.get(host).is_some_and(|k| *k == self.me || self.hosts[*k].stance.is_up())
    }

    /// Hosts of the list that a majority has denied without a break for `time`,
    /// as far as this host has seen.
    pub fn denied_for(&self, time: Duration, now: Instant) -> Vec<Box<str>> {
        let long = |k: &&HostKey| self.hosts[**k].denied_since.is_some_and(|s| now >= s + time);
        let denied = self.quorum.current.iter().filter(long);
        denied.map(|k| self.hosts[*k].name.clone()).collect()
    }

    /// Hosts known, listed or not.
    pub fn known_hosts(&self) -> usize {
        self.hosts.len()
    }

    fn vote(&mut self, heartbeat: &Heartbeat, now: Instant) -> Vote {
        let votes = self.can_vote(now);
        let key = self.names.get(&heartbeat.host).copied();
        let Some(key) = key.filter(|k| self.quorum.contains(*k)) else { return Vote::Abstain };
        let stance = &mut self.hosts[key].stance;
        if heartbeat.released {
            stance.release(heartbeat.incarnation, now);
            return Vote::Down;
        }
        if !heartbeat.serving {
            return Vote::Abstain;
        }
        if !votes || heartbeat.epoch < self.list.epoch {
            stance.excuse(now);
            return Vote::Abstain;
        }
        stance.hear(heartbeat.incarnation, now)
    }

    fn report(&mut self, now: Instant) -> Vec<Denial> {
        let quorum = &self.quorum;
        let listed = self.hosts.iter_mut().filter(|(key, _)| quorum.contains(*key));
        let denials = listed.filter_map(|(_, host)| {
            let age_ms = host.stance.report(now)?.as_millis() as u64;
            Some(Denial { host: host.name.clone(), age_ms })
        });
        denials.collect()
    }

    /// Whether this process may vote: every promise of the former process has
    /// expired, and no list that it acknowledged is unknown here.
    fn can_vote(&self, now: Instant) -> bool {
        self.learned && now >= self.started + QUORUM_LEASE
    }

    fn learn_from_peers(&mut self) {
        if self.learned || self.list.epoch == 0 {
            return;
        }
        let epoch = self.list.epoch;
        let known = |k: HostKey| {
            let replies = &self.hosts[k].replies;
            (1..=epoch).contains(&replies.epoch())
        };
        self.learned = self.quorum.meets_without(self.me, known);
    }

    fn lease_end(&self, now: Instant) -> Option<Instant> {
        let own = self.can_vote(now).then_some(now);
        let support = |k: HostKey| if k == self.me { own } else { self.hosts[k].replies.support() };
        let end = self.quorum.newest(support)? + QUORUM_LEASE;
        (end > now).then_some(end)
    }

    fn denied_until(&mut self, host: HostKey, now: Instant) -> Option<Instant> {
        let own = self.own_denial(host, now);
        let denial =
            |k: HostKey| if k == self.me { own } else { self.hosts[k].replies.denies(host, now) };
        self.quorum.newest(denial)
    }

    fn own_denial(&mut self, host: HostKey, now: Instant) -> Option<Instant> {
        if host == self.me || !self.can_vote(now) {
            return None;
        }
        let age = self.hosts[host].stance.report(now)?;
        (age >= QUORUM_LEASE).then(|| now + QUORUM_LEASE)
    }

    /// Listed hosts that any voter denies.
    fn deniable(&self) -> Vec<HostKey> {
        let own = self.hosts.iter().filter(|(_, h)| !h.stance.is_up()).map(|(k, _)| k);
        let others = self.hosts.values().flat_map(|h| h.replies.denied());
        let mut denied: Vec<HostKey> = own.chain(others).collect();
        denied.sort_unstable();
        denied.dedup();
        denied.retain(|k| *k != self.me && self.quorum.contains(*k));
        denied
    }

    fn settle(&mut self, now: Instant) {
        let epoch = self.list.epoch;
        let own = self.can_vote(now) && now >= self.adopted + QUORUM_LEASE;
        let held = |k: HostKey| {
            if k == self.me { own } else { self.hosts[k].replies.has_held(epoch, now) }
        };
        self.settled |= self.quorum.meets(held);
    }

    fn track_denied(&mut self, now: Instant) {
        let denied = self.deniable();
        for (key, host) in &mut self.hosts {
            if denied.binary_search(&key).is_err() {
                host.denied_since = None;
            }
        }
        for key in denied {
            let majority = self.denied_until(key, now).is_some();
            let since = &mut self.hosts[key].denied_since;
            *since = if majority { since.or(Some(now)) } else { None };
        }
    }

    fn keys(&mut self, hosts: &[MemberHost], now: Instant) -> Vec<HostKey> {
        hosts.iter().map(|h| self.key(&h.host, now)).collect()
    }

    fn key(&mut self, name: &str, now: Instant) -> HostKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.hosts.insert(Host::new(name, now));
        self.names.insert(name.into(), key);
        key
    }

    fn forget_strangers(&mut self, now: Instant) {
        let Membership { hosts, names, quorum, me, .. } = self;
        hosts.retain(|key, host| {
            let keep = key == *me || quorum.contains(key) || host.stance.binds(now);
            if !keep {
                names.remove(&host.name);
            }
            keep
        });
    }
}

impl Host {
    fn new(name: &str, now: Instant) -> Host {
        Host {
            name: name.into(),
            stance: Stance::new(now),
            replies: Replies::default(),
            denied_since: None,
        }
    }
}
