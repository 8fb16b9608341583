//! Effect of a batch of operations on a bucket; no I/O.

use std::time::SystemTime;

use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::RecordedOutcome;

use crate::bucket::Bucket;
use crate::bucket::Claim;
use crate::bucket::Decision;
use crate::key;
use crate::lane::Ask;
use crate::lane::Late;
use crate::lane::Operation;
use crate::lane::Reply;

/// Effect of a batch.
#[derive(Debug)]
pub struct Effect {
    /// Bucket after the batch.
    pub bucket: Bucket,
    /// Whether it differs from the bucket before.
    pub changed: bool,
    /// Whether a reply depends on state that another host may have changed.
    pub volatile: bool,
    /// Reply to each operation, valid once the bucket is written.
    pub replies: Vec<Reply>,
}

/// Applies late outcomes and a batch to a bucket at `wall`.
pub fn apply(bucket: &Bucket, late: &[Late], operations: &[Operation], wall: SystemTime) -> Effect {
    let mut effect = Effect {
        bucket: bucket.clone(),
        changed: false,
        volatile: false,
        replies: Vec::with_capacity(operations.len()),
    };
    for Late { key, nonce, outcome } in late {
        effect.settle(key, *nonce, outcome);
    }
    for operation in operations {
        let reply = match &operation.ask {
            Ask::Claim { digest, until } => {
                let Operation { key, nonce, .. } = operation;
                let claim = Claim { key, digest: *digest, nonce: *nonce, until: *until };
                effect.claim(claim, wall)
            }
            Ask::Settle(outcome) => {
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
        self.volatile |= !settled;
    }

    fn claim(&mut self, claim: Claim<'_>, wall: SystemTime) -> ClaimReply {
        // The claim may have waited until its key expired and its bucket was
        // deleted; a write now would create the bucket anew.
        if let Err(e) = key::check(claim.key, wall) {
            return ClaimReply::Invalid { remedy: e.to_string().into() };
        }
        match self.bucket.decide(claim, key::unix_ms(wall)) {
            Decision::Write => {
                self.bucket.claim(claim);
                self.changed = true;
                ClaimReply::Granted
            }
            Decision::Held => {
                self.volatile = true;
                ClaimReply::Granted
            }
            Decision::Busy { expired } => {
                self.volatile = true;
                if expired { ClaimReply::Unknown } else { ClaimReply::Running }
            }
            Decision::Final(reply) => {
                // Unknown work may have turned out to be done.
                self.volatile |= matches!(reply, ClaimReply::Unknown | ClaimReply::Unavailable);
                reply
            }
        }
    }
}
