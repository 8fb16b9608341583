//! Requests to a simulated server and what becomes of them.

use std::time::Duration;

use chervil_base::index::HeldVersion;
use chervil_base::message;
use chervil_base::shards::Shard;

message! {
    /// Load of a server.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Requests that run.
        pub running: u32,
        /// Requests that can run at once.
        pub slots: u32,
    }

    /// Reply to a status request.
    #[derive(Eq)]
    pub struct Status {
        /// Index versions.
        pub versions: Vec<HeldVersion>,
        /// Load.
        pub load: Load,
        /// Whether the server refuses new work.
        pub draining: bool,
        /// Time since the start of the server, in milliseconds.
        pub uptime_ms: u64,
    }

    /// Why a server did not start a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// All slots are in use.
        Busy,
        /// The cold server bears no more.
        Cold,
        /// The server drains.
        Draining,
    }
}

/// Limits of a server that do not change.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Requests that run at once.
    pub slots: u32,
    /// Connections.
    pub connections: u32,
}

/// What a request asks for.
#[derive(Clone, Copy, Debug)]
pub enum RequestKind<'a> {
    /// Rows of a shard at a version.
    Ask {
        /// Index version.
        version: u64,
        /// Shard.
        shard: Shard,
    },
    /// Non-idempotent work.
    Run {
        /// Idempotency key.
        key: &'a str,
    },
}

/// What the server does with a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Runs it; [`crate::model::Model::finish`] or [`crate::model::Model::cancel`] must follow.
    Run(Execution),
    /// Lets it wait; [`crate::model::Model::retry_queued`] must follow, or
    /// [`crate::model::Model::leave_queue`].
    Queue,
    /// Does not start it.
    Refuse(RefusalReason),
    /// Does not hold the version or shard.
    WrongVersion,
    /// Is overwhelmed: all connections are reset for this long.
    Overload(Duration),
    /// Crashes: it does not listen for this long.
    Crash(Duration),
}

/// How a request runs.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// Service time.
    pub service_time: Duration,
    /// Whether the reply is partial.
    pub partial: bool,
    /// Whether the connection is lost instead of a reply.
    pub reset: bool,
    /// Start of the server to which the request belongs.
    pub incarnation: u64,
}
