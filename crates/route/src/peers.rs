//! Hosts of the deployment and the choice of the upstream for registry updates.
//!
//! Hosts are ranked. The first one reads the registry; every other host gets
//! updates from its upstream, the best-ranked host ahead of it that answers with
//! fresh data. A host without an upstream reads the registry itself.

use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::message;
use chervil_base::value;
use rustc_hash::FxHasher;

/// Number of best-ranked hosts that a host tries as upstream before it reads the
/// registry itself.
const MAX_UPSTREAMS: usize = 5;

/// Time for which a host whose entry lapsed still counts as a host of the
/// deployment, since entries also lapse while the registry is unavailable.
const LAPSED_RETENTION: Duration = Duration::from_secs(30);

message! {
    /// What a host announces about itself.
    #[derive(Copy)]
    pub struct Peer {
        /// Address at which it answers other hosts.
        pub address: SocketAddr,
        /// CPU limit in thousandths of a reference core.
        #[serde(rename = "power")]
        pub cpu_millicores: u32,
        /// Id of the lease that holds its registry entry; 0 in the peer that the
        /// host itself announces.
        #[serde(default)]
        pub lease: u64,
    }
}

value! {
    /// Hosts of the deployment as seen by one of them.
    pub struct PeerTable {
        own_name: Box<str>,
        hosts: HashMap<Box<str>, PeerState>,
    }

    #[derive(Copy)]
    struct PeerState {
        peer: Peer,
        lapsed_at: Option<Instant>,
        avoided_until: Option<Instant>,
    }
}

impl PeerTable {
    /// An empty table of the host with the name `own_name`.
    pub fn new(own_name: Box<str>) -> PeerTable {
        PeerTable { own_name, hosts: HashMap::default() }
    }

    /// Adds or updates a host whose entry is listed in the registry.
    pub fn insert(&mut self, host: Box<str>, peer: Peer) {
        let avoided_until = self.hosts.get(&host).and_then(|s| s.avoided_until);
        self.hosts.insert(host, PeerState { peer, lapsed_at: None, avoided_until });
    }

    /// Marks the registry entry of a host as lapsed.
    pub fn mark_lapsed(&mut self, host: &str, now: Instant) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.lapsed_at.get_or_insert(now);
        }
    }

    /// Marks all entries as lapsed. Called before the hosts of a full registry
    /// listing are inserted, so that those missing from it stay lapsed.
    pub fn mark_all_lapsed(&mut self, now: Instant) {
        for state in self.hosts.values_mut() {
            state.lapsed_at.get_or_insert(now);
        }
    }

    /// Removes hosts whose entries lapsed longer ago than the retention time.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_kept = |lapsed_at| now.duration_since(lapsed_at) < LAPSED_RETENTION;
        self.hosts.retain(|_, s| s.lapsed_at.is_none_or(is_kept));
    }

    /// Lease that holds the entry of this host. None if the entry is not listed
    /// or differs from `peer`.
    pub fn own_lease(&self, peer: Peer) -> Option<u64> {
        let own = self.hosts.get(&self.own_name).filter(|s| s.lapsed_at.is_none())?;
        let lease = own.peer.lease;
        (lease != 0 && own.peer == Peer { lease, ..peer }).then_some(lease)
    }

    /// Number of hosts, including those that lapsed recently.
    pub fn count(&self) -> u32 {
        self.hosts.len() as u32
    }

    /// Hosts whose entries have not lapsed.
    pub fn listed(&self) -> impl Iterator<Item = (&str, Peer)> {
        let listed = self.hosts.iter().filter(|(_, s)| s.lapsed_at.is_none());
        listed.map(|(host, s)| (&**host, s.peer))
    }

    /// The host to ask for updates. None if this host must read the registry
    /// itself.
    pub fn upstream(&self, now: Instant) -> Option<(&str, Peer)> {
        let own_rank = self.hosts.get(&self.own_name).map(|s| rank(&self.own_name, s));
        let mut ahead: Vec<(&str, &PeerState)> = Vec::new();
        for (host, state) in &self.hosts {
            let is_ahead = own_rank.is_none_or(|own| rank(host, state) < own);
            if **host != *self.own_name && is_ahead {
                ahead.push((host, state));
            }
        }
        ahead.sort_unstable_by_key(|(host, state)| rank(host, state));
        ahead.truncate(MAX_UPSTREAMS);
        let usable = |s: &PeerState| s.avoided_until.is_none_or(|a| a <= now);
        ahead.into_iter().find(|(_, s)| usable(s)).map(|(host, s)| (host, s.peer))
    }

    /// Does not offer a host as upstream until the given time.
    pub fn avoid(&mut self, host: &str, until: Instant) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.avoided_until = Some(until);
        }
    }

    /// Whether this host may be the upstream of others: at most `MAX_UPSTREAMS`
    /// hosts rank ahead of it, or its own entry is not known yet.
    pub fn is_upstream(&self) -> bool {
        let Some(own) = self.hosts.get(&self.own_name).map(|s| rank(&self.own_name, s)) else {
            return true;
        };
        let ahead = self.hosts.iter().filter(|(host, s)| rank(host, s) < own);
        ahead.count() <= MAX_UPSTREAMS
    }
}

/// Sort key: hosts with more CPU come first, and the hash orders those with equal
/// CPU.
fn rank(host: &str, state: &PeerState) -> (u32, u64) {
    let mut hasher = FxHasher::default();
    host.hash(&mut hasher);
    (u32::MAX - state.peer.cpu_millicores, hasher.finish())
}
