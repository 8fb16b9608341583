//! What a query of one service can choose from: versions, servers and gates.

use std::net::SocketAddr;
use std::sync::Arc;

use chervil_base::HashMap;
use chervil_base::index::IndexMap;
use chervil_base::index::ServerIndex;
use chervil_base::index::ServiceIndex;
use chervil_base::index::pick_version;
use chervil_base::key;
use chervil_base::value;

key! {
    /// Position of a server in a [`Topology`].
    pub struct ServerIdx(pub u32);
    /// Position of a group in a [`Topology`].
    pub struct GroupIdx(pub u32);
    /// Position of a gate in a [`Topology`].
    pub struct GateIdx(pub u32);
}

value! {
    /// Gate of one host.
    pub struct Gate {
        /// Name of the host.
        pub host: Box<str>,
        /// Address of the gate.
        pub address: SocketAddr,
    }

    /// Ownership group.
    pub struct Group {
        /// Gates that may own it, the most likely owner first; never empty.
        pub gates: Vec<GateIdx>,
    }

    /// Backend server that may get work.
    pub struct Server {
        /// Name.
        pub name: Box<str>,
        /// Ownership group.
        pub group: GroupIdx,
        /// Whether it stands in the entry's own zone.
        pub local: bool,
        /// Requests that it can run at once.
        pub slots: u32,
    }

    /// Shard map of one version, with the usable servers only.
    pub struct ShardMap {
        /// Index version.
        pub version: u64,
        /// Usable holders of each shard.
        pub holders: Vec<Vec<ServerIdx>>,
    }
}

impl ShardMap {
    /// Share of the shards with a usable holder.
    pub fn available_ratio(&self) -> f64 {
        let held = self.holders.iter().filter(|h| !h.is_empty()).count();
        held as f64 / self.holders.len().max(1) as f64
    }
}

/// Parts from which a [`Topology`] is built.
#[derive(Clone, Debug, Default)]
pub struct TopologyParts {
    /// Gates.
    pub gates: Vec<Gate>,
    /// Groups with at least one gate.
    pub groups: Vec<Group>,
    /// Usable servers.
    pub servers: Vec<Server>,
}

/// What a query of one service can choose from.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    parts: Arc<TopologyParts>,
    names: Arc<HashMap<Box<str>, ServerIdx>>,
    index: ServiceIndex,
    maps: Vec<IndexMap>,
    pinned: Option<Arc<ShardMap>>,
}

impl Topology {
    /// Builds a topology.
    pub fn new(parts: TopologyParts, index: ServiceIndex) -> Topology {
        let names = parts.servers.iter().enumerate();
        let names = names.map(|(i, s)| (s.name.clone(), ServerIdx(i as u32))).collect();
        let mut topology = Topology {
            parts: Arc::new(parts),
            names: Arc::new(names),
            index,
            maps: Vec::new(),
            pinned: None,
        };
        topology.map();
        topology
    }

    /// The same topology after servers told what they hold.
    pub fn with_updates<I>(&self, updates: I) -> Topology
    where
        I: IntoIterator<Item = ServerIndex>,
    {
        let mut topology = self.clone();
        updates.into_iter().for_each(|t| topology.index.update(t));
        topology.map();
        topology
    }

    /// What is known of the index versions.
    pub fn index(&self) -> &ServiceIndex {
        &self.index
    }

    /// Version that a new query is answered from.
    pub fn preferred(&self) -> Option<&Arc<ShardMap>> {
        self.pinned.as_ref()
    }

    /// Best version among those newer than `version`.
    pub fn best_newer_than(&self, version: u64) -> Option<ShardMap> {
        let count = self.maps.iter().take_while(|m| m.version > version).count();
        self.pick(&self.maps[..count])
    }

    /// Gates, groups and servers.
    pub fn parts(&self) -> &TopologyParts {
        &self.parts
    }

    /// Whether each shard of a version has a usable holder.
    pub fn available_shards(&self, version: u64) -> Option<Vec<bool>> {
        let map = self.maps.iter().find(|m| m.version == version)?;
        let held = |h: &Vec<Box<str>>| h.iter().any(|n| self.names.contains_key(n));
        Some(map.holders.iter().map(held).collect())
    }

    /// Server at a position.
    pub fn server(&self, at: ServerIdx) -> &Server {
        &self.parts.servers[at.0 as usize]
    }

    /// Position of a server.
    pub fn position(&self, name: &str) -> Option<ServerIdx> {
        self.names.get(name).copied()
    }

    /// Group at a position.
    pub fn group(&self, at: GroupIdx) -> &Group {
        &self.parts.groups[at.0 as usize]
    }

    /// Gate at a position.
    pub fn gate(&self, at: GateIdx) -> &Gate {
        &self.parts.gates[at.0 as usize]
    }

    fn map(&mut self) {
        self.maps = self.index.maps();
        self.pinned = self.pick(&self.maps).map(Arc::new);
    }

    fn pick(&self, maps: &[IndexMap]) -> Option<ShardMap> {
        let map = pick_version(maps, |name, _| self.names.contains_key(name))?;
        let usable = |h: &Vec<Box<str>>| h.iter().filter_map(|n| self.position(n)).collect();
        Some(ShardMap { version: map.version, holders: map.holders.iter().map(usable).collect() })
    }
}
