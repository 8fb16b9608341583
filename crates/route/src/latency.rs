//! Streaming latency estimates of a route, from which the hedge delay follows.

use std::time::Duration;

use chervil_base::value;

/// Largest relative change of an estimate by one sample.
const STEP_RATIO: f64 = 0.04;

/// Lower bound of the step, so that an estimate near zero can still grow.
const MIN_STEP_MS: f64 = 0.02;

/// Initial median estimate as a fraction of the latency target.
const INITIAL_MEDIAN: f64 = 0.15;

/// Initial hedge quantile estimate as a fraction of the latency target.
const INITIAL_HEDGE: f64 = 0.30;

/// Latency quantile after which a hedge request is sent.
const HEDGE_QUANTILE: f64 = 0.92;

/// Bounds of the hedge delay as fractions of the latency target.
const HEDGE_DELAY_RANGE: (f64, f64) = (0.12, 0.42);

value! {
    /// Estimates the latency of the requests that one route sends to backend
    /// servers.
    #[derive(Copy)]
    pub struct LatencyEstimator {
        target_ms: f64,
        median_ms: f64,
        hedge_ms: f64,
    }
}

impl LatencyEstimator {
    /// Starts with estimates derived from the latency target of the route.
    pub fn new(target: Duration) -> LatencyEstimator {
        let target_ms = target.as_secs_f64() * 1e3;
        LatencyEstimator {
            target_ms,
            median_ms: target_ms * INITIAL_MEDIAN,
            hedge_ms: target_ms * INITIAL_HEDGE,
        }
    }

    /// Records the latency of one reply.
    pub fn record(&mut self, latency: Duration) {
        let ms = latency.as_secs_f64() * 1e3;
        update_quantile(&mut self.median_ms, 0.5, ms);
        update_quantile(&mut self.hedge_ms, HEDGE_QUANTILE, ms);
    }

    /// Estimated median latency.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median_ms / 1e3)
    }

    /// Time without a reply after which a hedge request is sent to another
    /// backend server.
    pub fn hedge_delay(&self) -> Duration {
        let min = self.target_ms * HEDGE_DELAY_RANGE.0;
        let max = self.target_ms * HEDGE_DELAY_RANGE.1;
        Duration::from_secs_f64(self.hedge_ms.clamp(min, max) / 1e3)
    }
}

/// Stochastic approximation of a quantile: the steps up and down balance when
/// the share `quantile` of the samples lies below the estimate.
fn update_quantile(estimate_ms: &mut f64, quantile: f64, sample_ms: f64) {
    let step = (*estimate_ms * STEP_RATIO).max(MIN_STEP_MS);
    if sample_ms > *estimate_ms {
        *estimate_ms += step * quantile;
    } else {
        *estimate_ms = (*estimate_ms - step * (1.0 - quantile)).max(0.0);
    }
}
