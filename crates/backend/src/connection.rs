//! Traits and types of connections to backend servers, independent of the wire
//! protocol.

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
    /// Request for the rows of one shard.
    #[derive(Eq)]
    pub struct AskCall {
        /// Name of the service.
        pub service: Box<str>,
        /// Requested shard.
        pub shard: Shard,
        /// Requested index version; the server must not reply from another one.
        pub version: u64,
        /// Request id, which identifies the attempt in the server's logs.
        pub request_id: Box<str>,
        /// Time left for the reply.
        pub timeout: Duration,
        /// The caller's query, shared by the attempts of a batch.
        pub body: Arc<str>,
        /// `traceparent` value (W3C Trace Context) of the calling span.
        pub traceparent: Option<Box<str>>,
    }

    /// Load report of a backend server.
    #[derive(Copy, Eq)]
    pub struct Load {
        /// Number of requests that the server is running.
        pub running: u32,
        /// Number of requests that it can run at once.
        pub slots: u32,
        /// Time since the server started.
        pub uptime: Duration,
    }

    /// Reply to an [`AskCall`].
    pub struct AskResponse {
        /// Index version that the rows come from.
        pub version: u64,
        /// Rows of the shard.
        pub rows: Vec<Row>,
        /// Whether the server marked its reply as partial.
        pub partial: bool,
        /// Load at the time of the reply; `None` if the server did not report it.
        pub load: Option<Load>,
    }

    /// Non-idempotent request.
    #[derive(Eq)]
    pub struct RunCall {
        /// Name of the service.
        pub service: Box<str>,
        /// Idempotency key.
        pub key: Box<str>,
        /// Time left for the reply.
        pub timeout: Duration,
        /// The caller's request.
        pub body: Arc<str>,
        /// `traceparent` value (W3C Trace Context) of the calling span.
        pub traceparent: Option<Box<str>>,
    }

    /// Reply to a [`RunCall`].
    #[derive(Eq)]
    pub struct RunResponse {
        /// Body of the server's reply.
        pub body: Box<str>,
        /// Load at the time of the reply; `None` if the server did not report it.
        pub load: Option<Load>,
    }

    /// Reply to a status request.
    #[derive(Eq)]
    pub struct ServerStatus {
        /// Index versions that the server holds.
        pub versions: Vec<HeldVersion>,
        /// Load of the server.
        pub load: Load,
        /// Whether the server is draining.
        pub draining: bool,
    }

    /// Why a backend server did not start a request.
    #[derive(Copy, Eq)]
    pub enum ServerRefusal {
        /// All its slots are in use.
        Busy,
        /// It is still warming up and accepts no more requests.
        Cold,
        /// It is draining.
        Draining,
    }
}

/// Why a request failed. Only [`RequestError::NotConnected`] and
/// [`RequestError::Refused`] guarantee that the backend server did not start it.
#[derive(Debug, PartialEq, Snafu)]
pub enum RequestError {
    /// The request was not written because there was no connection.
    #[snafu(display("no connection to the backend server: {cause}; check that it listens"))]
    NotConnected {
        /// Description of the failure.
        cause: Box<str>,
    },
    /// The server replied that it did not start the request.
    #[snafu(display("the backend server refused the request: {refusal:?}; ask another replica"))]
    Refused {
        /// Reason that the server gave.
        refusal: ServerRefusal,
    },
    /// The connection was lost after the request was written.
    #[snafu(display(
        "connection to the backend server lost before the whole reply arrived: {cause}; \
         ask another replica"
    ))]
    ConnectionLost {
        /// Description of the failure.
        cause: Box<str>,
    },
    /// No reply arrived before the timeout.
    #[snafu(display(
        "no reply from the backend server before the timeout; ask another replica or \
         raise the timeout"
    ))]
    TimedOut,
    /// The server does not hold the requested index version or shard.
    #[snafu(display(
        "the backend server does not hold the requested index version or shard; \
         request a version that it holds"
    ))]
    WrongVersion {
        /// Index versions that the server holds; empty if it did not report them.
        held: Vec<HeldVersion>,
    },
    /// The server failed, or its reply could not be parsed.
    #[snafu(display(
        "invalid reply from the backend server: {cause}; check its logs and its version"
    ))]
    InvalidReply {
        /// What is wrong with the reply.
        cause: Box<str>,
    },
}

/// Opens connections to backend servers.
#[async_trait]
pub trait Connector: Send + Sync {
    /// Opens a connection and checks it with a status request.
    ///
    /// # Errors
    ///
    /// [`RequestError::TimedOut`] if the server accepted the connection but did not
    /// reply in time, [`RequestError::NotConnected`] for all other failures.
    async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<Opened, RequestError>;

    /// Returns a connection that is opened by the first request on it. For servers
    /// that do not reply to status requests.
    fn open_lazy(&self, address: SocketAddr) -> Result<Box<dyn Connection>, RequestError>;
}

/// Result of opening a connection.
pub struct Opened {
    /// The connection.
    pub connection: Box<dyn Connection>,
    /// Status that the server sent on the connection.
    pub status: ServerStatus,
}

/// One connection to a backend server; it carries one request at a time.
///
/// Dropping a call's future or the connection closes the connection, which
/// cancels the request at the server.
#[async_trait]
pub trait Connection: Send + Sync {
    /// Requests the rows of one shard.
    async fn ask(&self, call: &AskCall) -> Result<AskResponse, RequestError>;

    /// Sends a non-idempotent request; it is never sent a second time.
    async fn run(&self, call: &RunCall) -> Result<RunResponse, RequestError>;

    /// Requests the status of the server.
    async fn status(&self, timeout: Duration) -> Result<ServerStatus, RequestError>;

    /// Closes the connection.
    fn close(self: Box<Self>);
}
