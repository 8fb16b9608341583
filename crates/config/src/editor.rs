//! Carries out changes in the store by compare-and-swap.

use std::time::Duration;
use std::time::UNIX_EPOCH;

use chervil_base::clock::Clock;
use chervil_base::value;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::ConfigRecord;
use chervil_rpc::agent::PullReply;
use tokio::time;

use crate::change::Change;
use crate::change::Prepared;
use crate::draft::Author;
use crate::draft::Draft;
use crate::draft::Step;
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

/// Times that a change is drafted anew because something unrelated changed.
const MAX_DRAFTS: usize = 16;

value! {
    /// How long to try to learn what became of a change.
    pub struct EditorSettings {
        /// Attempts at one step before its result is given up as unknown.
        pub attempts: usize,
        /// Pause after the first attempt; it doubles up to sixteen times this.
        pub pause: Duration,
    }
}

impl Default for EditorSettings {
    fn default() -> EditorSettings {
        EditorSettings { attempts: 9, pause: Duration::from_millis(50) }
    }
}

impl EditorSettings {
    /// Waits after a failed attempt, counted from 0.
    pub(crate) async fn pause(&self, attempt: usize) {
        time::sleep(self.pause * (1 << attempt.min(4))).await;
    }
}

/// Changes the configuration on behalf of one operator.
pub struct Editor<'a> {
    store: &'a dyn Store,
    clock: &'a dyn Clock,
    operator: Box<str>,
    settings: EditorSettings,
    hosts_at: u64,
    repeats: bool,
}

/// A head as the store holds it.
struct Base {
    head: Head,
    text: Box<str>,
    /// Revision of the key; 0 when there is no head yet.
    key_revision: Revision,
}

/// What became of a compare-and-swap.
enum Swap {
    /// The head is the drafted one, which contains this operation.
    Done(Operation),
    /// The head is another one, and the drafted one never was and never will be.
    Other(Base),
}

/// What became of the records of a draft.
enum Written {
    Done,
    /// A key of this revision holds something else.
    Taken,
}

