//! Digests of requests and stable hashes for placement.

use std::hash::Hasher;

use twox_hash::XxHash3_64;

/// Identifies the content of a request, across callers, hosts and resends.
pub type Digest = u64;

/// Digest of a request to a service.
pub fn request_digest(service: &str, body: &[u8]) -> Digest {
    let mut h = XxHash3_64::with_seed(0);
    h.write(service.as_bytes());
    h.write_u8(0);
    h.write(body);
    h.finish()
}

/// Rendezvous weight of `host` for `item`; the highest weight comes first.
pub fn rendezvous_weight(host: &str, item: &str) -> u64 {
    let mut h = XxHash3_64::with_seed(1);
    h.write(host.as_bytes());
    h.write_u8(0);
    h.write(item.as_bytes());
    h.finish()
}

/// Hash that is stable across processes and releases.
pub fn stable_hash(text: &str) -> u64 {
    XxHash3_64::oneshot(text.as_bytes())
}
