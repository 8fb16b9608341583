//! Limit on the rate of queries over one set of shards that a host starts.
//!
//! Load pattern: more queries than the backend servers can serve, for seconds. A query
//! needs nearly all of its shards, so that when all servers turn a part of the requests
//! away, nearly all queries fail although most of their sub-requests were served. Fewer
//! queries are served whole; the others are refused before anything is sent. The limit
//! is on the rate rather than on the queries in progress, because a query that fails ends
//! sooner than one that is served and would make room for the next.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;

/// Shortest interval at which the rate is adapted: the duration of a query.
const MIN_ADAPT_INTERVAL: Duration = Duration::from_millis(50);

/// Longest interval. A host with few queries adapts when it has [`MIN_SAMPLES`].
const MAX_ADAPT_INTERVAL: Duration = Duration::from_secs(1);

/// Queries that an interval must contain, so that a single one does not halve the rate.
const MIN_SAMPLES: u32 = 8;

/// Decrease of the rate in an interval in which all queries met full servers; smaller in
/// proportion to the share that did.
const MAX_DECREASE: f64 = 0.4;

/// The same while the rate is far above the capacity: until the first interval without
/// overload.
const FIRST_DECREASE: f64 = 0.7;

/// Share of queries that may meet full servers without a decrease, as at the moment when
/// servers are just busy enough.
const TOLERATED_SHARE: f64 = 0.05;

/// Relative increase of the rate, for each [`MIN_ADAPT_INTERVAL`], in the first interval
/// without overload in which queries were refused. It grows by as much with each further
/// one.
const INCREASE: f64 = 0.03;

/// Largest factor on the rate after one interval, however long.
const MAX_INCREASE: f64 = 2.0;

/// Largest number of intervals without overload by which the increase grows.
const MAX_STREAK: u32 = 6;

/// Served queries that are added to those of each interval, so that one or two failed ones
/// on a host with few queries do not look like an overload of all.
const PRIOR_QUERIES: f64 = 2.0;

/// Lowest rate per second. Some queries must run to notice that capacity is back.
const MIN_RATE: f64 = 2.0;

/// Time without a refusal or overload after which there is no limit any more.
const UNLIMITED_AFTER: Duration = Duration::from_secs(2);

/// Length of a burst that the limit lets pass, as time at the current rate.
const BURST: Duration = Duration::from_millis(40);

/// Smallest burst, in queries.
const MIN_BURST: f64 = 2.0;

/// Share of the rate up to which queries of lower urgency compete with the more urgent
/// ones. Beyond it they get only what those leave.
const LOW_URGENCY_SHARE: f64 = 0.25;

/// Share of a full burst that must be left for a less urgent query beyond its share.
const RESERVE: f64 = 0.5;

/// Weight of one query in the moving average of their duration.
const DURATION_WEIGHT: f64 = 0.1;

/// Duration of a query before any has ended.
const INITIAL_DURATION: Duration = Duration::from_millis(50);

/// Share of its shards at full servers from which a query counts as having met overload.
const OVERLOAD_SHARE: f64 = 0.05;

value! {
    /// What a query that has ended met.
    #[derive(Copy, Eq)]
    pub enum Signal {
        /// It was served.
        Served,
        /// It failed, and servers turned it away because they were full.
        Overloaded,
        /// It says nothing about the load, for example because the caller left.
        Neutral,
    }

    /// Limit on the rate of queries.
    pub struct Admission {
        /// Set while there is a limit.
        limit: Option<Limit>,
        /// Counts of the current interval.
        counts: Counts,
        interval_start: Instant,
        /// Intervals without overload since the last decrease.
        streak: u32,
        /// Whether the rate has been low enough since the limit was set.
        found: bool,
        /// Last interval in which a query was refused or met overload.
        limited_at: Instant,
        /// Moving average of the duration of a query, in seconds.
        duration_s: f64,
    }

    #[derive(Copy)]
    struct Limit {
        /// Queries per second.
        rate: f64,
        /// Queries that may start now.
        tokens: f64,
        /// Of these, queries of lower urgency that compete with the more urgent ones.
        low_tokens: f64,
        refilled_at: Instant,
    }

    #[derive(Copy, Default)]
    struct Counts {
        admitted: u32,
        refused: u32,
        ended: u32,
        overloaded: u32,
    }
}

impl Admission {
    /// Without a limit.
    pub fn new(now: Instant) -> Admission {
        Admission {
            limit: None,
            counts: Counts::default(),
            interval_start: now,
            streak: 0,
            found: false,
            limited_at: now,
            duration_s: INITIAL_DURATION.as_secs_f64(),
        }
    }

