//! Settings of the agent.

use std::net::SocketAddr;
use std::time::Duration;

use chervil_node::settings::NodeSettings;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::secret::Secret;
use serde::Deserialize;

/// Settings file of the agent.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Settings that all server binaries share.
    pub node: NodeSettings,
    /// Address that peers, the host's entry and the host's gate connect to.
    pub listen: SocketAddr,
    /// Address of the host's gate.
    pub gate: SocketAddr,
    /// Secret shared by all processes of the installation.
    pub secret: Secret,
    /// URL of the platform.
    pub platform: Box<str>,
    /// Agents of other hosts that this one contacts until it is in the member
    /// list, so that it can start while the store is down.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Timeouts, intervals and limits that rarely need to be changed.
    #[serde(default)]
    pub tunables: Tunables,
}

/// Timeouts, intervals and limits that rarely need to be changed; fields ending
/// in `_ms` are in milliseconds.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tunables {
    /// Timeout of a call to the store.
    pub store_timeout_ms: u64,
    /// Most concurrent calls to the store, including waiting watches; at least
    /// 2 are always allowed.
    pub store_calls: usize,
    /// How long one watch of the configuration's head waits for a change.
    pub watch_ms: u64,
    /// Interval at which the member list in the store is compared with the one
    /// in force.
    pub list_ms: u64,
    /// Time without a member list in the store after which a host creates the
    /// first one. Must exceed `list_ms`, so that running hosts can restore a
    /// list that the store has lost.
    pub create_ms: u64,
    /// Time for which a host must be down before it is removed from the member
    /// list.
    pub remove_ms: u64,
    /// The same time for a host that the platform no longer lists.
    pub delisted_ms: u64,
    /// Longest wait for the gate's release during a planned shutdown.
    pub drain_ms: u64,
    /// Timeout of a claim or canary request that is forwarded to another host.
    pub forward_ms: u64,
}

impl Default for Tunables {
    fn default() -> Tunables {
        Tunables {
            store_timeout_ms: 1_000,
            store_calls: 16,
            watch_ms: 1_000,
            list_ms: 2_000,
            create_ms: 3_000,
            remove_ms: 600_000,
            delisted_ms: 30_000,
            drain_ms: 30_000,
            forward_ms: 250,
        }
    }
}

impl Tunables {
    /// Timeout of a call to the store.
    pub fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.store_timeout_ms)
    }

    /// How long one watch of the configuration's head waits for a change.
    pub fn watch_timeout(&self) -> Duration {
        Duration::from_millis(self.watch_ms)
    }

    /// Interval at which the member list in the store is compared.
    pub fn list_interval(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    /// Time without a member list in the store after which one is created.
    pub fn create_delay(&self) -> Duration {
        Duration::from_millis(self.create_ms)
    }

    /// Time for which a host must be down before it is removed from the list.
    pub fn remove_delay(&self) -> Duration {
        Duration::from_millis(self.remove_ms)
    }

    /// The same time for a host that the platform no longer lists.
    pub fn delisted_delay(&self) -> Duration {
        Duration::from_millis(self.delisted_ms)
    }

    /// Longest wait for the gate's release.
    pub fn drain_timeout(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Timeout of a forwarded request.
    pub fn forward_timeout(&self) -> Duration {
        Duration::from_millis(self.forward_ms)
    }
}

impl Settings {
    /// Entry of this host for the member list, with an agent that listens on
    /// `agent`.
    pub fn member(&self, agent: SocketAddr) -> MemberHost {
        let node = &self.node;
        MemberHost { host: node.host.clone(), zone: node.zone.clone(), agent, gate: self.gate }
    }
}
