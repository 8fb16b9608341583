//! What all queries of one service on one entry share.

use std::time::Instant;

use crate::budget::Budget;
use crate::latency::Late;
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

    /// Times after which a sub-request or canary without a reply is hedged.
    pub fn late(&mut self, now: Instant) -> Late {
        let first = self.tunables.first_hedge();
        let seen = self.latency.late_after(self.tunables.quantile, now);
        let late = seen.unwrap_or(Late { hedge: first, probe: first });
        let least = self.tunables.min_hedge();
        Late { hedge: late.hedge.max(least), probe: late.probe.max(least) }
    }
}
