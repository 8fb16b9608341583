//! What all tasks of a host share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Instant;

use chervil_base::clock::Clock;

use crate::logs::Log;
use crate::metrics::Metrics;
use crate::names::HeaderNames;
use crate::pool::Pools;
use crate::state::State;

/// Shared parts of a host.
pub struct Core {
    /// Header names.
    pub names: HeaderNames,
    /// Log.
    pub log: Log,
    /// Metrics.
    pub metrics: Metrics,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    pools: Mutex<Pools>,
}

impl Core {
    /// Puts the parts together.
    pub fn new(
        names: HeaderNames,
        log: Log,
        metrics: Metrics,
        clock: Arc<dyn Clock>,
        state: State,
    ) -> Core {
        let pools = Mutex::new(Pools::default());
        Core { names, log, metrics, clock, state: Mutex::new(state), pools }
    }

    /// Monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// State, never held across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Idle connections, never held across a wait.
    pub fn pools(&self) -> MutexGuard<'_, Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
