//! Hosts of the deployment and the choice of the upstream for registry updates.
//!
//! Load pattern: hundreds to thousands of hosts that all need every registry
//! update within seconds, on links that carry a few megabits per second.
//!
//! Hosts are ranked, and the ranks form a tree in which each host sends updates to
//! [`FAN_OUT`] others. The first host reads the registry; every other host gets
//! updates from its parent. If the parent does not answer with fresh data, another
//! host that has children takes its place, then one of the first hosts in rank, and
//! finally the registry itself. An upstream always ranks ahead of the hosts that it
//! serves, so that no cycle can form while hosts disagree on the list.

use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::message;
use chervil_base::value;
use rustc_hash::FxHasher;

/// Number of hosts that one host sends updates to: three levels below the first
/// host then reach 4,368 hosts.
pub const FAN_OUT: usize = 16;

/// Number of best-ranked hosts that a host tries when neither its parent nor the
/// parent's substitute answers.
const FALLBACK_UPSTREAMS: usize = 5;

/// Most hosts that one host serves, when it takes the place of others.
const MAX_FOLLOWERS: usize = 4 * FAN_OUT;

/// Time after its last request for which a host counts as a follower: a few of its
/// polls.
const FOLLOWER_RETENTION: Duration = Duration::from_secs(5);

/// Time for which a host whose entry lapsed still counts as a host of the
/// deployment, since entries also lapse while the registry is unavailable.
const LAPSED_RETENTION: Duration = Duration::from_secs(30);

/// Version of what hosts say to each other. It grows when there is something that hosts of the
/// version before cannot read.
///
/// | version | new |
/// |---|---|
/// | 0 | hosts that state none |
/// | 1 | events of unknown kinds are skipped; a host that executes a passed request again does not earn by it |
/// | 2 | a passed request and the outcome of a host that gives it back state its executions |
/// | 3 | reports state requests that nobody waits for and that servers may be executing |
pub const FORMAT: u32 = 3;

/// First version that heeds the executions of a passed request.
pub const FORMAT_WITH_EXECUTIONS: u32 = 2;

/// First version that takes over the watch of requests nobody waits for.
pub const FORMAT_WITH_WATCHES: u32 = 3;

/// Position of a host in the ranking; lower is better.
type Rank = (u32, u64);

message! {
    /// What a host announces about itself.
    pub struct Peer {
        /// Address at which it answers other hosts.
        pub address: SocketAddr,
        /// CPU limit in thousandths of a reference core.
        #[serde(rename = "power")]
        pub cpu_millicores: u32,
        /// Availability zone; empty if the host does not state it.
        #[serde(default)]
        pub zone: Box<str>,
        /// Id of the lease that holds its registry entry; 0 in the peer that the
        /// host itself announces.
        #[serde(default)]
        pub lease: u64,
        /// Version of what it says to other hosts; see [`FORMAT`].
        #[serde(default)]
        pub format: u32,
    }
}

value! {
    /// Hosts of the deployment as seen by one of them.
    pub struct PeerTable {
        own_name: Box<str>,
        own_rank: Rank,
        hosts: HashMap<Box<str>, PeerState>,
        /// All hosts but this one, best rank first.
        ranking: Vec<(Rank, Box<str>)>,
    }

    /// The host from which updates come.
    pub struct Upstream {
        /// Name of the host.
        pub host: Box<str>,
        /// Its address for other hosts.
        pub address: SocketAddr,
        /// Number of hosts between it and the registry.
        pub depth: u32,
    }

    /// Hosts that poll this one for updates.
    #[derive(Default)]
    pub struct Followers {
        last_poll: HashMap<Box<str>, Instant>,
    }

    struct PeerState {
        peer: Peer,
        lapsed_at: Option<Instant>,
        avoided_until: Option<Instant>,
    }
}

impl PeerTable {
    /// An empty table of the host with this name and CPU limit.
    pub fn new(own_name: Box<str>, cpu_millicores: u32) -> PeerTable {
        let own_rank = rank(&own_name, cpu_millicores);
        PeerTable { own_name, own_rank, hosts: HashMap::default(), ranking: Vec::new() }
    }

    /// Adds or updates a host whose entry is listed in the registry.
    pub fn insert(&mut self, host: Box<str>, peer: Peer) {
        let old = self.hosts.get(&host);
        let avoided_until = old.and_then(|s| s.avoided_until);
        if old.is_none_or(|o| o.peer.cpu_millicores != peer.cpu_millicores) {
            self.remove_from_ranking(&host);
            self.add_to_ranking(&host, peer.cpu_millicores);
        }
        self.hosts.insert(host, PeerState { peer, lapsed_at: None, avoided_until });
    }

    fn add_to_ranking(&mut self, host: &str, cpu_millicores: u32) {
        if host == &*self.own_name {
            return;
        }
        let entry = (rank(host, cpu_millicores), Box::from(host));
        let position = self.ranking.partition_point(|r| *r < entry);
        self.ranking.insert(position, entry);
    }

    fn remove_from_ranking(&mut self, host: &str) {
        let Some(state) = self.hosts.get(host) else { return };
        let entry = (rank(host, state.peer.cpu_millicores), Box::from(host));
        if let Ok(position) = self.ranking.binary_search(&entry) {
            self.ranking.remove(position);
        }
    }