    /// Admits a query, or refuses it. `rank` is 0 for the most urgent kind of query over
    /// these shards and counts the more urgent kinds otherwise.
    pub fn admit(&mut self, rank: u32, now: Instant) -> bool {
        self.adapt(now);
        let admitted = self.limit.as_mut().is_none_or(|l| l.take(rank, now));
        if admitted {
            self.counts.admitted += 1;
        } else {
            self.counts.refused += 1;
        }
        admitted
    }

    /// Ends an admitted query that began at `start`.
    pub fn finish(&mut self, signal: Signal, start: Instant, now: Instant) {
        self.adapt(now);
        let duration_s = now.duration_since(start).as_secs_f64();
        self.duration_s += DURATION_WEIGHT * (duration_s - self.duration_s);
        match signal {
            Signal::Neutral => {}
            Signal::Served => self.counts.ended += 1,
            Signal::Overloaded => {
                self.counts.ended += 1;
                self.counts.overloaded += 1;
            }
        }
    }

    /// Time after which a refused query may be admitted: those that are in progress have
    /// ended by then.
    pub fn expected_wait(&self) -> Duration {
        Duration::from_secs_f64(self.duration_s)
    }

    /// Queries per second that are admitted; None without a limit.
    pub fn rate(&self) -> Option<f64> {
        self.limit.map(|l| l.rate)
    }

    /// Adapts the rate at the end of an interval.
    fn adapt(&mut self, now: Instant) {
        let elapsed = now.duration_since(self.interval_start);
        let samples = self.counts.ended + self.counts.refused;
        let is_due = samples >= MIN_SAMPLES || elapsed >= MAX_ADAPT_INTERVAL;
        if elapsed < MIN_ADAPT_INTERVAL || !is_due {
            return;
        }
        let counts = std::mem::take(&mut self.counts);
        self.interval_start = now;
        let overloaded = f64::from(counts.overloaded) / (f64::from(counts.ended) + PRIOR_QUERIES);
        if overloaded > TOLERATED_SHARE {
            let admitted = f64::from(counts.admitted) / elapsed.as_secs_f64();
            let rate = self.limit.map_or(admitted, |l| l.rate.min(admitted.max(MIN_RATE)));
            self.streak = 0;
            let decrease = if self.found { MAX_DECREASE } else { FIRST_DECREASE };
            self.set_rate(rate * (1.0 - decrease * overloaded), now);
        } else if counts.refused > 0 {
            let rate = self.limit.map_or(MIN_RATE, |l| l.rate);
            self.streak = (self.streak + 1).min(MAX_STREAK);
            self.found = true;
            let intervals = elapsed.as_secs_f64() / MIN_ADAPT_INTERVAL.as_secs_f64();
            let increase = (1.0 + INCREASE * f64::from(self.streak)).powf(intervals);
            self.set_rate(rate * increase.min(MAX_INCREASE), now);
        } else if now.duration_since(self.limited_at) >= UNLIMITED_AFTER {
            self.limit = None;
            self.found = false;
            return;
        } else {
            return;
        }
        self.limited_at = now;
    }

    fn set_rate(&mut self, rate: f64, now: Instant) {
        let rate = rate.max(MIN_RATE);
        match &mut self.limit {
            Some(limit) => limit.rate = rate,
            None => {
                let full = burst(rate);
                self.limit = Some(Limit { rate, tokens: full, low_tokens: full, refilled_at: now });
            }
        }
    }
}

impl Limit {
    /// Takes the place of one query, if there is one for this rank.
    fn take(&mut self, rank: u32, now: Instant) -> bool {
        let refill = self.rate * now.duration_since(self.refilled_at).as_secs_f64();
        let full = burst(self.rate);
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(full);
        self.low_tokens = (self.low_tokens + refill * LOW_URGENCY_SHARE).min(full);
        if self.tokens < 1.0 {
            return false;
        }
        if rank > 0 {
            let within_share = self.low_tokens >= 1.0;
            if !within_share && self.tokens < 1.0 + RESERVE * full {
                return false;
            }
            self.low_tokens = (self.low_tokens - 1.0).max(0.0);
        }
        self.tokens -= 1.0;
        true
    }
}

/// Largest number of queries that may start at once at this rate.
fn burst(rate: f64) -> f64 {
    (rate * BURST.as_secs_f64()).max(MIN_BURST)
}

/// What a query over `shards` shards met, of which `full` were turned away by a full
/// server at least once. A query that was served in spite of that is no sign of overload:
/// other servers had room for its parts.
pub fn signal(served: bool, full: usize, shards: usize) -> Signal {
    if served {
        Signal::Served
    } else if full as f64 > shards as f64 * OVERLOAD_SHARE {
        Signal::Overloaded
    } else {
        Signal::Neutral
    }
}
