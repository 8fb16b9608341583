//! One host: puts the parts together and runs them until a stop.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_base::value;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;

use crate::core::Core;
use crate::follow;
use crate::follow::Follower;
use crate::journal::Journal;
use crate::listen;
use crate::listen::Lifecycle;
use crate::logs::Log;
use crate::metrics::Metrics;
use crate::names::HeaderNames;
use crate::peers;
use crate::presence;
use crate::ready;
use crate::registry::Registry;
use crate::state::Bounds;
use crate::state::State;

/// Hosts that share the bounds before more are known: today's deployments.
const LEAST_HOSTS: u32 = 12;

value! {
    /// Settings of a host.
    pub struct HostSettings {
        /// Name, unique among hosts.
        pub name: Box<str>,
        /// Availability zone.
        pub zone: Box<str>,
        /// Address for callers.
        pub listen: SocketAddr,
        /// Address for readiness probes.
        pub ready: SocketAddr,
        /// Address and power that other hosts are told.
        pub peer: Peer,
        /// Hosts to ask at the start.
        pub seeds: Vec<SocketAddr>,
        /// Whether the whole deployment starts for the first time.
        pub bootstrap: bool,
        /// Address for metrics.
        pub metrics: SocketAddr,
        /// Time within which a change of the registry must be in force.
        pub change: Duration,
        /// Time between the signal to stop and the end of the process.
        pub grace: Duration,
        /// Bounds that hold for all hosts together.
        pub bounds: Bounds,
    }
}

/// Signals that reach a process.
pub struct Signals {
    /// Stop gracefully.
    pub stop: Signal,
    /// Settings have changed.
    pub reload: Signal,
}

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// An address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
}

/// Runs a host until it is told to stop.
pub async fn run(
    settings: HostSettings,
    names: HeaderNames,
    registry: Arc<dyn Registry>,
    clock: Arc<dyn Clock>,
    mut signals: Signals,
) -> Result<(), HostError> {
    let callers = listen_on(settings.listen).await?;
    let probes = listen_on(settings.ready).await?;
    let others = listen_on(settings.peer.address).await?;
    let scrapes = listen_on(settings.metrics).await?;
    let rng = SmallRng::from_rng(&mut rand::rng());
    let boot = rand::rng().random::<u64>() | 1;
    let sources = PeerTable::new(settings.name.clone());
    let state = State::new(settings.zone.clone(), settings.bounds, LEAST_HOSTS, sources, rng);
    let core = Core::new(names, Log::default(), Metrics::default(), clock, state);
    let core = Arc::new(core);
    let lifecycle = Arc::new(Lifecycle::default());
    spdlog::info!("started", kv: { host = &*settings.name, zone = &*settings.zone });

    let journal = Arc::new(Journal::new(boot));
    let follower = Follower::new(
        core.clone(),
        registry.clone(),
        lifecycle.clone(),
        journal.clone(),
        &settings,
        LEAST_HOSTS,
    );
    tokio::spawn(peers::serve(others, core.clone(), journal));
    tokio::spawn(follower.run());
    tokio::spawn(presence::keep(
        core.clone(),
        registry,
        settings.name.clone(),
        settings.peer,
        settings.bootstrap,
    ));
    tokio::spawn(follow::prune_connections(core.clone()));
    tokio::spawn(ready::serve_ready(probes, lifecycle.clone()));
    tokio::spawn(ready::serve_metrics(scrapes, core.clone()));
    tokio::spawn(listen::serve(callers, core, lifecycle.clone()));
    loop {
        tokio::select! {
            _ = signals.stop.recv() => break,
            _ = signals.reload.recv() => {
                spdlog::info!("settings changed; they take effect at the next start");
            }
        }
    }
    spdlog::info!("stopping", kv: { host = &*settings.name });
    lifecycle.stop(settings.grace).await;
    spdlog::info!("stopped", kv: { host = &*settings.name });
    Ok(())
}

async fn listen_on(address: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}
