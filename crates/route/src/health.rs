//! What one host has seen of a backend server, and the cost of asking it.

use std::time::Duration;
use std::time::Instant;

use chervil_base::key;
use chervil_base::value;

/// Weight of one sample of the slowness, in the logarithm.
const SLOWNESS_WEIGHT: f64 = 0.35;

/// Bounds of one sample of the slowness.
const SLOWNESS_RANGE: (f64, f64) = (0.5, 12.0);

/// Time in which slowness without new samples halves.
const SLOWNESS_HALF_LIFE: Duration = Duration::from_millis(2_500);

/// Weight of one outcome in the failure rate.
const FAILURE_WEIGHT: f64 = 0.3;

/// Time in which a failure rate without new outcomes halves.
const FAILURE_HALF_LIFE: Duration = Duration::from_millis(2_000);

/// Largest failure rate that enters the cost.
const FAILURE_LIMIT: f64 = 0.95;

/// Time in which a reported load loses half of its weight.
const LOAD_HALF_LIFE: Duration = Duration::from_millis(200);

/// Time without new requests after the first attempt without a connection; it
/// doubles with each further one.
const FIRST_PAUSE: Duration = Duration::from_millis(300);

/// Longest such pause.
const LONGEST_PAUSE: Duration = Duration::from_millis(2_400);

/// Factor on the cost of a backend server during its pause.
const PAUSE_FACTOR: f64 = 40.0;

/// Share of the expected time by which each request that is already there
/// raises the cost, while slots are free.
const SHARING_FACTOR: f64 = 0.15;

/// Ratio to the expected time from which an attempt is trouble.
const TROUBLE_RATIO: f64 = 3.5;

/// Ratio to the expected time from which a running request counts as overdue.
const OVERDUE_RATIO: f64 = 2.0;

key! {
    /// One attempt at a backend server.
    pub struct AttemptId(u64);
}

value! {
    /// Load that a backend server reports of itself.
    #[derive(Copy)]
    pub struct Load {
        /// Requests that it runs.
        pub running: u32,
        /// Requests that wait.
        pub queued: u32,
    }

    /// How an attempt ended.
    #[derive(Copy)]
    pub enum Outcome {
        /// It was answered.
        Answered,
        /// The backend server answered with a failure or a spoilt reply.
        Failed,
        /// The backend server refused to run it.
        Refused,
        /// No connection came about, or it broke.
        Unreachable,
        /// The backend server has as many connections as it accepts.
        ConnectionLimit,
        /// The host stopped waiting for it.
        Abandoned,
        /// The caller left.
        NotSent,
    }

    /// Health of one backend server.
    pub struct Health {
        slowness: f64,
        failure: f64,
        seen: Instant,
        streak: u32,
        paused: Option<Instant>,
        load: f64,
        waiting: f64,
        reported: Instant,
        running: Vec<Running>,
        next: u64,
    }

    #[derive(Copy)]
    struct Running {
        attempt: AttemptId,
        start: Instant,
        expected: Duration,
    }
}

impl Health {
    /// Nothing is known yet.
    pub fn new(now: Instant) -> Health {
        Health {
            slowness: 0.0,
            failure: 0.0,
            seen: now,
            streak: 0,
            paused: None,
            load: 0.0,
            waiting: 0.0,
            reported: now,
            running: Vec::new(),
            next: 0,
        }
    }

    /// Attempts that run.
    pub fn in_flight(&self) -> usize {
        self.running.len()
    }

    /// Whether the last attempts did not reach the backend server.
    pub fn is_backing_off(&self, now: Instant) -> bool {
        self.paused.is_some_and(|p| p > now)
    }

    /// Counts an attempt that typically takes `expected`.
    pub fn start_attempt(&mut self, expected: Duration, now: Instant) -> AttemptId {
        self.next += 1;
        let attempt = AttemptId(self.next);
        self.running.push(Running { attempt, start: now, expected });
        attempt
    }

