//! Keys, events and actions of the state machine.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_rpc::gate::Refusal;
use slotmap::new_key_type;

new_key_type! {
    /// Key of a backend server in the state machine.
    pub struct ServerKey;
    /// Key of a work item.
    pub struct WorkKey;
    /// Key of a connection.
    pub struct ConnKey;
}

value! {
    /// Tunables of the state machine.
    #[derive(Copy, Eq)]
    pub struct SchedulerSettings {
        /// Items that may wait for one backend server.
        pub queue_capacity: usize,
        /// Interval of status requests to a backend server.
        pub probe_interval: Duration,
        /// Interval of status requests while work of others holds back items.
        pub urgent_probe_interval: Duration,
        /// Longest pause between attempts to reach a backend server.
        pub max_backoff: Duration,
        /// Seed of random choices.
        pub seed: u64,
    }

    /// One work item.
    #[derive(Eq)]
    pub struct Work {
        /// Name of the backend server.
        pub server: Box<str>,
        /// Asking process; queues are fair between these.
        pub source: u64,
        /// Query of that process; queues are fair between these, too.
        pub query: u64,
        /// Shard asked for; attempts of one query for one shard replace each
        /// other.
        pub shard: u32,
        /// Whether it may be given up when it stalls.
        pub idempotent: bool,
        /// Whether the item must avoid the connections of stalled attempts for
        /// its shard.
        pub fresh_conn: bool,
        /// Time after which the item is of no use.
        pub deadline: Instant,
    }

    /// Why an item is not started.
    #[derive(Copy, Eq)]
    pub struct Refused {
        /// Reason.
        pub reason: Refusal,
        /// When a retry may succeed.
        pub retry_after: Option<Duration>,
    }

    /// What the gate must do next.
    #[derive(Eq)]
    pub enum Action {
        /// Open a connection.
        Open {
            /// Connection.
            conn: ConnKey,
            /// Address of the backend server.
            address: SocketAddr,
        },
        /// Provide a connection that the first item on it opens.
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
        /// Close a connection and thereby cancel what runs on it.
        Close {
            /// Connection.
            conn: ConnKey,
        },
        /// Report a queued item as not started.
        Refuse {
            /// Item.
            work: WorkKey,
            /// Why.
            refused: Refused,
        },
        /// Report a running item as timed out; its connection is closed.
        Abandon {
            /// Item.
            work: WorkKey,
        },
    }

    /// Load report of a backend server.
    #[derive(Copy, Eq)]
    pub struct LoadReport {
        /// Requests that run at the server.
        pub running: u32,
        /// Requests that it can run at once; 0 when not reported.
        pub slots: u32,
        /// Time since the server's start.
        pub uptime: Duration,
        /// When the request that returned the report was sent.
        pub sent_at: Instant,
    }

    /// Report and state of a status request.
    #[derive(Copy, Eq)]
    pub struct StatusReport {
        /// Load.
        pub load: LoadReport,
        /// Whether the server is leaving.
        pub draining: bool,
    }

    /// How a running item ended.
    #[derive(Copy, Eq)]
    pub enum Completion {
        /// The server replied.
        Replied {
            /// Its load, when reported.
            report: Option<LoadReport>,
        },
        /// The server does not hold the version.
        WrongVersion,
        /// The server refused to start it.
        Refused {
            /// Busy, cold or draining.
            reason: Refusal,
        },
        /// The right to send was lost before the request was written.
        OwnershipLost,
        /// The connection turned out to be closed before the request was
        /// written.
        NotWritten,
        /// The connection was lost after the request was written.
        ConnectionLost,
        /// No reply came in time.
        TimedOut,
        /// The reply could not be used.
        InvalidReply,
    }

    /// What becomes of an item whose run ended.
    #[derive(Copy, Eq)]
    pub enum Disposition {
        /// The end is final and is to be reported.
        Final,
        /// The request was never written and waits for another connection.
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
