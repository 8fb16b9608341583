//! Clock abstraction, so that tests can control time instead of sleeping.

use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

use rustix::time::ClockId;
use rustix::time::clock_gettime;

/// Source of monotonic and wall-clock time.
pub trait Clock: Send + Sync {
    /// Monotonic time, for deadlines and intervals.
    fn now(&self) -> Instant;

    /// Monotonic time since the machine was started. Unlike [`Clock::now`] it goes on
    /// while the machine is suspended.
    fn boot_time(&self) -> Duration;

    /// Wall-clock time, for idempotency keys and sheets only. Intervals are
    /// measured with [`Clock::now`].
    fn wall_time(&self) -> SystemTime;
}

/// The operating system's clock.
#[derive(Clone, Copy, Debug, Default)]
pub struct SystemClock;

impl Clock for SystemClock {
    fn now(&self) -> Instant {
        Instant::now()
    }

    fn boot_time(&self) -> Duration {
        let time = clock_gettime(ClockId::Boottime);
        let seconds = u64::try_from(time.tv_sec).unwrap_or_default();
        Duration::new(seconds, u32::try_from(time.tv_nsec).unwrap_or_default())
    }

    fn wall_time(&self) -> SystemTime {
        SystemTime::now()
    }
}

/// Clock for tests; it stands still until [`ManualClock::advance`] is called.
#[derive(Debug)]
pub struct ManualClock {
    start: Instant,
    wall: SystemTime,
    elapsed: Mutex<Duration>,
}

impl ManualClock {
    /// Creates a clock whose wall-clock time starts at `wall`.
    pub fn new(wall: SystemTime) -> ManualClock {
        ManualClock { start: Instant::now(), wall, elapsed: Mutex::new(Duration::ZERO) }
    }

    /// Advances the monotonic and the wall-clock time.
    pub fn advance(&self, by: Duration) {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner) += by;
    }

    fn elapsed(&self) -> Duration {
        *self.elapsed.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Clock for ManualClock {
    fn now(&self) -> Instant {
        self.start + self.elapsed()
    }

    fn boot_time(&self) -> Duration {
        self.elapsed()
    }

    fn wall_time(&self) -> SystemTime {
        self.wall + self.elapsed()
    }
}