impl<'a> Editor<'a> {
    /// Creates an editor for `operator`.
    pub fn new(
        store: &'a dyn Store,
        clock: &'a dyn Clock,
        operator: &str,
        settings: EditorSettings,
    ) -> Editor<'a> {
        Editor { store, clock, operator: operator.into(), settings, hosts_at: 0, repeats: false }
    }

    /// Refuses changes when the store's revision is lower than `revision`, the
    /// highest one that a host holds: the store came back with older data, and
    /// hosts would ignore the change or mix two histories.
    pub fn hosts_at(self, revision: u64) -> Editor<'a> {
        Editor { hosts_at: revision, ..self }
    }

    /// Looks into the history for an earlier run with the same operation id,
    /// which the head may no longer list.
    pub fn repeats(self, repeats: bool) -> Editor<'a> {
        Editor { repeats, ..self }
    }

    /// Makes a change. `operation` identifies it; repeating a change with the
    /// same id has no further effect.
    pub async fn change(&self, change: &Change, operation: &str) -> ChangeResult {
        let result = self.run(change, operation).await.unwrap_or_else(|refused| refused);
        match result {
            ChangeResult::Unknown { .. } => ChangeResult::Unknown { operation: operation.into() },
            known => known,
        }
    }

    async fn run(&self, change: &Change, given: &str) -> Result<ChangeResult, ChangeResult> {
        let change = &change.prepare()?;
        let author = &self.author(&change.operation_id(given));
        let id = &author.id;
        let mut base = self.read_head().await?;
        if base.head.revision < self.hosts_at {
            let store = base.head.revision;
            return Err(ChangeResult::StoreOlder { store, hosts: self.hosts_at });
        }
        if let Some(done) = self.find_earlier(id).await? {
            return Ok(accepted(done, PullReply::default()));
        }
        let mut offset = 1;
        for _ in 0..MAX_DRAFTS {
            if let Some(done) = base.head.operation(id) {
                return Ok(accepted(done.clone(), PullReply::default()));
            }
            let Some(found) = self.fetch(&base, change).await? else {
                base = self.reread(base, change).await?;
                continue;
            };
            let revision = change.floor(&base.head) + offset;
            let step = Step { head: &base.head, author, revision };
            let draft = match change.draft(&found, &step) {
                Ok(draft) => draft,
                Err(ChangeResult::Unchanged { revision }) => {
                    match self.confirm(&base).await? {
                        None => return Ok(ChangeResult::Unchanged { revision }),
                        Some(current) => base = self.rebase(base, current, change)?,
                    }
                    continue;
                }
                Err(refused) => return Err(refused),
            };
            if let Written::Taken = self.write_records(&draft.records).await? {
                offset += 1;
                continue;
            }
            if !draft.archive.is_empty() {
                history::append(self.store, &draft.archive, &self.settings).await?;
            }
            match self.swap(&base, &draft.head, id).await? {
                Swap::Done(operation) => return Ok(self.finish(operation, draft).await),
                Swap::Other(current) => base = self.rebase(base, current, change)?,
            }
            offset = 1;
        }
        Err(ChangeResult::LostRace { revision: base.head.revision, changes: Vec::new() })
    }

    async fn fetch(
        &self,
        base: &Base,
        change: &Prepared<'_>,
    ) -> Result<Option<Vec<ConfigRecord>>, ChangeResult> {
        let needs = change.needs(&base.head);
        fetch_records(self.store, needs).await.map_err(|_| ChangeResult::StoreDown)
    }

    async fn find_earlier(&self, id: &str) -> Result<Option<Operation>, ChangeResult> {
        if !self.repeats {
            return Ok(None);
        }
        let history = history::read_history(self.store).await?;
        Ok(history.into_iter().find(|o| &*o.id == id))
    }

    fn author(&self, id: &str) -> Author {
        let now = self.clock.wall_time().duration_since(UNIX_EPOCH).unwrap_or_default();
        let now_ms = u64::try_from(now.as_millis()).unwrap_or(u64::MAX);
        Author { id: id.into(), operator: self.operator.clone(), now_ms }
    }

    async fn finish(&self, operation: Operation, draft: Draft) -> ChangeResult {
        if operation.revision != draft.head.revision {
            // An earlier run with the same id took effect, and this one did not.
            return accepted(operation, PullReply::default());
        }
        if draft.sweeps {
            // A sweep that fails is repeated by a later change.
            let _ = sweep::sweep(self.store, &draft.head, operation.time_ms).await;
        }
        let head = serde_json::to_string(&draft.head).ok().map(Into::into);
        accepted(operation, PullReply { head, records: draft.records, members: None })
    }

    /// Continues on top of another head, unless that touched the same part.
    fn rebase(&self, old: Base, new: Base, change: &Prepared<'_>) -> Result<Base, ChangeResult> {
        if !change.conflicts(&old.head, &new.head) {
            return Ok(new);
        }
        let after = |o: &&Operation| o.revision > old.head.revision;
        let changes = new.head.operations.iter().filter(after).cloned().collect();
        Err(ChangeResult::LostRace { revision: new.head.revision, changes })
    }

    /// Reads again after a record of `old` was missing: the head or the record
    /// was a stale read.
    async fn reread(&self, old: Base, change: &Prepared<'_>) -> Result<Base, ChangeResult> {
        self.settings.pause(0).await;
        let new = self.read_head().await?;
        self.rebase(old, new, change)
    }

    async fn read_head(&self) -> Result<Base, ChangeResult> {
        let found = self.store.get(HEAD_KEY).await.map_err(|_| ChangeResult::StoreDown)?;
        let Some(found) = found else {
            return Ok(Base { head: Head::default(), text: "".into(), key_revision: 0 });
        };
        let head = serde_json::from_str(&found.value).map_err(|e| damaged(HEAD_KEY, &e))?;
        Ok(Base { head, text: found.value, key_revision: found.revision })
    }

    /// Proves that `base` is not a stale read, by writing it back unchanged.
    /// Returns the current head if it is another one.
    async fn confirm(&self, base: &Base) -> Result<Option<Base>, ChangeResult> {
        for attempt in 0..self.settings.attempts {
            match self.store.put_if(HEAD_KEY, base.key_revision, &base.text).await {
                Ok(_) => return Ok(None),
                Err(StoreError::Conflict { current }) => {
                    let now = self.read_at_least(current).await;
                    let now = now.unwrap_or(Err(ChangeResult::StoreDown))?;
                    // An earlier attempt may have taken effect.
                    return Ok(Some(now).filter(|n| n.head != base.head));
                }
                Err(StoreError::Unknown) => self.settings.pause(attempt).await,
                Err(_) => break,
            }
        }
        // The head is the same whether or not an attempt took effect.
        Err(ChangeResult::StoreDown)
    }

    /// Reads the head until it is not older than `revision` of the key.
    async fn read_at_least(&self, revision: Revision) -> Option<Result<Base, ChangeResult>> {
        for attempt in 0..self.settings.attempts {
            if attempt > 0 {
                self.settings.pause(attempt - 1).await;
            }
            match self.read_head().await {
                Ok(base) if base.key_revision >= revision => return Some(Ok(base)),
                Err(damaged @ ChangeResult::Damaged { .. }) => return Some(Err(damaged)),
                _ => {}
            }
        }
        None
    }

    async fn write_records(&self, records: &[ConfigRecord]) -> Result<Written, ChangeResult> {
        for record in records {
            if let Written::Taken = self.write_record(record).await? {
                return Ok(Written::Taken);
            }
        }
        Ok(Written::Done)
    }

    async fn write_record(&self, record: &ConfigRecord) -> Result<Written, ChangeResult> {
        let key = record_key(&record.name, record.revision);
        for attempt in 0..self.settings.attempts {
            match self.store.put_if(&key, 0, &record.body).await {
                Ok(_) => return Ok(Written::Done),
                Err(StoreError::TooLarge { size }) => return Err(ChangeResult::TooLarge { size }),
                Err(StoreError::Unavailable) => return Err(ChangeResult::StoreDown),
                Err(StoreError::Unknown) => self.settings.pause(attempt).await,
                Err(StoreError::Conflict { .. }) => {
                    // An earlier attempt may have written it.
                    let found = self.store.get(&key).await.map_err(|_| ChangeResult::StoreDown)?;
                    let same = found.is_some_and(|f| f.value == record.body);
                    return Ok(if same { Written::Done } else { Written::Taken });
                }
            }
        }
        // The head was not touched, so that nothing changed.
        Err(ChangeResult::StoreDown)
    }

    /// Replaces the head of `base`. A lost reply is resolved by repeating the
    /// compare-and-swap: it succeeds, or the head has changed and tells by its
    /// operations whether an earlier attempt took effect.
    async fn swap(&self, base: &Base, next: &Head, id: &str) -> Result<Swap, ChangeResult> {
        let text = serde_json::to_string(next).map_err(|e| damaged(HEAD_KEY, &e))?;
        let unknown = || ChangeResult::Unknown { operation: id.into() };
        let mut sent = false;
        for attempt in 0..self.settings.attempts {
            match self.store.put_if(HEAD_KEY, base.key_revision, &text).await {
                Ok(_) => {
                    let done = next.operation(id).cloned();
                    return done.map(Swap::Done).ok_or_else(unknown);
                }
                Err(StoreError::TooLarge { size }) => return Err(ChangeResult::TooLarge { size }),
                Err(StoreError::Unavailable) if !sent => return Err(ChangeResult::StoreDown),
                Err(StoreError::Unavailable) => {}
                Err(StoreError::Unknown) => sent = true,
                Err(StoreError::Conflict { current }) => {
                    return match self.read_at_least(current).await {
                        Some(Ok(now)) => self.resolve(base, now, id).await,
                        _ => Err(unknown()),
                    };
                }
            }
            self.settings.pause(attempt).await;
        }
        Err(unknown())
    }

    /// Decides by the operations since `base` whether `id` took effect.
    async fn resolve(&self, base: &Base, now: Base, id: &str) -> Result<Swap, ChangeResult> {
        if let Some(done) = now.head.operation(id) {
            return Ok(Swap::Done(done.clone()));
        }
        if now.head.revision < base.head.revision {
            // The store came back older; what it had accepted is lost to it.
            return Err(ChangeResult::Unknown { operation: id.into() });
        }
        if reaches_back(&now.head.operations, base.head.revision) {
            return Ok(Swap::Other(now));
        }
        let history = history::read_history(self.store).await.unwrap_or_default();
        if let Some(done) = history.iter().find(|o| &*o.id == id) {
            return Ok(Swap::Done(done.clone()));
        }
        if reaches_back(&history, base.head.revision) {
            return Ok(Swap::Other(now));
        }
        Err(ChangeResult::Unknown { operation: id.into() })
    }
}

/// Whether `operations` contains all operations after `revision`: they are
/// dropped from the oldest on, and the first one of all follows revision 0.
fn reaches_back(operations: &[Operation], revision: u64) -> bool {
    operations.first().is_some_and(|o| o.revision <= revision + 1)
}

fn accepted(operation: Operation, delta: PullReply) -> ChangeResult {
    ChangeResult::Accepted(Box::new(Accepted { operation, delta }))
}
