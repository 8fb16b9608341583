//! Recent latency of the sub-requests of one service.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Samples below which the quantile is not trusted.
const MIN_SAMPLES: u64 = 200;

/// Age at which a histogram is replaced; a quantile sees one to two of these.
const GENERATION: Duration = Duration::from_secs(5);

/// How long a computed quantile is used.
const CACHE: Duration = Duration::from_millis(100);

/// Most medians that a hedge waits. Sub-requests that were given up count with
/// the time they had run; when many hang, the quantile would grow with the
/// hedge delay that it sets.
const MAX_MEDIANS: u64 = 4;

/// Medians that a canary waits for its hedge. It holds up the whole query, and
/// one sub-request more is little.
const PROBE_MEDIANS: f64 = 1.5;

/// Largest latency that is told apart, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Times after which a reply is late.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeDelays {
    /// For any sub-request: the latency at a quantile, but not over 4 medians.
    pub hedge: Duration,
    /// For a canary.
    pub probe: Duration,
}

/// Decaying histogram of latencies.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    current: Option<Histogram<u64>>,
    previous: Option<Histogram<u64>>,
    started: Option<Instant>,
    cached: Option<(Instant, HedgeDelays)>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram::new()
    }
}

impl LatencyHistogram {
    /// An empty histogram.
    pub fn new() -> LatencyHistogram {
        LatencyHistogram {
            current: histogram(),
            previous: histogram(),
            started: None,
            cached: None,
        }
    }

    /// Records the latency of one sub-request, or how long a sub-request had
    /// run when it was given up.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.rotate(now);
        if let Some(h) = &mut self.current {
            h.saturating_record((latency.as_micros() as u64).clamp(1, MAX_MICROS));
        }
    }

    /// Times after which a reply is late, with hedges at `quantile`. `None`
    /// until there are enough samples.
    pub fn hedge_delays(&mut self, quantile: f64, now: Instant) -> Option<HedgeDelays> {
        if let Some((at, value)) = self.cached
            && now.saturating_duration_since(at) < CACHE
        {
            return Some(value);
        }
        self.rotate(now);
        let mut all = self.current.clone()?;
        if let Some(previous) = &self.previous {
            all.add(previous).ok()?;
        }
        if all.len() < MIN_SAMPLES {
            return None;
        }
        let median = all.value_at_quantile(0.5);
        let most = median * MAX_MEDIANS;
        let hedge = Duration::from_micros(all.value_at_quantile(quantile).min(most));
        let probe = Duration::from_micros(median).mul_f64(PROBE_MEDIANS).min(hedge);
        let late = HedgeDelays { hedge, probe };
        self.cached = Some((now, late));
        Some(late)
    }

    fn rotate(&mut self, now: Instant) {
        let started = *self.started.get_or_insert(now);
        if now.saturating_duration_since(started) >= GENERATION {
            std::mem::swap(&mut self.current, &mut self.previous);
            if let Some(h) = &mut self.current {
                h.reset();
            }
            self.started = Some(now);
        }
    }
}

fn histogram() -> Option<Histogram<u64>> {
    // Valid bounds; two significant digits keep a histogram at a few KB.
    Histogram::new_with_bounds(1, MAX_MICROS, 2).ok()
}
