//! Store in which another operator's change comes between reading and writing.

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

/// Makes `others` right before the first writes of the head, one change each.
pub struct Overtaken<'a> {
    inner: &'a FakeStore,
    others: Mutex<Vec<Change>>,
    /// Whether the overtaken write's reply is lost as well.
    silent: bool,
}

impl<'a> Overtaken<'a> {
    pub fn new(inner: &'a FakeStore, others: Vec<Change>) -> Overtaken<'a> {
        Overtaken { inner, others: Mutex::new(others), silent: false }
    }

    /// As `new`, but the changes come after a write whose reply gets lost.
    pub fn after_lost_reply(inner: &'a FakeStore, others: Vec<Change>) -> Overtaken<'a> {
        Overtaken { inner, others: Mutex::new(others), silent: true }
    }

    async fn overtake(&self) {
        let next = self.others.lock().unwrap().pop();
        if let Some(change) = next {
            let id = format!("other-{}", self.inner.writes());
            super::revision(&super::change(self.inner, &change, &id).await);
        }
    }

    async fn overtake_all(&self) {
        while !self.others.lock().unwrap().is_empty() {
            self.overtake().await;
        }
    }
}

#[async_trait]
impl Store for Overtaken<'_> {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.inner.get(key).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        if key != HEAD_KEY || self.others.lock().unwrap().is_empty() {
            return self.inner.put_if(key, expected, value).await;
        }
        if self.silent {
            let _ = self.inner.put_if(key, expected, value).await;
            self.overtake_all().await;
            return Err(StoreError::Unknown);
        }
        self.overtake().await;
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
