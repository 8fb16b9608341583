//! State shared by all requests for one service on one entry.

use std::time::Instant;

use crate::budget::RetryBudget;
use crate::latency::HedgeDelays;
use crate::latency::LatencyHistogram;
use crate::limiter::Limiter;
use crate::recent::RecentSuccesses;
use crate::replica::ReplicaHealth;
use crate::tunables::Tunables;

/// State shared by all requests for one service.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Settings.
    pub tunables: Tunables,
    /// Recent latency of sub-requests.
    pub latency: LatencyHistogram,
    /// Budget of hedges and retries.
    pub budget: RetryBudget,
    /// Limit of concurrent requests.
    pub limiter: Limiter,
    /// Digests that may skip the canary probe.
    pub recent: RecentSuccesses,
    /// Observed health of servers and gates.
    pub health: ReplicaHealth,
}

impl Policy {
    /// Creates the state of a service without requests so far.
    pub fn new(tunables: Tunables) -> Policy {
        Policy {
            latency: LatencyHistogram::new(),
            budget: RetryBudget::new(tunables.steady_extra, tunables.fault_extra),
            limiter: Limiter::new(tunables.first_limit, tunables.max_limit),
            recent: RecentSuccesses::new(tunables.success_ttl()),
            health: ReplicaHealth::default(),
            tunables,
        }
    }

    /// Current hedge delays: the measured ones, or `first_hedge_ms` while there
    /// are too few samples, and at least
    /// `min_hedge_ms`.
    pub fn hedge_delays(&mut self, now: Instant) -> HedgeDelays {
        let first = self.tunables.first_hedge();
        let measured = self.latency.hedge_delays(self.tunables.hedge_quantile, now);
        let delays = measured.unwrap_or(HedgeDelays { hedge: first, probe: first });
        let min = self.tunables.min_hedge();
        HedgeDelays { hedge: delays.hedge.max(min), probe: delays.probe.max(min) }
    }
}
