//! Startup, task wiring and shutdown of a host.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_base::value;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use chervil_route::relay::Location;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::signal::unix::Signal;
use tokio::time;

use crate::core::Core;
use crate::crashes;
use crate::follow;
use crate::follow::Follower;
use crate::journal::Journal;
use crate::links;
use crate::listen;
use crate::listen::Lifecycle;
use crate::logs::LogLimiter;
use crate::metrics::Metrics;
use crate::names::HeaderNames;
use crate::peers;
use crate::ready;
use crate::registration;
use crate::registry::Registry;
use crate::state::Bounds;
use crate::state::State;
use crate::watch;

/// Least number of hosts among which the limits are divided, which holds until
/// more are known; the size of the existing deployments.
const MIN_HOSTS: u32 = 12;

value! {
    /// Settings of a host.
    pub struct HostSettings {
        /// Name, unique in the deployment.
        pub name: Box<str>,
        /// Where the host stands.
        pub location: Location,
        /// Address on which callers connect.
        pub listen: SocketAddr,
        /// Address on which readiness probes are answered.
        pub ready: SocketAddr,
        /// Address for other hosts and CPU limit, as stated in the registry.
        pub peer: Peer,
        /// Addresses of hosts from which the first state can be loaded.
        pub seeds: Vec<SocketAddr>,
        /// Whether the whole deployment starts for the first time.
        pub bootstrap: bool,
        /// Address on which metrics are served.
        pub metrics: SocketAddr,
        /// Time within which a change in the registry must take effect.
        pub propagation_limit: Duration,
        /// Interval at which backend servers renew their registry entries; zero if unknown.
        pub heartbeat: Duration,
        /// Time from the stop signal to the exit of the process.
        pub grace: Duration,
        /// Limits for the whole deployment.
        pub bounds: Bounds,
    }
}

/// Signals that the process handles.
pub struct Signals {
    /// Shut down gracefully.
    pub stop: Signal,
    /// The settings file has changed.
    pub reload: Signal,
}

/// Part of the grace period that is left when the process ends, so that it is not killed.
const KILL_MARGIN: Duration = Duration::from_millis(50);

/// Why a host cannot start.
#[derive(Debug, Snafu)]
pub enum HostError {
    /// The task that keeps the registry data up to date has ended by an error.
    #[snafu(display("the registry follower has failed; see the log, and restart the host"))]
    FollowerEnded,
    /// A listening address cannot be bound.
    #[snafu(display("cannot listen on {address}: {source}; check that the address is free"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Error of the operating system.
        source: io::Error,
    },
}

/// Runs a host until the stop signal, then drains its connections.
pub async fn run(
    settings: HostSettings,
    names: HeaderNames,
    registry: Arc<dyn Registry>,
    clock: Arc<dyn Clock>,
    mut signals: Signals,
) -> Result<(), HostError> {
    let caller_listener = listen_on(settings.listen).await?;
    let probe_listener = listen_on(settings.ready).await?;
    let peer_listener = listen_on(settings.peer.address).await?;
    let metrics_listener = listen_on(settings.metrics).await?;
    let rng = SmallRng::from_rng(&mut rand::rng());
    // Never 0, which in a cursor means that no reply has come yet.
    let boot = rand::rng().random::<u64>() | 1;
    let peers = PeerTable::new(settings.name.clone(), settings.peer.cpu_millicores);
    let state = State::new(settings.location.clone(), settings.bounds, MIN_HOSTS, peers, rng);
    let core = Core::new(names, LogLimiter::default(), Metrics::default(), clock, state);
    let core = Arc::new(core);
    let lifecycle = Arc::new(Lifecycle::default());
    let (host, zone) = (&*settings.name, &*settings.location.zone);
    spdlog::info!("started", kv: { host, zone, format = FORMAT });

    let journal = Arc::new(Journal::new(boot));
    let follower = Follower::new(
        core.clone(),
        registry.clone(),
        lifecycle.clone(),
        journal.clone(),
        &settings,
        MIN_HOSTS,
    );
    tokio::spawn(peers::serve(peer_listener, core.clone(), journal, lifecycle.clone()));
    let mut follower = tokio::spawn(follower.run());
    tokio::spawn(follow::watch_for_pauses(core.clone()));
    tokio::spawn(crashes::publish(core.clone(), registry.clone()));
    tokio::spawn(registration::maintain(
        core.clone(),
        registry,
        settings.name.clone(),
        settings.peer.clone(),
        settings.bootstrap,
    ));
    tokio::spawn(follow::prune_connections(core.clone()));
    tokio::spawn(links::watch(core.clone()));
    tokio::spawn(watch::run(core.clone()));
    tokio::spawn(ready::serve_ready(probe_listener, lifecycle.clone()));
    tokio::spawn(ready::serve_metrics(metrics_listener, core.clone()));
    tokio::spawn(listen::serve(caller_listener, core.clone(), lifecycle.clone()));
    loop {
        tokio::select! {
            _ = signals.stop.recv() => break,
            // Without it, the host would serve on with data that are never updated.
            _ = &mut follower => return FollowerEndedSnafu.fail(),
            _ = signals.reload.recv() => {
                spdlog::info!("reload signal received; restart the host to apply changed settings");
            }
        }
    }
    spdlog::info!("stopping", kv: { host = &*settings.name });
    stop(&core, &lifecycle, settings.grace).await;
    // What is open now is cut off.
    let (open, relayed) = (lifecycle.open_connections(), lifecycle.relayed());
    spdlog::info!("stopped", kv: { host = &*settings.name, open, relayed });
    Ok(())
}

/// Drains a host within the grace period, and passes on what it still knows. When it returns, the
/// process may end.
pub async fn stop(core: &Core, lifecycle: &Lifecycle, grace: Duration) {
    let end = time::Instant::now() + grace;
    lifecycle.stop(grace).await;
    spdlog::info!("connections drained", kv: { open = lifecycle.open_connections() });
    let pass_on = async {
        watch::hand_over(core).await;
        crashes::flush(core).await;
    };
    if time::timeout_at(end - KILL_MARGIN, pass_on).await.is_err() {
        spdlog::warn!("no time left to pass on what this host knows of backend servers");
    }
}

async fn listen_on(address: SocketAddr) -> Result<TcpListener, HostError> {
    TcpListener::bind(address).await.context(ListenSnafu { address })
}
