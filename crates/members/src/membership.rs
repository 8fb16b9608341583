//! Membership state of one host: as a voter it votes on the leases of other
//! hosts, and as a candidate it collects votes for its own lease.

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
use crate::host_vote::HostVote;
use crate::hostset::HostSet;
use crate::hostset::SlotAllocator;
use crate::quorum::HostKey;
use crate::quorum::ListCounts;
use crate::quorum::Listed;
use crate::voter::VoterReply;
use crate::voter::VoterState;

mod lease;

value! {
    /// Reply of this voter to a heartbeat.
    pub struct VoteReply {
        /// Vote on the sender.
        pub vote: Vote,
        /// Hosts that the voter denies.
        pub denials: Vec<Denial>,
    }
}

#[derive(Debug)]
struct Host {
    name: Box<str>,
    listed: Listed,
    /// Vote of the local host on this host.
    vote: HostVote,
    /// Votes that this host gave in its heartbeat replies.
    voter: VoterState,
    /// Since when a majority has denied this host without a break.
    denied_since: Option<Instant>,
    /// Index of this host in host sets.
    slot: usize,
    /// Host that followed this one in the last denials received; a null or
    /// stale key when there was none.
    next_denied: HostKey,
}

/// Member list, votes and quorum lease of one host.
#[derive(Debug)]
pub struct Membership {
    local: HostKey,
    incarnation: u64,
    started_at: Instant,
    last_tick: Instant,
    /// When the current list was adopted.
    adopted_at: Instant,
    list_confirmed: bool,
    released: bool,
    settled: bool,
    list: MemberList,
    list_sizes: ListCounts,
    /// Hosts that this voter denies. Until the next tick it may also contain
    /// hosts that it no longer denies.
    denied: Vec<HostKey>,
    hosts: SlotMap<HostKey, Host>,
    slots: SlotAllocator,
    names: HashMap<Box<str>, HostKey>,
}

impl Membership {
    /// Membership of a process that has just started.
    pub fn new(name: &str, incarnation: u64, now: Instant) -> Membership {
        let mut hosts = SlotMap::with_key();
        let mut slots = SlotAllocator::default();
        let local = hosts.insert(Host::new(name, slots.allocate(), now));
        let mut names = HashMap::default();
        names.insert(name.into(), local);
        Membership {
            local,
            incarnation,
            started_at: now,
            last_tick: now,
            adopted_at: now,
            list_confirmed: false,
            released: false,
            settled: false,
            list: MemberList::default(),
            list_sizes: ListCounts::default(),
            denied: Vec::new(),
            hosts,
            slots,
            names,
        }
    }

    /// Current list of this host; epoch 0 before the first one is adopted.
    pub fn list(&self) -> &MemberList {
        &self.list
    }

    /// Epoch to send in heartbeats: 0 until the list is confirmed, so that this
    /// host does not count as a holder of the list.
    pub fn epoch(&self) -> u64 {
        if self.list_confirmed { self.list.epoch } else { 0 }
    }

    /// Incarnation to send in heartbeats.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Whether this host has released its lease.
    pub fn is_released(&self) -> bool {
        self.released
    }

    /// Whether the current list contains this host.
    pub fn is_member(&self) -> bool {
        self.hosts[self.local].listed.current
    }

    /// Adopts `list` if its epoch is later than the current one; returns
    /// whether it did.
    pub fn adopt(&mut self, list: &MemberList, now: Instant) -> bool {
        if list.epoch <= self.list.epoch {
            return false;
        }
        self.set_listed(list, now);
        self.list = list.clone();
        self.settled = false;
        self.adopted_at = now;
        self.remove_unlisted(now);
        true
    }

    /// Confirms the list, after it was read from the store: it is no older than
    /// any list that a former process of this host acknowledged.
    pub fn confirm_list(&mut self) {
        self.list_confirmed = true;
    }

    /// Whether the list is confirmed, by the store or by enough peers.
    pub fn is_list_confirmed(&self) -> bool {
        self.list_confirmed
    }

    /// Releases the lease of this host, and takes none until
    /// [`Membership::reacquire`].
    pub fn release(&mut self) {
        self.released = true;
    }

    /// Asks for a lease again after a release, as a new incarnation. Votes for
    /// the released one do not count.
    pub fn reacquire(&mut self, incarnation: u64, now: Instant) {
        self.incarnation = incarnation;
        self.released = false;
        self.hosts.values_mut().for_each(|h| h.voter.discard_votes(now));
    }

    /// Denies the hosts whose heartbeats have timed out.
    ///
    /// Must be called at least every [`HEARTBEAT_INTERVAL`](crate::HEARTBEAT_INTERVAL).
    /// After a gap of half of [`DOWN_AFTER`], this process counts as paused and
    /// gives every host the full timeout again.
    pub fn tick(&mut self, now: Instant) {
        let paused = now.saturating_duration_since(self.last_tick) >= DOWN_AFTER / 2;
        self.last_tick = now;
        let can_vote = self.can_vote(now);
        let local = self.local;
        for (_, host) in self.hosts.iter_mut().filter(|(key, _)| *key != local) {
            if paused {
                host.vote.restart_timeout(now);
            } else if can_vote {
                host.vote.tick(now);
            }
        }
        let denied = self.hosts.iter().filter(|(_, h)| !h.vote.is_up());
        self.denied = denied.map(|(key, _)| key).collect();
        self.update_denied_since(now);
    }

