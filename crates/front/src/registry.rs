//! The registry that holds the operators' configuration and the list of
//! backend servers. An adapter implements it over the platform's store.

use std::time::Duration;

use async_trait::async_trait;
use chervil_base::message;
use chervil_base::value;
use chervil_route::config::Config;
use chervil_route::fleet::BackendEntry;
use chervil_route::peers::Peer;
use snafu::Snafu;

message! {
    /// One change of the registry.
    pub enum Event {
        /// A configuration.
        Config(Box<Config>),
        /// An availability zone gets no new requests.
        Evacuated(Box<str>),
        /// An availability zone gets requests again.
        Restored(Box<str>),
        /// A backend server.
        Server(Box<BackendEntry>),
        /// A backend server is gone.
        ServerGone(Box<str>),
        /// A host of the deployment.
        Host(Box<str>, Peer),
        /// Another host is gone.
        HostGone(Box<str>),
        /// A backend server that hosts have seen in trouble.
        Trouble(Box<str>),
        /// A backend server that has as many connections as it accepts.
        Crowded(Box<str>),
        /// A value that cannot be used.
        Unreadable {
            /// Key of the value.
            key: Box<str>,
            /// Why.
            reason: Box<str>,
        },
    }
}

value! {
    /// Events up to a revision.
    pub struct Changes {
        /// Events, oldest first.
        pub events: Vec<Event>,
        /// Revision after the last event.
        pub revision: u64,
    }

    /// The entry of this host in the registry, which lapses unless renewed.
    #[derive(Copy)]
    pub struct Presence {
        /// Lease that holds the entry.
        pub lease: u64,
    }
}

/// Why a call to the registry failed.
#[derive(Clone, Debug, PartialEq, Snafu)]
pub enum RegistryError {
    /// The changes since the revision are no longer kept.
    #[snafu(display("the registry has dropped its history; list it again"))]
    HistoryLost,
    /// The entry of this host has lapsed.
    #[snafu(display("the entry of this host has lapsed; announce it again"))]
    Lapsed,
    /// The registry refused the call.
    #[snafu(display("the registry answered {status}; retry later"))]
    Refused {
        /// Status code.
        status: u16,
    },
    /// The registry cannot be reached or does not reply.
    #[snafu(display("the registry cannot be reached ({reason}); check the path to it"))]
    Unreachable {
        /// What failed.
        reason: Box<str>,
    },
    /// The reply cannot be read.
    #[snafu(display("the registry sent an unreadable reply ({reason}); check its version"))]
    Unreadable {
        /// What failed.
        reason: Box<str>,
    },
}

/// Configuration, availability zones, backend servers and hosts.
#[async_trait]
pub trait Registry: Send + Sync {
    /// Everything, as events.
    async fn list(&self) -> Result<Changes, RegistryError>;

    /// What has changed after `revision`; waits up to `wait` for a change.
    async fn changes(&self, revision: u64, wait: Duration) -> Result<Changes, RegistryError>;

    /// Enters this host for `ttl`.
    async fn announce(
        &self,
        host: &str,
        peer: Peer,
        ttl: Duration,
    ) -> Result<Presence, RegistryError>;

    /// Extends the entry of this host.
    async fn renew(&self, presence: Presence) -> Result<(), RegistryError>;
}
