//! Health of a backend server as observed by one host, and the estimated cost of
//! a request to it.

use std::time::Duration;
use std::time::Instant;

use chervil_base::key;
use chervil_base::value;

/// Weight of one sample in the moving average of the slowness, which is kept as
/// a logarithm.
const SLOWNESS_WEIGHT: f64 = 0.35;

/// Bounds of one slowness sample, as ratios to the expected latency.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);

/// Half-life of the slowness while no new samples arrive.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Weight of one outcome in the moving average of the failure rate.
const FAILURE_WEIGHT: f64 = 0.3;

/// Half-life of the failure rate while no new outcomes arrive.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// Upper bound of the failure rate in the cost.
const MAX_FAILURE_RATE: f64 = 0.95;

/// Half-life of a reported load.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Backoff after the first attempt that ended with [`Outcome::NoReply`] or
/// [`Outcome::ConnectionLimit`]; doubles with each further one.
const INITIAL_BACKOFF: Duration = Duration::from_millis(300);

/// Upper bound of the backoff.
const MAX_BACKOFF: Duration = Duration::from_millis(2_400);

/// Largest number of times that the initial backoff is doubled.
const MAX_BACKOFF_DOUBLINGS: u32 = 4;

/// Cost factor of a backend server during its backoff.
const BACKOFF_FACTOR: f64 = 40.0;

/// Relative increase of the cost by the requests that a backend server already
/// has, for each request per slot; applies while slots are free, too.
const SHARING_FACTOR: f64 = 0.15;

/// Ratio to the expected latency from which an attempt indicates a degraded
/// backend server.
const DEGRADED_RATIO: f64 = 3.5;

/// Ratio to the expected latency from which an attempt in flight is overdue.
const OVERDUE_RATIO: f64 = 2.0;

/// Lower bound of the expected latency in ratios, in seconds.
const MIN_EXPECTED_S: f64 = 1e-4;

key! {
    /// Identifies an attempt at a backend server; unique within its [`Health`].
    pub struct AttemptId(u64);
}

value! {
    /// Load that a backend server reports about itself.
    #[derive(Copy)]
    pub struct Load {
        /// Requests that it executes.
        pub running: u32,
        /// Requests in its queue.
        pub queued: u32,
    }

    /// How an attempt ended.
    #[derive(Copy)]
    pub enum Outcome {
        /// The backend server answered.
        Answered,
        /// The backend server answered with an error status.
        Failed,
        /// The backend server refused to execute the request although it had a free
        /// slot.
        Refused,
        /// The backend server refused to execute the request because all of its slots
        /// are in use.
        Full,
        /// No connection could be opened, the connection broke, or the reply was
        /// invalid.
        NoReply,
        /// The backend server has asked for a pause, and did not execute the request.
        Paused,
        /// The backend server is at its connection limit.
        ConnectionLimit,
        /// The host stopped waiting for the answer.
        Abandoned,
        /// The attempt ended before the request was sent.
        NotSent,
    }

    /// Observed health of one backend server.
    pub struct Health {
        /// Moving average of ln(latency / expected latency).
        slowness: f64,
        /// Moving average of the share of attempts that failed, 0 to 1.
        failure_rate: f64,
        /// Time at which the two averages were last updated.
        updated_at: Instant,
        /// Attempts that led to a backoff since the last answer.
        backoffs: u32,
        backoff_until: Option<Instant>,
        /// Reported requests, running and queued, beyond those of this host.
        other_load: f64,
        /// Reported requests in the queue.
        queued: f64,
        load_reported_at: Instant,
        in_flight: Vec<InFlight>,
        last_attempt: u64,
    }

    #[derive(Copy)]
    struct InFlight {
        attempt: AttemptId,
        start: Instant,
        expected: Duration,
    }
}

impl Health {
    /// Health of a backend server without any observations.
    pub fn new(now: Instant) -> Health {
        Health {
            slowness: 0.0,
            failure_rate: 0.0,
            updated_at: now,
            backoffs: 0,
            backoff_until: None,
            other_load: 0.0,
            queued: 0.0,
            load_reported_at: now,
            in_flight: Vec::new(),
            last_attempt: 0,
        }
    }

    /// Number of attempts in flight.
    pub fn in_flight(&self) -> usize {
        self.in_flight.len()
    }

