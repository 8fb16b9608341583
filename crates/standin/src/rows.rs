//! Content of the simulated index: a function of service, version and shard.

use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_base::shards::Shard;

/// Rows of each shard.
pub const ROWS_PER_SHARD: u32 = 3;

message! {
    /// One row of a reply.
    #[derive(Eq)]
    pub struct Row {
        /// Sort key.
        pub key: Box<str>,
        /// Content.
        pub value: RowValue,
    }

    /// Content of a row.
    #[derive(Eq)]
    pub struct RowValue {
        /// Index version.
        pub version: u64,
        /// Shard.
        pub shard: Shard,
        /// Position within the shard.
        pub item: u32,
    }
}

/// Rows of one shard, in ascending order of their keys.
pub fn shard_rows(service: &str, version: u64, shard: Shard) -> Vec<Row> {
    let row = |item| Row {
        key: row_key(service, version, shard, item),
        value: RowValue { version, shard, item },
    };
    let mut rows: Vec<Row> = (0..ROWS_PER_SHARD).map(row).collect();
    rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    rows
}

/// The whole answer of a version with `shards` shards, in ascending order.
pub fn all_rows(service: &str, version: u64, shards: u32) -> Vec<Row> {
    let mut rows: Vec<Row> =
        (0..shards).flat_map(|shard| shard_rows(service, version, shard)).collect();
    rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    rows
}

/// Keys of different shards interleave, so that a merge has work to do.
fn row_key(service: &str, version: u64, shard: Shard, item: u32) -> Box<str> {
    let hash = stable_hash(&format!("{service}/{version}/{shard}/{item}"));
    format!("{hash:016x}-{shard}-{item}").into()
}
