//! Store whose calls interleave and fail by a seeded plan.

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

/// Most other tasks' steps that can come before a call.
const MAX_YIELDS: u32 = 6;

/// Write that reaches the store after its caller got no reply.
struct Late {
    key: Box<str>,
    expected: Revision,
    value: Box<str>,
}

struct Plan {
    rng: SmallRng,
    /// Share of calls that fail, in percent.
    faulty: u32,
    late: Vec<Late>,
}

/// Wraps a fake store.
pub struct Stepped<'a> {
    inner: &'a FakeStore,
    plan: Mutex<Plan>,
}

/// What happens to one call.
#[derive(Clone, Copy, PartialEq)]
enum Fate {
    Good,
    Down,
    LostReply,
    LostRequest,
    StaleRead,
    Late,
}

impl<'a> Stepped<'a> {
    pub fn new(inner: &'a FakeStore, seed: u64, faulty: u32) -> Stepped<'a> {
        let plan = Plan { rng: SmallRng::seed_from_u64(seed), faulty, late: Vec::new() };
        Stepped { inner, plan: Mutex::new(plan) }
    }

    /// Lets late writes arrive and stops all faults.
    pub async fn settle(&self) {
        self.plan.lock().unwrap().faulty = 0;
        self.inner.set_faults(Faults::default());
        self.deliver(usize::MAX).await;
    }

    async fn deliver(&self, most: usize) {
        let arriving: Vec<Late> = {
            let late = &mut self.plan.lock().unwrap().late;
            let count = late.len().min(most);
            late.drain(..count).collect()
        };
        for w in arriving {
            let _ = self.inner.put_if(&w.key, w.expected, &w.value).await;
        }
    }

    /// Lets other tasks run, then draws the fate of the call.
    async fn step(&self) -> Fate {
        let (yields, arrivals, fate) = {
            let plan = &mut *self.plan.lock().unwrap();
            let fate = if plan.rng.random_range(0..100) >= plan.faulty {
                Fate::Good
            } else {
                use Fate::*;
                [Down, LostReply, LostRequest, StaleRead, Late][plan.rng.random_range(0..5)]
            };
            (plan.rng.random_range(0..=MAX_YIELDS), plan.rng.random_range(0..2), fate)
        };
        for _ in 0..yields {
            tokio::task::yield_now().await;
        }
        self.deliver(arrivals).await;
        self.inner.set_faults(Faults {
            down: fate == Fate::Down,
            lost_replies: u32::from(fate == Fate::LostReply),
            lost_requests: u32::from(fate == Fate::LostRequest),
            stale_reads: u32::from(fate == Fate::StaleRead),
            ..Faults::default()
        });
        fate
    }
}

#[async_trait]
impl Store for Stepped<'_> {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.step().await;
        self.inner.get(key).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        if self.step().await == Fate::Late {
            let late = Late { key: key.into(), expected, value: value.into() };
            self.plan.lock().unwrap().late.push(late);
            return Err(StoreError::Unknown);
        }
        self.inner.put_if(key, expected, value).await
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.step().await;
        self.inner.delete_if(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.step().await;
        self.inner.watch(key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.step().await;
        self.inner.list(prefix).await
    }
}
