//! Fixtures: hosts that replicate a scripted registry, and serve it to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashSet;
use chervil_front::core::Core;
use chervil_front::follow::Follower;
use chervil_front::host::HostSettings;
use chervil_front::journal::Journal;
use chervil_front::listen::Lifecycle;
use chervil_front::peers;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::RegistryError;
use chervil_route::history::Position;
use tokio::net::TcpListener;

use super::ADDRESS;
use super::BOUNDS;
use super::ScriptedRegistry;
use super::core;
use super::journal;
use super::location;

pub fn changes(revision: u64, events: Vec<Event>) -> Result<Changes, RegistryError> {
    let position = Position { era: 0, revision };
    Ok(Changes { events, position, read_until: position })
}

pub fn unreachable() -> Result<Changes, RegistryError> {
    Err(RegistryError::Unreachable { reason: "test".into() })
}

pub fn settings(name: &str, peer: SocketAddr, seeds: Vec<SocketAddr>) -> HostSettings {
    HostSettings {
        name: name.into(),
        location: location(),
        listen: ADDRESS,
        ready: ADDRESS,
        peer: super::peer(peer, 10),
        seeds,
        bootstrap: false,
        metrics: ADDRESS,
        propagation_limit: Duration::from_millis(500),
        heartbeat: Duration::from_millis(10),
        grace: Duration::from_secs(1),
        bounds: BOUNDS,
    }
}

/// A host that replicates the registry.
pub struct ReplicaHost {
    pub core: Arc<Core>,
    pub lifecycle: Arc<Lifecycle>,
    pub registry: Arc<ScriptedRegistry>,
}

pub fn start(
    registry: ScriptedRegistry,
    settings: &HostSettings,
    journal: Arc<Journal>,
    core: Arc<Core>,
) -> ReplicaHost {
    let lifecycle = Arc::new(Lifecycle::default());
    let registry = Arc::new(registry);
    let follower =
        Follower::new(core.clone(), registry.clone(), lifecycle.clone(), journal, settings, 12);
    tokio::spawn(follower.run());
    ReplicaHost { core, lifecycle, registry }
}

pub fn start_alone(registry: ScriptedRegistry) -> ReplicaHost {
    start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core())
}

pub fn ids(core: &Core) -> HashSet<Box<str>> {
    core.state().fleet.ids().map(Box::from).collect()
}

pub fn registry_calls(host: &ReplicaHost) -> u32 {
    *host.registry.calls.lock().unwrap()
}

/// A host that serves its events to other hosts, and its address for them.
pub async fn start_upstream(registry: ScriptedRegistry) -> (ReplicaHost, SocketAddr) {
    start_upstream_with(registry, journal()).await
}

/// A host that serves the events of this journal to other hosts, and its address for them.
pub async fn start_upstream_with(
    registry: ScriptedRegistry,
    journal: Arc<Journal>,
) -> (ReplicaHost, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let core = core();
    tokio::spawn(peers::serve(listener, core.clone(), journal.clone(), Arc::default()));
    (start(registry, &settings("upstream", address, Vec::new()), journal, core), address)
}
