//! Applies a batch of operations to a bucket, without I/O.

use std::time::SystemTime;

use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::RecordedOutcome;

use crate::bucket::Bucket;
use crate::bucket::Claim;
use crate::bucket::Decision;
use crate::bucket_queue::Action;
use crate::bucket_queue::Operation;
use crate::bucket_queue::PendingOutcome;
use crate::bucket_queue::Reply;
use crate::key;

/// Result of applying a batch to a bucket.
#[derive(Debug)]
pub struct Effect {
    /// Bucket after the batch.
    pub bucket: Bucket,
    /// Whether it differs from the bucket before.
    pub changed: bool,
    /// Whether the replies are valid only if the bucket was read for this batch:
    /// another host may since have changed what they depend on.
    pub needs_fresh_read: bool,
    /// One reply for each operation. If the bucket changed, they must be sent
    /// only after it is written.
    pub replies: Vec<Reply>,
}

/// Applies pending outcomes and then a batch to a copy of `bucket`, at `wall_time`.
pub fn apply(
    bucket: &Bucket,
    pending: &[PendingOutcome],
    operations: &[Operation],
    wall_time: SystemTime,
) -> Effect {
    let mut effect = Effect {
        bucket: bucket.clone(),
        changed: false,
        needs_fresh_read: false,
        replies: Vec::with_capacity(operations.len()),
    };
    for PendingOutcome { key, nonce, outcome } in pending {
        effect.settle(key, *nonce, outcome);
    }
    for operation in operations {
        let reply = match &operation.action {
            Action::Claim { digest, deadline_ms } => {
                let Operation { key, nonce, .. } = operation;
                let claim =
                    Claim { key, digest: *digest, nonce: *nonce, deadline_ms: *deadline_ms };
                effect.claim(claim, wall_time)
            }
            Action::Settle(outcome) => {
                effect.settle(&operation.key, operation.nonce, outcome);
                ClaimReply::Granted
            }
        };
        effect.replies.push(Ok(reply));
    }
    effect
}

impl Effect {
    fn settle(&mut self, key: &str, nonce: u64, outcome: &RecordedOutcome) {
        let settled = self.bucket.settle(key, nonce, outcome);
        self.changed |= settled;
        self.needs_fresh_read |= !settled;
    }

    fn claim(&mut self, claim: Claim<'_>, wall_time: SystemTime) -> ClaimReply {
        // The key may have expired, and its bucket been deleted, while the claim
        // waited; a write would create the bucket again.
        if let Err(e) = key::validate(claim.key, wall_time) {
            return ClaimReply::Invalid { remedy: e.to_string().into() };
        }
        match self.bucket.decide(claim, key::unix_ms(wall_time)) {
            Decision::Write => {
                self.bucket.claim(claim);
                self.changed = true;
                ClaimReply::Granted
            }
            Decision::AlreadyHeld => {
                self.needs_fresh_read = true;
                ClaimReply::Granted
            }
            Decision::HeldByOther { expired } => {
                self.needs_fresh_read = true;
                if expired { ClaimReply::Unknown } else { ClaimReply::Running }
            }
            Decision::Final(reply) => {
                // Another host may since have recorded that unknown work was
                // done.
                self.needs_fresh_read |=
                    matches!(reply, ClaimReply::Unknown | ClaimReply::Unavailable);
                reply
            }
        }
    }
}
