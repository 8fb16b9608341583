//! Limits the duration and the concurrency of calls to the platform's store, and
//! counts them.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervil_node::metrics::Metrics;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_platform::Versioned;
use tokio::sync::Semaphore;
use tokio::time;

/// Store with a timeout for each call and a limit on concurrent calls. A waiting
/// watch counts as a call.
pub(crate) struct BoundedStore {
    inner: Arc<dyn Store>,
    timeout: Duration,
    permits: Semaphore,
    calls: AtomicU64,
    up: AtomicBool,
    metrics: Metrics,
}

impl BoundedStore {
    pub(crate) fn new(
        inner: Arc<dyn Store>,
        timeout: Duration,
        calls: usize,
        metrics: Metrics,
    ) -> BoundedStore {
        let permits = Semaphore::new(calls.max(2));
        BoundedStore { inner, timeout, permits, calls: 0.into(), up: false.into(), metrics }
    }

    /// Number of calls so far.
    pub(crate) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// Whether the last call reached the store; false before the first call.
    pub(crate) fn is_up(&self) -> bool {
        self.up.load(Ordering::Relaxed)
    }

    async fn call<F, T>(&self, timeout: Duration, call: F) -> Result<T, StoreError>
    where
        F: Future<Output = Result<T, StoreError>> + Send,
    {
        let permit = time::timeout(self.timeout, self.permits.acquire()).await;
        let Ok(Ok(_permit)) = permit else { return Err(StoreError::Unavailable) };
        self.calls.fetch_add(1, Ordering::Relaxed);
        self.metrics.count("store.calls", 1);
        let result = time::timeout(timeout, call).await.unwrap_or(Err(StoreError::Unknown));
        let up = !matches!(result, Err(StoreError::Unavailable | StoreError::Unknown));
        self.up.store(up, Ordering::Relaxed);
        if !up {
            self.metrics.count("store.failures", 1);
        }
        result
    }
}

#[async_trait]
impl Store for BoundedStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.call(self.timeout, self.inner.get(key)).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        self.call(self.timeout, self.inner.put_if(key, expected, value)).await
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.call(self.timeout, self.inner.delete_if(key, expected)).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.call(self.timeout + wait, self.inner.watch(key, after, wait)).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.call(self.timeout, self.inner.list(prefix)).await
    }
}

/// Exponential backoff: the delay doubles with each failure, up to a maximum.
pub(crate) struct Backoff {
    min: Duration,
    max: Duration,
    next: Duration,
}

impl Backoff {
    pub(crate) fn new(min: Duration, max: Duration) -> Backoff {
        Backoff { min, max, next: min }
    }

    /// Waits for the current delay and doubles it.
    pub(crate) async fn wait(&mut self) {
        time::sleep(self.next).await;
        self.next = (self.next * 2).min(self.max);
    }

    /// Returns to the shortest delay after a success.
    pub(crate) fn reset(&mut self) {
        self.next = self.min;
    }
}
