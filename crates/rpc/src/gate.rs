//! Interface of a gate, the process that talks to backend servers.

use chervil_base::digest::Digest;
use chervil_base::index::HeldVersion;
use chervil_base::index::ServerIndex;
use chervil_base::message;
use chervil_base::shards::Shard;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::proc_macros::rpc;

message! {
    /// One attempt for one shard.
    #[derive(Eq)]
    pub struct AskItem {
        /// Identifies the attempt within its query and process incarnation.
        pub attempt: u32,
        /// Shard asked for, in the pinned version.
        pub shard: Shard,
        /// Backend server to ask.
        pub server: Box<str>,
        /// Whether the attempt must use a connection that no stalled attempt
        /// of the same query uses.
        pub fresh: bool,
    }

    /// Attempts of one query that go to one gate.
    #[derive(Eq)]
    pub struct AskBatch {
        /// Incarnation of the asking process; random at its start.
        pub incarnation: u64,
        /// Query within that incarnation.
        pub query: u64,
        /// Service asked.
        pub service: Box<str>,
        /// Pinned index version.
        pub version: u64,
        /// Time left for the gate's part, in milliseconds.
        pub timeout_ms: u32,
        /// Digest of the request.
        pub digest: Digest,
        /// The caller's query.
        pub body: Box<str>,
        /// W3C trace context of the asking span.
        pub trace: Option<Box<str>>,
        /// Attempts.
        pub items: Vec<AskItem>,
    }

    /// One row of an answer.
    pub struct Row {
        /// Sort key of the row.
        pub key: Box<str>,
        /// Content of the row.
        pub value: serde_json::Value,
    }

    /// Why work was not started.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum Refusal {
        /// This gate does not own the backend server, or holds no quorum lease.
        NotOwner,
        /// The queue is full, or the backend server shed the work.
        Busy,
        /// The backend server is in a cold start and bears no more.
        Cold,
        /// The backend server is leaving.
        Draining,
        /// The backend server, its zone or its service is out of service.
        OutOfService,
        /// The catalog does not list the backend server.
        UnknownServer,
        /// The deadline passed before the work was started.
        Expired,
        /// The gate is stopping.
        Stopping,
        /// No connection could be opened.
        Unreachable,
    }

    /// How one attempt ended.
    #[serde(rename_all = "snake_case")]
    pub enum AskResult {
        /// The backend server replied.
        Rows {
            /// Index version that the reply was taken from.
            version: u64,
            /// Rows of the shard.
            rows: Vec<Row>,
            /// Whether the backend server declared its reply partial.
            partial: bool,
        },
        /// The backend server does not hold the version or shard; what it
        /// holds instead.
        WrongVersion {
            /// Versions that the backend server holds.
            held: Vec<HeldVersion>,
        },
        /// The work was not started.
        Refused {
            /// Why.
            reason: Refusal,
            /// When to try again, in milliseconds.
            retry_ms: Option<u32>,
        },
        /// The connection was lost after the request was written.
        Lost,
        /// The backend server failed or its reply could not be read.
        Failed,
        /// The deadline passed after the request was written.
        TimedOut,
    }

    /// Result of one attempt.
    pub struct AskReply {
        /// Incarnation of the asking process.
        pub incarnation: u64,
        /// Query within that incarnation.
        pub query: u64,
        /// Attempt within that query.
        pub attempt: u32,
        /// How it ended.
        pub result: AskResult,
    }

    /// Non-idempotent work, already claimed by its sender.
    #[derive(Eq)]
    pub struct RunRequest {
        /// Service that runs it.
        pub service: Box<str>,
        /// Backend server that runs it.
        pub server: Box<str>,
        /// Idempotency key.
        pub key: Box<str>,
        /// Time left for the gate's part, in milliseconds.
        pub timeout_ms: u32,
        /// The caller's request.
        pub body: Box<str>,
        /// W3C trace context of the asking span.
        pub trace: Option<Box<str>>,
    }

    /// How non-idempotent work ended.
    #[serde(rename_all = "snake_case")]
    pub enum RunReply {
        /// The backend server ran it.
        Done {
            /// Its reply.
            body: Box<str>,
        },
        /// No backend server started it.
        NotRun {
            /// Why.
            reason: Refusal,
        },
        /// It was sent and its end is not known.
        Unknown,
    }
}

/// Methods of a gate.
#[rpc(server, client, namespace = "gate")]
pub trait GateRpc {
    /// Runs a batch; each attempt's result is an item of the subscription.
    /// Dropping the subscription cancels what is left of the batch.
    #[subscription(name = "ask", unsubscribe = "cancel", item = AskReply)]
    async fn ask(&self, batch: AskBatch) -> SubscriptionResult;

    /// Runs non-idempotent work once.
    #[method(name = "run")]
    async fn run(&self, request: RunRequest) -> RpcResult<RunReply>;

    /// Index versions on the backend servers of a service that this gate owns.
    #[method(name = "index")]
    async fn index(&self, service: Box<str>) -> RpcResult<Vec<ServerIndex>>;

    /// Takes the former owner's warm levels of the servers of a group.
    #[method(name = "hint")]
    async fn hint(&self, levels: Vec<WarmupLevel>) -> RpcResult<()>;
}

message! {
    /// Concurrency that a backend server has been seen to bear.
    #[derive(Eq)]
    pub struct WarmupLevel {
        /// Name of the backend server.
        pub server: Box<str>,
        /// Concurrent requests.
        pub level: u32,
    }
}
