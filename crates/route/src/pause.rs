//! Detection that the process was paused, and how long it must then wait for fresh data.
//!
//! Load pattern: a host is stopped or suspended for seconds with requests queued, while
//! backend servers drain, zones are evacuated and configurations change. On waking it
//! must not act on what it knew before.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Interval at which the process shows that it runs.
pub const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time without a tick that counts as a pause. A small host may be busy for a few
/// hundred milliseconds.
const MIN_PAUSE: Duration = Duration::from_millis(1_200);

/// Longest wait for fresh data after a pause. If the registry and all other hosts are
/// out of reach, the host goes on with what it knows, as hosts that were not paused do.
const MAX_WAIT: Duration = Duration::from_millis(1_500);

value! {
    /// Detects pauses by missing ticks.
    pub struct PauseDetector {
        /// Time of the last tick since boot, which includes time in suspension.
        last_tick: Duration,
        /// End of a pause, until fresh data have arrived.
        resumed_at: Option<Instant>,
    }
}

impl PauseDetector {
    /// Detector that starts at `boot_time`, the time since boot.
    pub fn new(boot_time: Duration) -> PauseDetector {
        PauseDetector { last_tick: boot_time, resumed_at: None }
    }

    /// Records that the process runs. Returns the length of a pause that has just ended.
    pub fn tick(&mut self, boot_time: Duration, now: Instant) -> Option<Duration> {
        let gap = boot_time.saturating_sub(self.last_tick);
        self.last_tick = boot_time;
        if gap < MIN_PAUSE {
            return None;
        }
        self.resumed_at = Some(now);
        Some(gap)
    }

    /// Whether requests must wait because the data are from before a pause; `synced_at`
    /// is the time at which they were known to be up to date.
    pub fn must_wait(&mut self, synced_at: Option<Instant>, now: Instant) -> bool {
        let Some(resumed_at) = self.resumed_at else { return false };
        let is_fresh = synced_at.is_some_and(|at| at >= resumed_at);
        if is_fresh || now.duration_since(resumed_at) >= MAX_WAIT {
            self.resumed_at = None;
        }
        self.resumed_at.is_some()
    }
}
