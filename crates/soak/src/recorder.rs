//! Records what callers and backend servers observe, and the guarantees that
//! were violated.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;

use crate::platform;

/// Time after the last unplanned fault from which on the bounds on planned
/// changes apply again.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Maximum number of violations recorded during a run; further ones are dropped,
/// as one is enough to fail.
const MAX_VIOLATIONS: usize = 40;

#[derive(Debug, Default)]
struct Observations {
    /// Backend servers that ran a request, by request id.
    runs: HashMap<Box<str>, Vec<Box<str>>>,
    /// Ids of the requests that were refused as not executed.
    not_run: Vec<Box<str>>,
    /// Requests whose connection a host closed without an answer while the bounds on planned
    /// changes applied, with the port of the host.
    cut: Vec<(Box<str>, u16)>,
    violations: Vec<String>,
    answered: u64,
    failed: u64,
    /// End of the last unplanned fault; `None` before the first one.
    unplanned_until: Option<Instant>,
    /// Time at which each host was last killed, started or resumed, by port.
    disturbed_at: HashMap<u16, Instant>,
    /// Hosts of a build that does not know the announcements of backend servers, by port.
    unaware: HashSet<u16>,
    /// Times at which callers sent queries.
    queries: Vec<Instant>,
    /// Requests that have arrived at each service.
    arrived: HashMap<Box<str>, HashSet<Box<str>>>,
    /// Times of the arrivals beyond the first of a request, by service.
    extra: HashMap<Box<str>, Vec<Instant>>,
}

/// Handle on the shared observations of a run.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    observations: Arc<Mutex<Observations>>,
}

/// Totals of a run.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Number of requests that succeeded.
    pub answered: u64,
    /// Number of requests that did not.
    pub failed: u64,
    /// Descriptions of the guarantees that were violated.
    pub violations: Vec<String>,
}

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records that a backend server began to run a request.
    pub fn record_run(&self, request: &str, backend: &str) {
        self.lock().runs.entry(request.into()).or_default().push(backend.into());
    }

    /// Records that a request has arrived at a backend server of a service, executed or not.
    pub fn record_arrival(&self, service: &str, request: &str) {
        let mut seen = self.lock();
        let is_first = seen.arrived.entry(service.into()).or_default().insert(request.into());
        if !is_first {
            seen.extra.entry(service.into()).or_default().push(Instant::now());
        }
    }

    /// Records that a caller sends a query.
    pub fn record_query(&self) {
        self.lock().queries.push(Instant::now());
    }

    /// Records that a host was killed, started, suspended or resumed.
    pub fn host_disturbed(&self, port: u16) {
        self.lock().disturbed_at.insert(port, Instant::now());
    }

    /// Sets whether a host runs a build that does not know the announcements of backend servers.
    pub fn set_unaware(&self, port: u16, is_unaware: bool) {
        let mut seen = self.lock();
        if is_unaware {
            seen.unaware.insert(port);
        } else {
            seen.unaware.remove(&port);
        }
    }

    /// Whether a host runs such a build.
    pub fn is_unaware(&self, port: u16) -> bool {
        self.lock().unaware.contains(&port)
    }

    /// Whether any host runs such a build.
    pub fn has_unaware_hosts(&self) -> bool {
        !self.lock().unaware.is_empty()
    }

    /// Whether a host was disturbed after a time.
    pub fn was_disturbed(&self, port: u16, since: Instant) -> bool {
        self.lock().disturbed_at.get(&port).is_some_and(|at| *at >= since)
    }

    /// Counts a request that succeeded.
    pub fn record_success(&self) {
        self.lock().answered += 1;
    }

    /// Counts a request that did not succeed.
    pub fn record_failure(&self) {
        self.lock().failed += 1;
    }

    /// Counts a failed request whose answer guarantees that it did not run.
    pub fn record_not_run(&self, request: &str) {
        let mut seen = self.lock();
        seen.failed += 1;
        seen.not_run.push(request.into());
    }

    /// Counts a failed request whose connection ended without an answer. It may not have been read;
    /// if it ran, it must not have been cut off.
    pub fn record_cut(&self, request: &str, port: u16) {
        let is_planned = self.bounds_apply(Instant::now());
        let mut seen = self.lock();
        seen.failed += 1;
        if is_planned {
            seen.cut.push((request.into(), port));
        }
    }

    /// Records the violation of a guarantee.
    pub fn record_violation(&self, text: String) {
        let mut seen = self.lock();
        if seen.violations.len() < MAX_VIOLATIONS {
            seen.violations.push(text);
        }
    }

    /// Records that an unplanned fault is in force until `end`.
    pub fn unplanned_fault_until(&self, end: Instant) {
        let mut seen = self.lock();
        seen.unplanned_until = seen.unplanned_until.max(Some(end));
    }

    /// Whether the bounds on planned changes apply at `now`: the last unplanned
    /// fault ended long enough ago for the hosts to have settled.
    pub fn bounds_apply(&self, now: Instant) -> bool {
        self.lock().unplanned_until.is_none_or(|end| now > end + SETTLE_TIME)
    }

    /// Checks what is known only at the end of a run: no refused request ran, none that ran was cut
    /// off, and no quote ran more than once. Returns the totals.
    pub fn finish(&self) -> Summary {
        let mut seen = self.lock();
        let mut found = Vec::new();
        for id in &seen.not_run {
            if let Some(runs) = seen.runs.get(id) {
                found.push(format!("{id} was refused as not executed, but ran on {runs:?}"));
            }
        }
        for (id, port) in &seen.cut {
            if let Some(runs) = seen.runs.get(id) {
                found.push(format!(
                    "{id} ran on {runs:?}, and the host at port {port} closed its connection \
                     without an answer"
                ));
            }
        }
        for (id, runs) in seen.runs.iter().filter(|(id, _)| id.starts_with("quote")) {
            if runs.len() > 1 {
                found.push(format!(
                    "{id} is not idempotent, but ran {} times, on {runs:?}",
                    runs.len()
                ));
            }
        }
        found.extend(seen.exceeded_budgets());
        seen.violations.extend(found);
        Summary {
            answered: seen.answered,
            failed: seen.failed,
            violations: seen.violations.clone(),
        }
    }
}

impl Observations {
    /// Services of shards that got more extra requests in some window than the limit allows. The
    /// queries count in that window, the one before or the one half a window before, whichever
    /// has most.
    fn exceeded_budgets(&self) -> Vec<String> {
        let (ratio, slack) = platform::RETRY_LIMIT;
        let window = Duration::from_secs(platform::RETRY_WINDOW_S);
        let count = |times: &[Instant], from: Instant| {
            let end = times.partition_point(|t| *t < from + window);
            end - times.partition_point(|t| *t < from)
        };
        let allowed = |from: Instant| {
            let starts = [from, from - window / 2, from - window];
            let most = starts.map(|start| count(&self.queries, start)).into_iter().max();
            ratio * most.unwrap_or(0) as f64 + slack
        };
        let shards = self.extra.iter().filter(|(service, _)| service.starts_with("shard"));
        let mut exceeded = Vec::new();
        for (service, times) in shards {
            let over = times.iter().find(|t| count(times, **t) as f64 > allowed(**t));
            if let Some(from) = over {
                let (extra, allowed) = (count(times, *from), allowed(*from));
                exceeded.push(format!(
                    "{service} got {extra} extra requests in {window:?}, {allowed} allowed"
                ));
            }
        }
        exceeded
    }
}
