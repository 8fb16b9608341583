//! Reads of the configuration from the store.

use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::ConfigRecord;
use chervil_rpc::agent::StateDelta;
use futures::StreamExt as _;
use futures::TryStreamExt as _;
use futures::stream;

use crate::adopted::Adopted;
use crate::head::HEAD_KEY;
use crate::head::Head;
use crate::head::RecordRef;
use crate::records::record_key;

/// Reads of records that run at once. A host that starts reads several hundred
/// records; more at once would take the store's capacity from the others.
const PARALLEL_READS: usize = 8;

/// Attempts to read a head and its records. A record can be replaced and
/// deleted between the two reads, and a read can be stale.
const READ_ATTEMPTS: usize = 4;

/// Reads what the store has beyond `adopted`: the head and the records that
/// are not held. The reply is empty when the store's revision is not higher,
/// also when the store came back with older data.
pub async fn read_newer(store: &dyn Store, adopted: &Adopted) -> Result<StateDelta, StoreError> {
    for _ in 0..READ_ATTEMPTS {
        let Some(found) = store.get(HEAD_KEY).await? else {
            return Ok(StateDelta::default());
        };
        let Ok(head) = serde_json::from_str::<Head>(&found.value) else {
            // `Adopted::apply` reports what is wrong with it.
            return Ok(StateDelta { head: Some(found.value), ..StateDelta::default() });
        };
        if head.revision <= adopted.revision() {
            return Ok(StateDelta::default());
        }
        let lacking = head.records.iter().filter(|r| !adopted.holds(r)).cloned().collect();
        if let Some(records) = fetch_records(store, lacking).await? {
            return Ok(StateDelta { head: Some(found.value), records, members: None });
        }
    }
    Err(StoreError::Unavailable)
}

/// Reads records; `None` when one is missing or differs from its reference.
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
        stream::iter(reads).buffered(PARALLEL_READS).try_collect().await?;
    Ok(records.into_iter().collect())
}
