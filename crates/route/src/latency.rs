//! Running estimates of the latency of a route.

use std::time::Duration;

use chervil_base::value;

/// Share of the estimate by which one sample moves it.
const STEP: f64 = 0.04;

/// Part of the latency target that an estimate of the median begins with.
const INITIAL_MEDIAN: f64 = 0.15;

/// Part of the latency target that an estimate of the high quantile begins with.
const INITIAL_HIGH: f64 = 0.30;

/// Quantile after which a second request is sent.
const HIGH_QUANTILE: f64 = 0.92;

/// Bounds of the delay before a second request, as parts of the latency target.
const DELAY_RANGE: (f64, f64) = (0.12, 0.42);

value! {
    /// Latency of the sub-requests of one route.
    #[derive(Copy)]
    pub struct LatencyEstimator {
        aim: f64,
        median: f64,
        high: f64,
    }
}

impl LatencyEstimator {
    /// Estimates for a route with this latency target.
    pub fn new(aim: Duration) -> LatencyEstimator {
        let aim = aim.as_secs_f64() * 1e3;
        LatencyEstimator { aim, median: aim * INITIAL_MEDIAN, high: aim * INITIAL_HIGH }
    }

    /// Takes in the latency of one reply.
    pub fn record(&mut self, latency: Duration) {
        let ms = latency.as_secs_f64() * 1e3;
        step(&mut self.median, 0.5, ms);
        step(&mut self.high, HIGH_QUANTILE, ms);
    }

    /// Typical latency.
    pub fn median(&self) -> Duration {
        Duration::from_secs_f64(self.median / 1e3)
    }

    /// Time after which a reply counts as late and another backend server is
    /// asked.
    pub fn hedge_delay(&self) -> Duration {
        let ms = self.high.clamp(self.aim * DELAY_RANGE.0, self.aim * DELAY_RANGE.1);
        Duration::from_secs_f64(ms / 1e3)
    }
}

fn step(estimate: &mut f64, quantile: f64, sample: f64) {
    let width = (*estimate * STEP).max(0.02);
    if sample > *estimate {
        *estimate += width * quantile;
    } else {
        *estimate -= width * (1.0 - quantile);
    }
}
