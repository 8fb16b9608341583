//! Fakes of the platform's services for tests, with the faults that the real
//! ones have.

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
    /// Every call fails without effect.
    pub down: bool,
    /// Every call takes this long.
    pub delay: Duration,
    /// The replies to this many of the next writes are lost after the effect.
    pub lost_replies: u32,
    /// The replies to this many of the next writes are lost before the effect.
    pub lost_requests: u32,
    /// This many of the next reads return the value before the last write.
    pub stale_reads: u32,
    /// Watches never report a change.
    pub silent_watches: bool,
}

/// In-memory store.
#[derive(Debug, Default)]
pub struct FakeStore {
    state: Mutex<State>,
    changed: Notify,
}

#[derive(Debug, Default)]
struct State {
    faults: Faults,
    revision: Revision,
    values: BTreeMap<Box<str>, Versioned>,
    before: BTreeMap<Box<str>, Versioned>,
    reads: u64,
    writes: u64,
}

impl FakeStore {
    /// An empty store without faults.
    pub fn new() -> FakeStore {
        FakeStore::default()
    }

    /// Replaces the faults.
    pub fn set_faults(&self, faults: Faults) {
        self.lock().faults = faults;
    }

    /// Number of reads and waiting watches so far.
    pub fn reads(&self) -> u64 {
        self.lock().reads
    }

    /// Number of writes so far, whatever their result.
    pub fn writes(&self) -> u64 {
        self.lock().writes
    }

    /// Replaces all content by an older copy, as after a restore.
    pub fn restore(&self, values: Vec<Versioned>) {
        self.lock().values = values.into_iter().map(|v| (v.key.clone(), v)).collect();
        self.changed.notify_waiters();
    }

    /// Copy of all content.
    pub fn dump(&self) -> Vec<Versioned> {
        self.lock().values.values().cloned().collect()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn arrive(&self) -> Result<(), StoreError> {
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
        self.arrive().await?;
        let result = self.lock().write(key, expected, effect);
        self.changed.notify_waiters();
        result
    }
}

impl State {
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
            self.before.insert(key.into(), old);
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
            return self.before.get(key).cloned();
        }
        self.values.get(key).cloned()
    }
}

#[async_trait]
impl Store for FakeStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.lock().reads += 1;
        self.arrive().await?;
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
        self.arrive().await?;
        let end = time::Instant::now() + wait;
        loop {
            let changed = self.changed.notified();
            {
                let state = self.lock();
                let found = state.values.get(key).filter(|v| v.revision != after);
                if let Some(found) = found.filter(|_| !state.faults.silent_watches) {
                    return Ok(Some(found.clone()));
                }
            }
            if time::timeout_at(end, changed).await.is_err() {
                return Ok(None);
            }
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.lock().reads += 1;
        self.arrive().await?;
        let state = self.lock();
        let matching = state.values.values().filter(|v| v.key.starts_with(prefix));
        Ok(matching.map(|v| (v.key.clone(), v.revision)).collect())
    }
}

/// Host list that returns what a test sets.
#[derive(Debug, Default)]
pub struct FakeHosts {
    hosts: Mutex<Vec<ListedHost>>,
}

impl FakeHosts {
    /// Replaces the listed hosts.
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
