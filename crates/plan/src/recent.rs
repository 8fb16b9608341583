//! Digests of requests that succeeded recently and need no canary.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::digest::Digest;

/// Digests of one generation; two generations are held.
const CAPACITY: usize = 65_536;

/// Bounded set of digests; each is held for one to two times `keep`, or less
/// when many are added.
#[derive(Clone, Debug)]
pub struct RecentSuccesses {
    keep: Duration,
    current: HashSet<Digest>,
    previous: HashSet<Digest>,
    started: Option<Instant>,
}

impl RecentSuccesses {
    /// An empty set.
    pub fn new(keep: Duration) -> RecentSuccesses {
        let (current, previous) = (HashSet::default(), HashSet::default());
        RecentSuccesses { keep, current, previous, started: None }
    }

    /// Adds a digest.
    pub fn insert(&mut self, digest: Digest, now: Instant) {
        self.rotate(now);
        self.current.insert(digest);
    }

    /// Removes a digest.
    pub fn remove(&mut self, digest: Digest) {
        self.current.remove(&digest);
        self.previous.remove(&digest);
    }

    /// Whether a digest is held.
    pub fn contains(&mut self, digest: Digest, now: Instant) -> bool {
        self.rotate(now);
        self.current.contains(&digest) || self.previous.contains(&digest)
    }

    fn rotate(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        let age = now.saturating_duration_since(started);
        if age >= self.keep || self.current.len() >= CAPACITY {
            self.previous = std::mem::take(&mut self.current);
            if age >= self.keep * 2 {
                self.previous.clear();
            }
            self.started = Some(now);
        }
    }
}
