//! Membership as one host sees it: its stand as a voter and its rights as a
//! candidate.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;
use chervil_rpc::agent::Denial;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::Vote;
use slotmap::SlotMap;

use crate::DOWN_AFTER;
use crate::QUORUM_LEASE;
use crate::hostset::HostSet;
use crate::hostset::Slots;
use crate::quorum::Count;
use crate::quorum::HostKey;
use crate::quorum::Seat;
use crate::replies::Answer;
use crate::replies::Replies;
use crate::stance::Stance;

mod rights;

value! {
    /// Answer of the voter to a heartbeat.
    pub struct VoteReply {
        /// Stand on the sender.
        pub vote: Vote,
        /// Hosts that the voter denies.
        pub denials: Vec<Denial>,
    }
}

#[derive(Debug)]
struct Host {
    name: Box<str>,
    seat: Seat,
    stance: Stance,
    replies: Replies,
    denied_since: Option<Instant>,
    /// Number of the host in sets of hosts.
    slot: usize,
    /// Host that came after this one in the last report of denials; null or
    /// forgotten when unknown.
    follower: HostKey,
}

/// State of the member list, the votes and the quorum lease on one host.
#[derive(Debug)]
pub struct Membership {
    me: HostKey,
    incarnation: u64,
    started: Instant,
    ticked: Instant,
    adopted: Instant,
    list_confirmed: bool,
    released: bool,
    settled: bool,
    list: MemberList,
    quorum: Count,
    /// Hosts that this voter denies, and some that it denied recently.
    denied: Vec<HostKey>,
    hosts: SlotMap<HostKey, Host>,
    slots: Slots,
    names: HashMap<Box<str>, HostKey>,
}

