//! At-most-once execution of non-idempotent work.
//!
//! Work is run only after its idempotency key has been claimed. Every key
//! belongs to a bucket, a value in the platform's store, and a claim is granted
//! only after a compare-and-swap has written it there. Any host may write it;
//! no lease is involved.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::clock::Clock;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::SettleRequest;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::sync::oneshot;
use tokio::time;

use crate::bucket_queue::Action;
use crate::bucket_queue::BucketQueue;
use crate::bucket_queue::Operation;
use crate::bucket_queue::Reply;

pub mod batch;
pub mod bucket;
mod bucket_queue;
pub mod key;
mod write;

pub use crate::key::KeyError;
pub use crate::key::bucket_of;

/// Time for which a bucket is kept after the retention period of its keys, in
/// case the clocks of the hosts differ.
const SWEEP_DELAY: Duration = Duration::from_secs(600);

/// Settings of [`Claims`].
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Mean time between the writes of a busy bucket.
    ///
    /// It limits the writes of all hosts to [`key::BUCKETS_PER_HOUR`] in this
    /// time, which is 640/s with the default; the store sustains several hundred.
    pub write_interval: Duration,
    /// Attempts to write a batch before its operations are refused.
    pub max_attempts: u32,
    /// Mean backoff before the first retry of a write; doubles with each retry.
    pub initial_backoff: Duration,
}

impl Default for ClaimSettings {
    fn default() -> ClaimSettings {
        ClaimSettings {
            write_interval: Duration::from_millis(200),
            max_attempts: 6,
            initial_backoff: Duration::from_millis(5),
        }
    }
}

/// Claims keys and records outcomes on behalf of one host.
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    settings: ClaimSettings,
    rng: Mutex<StdRng>,
    /// Queues by the store keys of their buckets.
    queues: Mutex<HashMap<Box<str>, Arc<BucketQueue>>>,
}

impl Claims {
    /// Keeps the claims in `store`; `seed` randomizes the backoff of retries.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        settings: ClaimSettings,
        seed: u64,
    ) -> Claims {
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        Claims { store, clock, settings, rng, queues: Mutex::default() }
    }

    /// Claims a key.
    ///
    /// A call with the same nonce repeats the same claim, so it may be sent to a
    /// second host when the first does not answer. The claimant must run the
    /// work at most once, even if it receives several grants.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let wall_time = self.clock.wall_time();
        let bucket = key::validate(&request.key, wall_time).and_then(|()| bucket_of(&request.key));
        let bucket = match bucket {
            Ok(bucket) => bucket,
            Err(e) => return ClaimReply::Invalid { remedy: e.to_string().into() },
        };
        let timeout = Duration::from_millis(request.timeout_ms.into());
        let deadline_ms = key::unix_ms(wall_time) + u64::from(request.timeout_ms);
        let action = Action::Claim { digest: request.digest, deadline_ms };
        let submitted = self.submit(bucket, request.key, request.nonce, action);
        match time::timeout(timeout, submitted).await {
            Ok(Ok(reply)) => reply,
            // Without a grant the caller does not run the work, so "not run" is
            // true even if the claim takes effect later.
            Ok(Err(_)) | Err(_) => ClaimReply::Unavailable,
        }
    }

    /// Records the outcome of claimed work. Does nothing if another attempt has
    /// replaced the claim.
    ///
    /// On a store error, the outcome is kept in memory and retried with the next
    /// write of its bucket or by [`Claims::sweep`].
    pub async fn settle(&self, request: SettleRequest) -> Result<(), StoreError> {
        let Ok(bucket) = bucket_of(&request.key) else {
            // A malformed key was never claimed.
            return Ok(());
        };
        let action = Action::Settle(request.outcome);
        self.submit(bucket, request.key, request.nonce, action).await.map(drop)
    }

    /// Deletes the buckets whose keys have all expired; returns their number.
    /// Also records pending outcomes, and drops the caches of all buckets that
    /// are not in use.
    pub async fn sweep(&self) -> Result<usize, StoreError> {
        let limit = self.clock.wall_time() - key::RETENTION - SWEEP_DELAY;
        let expired = |name: &str| key::bucket_end(name).is_some_and(|end| end < limit);
        self.write_pending().await;
        self.queues().retain(|name, queue| {
            let pending = queue.writer.try_lock().map_or(true, |state| !state.pending.is_empty());
            Arc::strong_count(queue) > 1 || pending && !expired(name)
        });
        let mut deleted = 0;
        for (name, revision) in self.store.list(key::BUCKET_PREFIX).await? {
            if expired(&name) {
                match self.store.delete_if(&name, revision).await {
                    Ok(()) => deleted += 1,
                    // Another host is sweeping as well.
                    Err(StoreError::Conflict { .. }) => {}
                    Err(e) => return Err(e),
                }
            }
        }
        Ok(deleted)
    }

    async fn write_pending(&self) {
        let queues: Vec<Arc<BucketQueue>> = self.queues().values().cloned().collect();
        for queue in queues {
            // If the lock is held, the bucket is being written already.
            if let Ok(mut state) = queue.writer.try_lock()
                && !state.pending.is_empty()
            {
                self.write_batch(&queue, &mut state).await;
            }
        }
    }

    async fn submit(&self, bucket: Box<str>, key: Box<str>, nonce: u64, action: Action) -> Reply {
        let queue = self.queue(bucket);
        let (reply, mut replied) = oneshot::channel();
        queue.push(Operation { key, nonce, action, reply });
        let mut state = tokio::select! {
            biased;
            reply = &mut replied => return reply.unwrap_or(Err(StoreError::Unavailable)),
            state = queue.writer.lock() => state,
        };
        // The previous writer may have included this operation in its batch.
        if let Ok(reply) = replied.try_recv() {
            return reply;
        }
        self.write_batch(&queue, &mut state).await;
        drop(state);
        replied.await.unwrap_or(Err(StoreError::Unavailable))
    }

    fn queue(&self, bucket: Box<str>) -> Arc<BucketQueue> {
        let mut queues = self.queues();
        let queue =
            queues.entry(bucket.clone()).or_insert_with(|| Arc::new(BucketQueue::new(bucket)));
        queue.clone()
    }

    fn queues(&self) -> MutexGuard<'_, HashMap<Box<str>, Arc<BucketQueue>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
