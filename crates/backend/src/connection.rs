//! The protocol of backend servers as the gate sees it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::index::HeldVersion;
use chervil_base::shards::Shard;
use chervil_base::value;
use chervil_rpc::gate::Row;
use snafu::Snafu;

value! {
    /// Request for one shard.
    #[derive(Eq)]
    pub struct AskCall {
        /// Service asked.
        pub service: Box<str>,
        /// Shard asked for.
        pub shard: Shard,
        /// Pinned index version.
        pub version: u64,
        /// Identifies the attempt in the server's logs.
        pub request_id: Box<str>,
        /// Time left for the reply.
        pub timeout: Duration,
        /// The caller's query; the attempts of a batch share it.
        pub body: Arc<str>,
        /// W3C trace context of the asking span.
        pub traceparent: Option<Box<str>>,
    }

    /// Load that a server reports.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Requests that run at the server.
        pub running: u32,
        /// Requests that it can run at once.
        pub slots: u32,
        /// Time since its start.
        pub uptime: Duration,
    }

    /// Reply to a request for one shard.
    pub struct AskResponse {
        /// Index version that the reply was taken from.
        pub version: u64,
        /// Rows of the shard.
        pub rows: Vec<Row>,
        /// Whether the server declared its reply partial.
        pub partial: bool,
        /// Load at the time of the reply, when reported.
        pub load: Option<Load>,
    }

    /// Non-idempotent work.
    #[derive(Eq)]
    pub struct RunCall {
        /// Service that runs it.
        pub service: Box<str>,
        /// Idempotency key.
        pub key: Box<str>,
        /// Time left for the reply.
        pub timeout: Duration,
        /// The caller's request.
        pub body: Arc<str>,
        /// W3C trace context of the asking span.
        pub traceparent: Option<Box<str>>,
    }

    /// Reply to non-idempotent work.
    #[derive(Eq)]
    pub struct RunResponse {
        /// The server's reply.
        pub body: Box<str>,
        /// Load at the time of the reply, when reported.
        pub load: Option<Load>,
    }

    /// State that a server reports of itself.
    #[derive(Eq)]
    pub struct ServerStatus {
        /// Index versions that it holds.
        pub versions: Vec<HeldVersion>,
        /// Its load.
        pub load: Load,
        /// Whether it is leaving.
        pub draining: bool,
    }

    /// Why a server did not start work.
    #[derive(Copy, Eq)]
    pub enum ServerRefusal {
        /// All its slots are in use.
        Busy,
        /// It is in a cold start and bears no more.
        Cold,
        /// It is leaving.
        Draining,
    }
}

/// How a call failed. Only [`RequestError::NotConnected`] and
/// [`RequestError::Refused`] prove that the work was not started.
#[derive(Debug, PartialEq, Snafu)]
pub enum RequestError {
    /// The request was never written, as there was no connection.
    #[snafu(display("no connection to the backend server: {cause}; check that it listens"))]
    NotConnected {
        /// What failed.
        cause: Box<str>,
    },
    /// The server refused the request explicitly.
    #[snafu(display("the backend server refused the request as {refusal:?}; ask another replica"))]
    Refused {
        /// Its reason.
        refusal: ServerRefusal,
    },
    /// The connection was lost after the request was written.
    #[snafu(display(
        "the connection was lost while the request ran: {cause}; ask another replica"
    ))]
    ConnectionLost {
        /// What failed.
        cause: Box<str>,
    },
    /// No reply came in time.
    #[snafu(display("no reply came in time; ask another replica or allow more time"))]
    TimedOut,
    /// The server does not hold the version or shard.
    #[snafu(display("the backend server does not hold the index version; ask for a held one"))]
    WrongVersion {
        /// What it holds, when it says so.
        held: Vec<HeldVersion>,
    },
    /// The server failed, or its reply cannot be read.
    #[snafu(display("the reply cannot be used: {cause}; check the backend server's version"))]
    InvalidReply {
        /// What is wrong with the reply.
        cause: Box<str>,
    },
}

/// Opens connections to backend servers.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection and proves it live with a first status request.
    ///
    /// [`RequestError::TimedOut`] means that the server accepted the connection
    /// and did not reply.
    async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<Opened, RequestError>;

    /// Returns a connection that the first request on it opens, for servers
    /// whose status cannot be read.
    fn open_lazy(&self, address: SocketAddr) -> Result<Box<dyn Connection>, RequestError>;
}

/// A connection that has just been opened.
pub struct Opened {
    /// The connection.
    pub connection: Box<dyn Connection>,
    /// What the server reported on it.
    pub status: ServerStatus,
}

/// One connection to a backend server; it carries one request at a time.
///
/// Dropping a call's future or the connection closes the connection, which
/// cancels the request at the server.
#[async_trait]
pub trait Connection: Send + Sync {
    /// Requests one shard.
    async fn ask(&self, call: &AskCall) -> Result<AskResponse, RequestError>;

    /// Sends non-idempotent work once.
    async fn run(&self, call: &RunCall) -> Result<RunResponse, RequestError>;

    /// Requests the server's status.
    async fn status(&self, timeout: Duration) -> Result<ServerStatus, RequestError>;

    /// Closes the connection.
    fn close(self: Box<Self>);
}
