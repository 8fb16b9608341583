//! Garbage collection of records that the head no longer refers to.

use chervil_base::HashSet;
use chervil_base::message;
use chervil_platform::Store;
use chervil_platform::StoreError;

use crate::draft::SWEEP_INTERVAL;
use crate::head::Head;
use crate::records::RECORD_PREFIX;
use crate::records::parse_key;

/// Key of the records that the next sweep deletes.
const MARKS_KEY: &str = "config/sweep";

message! {
    /// Records that were unreferenced at the time of a sweep.
    #[derive(Default, Eq)]
    struct MarkedRecords {
        /// Wall-clock time of the sweep, in milliseconds since 1970.
        time_ms: u64,
        /// Keys of the records.
        keys: Vec<Box<str>>,
    }
}

/// Deletes the unreferenced records that the previous sweep marked, and marks
/// the other unreferenced ones for the next sweep.
///
/// Marking first gives a host that read an older head at least
/// [`SWEEP_INTERVAL`] to read the records of that head. `head` must be the one
/// that the caller has just written: no later head can refer to a record that
/// is not newer than `head` and that `head` does not refer to.
pub(crate) async fn sweep(store: &dyn Store, head: &Head, now_ms: u64) -> Result<(), StoreError> {
    let referenced: HashSet<(&str, u64)> =
        head.records.iter().map(|r| (&*r.name, r.revision)).collect();
    let listed = store.list(RECORD_PREFIX).await?;
    let unreferenced: Vec<(Box<str>, u64)> = listed
        .into_iter()
        .filter(|(key, _)| {
            let parsed = parse_key(key);
            parsed.is_some_and(|r| r.1 <= head.revision && !referenced.contains(&r))
        })
        .collect();
    let found = store.get(MARKS_KEY).await?;
    let expected = found.as_ref().map_or(0, |f| f.revision);
    let previous: MarkedRecords =
        found.and_then(|f| serde_json::from_str(&f.value).ok()).unwrap_or_default();
    let age = now_ms.saturating_sub(previous.time_ms);
    if u128::from(age) < SWEEP_INTERVAL.as_millis() {
        return Ok(());
    }
    let marked: HashSet<&str> = previous.keys.iter().map(|k| &**k).collect();
    let mut remaining = Vec::new();
    for (key, revision) in unreferenced {
        if !marked.contains(&*key) || store.delete_if(&key, revision).await.is_err() {
            remaining.push(key);
        }
    }
    let next = MarkedRecords { time_ms: now_ms, keys: remaining };
    if let Ok(text) = serde_json::to_string(&next) {
        store.put_if(MARKS_KEY, expected, &text).await?;
    }
    Ok(())
}
