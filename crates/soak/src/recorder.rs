//! What callers and backend servers saw, and the promises that were broken.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;

/// Time without unplanned faults after which bounds on planned changes hold.
const SETTLE_TIME: Duration = Duration::from_secs(4);

/// Most broken promises that are written down; one is enough to fail.
const MAX_VIOLATIONS: usize = 40;

#[derive(Debug, Default)]
struct Observations {
    runs: HashMap<Box<str>, Vec<Box<str>>>,
    not_run: Vec<Box<str>>,
    violations: Vec<String>,
    answered: u64,
    failed: u64,
    unplanned_until: Option<Instant>,
}

/// A handle on the book.
#[derive(Clone, Debug, Default)]
pub struct Recorder {
    observations: Arc<Mutex<Observations>>,
}

/// Sums of a soak.
#[derive(Clone, Debug)]
pub struct Summary {
    /// Requests that succeeded.
    pub answered: u64,
    /// Requests that did not.
    pub failed: u64,
    /// Broken promises.
    pub violations: Vec<String>,
}

impl Recorder {
    fn lock(&self) -> MutexGuard<'_, Observations> {
        self.observations.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes that a backend server began to run a request.
    pub fn record_run(&self, request: &str, backend: &str) {
        self.lock().runs.entry(request.into()).or_default().push(backend.into());
    }

    /// Notes a success.
    pub fn record_success(&self) {
        self.lock().answered += 1;
    }

    /// Notes a request without success.
    pub fn record_failure(&self) {
        self.lock().failed += 1;
    }

    /// Notes an answer that promises that the request has not run.
    pub fn record_not_run(&self, request: &str) {
        let mut seen = self.lock();
        seen.failed += 1;
        seen.not_run.push(request.into());
    }

    /// Notes a broken promise.
    pub fn record_violation(&self, text: String) {
        let mut seen = self.lock();
        if seen.violations.len() < MAX_VIOLATIONS {
            seen.violations.push(text);
        }
    }

    /// Notes that an unplanned fault is in force until `end`.
    pub fn unplanned_fault_until(&self, end: Instant) {
        let mut seen = self.lock();
        seen.unplanned_until = seen.unplanned_until.max(Some(end));
    }

    /// Whether only planned changes have been going on for a while.
    pub fn bounds_apply(&self, now: Instant) -> bool {
        self.lock().unplanned_until.is_none_or(|end| now > end + SETTLE_TIME)
    }

    /// Checks what can be told at the end only.
    pub fn finish(&self) -> Summary {
        let mut seen = self.lock();
        let mut found = Vec::new();
        for id in &seen.not_run {
            if let Some(runs) = seen.runs.get(id) {
                found.push(format!("{id} was refused as not run, and ran at {runs:?}"));
            }
        }
        for (id, runs) in seen.runs.iter().filter(|(id, _)| id.starts_with("quote")) {
            if runs.len() > 1 {
                found.push(format!("{id} must not be repeated, and ran at {runs:?}"));
            }
        }
        seen.violations.extend(found);
        Summary {
            answered: seen.answered,
            failed: seen.failed,
            violations: seen.violations.clone(),
        }
    }
}
