//! Applies changes to the store by compare-and-swap of the head.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use chervil_base::clock::Clock;
use chervil_base::value;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::ConfigRecord;
use chervil_rpc::agent::StateDelta;
use tokio::time;

use crate::change::Change;
use crate::change::PreparedChange;
use crate::draft::Draft;
use crate::draft::DraftContext;
use crate::draft::OperationInfo;
use crate::draft::damaged;
use crate::fetch::fetch_records;
use crate::head::HEAD_KEY;
use crate::head::Head;
use crate::head::Operation;
use crate::history;
use crate::records::record_key;
use crate::result::Accepted;
use crate::result::ChangeResult;
use crate::sweep;

/// Maximum number of drafts of one change. It is drafted again when an
/// unrelated change was made at the same time, or when a read was stale.
const MAX_DRAFTS: usize = 16;

value! {
    /// Retries of store calls whose reply was lost.
    pub struct EditorSettings {
        /// Maximum number of attempts at one step, such as the swap of the head.
        /// If the swap is not confirmed by then, the outcome is unknown.
        pub max_attempts: usize,
        /// Delay after the first attempt. It doubles with each attempt up to
        /// sixteen times this value.
        pub initial_backoff: Duration,
    }
}

impl Default for EditorSettings {
    fn default() -> EditorSettings {
        EditorSettings { max_attempts: 9, initial_backoff: Duration::from_millis(50) }
    }
}

impl EditorSettings {
    /// Waits after the failed attempt with this zero-based number.
    pub(crate) async fn back_off(&self, attempt: usize) {
        time::sleep(self.initial_backoff * (1 << attempt.min(4))).await;
    }
}

/// Makes changes to the configuration on behalf of one operator.
pub struct Editor<'a> {
    store: &'a dyn Store,
    clock: &'a dyn Clock,
    operator: Box<str>,
    settings: EditorSettings,
    min_head_revision: u64,
    search_history: bool,
}

/// Head as read from the store, on which a change is based.
struct StoredHead {
    head: Head,
    /// Value of the key.
    text: Box<str>,
    /// Store revision of the key; 0 when there is no head yet.
    key_revision: Revision,
}

/// Outcome of a compare-and-swap of the head.
enum SwapOutcome {
    /// The change took effect as this operation.
    Applied(Operation),
    /// Another head is in force. The drafted head never took effect and, since
    /// its expected revision is outdated, never will.
    Superseded(StoredHead),
}

/// Outcome of writing the records of a draft.
enum WriteOutcome {
    Written,
    /// The key of a record already has other content, such as that of a failed
    /// attempt at the same revision.
    KeyTaken,
}

