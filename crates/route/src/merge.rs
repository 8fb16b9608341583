//! Merging the parts of many shards.

/// Bytes of one record.
pub const RECORD_BYTES: usize = 16;

/// The greatest `top` records of all parts, greatest first. Bytes at the end of
/// a part that do not fill a record are no record.
pub fn merge_top_k<'a, Parts>(parts: Parts, top: usize) -> Vec<u8>
where
    Parts: IntoIterator<Item = &'a [u8]>,
{
    let mut records: Vec<[u8; RECORD_BYTES]> = Vec::new();
    for part in parts {
        records.extend(part.as_chunks::<RECORD_BYTES>().0);
    }
    if records.len() > top && top > 0 {
        records.select_nth_unstable_by(top - 1, |a, b| b.cmp(a));
    }
    records.truncate(top);
    records.sort_unstable_by(|a, b| b.cmp(a));
    records.into_iter().flatten().collect()
}
