//! Settings of the query decisions, with their defaults.

use std::time::Duration;

use serde::Deserialize;

/// Settings of the query decisions.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tunables {
    /// Most hedges of one shard.
    #[serde(rename = "hedges")]
    pub max_hedges: u8,
    /// Latency quantile after which a hedge is sent.
    #[serde(rename = "quantile")]
    pub hedge_quantile: f64,
    /// Shortest hedge delay, in milliseconds.
    pub min_hedge_ms: u64,
    /// Hedge delay until enough replies were seen, in milliseconds.
    pub first_hedge_ms: u64,
    /// Extra sub-requests in steady state, as a share of the needed ones.
    pub steady_extra: f64,
    /// Extra sub-requests under faults, as a share of the needed ones.
    pub fault_extra: f64,
    /// Whether an unknown request is first sent to one backend server.
    pub canary: bool,
    /// How long a digest that succeeded needs no canary, in milliseconds.
    #[serde(rename = "recent_ms")]
    pub success_ttl_ms: u64,
    /// Concurrent queries of one service at the start.
    pub first_limit: u32,
    /// Most concurrent queries of one service.
    pub max_limit: u32,
    /// Time kept back for sending the answer, in milliseconds.
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
    /// Shortest hedge delay.
    pub fn min_hedge(&self) -> Duration {
        Duration::from_millis(self.min_hedge_ms)
    }

    /// Hedge delay until enough replies were seen.
    pub fn first_hedge(&self) -> Duration {
        Duration::from_millis(self.first_hedge_ms)
    }

    /// How long a digest that succeeded needs no canary.
    pub fn success_ttl(&self) -> Duration {
        Duration::from_millis(self.success_ttl_ms)
    }

    /// Time kept back for sending the answer.
    pub fn margin(&self) -> Duration {
        Duration::from_millis(self.margin_ms)
    }
}
