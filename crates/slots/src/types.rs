//! Keys, events and actions of the scheduler.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_rpc::gate::Refusal;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a backend server in the scheduler.
    pub struct ServerKey;
    /// Key of an accepted work item.
    pub struct WorkKey;
    /// Key of a connection.
    pub struct ConnKey;
}

value! {
    /// Settings of the scheduler.
    #[derive(Copy, Eq)]
    pub struct SchedulerSettings {
        /// Maximum number of items that wait for one backend server.
        pub queue_capacity: usize,
        /// Interval between status requests to a backend server.
        pub probe_interval: Duration,
        /// Interval between status requests while external load blocks queued
        /// items.
        pub urgent_probe_interval: Duration,
        /// Maximum delay before another attempt to connect to a backend server.
        pub max_backoff: Duration,
        /// Seed of the random number generator for backoff jitter.
        pub seed: u64,
    }

    /// Work item: one request for one backend server.
    #[derive(Eq)]
    pub struct Work {
        /// Name of the backend server.
        pub server: Box<str>,
        /// Requesting process; queues share a server fairly between sources.
        pub source: u64,
        /// Query of that source; queues share the turns of a source fairly between
        /// its queries.
        pub query: u64,
        /// Requested shard. An attempt with `fresh_conn` replaces the earlier
        /// attempts of its query for the same shard.
        pub shard: u32,
        /// Whether the request may be repeated, so that the item may be abandoned
        /// when it stalls.
        pub idempotent: bool,
        /// Whether the item replaces earlier attempts that stalled: it does not use
        /// their connections, and takes over a slot if none is free.
        pub fresh_conn: bool,
        /// Time from which on the result is useless; a queued item is refused then.
        pub deadline: Instant,
    }

    /// Refusal of an item that was not started.
    #[derive(Copy, Eq)]
    pub struct Refused {
        /// Why the item was not started.
        pub reason: Refusal,
        /// Delay after which a retry may succeed; `None` if unknown.
        pub retry_after: Option<Duration>,
    }

    /// Action that the gate must carry out.
    #[derive(Eq)]
    pub enum Action {
        /// Open a connection and request the server's status on it.
        Open {
            /// Connection.
            conn: ConnKey,
            /// Address of the backend server.
            address: SocketAddr,
        },
        /// Provide a connection that is opened lazily, by the first item on it.
        OpenLazy {
            /// Connection.
            conn: ConnKey,
            /// Address of the backend server.
            address: SocketAddr,
        },
        /// Send an item on a connection.
        Start {
            /// Item.
            work: WorkKey,
            /// Connection.
            conn: ConnKey,
        },
        /// Request the server's status on a connection.
        Probe {
            /// Connection.
            conn: ConnKey,
        },
        /// Close a connection, which cancels the request in flight on it.
        Close {
            /// Connection.
            conn: ConnKey,
        },
        /// Report a queued item as refused.
        Refuse {
            /// Item.
            work: WorkKey,
            /// Reason, and when to retry.
            refused: Refused,
        },
        /// Report a running item as timed out; a separate action closes its
        /// connection.
        Abandon {
            /// Item.
            work: WorkKey,
        },
    }

    /// Load report of a backend server.
    #[derive(Copy, Eq)]
    pub struct LoadReport {
        /// Number of requests that the server is running.
        pub running: u32,
        /// Number of requests that it can run at once; 0 if it does not report
        /// this.
        pub slots: u32,
        /// Time since the server started.
        pub uptime: Duration,
        /// When the gate sent the request whose reply carried the report.
        pub sent_at: Instant,
    }

    /// Reply to a status request.
    #[derive(Copy, Eq)]
    pub struct StatusReport {
        /// Load of the server.
        pub load: LoadReport,
        /// Whether the server is draining.
        pub draining: bool,
    }

    /// Outcome of a running item.
    #[derive(Copy, Eq)]
    pub enum Completion {
        /// The server replied.
        Replied {
            /// Load of the server; `None` if it did not report it.
            report: Option<LoadReport>,
        },
        /// The server does not hold the requested index version.
        WrongVersion,
        /// The server refused the request.
        Refused {
            /// `Busy`, `Cold` or `Draining`.
            reason: Refusal,
        },
        /// The gate lost ownership of the server, or its quorum lease, before the
        /// request was written.
        OwnershipLost,
        /// The connection was found to be closed before the request was written.
        NotWritten,
        /// The connection was lost after the request was written.
        ConnectionLost,
        /// No reply arrived before the deadline.
        TimedOut,
        /// The server failed, or its reply could not be parsed.
        InvalidReply,
    }

    /// What happens to an item after its completion was recorded.
    #[derive(Copy, Eq)]
    pub enum Disposition {
        /// The completion is final; the gate must report it.
        Final,
        /// The request was not written, and the item was queued again for another
        /// connection.
        Requeued,
    }
}

impl Default for SchedulerSettings {
    fn default() -> SchedulerSettings {
        SchedulerSettings {
            queue_capacity: 64,
            probe_interval: Duration::from_secs(1),
            urgent_probe_interval: Duration::from_millis(20),
            max_backoff: Duration::from_millis(250),
            seed: 0,
        }
    }
}
