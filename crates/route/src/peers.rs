//! Which host reads the registry, and whom the others ask.
//!
//! Hosts are ranked; the first reads the registry, and each other host asks
//! the best host ahead of it that answers with fresh news. A host that finds
//! none reads the registry itself.

use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::message;
use chervil_base::value;
use rustc_hash::FxHasher;

/// Hosts ahead of it that a host asks before it reads the registry itself.
const LADDER: usize = 5;

/// Time for which a host that lapsed still counts, since entries lapse while
/// the registry is away.
const MEMORY: Duration = Duration::from_secs(30);

message! {
    /// What a host states of itself.
    #[derive(Copy)]
    pub struct Peer {
        /// Address at which it answers other hosts.
        pub address: SocketAddr,
        /// Thousandths of a core that it may use.
        #[serde(rename = "power")]
        pub cpu_millicores: u32,
        /// Lease under which its entry stands in the registry; 0 in what the
        /// host states itself.
        #[serde(default)]
        pub lease: u64,
    }
}

value! {
    /// Hosts of the deployment as one of them knows them.
    pub struct PeerTable {
        own: Box<str>,
        known: HashMap<Box<str>, Known>,
    }

    #[derive(Copy)]
    struct Known {
        peer: Peer,
        lapsed: Option<Instant>,
        avoided: Option<Instant>,
    }
}

impl PeerTable {
    /// Sources of the host `own`.
    pub fn new(own: Box<str>) -> PeerTable {
        PeerTable { own, known: HashMap::default() }
    }

    /// Takes in a host.
    pub fn insert(&mut self, host: Box<str>, peer: Peer) {
        let avoided = self.known.get(&host).and_then(|k| k.avoided);
        self.known.insert(host, Known { peer, lapsed: None, avoided });
    }

    /// Takes in that the entry of a host has lapsed.
    pub fn mark_lapsed(&mut self, host: &str, now: Instant) {
        if let Some(known) = self.known.get_mut(host) {
            known.lapsed.get_or_insert(now);
        }
    }

    /// Treats hosts that a full list lacks as lapsed.
    pub fn mark_all_lapsed(&mut self, now: Instant) {
        for known in self.known.values_mut() {
            known.lapsed.get_or_insert(now);
        }
    }

    /// Forgets hosts that lapsed long ago.
    pub fn remove_expired(&mut self, now: Instant) {
        self.known.retain(|_, k| k.lapsed.is_none_or(|l| now.duration_since(l) < MEMORY));
    }

    /// Lease under which the entry of this host stands, if it is in force and
    /// states the same as `peer`.
    pub fn own_lease(&self, peer: Peer) -> Option<u64> {
        let known = self.known.get(&self.own).filter(|k| k.lapsed.is_none())?;
        let lease = known.peer.lease;
        (lease != 0 && known.peer == Peer { lease, ..peer }).then_some(lease)
    }

    /// Number of hosts.
    pub fn count(&self) -> u32 {
        self.known.len() as u32
    }

    /// Hosts whose entries are in force.
    pub fn listed(&self) -> impl Iterator<Item = (&str, Peer)> {
        let listed = self.known.iter().filter(|(_, k)| k.lapsed.is_none());
        listed.map(|(host, k)| (&**host, k.peer))
    }

    /// The host to ask, or none where this host reads the registry itself.
    pub fn upstream(&self, now: Instant) -> Option<(&str, Peer)> {
        let own = self.known.get(&self.own).map(|k| rank(&self.own, k));
        let mut ahead: Vec<(&str, &Known)> = Vec::new();
        for (host, known) in &self.known {
            let is_ahead = own.is_none_or(|o| rank(host, known) < o);
            if **host != *self.own && is_ahead {
                ahead.push((host, known));
            }
        }
        ahead.sort_unstable_by_key(|(host, known)| rank(host, known));
        ahead.truncate(LADDER);
        let usable = |k: &Known| k.avoided.is_none_or(|a| a <= now);
        ahead.into_iter().find(|(_, k)| usable(k)).map(|(host, k)| (host, k.peer))
    }

    /// Asks a host no more until `until`.
    pub fn avoid(&mut self, host: &str, until: Instant) {
        if let Some(known) = self.known.get_mut(host) {
            known.avoided = Some(until);
        }
    }

    /// Whether this host is among those that others ask first.
    pub fn is_upstream(&self) -> bool {
        let Some(own) = self.known.get(&self.own).map(|k| rank(&self.own, k)) else {
            return true;
        };
        let ahead = self.known.iter().filter(|(host, k)| rank(host, k) < own);
        ahead.count() <= LADDER
    }
}

/// Hosts with more power come first; the hash spreads the rest.
fn rank(host: &str, known: &Known) -> (u32, u64) {
    let mut hasher = FxHasher::default();
    host.hash(&mut hasher);
    (u32::MAX - known.peer.cpu_millicores, hasher.finish())
}
