//! RPC interface of the gate, the process on each host that sends work to the
//! backend servers it owns.

use chervil_base::digest::Digest;
use chervil_base::index::HeldVersion;
use chervil_base::index::ServerIndex;
use chervil_base::message;
use chervil_base::shards::Shard;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::proc_macros::rpc;

message! {
    /// One attempt to get the rows of one shard.
    #[derive(Eq)]
    pub struct AskItem {
        /// Number of the attempt within its query.
        pub attempt: u32,
        /// Shard to read, in the pinned index version.
        pub shard: Shard,
        /// Backend server to ask.
        pub server: Box<str>,
        /// Whether the attempt must use a connection without a stalled attempt
        /// of the same query.
        pub fresh: bool,
    }

    /// Attempts of one query that are sent to one gate.
    #[derive(Eq)]
    pub struct AskBatch {
        /// Random number that the sending process draws at its start.
        pub incarnation: u64,
        /// Number of the query within that incarnation.
        pub query: u64,
        /// Service that the query is for.
        pub service: Box<str>,
        /// Index version that all attempts of the query must read.
        pub version: u64,
        /// Time that is left for the gate and the backend servers, in
        /// milliseconds.
        pub timeout_ms: u32,
        /// Digest of the request.
        pub digest: Digest,
        /// Body of the caller's query.
        pub body: Box<str>,
        /// W3C `traceparent` of the sender's span; `None` without tracing.
        pub trace: Option<Box<str>>,
        /// Attempts, each for one shard on one backend server.
        pub items: Vec<AskItem>,
    }

    /// One row of an answer.
    pub struct Row {
        /// Sort key of the row.
        pub key: Box<str>,
        /// Content of the row.
        pub value: serde_json::Value,
    }

    /// Why a gate or a backend server did not start work.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// This gate does not own the backend server, or holds no quorum lease.
        NotOwner,
        /// The gate's queue is full, or the backend server rejected the work
        /// because of its load.
        Busy,
        /// The backend server is warming up and cannot take more work yet.
        Cold,
        /// The backend server is draining before its shutdown.
        Draining,
        /// The backend server, its zone or its service is out of service.
        OutOfService,
        /// The catalog does not list the backend server.
        UnknownServer,
        /// The deadline passed before the work was started.
        Expired,
        /// The gate is shutting down.
        Stopping,
        /// No connection to the backend server could be opened.
        Unreachable,
    }

    /// Outcome of one attempt.
    #[serde(rename_all = "snake_case")]
    pub enum AskResult {
        /// The backend server replied.
        Rows {
            /// Index version that the rows were read from.
            version: u64,
            /// Rows of the shard.
            rows: Vec<Row>,
            /// Whether the backend server marked its reply as partial.
            partial: bool,
        },
        /// The backend server does not hold the version or the shard.
        WrongVersion {
            /// Index versions that the backend server holds instead.
            held: Vec<HeldVersion>,
        },
        /// The work was not started.
        Refused {
            /// Why the work was not started.
            reason: Refusal,
            /// Suggested delay before a retry, in milliseconds; `None` without
            /// a suggestion.
            retry_ms: Option<u32>,
        },
        /// The connection was lost after the request was written.
        Lost,
        /// The backend server replied with an error, or its reply could not be
        /// parsed.
        Failed,
        /// The deadline passed after the request was written.
        TimedOut,
    }

    /// Result of one attempt.
    pub struct AskReply {
        /// Incarnation of the process that sent the batch.
        pub incarnation: u64,
        /// Number of the query within that incarnation.
        pub query: u64,
        /// Number of the attempt within that query.
        pub attempt: u32,
        /// Outcome of the attempt.
        pub result: AskResult,
    }

    /// Non-idempotent work whose key the sender has claimed.
    #[derive(Eq)]
    pub struct RunRequest {
        /// Service that runs the work.
        pub service: Box<str>,
        /// Backend server that runs the work.
        pub server: Box<str>,
        /// Idempotency key.
        pub key: Box<str>,
        /// Time that is left for the gate and the backend server, in
        /// milliseconds.
        pub timeout_ms: u32,
        /// Body of the caller's request.
        pub body: Box<str>,
        /// W3C `traceparent` of the sender's span; `None` without tracing.
        pub trace: Option<Box<str>>,
    }

    /// Outcome of non-idempotent work.
    #[serde(rename_all = "snake_case")]
    pub enum RunReply {
        /// The backend server ran the work.
        Done {
            /// The backend server's reply.
            body: Box<str>,
        },
        /// The backend server did not start the work.
        NotRun {
            /// Why the work was not started.
            reason: Refusal,
        },
        /// The work was sent and its outcome is not known.
        Unknown,
    }
}

/// Methods of a gate.
#[rpc(server, client, namespace = "gate")]
pub trait GateRpc {
    /// Runs a batch and sends the result of each attempt as an item of the
    /// subscription. Dropping the subscription cancels the attempts that have
    /// not ended.
    #[subscription(name = "ask", unsubscribe = "cancel", item = AskReply)]
    async fn ask(&self, batch: AskBatch) -> SubscriptionResult;

    /// Runs non-idempotent work once.
    #[method(name = "run")]
    async fn run(&self, request: RunRequest) -> RpcResult<RunReply>;

    /// Returns the index versions on those backend servers of a service that
    /// this gate owns.
    #[method(name = "index")]
    async fn index(&self, service: Box<str>) -> RpcResult<Vec<ServerIndex>>;

    /// Receives the warm-up levels of a group of backend servers from the
    /// group's owner, so that this gate need not start at the bottom when it
    /// takes the group over.
    #[method(name = "hint")]
    async fn hint(&self, levels: Vec<WarmupLevel>) -> RpcResult<()>;
}

message! {
    /// Concurrency that a backend server has sustained during its warm-up.
    #[derive(Eq)]
    pub struct WarmupLevel {
        /// Name of the backend server.
        pub server: Box<str>,
        /// Number of concurrent requests.
        pub level: u32,
    }
}
