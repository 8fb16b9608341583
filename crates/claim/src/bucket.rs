//! Content of a bucket and the decisions on it; no I/O.

use std::collections::BTreeMap;

use chervil_base::digest::Digest;
use chervil_base::message;
use chervil_platform::MAX_VALUE;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::RecordedOutcome;

/// Longest recorded reply, in bytes; a longer one is recorded as omitted.
pub const MAX_BODY: usize = 4_096;

/// Size of a bucket up to which it takes new claims.
const CLAIM_LIMIT: usize = MAX_VALUE * 8 / 10;

/// Size of a bucket up to which replies are recorded.
///
/// What is left above it covers the difference between the estimated and the
/// true size. An outcome without a reply is never longer than the claim that
/// it replaces, so that every claim can be settled.
const BODY_LIMIT: usize = MAX_VALUE * 95 / 100;

/// Body that stands for a reply that was too long to record.
const OMITTED: &str = r#"{"omitted":"the reply was too long to be recorded"}"#;

/// Size of an entry apart from its key and reply, at most, in bytes.
const ENTRY_OVERHEAD: usize = 128;

message! {
    /// State of a claimed key.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum State {
        /// Its claimant may be running it.
        Claimed {
            /// When the claimant gives up, in milliseconds since the epoch.
            until: u64,
        },
        /// It was done, with this reply.
        Done(Box<str>),
        /// It was done, with a reply that was too long to record.
        DoneOmitted,
        /// It was not started.
        NotRun,
        /// It cannot be known.
        Unknown,
    }

    /// A claimed key.
    #[derive(Eq)]
    pub struct Entry {
        /// Digest of the request.
        pub digest: Digest,
        /// Nonce of the claiming attempt.
        pub nonce: u64,
        /// State.
        pub state: State,
    }

    /// All claimed keys of a bucket.
    #[derive(Default, Eq)]
    pub struct Bucket {
        entries: BTreeMap<Box<str>, Entry>,
        /// Upper estimate of the size in the store, in bytes.
        #[serde(skip)]
        size: usize,
    }
}

/// A claim, as a bucket sees it.
#[derive(Clone, Copy, Debug)]
pub struct Claim<'a> {
    /// Idempotency key.
    pub key: &'a str,
    /// Digest of the request.
    pub digest: Digest,
    /// Nonce of the claiming attempt.
    pub nonce: u64,
    /// When the claimant gives up, in milliseconds since the epoch.
    pub until: u64,
}

/// What a bucket says to a claim.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// The claim may be written.
    Write,
    /// The claim holds already.
    Held,
    /// Another attempt holds the key.
    Busy {
        /// Whether that attempt has given up by now.
        expired: bool,
    },
    /// The reply does not depend on later changes.
    Final(ClaimReply),
}

impl Bucket {
    /// Reads the form that is kept in the store.
    pub fn parse(text: &str) -> serde_json::Result<Bucket> {
        let mut bucket: Bucket = serde_json::from_str(text)?;
        bucket.size = bucket.entries.iter().map(|(key, entry)| entry_size(key, entry)).sum();
        Ok(bucket)
    }

    /// Decides on a claim at `now`, in milliseconds since the epoch.
    pub fn decide(&self, claim: Claim<'_>, now: u64) -> Decision {
        let Some(entry) = self.entries.get(claim.key) else {
            let fits = self.size + claim.key.len() + ENTRY_OVERHEAD <= CLAIM_LIMIT;
            return if fits { Decision::Write } else { Decision::Final(ClaimReply::Unavailable) };
        };
        if entry.digest != claim.digest {
            return Decision::Final(ClaimReply::Mismatch);
        }
        let own = entry.nonce == claim.nonce;
        match &entry.state {
            State::Claimed { .. } if own => Decision::Held,
            State::Claimed { until } => Decision::Busy { expired: now > *until },
            State::Done(body) => Decision::Final(ClaimReply::Done { body: body.clone() }),
            State::DoneOmitted => Decision::Final(ClaimReply::Done { body: OMITTED.into() }),
            State::Unknown => Decision::Final(ClaimReply::Unknown),
            // A late copy of the settled claim: its attempt has ended, and a
            // claim for it would block the key.
            State::NotRun if own => Decision::Final(ClaimReply::Unavailable),
            State::NotRun => Decision::Write,
        }
    }

    /// Writes a claim.
    pub fn claim(&mut self, claim: Claim<'_>) {
        let state = State::Claimed { until: claim.until };
        let entry = Entry { digest: claim.digest, nonce: claim.nonce, state };
        self.size += entry_size(claim.key, &entry);
        if let Some(old) = self.entries.insert(claim.key.into(), entry) {
            self.size -= entry_size(claim.key, &old);
        }
    }

    /// Records how claimed work ended; returns whether that changed anything.
    ///
    /// A recorded end is final, except that unknown work may turn out to be
    /// done.
    pub fn settle(&mut self, key: &str, nonce: u64, outcome: &RecordedOutcome) -> bool {
        let Some(entry) = self.entries.get_mut(key).filter(|e| e.nonce == nonce) else {
            return false;
        };
        let state = match outcome {
            RecordedOutcome::Done { body } => {
                let size = escaped_len(body);
                let fits = size <= MAX_BODY && self.size + size <= BODY_LIMIT;
                if fits { State::Done(body.clone()) } else { State::DoneOmitted }
            }
            RecordedOutcome::NotRun => State::NotRun,
            RecordedOutcome::Unknown => State::Unknown,
        };
        let open = match entry.state {
            State::Claimed { .. } => true,
            State::Unknown => matches!(outcome, RecordedOutcome::Done { .. }),
            State::Done(_) | State::DoneOmitted | State::NotRun => false,
        };
        if open {
            self.size -= entry_size(key, entry);
            entry.state = state;
            self.size += entry_size(key, entry);
        }
        open
    }
}

/// Upper estimate of the size of an entry in the store, in bytes.
fn entry_size(key: &str, entry: &Entry) -> usize {
    let body = match &entry.state {
        State::Done(body) => escaped_len(body),
        _ => 0,
    };
    key.len() + ENTRY_OVERHEAD + body
}

/// Length of a text as a JSON string, without the quotes.
fn escaped_len(text: &str) -> usize {
    let extra = |c: u8| match c {
        b'"' | b'\\' => 1,
        c if c < 0x20 => 5,
        _ => 0,
    };
    text.len() + text.bytes().map(extra).sum::<usize>()
}
