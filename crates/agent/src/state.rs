//! State of the agent and the decisions based on it. Nothing here performs I/O
//! or reads a clock.

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
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::StateDelta;

use crate::view::ViewState;

mod roles;

/// Largest staleness at which a host without a quorum lease accepts new work.
const MAX_STALENESS: Duration = Duration::from_secs(3);

/// A gate that has not requested its lease for this long is considered dead.
const GATE_TIMEOUT: Duration = Duration::from_secs(1);

/// A gate that requests its lease this long after a release is a new process.
const RENEW_AFTER: Duration = Duration::from_secs(2);

/// Most agents from the platform's host list that a host contacts while it is not
/// in the member list.
const MAX_DISCOVERED: usize = 16;

/// State of a peer, except for the votes.
#[derive(Clone, Debug)]
struct Peer {
    /// When the latest heartbeat that the peer replied to was sent.
    last_reply: Option<Instant>,
    leaving: bool,

    /// Entry that the peer last asked to add to the member list, and when.
    join: Option<(MemberHost, Instant)>,
}

/// Agent of a peer that holds newer state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PullSource {
    pub(crate) address: SocketAddr,
}

/// State of the agent.
pub(crate) struct State {
    me: MemberHost,

    /// Agents from the settings, contacted until this host is a member.
    bootstrap: Vec<SocketAddr>,
    /// Agents from the platform's host list, contacted until this host is a
    /// member.
    discovered: Vec<SocketAddr>,
    pub(crate) membership: Membership,
    pub(crate) canary_permits: CanaryPermits,
    config: ConfigReplica,
    catalog: Arc<CatalogSpec>,
    members: Arc<MemberList>,
    /// Whether the member list contains this host with its current addresses.
    listed: bool,
    /// Start of the latest successful read of the configuration's head from the
    /// store by any host.
    last_head_read: Option<Instant>,
    peers: HashMap<Box<str>, Peer>,
    /// When the gate last requested its lease.
    last_lease_request: Option<Instant>,
    /// When the gate released the host's groups; `None` before a release and
    /// again once a new gate has requested its lease.
    released_at: Option<Instant>,
    leaving: bool,
    started_at: Instant,

    /// Sequence number of the latest view.
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
            canary_permits: CanaryPermits::new(chervil_canary::DEFAULT_CAPACITY),
            me,
            bootstrap,
            discovered: Vec::new(),
            config: ConfigReplica::new(),
            catalog: Arc::default(),
            members: Arc::default(),
            listed: false,
            last_head_read: None,
            peers: HashMap::default(),
            last_lease_request: None,
            released_at: None,
            leaving: false,
            started_at: now,
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

    /// Heartbeat to send at `now`.
    pub(crate) fn heartbeat(&self, now: Instant) -> Heartbeat {
        Heartbeat {
            host: self.me.host.clone(),
            incarnation: self.membership.incarnation(),
            epoch: self.membership.epoch(),
            revision: self.revision(),
            staleness_ms: self.staleness(now).map(|age| age.as_millis() as u64 + 1),
            leaving: self.leaving,
            released: self.released_at.is_some(),
            serving: self.is_serving(now),
            join: (!self.listed && !self.leaving).then(|| self.me.clone()),
        }
    }

