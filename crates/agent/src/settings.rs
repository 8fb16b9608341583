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
    /// Address that peers, the entry and the gate connect to.
    pub listen: SocketAddr,
    /// Address of the host's gate.
    pub gate: SocketAddr,
    /// Secret shared by all processes.
    pub secret: Secret,
    /// URL of the platform.
    pub platform: Box<str>,
    /// Agents to ask when the store is down at the start.
    #[serde(default)]
    pub peers: Vec<SocketAddr>,
    /// Values that rarely need to be changed.
    #[serde(default)]
    pub tunables: Tunables,
}

/// Values that rarely need to be changed, in milliseconds where named so.
#[derive(Clone, Debug, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Tunables {
    /// Limit of a call to the store.
    pub store_timeout_ms: u64,
    /// Calls to the store that may run or wait at once.
    pub store_calls: usize,
    /// How long one watch of the configuration's head waits.
    pub watch_ms: u64,
    /// Interval at which the member list in the store is compared.
    pub list_ms: u64,
    /// A store without a member list gets one after this time, which must
    /// exceed `list_ms`.
    pub create_ms: u64,
    /// A host denied for this long leaves the member list.
    pub remove_ms: u64,
    /// The same for a host that the platform no longer lists.
    pub delisted_ms: u64,
    /// Limit of the wait for the gate at a planned shutdown.
    pub drain_ms: u64,
    /// Limit of a claim or canary request passed on to another host.
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
    /// Limit of a call to the store.
    pub fn store_timeout(&self) -> Duration {
        Duration::from_millis(self.store_timeout_ms)
    }

    /// How long one watch waits.
    pub fn watch(&self) -> Duration {
        Duration::from_millis(self.watch_ms)
    }

    /// Interval of looks at the member list in the store.
    pub fn list(&self) -> Duration {
        Duration::from_millis(self.list_ms)
    }

    /// Time after which a store without a member list gets one.
    pub fn create(&self) -> Duration {
        Duration::from_millis(self.create_ms)
    }

    /// Time after which a denied host is removed.
    pub fn remove(&self) -> Duration {
        Duration::from_millis(self.remove_ms)
    }

    /// Time after which a denied host that is not listed is removed.
    pub fn delisted(&self) -> Duration {
        Duration::from_millis(self.delisted_ms)
    }

    /// Limit of the wait for the gate.
    pub fn drain(&self) -> Duration {
        Duration::from_millis(self.drain_ms)
    }

    /// Limit of a forwarded request.
    pub fn forward(&self) -> Duration {
        Duration::from_millis(self.forward_ms)
    }
}

impl Settings {
    /// This host as the member list names it, listening on `agent`.
    pub fn member(&self, agent: SocketAddr) -> MemberHost {
        let node = &self.node;
        MemberHost { host: node.host.clone(), zone: node.zone.clone(), agent, gate: self.gate }
    }
}
