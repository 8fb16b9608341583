//! Settings of request planning, with their defaults.

use std::time::Duration;

use serde::Deserialize;

/// Settings of request planning.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tunables {
    /// Maximum number of hedges for one shard.
    #[serde(rename = "hedges")]
    pub max_hedges: u8,
    /// Latency quantile used as the hedge delay, between 0 and 1.
    #[serde(rename = "quantile")]
    pub hedge_quantile: f64,
    /// Minimum hedge delay, in milliseconds.
    pub min_hedge_ms: u64,
    /// Hedge delay while there are too few latency samples, in milliseconds.
    pub first_hedge_ms: u64,
    /// Hedges allowed in normal operation, as a share of the needed
    /// sub-requests.
    pub steady_extra: f64,
    /// Hedges and retries allowed under faults, as a share of the needed
    /// sub-requests; includes `steady_extra`.
    pub fault_extra: f64,
    /// Whether a request that has not succeeded recently is first probed on one
    /// backend server.
    pub canary: bool,
    /// How long a request that succeeded may skip the canary probe, in
    /// milliseconds.
    #[serde(rename = "recent_ms")]
    pub success_ttl_ms: u64,
    /// Initial limit of concurrent requests of one service.
    pub first_limit: u32,
    /// Upper bound of the limit of concurrent requests of one service.
    pub max_limit: u32,
    /// Time reserved before the deadline for sending the answer, in
    /// milliseconds.
    pub margin_ms: u64,
}

impl Default for Tunables {
    fn default() -> Tunables {
        Tunables {
            max_hedges: 2,
            hedge_quantile: 0.98,
            min_hedge_ms: 2,
            first_hedge_ms: 50,
            steady_extra: 0.05,
            fault_extra: 0.10,
            canary: true,
            success_ttl_ms: 60_000,
            first_limit: 64,
            max_limit: 4096,
            margin_ms: 5,
        }
    }
}

impl Tunables {
    /// Minimum hedge delay.
    pub fn min_hedge(&self) -> Duration {
        Duration::from_millis(self.min_hedge_ms)
    }

    /// Hedge delay while there are too few latency samples.
    pub fn first_hedge(&self) -> Duration {
        Duration::from_millis(self.first_hedge_ms)
    }

    /// How long a request that succeeded may skip the canary probe.
    pub fn success_ttl(&self) -> Duration {
        Duration::from_millis(self.success_ttl_ms)
    }

    /// Time reserved before the deadline for sending the answer.
    pub fn margin(&self) -> Duration {
        Duration::from_millis(self.margin_ms)
    }
}
