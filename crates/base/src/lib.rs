//! Types shared by all chervillink crates: the clock, the catalog of services
//! and backend servers, shard sets and maps, digests, coverage and outcomes.

mod macros;

pub mod catalog;
pub mod clock;
pub mod coverage;
pub mod digest;
pub mod index;
pub mod shards;

/// Hash map with a fast, non-cryptographic hasher.
pub type HashMap<K, V> = std::collections::HashMap<K, V, rustc_hash::FxBuildHasher>;

/// Hash set with a fast, non-cryptographic hasher.
pub type HashSet<T> = std::collections::HashSet<T, rustc_hash::FxBuildHasher>;
