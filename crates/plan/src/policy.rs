//! What all queries of one service on one entry share.

use std::time::Instant;

use crate::budget::RetryBudget;
use crate::latency::HedgeDelays;
use crate::latency::LatencyHistogram;
use crate::limiter::Limiter;
use crate::recent::RecentSuccesses;
use crate::replica::ReplicaHealth;
use crate::tunables::Tunables;

/// Shared state of the queries of one service.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Settings.
    pub tunables: Tunables,
    /// Latency of sub-requests.
    pub latency: LatencyHistogram,
    /// Tokens for hedges and retries.
    pub budget: RetryBudget,
    /// Limit of concurrent queries.
    pub limiter: Limiter,
    /// Digests that need no canary.
    pub recent: RecentSuccesses,
    /// Observations of servers and gates.
    pub health: ReplicaHealth,
}

impl Policy {
    /// State of a service that has not been used yet.
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

    /// Times after which a sub-request or canary without a reply is hedged.
    pub fn hedge_delays(&mut self, now: Instant) -> HedgeDelays {
        let first = self.tunables.first_hedge();
        let seen = self.latency.hedge_delays(self.tunables.hedge_quantile, now);
        let late = seen.unwrap_or(HedgeDelays { hedge: first, probe: first });
        let least = self.tunables.min_hedge();
        HedgeDelays { hedge: late.hedge.max(least), probe: late.probe.max(least) }
    }
}