    /// Agents to send heartbeats to.
    pub(crate) fn targets(&self) -> Vec<SocketAddr> {
        let list = self.membership.list();
        let listed = list.hosts.iter().chain(&list.previous);
        let listed = listed.filter(|h| h.host != self.me.host).map(|h| h.agent);
        let mut targets: Vec<SocketAddr> = listed.collect();
        if !self.membership.is_member() {
            let others = self.bootstrap.iter().chain(&self.discovered);
            targets.extend(others.filter(|a| **a != self.me.agent));
        }
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Sets the agents to contact from the platform's host list: those that
    /// follow this host's own address in sorted order, so that many hosts that
    /// start at once contact different agents.
    pub(crate) fn set_discovered(&mut self, mut agents: Vec<SocketAddr>) {
        agents.sort_unstable();
        let own = agents.partition_point(|a| *a <= self.me.agent);
        agents.rotate_left(own);
        agents.truncate(MAX_DISCOVERED);
        self.discovered = agents;
    }

    /// Handles a heartbeat; returns the reply, and the sender if it holds newer
    /// state.
    pub(crate) fn on_heartbeat(
        &mut self,
        heartbeat: &Heartbeat,
        now: Instant,
    ) -> (HeartbeatReply, Option<PullSource>) {
        let ballot = self.membership.on_heartbeat(heartbeat, now);
        let source = self.pull_source(heartbeat);
        let peer = self.peer_mut(&heartbeat.host);
        peer.leaving = heartbeat.leaving;
        peer.join = heartbeat.join.clone().map(|host| (host, now));
        let state = self.heartbeat(now);
        let reply = HeartbeatReply { vote: ballot.vote, state, denials: ballot.denials };
        (reply, source)
    }

    /// Handles the reply to a heartbeat that was sent at `sent`; returns the peer
    /// if it holds newer state.
    pub(crate) fn on_reply(
        &mut self,
        address: SocketAddr,
        sent: Instant,
        reply: &HeartbeatReply,
        now: Instant,
    ) -> Option<PullSource> {
        self.membership.on_reply(sent, reply, now);
        // Counted from the send time of the heartbeat, so that delays in the
        // network can make the state look staler but never fresher.
        if let Some(age) = reply.state.staleness_ms {
            let at = sent.checked_sub(Duration::from_millis(age));
            self.last_head_read = self.last_head_read.max(at);
        }
        let peer = self.peer_mut(&reply.state.host);
        peer.last_reply = peer.last_reply.max(Some(sent));
        peer.leaving = reply.state.leaving;
        let newer = self.is_newer(&reply.state);
        newer.then_some(PullSource { address })
    }

    /// Records that the configuration's head was read from the store by a call
    /// that began at `at`.
    pub(crate) fn record_head_read(&mut self, at: Instant) {
        self.last_head_read = self.last_head_read.max(Some(at));
    }

    /// Applies those parts of a delta that are newer; returns whether the
    /// configuration changed.
    pub(crate) fn apply_delta(
        &mut self,
        delta: &StateDelta,
        now: Instant,
    ) -> Result<bool, Box<str>> {
        if let Some(list) = &delta.members {
            self.adopt_list(list, now);
        }
        let changed = self.config.apply(delta).map_err(|e| e.to_string())?;
        if changed {
            self.catalog = Arc::new(self.config.effective_catalog());
        }
        Ok(changed)
    }

    /// Adopts a member list if its epoch is later; returns whether it did.
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

    /// Delta for a peer that holds `revision` and the member list of `epoch`.
    pub(crate) fn delta_since(&self, revision: u64, epoch: u64) -> StateDelta {
        let members = (self.members.epoch > epoch).then(|| (*self.members).clone());
        StateDelta { members, ..self.config.delta_since(revision) }
    }

    /// Handles a lease request of the gate. When it comes from a new gate after
    /// a release, the host asks for votes again as `incarnation`.
    pub(crate) fn lease(&mut self, incarnation: u64, now: Instant) -> QuorumLease {
        let new_gate = self.released_at.is_some_and(|at| now >= at + RENEW_AFTER);
        if new_gate && !self.leaving {
            self.released_at = None;
            self.membership.reacquire(incarnation, now);
        }
        if self.released_at.is_none() {
            self.last_lease_request = Some(now);
        }
        self.membership.lease(now)
    }

    /// Records that the gate has no work in progress and will start none.
    pub(crate) fn release(&mut self, now: Instant) {
        self.released_at.get_or_insert(now);
        self.membership.release();
    }

    /// Begins a planned shutdown.
    pub(crate) fn begin_shutdown(&mut self) {
        self.leaving = true;
    }

    /// Whether a shutdown must wait for the gate: it is alive and has not
    /// released the host's groups.
    pub(crate) fn awaits_gate_release(&self, now: Instant) -> bool {
        self.released_at.is_none() && self.is_serving(now)
    }

    /// Whether new work may be accepted.
    ///
    /// A host that is not in the member list does not know which gates to ask.
    /// A host that does not vote yet must not be ready, or a rolling restart
    /// would continue: once the next host stops too, there may be no majority.
    pub(crate) fn is_ready(&self, now: Instant) -> bool {
        let is_fresh = self.staleness(now).is_some_and(|age| age <= MAX_STALENESS);
        let informed = self.revision() > 0 && self.membership.is_voter(now);
        !self.leaving && informed && (is_fresh || self.membership.holds_lease(now))
    }

    /// Time since any host last read the configuration's head from the store;
    /// `None` without a known read.
    pub(crate) fn staleness(&self, now: Instant) -> Option<Duration> {
        self.last_head_read.map(|at| now.saturating_duration_since(at))
    }

    /// State of this host, for operators.
    pub(crate) fn status(&self, store_up: bool, store_calls: u64, now: Instant) -> HostStatus {
        HostStatus {
            host: self.me.host.clone(),
            revision: self.revision(),
            epoch: self.members.epoch,
            ready: self.is_ready(now),
            staleness_ms: self.staleness(now).map(|age| age.as_millis() as u64),
            store_up,
            store_calls,
        }
    }

    /// Time since the start of this process.
    fn uptime(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started_at)
    }

    /// Next state of the views for the entry and the gate; `None` when nothing
    /// has changed since `last`.
    pub(crate) fn next_view_state(&mut self, last: &ViewState, now: Instant) -> Option<ViewState> {
        let hosts = self.members.hosts.iter().map(|h| self.member(h, now)).collect();
        let view_state = ViewState {
            sequence: self.sequence + 1,
            host: self.me.host.clone(),
            members: self.members.clone(),
            hosts,
            catalog: self.catalog.clone(),
            ready: self.is_ready(now),
        };
        if last.sequence > 0 && view_state.same_content(last) {
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

    /// Whether the gate is alive and has not released the host's groups.
    fn is_serving(&self, now: Instant) -> bool {
        self.released_at.is_none()
            && self.last_lease_request.is_some_and(|at| now < at + GATE_TIMEOUT)
    }

    /// Sender of a heartbeat, if it holds newer state and its address is known.
    fn pull_source(&self, heartbeat: &Heartbeat) -> Option<PullSource> {
        if !self.is_newer(heartbeat) {
            return None;
        }
        let listed = self.members.hosts.iter().find(|h| h.host == heartbeat.host);
        let host = heartbeat.join.as_ref().or(listed)?;
        Some(PullSource { address: host.agent })
    }

    fn is_newer(&self, state: &Heartbeat) -> bool {
        state.revision > self.revision() || state.epoch > self.members.epoch
    }

    fn peer_mut(&mut self, host: &str) -> &mut Peer {
        let entry = self.peers.entry(host.into());
        entry.or_insert(Peer { last_reply: None, leaving: false, join: None })
    }
}
