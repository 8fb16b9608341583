//! Store that interleaves the calls of concurrent tasks and injects faults,
//! both by a seeded random generator.

use std::sync::Mutex;
use std::time::Duration;

use async_trait::async_trait;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_platform::Versioned;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

/// Maximum number of times that a task yields to others before a call.
const MAX_YIELDS: u32 = 6;

/// Write that reaches the store only after its caller was told that the reply
/// is lost.
struct DelayedWrite {
    key: Box<str>,
    expected: Revision,
    value: Box<str>,
}

struct FaultState {
    rng: SmallRng,
    /// Percentage of calls with a fault.
    fault_percent: u32,
    /// Writes that have not arrived yet, oldest first.
    delayed: Vec<DelayedWrite>,
}

/// Wrapper of a fake store.
pub struct FaultyStore<'a> {
    inner: &'a FakeStore,
    state: Mutex<FaultState>,
}

/// What happens to one call.
#[derive(Clone, Copy, PartialEq)]
enum CallOutcome {
    Normal,
    Down,
    LostReply,
    LostRequest,
    StaleRead,
    DelayedWrite,
}

impl<'a> FaultyStore<'a> {
    pub fn new(inner: &'a FakeStore, seed: u64, fault_percent: u32) -> FaultyStore<'a> {
        let state =
            FaultState { rng: SmallRng::seed_from_u64(seed), fault_percent, delayed: Vec::new() };
        FaultyStore { inner, state: Mutex::new(state) }
    }

    /// Stops all faults and delivers the delayed writes.
    pub async fn heal(&self) {
        self.state.lock().unwrap().fault_percent = 0;
        self.inner.set_faults(Faults::default());
        self.deliver_delayed(usize::MAX).await;
    }

    /// Delivers up to `max` delayed writes, the oldest first.
    async fn deliver_delayed(&self, max: usize) {
        let arriving: Vec<DelayedWrite> = {
            let delayed = &mut self.state.lock().unwrap().delayed;
            let count = delayed.len().min(max);
            delayed.drain(..count).collect()
        };
        for w in arriving {
            let _ = self.inner.put_if(&w.key, w.expected, &w.value).await;
        }
    }

    /// Draws the outcome of the next call, yields to other tasks, and sets the
    /// faults of the inner store accordingly.
    async fn next_call(&self) -> CallOutcome {
        let (yields, arrivals, outcome) = {
            let state = &mut *self.state.lock().unwrap();
            let outcome = if state.rng.random_range(0..100) >= state.fault_percent {
                CallOutcome::Normal
            } else {
                use CallOutcome::*;
                [Down, LostReply, LostRequest, StaleRead, DelayedWrite]
                    [state.rng.random_range(0..5)]
            };
            (state.rng.random_range(0..=MAX_YIELDS), state.rng.random_range(0..2), outcome)
        };
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        self.deliver_delayed(arrivals).await;
        self.inner.set_faults(Faults {
            down: outcome == CallOutcome::Down,
            lost_replies: u32::from(outcome == CallOutcome::LostReply),
            lost_requests: u32::from(outcome == CallOutcome::LostRequest),
            stale_reads: u32::from(outcome == CallOutcome::StaleRead),
            ..Faults::default()
        });
        outcome
    }
}

#[async_trait]
impl Store for FaultyStore<'_> {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.next_call().await;
        self.inner.get(key).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        if self.next_call().await == CallOutcome::DelayedWrite {
            let delayed = DelayedWrite { key: key.into(), expected, value: value.into() };
            self.state.lock().unwrap().delayed.push(delayed);
            return Err(StoreError::Unknown);
        }
        self.inner.put_if(key, expected, value).await
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.next_call().await;
        self.inner.delete_if(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.next_call().await;
        self.inner.watch(key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.next_call().await;
        self.inner.list(prefix).await
    }
}
