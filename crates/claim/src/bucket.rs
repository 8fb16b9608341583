//! Claims of one bucket and the decisions on them, without I/O.

use std::collections::BTreeMap;

use chervil_base::digest::Digest;
use chervil_base::message;
use chervil_platform::MAX_VALUE_BYTES;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::RecordedOutcome;

/// Longest reply that is recorded, as a JSON string in bytes. The work of a
/// longer one is recorded as done without its reply.
pub const MAX_BODY_BYTES: usize = 4_096;

/// Size of a bucket up to which it takes new claims, in bytes.
const CLAIM_LIMIT_BYTES: usize = MAX_VALUE_BYTES * 8 / 10;

/// Size of a bucket up to which replies are recorded, in bytes.
///
/// The rest of [`MAX_VALUE_BYTES`] covers the difference between the estimated and the
/// true size. An outcome without a reply is never longer than the claim that it
/// replaces, so every claim can be settled.
const REPLY_LIMIT_BYTES: usize = MAX_VALUE_BYTES * 95 / 100;

/// Returned in place of a reply that was too long to record.
const OMITTED_BODY: &str = r#"{"omitted":"the reply was too long to be recorded"}"#;

/// Upper bound for the size of an entry without its key and reply, in bytes.
const ENTRY_OVERHEAD_BYTES: usize = 128;

message! {
    /// State of a claimed key.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// The claimant may be running the work.
        Claimed {
            /// When the claimant gives up, in milliseconds since the Unix epoch.
            until: u64,
        },
        /// The work was done, with this reply.
        Done(Box<str>),
        /// The work was done; its reply was too long to record.
        DoneOmitted,
        /// The work was not started, so the key may be claimed again.
        NotRun,
        /// Whether the work was done cannot be known.
        Unknown,
    }

    /// Latest claim of a key.
    #[derive(Eq)]
    pub struct Entry {
        /// Digest of the request.
        pub digest: Digest,
        /// Nonce of the claiming attempt.
        pub nonce: u64,
        /// State of the claimed work.
        pub state: State,
    }

    /// All claimed keys of a bucket; kept in the store as JSON.
    #[derive(Default, Eq)]
    pub struct Bucket {
        entries: BTreeMap<Box<str>, Entry>,
        /// Upper estimate of the size in the store, in bytes.
        #[serde(skip)]
        size: usize,
    }
}

/// Claim for a bucket to decide on.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Idempotency key.
    pub key: &'a str,
    /// Digest of the request.
    pub digest: Digest,
    /// Nonce of the claiming attempt.
    pub nonce: u64,
    /// When the claimant gives up, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

/// Decision of a bucket on a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The key is free; the claim is granted once it is written.
    Write,
    /// The same attempt holds the key already.
    AlreadyHeld,
    /// Another attempt holds the key.
    HeldByOther {
        /// Whether that attempt has given up by now.
        expired: bool,
    },
    /// The reply does not depend on later changes.
    Final(ClaimReply),
}

impl Bucket {
    /// Parses a bucket as it is kept in the store.
    pub fn parse(text: &str) -> serde_json::Result<Bucket> {
        let mut bucket: Bucket = serde_json::from_str(text)?;
        bucket.size = bucket.entries.iter().map(|(key, entry)| entry_size(key, entry)).sum();
        Ok(bucket)
    }

    /// Decides on a claim at `now_ms`, in milliseconds since the Unix epoch.
    pub fn decide(&self, claim: Claim<'_>, now_ms: u64) -> Decision {
        let Some(entry) = self.entries.get(claim.key) else {
            let fits = self.size + claim.key.len() + ENTRY_OVERHEAD_BYTES <= CLAIM_LIMIT_BYTES;
            return if fits { Decision::Write } else { Decision::Final(ClaimReply::Unavailable) };
        };
        if entry.digest != claim.digest {
            return Decision::Final(ClaimReply::Mismatch);
        }
        let own = entry.nonce == claim.nonce;
        match &entry.state {
            State::Claimed { .. } if own => Decision::AlreadyHeld,
            State::Claimed { until } => Decision::HeldByOther { expired: now_ms > *until },
            State::Done(body) => Decision::Final(ClaimReply::Done { body: body.clone() }),
            State::DoneOmitted => Decision::Final(ClaimReply::Done { body: OMITTED_BODY.into() }),
            State::Unknown => Decision::Final(ClaimReply::Unknown),
            // A delayed duplicate of the settled claim: its attempt has ended,
            // and granting it would block the key.
            State::NotRun if own => Decision::Final(ClaimReply::Unavailable),
            State::NotRun => Decision::Write,
        }
    }

    /// Stores a claim, in place of any earlier one of the same key.
    pub fn claim(&mut self, claim: Claim<'_>) {
        let state = State::Claimed { until: claim.deadline_ms };
        let entry = Entry { digest: claim.digest, nonce: claim.nonce, state };
        self.size += entry_size(claim.key, &entry);
        if let Some(old) = self.entries.insert(claim.key.into(), entry) {
            self.size -= entry_size(claim.key, &old);
        }
    }

    /// Records the outcome of claimed work; returns whether the bucket changed.
    ///
    /// Nothing changes if the key is not claimed with `nonce`. A recorded outcome
    /// is final, except that an unknown one may turn out to be done.
    pub fn settle(&mut self, key: &str, nonce: u64, outcome: &RecordedOutcome) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.nonce == nonce) else {
            return false;
        };
        let state = match outcome {
            RecordedOutcome::Done { body } => {
                let size = escaped_len(body);
                let fits = size <= MAX_BODY_BYTES && self.size + size <= REPLY_LIMIT_BYTES;
                if fits { State::Done(body.clone()) } else { State::DoneOmitted }
            }
            RecordedOutcome::NotRun => State::NotRun,
            RecordedOutcome::Unknown => State::Unknown,
        };
        let replaceable = match entry.state {
            State::Claimed { .. } => true,
            State::Unknown => matches!(outcome, RecordedOutcome::Done { .. }),
            State::Done(_) | State::DoneOmitted | State::NotRun => false,
        };
        if replaceable {
            self.size -= entry_size(key, entry);
            entry.state = state;
            self.size += entry_size(key, entry);
        }
        replaceable
    }
}

/// Upper estimate of the size of an entry in the store, in bytes.
fn entry_size(key: &str, entry: &Entry) -> usize {
    let body = match &entry.state {
        State::Done(body) => escaped_len(body),
        _ => 0,
    };
    key.len() + ENTRY_OVERHEAD_BYTES + body
}

/// Length of `text` as a JSON string without the quotes, in bytes.
fn escaped_len(text: &str) -> usize {
    let extra = |c: u8| match c {
        b'"' | b'\\' => 1,
        c if c < 0x20 => 5,
        _ => 0,
    };
    text.len() + text.bytes().map(extra).sum::<usize>()
}