    /// Answers a heartbeat. A sender whose gate is not serving gets no support.
    pub fn on_heartbeat(&mut self, heartbeat: &Heartbeat, now: Instant) -> VoteReply {
        let vote = self.vote(heartbeat, now);
        let denials = if self.can_vote(now) { self.report_denials(now) } else { Vec::new() };
        VoteReply { vote, denials }
    }

    /// Records the reply to a heartbeat that this host sent at `sent`.
    pub fn on_reply(&mut self, sent: Instant, reply: &HeartbeatReply, now: Instant) {
        let Some(key) = self.names.get(&reply.state.host).copied() else { return };
        if key == self.local {
            return;
        }
        let denials = self.resolve_denials(&reply.denials);
        let reply = VoterReply {
            sent,
            received: now,
            vote: reply.vote,
            incarnation: reply.state.incarnation,
            epoch: reply.state.epoch,
            denials,
        };
        self.hosts[key].voter.record(reply);
        self.confirm_list_from_peers();
    }

    /// Whether this host is listed and may vote, so that majorities may depend
    /// on its votes.
    pub fn is_voter(&self, now: Instant) -> bool {
        self.is_member() && self.can_vote(now)
    }

    /// Whether `host` is known and this voter does not deny it.
    pub fn is_up(&self, host: &str) -> bool {
        self.names.get(host).is_some_and(|k| *k == self.local || self.hosts[*k].vote.is_up())
    }

    /// Number of known hosts, including unlisted ones on which a vote still binds
    /// this voter.
    pub fn known_hosts(&self) -> usize {
        self.hosts.len()
    }

    fn vote(&mut self, heartbeat: &Heartbeat, now: Instant) -> Vote {
        let can_vote = self.can_vote(now);
        let key = self.names.get(&heartbeat.host).copied();
        let key = key.filter(|k| self.hosts[*k].listed.any());
        let Some(key) = key else { return Vote::Abstain };
        let host_vote = &mut self.hosts[key].vote;
        if heartbeat.released {
            host_vote.on_release(heartbeat.incarnation, now);
            if !self.denied.contains(&key) {
                self.denied.push(key);
            }
            return Vote::Down;
        }
        if !heartbeat.serving {
            return Vote::Abstain;
        }
        if !can_vote || heartbeat.epoch < self.list.epoch {
            host_vote.restart_timeout(now);
            return Vote::Abstain;
        }
        host_vote.on_heartbeat(heartbeat.incarnation, now)
    }

    /// Slots and ages of the denials of known hosts.
    ///
    /// Voters report the same hosts in almost the same order each time, so for
    /// most names a comparison replaces the lookup.
    fn resolve_denials(&mut self, denials: &[Denial]) -> Vec<(usize, Duration)> {
        let mut found = Vec::with_capacity(denials.len());
        let mut last = self.local;
        for denial in denials {
            let mut key = self.hosts[last].next_denied;
            if self.hosts.get(key).is_none_or(|h| h.name != denial.host) {
                let Some(known) = self.names.get(&denial.host) else { continue };
                key = *known;
                self.hosts[last].next_denied = key;
            }
            found.push((self.hosts[key].slot, Duration::from_millis(denial.age_ms)));
            last = key;
        }
        found
    }

    fn report_denials(&mut self, now: Instant) -> Vec<Denial> {
        let hosts = &mut self.hosts;
        let denials = self.denied.iter().filter_map(|key| {
            let host = hosts.get_mut(*key).filter(|h| h.listed.any())?;
            let age_ms = host.vote.report_denial(now)?.as_millis() as u64;
            Some(Denial { host: host.name.clone(), age_ms })
        });
        denials.collect()
    }

    /// Whether this process may vote: all votes of the former process have
    /// expired, and the list is no older than any list that it acknowledged.
    fn can_vote(&self, now: Instant) -> bool {
        self.list_confirmed && now >= self.started_at + QUORUM_LEASE
    }

    /// Marks the hosts of the current and the previous list, and counts them.
    fn set_listed(&mut self, list: &MemberList, now: Instant) {
        self.hosts.values_mut().for_each(|h| h.listed = Listed::default());
        for host in &list.hosts {
            let key = self.key_or_insert(&host.host, now);
            self.hosts[key].listed.current = true;
        }
        for host in &list.previous {
            let key = self.key_or_insert(&host.host, now);
            self.hosts[key].listed.previous = true;
        }
        self.list_sizes = ListCounts::default();
        self.hosts.values().for_each(|h| self.list_sizes.add(h.listed));
    }

    fn key_or_insert(&mut self, name: &str, now: Instant) -> HostKey {
        if let Some(key) = self.names.get(name) {
            return *key;
        }
        let key = self.hosts.insert(Host::new(name, self.slots.allocate(), now));
        self.names.insert(name.into(), key);
        key
    }

    /// Removes the unlisted hosts, except those on which a vote still binds this
    /// voter.
    fn remove_unlisted(&mut self, now: Instant) {
        let Membership { hosts, slots, names, local, .. } = self;
        let mut removed = HostSet::default();
        hosts.retain(|key, host| {
            let keep = key == *local || host.listed.any() || host.vote.is_binding(now);
            if !keep {
                names.remove(&host.name);
                slots.free(host.slot);
                removed.insert(host.slot);
            }
            keep
        });
        if !removed.is_empty() {
            hosts.values_mut().for_each(|h| h.voter.remove_hosts(&removed));
        }
    }
}

impl Host {
    fn new(name: &str, slot: usize, now: Instant) -> Host {
        Host {
            name: name.into(),
            listed: Listed::default(),
            vote: HostVote::new(now),
            voter: VoterState::default(),
            denied_since: None,
            slot,
            next_denied: HostKey::default(),
        }
    }
}
