//! What became of a request at the backend servers that got it.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;

use chervil_route::crashes::MAX_CRASHES_PER_SEND;

use crate::core::Core;

/// What became of a request at the backend servers that got it, over all of its attempts.
#[derive(Debug, Default)]
pub struct Losses {
    disconnected: AtomicBool,
    /// Confirmed crashes.
    crashes: AtomicU32,
    /// Servers that got the request and of which nothing has shown that they survived it.
    unresolved: AtomicU32,
    /// Whether the caller got a complete answer.
    answered: AtomicBool,
}

impl Losses {
    /// Whether another crash counts against the request; counts it if so.
    pub fn count_crash(&self) -> bool {
        self.crashes.fetch_add(1, Ordering::Relaxed) < MAX_CRASHES_PER_SEND
    }

    /// Records that a backend server disconnected while it executed the request.
    pub fn record_disconnect(&self) {
        self.disconnected.store(true, Ordering::Relaxed);
    }

    /// Whether a backend server disconnected while it executed the request.
    pub fn was_disconnected(&self) -> bool {
        self.disconnected.load(Ordering::Relaxed)
    }

    /// Records that the request was sent to a backend server.
    pub fn record_send(&self) {
        self.unresolved.fetch_add(1, Ordering::Relaxed);
    }

    /// Records that a backend server that got the request has survived it: it has answered, or
    /// was sound when it cannot have been executing the request any more.
    pub fn record_survivor(&self, core: &Core, digest: u64) {
        self.unresolved.fetch_sub(1, Ordering::Relaxed);
        self.acquit_if_resolved(core, digest);
    }

    /// Records a complete answer to the request.
    pub fn record_answer(&self, core: &Core, digest: u64) {
        self.answered.store(true, Ordering::Relaxed);
        self.acquit_if_resolved(core, digest);
    }

    /// Acquits a request that has been answered in full and that all servers have survived.
    fn acquit_if_resolved(&self, core: &Core, digest: u64) {
        let is_resolved = self.unresolved.load(Ordering::Relaxed) == 0;
        if is_resolved && self.answered.load(Ordering::Relaxed) && !self.was_disconnected() {
            core.state().crashes.acquit(digest);
        }
    }
}
