//! One phase: open-loop load while the events of a scenario take place.

use std::collections::BTreeMap;
use std::fs::OpenOptions;
use std::io;
use std::io::Write as _;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::message;
use hdrhistogram::CreationError;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time;
use tokio::time::Instant;

use crate::control::Control;
use crate::control::ControlError;
use crate::policy::Policy;
use crate::policy::Tier;
use crate::scenario::CRASH_MARKER;
use crate::scenario::Event;
use crate::tally::Summary;
use crate::tally::Tally;

/// Why a phase cannot be measured.
#[derive(Debug, Snafu)]
pub enum PhaseError {
    /// A call to the stand-in's control port failed.
    #[snafu(transparent)]
    Control {
        /// Cause.
        source: ControlError,
    },
    /// The latency histogram cannot be created.
    #[snafu(display("cannot create the latency histogram: {source}; report this as a bug"))]
    Tally {
        /// Cause.
        source: CreationError,
    },
    /// The file with the lines for the script cannot be written.
    #[snafu(display("cannot write {}: {source}; check `--events`", path.display()))]
    Announce {
        /// Path of the file.
        path: PathBuf,
        /// Cause.
        source: io::Error,
    },
}

message! {
    /// Outcomes of the non-idempotent requests.
    #[derive(Default)]
    pub struct Runs {
        /// Number of idempotency keys; each was sent twice.
        pub keys: u64,
        /// Number of responses by HTTP status; 0 stands for no response.
        pub statuses: BTreeMap<u16, u64>,
    }
}

/// Load of a phase.
#[derive(Clone, Debug)]
pub struct Load {
    /// Mean number of queries per second.
    pub rate: f64,
    /// Length of the phase.
    pub duration: Duration,
    /// Number of distinct queries.
    pub bodies: u32,
    /// Mean number of idempotency keys per second.
    pub run_rate: f64,
    /// Seed of the arrival times and the keys.
    pub seed: u64,
}

/// Everything that a phase needs.
pub struct Phase<'a> {
    /// Policy under test.
    pub policy: Arc<dyn Policy>,
    /// Entries that get the non-idempotent requests; `None` sends none.
    pub runs: Option<Arc<Tier>>,
    /// Control port of the stand-in.
    pub control: &'a Control,
    /// Events in ascending order of their time, which is a share of the phase
    /// from 0 to 1.
    pub events: Vec<(f64, Event)>,
    /// File to which lines for the script that controls the hosts are appended.
    pub announce: Option<&'a Path>,
    /// Load to generate.
    pub load: Load,
}

impl Phase<'_> {
    /// Runs the phase to its end and returns what the callers saw.
    pub async fn run(&self) -> Result<(Summary, Runs), PhaseError> {
        let start = Instant::now();
        let runs = Arc::new(Mutex::new(Runs::default()));
        let (queries, (), events) = tokio::join!(
            self.send_queries(start),
            self.send_runs(start, &runs),
            self.run_events(start)
        );
        events?;
        let runs = runs.lock().unwrap_or_else(PoisonError::into_inner).clone();
        Ok((queries?, runs))
    }

    /// Sends queries at their planned times and does not wait for answers between
    /// them. Latency counts from the planned time.
    async fn send_queries(&self, start: Instant) -> Result<Summary, PhaseError> {
        let tally = Arc::new(Mutex::new(Tally::new().context(TallySnafu)?));
        let mut tasks = JoinSet::new();
        let mut arrivals = Arrivals::new(self.load.rate, self.load.duration, self.load.seed);
        let mut i = 0;
        while let Some(after) = arrivals.next() {
            let planned = start + after;
            time::sleep_until(planned).await;
            let (policy, tally) = (self.policy.clone(), tally.clone());
            let body = format!("{{\"query\":{}}}", i % self.load.bodies.max(1));
            tasks.spawn(async move {
                let answer = policy.ask(&body).await;
                let latency = planned.elapsed();
                tally.lock().unwrap_or_else(PoisonError::into_inner).add(&answer, latency);
            });
            while tasks.try_join_next().is_some() {}
            i += 1;
        }
        while tasks.join_next().await.is_some() {}
        let tally = tally.lock().unwrap_or_else(PoisonError::into_inner);
        Ok(tally.summary())
    }

    /// Sends each non-idempotent request twice under one key, to provoke duplicate
    /// executions.
    async fn send_runs(&self, start: Instant, runs: &Arc<Mutex<Runs>>) {
        let Some(tier) = self.runs.as_ref().filter(|_| self.load.run_rate > 0.0) else {
            return;
        };
        let seed = self.load.seed.wrapping_add(1);
        let mut arrivals = Arrivals::new(self.load.run_rate, self.load.duration, seed);
        let mut tasks = JoinSet::new();
        while let Some(after) = arrivals.next() {
            time::sleep_until(start + after).await;
            let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
            let key: Arc<str> = format!("{now}-{:016x}", arrivals.rng.random::<u64>()).into();
            runs.lock().unwrap_or_else(PoisonError::into_inner).keys += 1;
            for _ in 0..2 {
                let (tier, runs, key) = (tier.clone(), runs.clone(), key.clone());
                tasks.spawn(async move {
                    let status = tier.run(&key, "{\"run\":1}").await;
                    let mut runs = runs.lock().unwrap_or_else(PoisonError::into_inner);
                    *runs.statuses.entry(status).or_insert(0) += 1;
                });
            }
        }
        while tasks.join_next().await.is_some() {}
    }

    async fn run_events(&self, start: Instant) -> Result<(), PhaseError> {
        let mut crash_queries = JoinSet::new();
        for (share, event) in &self.events {
            time::sleep_until(start + self.load.duration.mul_f64(*share)).await;
            match event {
                Event::Control(target, command, body) => {
                    self.control.send(target, command, body).await?;
                }
                Event::Announce(line) => self.announce(line)?,
                Event::Crash => {
                    let policy = self.policy.clone();
                    let body = format!("{{\"query\":\"{CRASH_MARKER}\"}}");
                    crash_queries.spawn(async move { policy.ask(&body).await });
                }
            }
        }
        while crash_queries.join_next().await.is_some() {}
        Ok(())
    }

    fn announce(&self, line: &str) -> Result<(), PhaseError> {
        let Some(path) = self.announce else {
            return Ok(());
        };
        let file = OpenOptions::new().append(true).create(true).open(path);
        let written = file.and_then(|mut f| writeln!(f, "{line}"));
        written.context(AnnounceSnafu { path })
    }
}

/// Arrival times of a Poisson process. They do not depend on the responses (open
/// loop).
struct Arrivals {
    /// Arrivals per second.
    rate: f64,
    /// End of the process, in seconds.
    end_s: f64,
    /// Last arrival, in seconds.
    last_s: f64,
    rng: StdRng,
}

impl Arrivals {
    fn new(rate: f64, duration: Duration, seed: u64) -> Arrivals {
        let rng = StdRng::seed_from_u64(seed);
        Arrivals { rate: rate.max(0.001), end_s: duration.as_secs_f64(), last_s: 0.0, rng }
    }

    fn next(&mut self) -> Option<Duration> {
        let draw: f64 = self.rng.random();
        self.last_s -= (1.0 - draw).ln() / self.rate;
        (self.last_s < self.end_s).then(|| Duration::from_secs_f64(self.last_s))
    }
}
