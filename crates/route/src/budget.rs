//! Budget of extra requests to a service.
//!
//! All hosts together may send a service a fixed ratio of extra requests and a
//! fixed number besides. Each host spends its share of that number, so that no
//! message between hosts is needed.

use chervil_base::value;

/// Part of the allowance that is spent; the rest covers a host that restarts
/// with a new share within the same window.
const USED_SHARE: f64 = 0.92;

/// Part of the share that a starting host begins with.
const INITIAL_SHARE: f64 = 0.75;

value! {
    /// Allowance of extra requests for one service, over all hosts.
    #[derive(Copy)]
    pub struct Allowance {
        /// Extra requests for each request.
        pub ratio: f64,
        /// Extra requests in a window besides.
        pub slack: f64,
    }

    /// What one host may still spend on one service.
    pub struct Budget {
        tokens: f64,
        peak: f64,
        ratio: f64,
    }
}

impl Budget {
    /// A budget for one of `hosts` hosts.
    pub fn new(allowance: Allowance, hosts: u32) -> Budget {
        let peak = share(allowance, hosts);
        Budget { tokens: peak * INITIAL_SHARE, peak, ratio: allowance.ratio * USED_SHARE }
    }

    /// Adapts the budget to another number of hosts.
    pub fn resize(&mut self, allowance: Allowance, hosts: u32) {
        self.peak = share(allowance, hosts);
        self.tokens = self.tokens.min(self.peak);
    }

    /// Counts a request to the service.
    pub fn earn(&mut self) {
        self.tokens = (self.tokens + self.ratio).min(self.peak);
    }

    /// Takes one extra request out of the budget, if it has one.
    pub fn spend(&mut self) -> bool {
        let enough = self.tokens >= 1.0;
        if enough {
            self.tokens -= 1.0;
        }
        enough
    }
}

fn share(allowance: Allowance, hosts: u32) -> f64 {
    (allowance.slack * USED_SHARE / f64::from(hosts.max(1))).max(1.0)
}