    /// Whether the backend server is in backoff after attempts without a reply or
    /// at its connection limit.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.backoff_until.is_some_and(|b| b > now)
    }

    /// Registers an attempt whose expected latency is `expected`.
    pub fn start_attempt(&mut self, expected: Duration, now: Instant) -> AttemptId {
        self.last_attempt += 1;
        let attempt = AttemptId(self.last_attempt);
        self.in_flight.push(InFlight { attempt, start: now, expected });
        attempt
    }

    /// Ends an attempt that says nothing about the backend server.
    pub fn forget_attempt(&mut self, attempt: AttemptId) {
        self.in_flight.retain(|f| f.attempt != attempt);
    }

    /// Records the outcome of an attempt at a backend server with `slots` slots.
    /// Returns true if the attempt indicates a degraded backend server. Time
    /// spent in a queue that the backend server reports counts as load, not as
    /// slowness.
    pub fn finish_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        slots: u32,
        now: Instant,
    ) -> bool {
        let Some(index) = self.in_flight.iter().position(|f| f.attempt == attempt) else {
            return false;
        };
        let finished = self.in_flight.swap_remove(index);
        if outcome == Outcome::NotSent {
            return false;
        }
        self.decay(now);
        let queued = decayed(self.queued, now, self.load_reported_at, LOAD_HALF_LIFE);
        let queue_factor = 1.0 + queued / f64::from(slots.max(1));
        let elapsed = now.duration_since(finished.start);
        let ratio = latency_ratio(elapsed, finished.expected) / queue_factor;
        match outcome {
            Outcome::Answered => {
                self.record_latency(ratio);
                self.failure_rate *= 1.0 - FAILURE_WEIGHT;
                self.backoffs = 0;
                self.backoff_until = None;
            }
            Outcome::Abandoned => self.record_latency(ratio.max(1.0)),
            Outcome::Failed | Outcome::Refused | Outcome::Full => self.record_failure(),
            Outcome::NoReply => {
                self.record_failure();
                self.back_off(now);
            }
            Outcome::ConnectionLimit => self.back_off(now),
            Outcome::Paused | Outcome::NotSent => {}
        }
        match outcome {
            Outcome::Failed | Outcome::NoReply | Outcome::Refused => true,
            Outcome::Answered | Outcome::Abandoned => ratio >= DEGRADED_RATIO,
            Outcome::Full | Outcome::Paused | Outcome::ConnectionLimit | Outcome::NotSent => false,
        }
    }

    /// Records the load that the backend server reports with a reply.
    pub fn report_load(&mut self, load: Load, now: Instant) {
        let own = self.in_flight.len() as u32;
        self.queued = f64::from(load.queued);
        self.other_load = f64::from((load.running + load.queued).saturating_sub(own));
        self.load_reported_at = now;
    }

    /// Estimated latency of a new request in milliseconds, increased by the
    /// failure rate and by a backoff.
    pub fn cost(&self, expected: Duration, slots: u32, now: Instant) -> f64 {
        let mut slowness = decayed(self.slowness, now, self.updated_at, SLOWNESS_HALF_LIFE).exp();
        for attempt in &self.in_flight {
            let ratio = latency_ratio(now.duration_since(attempt.start), attempt.expected);
            if ratio > OVERDUE_RATIO {
                slowness = slowness.max(ratio);
            }
        }
        let other = decayed(self.other_load, now, self.load_reported_at, LOAD_HALF_LIFE);
        let load = self.in_flight.len() as f64 + other;
        let slots = f64::from(slots.max(1));
        let queueing = (load + 1.0 - slots).max(0.0) / slots;
        let sharing = SHARING_FACTOR * load / slots;
        let failure_rate = decayed(self.failure_rate, now, self.updated_at, FAILURE_HALF_LIFE);
        let success_rate = 1.0 - failure_rate.min(MAX_FAILURE_RATE);
        let backoff = if self.is_backing_off(now) { BACKOFF_FACTOR } else { 1.0 };
        expected.as_secs_f64() * 1e3 * slowness * (1.0 + queueing + sharing) * backoff
            / (success_rate * success_rate)
    }

    /// Time that a new request would spend in the queue of a backend server with
    /// `slots` slots, by its last report.
    pub fn queueing_time(&self, expected: Duration, slots: u32, now: Instant) -> Duration {
        let queued = decayed(self.queued, now, self.load_reported_at, LOAD_HALF_LIFE);
        expected.mul_f64(queued / f64::from(slots.max(1)))
    }

    /// Brings both averages to their values at `now`.
    fn decay(&mut self, now: Instant) {
        self.slowness = decayed(self.slowness, now, self.updated_at, SLOWNESS_HALF_LIFE);
        self.failure_rate = decayed(self.failure_rate, now, self.updated_at, FAILURE_HALF_LIFE);
        self.updated_at = now;
    }

    fn record_latency(&mut self, ratio: f64) {
        let bounded = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_WEIGHT * (bounded.ln() - self.slowness);
    }

    fn record_failure(&mut self) {
        self.failure_rate += FAILURE_WEIGHT * (1.0 - self.failure_rate);
    }

    fn back_off(&mut self, now: Instant) {
        let doublings = self.backoffs.min(MAX_BACKOFF_DOUBLINGS);
        let backoff = INITIAL_BACKOFF * 2u32.pow(doublings);
        self.backoff_until = Some(now + backoff.min(MAX_BACKOFF));
        self.backoffs += 1;
    }
}

fn latency_ratio(elapsed: Duration, expected: Duration) -> f64 {
    elapsed.as_secs_f64() / expected.as_secs_f64().max(MIN_EXPECTED_S)
}

/// A value from the time `since` after exponential decay up to `now`.
fn decayed(value: f64, now: Instant, since: Instant, half_life: Duration) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let age = now.duration_since(since);
    value * (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
