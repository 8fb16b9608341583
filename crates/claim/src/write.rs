//! Writes batches of operations into the store, with a rate limit and retries.

use std::sync::PoisonError;
use std::time::Duration;

use chervil_platform::StoreError;
use rand::RngExt as _;
use tokio::time;

use crate::Claims;
use crate::batch;
use crate::bucket::Bucket;
use crate::bucket_queue::Batch;
use crate::bucket_queue::BucketQueue;
use crate::bucket_queue::CachedBucket;
use crate::bucket_queue::Reply;
use crate::bucket_queue::WriterState;

/// Writes that an idle bucket may get in a row without waiting: those of two
/// claims and of their outcomes.
const WRITE_BURST: u32 = 4;

/// Result of one attempt to write a batch.
enum Attempt {
    /// The batch is applied; the replies can be sent.
    Done(Vec<Reply>),
    /// The cached bucket was stale, or it is unknown whether the write took
    /// effect; the bucket must be read again.
    Reread(StoreError),
    /// The store is unavailable or the bucket unreadable; nothing was written.
    Failed(StoreError),
}

impl Claims {
    /// Writes all waiting operations and pending outcomes of a bucket, and replies
    /// to the operations.
    pub(crate) async fn write_batch(&self, queue: &BucketQueue, state: &mut WriterState) {
        self.limit_rate(state).await;
        let batch = queue.take_batch();
        if batch.operations().is_empty() && state.pending.is_empty() {
            return;
        }
        let mut fresh = false;
        let mut unknown = false;
        for attempt in 0..self.settings.max_attempts {
            if attempt > 0 {
                self.back_off(attempt).await;
            }
            match self.try_write(queue, state, &batch, &mut fresh).await {
                Attempt::Done(replies) => {
                    state.pending.clear();
                    return batch.reply(replies);
                }
                Attempt::Reread(error) => {
                    fresh = false;
                    state.cached = None;
                    unknown |= error == StoreError::Unknown;
                }
                Attempt::Failed(error) => {
                    unknown |= error == StoreError::Unknown;
                    break;
                }
            }
        }
        state.keep_outcomes(batch.operations());
        batch.fail(if unknown { &StoreError::Unknown } else { &StoreError::Unavailable });
    }

    async fn try_write(
        &self,
        queue: &BucketQueue,
        state: &mut WriterState,
        batch: &Batch<'_>,
        fresh: &mut bool,
    ) -> Attempt {
        loop {
            let cached = match state.cached.take() {
                Some(cached) => cached,
                None => match self.read(queue).await {
                    Ok(cached) => {
                        *fresh = true;
                        cached
                    }
                    Err(e) => return Attempt::Failed(e),
                },
            };
            let effect = batch::apply(
                &cached.bucket,
                &state.pending,
                batch.operations(),
                self.clock.wall_time(),
            );
            if effect.needs_fresh_read && !*fresh {
                // The cache was emptied above, so the next iteration reads.
                continue;
            }
            if !effect.changed {
                state.cached = Some(cached);
                return Attempt::Done(effect.replies);
            }
            let Ok(text) = serde_json::to_string(&effect.bucket) else {
                return Attempt::Failed(StoreError::Unavailable);
            };
            return match self.store.put_if(&queue.name, cached.revision, &text).await {
                Ok(revision) => {
                    state.cached = Some(CachedBucket { revision, bucket: effect.bucket });
                    Attempt::Done(effect.replies)
                }
                // The next read shows whether the write took effect: the nonces
                // of the batch are in the bucket or they are not.
                Err(e @ (StoreError::Conflict { .. } | StoreError::Unknown)) => Attempt::Reread(e),
                Err(e) => Attempt::Failed(e),
            };
        }
    }

    async fn read(&self, queue: &BucketQueue) -> Result<CachedBucket, StoreError> {
        let Some(found) = self.store.get(&queue.name).await? else {
            return Ok(CachedBucket::default());
        };
        // A bucket that cannot be parsed may hold claims, so nothing may be
        // granted from it.
        let bucket = Bucket::parse(&found.value).map_err(|_| StoreError::Unavailable)?;
        Ok(CachedBucket { revision: found.revision, bucket })
    }

    /// Waits until the rate limit of the bucket permits a write.
    async fn limit_rate(&self, state: &mut WriterState) {
        let interval = self.settings.write_interval;
        let now = self.clock.now();
        let next_write = state.next_write.unwrap_or(now).max(now);
        let wait =
            next_write.saturating_duration_since(now + interval * (WRITE_BURST - 1)).min(interval);
        if !wait.is_zero() {
            time::sleep(wait).await;
        }
        state.next_write = Some(next_write + interval);
    }

    /// Sleeps for a random share of a time that doubles with each attempt.
    async fn back_off(&self, attempt: u32) {
        let limit = self.settings.initial_backoff * (1 << attempt.min(6));
        let share = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random::<f64>();
        time::sleep(Duration::from_secs_f64(limit.as_secs_f64() * share)).await;
    }
}
