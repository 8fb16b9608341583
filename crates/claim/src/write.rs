//! Writing a batch into the store.

use std::sync::PoisonError;
use std::time::Duration;

use chervil_platform::StoreError;
use rand::RngExt as _;
use tokio::time;

use crate::Claims;
use crate::batch;
use crate::bucket::Bucket;
use crate::lane::Batch;
use crate::lane::Copy;
use crate::lane::Held;
use crate::lane::Lane;
use crate::lane::Reply;

/// Writes that an idle bucket may have without a pause: those of two claims
/// and of the outcomes of their work.
const BURST: u32 = 4;

/// What became of one try.
enum Step {
    /// Replies can be sent.
    Done(Vec<Reply>),
    /// The copy is out of date, or the fate of the write is not known.
    Reread(StoreError),
    /// The store cannot be reached; nothing was written.
    Failed(StoreError),
}

impl Claims {
    /// Serves everything that waits in a lane.
    pub(crate) async fn write(&self, lane: &Lane, held: &mut Held) {
        self.pace(held).await;
        let batch = lane.take();
        if batch.operations().is_empty() && held.late.is_empty() {
            return;
        }
        let mut fresh = false;
        let mut unknown = false;
        for attempt in 0..self.settings.attempts {
            if attempt > 0 {
                self.pause(attempt).await;
            }
            match self.try_write(lane, held, &batch, &mut fresh).await {
                Step::Done(replies) => {
                    held.late.clear();
                    return batch.reply(replies);
                }
                Step::Reread(error) => {
                    fresh = false;
                    held.copy = None;
                    unknown |= error == StoreError::Unknown;
                }
                Step::Failed(error) => {
                    unknown |= error == StoreError::Unknown;
                    break;
                }
            }
        }
        held.keep(batch.operations());
        batch.fail(if unknown { &StoreError::Unknown } else { &StoreError::Unavailable });
    }

    async fn try_write(
        &self,
        lane: &Lane,
        held: &mut Held,
        batch: &Batch<'_>,
        fresh: &mut bool,
    ) -> Step {
        loop {
            let copy = match held.copy.take() {
                Some(copy) => copy,
                None => match self.read(lane).await {
                    Ok(copy) => {
                        *fresh = true;
                        copy
                    }
                    Err(e) => return Step::Failed(e),
                },
            };
            let effect =
                batch::apply(&copy.bucket, &held.late, batch.operations(), self.clock.wall_time());
            if effect.volatile && !*fresh {
                // The copy was taken above, so that the next round reads.
                continue;
            }
            if !effect.changed {
                held.copy = Some(copy);
                return Step::Done(effect.replies);
            }
            let Ok(text) = serde_json::to_string(&effect.bucket) else {
                return Step::Failed(StoreError::Unavailable);
            };
            return match self.store.put_if(&lane.name, copy.revision, &text).await {
                Ok(revision) => {
                    held.copy = Some(Copy { revision, bucket: effect.bucket });
                    Step::Done(effect.replies)
                }
                // Reading back shows whether the write took effect: the nonces
                // of the batch are in the bucket or they are not.
                Err(e @ (StoreError::Conflict { .. } | StoreError::Unknown)) => Step::Reread(e),
                Err(e) => Step::Failed(e),
            };
        }
    }

    async fn read(&self, lane: &Lane) -> Result<Copy, StoreError> {
        let Some(found) = self.store.get(&lane.name).await? else {
            return Ok(Copy::default());
        };
        // A bucket that cannot be read may hold claims, so that nothing may be
        // granted from it.
        let bucket = Bucket::parse(&found.value).map_err(|_| StoreError::Unavailable)?;
        Ok(Copy { revision: found.revision, bucket })
    }

    /// Waits until the bucket may be written again.
    async fn pace(&self, held: &mut Held) {
        let interval = self.settings.interval;
        let now = self.clock.now();
        let due = held.due.unwrap_or(now).max(now);
        let wait = due.saturating_duration_since(now + interval * (BURST - 1)).min(interval);
        if !wait.is_zero() {
            time::sleep(wait).await;
        }
        held.due = Some(due + interval);
    }

    async fn pause(&self, attempt: u32) {
        let most = self.settings.backoff * (1 << attempt.min(6));
        let share = self.rng.lock().unwrap_or_else(PoisonError::into_inner).random::<f64>();
        time::sleep(Duration::from_secs_f64(most.as_secs_f64() * share)).await;
    }
}
