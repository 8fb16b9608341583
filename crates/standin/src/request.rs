//! Requests to a simulated server and the decisions about them.

use std::time::Duration;

use chervil_base::index::HeldVersion;
use chervil_base::message;
use chervil_base::shards::Shard;

message! {
    /// Load that a server reports.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Requests that are executing.
        pub running: u32,
        /// Maximum number of concurrent requests.
        pub slots: u32,
    }

    /// Response to a status request.
    #[derive(Eq)]
    pub struct Status {
        /// Index versions and the shards held of each.
        pub versions: Vec<HeldVersion>,
        /// Current load.
        pub load: Load,
        /// Whether the server refuses new work.
        pub draining: bool,
        /// Time since the last start of the server, in milliseconds.
        pub uptime_ms: u64,
    }

    /// Why a server refused a request.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RefusalReason {
        /// All slots and the queue are full.
        Busy,
        /// The concurrency limit of the cold server is reached.
        Cold,
        /// The server is draining.
        Draining,
    }
}

/// Fixed limits of a server.
#[derive(Clone, Debug)]
pub struct Limits {
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
}

/// Kind of a request and what it asks for.
#[derive(Clone, Copy, Debug)]
pub enum RequestKind<'a> {
    /// Query of one shard.
    Ask {
        /// Index version to read.
        version: u64,
        /// Shard to read.
        shard: Shard,
    },
    /// Non-idempotent request.
    Run {
        /// Idempotency key.
        key: &'a str,
    },
}

/// Decision about a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Decision {
    /// Execute it. [`Model::finish`](crate::model::Model::finish) or
    /// [`Model::cancel`](crate::model::Model::cancel) must follow.
    Run(Execution),
    /// Queue it. [`Model::retry_queued`](crate::model::Model::retry_queued) or
    /// [`Model::leave_queue`](crate::model::Model::leave_queue) must follow.
    Queue,
    /// Refuse it.
    Refuse(RefusalReason),
    /// Refuse it because the server does not hold the version or shard.
    WrongVersion,
    /// The cold server fails under the load: reset all connections, and new ones
    /// for this duration.
    Overload(Duration),
    /// Crash the server; it stays down for this duration.
    Crash(Duration),
}

/// Simulated execution of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Execution {
    /// Time that the request occupies a slot.
    pub service_time: Duration,
    /// Whether half of the rows are left out and the response is marked partial.
    pub partial: bool,
    /// Whether the connection is closed instead of sending the response.
    pub reset: bool,
    /// Incarnation of the server that admitted the request.
    pub incarnation: u64,
}
