//! What all tasks of a host share.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::clock::Clock;
use chervil_base::message;
use chervil_route::fleet::BackendKey;

use crate::logs::LogLimiter;
use crate::metrics::Metrics;
use crate::names::HeaderNames;
use crate::pool::Pools;
use crate::state::Choice;
use crate::state::State;

message! {
    /// What a host has seen of backend servers, by id.
    #[derive(Default)]
    pub struct Reports {
        /// Attempts at them failed or took long.
        #[serde(rename = "trouble")]
        pub unhealthy: HashSet<Box<str>>,
        /// They reset new connections.
        #[serde(rename = "crowded")]
        pub at_limit: HashSet<Box<str>>,
    }
}

fn note(ids: &mut HashSet<Box<str>>, id: &str) {
    if !ids.contains(id) {
        ids.insert(id.into());
    }
}

/// Shared parts of a host.
pub struct Core {
    /// Header names.
    pub names: HeaderNames,
    /// Log.
    pub log_limiter: LogLimiter,
    /// Metrics.
    pub metrics: Metrics,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    pools: Mutex<Pools>,
    reports: Mutex<Reports>,
}

impl Core {
    /// Puts the parts together.
    pub fn new(
        names: HeaderNames,
        log_limiter: LogLimiter,
        metrics: Metrics,
        clock: Arc<dyn Clock>,
        state: State,
    ) -> Core {
        let pools = Mutex::new(Pools::default());
        let reports = Mutex::default();
        Core { names, log_limiter, metrics, clock, state: Mutex::new(state), pools, reports }
    }

    /// Notes a backend server that was seen in trouble.
    pub fn report_unhealthy(&self, id: &str) {
        note(&mut self.reports().unhealthy, id);
    }

    /// Notes a backend server that reset a new connection.
    pub fn report_at_limit(&self, id: &str) {
        note(&mut self.reports().at_limit, id);
    }

    /// Takes what was noted since the last call.
    pub fn take_reports(&self) -> Reports {
        std::mem::take(&mut *self.reports())
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes in that a backend server is crowded; true if that is news.
    pub fn mark_at_limit(&self, id: &str) -> bool {
        let key = self.state().mark_at_limit(id, self.now());
        if let Some(key) = key {
            self.pools().close_idle(key);
        }
        key.is_some()
    }

    /// Monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// State, never held across a wait.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server of a service that was not tried yet, and begins
    /// an attempt at it that typically takes `expected`.
    pub fn choose(
        &self,
        service: &str,
        tried: &[BackendKey],
        expected: Duration,
    ) -> Option<Choice> {
        let now = self.now();
        let mut state = self.state();
        state.choose(service, tried, expected, &self.pools(), now)
    }

    /// Idle connections, never held across a wait.
    pub fn pools(&self) -> MutexGuard<'_, Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
