//! Naive executor: asks each shard of one snapshot in order.

use chervil_base::shards::Shard;
use chervil_rpc::gate::Row;

use super::world::rows;

/// Rows of `shards` at `version`, sorted by key.
pub fn execute(version: u64, shards: &[Shard]) -> Vec<Row> {
    let mut all: Vec<Row> = Vec::new();
    for shard in shards {
        for row in rows(version, *shard) {
            let at = all.iter().take_while(|r| r.key <= row.key).count();
            all.insert(at, row);
        }
    }
    all
}
