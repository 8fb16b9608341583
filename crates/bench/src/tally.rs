//! What the callers of one phase saw.

use std::collections::BTreeMap;
use std::time::Duration;

use chervil_base::coverage::MissingReason;
use chervil_base::message;
use hdrhistogram::CreationError;
use hdrhistogram::Histogram;

use crate::answer::Answer;

/// Longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

message! {
    /// Figures of one phase.
    #[derive(Default)]
    pub struct Summary {
        /// Queries sent.
        pub queries: u64,
        /// Median latency from the planned arrival, in milliseconds.
        pub p50_ms: f64,
        /// 99th percentile.
        pub p99_ms: f64,
        /// 99.9th percentile.
        pub p999_ms: f64,
        /// Share of queries with a complete answer.
        pub complete: f64,
        /// Share of queries with a complete answer within 110 ms.
        pub complete_110ms: f64,
        /// Mean coverage, where a refused query counts as none.
        pub coverage: f64,
        /// Answers whose rows are not those that their coverage promises.
        pub inaccurate: u64,
        /// Shards of all queries that were not refused.
        pub needed: u64,
        /// Shards missing from answers, by reason.
        pub missing: BTreeMap<MissingReason, u64>,
        /// Refusals by kind.
        pub refusals: BTreeMap<Box<str>, u64>,
    }
}

/// Collects answers.
#[derive(Clone, Debug)]
pub struct Tally {
    latency: Histogram<u64>,
    complete: u64,
    in_time: u64,
    coverage: f64,
    inaccurate: u64,
    needed: u64,
    missing: BTreeMap<MissingReason, u64>,
    refusals: BTreeMap<Box<str>, u64>,
}

/// Latency that 99 in 100 queries are to keep at the target scale.
const TARGET: Duration = Duration::from_millis(110);

impl Tally {
    /// No answers yet.
    pub fn new() -> Result<Tally, CreationError> {
        Ok(Tally {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            complete: 0,
            in_time: 0,
            coverage: 0.0,
            inaccurate: 0,
            needed: 0,
            missing: BTreeMap::new(),
            refusals: BTreeMap::new(),
        })
    }

    /// Adds an answer that came `latency` after the planned arrival.
    ///
    /// Measuring from the planned arrival corrects for coordinated omission: a
    /// sender that falls behind adds its delay to every query that it holds up.
    pub fn add(&mut self, answer: &Answer, latency: Duration) {
        self.latency.saturating_record(latency.as_micros() as u64);
        match answer {
            Answer::Rows { answered, total, complete, missing, accurate } => {
                self.complete += u64::from(*complete);
                self.in_time += u64::from(*complete && latency <= TARGET);
                self.inaccurate += u64::from(!accurate);
                self.needed += u64::from(*total);
                for reason in missing {
                    *self.missing.entry(*reason).or_insert(0) += 1;
                }
                if *total > 0 {
                    self.coverage += f64::from(*answered) / f64::from(*total);
                }
            }
            Answer::Refused(reason) => *self.refusals.entry(reason.clone()).or_insert(0) += 1,
        }
    }

    /// Figures so far.
    pub fn summary(&self) -> Summary {
        let queries = self.latency.len();
        let share = |count: f64| if queries == 0 { 0.0 } else { count / queries as f64 };
        let at = |q: f64| self.latency.value_at_quantile(q) as f64 / 1_000.0;
        Summary {
            queries,
            p50_ms: at(0.5),
            p99_ms: at(0.99),
            p999_ms: at(0.999),
            complete: share(self.complete as f64),
            complete_110ms: share(self.in_time as f64),
            coverage: share(self.coverage),
            inaccurate: self.inaccurate,
            needed: self.needed,
            missing: self.missing.clone(),
            refusals: self.refusals.clone(),
        }
    }
}
