//! In-memory fakes of the platform's services for tests, with fault injection.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use chervil_platform::HostList;
use chervil_platform::ListedHost;
use chervil_platform::MAX_VALUE_BYTES;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_platform::Versioned;
use tokio::sync::Notify;
use tokio::time;

pub mod http;

/// Faults of a [`FakeStore`]; all are off by default.
#[derive(Clone, Debug, Default)]
pub struct Faults {
    /// Every call fails with [`StoreError::Unavailable`] and has no effect.
    pub down: bool,
    /// Delay before each call takes effect.
    pub delay: Duration,
    /// Number of following writes that take effect and fail with
    /// [`StoreError::Unknown`].
    pub lost_replies: u32,
    /// Number of following writes that take no effect and fail with
    /// [`StoreError::Unknown`].
    pub lost_requests: u32,
    /// Number of following reads that return the value before the last write.
    pub stale_reads: u32,
    /// Watches never report a change.
    pub silent_watches: bool,
}

/// In-memory key-value store.
#[derive(Debug, Default)]
pub struct FakeStore {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    /// Revision of the last write; all keys share one sequence.
    revision: Revision,
    values: BTreeMap<Box<str>, Versioned>,
    /// Values before the last write, for `stale_reads`.
    previous: BTreeMap<Box<str>, Versioned>,
    reads: u64,
    writes: u64,
}

impl FakeStore {
    /// An empty store without faults.
    pub fn new() -> FakeStore {
        FakeStore::default()
    }

    /// Replaces all faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Number of reads, listings and watches so far.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// Number of writes and deletions so far, including failed ones.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// Replaces all content, as a restore from a backup does.
    pub fn restore(&self, values: Vec<Versioned>) {
        self.lock().values = values.into_iter().map(|v| (v.key.clone(), v)).collect();
        self.changed.notify_waiters();
    }

    /// Copy of all content in the order of the keys.
    pub fn dump(&self) -> Vec<Versioned> {
        self.lock().values.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Applies the faults `delay` and `down` to a call.
    async fn begin_call(&self) -> Result<(), StoreError> {
        let faults = self.lock().faults.clone();
        if !faults.delay.is_zero() {
            time::sleep(faults.delay).await;
        }
        if faults.down { Err(StoreError::Unavailable) } else { Ok(()) }
    }

    async fn write<F>(&self, key: &str, expected: Revision, effect: F) -> Result<(), StoreError>
    where
        F: FnOnce(&mut State) + Send,
    {
        self.lock().writes += 1;
        self.begin_call().await?;
        let result = self.lock().write(key, expected, effect);
        self.changed.notify_waiters();
        result
    }
}

impl State {
    /// Compares the revision of `key` and runs `effect` with the new revision in
    /// `self.revision`.
    fn write<F>(&mut self, key: &str, expected: Revision, effect: F) -> Result<(), StoreError>
    where
        F: FnOnce(&mut State),
    {
        if self.faults.lost_requests > 0 {
            self.faults.lost_requests -= 1;
            return Err(StoreError::Unknown);
        }
        let current = self.values.get(key).map_or(0, |v| v.revision);
        if current != expected {
            return Err(StoreError::Conflict { current });
        }
        if let Some(old) = self.values.get(key).cloned() {
            self.previous.insert(key.into(), old);
        }
        self.revision += 1;
        effect(self);
        if self.faults.lost_replies > 0 {
            self.faults.lost_replies -= 1;
            return Err(StoreError::Unknown);
        }
        Ok(())
    }

    fn read(&mut self, key: &str) -> Option<Versioned> {
        if self.faults.stale_reads > 0 {
            self.faults.stale_reads -= 1;
            return self.previous.get(key).cloned();
        }
        self.values.get(key).cloned()
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.lock().reads += 1;
        self.begin_call().await?;
        Ok(self.lock().read(key))
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        let mut written = 0;
        let effect = |state: &mut State| {
            written = state.revision;
            let entry =
                Versioned { key: key.into(), value: value.into(), revision: state.revision };
            state.values.insert(key.into(), entry);
        };
        self.write(key, expected, effect).await?;
        Ok(written)
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.write(key, expected, |state| {
            state.values.remove(key);
        })
        .await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.lock().reads += 1;
        self.begin_call().await?;
        let deadline = time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                let found = state.values.get(key).filter(|v| v.revision != after);
                if let Some(found) = found.filter(|_| !state.faults.silent_watches) {
                    return Ok(Some(found.clone()));
                }
            }
            if time::timeout_at(deadline, changed).await.is_err() {
                return Ok(None);
            }
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.lock().reads += 1;
        self.begin_call().await?;
        let state = self.lock();
        let matching = state.values.values().filter(|v| v.key.starts_with(prefix));
        Ok(matching.map(|v| (v.key.clone(), v.revision)).collect())
    }
}

/// In-memory host list.
#[derive(Debug, Default)]
pub struct FakeHosts {
    hosts: Mutex<Vec<ListedHost>>,
}

impl FakeHosts {
    /// Replaces the list.
    pub fn set_hosts(&self, hosts: Vec<ListedHost>) {
        *self.hosts.lock().unwrap_or_else(PoisonError::into_inner) = hosts;
    }
}

#[async_trait]
impl HostList for FakeHosts {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        Ok(self.hosts.lock().unwrap_or_else(PoisonError::into_inner).clone())
    }
}
