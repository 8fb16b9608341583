//! When a caller whose request was refused may come back.
//!
//! Load pattern: many callers are refused within a short time. If all come back at the
//! same moment, they meet the same queue again; if they come back late, servers stand
//! idle and their own deadlines pass.

use std::time::Duration;

use rand::RngExt as _;
use rand::rngs::SmallRng;

/// Shortest delay: a connection to another host takes the caller as long.
const MIN_DELAY: Duration = Duration::from_millis(30);

/// Longest delay, after which capacity may be back: the registry lists new backend
/// servers about once a second.
const MAX_DELAY: Duration = Duration::from_millis(600);

/// Delay while a service has no backend server that may get requests.
const UNSERVABLE_DELAY: Duration = Duration::from_millis(300);

/// Additional delay for each more urgent kind of request, so that those come first.
const DELAY_PER_RANK: Duration = Duration::from_millis(20);

/// Range of the random factor that spreads the callers.
const SPREAD: (f64, f64) = (0.6, 1.4);

/// Largest factor by which callers come back later than a pause ends.
const PAUSE_SPREAD: f64 = 1.2;

/// Delay after a refusal because a place is free after `wait` at the earliest; `rank`
/// counts the more urgent kinds of request.
pub fn after_overload(wait: Duration, rank: u32, rng: &mut SmallRng) -> Duration {
    spread(wait + DELAY_PER_RANK * rank, rng)
}

/// Delay after a refusal because all backend servers have asked for a pause, the shortest of
/// which ends after `wait`. Callers that came back before that would be refused again.
pub fn after_pause(wait: Duration, rng: &mut SmallRng) -> Duration {
    wait.max(MIN_DELAY).mul_f64(rng.random_range(1.0..PAUSE_SPREAD))
}

/// Delay after a refusal because no backend server may get the request.
pub fn after_unservable(rng: &mut SmallRng) -> Duration {
    spread(UNSERVABLE_DELAY, rng)
}

fn spread(delay: Duration, rng: &mut SmallRng) -> Duration {
    let factor = rng.random_range(SPREAD.0..SPREAD.1);
    delay.clamp(MIN_DELAY, MAX_DELAY).mul_f64(factor)
}
