//! Request digests, and stable hashes for placement.

use std::hash::Hasher;

use twox_hash::XxHash3_64;

/// Hash of the content of a request. The same request has the same digest
/// whichever caller sends it, whichever host receives it, and when it is
/// retried.
pub type Digest = u64;

/// Digest of a request with the given body to a service.
pub fn request_digest(service: &str, body: &[u8]) -> Digest {
    let mut hasher = XxHash3_64::with_seed(0);
    hasher.write(service.as_bytes());
    hasher.write_u8(0);
    hasher.write(body);
    hasher.finish()
}

/// Weight of `host` for `item` in rendezvous hashing. Hosts are ranked by
/// descending weight.
pub fn rendezvous_weight(host: &str, item: &str) -> u64 {
    let mut hasher = XxHash3_64::with_seed(1);
    hasher.write(host.as_bytes());
    hasher.write_u8(0);
    hasher.write(item.as_bytes());
    hasher.finish()
}

/// Hash of `text` that is the same in all processes and releases.
pub fn stable_hash(text: &str) -> u64 {
    XxHash3_64::oneshot(text.as_bytes())
}
