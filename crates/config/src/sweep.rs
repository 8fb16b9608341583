//! Deletes records that no head refers to any more.

use chervil_base::HashSet;
use chervil_base::message;
use chervil_platform::Store;
use chervil_platform::StoreError;

use crate::draft::SWEEP_INTERVAL;
use crate::head::Head;
use crate::records::RECORD_PREFIX;
use crate::records::parse_key;

/// Key of the list of records that the next sweep deletes.
const MARK_KEY: &str = "config/sweep";

message! {
    /// Records that no head refers to, as of one moment.
    #[derive(Default, Eq)]
    struct Marks {
        time_ms: u64,
        keys: Vec<Box<str>>,
    }
}

/// Deletes the records that the last sweep marked and marks others.
///
/// A host that read the head before it changed still finds the old records for
/// the time between two sweeps. `head` must be the one that the caller has just
/// written: a record that it does not refer to and that is not newer can never
/// be referred to again.
pub(crate) async fn sweep(store: &dyn Store, head: &Head, now_ms: u64) -> Result<(), StoreError> {
    let used: HashSet<(&str, u64)> = head.records.iter().map(|r| (&*r.name, r.revision)).collect();
    let listed = store.list(RECORD_PREFIX).await?;
    let unused: Vec<(Box<str>, u64)> = listed
        .into_iter()
        .filter(|(key, _)| {
            let parsed = parse_key(key);
            parsed.is_some_and(|r| r.1 <= head.revision && !used.contains(&r))
        })
        .collect();
    let found = store.get(MARK_KEY).await?;
    let expected = found.as_ref().map_or(0, |f| f.revision);
    let marks: Marks = found.and_then(|f| serde_json::from_str(&f.value).ok()).unwrap_or_default();
    let age = now_ms.saturating_sub(marks.time_ms);
    if u128::from(age) < SWEEP_INTERVAL.as_millis() {
        return Ok(());
    }
    let marked: HashSet<&str> = marks.keys.iter().map(|k| &**k).collect();
    let mut rest = Vec::new();
    for (key, revision) in unused {
        if !marked.contains(&*key) || store.delete_if(&key, revision).await.is_err() {
            rest.push(key);
        }
    }
    let next = Marks { time_ms: now_ms, keys: rest };
    if let Ok(text) = serde_json::to_string(&next) {
        store.put_if(MARK_KEY, expected, &text).await?;
    }
    Ok(())
}
