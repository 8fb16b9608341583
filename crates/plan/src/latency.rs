//! Recent sub-request latency of one service, from which hedge delays follow.

use std::time::Duration;
use std::time::Instant;

use hdrhistogram::Histogram;

/// Minimum number of samples for a quantile.
const MIN_SAMPLES: u64 = 200;

/// Age at which the histograms are rotated; a quantile covers one to two
/// generations.
const GENERATION: Duration = Duration::from_secs(5);

/// How long computed delays are cached.
const CACHE_TTL: Duration = Duration::from_millis(100);

/// Maximum hedge delay, as a multiple of the median. Cancelled sub-requests are
/// recorded with the time they had run; when many hang, the quantile would
/// otherwise grow with the hedge delay that is derived from it.
const MAX_HEDGE_MEDIANS: u64 = 4;

/// Hedge delay of a canary probe, as a multiple of the median. It is short
/// because a slow probe delays the whole query, and its hedge costs only one
/// sub-request.
const PROBE_MEDIANS: f64 = 1.5;

/// Largest recorded latency, in microseconds; longer ones are clamped.
const MAX_MICROS: u64 = 60_000_000;

/// Time without a reply after which a sub-request is hedged.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HedgeDelays {
    /// Delay for ordinary sub-requests: a latency quantile, at most 4
    /// medians.
    pub hedge: Duration,
    /// Delay for canary probes.
    pub probe: Duration,
}

/// Latency histogram over the last one to two generations.
#[derive(Clone, Debug)]
pub struct LatencyHistogram {
    current: Option<Histogram<u64>>,
    previous: Option<Histogram<u64>>,
    rotated_at: Option<Instant>,
    cached: Option<(Instant, HedgeDelays)>,
}

impl Default for LatencyHistogram {
    fn default() -> LatencyHistogram {
        LatencyHistogram::new()
    }
}

impl LatencyHistogram {
    /// Creates a histogram without samples.
    pub fn new() -> LatencyHistogram {
        LatencyHistogram {
            current: histogram(),
            previous: histogram(),
            rotated_at: None,
            cached: None,
        }
    }

    /// Records the latency of one sub-request, or for a cancelled one how long
    /// it had run.
    pub fn record(&mut self, latency: Duration, now: Instant) {
        self.rotate(now);
        if let Some(h) = &mut self.current {
            h.saturating_record((latency.as_micros() as u64).clamp(1, MAX_MICROS));
        }
    }

    /// Hedge delays, with the one of ordinary sub-requests at `quantile`; `None`
    /// while there are fewer than 200 samples.
    pub fn hedge_delays(&mut self, quantile: f64, now: Instant) -> Option<HedgeDelays> {
        if let Some((at, value)) = self.cached
            && now.saturating_duration_since(at) < CACHE_TTL
        {
            return Some(value);
        }
        self.rotate(now);
        let mut merged = self.current.clone()?;
        if let Some(previous) = &self.previous {
            merged.add(previous).ok()?;
        }
        if merged.len() < MIN_SAMPLES {
            return None;
        }
        let median = merged.value_at_quantile(0.5);
        let max = median * MAX_HEDGE_MEDIANS;
        let hedge = Duration::from_micros(merged.value_at_quantile(quantile).min(max));
        let probe = Duration::from_micros(median).mul_f64(PROBE_MEDIANS).min(hedge);
        let delays = HedgeDelays { hedge, probe };
        self.cached = Some((now, delays));
        Some(delays)
    }

    fn rotate(&mut self, now: Instant) {
        let rotated_at = *self.rotated_at.get_or_insert(now);
        if now.saturating_duration_since(rotated_at) >= GENERATION {
            std::mem::swap(&mut self.current, &mut self.previous);
            if let Some(h) = &mut self.current {
                h.reset();
            }
            self.rotated_at = Some(now);
        }
    }
}

fn histogram() -> Option<Histogram<u64>> {
    // `None` cannot occur because the bounds are valid. Two significant digits
    // keep a histogram at a few KB.
    Histogram::new_with_bounds(1, MAX_MICROS, 2).ok()
}
