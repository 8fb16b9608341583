//! What a query of one service can choose from: versions, servers and gates.

use std::net::SocketAddr;
use std::sync::Arc;

use chervil_base::HashMap;
use chervil_base::index::ServerIndex;
use chervil_base::index::ServiceIndex;
use chervil_base::index::ShardMap;
use chervil_base::index::pick_version;
use chervil_base::key;
use chervil_base::value;

key! {
    /// Position of a server in a [`Layout`].
    pub struct ServerAt(pub u32);
    /// Position of a group in a [`Layout`].
    pub struct GroupAt(pub u32);
    /// Position of a gate in a [`Layout`].
    pub struct GateAt(pub u32);
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
        pub gates: Vec<GateAt>,
    }

    /// Backend server that may get work.
    pub struct Server {
        /// Name.
        pub name: Box<str>,
        /// Ownership group.
        pub group: GroupAt,
        /// Whether it stands in the entry's own zone.
        pub local: bool,
        /// Requests that it can run at once.
        pub slots: u32,
    }

    /// Shard map of one version, with the usable servers only.
    pub struct Pinned {
        /// Index version.
        pub version: u64,
        /// Usable holders of each shard.
        pub holders: Vec<Vec<ServerAt>>,
    }
}

impl Pinned {
    /// Share of the shards with a usable holder.
    pub fn ratio(&self) -> f64 {
        let held = self.holders.iter().filter(|h| !h.is_empty()).count();
        held as f64 / self.holders.len().max(1) as f64
    }
}

/// Parts from which a [`Layout`] is built.
#[derive(Clone, Debug, Default)]
pub struct Parts {
    /// Gates.
    pub gates: Vec<Gate>,
    /// Groups with at least one gate.
    pub groups: Vec<Group>,
    /// Usable servers.
    pub servers: Vec<Server>,
}

/// What a query of one service can choose from.
#[derive(Clone, Debug, Default)]
pub struct Layout {
    parts: Arc<Parts>,
    names: Arc<HashMap<Box<str>, ServerAt>>,
    index: ServiceIndex,
    maps: Vec<ShardMap>,
    pinned: Option<Arc<Pinned>>,
}

impl Layout {
    /// Builds a layout.
    pub fn new(parts: Parts, index: ServiceIndex) -> Layout {
        let names = parts.servers.iter().enumerate();
        let names = names.map(|(i, s)| (s.name.clone(), ServerAt(i as u32))).collect();
        let mut layout = Layout {
            parts: Arc::new(parts),
            names: Arc::new(names),
            index,
            maps: Vec::new(),
            pinned: None,
        };
        layout.map();
        layout
    }

    /// The same layout after servers told what they hold.
    pub fn with<I>(&self, updates: I) -> Layout
    where
        I: IntoIterator<Item = ServerIndex>,
    {
        let mut layout = self.clone();
        updates.into_iter().for_each(|t| layout.index.update(t));
        layout.map();
        layout
    }

    /// What is known of the index versions.
    pub fn index(&self) -> &ServiceIndex {
        &self.index
    }

    /// Version that a new query is answered from.
    pub fn pinned(&self) -> Option<&Arc<Pinned>> {
        self.pinned.as_ref()
    }

    /// Best version among those newer than `version`.
    pub fn newer_than(&self, version: u64) -> Option<Pinned> {
        let count = self.maps.iter().take_while(|m| m.version > version).count();
        self.pick(&self.maps[..count])
    }

    /// Gates, groups and servers.
    pub fn parts(&self) -> &Parts {
        &self.parts
    }

    /// Whether each shard of a version has a usable holder.
    pub fn holds(&self, version: u64) -> Option<Vec<bool>> {
        let map = self.maps.iter().find(|m| m.version == version)?;
        let held = |h: &Vec<Box<str>>| h.iter().any(|n| self.names.contains_key(n));
        Some(map.replicas.iter().map(held).collect())
    }

    /// Server at a position.
    pub fn server(&self, at: ServerAt) -> &Server {
        &self.parts.servers[at.0 as usize]
    }

    /// Position of a server.
    pub fn position(&self, name: &str) -> Option<ServerAt> {
        self.names.get(name).copied()
    }

    /// Group at a position.
    pub fn group(&self, at: GroupAt) -> &Group {
        &self.parts.groups[at.0 as usize]
    }

    /// Gate at a position.
    pub fn gate(&self, at: GateAt) -> &Gate {
        &self.parts.gates[at.0 as usize]
    }

    fn map(&mut self) {
        self.maps = self.index.shard_maps();
        self.pinned = self.pick(&self.maps).map(Arc::new);
    }

    fn pick(&self, maps: &[ShardMap]) -> Option<Pinned> {
        let map = pick_version(maps, |name, _| self.names.contains_key(name))?;
        let usable = |h: &Vec<Box<str>>| h.iter().filter_map(|n| self.position(n)).collect();
        Some(Pinned { version: map.version, holders: map.replicas.iter().map(usable).collect() })
    }
}
