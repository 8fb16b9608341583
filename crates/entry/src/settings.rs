//! Settings of an entry.

use std::net::SocketAddr;

use chervil_node::settings::NodeSettings;
use chervil_plan::tunables::Tunables;
use chervil_rpc::secret::Secret;
use serde::Deserialize;
use snafu::Snafu;
use snafu::ensure;

/// Settings file of an entry.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct EntrySettings {
    /// Settings that all processes share.
    pub node: NodeSettings,
    /// HTTP address for callers.
    pub listen: SocketAddr,
    /// RPC address of the agent on this host.
    pub agent: SocketAddr,
    /// Secret that all processes of the installation share, sent with each RPC
    /// connection.
    pub secret: Secret,
    /// Query planning: hedging, extra load, canaries and concurrency limits.
    #[serde(default)]
    pub plan: Tunables,
    /// Longest wait for running requests at shutdown, in milliseconds.
    #[serde(default = "default_drain")]
    pub drain_ms: u64,
    /// Shutdown ends after this time without a running request, in
    /// milliseconds.
    #[serde(default = "default_quiet")]
    pub quiet_ms: u64,
}

fn default_drain() -> u64 {
    20_000
}

fn default_quiet() -> u64 {
    1_000
}

/// A setting is out of bounds.
#[derive(Debug, Snafu)]
#[snafu(display("`{name}` is out of bounds; set it to {bounds}"))]
pub struct BoundsError {
    name: &'static str,
    bounds: &'static str,
}

impl EntrySettings {
    /// Checks the bounds that deserialization does not enforce.
    pub fn check(&self) -> Result<(), BoundsError> {
        let plan = &self.plan;
        let (name, bounds) = ("plan.hedges", "at most 4");
        ensure!(plan.max_hedges <= 4, BoundsSnafu { name, bounds });
        let (name, bounds) = ("plan.quantile", "a number between 0.5 and 0.9999");
        ensure!((0.5..=0.9999).contains(&plan.hedge_quantile), BoundsSnafu { name, bounds });
        let (name, bounds) = ("plan.steady_extra", "a share between 0 and 1");
        ensure!((0.0..=1.0).contains(&plan.steady_extra), BoundsSnafu { name, bounds });
        let (name, bounds) = ("plan.fault_extra", "a share between steady_extra and 1");
        let fault_share = plan.steady_extra..=1.0;
        ensure!(fault_share.contains(&plan.fault_extra), BoundsSnafu { name, bounds });
        let (name, bounds) = ("plan.first_limit", "at least 1 and at most max_limit");
        ensure!((1..=plan.max_limit).contains(&plan.first_limit), BoundsSnafu { name, bounds });
        Ok(())
    }
}
