//! Servers, ownership groups, gates and index versions of one service, from
//! which its requests choose.

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
    /// Index of a server in a [`Topology`].
    pub struct ServerIdx(pub u32);
    /// Index of a group in a [`Topology`].
    pub struct GroupIdx(pub u32);
    /// Index of a gate in a [`Topology`].
    pub struct GateIdx(pub u32);
}

value! {
    /// Gate process of one host.
    pub struct Gate {
        /// Name of the host.
        pub host: Box<str>,
        /// Address of the gate.
        pub address: SocketAddr,
    }

    /// Servers that are owned by one gate at a time.
    pub struct Group {
        /// Gates that may own the group, the most likely owner first; never
        /// empty.
        pub gates: Vec<GateIdx>,
    }

    /// Backend server that may receive requests.
    pub struct Server {
        /// Name of the server.
        pub name: Box<str>,
        /// Group that it belongs to.
        pub group: GroupIdx,
        /// Whether it is in the entry's availability zone.
        pub local: bool,
        /// Number of requests that it can run concurrently.
        pub slots: u32,
    }

    /// One index version with the replicas of its shards. Servers that
    /// may not receive requests are left out.
    pub struct PinnedVersion {
        /// Index version.
        pub version: u64,
        /// Servers that hold each shard, indexed by shard.
        pub replicas: Vec<Vec<ServerIdx>>,
    }
}

impl PinnedVersion {
    /// Share of the shards that have a replica, between 0 and 1.
    pub fn available_ratio(&self) -> f64 {
        let held = self.replicas.iter().filter(|h| !h.is_empty()).count();
        held as f64 / self.replicas.len().max(1) as f64
    }
}

/// Gates, groups and servers of a [`Topology`], without the index versions.
#[derive(Clone, Debug, Default)]
pub struct TopologyParts {
    /// Gates, addressed by [`GateIdx`].
    pub gates: Vec<Gate>,
    /// Groups with at least one gate, addressed by [`GroupIdx`].
    pub groups: Vec<Group>,
    /// Servers that may receive requests, addressed by [`ServerIdx`].
    pub servers: Vec<Server>,
}

/// Snapshot of the servers, groups, gates and index versions of one service.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    parts: Arc<TopologyParts>,
    server_idx: Arc<HashMap<Box<str>, ServerIdx>>,
    index: ServiceIndex,
    /// Shard maps of all known versions, the newest first.
    maps: Vec<ShardMap>,
    /// Version that new queries pin.
    preferred: Option<Arc<PinnedVersion>>,
}

impl Topology {
    /// Builds a topology from its parts and the known index versions.
    pub fn new(parts: TopologyParts, index: ServiceIndex) -> Topology {
        let server_idx = parts.servers.iter().enumerate();
        let server_idx = server_idx.map(|(i, s)| (s.name.clone(), ServerIdx(i as u32))).collect();
        let mut topology = Topology {
            parts: Arc::new(parts),
            server_idx: Arc::new(server_idx),
            index,
            maps: Vec::new(),
            preferred: None,
        };
        topology.update_maps();
        topology
    }

    /// Copy of the topology in which the index versions of some servers are
    /// replaced by `updates`.
    pub fn with_updates<I>(&self, updates: I) -> Topology
    where
        I: IntoIterator<Item = ServerIndex>,
    {
        let mut topology = self.clone();
        updates.into_iter().for_each(|u| topology.index.update(u));
        topology.update_maps();
        topology
    }

    /// Index versions held by each server, as far as known.
    pub fn index(&self) -> &ServiceIndex {
        &self.index
    }

    /// Version that new queries pin; `None` if no version is known.
    pub fn preferred(&self) -> Option<&Arc<PinnedVersion>> {
        self.preferred.as_ref()
    }

    /// Version that queries would pin among those newer than `version`.
    pub fn best_newer_than(&self, version: u64) -> Option<PinnedVersion> {
        let count = self.maps.iter().take_while(|m| m.version > version).count();
        self.pick_map(&self.maps[..count])
    }

    /// Gates, groups and servers.
    pub fn parts(&self) -> &TopologyParts {
        &self.parts
    }

    /// Whether each shard of a version has a replica that may receive requests;
    /// `None` if the version is not known.
    pub fn available_shards(&self, version: u64) -> Option<Vec<bool>> {
        let map = self.maps.iter().find(|m| m.version == version)?;
        let held = |h: &Vec<Box<str>>| h.iter().any(|n| self.server_idx.contains_key(n));
        Some(map.replicas.iter().map(held).collect())
    }

    /// Returns the server with this index.
    pub fn server(&self, idx: ServerIdx) -> &Server {
        &self.parts.servers[idx.0 as usize]
    }

    /// Index of the server with this name; `None` if it may not receive requests.
    pub fn find_server(&self, name: &str) -> Option<ServerIdx> {
        self.server_idx.get(name).copied()
    }

    /// Returns the group with this index.
    pub fn group(&self, idx: GroupIdx) -> &Group {
        &self.parts.groups[idx.0 as usize]
    }

    /// Returns the gate with this index.
    pub fn gate(&self, idx: GateIdx) -> &Gate {
        &self.parts.gates[idx.0 as usize]
    }

    fn update_maps(&mut self) {
        self.maps = self.index.shard_maps();
        self.preferred = self.pick_map(&self.maps).map(Arc::new);
    }

    fn pick_map(&self, maps: &[ShardMap]) -> Option<PinnedVersion> {
        let map = pick_version(maps, |name, _| self.server_idx.contains_key(name))?;
        let usable = |h: &Vec<Box<str>>| h.iter().filter_map(|n| self.find_server(n)).collect();
        Some(PinnedVersion {
            version: map.version,
            replicas: map.replicas.iter().map(usable).collect(),
        })
    }
}
