//! Index versions that backend servers report, and the shard map of each.

use std::collections::BTreeMap;

use crate::HashMap;
use crate::message;
use crate::shards::Shard;
use crate::shards::ShardSet;

message! {
    /// An index version that a backend server holds, in whole or in part.
    #[derive(Eq)]
    pub struct HeldVersion {
        /// Index version; higher is newer.
        pub version: u64,
        /// Number of shards that the version has in total, on all servers.
        pub shards: u32,
        /// Shards of the version that this server holds.
        pub held: ShardSet,
    }

    /// Index versions that a backend server reports.
    #[derive(Eq)]
    pub struct ServerIndex {
        /// Name of the backend server.
        pub server: Box<str>,
        /// Versions that the server can serve.
        pub versions: Vec<HeldVersion>,
    }
}

/// Shard map of one index version: the replicas of each shard.
#[derive(Clone, Debug, PartialEq)]
pub struct ShardMap {
    /// Index version.
    pub version: u64,
    /// Names of the servers that hold each shard, indexed by shard number.
    pub replicas: Vec<Vec<Box<str>>>,
}

impl ShardMap {
    /// Number of shards.
    pub fn shard_count(&self) -> u32 {
        self.replicas.len() as u32
    }
}

/// Index versions that the backend servers of one service have reported.
#[derive(Clone, Debug, Default)]
pub struct ServiceIndex {
    /// Versions by server name.
    servers: HashMap<Box<str>, Vec<HeldVersion>>,
}

impl ServiceIndex {
    /// Replaces the versions recorded for one server.
    pub fn update(&mut self, index: ServerIndex) {
        self.servers.insert(index.server, index.versions);
    }

    /// Removes the servers for whose name `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
    }

    /// Whether no server has reported its versions.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Shard maps of all versions, newest first.
    ///
    /// A version is left out if its servers disagree on the number of shards,
    /// because the coverage of an answer from it would be wrong.
    pub fn shard_maps(&self) -> Vec<ShardMap> {
        // Shard count by version; `None` where the servers disagree.
        let mut counts: BTreeMap<u64, Option<u32>> = BTreeMap::new();
        for v in self.servers.values().flatten() {
            let count = counts.entry(v.version).or_insert(Some(v.shards));
            if *count != Some(v.shards) {
                *count = None;
            }
        }
        let newest_first = counts.into_iter().rev();
        newest_first.filter_map(|(version, count)| Some(self.shard_map(version, count?))).collect()
    }

    fn shard_map(&self, version: u64, count: u32) -> ShardMap {
        let mut replicas: Vec<Vec<Box<str>>> = vec![Vec::new(); count as usize];
        for (name, versions) in &self.servers {
            for v in versions.iter().filter(|v| v.version == version) {
                for shard in v.held.iter().filter(|s| *s < count) {
                    replicas[shard as usize].push(name.clone());
                }
            }
        }
        // The hash map's order differs between processes, and decisions that
        // are based on the map must not.
        replicas.iter_mut().for_each(|servers| servers.sort_unstable());
        ShardMap { version, replicas }
    }
}

/// Selects the newest version that has a usable replica of every shard. If
/// there is none, selects the version with the highest coverage, and of several
/// such versions the newest.
///
/// `maps` must be sorted newest first.
pub fn pick_version<F>(maps: &[ShardMap], usable: F) -> Option<&ShardMap>
where
    F: Fn(&str, Shard) -> bool,
{
    let mut best: Option<(f64, &ShardMap)> = None;
    for map in maps {
        let shards = map.replicas.iter().enumerate();
        let covered = shards.filter(|(s, r)| r.iter().any(|n| usable(n, *s as Shard))).count();
        if covered > 0 && covered == map.replicas.len() {
            return Some(map);
        }
        let ratio = covered as f64 / map.replicas.len().max(1) as f64;
        if best.is_none_or(|(r, _)| ratio > r) {
            best = Some((ratio, map));
        }
    }
    best.map(|(_, map)| map)
}
