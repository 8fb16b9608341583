//! What all queries of one service on one entry share.

use std::time::Duration;
use std::time::Instant;

use crate::budget::Budget;
use crate::latency::Latency;
use crate::limiter::Limiter;
use crate::recent::Recent;
use crate::replica::Replicas;
use crate::tunables::Tunables;

/// Shared state of the queries of one service.
#[derive(Clone, Debug)]
pub struct Policy {
    /// Settings.
    pub tunables: Tunables,
    /// Latency of sub-requests.
    pub latency: Latency,
    /// Tokens for hedges and retries.
    pub budget: Budget,
    /// Limit of concurrent queries.
    pub limiter: Limiter,
    /// Digests that need no canary.
    pub recent: Recent,
    /// Observations of servers and gates.
    pub replicas: Replicas,
}

impl Policy {
    /// State of a service that has not been used yet.
    pub fn new(tunables: Tunables) -> Policy {
        Policy {
            latency: Latency::new(),
            budget: Budget::new(tunables.steady_extra, tunables.fault_extra),
            limiter: Limiter::new(tunables.first_limit, tunables.max_limit),
            recent: Recent::new(tunables.recent()),
            replicas: Replicas::default(),
            tunables,
        }
    }

    /// Time after which a sub-request without a reply is hedged.
    pub fn hedge_delay(&mut self, now: Instant) -> Duration {
        let seen = self.latency.late_after(self.tunables.quantile, now);
        seen.unwrap_or(self.tunables.first_hedge()).max(self.tunables.min_hedge())
    }
}
