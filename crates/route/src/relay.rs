//! Choice of a relay for a scatter-gather query, choice of a helper for a host that has lost
//! its links to the backend servers, and division of shared limits between relays and the
//! other hosts.
//!
//! Load pattern of relays: hundreds of small hosts, each of which gets a query every few seconds
//! that fans out to tens of shards. A small host takes longer to send the sub-requests
//! than the backend servers take to answer them, has no open connections to most of
//! them, and learns too seldom which of them are slow. A few larger hosts that gather
//! the queries of all others have warm connections and recent observations.
//!
//! Load pattern of helpers: some hosts, or most, are cut off from all backend servers at the
//! same time. A host does not know which, so it finds out by offers, and keeps to several
//! that have accepted one, among which its requests are spread.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::value;
use rand::RngExt as _;
use rand::rngs::SmallRng;
use rand::seq::IndexedRandom as _;

use crate::config::Gather;
use crate::fleet::Fleet;
use crate::peers::FORMAT;
use crate::peers::Peer;
use crate::peers::PeerTable;

/// Relays have more than this fraction of the CPU of the largest host, and the hosts
/// that use them have at most this fraction.
const RELAY_CPU_RATIO: f64 = 0.5;

/// Smallest number of relays. With fewer, the loss of one would shift too much load to
/// the others.
const MIN_RELAYS: usize = 4;

/// Share of the limits for shards that relays divide among themselves. The other hosts
/// divide the rest; they need it when no relay answers.
const RELAY_LIMIT_SHARE: f64 = 0.5;

/// Helpers that a host knows before it offers its requests only to those.
const MIN_HELPERS: usize = 4;

/// Time after its last accepted offer for which a host counts as a helper.
const HELPER_RETENTION: Duration = Duration::from_secs(5);

/// Number of shards that are looked at to find the zones that hold a query's shards.
const SAMPLED_SHARDS: usize = 8;

value! {
    /// What a host does with scatter-gather queries.
    #[derive(Copy, Eq)]
    pub enum Role {
        /// All hosts gather the queries of their callers.
        Single,
        /// Gathers the queries of its callers and those of other hosts.
        Relay,
        /// Passes the queries of its callers to a relay.
        Entry,
    }

    /// How limits that hold for all hosts together are divided.
    #[derive(Copy)]
    pub struct Division {
        /// Role of this host.
        pub role: Role,
        /// Number of relays.
        pub relays: u32,
        /// Number of hosts.
        pub hosts: u32,
    }

    /// Where a host stands.
    pub struct Location {
        /// Availability zone.
        pub zone: Box<str>,
        /// Zones of the same region. A query may hold data that must not leave it.
        pub region_zones: HashSet<Box<str>>,
    }

    /// The host to which a query is passed.
    pub struct Relay {
        /// Name of the host.
        pub host: Box<str>,
        /// Its address for other hosts.
        pub address: SocketAddr,
    }

    /// Hosts that do not accept offers, and those that did.
    #[derive(Default)]
    pub struct RelayHealth {
        avoided_until: HashMap<Box<str>, Instant>,
        /// Hosts that accepted an offer, and when.
        accepted_at: HashMap<Box<str>, Instant>,
    }
}

impl Location {
    fn may_use(&self, zone: &str) -> bool {
        *self.zone == *zone || self.region_zones.contains(zone)
    }
}

impl Division {
    /// Division among hosts of which none is a relay.
    pub fn equal(hosts: u32) -> Division {
        Division { role: Role::Single, relays: 0, hosts: hosts.max(1) }
    }

    /// Division among the hosts that `peers` lists, `hosts` in all.
    pub fn new(peers: &PeerTable, hosts: u32) -> Division {
        let relays = relay_count(peers);
        if relays < MIN_RELAYS || 2 * relays > hosts as usize {
            return Division::equal(hosts);
        }
        let is_relay = f64::from(peers.own_cpu()) > relay_threshold(peers);
        let role = if is_relay { Role::Relay } else { Role::Entry };
        Division { role, relays: relays as u32, hosts }
    }

    /// Part of a limit on requests or connections to a shard that this host may use, as
    /// a fraction of the limit.
    pub fn shard_share(&self) -> f64 {
        match self.role {
            Role::Single => 1.0 / f64::from(self.hosts),
            Role::Relay => RELAY_LIMIT_SHARE / f64::from(self.relays),
            Role::Entry => (1.0 - RELAY_LIMIT_SHARE) / f64::from(self.hosts),
        }
    }

    /// Part of the limit that a backend server which holds a shard names. Relays gather
    /// nearly all queries. The share of another host would be a request in minutes.
    pub fn server_limit_share(&self) -> f64 {
        match self.role {
            Role::Single => self.equal_share(),
            Role::Relay => 1.0 / f64::from(self.relays),
            Role::Entry => 0.0,
        }
    }

    /// Part of any other limit that this host may use, as a fraction of the limit.
    pub fn equal_share(&self) -> f64 {
        1.0 / f64::from(self.hosts)
    }
}

