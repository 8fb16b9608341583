//! Interface to the registry, which holds the operators' configuration, the
//! evacuated availability zones, the backend servers and the hosts. An adapter
//! implements it on top of the platform's store.

use std::time::Duration;

use async_trait::async_trait;
use chervil_base::message;
use chervil_base::value;
use chervil_route::config::Config;
use chervil_route::config::ConfigDelta;
use chervil_route::crashes::CrashRecord;
use chervil_route::fleet::BackendEntry;
use chervil_route::history::Position;
use chervil_route::peers::Peer;
use snafu::Snafu;
use tokio::time;

message! {
    /// A change in the registry, or a state that hosts have detected. Each event
    /// states what holds from then on, so applying it twice is harmless.
    pub enum Event {
        /// The operators' configuration was set or replaced.
        Config(Box<Config>),
        /// The operators' configuration changed.
        ConfigDelta(Box<ConfigDelta>),
        /// An availability zone was evacuated: it gets no new requests.
        Evacuated(Box<str>),
        /// The evacuation of an availability zone was revoked.
        Restored(Box<str>),
        /// A backend server was added, or its entry changed.
        Server(Box<BackendEntry>),
        /// The entry of the backend server with this id was removed.
        #[serde(rename = "ServerGone")]
        ServerRemoved(Box<str>),
        /// A host, given by name, was added, or its entry changed.
        Host(Box<str>, Peer),
        /// The entry of the host with this name was removed.
        #[serde(rename = "HostGone")]
        HostRemoved(Box<str>),
        /// Hosts have agreed that the backend server with this id is degraded.
        #[serde(rename = "Trouble")]
        Degraded(Box<str>),
        /// The backend server with this id has reached its connection limit.
        #[serde(rename = "Crowded")]
        AtConnectionLimit(Box<str>),
        /// The backend server with this id takes a limited rate of requests from all hosts.
        ServerLimit {
            /// Id of the backend server.
            id: Box<str>,
            /// Requests per second.
            rate: f64,
        },
        /// The backend server with this id no longer names a limit.
        ServerLimitEnded(Box<str>),
        /// The instance of a backend server said in an answer that it leaves.
        ServerLeaving {
            /// Id of the backend server.
            id: Box<str>,
            /// Start time of the instance, if announced.
            started_at_ms: Option<u64>,
        },
        /// A backend server crashed while it executed a request.
        RequestCrash(CrashRecord),
        /// The value under a key cannot be decoded.
        Unreadable {
            /// Key of the value in the registry.
            key: Box<str>,
            /// Cause, for the log.
            reason: Box<str>,
        },
    }
}

/// Kinds of events, as they are named in messages.
const KINDS: [&str; 15] = [
    "Config",
    "ConfigDelta",
    "Evacuated",
    "Restored",
    "Server",
    "ServerGone",
    "Host",
    "HostGone",
    "Trouble",
    "Crowded",
    "ServerLimit",
    "ServerLimitEnded",
    "ServerLeaving",
    "RequestCrash",
    "Unreadable",
];

impl Event {
    /// Whether this version knows a kind of events.
    pub fn is_known(kind: &str) -> bool {
        KINDS.contains(&kind)
    }

    /// First version of what hosts say to each other that has this kind of events; see
    /// [`FORMAT`](chervil_route::peers::FORMAT). Hosts of versions before it cannot read a
    /// message that contains one.
    pub fn format(&self) -> u32 {
        match self {
            Event::ServerLeaving { .. } | Event::RequestCrash(_) => 1,
            _ => 0,
        }
    }
}

value! {
    /// Events of the registry up to a position in its history.
    pub struct Changes {
        /// Events, oldest first.
        pub events: Vec<Event>,
        /// Position from which the next call of [`Registry::changes`] continues. Events of
        /// [`Registry::changes`] in another era than before do not continue the state.
        pub position: Position,
        /// Position at which the latest of the events was read. It is after `position` if a list
        /// came in several pages while the registry changed.
        pub read_until: Position,
    }

    /// The entry of this host in the registry. It is removed when its lease
    /// expires.
    #[derive(Copy)]
    pub struct Registration {
        /// Lease to which the entry is attached.
        pub lease: u64,
    }
}

/// Why a call to the registry failed.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum RegistryError {
    /// The registry no longer keeps the changes since the requested revision.
    #[snafu(display("the registry no longer keeps changes since this revision; list it again"))]
    HistoryLost,
    /// The lease of this host's entry has expired.
    #[snafu(display("the lease of this host's registry entry has expired; register again"))]
    LeaseExpired,
    /// The registry refused the call.
    #[snafu(display("the registry answered with HTTP status {status}; retry later"))]
    Refused {
        /// HTTP status code.
        status: u16,
    },
    /// The registry cannot be reached or does not reply.
    #[snafu(display("the registry cannot be reached ({reason}); check the network path to it"))]
    Unreachable {
        /// Cause, for the log.
        reason: Box<str>,
    },
    /// The reply exceeds the memory for replies.
    #[snafu(display(
        "the reply of the registry is too large, or does not end; check what is stored there"
    ))]
    TooLarge,
    /// The reply cannot be decoded.
    #[snafu(display("cannot decode the reply of the registry ({reason}); check its version"))]
    Unreadable {
        /// Cause, for the log.
        reason: Box<str>,
    },
}

impl RegistryError {
    /// The error of a call without a reply within `timeout`.
    pub fn timed_out(timeout: Duration) -> RegistryError {
        let reason = format!("no reply within {} ms", timeout.as_millis());
        RegistryError::Unreachable { reason: reason.into() }
    }
}

/// Waits for the result of a call, which fails after `timeout`.
pub async fn within<Value, Call>(timeout: Duration, call: Call) -> Result<Value, RegistryError>
where
    Call: Future<Output = Result<Value, RegistryError>>,
{
    time::timeout(timeout, call).await.unwrap_or_else(|_| Err(RegistryError::timed_out(timeout)))
}

/// Read access to the registry, and the registration of this host.
#[async_trait]
pub trait Registry: Send + Sync {
    /// The full state of the registry, as events.
    async fn list(&self) -> Result<Changes, RegistryError>;

    /// Changes after a revision of the present era. Waits up to `wait` if there are none yet.
    /// Fails with [`RegistryError::HistoryLost`] if the revision is too old.
    async fn changes(&self, revision: u64, wait: Duration) -> Result<Changes, RegistryError>;

    /// Creates the entry of this host under a new lease that lasts for `ttl`.
    async fn register(
        &self,
        host: &str,
        peer: &Peer,
        ttl: Duration,
    ) -> Result<Registration, RegistryError>;

    /// Writes that backend servers crashed while they executed requests. The records are
    /// removed after `ttl`.
    async fn record_crashes(
        &self,
        records: &[CrashRecord],
        ttl: Duration,
    ) -> Result<(), RegistryError>;

    /// Renews the lease of this host's entry. Fails with
    /// [`RegistryError::LeaseExpired`] if it has already expired.
    async fn renew(&self, registration: Registration) -> Result<(), RegistryError>;
}
