//! Store in which another operator makes changes between the read and the write
//! of a compare-and-swap.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervil_config::Change;
use chervil_config::HEAD_KEY;
use chervil_fakes::FakeStore;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_platform::Versioned;

/// Wrapper of a fake store that makes concurrent changes when the head is
/// written: one of them right before each write, until none is left.
pub struct RacingStore<'a> {
    inner: &'a FakeStore,
    /// Changes to be made; the last one is made first.
    concurrent: Mutex<Vec<Change>>,
    /// Whether instead the first write takes effect, all changes follow it, and
    /// then its reply is lost.
    lose_reply: bool,
}

impl<'a> RacingStore<'a> {
    pub fn new(inner: &'a FakeStore, concurrent: Vec<Change>) -> RacingStore<'a> {
        RacingStore { inner, concurrent: Mutex::new(concurrent), lose_reply: false }
    }

    /// Like `new`, but the first write takes effect, its reply is lost, and all
    /// changes are made before the caller learns that.
    pub fn after_lost_reply(inner: &'a FakeStore, concurrent: Vec<Change>) -> RacingStore<'a> {
        RacingStore { inner, concurrent: Mutex::new(concurrent), lose_reply: true }
    }

    async fn make_next_change(&self) {
        let next = self.concurrent.lock().unwrap().pop();
        if let Some(change) = next {
            let id = format!("other-{}", self.inner.writes());
            super::accepted_revision(&super::make_change(self.inner, &change, &id).await);
        }
    }

    async fn make_all_changes(&self) {
        while !self.concurrent.lock().unwrap().is_empty() {
            self.make_next_change().await;
        }
    }
}

#[async_trait]
impl Store for RacingStore<'_> {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.inner.get(key).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        if key != HEAD_KEY || self.concurrent.lock().unwrap().is_empty() {
            return self.inner.put_if(key, expected, value).await;
        }
        if self.lose_reply {
            let _ = self.inner.put_if(key, expected, value).await;
            self.make_all_changes().await;
            return Err(StoreError::Unknown);
        }
        self.make_next_change().await;
        self.inner.put_if(key, expected, value).await
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.inner.delete_if(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.inner.watch(key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.inner.list(prefix).await
    }
}
