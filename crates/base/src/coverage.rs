//! Shard coverage of an answer, and the outcome of a request.

use crate::message;
use crate::shards::Shard;

message! {
    /// Why a shard is missing from an answer. If there were several attempts, the
    /// one that ended last decides.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MissingReason {
        /// No usable backend server holds the shard at the pinned version.
        NoReplica,
        /// The deadline passed before a reply arrived.
        Timeout,
        /// A gate or a backend server refused the attempt.
        Refused,
        /// The connection of the attempt was lost, the backend server failed, or
        /// no gate could be reached.
        Lost,
        /// The backend servers no longer hold the pinned version.
        VersionGone,
        /// The backend server marked its reply as partial.
        PartialReply,
    }
}

message! {
    /// A shard that is missing from an answer.
    #[derive(Eq)]
    pub struct MissingShard {
        /// Shard number in the pinned version.
        pub shard: Shard,
        /// Why it is missing.
        pub reason: MissingReason,
    }
}

message! {
    /// Shards of the pinned index version that an answer covers.
    #[derive(Eq)]
    pub struct Coverage {
        /// Pinned index version; `None` when no shard map is known.
        pub version: Option<u64>,
        /// Number of shards in that version; 0 when no shard map is known.
        pub total: u32,
        /// Number of shards whose complete reply is part of the answer.
        pub answered: u32,
        /// Shards that are not covered, in ascending order.
        pub missing: Vec<MissingShard>,
    }
}

impl Coverage {
    /// Coverage of an answer for which no shard map is known.
    pub fn unknown() -> Coverage {
        Coverage { version: None, total: 0, answered: 0, missing: Vec::new() }
    }

    /// Whether a shard map is known and every shard of it is covered.
    pub fn is_complete(&self) -> bool {
        self.version.is_some() && self.total > 0 && self.answered == self.total
    }

    /// Fraction of the shards that is covered, from 0 to 1; 0 when no shard map
    /// is known.
    pub fn ratio(&self) -> f64 {
        if self.total == 0 { 0.0 } else { f64::from(self.answered) / f64::from(self.total) }
    }
}

message! {
    /// Outcome of a request as reported to the caller.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// A backend server executed the request.
        Done,
        /// No backend server started to execute the request.
        NotRun,
        /// A backend server may or may not have executed the request.
        Unknown,
    }
}
