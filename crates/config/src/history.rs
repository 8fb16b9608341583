//! History of changes, including those that the head no longer lists.

use chervil_base::message;
use chervil_platform::Store;
use chervil_platform::StoreError;

use crate::draft::damaged;
use crate::editor::EditorSettings;
use crate::head::HEAD_KEY;
use crate::head::Head;
use crate::head::Operation;
use crate::result::ChangeResult;

/// Key of the history in the store.
pub const HISTORY_KEY: &str = "config/history";

/// Maximum number of changes in the history; the oldest are dropped.
pub(crate) const MAX_CHANGES: usize = 200;

message! {
    /// Value of [`HISTORY_KEY`]: changes by revision, oldest first.
    #[derive(Default, Eq)]
    struct History {
        changes: Vec<Operation>,
    }
}

/// Reads the last 200 changes, oldest first, from the history and the head.
///
/// # Errors
///
/// Returns [`ChangeResult::StoreDown`] or [`ChangeResult::Damaged`].
pub async fn read_history(store: &dyn Store) -> Result<Vec<Operation>, ChangeResult> {
    let (mut history, _) = load(store).await?;
    let head = store.get(HEAD_KEY).await.map_err(|_| ChangeResult::StoreDown)?;
    if let Some(found) = head {
        let head: Head = serde_json::from_str(&found.value).map_err(|e| damaged(HEAD_KEY, &e))?;
        history.merge(&head.operations);
    }
    Ok(history.changes)
}

/// Adds operations to the history. Operations that it has already are skipped,
/// so an attempt whose reply was lost can be repeated safely.
pub(crate) async fn append(
    store: &dyn Store,
    new: &[Operation],
    settings: &EditorSettings,
) -> Result<(), ChangeResult> {
    for attempt in 0..settings.max_attempts {
        let (mut history, revision) = load(store).await?;
        if !history.merge(new) {
            return Ok(());
        }
        let text = serde_json::to_string(&history).map_err(|e| damaged(HISTORY_KEY, &e))?;
        match store.put_if(HISTORY_KEY, revision, &text).await {
            Ok(_) => return Ok(()),
            Err(StoreError::TooLarge { size }) => return Err(ChangeResult::TooLarge { size }),
            Err(StoreError::Unavailable) => return Err(ChangeResult::StoreDown),
            Err(StoreError::Conflict { .. } | StoreError::Unknown) => {
                settings.back_off(attempt).await
            }
        }
    }
    Err(ChangeResult::StoreDown)
}

impl History {
    /// Adds the operations that are missing, by id, and drops the oldest changes
    /// beyond [`MAX_CHANGES`]. Returns whether an operation was missing.
    fn merge(&mut self, new: &[Operation]) -> bool {
        let missing = |o: &&Operation| self.changes.iter().all(|c| c.id != o.id);
        let missing: Vec<Operation> = new.iter().filter(missing).cloned().collect();
        let changed = !missing.is_empty();
        self.changes.extend(missing);
        self.changes.sort_by_key(|c| c.revision);
        let excess = self.changes.len().saturating_sub(MAX_CHANGES);
        self.changes.drain(..excess);
        changed
    }
}

/// Returns the history and the store revision of its key, 0 when it is absent.
async fn load(store: &dyn Store) -> Result<(History, u64), ChangeResult> {
    match store.get(HISTORY_KEY).await {
        Ok(Some(found)) => {
            let history = serde_json::from_str(&found.value);
            Ok((history.map_err(|e| damaged(HISTORY_KEY, &e))?, found.revision))
        }
        Ok(None) => Ok((History::default(), 0)),
        Err(_) => Err(ChangeResult::StoreDown),
    }
}