    /// Takes in the end of an attempt at a backend server with `slots`; true if
    /// it shows trouble. Time in a reported queue is load, not slowness.
    pub fn finish_attempt(
        &mut self,
        attempt: AttemptId,
        outcome: Outcome,
        slots: u32,
        now: Instant,
    ) -> bool {
        let Some(at) = self.running.iter().position(|r| r.attempt == attempt) else {
            return false;
        };
        let run = self.running.swap_remove(at);
        if outcome == Outcome::NotSent {
            return false;
        }
        self.decay(now);
        let waiting = faded(self.waiting, now, self.reported, LOAD_HALF_LIFE);
        let queue = 1.0 + waiting / f64::from(slots.max(1));
        let ratio = ratio(now.duration_since(run.start), run.expected) / queue;
        match outcome {
            Outcome::Answered => {
                self.sample(ratio);
                self.failure *= 1.0 - FAILURE_WEIGHT;
                self.streak = 0;
                self.paused = None;
            }
            Outcome::Abandoned => self.sample(ratio.max(1.0)),
            Outcome::Failed | Outcome::Refused => self.failure_seen(),
            Outcome::Unreachable => {
                self.failure_seen();
                self.pause(now);
            }
            Outcome::ConnectionLimit => self.pause(now),
            Outcome::NotSent => {}
        }
        match outcome {
            Outcome::Failed | Outcome::Unreachable => true,
            Outcome::Answered | Outcome::Abandoned => ratio >= TROUBLE_RATIO,
            Outcome::Refused | Outcome::ConnectionLimit | Outcome::NotSent => false,
        }
    }

    /// Takes in the load that the backend server reports with a reply.
    pub fn report_load(&mut self, load: Load, now: Instant) {
        let own = self.running.len() as u32;
        self.waiting = f64::from(load.queued);
        self.load = f64::from((load.running + load.queued).saturating_sub(own));
        self.reported = now;
    }

    /// Estimated time until an answer, in milliseconds, with failures and
    /// pauses as surcharges.
    pub fn cost(&self, expected: Duration, slots: u32, now: Instant) -> f64 {
        let mut slowness = faded(self.slowness, now, self.seen, SLOWNESS_HALF_LIFE).exp();
        for run in &self.running {
            let ratio = ratio(now.duration_since(run.start), run.expected);
            if ratio > OVERDUE_RATIO {
                slowness = slowness.max(ratio);
            }
        }
        let other = faded(self.load, now, self.reported, LOAD_HALF_LIFE);
        let present = self.running.len() as f64 + other;
        let slots = f64::from(slots.max(1));
        let queue = (present + 1.0 - slots).max(0.0) / slots;
        let sharing = SHARING_FACTOR * present / slots;
        let failure = faded(self.failure, now, self.seen, FAILURE_HALF_LIFE);
        let success = 1.0 - failure.min(FAILURE_LIMIT);
        let pause = if self.is_backing_off(now) { PAUSE_FACTOR } else { 1.0 };
        expected.as_secs_f64() * 1e3 * slowness * (1.0 + queue + sharing) * pause
            / (success * success)
    }

    fn decay(&mut self, now: Instant) {
        self.slowness = faded(self.slowness, now, self.seen, SLOWNESS_HALF_LIFE);
        self.failure = faded(self.failure, now, self.seen, FAILURE_HALF_LIFE);
        self.seen = now;
    }

    fn sample(&mut self, ratio: f64) {
        let bounded = ratio.clamp(SLOWNESS_RANGE.0, SLOWNESS_RANGE.1);
        self.slowness += SLOWNESS_WEIGHT * (bounded.ln() - self.slowness);
    }

    fn failure_seen(&mut self) {
        self.failure += FAILURE_WEIGHT * (1.0 - self.failure);
    }

    fn pause(&mut self, now: Instant) {
        let pause = FIRST_PAUSE * 2u32.pow(self.streak.min(4));
        self.paused = Some(now + pause.min(LONGEST_PAUSE));
        self.streak += 1;
    }
}

fn ratio(elapsed: Duration, expected: Duration) -> f64 {
    elapsed.as_secs_f64() / expected.as_secs_f64().max(1e-4)
}

/// What is left of a value from the time `since`.
fn faded(value: f64, now: Instant, since: Instant, half_life: Duration) -> f64 {
    if value == 0.0 {
        return 0.0;
    }
    let age = now.duration_since(since);
    value * (-age.as_secs_f64() / half_life.as_secs_f64()).exp2()
}
