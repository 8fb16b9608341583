//! Digests of requests that succeeded recently and may skip the canary probe.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::digest::Digest;

/// Maximum number of digests in one of the two generations.
const GENERATION_CAPACITY: usize = 65_536;

/// Bounded set of request digests in two generations.
///
/// A digest is kept for one to two times `ttl`, or for less when a generation
/// reaches its capacity earlier.
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    ttl: Duration,
    current: HashSet<Digest>,
    previous: HashSet<Digest>,
    rotated_at: Option<Instant>,
}

impl RecentSuccesses {
    /// Creates an empty set.
    pub fn new(ttl: Duration) -> RecentSuccesses {
        let (current, previous) = (HashSet::default(), HashSet::default());
        RecentSuccesses { ttl, current, previous, rotated_at: None }
    }

    /// Adds the digest of a request that succeeded.
    pub fn insert(&mut self, digest: Digest, now: Instant) {
        self.rotate(now);
        self.current.insert(digest);
    }

    /// Removes a digest, so that the next request with it is probed again.
    pub fn remove(&mut self, digest: Digest) {
        self.current.remove(&digest);
        self.previous.remove(&digest);
    }

    /// Whether the digest succeeded recently.
    pub fn contains(&mut self, digest: Digest, now: Instant) -> bool {
        self.rotate(now);
        self.current.contains(&digest) || self.previous.contains(&digest)
    }

    fn rotate(&mut self, now: Instant) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        let age = now.saturating_duration_since(rotated_at);
        if age >= self.ttl || self.current.len() >= GENERATION_CAPACITY {
            self.previous = std::mem::take(&mut self.current);
            if age >= self.ttl * 2 {
                self.previous.clear();
            }
            self.rotated_at = Some(now);
        }
    }
}
