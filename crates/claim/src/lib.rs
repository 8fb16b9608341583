//! At-most-once execution of non-idempotent work.
//!
//! Every key belongs to a bucket, a value in the platform's store. A claim is
//! granted only after a compare-and-swap has written it there, whichever host
//! writes it; no lease is involved.

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

use crate::lane::Ask;
use crate::lane::Lane;
use crate::lane::Operation;
use crate::lane::Reply;

pub mod batch;
pub mod bucket;
pub mod key;
mod lane;
mod write;

pub use crate::key::KeyError;
pub use crate::key::bucket_of;

/// Time after the end of the retention period at which a bucket is deleted;
/// it covers clocks that differ.
const SWEEP_DELAY: Duration = Duration::from_secs(600);

/// Settings of [`Claims`].
#[derive(Clone, Debug)]
pub struct ClaimSettings {
    /// Mean time between the writes of a busy bucket.
    ///
    /// It bounds the writes of all hosts to [`key::BUCKETS`] in this time:
    /// 640/s with the default, of the several hundred that the store sustains.
    pub interval: Duration,
    /// Writes of one batch that are tried before it is refused.
    pub attempts: u32,
    /// Mean pause before a write is tried again; it doubles each time.
    pub backoff: Duration,
}

impl Default for ClaimSettings {
    fn default() -> ClaimSettings {
        ClaimSettings {
            interval: Duration::from_millis(200),
            attempts: 6,
            backoff: Duration::from_millis(5),
        }
    }
}

/// Claims of this host.
pub struct Claims {
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    settings: ClaimSettings,
    rng: Mutex<StdRng>,
    lanes: Mutex<HashMap<Box<str>, Arc<Lane>>>,
}

impl Claims {
    /// Claims that are kept in `store`; `seed` spreads retries.
    pub fn new(
        store: Arc<dyn Store>,
        clock: Arc<dyn Clock>,
        settings: ClaimSettings,
        seed: u64,
    ) -> Claims {
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        Claims { store, clock, settings, rng, lanes: Mutex::default() }
    }

    /// Claims a key.
    ///
    /// A repeated call with the same nonce is the same claim, so that it may be
    /// sent to a second host when the first does not answer. The attempt must
    /// run the work at most once, however many replies grant it.
    pub async fn claim(&self, request: ClaimRequest) -> ClaimReply {
        let wall = self.clock.wall_time();
        let bucket = key::check(&request.key, wall).and_then(|()| bucket_of(&request.key));
        let bucket = match bucket {
            Ok(bucket) => bucket,
            Err(e) => return ClaimReply::Invalid { remedy: e.to_string().into() },
        };
        let timeout = Duration::from_millis(request.timeout_ms.into());
        let until = key::unix_ms(wall) + u64::from(request.timeout_ms);
        let ask = Ask::Claim { digest: request.digest, until };
        let submitted = self.submit(bucket, request.key, request.nonce, ask);
        match time::timeout(timeout, submitted).await {
            Ok(Ok(reply)) => reply,
            // The caller does not run the work, so that "not run" is true even
            // if the claim takes effect later.
            Ok(Err(_)) | Err(_) => ClaimReply::Unavailable,
        }
    }

    /// Records how claimed work ended. A claim that another attempt has
    /// replaced is left alone.
    ///
    /// An outcome that the store did not take is kept in memory; the next write
    /// of its bucket and [`Claims::sweep`] try it again.
    pub async fn settle(&self, request: SettleRequest) -> Result<(), StoreError> {
        let Ok(bucket) = bucket_of(&request.key) else {
            // A malformed key was never claimed.
            return Ok(());
        };
        let ask = Ask::Settle(request.outcome);
        self.submit(bucket, request.key, request.nonce, ask).await.map(drop)
    }

    /// Deletes the buckets whose keys have all expired; returns their number.
    /// It also records late outcomes, and forgets the copies of all buckets
    /// that are not in use.
    pub async fn sweep(&self) -> Result<usize, StoreError> {
        let limit = self.clock.wall_time() - key::RETENTION - SWEEP_DELAY;
        let expired = |name: &str| key::end_of(name).is_some_and(|end| end < limit);
        self.write_late().await;
        self.lanes().retain(|name, lane| {
            let late = lane.held.try_lock().map_or(true, |held| !held.late.is_empty());
            Arc::strong_count(lane) > 1 || late && !expired(name)
        });
        let mut deleted = 0;
        for (name, revision) in self.store.list(key::PREFIX).await? {
            if expired(&name) {
                match self.store.delete_if(&name, revision).await {
                    Ok(()) => deleted += 1,
                    // Another host sweeps too.
                    Err(StoreError::Conflict { .. }) => {}
                    Err(e) => return Err(e),
                }
            }
        }
        Ok(deleted)
    }

    async fn write_late(&self) {
        let lanes: Vec<Arc<Lane>> = self.lanes().values().cloned().collect();
        for lane in lanes {
            // A lane whose lock is held is being written anyway.
            if let Ok(mut held) = lane.held.try_lock()
                && !held.late.is_empty()
            {
                self.write(&lane, &mut held).await;
            }
        }
    }

    async fn submit(&self, bucket: Box<str>, key: Box<str>, nonce: u64, ask: Ask) -> Reply {
        let lane = self.lane(bucket);
        let (reply, mut replied) = oneshot::channel();
        lane.push(Operation { key, nonce, ask, reply });
        let mut held = tokio::select! {
            biased;
            reply = &mut replied => return reply.unwrap_or(Err(StoreError::Unavailable)),
            held = lane.held.lock() => held,
        };
        // The writer before may have served this operation too.
        if let Ok(reply) = replied.try_recv() {
            return reply;
        }
        self.write(&lane, &mut held).await;
        drop(held);
        replied.await.unwrap_or(Err(StoreError::Unavailable))
    }

    fn lane(&self, bucket: Box<str>) -> Arc<Lane> {
        let mut lanes = self.lanes();
        let lane = lanes.entry(bucket.clone()).or_insert_with(|| Arc::new(Lane::new(bucket)));
        lane.clone()
    }

    fn lanes(&self) -> MutexGuard<'_, HashMap<Box<str>, Arc<Lane>>> {
        self.lanes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
