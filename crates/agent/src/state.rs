//! State of the agent and its decisions, without I/O.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::catalog::CatalogSpec;
use chervil_canary::CanaryPermits;
use chervil_config::ConfigReplica;
use chervil_members::membership::Membership;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::HostStatus;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::PullReply;
use chervil_rpc::agent::QuorumLease;

use crate::view::ViewState;

mod homes;

/// Oldest knowledge of the store with which a host that has no quorum lease
/// accepts new work.
const FRESH_LIMIT: Duration = Duration::from_secs(3);

/// A gate that has not asked for its lease for this long is taken for dead.
const GATE_LIMIT: Duration = Duration::from_secs(1);

/// A gate that asks for its lease this long after a release is a new process.
const RENEW_AFTER: Duration = Duration::from_secs(2);

/// Agents of the platform's host list that a host asks which is no member.
const MAX_LISTED: usize = 16;

/// What the agent knows of a peer besides its votes.
#[derive(Clone, Debug)]
struct Peer {
    answered: Option<Instant>,
    leaving: bool,
    join: Option<(MemberHost, Instant)>,
}

/// A peer that has something newer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Source {
    pub(crate) address: SocketAddr,
}

/// State of the agent.
pub(crate) struct State {
    me: MemberHost,
    bootstrap: Vec<SocketAddr>,
    /// Agents on the platform's host list, as long as this host is no member.
    platform: Vec<SocketAddr>,
    pub(crate) membership: Membership,
    pub(crate) suspects: CanaryPermits,
    config: ConfigReplica,
    catalog: Arc<CatalogSpec>,
    members: Arc<MemberList>,
    /// Whether the member list has this host with its present addresses.
    listed: bool,
    fresh: Option<Instant>,
    peers: HashMap<Box<str>, Peer>,
    gate_asked: Option<Instant>,
    released: Option<Instant>,
    leaving: bool,
    started: Instant,
    sequence: u64,
}

impl State {
    pub(crate) fn new(
        me: MemberHost,
        bootstrap: Vec<SocketAddr>,
        incarnation: u64,
        now: Instant,
    ) -> State {
        State {
            membership: Membership::new(&me.host, incarnation, now),
            suspects: CanaryPermits::new(chervil_canary::DEFAULT_CAPACITY),
            me,
            bootstrap,
            platform: Vec::new(),
            config: ConfigReplica::new(),
            catalog: Arc::default(),
            members: Arc::default(),
            listed: false,
            fresh: None,
            peers: HashMap::default(),
            gate_asked: None,
            released: None,
            leaving: false,
            started: now,
            sequence: 0,
        }
    }

    /// Revision of the configuration in force.
    pub(crate) fn revision(&self) -> u64 {
        self.config.revision()
    }

    /// Configuration in force; clones share their content.
    pub(crate) fn config(&self) -> ConfigReplica {
        self.config.clone()
    }

