//! What an answer covers and how a request ended.

use crate::message;
use crate::shards::Shard;

message! {
    /// Reason why a shard is missing from an answer.
    #[derive(Copy, Eq, Hash, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum MissingReason {
        /// No usable replica holds the shard at the pinned version.
        NoReplica,
        /// The deadline passed before a reply arrived.
        Timeout,
        /// Every attempt was refused by a gate or a backend server.
        Refused,
        /// Every attempt lost its connection.
        Lost,
        /// The backend servers no longer hold the pinned version.
        VersionGone,
        /// The backend server itself declared its reply partial.
        PartialReply,
    }
}

message! {
    /// A shard that an answer does not cover.
    #[derive(Eq)]
    pub struct MissingShard {
        /// Shard number in the pinned version.
        pub shard: Shard,
        /// Why it is missing.
        pub reason: MissingReason,
    }
}

message! {
    /// Coverage of one answer, in terms of the pinned index version.
    #[derive(Eq)]
    pub struct Coverage {
        /// Pinned index version; `None` when no shard map is known.
        pub version: Option<u64>,
        /// Shards of that version; 0 when no shard map is known.
        pub total: u32,
        /// Shards whose whole reply is part of the answer.
        pub answered: u32,
        /// The other shards, in ascending order.
        pub missing: Vec<MissingShard>,
    }
}

impl Coverage {
    /// Coverage of an answer for which no shard map is known.
    pub fn unknown() -> Coverage {
        Coverage { version: None, total: 0, answered: 0, missing: Vec::new() }
    }

    /// Whether every shard of a known map is covered.
    pub fn is_whole(&self) -> bool {
        self.version.is_some() && self.total > 0 && self.answered == self.total
    }

    /// Covered share, from 0 to 1.
    pub fn ratio(&self) -> f64 {
        if self.total == 0 { 0.0 } else { f64::from(self.answered) / f64::from(self.total) }
    }
}

message! {
    /// How a request ended, from the caller's point of view.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Outcome {
        /// The work was done.
        Done,
        /// No backend server started the work.
        NotRun,
        /// It cannot be known whether the work was done.
        Unknown,
    }
}
