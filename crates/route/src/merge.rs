//! Merging of shard results.

/// Size of one record in a shard's result.
pub const RECORD_BYTES: usize = 16;

/// Concatenates the `k` greatest records of all shard results in descending byte
/// order. An incomplete record at the end of a result is ignored.
pub fn merge_top_k<'a, Results>(results: Results, k: usize) -> Vec<u8>
where
    Results: IntoIterator<Item = &'a [u8]>,
{
    let mut records: Vec<[u8; RECORD_BYTES]> = Vec::new();
    for result in results {
        records.extend(result.as_chunks::<RECORD_BYTES>().0);
    }
    if records.len() > k && k > 0 {
        records.select_nth_unstable_by(k - 1, |a, b| b.cmp(a));
    }
    records.truncate(k);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flatten().collect()
}