    /// Heartbeat to be sent now.
    pub(crate) fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            host: self.me.host.clone(),
            incarnation: self.membership.incarnation(),
            epoch: self.membership.epoch(),
            revision: self.revision(),
            fresh_ms: self.fresh_age(now).map(|age| age.as_millis() as u64 + 1),
            leaving: self.leaving,
            released: self.released.is_some(),
            serving: self.is_serving(now),
            join: (!self.listed && !self.leaving).then(|| self.me.clone()),
        }
    }

    /// Agents that get a heartbeat.
    pub(crate) fn targets(&self) -> Vec<SocketAddr> {
        let list = self.membership.list();
        let listed = list.hosts.iter().chain(&list.previous);
        let listed = listed.filter(|h| h.host != self.me.host).map(|h| h.agent);
        let mut targets: Vec<SocketAddr> = listed.collect();
        if !self.membership.is_member() {
            let others = self.bootstrap.iter().chain(&self.platform);
            targets.extend(others.filter(|a| **a != self.me.agent));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Takes agents from the platform's host list: the first ones after this
    /// host's own, so that many hosts that start at once ask different ones.
    pub(crate) fn set_listed(&mut self, mut agents: Vec<SocketAddr>) {
        agents.sort_unstable();
        let own = agents.partition_point(|a| *a <= self.me.agent);
        agents.rotate_left(own);
        agents.truncate(MAX_LISTED);
        self.platform = agents;
    }

    /// Answers a heartbeat.
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> (HeartbeatReply, Option<Source>) {
        let ballot = self.membership.on_heartbeat(heartbeat, now);
        let source = self.source(heartbeat);
        let peer = self.peer(&heartbeat.host);
        peer.leaving = heartbeat.leaving;
        peer.join = heartbeat.join.clone().map(|host| (host, now));
        let state = self.heartbeat(now);
        let reply = HeartbeatReply { vote: ballot.vote, state, denials: ballot.denials };
        (reply, source)
    }

    /// Takes note of the answer to a heartbeat that was sent at `sent`.
    pub(crate) fn on_reply(
        &mut self,
        address: SocketAddr,
        sent: Instant,
        reply: &HeartbeatReply,
        now: Instant,
    ) -> Option<Source> {
        self.membership.on_reply(sent, reply, now);
        // Counted from the send time, so that the age never shrinks on its way.
        if let Some(age) = reply.state.fresh_ms {
            let at = sent.checked_sub(Duration::from_millis(age));
            self.fresh = self.fresh.max(at);
        }
        let peer = self.peer(&reply.state.host);
        peer.answered = peer.answered.max(Some(sent));
        peer.leaving = reply.state.leaving;
        let newer = self.is_newer(&reply.state);
        newer.then_some(Source { address })
    }

    /// The configuration's head was read from the store by a call that began
    /// at `at`.
    pub(crate) fn set_fresh(&mut self, at: Instant) {
        self.fresh = self.fresh.max(Some(at));
    }

    /// Adopts what is newer; returns whether the configuration changed.
    pub(crate) fn adopt(&mut self, offer: &PullReply, now: Instant) -> Result<bool, Box<str>> {
        if let Some(list) = &offer.members {
            self.adopt_list(list, now);
        }
        let changed = self.config.apply(offer).map_err(|e| e.to_string())?;
        if changed {
            self.catalog = Arc::new(self.config.effective_catalog());
        }
        Ok(changed)
    }

    /// Adopts a member list of a later epoch.
    pub(crate) fn adopt_list(&mut self, list: &MemberList, now: Instant) -> bool {
        let changed = self.membership.adopt(list, now);
        if changed {
            self.members = Arc::new(list.clone());
            self.listed = list.hosts.contains(&self.me);
            let listed = |name: &str| list.hosts.iter().any(|h| &*h.host == name);
            self.peers.retain(|name, peer| listed(name) || peer.join.is_some());
        }
        changed
    }

    /// What a peer lacks.
    pub(crate) fn newer_than(&self, revision: u64, epoch: u64) -> PullReply {
        let members = (self.members.epoch > epoch).then(|| (*self.members).clone());
        PullReply { members, ..self.config.delta_since(revision) }
    }

    /// Right to send work, asked for by the gate.
    pub(crate) fn lease(&mut self, incarnation: u64, now: Instant) -> QuorumLease {
        let fresh_gate = self.released.is_some_and(|at| now >= at + RENEW_AFTER);
        if fresh_gate && !self.leaving {
            self.released = None;
            self.membership.reacquire(incarnation, now);
        }
        if self.released.is_none() {
            self.gate_asked = Some(now);
        }
        self.membership.lease(now)
    }

    /// The gate has no work left and will start none.
    pub(crate) fn release(&mut self, now: Instant) {
        self.released.get_or_insert(now);
        self.membership.release();
    }

    /// A planned shutdown begins.
    pub(crate) fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether the gate is alive, so that a shutdown waits for its release.
    pub(crate) fn awaits_gate(&self, now: Instant) -> bool {
        self.released.is_none() && self.is_serving(now)
    }

    /// Whether new work may be accepted.
    ///
    /// A host that is not in the member list does not know which gates to ask.
    /// A host that does not vote yet must not let a rolling restart go on: with
    /// the next host stopped too, there may be no majority.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let fresh = self.fresh_age(now).is_some_and(|age| age <= FRESH_LIMIT);
        let informed = self.revision() > 0 && self.membership.is_voter(now);
        !self.leaving && informed && (fresh || self.membership.holds_lease(now))
    }

    /// Age of the last successful read of the head by any host.
    pub(crate) fn fresh_age(&self, now: Instant) -> Option<Duration> {
        self.fresh.map(|at| now.saturating_duration_since(at))
    }

    /// State of this host, for operators.
    pub(crate) fn status(&self, store_up: bool, store_calls: u64, now: Instant) -> HostStatus {
        HostStatus {
            host: self.me.host.clone(),
            revision: self.revision(),
            epoch: self.members.epoch,
            ready: self.is_ready(now),
            fresh_ms: self.fresh_age(now).map(|age| age.as_millis() as u64),
            store_up,
            store_calls,
        }
    }

    /// Time since the start of this process.
    fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    /// What the entry and the gate see.
    pub(crate) fn view_state(&mut self, last: &ViewState, now: Instant) -> Option<ViewState> {
        let hosts = self.members.hosts.iter().map(|h| self.member(h, now)).collect();
        let view_state = ViewState {
            sequence: self.sequence + 1,
            host: self.me.host.clone(),
            members: self.members.clone(),
            hosts,
            catalog: self.catalog.clone(),
            ready: self.is_ready(now),
        };
        if last.sequence > 0 && view_state.same(last) {
            return None;
        }
        self.sequence += 1;
        Some(view_state)
    }

    fn member(&self, host: &MemberHost, now: Instant) -> Member {
        let own = host.host == self.me.host;
        let leaving = self.peers.get(&host.host).is_some_and(|p| p.leaving);
        Member {
            host: host.clone(),
            up: if own { self.is_serving(now) } else { self.membership.is_up(&host.host) },
            leaving: if own { self.leaving } else { leaving },
        }
    }

    fn is_serving(&self, now: Instant) -> bool {
        self.released.is_none() && self.gate_asked.is_some_and(|at| now < at + GATE_LIMIT)
    }

    fn source(&self, heartbeat: &Heartbeat) -> Option<Source> {
        if !self.is_newer(heartbeat) {
            return None;
        }
        let listed = self.members.hosts.iter().find(|h| h.host == heartbeat.host);
        let host = heartbeat.join.as_ref().or(listed)?;
        Some(Source { address: host.agent })
    }

    fn is_newer(&self, state: &Heartbeat) -> bool {
        state.revision > self.revision() || state.epoch > self.members.epoch
    }

    fn peer(&mut self, host: &str) -> &mut Peer {
        let entry = self.peers.entry(host.into());
        entry.or_insert(Peer { answered: None, leaving: false, join: None })
    }
}
