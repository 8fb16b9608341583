//! Naive executor: reads the shards of one version one after the other.

use chervil_base::shards::Shard;
use chervil_rpc::gate::Row;

use super::world::rows;

/// Rows of `shards` at `version`, sorted by key.
pub fn execute(version: u64, shards: &[Shard]) -> Vec<Row> {
    let mut sorted: Vec<Row> = Vec::new();
    for shard in shards {
        for row in rows(version, *shard) {
            let pos = sorted.iter().take_while(|r| r.key <= row.key).count();
            sorted.insert(pos, row);
        }
    }
    sorted
}
