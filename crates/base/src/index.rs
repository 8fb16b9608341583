//! Index versions and the shard map of each.

use std::collections::BTreeMap;

use crate::HashMap;
use crate::message;
use crate::shards::Shard;
use crate::shards::ShardSet;

message! {
    /// One index version on one backend server.
    #[derive(Eq)]
    pub struct HeldVersion {
        /// Index version; higher is newer.
        pub version: u64,
        /// Number of shards of that version, over all servers.
        pub shards: u32,
        /// Shards that this server holds.
        pub held: ShardSet,
    }

    /// All index versions on one backend server.
    #[derive(Eq)]
    pub struct ServerIndex {
        /// Name of the backend server.
        pub server: Box<str>,
        /// Versions that it can serve.
        pub versions: Vec<HeldVersion>,
    }
}

/// Shard map of one index version.
#[derive(Clone, Debug, PartialEq)]
pub struct IndexMap {
    /// Index version.
    pub version: u64,
    /// Names of the servers that hold each shard; the position is the shard.
    pub holders: Vec<Vec<Box<str>>>,
}

impl IndexMap {
    /// Number of shards.
    pub fn shards(&self) -> u32 {
        self.holders.len() as u32
    }
}

/// What is known of the index versions of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceIndex {
    servers: HashMap<Box<str>, Vec<HeldVersion>>,
}

impl ServiceIndex {
    /// Replaces what is known of one server.
    pub fn update(&mut self, index: ServerIndex) {
        self.servers.insert(index.server, index.versions);
    }

    /// Forgets the servers for which `keep` is false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
    }

    /// Whether nothing is known of any server.
    pub fn is_empty(&self) -> bool {
        self.servers.is_empty()
    }

    /// Shard maps of all versions, newest first.
    ///
    /// A version whose servers disagree on the number of shards has no map:
    /// its coverage could not be stated truly.
    pub fn maps(&self) -> Vec<IndexMap> {
        let mut counts: BTreeMap<u64, Option<u32>> = BTreeMap::new();
        for v in self.servers.values().flatten() {
            let count = counts.entry(v.version).or_insert(Some(v.shards));
            if *count != Some(v.shards) {
                *count = None;
            }
        }
        let known = counts.into_iter().rev();
        known.filter_map(|(version, count)| Some(self.map(version, count?))).collect()
    }

    fn map(&self, version: u64, count: u32) -> IndexMap {
        let mut holders: Vec<Vec<Box<str>>> = vec![Vec::new(); count as usize];
        for (name, versions) in &self.servers {
            for v in versions.iter().filter(|v| v.version == version) {
                for shard in v.held.iter().filter(|s| *s < count) {
                    holders[shard as usize].push(name.clone());
                }
            }
        }
        // Hash order differs between processes; decisions must not.
        holders.iter_mut().for_each(|h| h.sort_unstable());
        IndexMap { version, holders }
    }
}

/// Newest version whose every shard has a usable holder, or else the newest of
/// the best coverage.
pub fn pick_version<F>(maps: &[IndexMap], usable: F) -> Option<&IndexMap>
where
    F: Fn(&str, Shard) -> bool,
{
    let mut best: Option<(f64, &IndexMap)> = None;
    for map in maps {
        let covered = map.holders.iter().enumerate();
        let covered = covered.filter(|(s, h)| h.iter().any(|n| usable(n, *s as Shard))).count();
        if covered > 0 && covered == map.holders.len() {
            return Some(map);
        }
        let ratio = covered as f64 / map.holders.len().max(1) as f64;
        if best.is_none_or(|(r, _)| ratio > r) {
            best = Some((ratio, map));
        }
    }
    best.map(|(_, map)| map)
}