impl<'a> Editor<'a> {
    /// Creates an editor for `operator`.
    pub fn new(
        store: &'a dyn Store,
        clock: &'a dyn Clock,
        operator: &str,
        settings: EditorSettings,
    ) -> Editor<'a> {
        Editor {
            store,
            clock,
            operator: operator.into(),
            settings,
            min_head_revision: 0,
            search_history: false,
        }
    }

    /// Rejects changes when the head in the store has a lower revision than
    /// `revision`, the highest one that a host holds. The store was then
    /// restored from older data, and hosts would ignore the change or mix two
    /// histories.
    pub fn min_head_revision(self, revision: u64) -> Editor<'a> {
        Editor { min_head_revision: revision, ..self }
    }

    /// Sets whether to search the history for an earlier run with the same
    /// operation id, which the head may no longer list.
    pub fn search_history(self, search_history: bool) -> Editor<'a> {
        Editor { search_history, ..self }
    }

    /// Makes a change. `operation` is its idempotency key: repeating a change
    /// with the same id has no further effect.
    pub async fn change(&self, change: &Change, operation: &str) -> ChangeResult {
        let result = self.try_change(change, operation).await.unwrap_or_else(|failure| failure);
        match result {
            ChangeResult::Unknown { .. } => ChangeResult::Unknown { operation: operation.into() },
            result => result,
        }
    }

    async fn try_change(
        &self,
        change: &Change,
        operation: &str,
    ) -> Result<ChangeResult, ChangeResult> {
        let change = &change.prepare()?;
        let info = &self.operation_info(&change.operation_id(operation));
        let id = &info.id;
        let mut base = self.read_head().await?;
        if base.head.revision < self.min_head_revision {
            let store = base.head.revision;
            return Err(ChangeResult::StoreOlder { store, hosts: self.min_head_revision });
        }
        if let Some(done) = self.find_in_history(id).await? {
            return Ok(accepted(done, StateDelta::default()));
        }
        // Above the revision floor; keys of skipped revisions were taken.
        let mut revision_offset = 1;
        for _ in 0..MAX_DRAFTS {
            if let Some(done) = base.head.find_operation(id) {
                return Ok(accepted(done.clone(), StateDelta::default()));
            }
            let Some(records) = self.fetch_required(&base, change).await? else {
                base = self.refresh(base, change).await?;
                continue;
            };
            let revision = change.revision_floor(&base.head) + revision_offset;
            let ctx = DraftContext { head: &base.head, operation: info, revision };
            let draft = match change.draft(&records, &ctx) {
                Ok(draft) => draft,
                Err(ChangeResult::Unchanged { revision }) => {
                    match self.verify_current(&base).await? {
                        None => return Ok(ChangeResult::Unchanged { revision }),
                        Some(current) => base = self.rebase(base, current, change)?,
                    }
                    continue;
                }
                Err(failure) => return Err(failure),
            };
            if let WriteOutcome::KeyTaken = self.write_records(&draft.records).await? {
                revision_offset += 1;
                continue;
            }
            if !draft.archive.is_empty() {
                history::append(self.store, &draft.archive, &self.settings).await?;
            }
            match self.swap_head(&base, &draft.head, id).await? {
                SwapOutcome::Applied(operation) => {
                    return Ok(self.complete(operation, draft).await);
                }
                SwapOutcome::Superseded(current) => base = self.rebase(base, current, change)?,
            }
            revision_offset = 1;
        }
        Err(ChangeResult::LostRace { revision: base.head.revision, changes: Vec::new() })
    }

    /// Reads the records that the change needs. Returns `None` when one is
    /// missing, which means that a read was stale.
    async fn fetch_required(
        &self,
        base: &StoredHead,
        change: &PreparedChange<'_>,
    ) -> Result<Option<Vec<ConfigRecord>>, ChangeResult> {
        let required = change.required_records(&base.head);
        fetch_records(self.store, required).await.map_err(|_| ChangeResult::StoreDown)
    }

    async fn find_in_history(&self, id: &str) -> Result<Option<Operation>, ChangeResult> {
        if !self.search_history {
            return Ok(None);
        }
        let history = history::read_history(self.store).await?;
        Ok(history.into_iter().find(|o| &*o.id == id))
    }

    fn operation_info(&self, id: &str) -> OperationInfo {
        let now = self.clock.wall_time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        OperationInfo { id: id.into(), operator: self.operator.clone(), now_ms }
    }

    /// Reports a change that took effect, and sweeps records if that is due.
    async fn complete(&self, operation: Operation, draft: Draft) -> ChangeResult {
        if operation.revision != draft.head.revision {
            // An earlier run with the same id took effect instead of this one.
            return accepted(operation, StateDelta::default());
        }
        if draft.sweep_due {
            // The change is in force even if the sweep fails; a later change
            // sweeps again.
            let _ = sweep::sweep(self.store, &draft.head, operation.time_ms).await;
        }
        let head = serde_json::to_string(&draft.head).ok().map(Into::into);
        accepted(operation, StateDelta { head, records: draft.records, members: None })
    }

    /// Continues on top of another head, unless the changes in between conflict.
    fn rebase(
        &self,
        old: StoredHead,
        new: StoredHead,
        change: &PreparedChange<'_>,
    ) -> Result<StoredHead, ChangeResult> {
        if !change.conflicts(&old.head, &new.head) {
            return Ok(new);
        }
        let after = |o: &&Operation| o.revision > old.head.revision;
        let changes = new.head.operations.iter().filter(after).cloned().collect();
        Err(ChangeResult::LostRace { revision: new.head.revision, changes })
    }

    /// Reads the head again after a record of `old` was not found, which means
    /// that the read of the head or of the record was stale.
    async fn refresh(
        &self,
        old: StoredHead,
        change: &PreparedChange<'_>,
    ) -> Result<StoredHead, ChangeResult> {
        self.settings.back_off(0).await;
        let new = self.read_head().await?;
        self.rebase(old, new, change)
    }

    async fn read_head(&self) -> Result<StoredHead, ChangeResult> {
        let found = self.store.get(HEAD_KEY).await.map_err(|_| ChangeResult::StoreDown)?;
        let Some(found) = found else {
            return Ok(StoredHead { head: Head::default(), text: "".into(), key_revision: 0 });
        };
        let head = serde_json::from_str(&found.value).map_err(|e| damaged(HEAD_KEY, &e))?;
        Ok(StoredHead { head, text: found.value, key_revision: found.revision })
    }

    /// Verifies that `base` was not a stale read, by a compare-and-swap that
    /// leaves the value unchanged. Returns the current head if it differs.
    async fn verify_current(&self, base: &StoredHead) -> Result<Option<StoredHead>, ChangeResult> {
        for attempt in 0..self.settings.max_attempts {
            match self.store.put_if(HEAD_KEY, base.key_revision, &base.text).await {
                Ok(_) => return Ok(None),
                Err(StoreError::Conflict { current }) => {
                    let latest = self.read_head_at_least(current).await;
                    let latest = latest.unwrap_or(Err(ChangeResult::StoreDown))?;
                    // An earlier attempt may have caused the conflict; it left
                    // the head the same.
                    return Ok(Some(latest).filter(|l| l.head != base.head));
                }
                Err(StoreError::Unknown) => self.settings.back_off(attempt).await,
                Err(_) => break,
            }
        }
        // The outcome is not unknown: an attempt that took effect would not
        // have changed the value.
        Err(ChangeResult::StoreDown)
    }

    /// Reads the head until its key has at least this store revision. Returns
    /// `None` when all attempts were stale or failed.
    async fn read_head_at_least(
        &self,
        revision: Revision,
    ) -> Option<Result<StoredHead, ChangeResult>> {
        for attempt in 0..self.settings.max_attempts {
            if attempt > 0 {
                self.settings.back_off(attempt - 1).await;
            }
            match self.read_head().await {
                Ok(base) if base.key_revision >= revision => return Some(Ok(base)),
                Err(damaged @ ChangeResult::Damaged { .. }) => return Some(Err(damaged)),
                _ => {}
            }
        }
        None
    }

    async fn write_records(&self, records: &[ConfigRecord]) -> Result<WriteOutcome, ChangeResult> {
        for record in records {
            if let WriteOutcome::KeyTaken = self.write_record(record).await? {
                return Ok(WriteOutcome::KeyTaken);
            }
        }
        Ok(WriteOutcome::Written)
    }

    async fn write_record(&self, record: &ConfigRecord) -> Result<WriteOutcome, ChangeResult> {
        let key = record_key(&record.name, record.revision);
        for attempt in 0..self.settings.max_attempts {
            match self.store.put_if(&key, 0, &record.body).await {
                Ok(_) => return Ok(WriteOutcome::Written),
                Err(StoreError::TooLarge { size }) => return Err(ChangeResult::TooLarge { size }),
                Err(StoreError::Unavailable) => return Err(ChangeResult::StoreDown),
                Err(StoreError::Unknown) => self.settings.back_off(attempt).await,
                Err(StoreError::Conflict { .. }) => {
                    // An earlier attempt may have written this record.
                    let found = self.store.get(&key).await.map_err(|_| ChangeResult::StoreDown)?;
                    let identical = found.is_some_and(|f| f.value == record.body);
                    return Ok(if identical {
                        WriteOutcome::Written
                    } else {
                        WriteOutcome::KeyTaken
                    });
                }
            }
        }
        // Records have no effect until a head refers to them, so the outcome is
        // not unknown.
        Err(ChangeResult::StoreDown)
    }

    /// Replaces the head of `base` by `next`. After a lost reply the same
    /// compare-and-swap is repeated: either it succeeds, or the head has changed
    /// and its operations show whether an earlier attempt took effect.
    async fn swap_head(
        &self,
        base: &StoredHead,
        next: &Head,
        id: &str,
    ) -> Result<SwapOutcome, ChangeResult> {
        let text = serde_json::to_string(next).map_err(|e| damaged(HEAD_KEY, &e))?;
        let unknown = || ChangeResult::Unknown { operation: id.into() };
        // Whether an attempt may have taken effect.
        let mut maybe_applied = false;
        for attempt in 0..self.settings.max_attempts {
            match self.store.put_if(HEAD_KEY, base.key_revision, &text).await {
                Ok(_) => {
                    let done = next.find_operation(id).cloned();
                    return done.map(SwapOutcome::Applied).ok_or_else(unknown);
                }
                Err(StoreError::TooLarge { size }) => return Err(ChangeResult::TooLarge { size }),
                Err(StoreError::Unavailable) if !maybe_applied => {
                    return Err(ChangeResult::StoreDown);
                }
                Err(StoreError::Unavailable) => {}
                Err(StoreError::Unknown) => maybe_applied = true,
                Err(StoreError::Conflict { current }) => {
                    return match self.read_head_at_least(current).await {
                        Some(Ok(latest)) => self.resolve_conflict(base, latest, id).await,
                        _ => Err(unknown()),
                    };
                }
            }
            self.settings.back_off(attempt).await;
        }
        Err(unknown())
    }

    /// Determines from the operations since `base` whether operation `id` took
    /// effect. `latest` is the head that the compare-and-swap conflicted with.
    async fn resolve_conflict(
        &self,
        base: &StoredHead,
        latest: StoredHead,
        id: &str,
    ) -> Result<SwapOutcome, ChangeResult> {
        if let Some(done) = latest.head.find_operation(id) {
            return Ok(SwapOutcome::Applied(done.clone()));
        }
        if latest.head.revision < base.head.revision {
            // The store was restored from older data and has lost operations
            // that it accepted, possibly this one.
            return Err(ChangeResult::Unknown { operation: id.into() });
        }
        if covers_all_since(&latest.head.operations, base.head.revision) {
            return Ok(SwapOutcome::Superseded(latest));
        }
        let history = history::read_history(self.store).await.unwrap_or_default();
        if let Some(done) = history.iter().find(|o| &*o.id == id) {
            return Ok(SwapOutcome::Applied(done.clone()));
        }
        if covers_all_since(&history, base.head.revision) {
            return Ok(SwapOutcome::Superseded(latest));
        }
        Err(ChangeResult::Unknown { operation: id.into() })
    }
}

/// Whether `operations` contains all operations after `revision`. They are
/// dropped from the oldest on, so it suffices that the list starts no later
/// than at the next revision. The first operation ever made follows revision 0.
fn covers_all_since(operations: &[Operation], revision: u64) -> bool {
    operations.first().is_some_and(|o| o.revision <= revision + 1)
}

fn accepted(operation: Operation, delta: StateDelta) -> ChangeResult {
    ChangeResult::Accepted(Box::new(Accepted { operation, delta }))
}
