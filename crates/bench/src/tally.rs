//! Statistics of the answers that the callers of one phase received.

use std::collections::BTreeMap;
use std::time::Duration;

use chervil_base::coverage::MissingReason;
use chervil_base::message;
use hdrhistogram::CreationError;
use hdrhistogram::Histogram;

use crate::answer::Answer;

/// Upper bound of the histogram, in microseconds (60 s). Longer latencies are
/// recorded as this.
const MAX_LATENCY_US: u64 = 60_000_000;

message! {
    /// Statistics of one phase.
    #[derive(Default)]
    pub struct Summary {
        /// Number of queries.
        pub queries: u64,
        /// Median latency, counted from the planned arrival, in milliseconds.
        pub p50_ms: f64,
        /// 99th percentile of the latency, in milliseconds.
        pub p99_ms: f64,
        /// 99.9th percentile of the latency, in milliseconds.
        pub p999_ms: f64,
        /// Share of queries with a complete answer, from 0 to 1.
        pub complete: f64,
        /// Share of queries with a complete answer within 110 ms.
        pub complete_110ms: f64,
        /// Mean share of answered shards per query; 0 for a refused query.
        pub coverage: f64,
        /// Number of answers whose rows differ from those that their coverage
        /// declares.
        pub inaccurate: u64,
        /// Number of shards, summed over all queries that were not refused.
        pub needed: u64,
        /// Number of shards missing from answers, by reason.
        pub missing: BTreeMap<MissingReason, u64>,
        /// Number of refused queries, by reason.
        pub refusals: BTreeMap<Box<str>, u64>,
    }
}

/// Accumulates answers.
#[derive(Clone, Debug)]
pub struct Tally {
    latency: Histogram<u64>,
    complete: u64,
    in_time: u64,
    /// Sum of the coverage of all answers.
    coverage_sum: f64,
    inaccurate: u64,
    needed: u64,
    missing: BTreeMap<MissingReason, u64>,
    refusals: BTreeMap<Box<str>, u64>,
}

/// Latency that 99 % of the queries should not exceed at the target scale.
const TARGET_LATENCY: Duration = Duration::from_millis(110);

impl Tally {
    /// An empty tally. Fails if the histogram rejects its bounds.
    pub fn new() -> Result<Tally, CreationError> {
        Ok(Tally {
            latency: Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)?,
            complete: 0,
            in_time: 0,
            coverage_sum: 0.0,
            inaccurate: 0,
            needed: 0,
            missing: BTreeMap::new(),
            refusals: BTreeMap::new(),
        })
    }

    /// Adds an answer that came `latency` after the planned arrival of its query.
    ///
    /// Counting from the planned arrival avoids coordinated omission: if the sender
    /// falls behind, its delay is part of the latency of every delayed query.
    pub fn add(&mut self, answer: &Answer, latency: Duration) {
        self.latency.saturating_record(latency.as_micros() as u64);
        match answer {
            Answer::Rows { answered, total, complete, missing, accurate } => {
                self.complete += u64::from(*complete);
                self.in_time += u64::from(*complete && latency <= TARGET_LATENCY);
                self.inaccurate += u64::from(!accurate);
                self.needed += u64::from(*total);
                for reason in missing {
                    *self.missing.entry(*reason).or_insert(0) += 1;
                }
                if *total > 0 {
                    self.coverage_sum += f64::from(*answered) / f64::from(*total);
                }
            }
            Answer::Refused(reason) => *self.refusals.entry(reason.clone()).or_insert(0) += 1,
        }
    }

    /// Statistics of the answers so far.
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
            coverage: share(self.coverage_sum),
            inaccurate: self.inaccurate,
            needed: self.needed,
            missing: self.missing.clone(),
            refusals: self.refusals.clone(),
        }
    }
}
