//! Rows of the simulated index. They are a function of service, version and
//! shard, so that any process can compute the expected answer.

use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_base::shards::Shard;

/// Number of rows in each shard.
pub const ROWS_PER_SHARD: u32 = 3;

message! {
    /// One row of a response.
    #[derive(Eq)]
    pub struct Row {
        /// Key by which rows are sorted.
        pub key: Box<str>,
        /// Where the row comes from.
        pub value: RowValue,
    }

    /// Content of a row: its position in the index.
    #[derive(Eq)]
    pub struct RowValue {
        /// Index version.
        pub version: u64,
        /// Shard that holds the row.
        pub shard: Shard,
        /// Position within the shard.
        pub item: u32,
    }
}

/// Rows of one shard in ascending order of their keys.
pub fn shard_rows(service: &str, version: u64, shard: Shard) -> Vec<Row> {
    let row = |item| Row {
        key: row_key(service, version, shard, item),
        value: RowValue { version, shard, item },
    };
    let mut rows: Vec<Row> = (0..ROWS_PER_SHARD).map(row).collect();
    rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    rows
}

/// Rows of all shards of a version in ascending order of their keys, as a
/// complete answer holds them.
pub fn all_rows(service: &str, version: u64, shards: u32) -> Vec<Row> {
    let mut rows: Vec<Row> =
        (0..shards).flat_map(|shard| shard_rows(service, version, shard)).collect();
    rows.sort_unstable_by(|a, b| a.key.cmp(&b.key));
    rows
}

/// Key of a row. It starts with a hash, so that the keys of different shards
/// interleave and concatenated shards do not pass for a sorted merge.
fn row_key(service: &str, version: u64, shard: Shard, item: u32) -> Box<str> {
    let hash = stable_hash(&format!("{service}/{version}/{shard}/{item}"));
    format!("{hash:016x}-{shard}-{item}").into()
}
