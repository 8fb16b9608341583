//! Requests that crash the backend servers that run them.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;

/// Crashed backend servers after which a request is no longer sent.
const LOST_LIMIT: u32 = 3;

/// Time after which a crash is forgotten.
const RETENTION: Duration = Duration::from_secs(120);

/// Digests that are remembered; the oldest goes first.
const CAPACITY: usize = 4_096;

value! {
    /// Digests of requests that crashed backend servers.
    #[derive(Default)]
    pub struct CrashTracker {
        lost: HashMap<u64, Loss>,
    }

    #[derive(Copy)]
    struct Loss {
        count: u32,
        at: Instant,
    }
}

impl CrashTracker {
    /// Whether the request must not be sent again.
    pub fn is_blocked(&self, digest: u64, now: Instant) -> bool {
        let fresh = |l: &&Loss| now.duration_since(l.at) < RETENTION;
        self.lost.get(&digest).filter(fresh).is_some_and(|l| l.count >= LOST_LIMIT)
    }

    /// Counts a backend server that was lost while it ran the request.
    pub fn record_crash(&mut self, digest: u64, now: Instant) {
        if self.lost.len() >= CAPACITY {
            let oldest = self.lost.iter().min_by_key(|(_, l)| l.at).map(|(d, _)| *d);
            oldest.and_then(|d| self.lost.remove(&d));
        }
        let loss = self.lost.entry(digest).or_insert(Loss { count: 0, at: now });
        if now.duration_since(loss.at) >= RETENTION {
            loss.count = 0;
        }
        loss.count += 1;
        loss.at = now;
    }

    /// Forgets a request that a backend server answered.
    pub fn clear(&mut self, digest: u64) {
        self.lost.remove(&digest);
    }
}
