//! Operations that wait for one bucket on this host, and the cached bucket.
//!
//! One task at a time holds the writer lock and writes for all that wait. When
//! it is dropped, for instance because its caller went away, its operations
//! return to the queue, where another waiting task picks them up.

use std::collections::VecDeque;
use std::sync::Mutex as StdMutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use chervil_base::digest::Digest;
use chervil_platform::Revision;
use chervil_platform::StoreError;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::RecordedOutcome;
use tokio::sync::Mutex;
use tokio::sync::oneshot;

use crate::bucket::Bucket;

/// Change that an operation requests.
#[derive(Debug)]
pub enum Action {
    /// Claim the key.
    Claim {
        /// Digest of the request.
        digest: Digest,
        /// When the claimant gives up, in milliseconds since the Unix epoch.
        deadline_ms: u64,
    },
    /// Record the outcome of claimed work.
    Settle(RecordedOutcome),
}

/// Reply to an operation; [`Action::Settle`] is answered with `Granted`.
pub type Reply = Result<ClaimReply, StoreError>;

/// Operation that waits for a write.
#[derive(Debug)]
pub struct Operation {
    /// Idempotency key.
    pub key: Box<str>,
    /// Nonce of the claiming attempt.
    pub nonce: u64,
    /// Requested change.
    pub action: Action,
    /// Channel of the waiting task; closed once that task is gone.
    pub reply: oneshot::Sender<Reply>,
}

/// Bucket as last read or written by this host.
///
/// It may be stale; the compare-and-swap of the write detects that.
#[derive(Clone, Debug, Default)]
pub struct CachedBucket {
    /// Revision in the store; 0 if the bucket does not exist.
    pub revision: Revision,
    /// Content at that revision.
    pub bucket: Bucket,
}

/// Outcome that could not be recorded yet because the store was unavailable.
#[derive(Clone, Debug)]
pub struct PendingOutcome {
    /// Idempotency key.
    pub key: Box<str>,
    /// Nonce of the claim.
    pub nonce: u64,
    /// How the work ended.
    pub outcome: RecordedOutcome,
}

/// State that the writer lock protects.
#[derive(Debug, Default)]
pub struct WriterState {
    /// Outcomes to record with the next write that succeeds.
    pub pending: Vec<PendingOutcome>,
    /// `None` when the bucket must be read before the next write.
    pub cached: Option<CachedBucket>,
    /// Earliest time of the next write once the burst allowance is used up.
    pub next_write: Option<Instant>,
}

/// Outcomes that a queue keeps while the store is unavailable. Further ones are
/// dropped, so that their claims end as unknown.
const MAX_PENDING: usize = 1_000;

impl WriterState {
    /// Keeps the outcomes of a batch that could not be written.
    pub fn keep_outcomes(&mut self, operations: &[Operation]) {
        let outcomes = operations.iter().filter_map(|o| match &o.action {
            Action::Settle(outcome) => Some(PendingOutcome {
                key: o.key.clone(),
                nonce: o.nonce,
                outcome: outcome.clone(),
            }),
            Action::Claim { .. } => None,
        });
        let free = MAX_PENDING.saturating_sub(self.pending.len());
        self.pending.extend(outcomes.take(free));
    }
}

/// Queue of operations on one bucket, with the state of its writer.
#[derive(Debug)]
pub struct BucketQueue {
    /// Key of the bucket in the store.
    pub name: Box<str>,
    /// Locked while a task reads and writes the bucket.
    pub writer: Mutex<WriterState>,
    waiting: StdMutex<VecDeque<Operation>>,
}

impl BucketQueue {
    /// Empty queue for the bucket with the store key `name`.
    pub fn new(name: Box<str>) -> BucketQueue {
        BucketQueue { name, writer: Mutex::default(), waiting: StdMutex::default() }
    }

    /// Appends an operation.
    pub fn push(&self, operation: Operation) {
        self.waiting().push_back(operation);
    }

    /// Takes all waiting operations, and drops those whose task is gone.
    pub fn take_batch(&self) -> Batch<'_> {
        let mut operations: Vec<Operation> = self.waiting().drain(..).collect();
        operations.retain(|o| !o.reply.is_closed());
        Batch { queue: self, operations }
    }

    fn waiting(&self) -> MutexGuard<'_, VecDeque<Operation>> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Operations that share one write. Dropping a batch without a reply returns
/// its operations to the head of the queue.
#[derive(Debug)]
pub struct Batch<'a> {
    queue: &'a BucketQueue,
    operations: Vec<Operation>,
}

impl Batch<'_> {
    /// Operations in the order of their arrival.
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    /// Ends the batch with one reply for each operation, in the same order.
    pub fn reply<I>(mut self, replies: I)
    where
        I: IntoIterator<Item = Reply>,
    {
        for (operation, reply) in self.operations.drain(..).zip(replies) {
            // Fails only when the waiting task is gone.
            let _ = operation.reply.send(reply);
        }
    }

    /// Ends the batch after a store failure: claims are refused as unavailable,
    /// and settlements get `error`.
    pub fn fail(mut self, error: &StoreError) {
        for operation in self.operations.drain(..) {
            let reply = match operation.action {
                Action::Claim { .. } => Ok(ClaimReply::Unavailable),
                Action::Settle(_) => Err(error.clone()),
            };
            let _ = operation.reply.send(reply);
        }
    }
}

impl Drop for Batch<'_> {
    fn drop(&mut self) {
        let mut waiting = self.queue.waiting();
        for operation in self.operations.drain(..).rev() {
            waiting.push_front(operation);
        }
    }
}
