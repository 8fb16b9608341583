//! The last changes, beyond those that the head holds.

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

/// Changes that the history holds.
pub(crate) const MAX_HISTORY: usize = 200;

message! {
    #[derive(Default, Eq)]
    struct History {
        changes: Vec<Operation>,
    }
}

/// The last 200 changes, oldest first.
pub async fn read_history(store: &dyn Store) -> Result<Vec<Operation>, ChangeResult> {
    let (mut history, _) = read(store).await?;
    let head = store.get(HEAD_KEY).await.map_err(|_| ChangeResult::StoreDown)?;
    if let Some(found) = head {
        let head: Head = serde_json::from_str(&found.value).map_err(|e| damaged(HEAD_KEY, &e))?;
        history.merge(&head.operations);
    }
    Ok(history.changes)
}

/// Adds operations to the history. It is idempotent, so that a lost reply only
/// costs an attempt.
pub(crate) async fn append(
    store: &dyn Store,
    new: &[Operation],
    settings: &EditorSettings,
) -> Result<(), ChangeResult> {
    for attempt in 0..settings.max_attempts {
        let (mut history, revision) = read(store).await?;
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
    /// Adds what is missing; returns whether anything was.
    fn merge(&mut self, new: &[Operation]) -> bool {
        let missing = |o: &&Operation| self.changes.iter().all(|c| c.id != o.id);
        let missing: Vec<Operation> = new.iter().filter(missing).cloned().collect();
        let grew = !missing.is_empty();
        self.changes.extend(missing);
        self.changes.sort_by_key(|c| c.revision);
        let excess = self.changes.len().saturating_sub(MAX_HISTORY);
        self.changes.drain(..excess);
        grew
    }
}

async fn read(store: &dyn Store) -> Result<(History, u64), ChangeResult> {
    match store.get(HISTORY_KEY).await {
        Ok(Some(found)) => {
            let history = serde_json::from_str(&found.value);
            Ok((history.map_err(|e| damaged(HISTORY_KEY, &e))?, found.revision))
        }
        Ok(None) => Ok((History::default(), 0)),
        Err(_) => Err(ChangeResult::StoreDown),
    }
}
