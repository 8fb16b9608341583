//! Interface to the platform's services: a key-value store and a list of hosts.
//! [`HttpStore`] and [`HttpHosts`] implement it over HTTP; support for another
//! platform implements the traits [`Store`] and [`HostList`].

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

/// Maximum size of a value in the store, in bytes.
pub const MAX_VALUE_BYTES: usize = 1_000_000;

/// Revision of a key, changed by each write; 0 means that the key is absent.
pub type Revision = u64;

message! {
    /// A key with its value and the revision of the last write.
    #[derive(Eq)]
    pub struct Versioned {
        /// Key in the store.
        pub key: Box<str>,
        /// Value, at most [`MAX_VALUE_BYTES`] long.
        pub value: Box<str>,
        /// Revision that the last write created.
        pub revision: Revision,
    }

    /// A host in the platform's list, which may be out of date.
    #[derive(Eq)]
    pub struct ListedHost {
        /// Name, unique among the listed hosts.
        pub host: Box<str>,
        /// Availability zone of the host.
        pub zone: Box<str>,
        /// Address of its agent.
        pub agent: SocketAddr,
        /// Address of its gate.
        pub gate: SocketAddr,
        /// Whether it is leaving the installation.
        pub leaving: bool,
    }
}

/// Why a call to the platform failed.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum StoreError {
    /// The key does not have the expected revision; nothing was written.
    #[snafu(display(
        "the key changed since it was read and is now at revision {current}; read it again and \
         retry"
    ))]
    Conflict {
        /// Current revision of the key; 0 if it is absent.
        current: Revision,
    },
    /// The platform could not be reached, or a read got no usable response.
    /// Nothing was written.
    #[snafu(display(
        "the platform cannot be reached or does not answer; check its address and retry when it is \
         back"
    ))]
    Unavailable,
    /// The call was sent and got no usable response; a write may have taken
    /// effect.
    #[snafu(display(
        "the store did not answer; a write may have taken effect, read the key before a retry"
    ))]
    Unknown,
    /// The value exceeds [`MAX_VALUE_BYTES`]; nothing was written.
    #[snafu(display(
        "a value of {size} bytes exceeds the store's limit of {MAX_VALUE_BYTES} bytes; split it"
    ))]
    TooLarge {
        /// Size of the value, in bytes.
        size: usize,
    },
}

/// Key-value store with compare-and-swap and watches.
///
/// The interface leaves out the store's leases on purpose: a lease can expire
/// while its holder is paused, so no decision may depend on one.
#[async_trait]
pub trait Store: Send + Sync {
    /// Reads a key; `None` if it is absent.
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError>;

    /// Writes a key if its revision is `expected` (0 creates it) and returns the
    /// new revision. Otherwise fails with [`StoreError::Conflict`].
    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError>;

    /// Deletes a key if its revision is `expected`. Otherwise fails with
    /// [`StoreError::Conflict`].
    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError>;

    /// Waits up to `wait` until the key's revision differs from `after`, and
    /// returns its value. Returns `None` if there was no change or the key is
    /// absent.
    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError>;

    /// Lists the keys that start with `prefix`, with their revisions.
    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError>;
}

/// The platform's list of hosts.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Reads the current list.
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError>;
}
