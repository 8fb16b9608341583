//! Pauses that backend servers ask for.
//!
//! Load pattern: a backend server in need turns a request away and says for how long it wants
//! nothing from this host. Many hosts hear that at about the same time. If all came back at
//! the same moment with all of their load, the server would be in need again.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Longest pause that hosts keep unless their settings state another one.
pub const DEFAULT_MAX_PAUSE: Duration = Duration::from_secs(60);

/// Part of the pause by which hosts come back later, each by its phase.
const SPREAD: f64 = 0.2;

/// Time after a pause in which a host comes back slowly.
const RETURN_TIME: Duration = Duration::from_secs(1);

/// Interval between two requests in that time.
const RETURN_INTERVAL: Duration = Duration::from_millis(100);

value! {
    /// Pause of one backend server as one host keeps it.
    #[derive(Copy, Default)]
    pub struct ServerPause {
        until: Option<Instant>,
        last_sent: Option<Instant>,
    }
}

impl ServerPause {
    /// Records that the server wants nothing for a while, `max` at most. A pause in force is not
    /// shortened. `phase` (0 to 1) must differ between hosts. Returns whether the server was not
    /// paused before.
    pub fn ask(&mut self, time: Duration, max: Duration, phase: f64, now: Instant) -> bool {
        let is_new = !self.is_paused(now);
        let end = now + time.min(max).mul_f64(1.0 + SPREAD * phase);
        self.until = self.until.max(Some(end));
        is_new
    }

    /// Whether the server wants nothing now.
    pub fn is_paused(&self, now: Instant) -> bool {
        !self.wait(now).is_zero()
    }

    /// Time until the server wants requests again; zero if it does.
    pub fn wait(&self, now: Instant) -> Duration {
        self.until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }

    /// Whether this host may send a request now: the pause is over, and right after it not too
    /// soon after the request before.
    pub fn may_send(&self, now: Instant) -> bool {
        let Some(until) = self.until else { return true };
        let is_spaced = self.last_sent.is_none_or(|sent| now >= sent + RETURN_INTERVAL);
        now >= until && (now >= until + RETURN_TIME || is_spaced)
    }

    /// Counts a request that is sent.
    pub fn record_sent(&mut self, now: Instant) {
        if self.until.is_some() {
            self.last_sent = Some(now);
        }
    }
}
