//! One bucket at this host: a queue of operations and a copy of the bucket.
//!
//! Whoever holds the lane's lock writes for all that wait. An operation that
//! is taken from the queue returns to it when the writer is dropped, so that
//! no waiter depends on the writer's life.

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

/// What an operation asks for.
#[derive(Debug)]
pub enum Ask {
    /// A claim.
    Claim {
        /// Digest of the request.
        digest: Digest,
        /// When the claimant gives up, in milliseconds since the epoch.
        until: u64,
    },
    /// The end of claimed work.
    Settle(RecordedOutcome),
}

/// Reply to an operation; a settled operation gets `Granted`.
pub type Reply = Result<ClaimReply, StoreError>;

/// One waiting operation.
#[derive(Debug)]
pub struct Operation {
    /// Idempotency key.
    pub key: Box<str>,
    /// Nonce of the claiming attempt.
    pub nonce: u64,
    /// What it asks for.
    pub ask: Ask,
    /// Where the reply goes.
    pub reply: oneshot::Sender<Reply>,
}

/// Copy of a bucket as this host last knew it.
///
/// It may be out of date; the compare-and-swap of the write detects that.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    /// Revision in the store.
    pub revision: Revision,
    /// Content.
    pub bucket: Bucket,
}

/// An outcome that could not be recorded yet.
#[derive(Clone, Debug)]
pub struct Late {
    /// Idempotency key.
    pub key: Box<str>,
    /// Nonce of the claim.
    pub nonce: u64,
    /// How the work ended.
    pub outcome: RecordedOutcome,
}

/// What the writer of a lane holds.
#[derive(Debug, Default)]
pub struct Held {
    /// Outcomes that wait for the store to come back.
    pub late: Vec<Late>,
    /// Last known content, if any.
    pub copy: Option<Copy>,
    /// Earliest time of the next write without a credit.
    pub due: Option<Instant>,
}

/// Outcomes that a lane keeps while the store is away; the end of the work of
/// further claims stays unknown.
const MAX_LATE: usize = 1_000;

impl Held {
    /// Keeps the outcomes of a batch that could not be written.
    pub fn keep(&mut self, operations: &[Operation]) {
        let settled = operations.iter().filter_map(|o| match &o.ask {
            Ask::Settle(outcome) => {
                Some(Late { key: o.key.clone(), nonce: o.nonce, outcome: outcome.clone() })
            }
            Ask::Claim { .. } => None,
        });
        let free = MAX_LATE.saturating_sub(self.late.len());
        self.late.extend(settled.take(free));
    }
}

/// Queue and copy of one bucket.
#[derive(Debug)]
pub struct Lane {
    /// Key of the bucket in the store.
    pub name: Box<str>,
    /// The writer holds this lock.
    pub held: Mutex<Held>,
    queue: StdMutex<VecDeque<Operation>>,
}

impl Lane {
    /// A lane for the bucket with this name.
    pub fn new(name: Box<str>) -> Lane {
        Lane { name, held: Mutex::default(), queue: StdMutex::default() }
    }

    /// Adds an operation.
    pub fn push(&self, operation: Operation) {
        self.queue().push_back(operation);
    }

    /// Takes all operations that somebody waits for.
    pub fn take(&self) -> Batch<'_> {
        let mut operations: Vec<Operation> = self.queue().drain(..).collect();
        operations.retain(|o| !o.reply.is_closed());
        Batch { lane: self, operations }
    }

    fn queue(&self) -> MutexGuard<'_, VecDeque<Operation>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Operations that one write settles.
#[derive(Debug)]
pub struct Batch<'a> {
    lane: &'a Lane,
    operations: Vec<Operation>,
}

impl Batch<'_> {
    /// The operations, in the order of their arrival.
    pub fn operations(&self) -> &[Operation] {
        &self.operations
    }

    /// Ends the batch with a reply to each operation.
    pub fn reply<I>(mut self, replies: I)
    where
        I: IntoIterator<Item = Reply>,
    {
        for (operation, reply) in self.operations.drain(..).zip(replies) {
            // Fails only when the waiter has gone.
            let _ = operation.reply.send(reply);
        }
    }

    /// Ends the batch because the store failed.
    pub fn fail(mut self, error: &StoreError) {
        for operation in self.operations.drain(..) {
            let reply = match operation.ask {
                Ask::Claim { .. } => Ok(ClaimReply::Unavailable),
                Ask::Settle(_) => Err(error.clone()),
            };
            let _ = operation.reply.send(reply);
        }
    }
}

impl Drop for Batch<'_> {
    fn drop(&mut self) {
        let mut queue = self.lane.queue();
        for operation in self.operations.drain(..).rev() {
            queue.push_front(operation);
        }
    }
}