impl Membership {
    /// Membership of a process that has just started.
    pub fn new(name: &str, incarnation: u64, now: Instant) -> Membership {
        let mut hosts = SlotMap::with_key();
        let mut slots = Slots::default();
        let me = hosts.insert(Host::new(name, slots.take(), now));
        let mut names = HashMap::default();
        names.insert(name.into(), me);
        Membership {
            me,
            incarnation,
            started: now,
            ticked: now,
            adopted: now,
            list_confirmed: false,
            released: false,
            settled: false,
            list: MemberList::default(),
            quorum: Count::default(),
            denied: Vec::new(),
            hosts,
            slots,
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
        if self.list_confirmed { self.list.epoch } else { 0 }
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
        self.hosts[self.me].seat.current
    }

    /// Adopts a list of a later epoch; returns whether it did.
    pub fn adopt(&mut self, list: &MemberList, now: Instant) -> bool {
        if list.epoch <= self.list.epoch {
            return false;
        }
        self.seat(list, now);
        self.list = list.clone();
        self.settled = false;
        self.adopted = now;
        self.forget_strangers(now);
        true
    }

    /// The member list was read from the store, so that it is no older than
    /// any list that this host's former process acknowledged.
    pub fn confirm_list(&mut self) {
        self.list_confirmed = true;
    }

    /// Whether this host may rely on its list.
    pub fn is_list_confirmed(&self) -> bool {
        self.list_confirmed
    }

    /// Gives up all rights of this host until [`Membership::reacquire`].
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Asks for rights again after a release, as a new incarnation.
    pub fn reacquire(&mut self, incarnation: u64, now: Instant) {
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
                host.stance.restart_timeout(now);
            } else if votes {
                host.stance.tick(now);
            }
        }
        let denied = self.hosts.iter().filter(|(_, h)| !h.stance.is_up());
        self.denied = denied.map(|(key, _)| key).collect();
        self.track_denied(now);
    }

    /// Answers a heartbeat. Unless the sender's gate is serving, it asks for
    /// no support.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> VoteReply {
        let vote = self.vote(heartbeat, now);
        let denials = if self.can_vote(now) { self.report(now) } else { Vec::new() };
        VoteReply { vote, denials }
    }

    /// Takes note of the answer to a heartbeat that was sent at `sent`.
    pub fn on_reply(&mut self, sent: Instant, reply: &HeartbeatReply, now: Instant) {
        let Some(key) = self.names.get(&reply.state.host).copied() else { return };
        if key == self.me {
            return;
        }
        let denials = self.denials(&reply.denials);
        let answer = Answer {
            sent,
            received: now,
            vote: reply.vote,
            incarnation: reply.state.incarnation,
            epoch: reply.state.epoch,
            denials,
        };
        self.hosts[key].replies.record(answer);
        self.confirm_list_from_peers();
    }

    /// Whether this host votes on others, so that majorities may need it.
    pub fn is_voter(&self, now: Instant) -> bool {
        self.is_member() && self.can_vote(now)
    }

    /// Whether this host takes a listed host for live.
    pub fn is_up(&self, host: &str) -> bool {
        self.names.get(host).is_some_and(|k| *k == self.me || self.hosts[*k].stance.is_up())
    }

    /// Hosts known, listed or not.
    pub fn known_hosts(&self) -> usize {
        self.hosts.len()
    }

    fn vote(&mut self, heartbeat: &Heartbeat, now: Instant) -> Vote {
        let votes = self.can_vote(now);
        let key = self.names.get(&heartbeat.host).copied();
        let listed = key.filter(|k| self.hosts[*k].seat.is_taken());
        let Some(key) = listed else { return Vote::Abstain };
        let stance = &mut self.hosts[key].stance;
        if heartbeat.released {
            stance.release(heartbeat.incarnation, now);
            if !self.denied.contains(&key) {
                self.denied.push(key);
            }
            return Vote::Down;
        }
        if !heartbeat.serving {
            return Vote::Abstain;
        }
        if !votes || heartbeat.epoch < self.list.epoch {
            stance.restart_timeout(now);
            return Vote::Abstain;
        }
        stance.hear(heartbeat.incarnation, now)
    }

    /// Slots and ages of a voter's denials of known hosts.
    ///
    /// Voters report the same hosts in almost the same order each time, so that
    /// most names need a comparison but no lookup.
    fn denials(&mut self, denials: &[Denial]) -> Vec<(usize, Duration)> {
        let mut found = Vec::with_capacity(denials.len());
        let mut last = self.me;
        for denial in denials {
            let mut key = self.hosts[last].follower;
            if self.hosts.get(key).is_none_or(|h| h.name != denial.host) {
                let Some(known) = self.names.get(&denial.host) else { continue };
                key = *known;
                self.hosts[last].follower = key;
            }
            found.push((self.hosts[key].slot, Duration::from_millis(denial.age_ms)));
            last = key;
        }
        found
    }

    fn report(&mut self, now: Instant) -> Vec<Denial> {
        let hosts = &mut self.hosts;
        let denials = self.denied.iter().filter_map(|key| {
            let host = hosts.get_mut(*key).filter(|h| h.seat.is_taken())?;
            let age_ms = host.stance.report(now)?.as_millis() as u64;
            Some(Denial { host: host.name.clone(), age_ms })
        });
        denials.collect()
    }

    /// Whether this process may vote: every promise of the former process has
    /// expired, and no list that it acknowledged is unknown here.
    fn can_vote(&self, now: Instant) -> bool {
        self.list_confirmed && now >= self.started + QUORUM_LEASE
    }

    /// Seats the hosts of both lists.
    fn seat(&mut self, list: &MemberList, now: Instant) {
        self.hosts.values_mut().for_each(|h| h.seat = Seat::default());
        for host in &list.hosts {
            let key = self.key(&host.host, now);
            self.hosts[key].seat.current = true;
        }
        for host in &list.previous {
            let key = self.key(&host.host, now);
            self.hosts[key].seat.previous = true;
        }
        self.quorum = Count::default();
        self.hosts.values().for_each(|h| self.quorum.add(h.seat));
    }

    fn key(&mut self, name: &str, now: Instant) -> HostKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.hosts.insert(Host::new(name, self.slots.take(), now));
        self.names.insert(name.into(), key);
        key
    }

    fn forget_strangers(&mut self, now: Instant) {
        let Membership { hosts, slots, names, me, .. } = self;
        let mut gone = HostSet::default();
        hosts.retain(|key, host| {
            let keep = key == *me || host.seat.is_taken() || host.stance.binds(now);
            if !keep {
                names.remove(&host.name);
                slots.put(host.slot);
                gone.insert(host.slot);
            }
            keep
        });
        if !gone.is_empty() {
            hosts.values_mut().for_each(|h| h.replies.forget(&gone));
        }
    }
}

impl Host {
    fn new(name: &str, slot: usize, now: Instant) -> Host {
        Host {
            name: name.into(),
            seat: Seat::default(),
            stance: Stance::new(now),
            replies: Replies::default(),
            denied_since: None,
            slot,
            follower: HostKey::default(),
        }
    }
}
