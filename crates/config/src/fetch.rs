//! Reads the configuration from the store.

use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::ConfigRecord;
use chervil_rpc::agent::StateDelta;
use futures::StreamExt as _;
use futures::TryStreamExt as _;
use futures::stream;

use crate::head::HEAD_KEY;
use crate::head::Head;
use crate::head::RecordRef;
use crate::records::record_key;
use crate::replica::ConfigReplica;

/// Maximum number of concurrent record reads. A starting host reads several
/// hundred records; with a higher concurrency it would starve the other clients
/// of the store.
const MAX_CONCURRENT_READS: usize = 8;

/// Maximum number of attempts to read a head and its records. An attempt fails
/// if a record is replaced and deleted after the head is read, or if a read is
/// stale.
const MAX_READ_ATTEMPTS: usize = 4;

/// Reads the delta from `replica` to the store: the head and the records that
/// the replica lacks. The reply is empty when the revision in the store is not
/// higher, which includes a store restored from older data.
///
/// # Errors
///
/// Returns the error of a failed read, or [`StoreError::Unavailable`] when a
/// record is missing in each of several attempts.
pub async fn read_delta(
    store: &dyn Store,
    replica: &ConfigReplica,
) -> Result<StateDelta, StoreError> {
    for _ in 0..MAX_READ_ATTEMPTS {
        let Some(found) = store.get(HEAD_KEY).await? else {
            return Ok(StateDelta::default());
        };
        let Ok(head) = serde_json::from_str::<Head>(&found.value) else {
            // `ConfigReplica::apply` fails with the parse error.
            return Ok(StateDelta { head: Some(found.value), ..StateDelta::default() });
        };
        if head.revision <= replica.revision() {
            return Ok(StateDelta::default());
        }
        let missing = head.records.iter().filter(|r| !replica.has_record(r)).cloned().collect();
        if let Some(records) = fetch_records(store, missing).await? {
            return Ok(StateDelta { head: Some(found.value), records, members: None });
        }
    }
    Err(StoreError::Unavailable)
}

/// Reads the referenced records, in the same order. Returns `None` when one is
/// missing or does not match the digest of its reference.
pub(crate) async fn fetch_records(
    store: &dyn Store,
    references: Vec<RecordRef>,
) -> Result<Option<Vec<ConfigRecord>>, StoreError> {
    let reads = references.into_iter().map(|reference| async move {
        let found = store.get(&record_key(&reference.name, reference.revision)).await?;
        let record = found.map(|f| ConfigRecord {
            name: reference.name.clone(),
            revision: reference.revision,
            body: f.value,
        });
        Ok::<_, StoreError>(record.filter(|r| reference.matches(r)))
    });
    let records: Vec<Option<ConfigRecord>> =
        stream::iter(reads).buffered(MAX_CONCURRENT_READS).try_collect().await?;
    Ok(records.into_iter().collect())
}