impl RelayHealth {
    /// Does not offer a host as relay until the given time.
    pub fn avoid(&mut self, host: &str, until: Instant, now: Instant) {
        self.avoided_until.retain(|_, until| *until > now);
        self.avoided_until.insert(host.into(), until);
        self.accepted_at.remove(host);
    }

    /// Records that a host accepted an offer.
    pub fn record_accepted(&mut self, host: &str, now: Instant) {
        self.accepted_at.retain(|_, at| now.duration_since(*at) < HELPER_RETENTION);
        self.accepted_at.insert(host.into(), now);
    }

    /// Chooses a host of the region for a request that this host cannot send to any backend
    /// server: at random among those that accepted an offer recently, if they are several,
    /// else among all that are not avoided. Queries go to relays while one is usable. Hosts of
    /// an older version come last: some of them count a passed request once more. `min_format`
    /// is the first version that can execute the request.
    pub fn choose_helper(
        &self,
        peers: &PeerTable,
        location: &Location,
        is_query: bool,
        min_format: u32,
        rng: &mut SmallRng,
        now: Instant,
    ) -> Option<Relay> {
        let usable: Vec<(&str, &Peer)> = peers
            .ranked()
            .filter(|(host, p)| location.may_use(&p.zone) && self.is_usable(host, now))
            .filter(|(_, p)| p.format >= min_format)
            .collect();
        let is_current = |(_, p): &(&str, &Peer)| p.format >= FORMAT;
        let current: Vec<(&str, &Peer)> = usable.iter().copied().filter(is_current).collect();
        let usable = if current.is_empty() { usable } else { current };
        let threshold = relay_threshold(peers);
        let relays = usable.iter().filter(|(_, p)| f64::from(p.cpu_millicores) > threshold);
        let relays: Vec<(&str, &Peer)> =
            if is_query { relays.copied().collect() } else { Vec::new() };
        let candidates = if relays.is_empty() { usable } else { relays };
        let is_helper = |host: &str| {
            let accepted_at = self.accepted_at.get(host);
            accepted_at.is_some_and(|at| now.duration_since(*at) < HELPER_RETENTION)
        };
        let helpers: Vec<(&str, &Peer)> =
            candidates.iter().filter(|(host, _)| is_helper(host)).copied().collect();
        let chosen = if helpers.len() < MIN_HELPERS { &candidates } else { &helpers };
        let (host, peer) = chosen.choose(rng)?;
        Some(Relay { host: (*host).into(), address: peer.address })
    }

    fn is_usable(&self, host: &str, now: Instant) -> bool {
        self.avoided_until.get(host).is_none_or(|until| *until <= now)
    }

    /// Chooses a relay for a query: one in the host's own zone if that zone holds as
    /// many shards of the query as any other, else one in a random zone of the region that
    /// does. None if all relays are avoided.
    pub fn choose(
        &self,
        peers: &PeerTable,
        fleet: &Fleet,
        gather: &Gather,
        location: &Location,
        rng: &mut SmallRng,
        now: Instant,
    ) -> Option<Relay> {
        let threshold = relay_threshold(peers);
        let relays = peers.ranked().take_while(|(_, p)| f64::from(p.cpu_millicores) > threshold);
        let usable: Vec<(&str, &Peer)> = relays
            .filter(|(host, p)| location.may_use(&p.zone) && self.is_usable(host, now))
            .collect();
        let coverage = zone_coverage(fleet, gather);
        let shards_in = |zone: &str| coverage.get(zone).copied().unwrap_or_default();
        let most = usable.iter().map(|(_, p)| shards_in(&p.zone)).max()?;
        let mut best: Vec<&(&str, &Peer)> =
            usable.iter().filter(|(_, p)| shards_in(&p.zone) == most).collect();
        if best.iter().any(|(_, p)| p.zone == location.zone) {
            best.retain(|(_, p)| p.zone == location.zone);
        }
        let (host, peer) = best[rng.random_range(0..best.len())];
        Some(Relay { host: (*host).into(), address: peer.address })
    }
}

/// CPU limit above which a host is a relay, in thousandths of a reference core.
fn relay_threshold(peers: &PeerTable) -> f64 {
    f64::from(peers.max_cpu()) * RELAY_CPU_RATIO
}

fn relay_count(peers: &PeerTable) -> usize {
    let threshold = relay_threshold(peers);
    let others = peers.ranked().take_while(|(_, p)| f64::from(p.cpu_millicores) > threshold);
    others.count() + usize::from(f64::from(peers.own_cpu()) > threshold)
}

/// Number of shards of a query with an eligible backend server, by zone, among the
/// shards that are looked at.
fn zone_coverage<'a>(fleet: &'a Fleet, gather: &Gather) -> HashMap<&'a str, usize> {
    let step = gather.shards.len().div_ceil(SAMPLED_SHARDS).max(1);
    let mut coverage: HashMap<&str, usize> = HashMap::default();
    for service in gather.shards.iter().step_by(step) {
        let mut zones: Vec<&str> = fleet.eligible_zones(service).collect();
        zones.sort_unstable();
        zones.dedup();
        for zone in zones {
            *coverage.entry(zone).or_default() += 1;
        }
    }
    coverage
}
