//! Outages of the registry, as one host sees them: when it calls the registry again, and how
//! long an outage was.
//!
//! Load pattern: the registry fails for seconds, and all hosts that call it fail. One of them
//! reaches it again first; the others follow that one and do not call the registry themselves.
//! Later, when the outage is long over, the hosts that they follow are lost, and their next call
//! to the registry succeeds. That is not the end of another outage: data of any host that are
//! newer than the last failed call show that the registry was back.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// First backoff after a failed call to the registry; it doubles with each further failure.
const INITIAL_BACKOFF: Duration = Duration::from_millis(150);

value! {
    /// Failed calls to the registry since it was last known to be reachable.
    #[derive(Copy, Default)]
    pub struct Outage {
        failures: Option<Failures>,
    }

    #[derive(Copy)]
    struct Failures {
        /// Time of the latest one.
        last: Instant,
        /// Time of the next call.
        retry_at: Instant,
        /// Backoff after the next failure.
        backoff: Duration,
    }
}

impl Outage {
    /// Records a failed call. Returns whether it is the first one of an outage.
    pub fn record_failure(&mut self, max_backoff: Duration, now: Instant) -> bool {
        let backoff = self.failures.map_or(INITIAL_BACKOFF, |f| f.backoff);
        let is_first = self.failures.is_none();
        self.failures = Some(Failures {
            last: now,
            retry_at: now + backoff,
            backoff: (backoff * 2).min(max_backoff),
        });
        is_first
    }

    /// Records that the registry was reachable at `at`: by a call of this host that began then,
    /// or by data of another host that were the newest ones then. `synced_at` is the latest such
    /// time before. Returns how long the outage was that this ends; zero if there was no contact
    /// before it.
    pub fn record_contact(&mut self, synced_at: Option<Instant>, at: Instant) -> Option<Duration> {
        self.failures.take_if(|f| f.last <= at)?;
        Some(synced_at.map_or(Duration::ZERO, |earlier| at.saturating_duration_since(earlier)))
    }

    /// Whether the latest call failed and nothing has shown since that the registry is back.
    pub fn is_ongoing(&self) -> bool {
        self.failures.is_some()
    }

    /// Time of the next call to the registry, if it is in backoff.
    pub fn retry_at(&self, now: Instant) -> Option<Instant> {
        self.failures.map(|f| f.retry_at).filter(|at| *at > now)
    }
}