    /// Marks the registry entry of a host as lapsed.
    pub fn mark_lapsed(&mut self, host: &str, now: Instant) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.lapsed_at.get_or_insert(now);
        }
    }

    /// Removes hosts whose entries lapsed longer ago than the retention time.
    pub fn remove_expired(&mut self, now: Instant) {
        let is_kept = |lapsed_at| now.duration_since(lapsed_at) < LAPSED_RETENTION;
        let before = self.hosts.len();
        self.hosts.retain(|_, s| s.lapsed_at.is_none_or(is_kept));
        if self.hosts.len() < before {
            self.ranking.retain(|(_, host)| self.hosts.contains_key(host));
        }
    }

    /// Lease that holds the entry of this host. None if the entry is not listed
    /// or differs from `peer`.
    pub fn own_lease(&self, peer: &Peer) -> Option<u64> {
        let own = self.hosts.get(&self.own_name).filter(|s| s.lapsed_at.is_none())?;
        let lease = own.peer.lease;
        (lease != 0 && own.peer == Peer { lease, ..peer.clone() }).then_some(lease)
    }

    /// Number of hosts, including those that lapsed recently.
    pub fn count(&self) -> u32 {
        self.hosts.len() as u32
    }

    /// Hosts whose entries have not lapsed.
    pub fn listed(&self) -> impl Iterator<Item = (&str, &Peer)> {
        let listed = self.hosts.iter().filter(|(_, s)| s.lapsed_at.is_none());
        listed.map(|(host, s)| (&**host, &s.peer))
    }

    /// Whether the entry of a host is listed with exactly this content.
    pub fn is_listed(&self, host: &str, peer: &Peer) -> bool {
        self.hosts.get(host).is_some_and(|s| s.lapsed_at.is_none() && s.peer == *peer)
    }

    /// All hosts but this one that have not lapsed, best rank first.
    pub fn ranked(&self) -> impl Iterator<Item = (&str, &Peer)> {
        self.ranking.iter().filter_map(|(_, host)| {
            let state = self.hosts.get(host)?;
            state.lapsed_at.is_none().then_some((&**host, &state.peer))
        })
    }

    /// The host to ask for updates. None if this host must read the registry
    /// itself.
    pub fn upstream(&self, now: Instant) -> Option<Upstream> {
        let position = self.ranking.partition_point(|(rank, _)| *rank < self.own_rank);
        for candidate in candidates(position, self.ranking.len() + 1) {
            let (_, host) = self.ranking.get(candidate)?;
            let state = self.hosts.get(host)?;
            if state.avoided_until.is_none_or(|until| until <= now) {
                let (host, address) = (host.clone(), state.peer.address);
                return Some(Upstream { host, address, depth: depth(candidate) });
            }
        }
        None
    }

    /// CPU limit of this host, in thousandths of a reference core.
    pub fn own_cpu(&self) -> u32 {
        u32::MAX - self.own_rank.0
    }

    /// Highest CPU limit of any host, in thousandths of a reference core.
    pub fn max_cpu(&self) -> u32 {
        let first = self.ranking.first().map_or(0, |(rank, _)| u32::MAX - rank.0);
        first.max(self.own_cpu())
    }

    /// Does not offer a host as upstream until the given time.
    pub fn avoid(&mut self, host: &str, until: Instant) {
        if let Some(state) = self.hosts.get_mut(host) {
            state.avoided_until = Some(until);
        }
    }
}

impl Followers {
    /// Records a poll. Returns false if this host serves too many others already;
    /// the polling host must then choose another upstream.
    pub fn admit(&mut self, host: &str, now: Instant) -> bool {
        if let Some(last) = self.last_poll.get_mut(host) {
            *last = now;
            return true;
        }
        self.last_poll.retain(|_, last| now.duration_since(*last) < FOLLOWER_RETENTION);
        let admitted = self.last_poll.len() < MAX_FOLLOWERS;
        if admitted {
            self.last_poll.insert(host.into(), now);
        }
        admitted
    }

    /// Whether any host has polled recently.
    pub fn is_empty(&self, now: Instant) -> bool {
        !self.last_poll.values().any(|last| now.duration_since(*last) < FOLLOWER_RETENTION)
    }
}

/// Sort key: hosts with more CPU come first, and the hash orders those with equal
/// CPU.
fn rank(host: &str, cpu_millicores: u32) -> Rank {
    let mut hasher = FxHasher::default();
    host.hash(&mut hasher);
    (u32::MAX - cpu_millicores, hasher.finish())
}

/// Number of hosts between the host at this position of the ranking and the
/// registry.
fn depth(position: usize) -> u32 {
    let mut position = position;
    let mut depth = 0;
    while position > 0 {
        position = (position - 1) / FAN_OUT;
        depth += 1;
    }
    depth
}

/// Positions to try as upstream of the host at `position` among `count` hosts, best
/// first.
fn candidates(position: usize, count: usize) -> Vec<usize> {
    if position == 0 {
        return Vec::new();
    }
    let parent = (position - 1) / FAN_OUT;
    // Hosts with children; the children of a lost one are spread over the others.
    let parents = count.saturating_sub(1).div_ceil(FAN_OUT).clamp(1, position);
    let substitute = (parent + 1 + (position - 1) % FAN_OUT) % parents;
    let mut positions = vec![parent];
    for other in std::iter::once(substitute).chain(0..FALLBACK_UPSTREAMS.min(position)) {
        if !positions.contains(&other) {
            positions.push(other);
        }
    }
    positions
}
