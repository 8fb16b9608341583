//! The platform's services as chervillink sees them: a key-value store and a
//! list of hosts. An adapter to another platform implements these traits.

use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::message;
use snafu::Snafu;

mod http;

pub use http::HttpError;
pub use http::HttpHosts;
pub use http::HttpSettings;
pub use http::HttpStore;

/// Largest value that the store holds, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Revision of one key; 0 means that the key is absent.
pub type Revision = u64;

message! {
    /// A value and the revision that its last write got.
    #[derive(Eq)]
    pub struct Versioned {
        /// Key.
        pub key: Box<str>,
        /// Content.
        pub value: Box<str>,
        /// Revision of the key.
        pub revision: Revision,
    }

    /// A host as the platform lists it. The list lags.
    #[derive(Eq)]
    pub struct ListedHost {
        /// Name, unique among hosts.
        pub host: Box<str>,
        /// Availability zone that it stands in.
        pub zone: Box<str>,
        /// Address of its agent.
        pub agent: SocketAddr,
        /// Address of its gate.
        pub gate: SocketAddr,
        /// Whether it is leaving.
        pub leaving: bool,
    }
}

/// Why a call to the store failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// Another write came first; nothing was written.
    #[snafu(display("the value changed since it was read; read it again and retry"))]
    Conflict {
        /// Revision that the key has now.
        current: Revision,
    },
    /// The call did not reach the store; nothing was written.
    #[snafu(display("the platform's store cannot be reached; retry when it is back"))]
    Unavailable,
    /// No reply came; a write may or may not have taken effect.
    #[snafu(display("the platform's store did not reply; read the value to learn what happened"))]
    Unknown,
    /// The value is larger than the store holds; nothing was written.
    #[snafu(display(
        "a value of {size} bytes exceeds the store's limit of {MAX_VALUE_BYTES}; split it"
    ))]
    TooLarge {
        /// Size of the value.
        size: usize,
    },
}

/// Key-value service with compare-and-swap and watches.
///
/// Leases of the store are not used: nothing may rest on a lease that can
/// lapse while its holder is paused.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads a key.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes a key if its revision is `expected`; returns the new revision.
    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError>;

    /// Deletes a key if its revision is `expected`.
    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError>;

    /// Waits until the key's revision differs from `after`, for `wait` at most.
    /// Returns `None` when the wait ended without a change or the key is absent.
    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;

    /// Keys that start with `prefix`, with their revisions.
    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError>;
}

/// The platform's list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Hosts listed now.
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
}
