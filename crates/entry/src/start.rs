//! Startup and graceful shutdown of an entry.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_base::clock::SystemClock;
use chervil_node::admin;
use chervil_node::admin::AdminError;
use chervil_node::logs;
use chervil_node::logs::LogError;
use chervil_node::metrics::Metrics;
use chervil_node::metrics::MetricsError;
use chervil_node::shutdown::Lifecycle;
use chervil_node::shutdown::ShutdownSignals;
use chervil_node::trace;
use chervil_node::trace::TraceError;
use chervil_rpc::client::PeerPool;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::OnceCell;
use tokio::task::JoinHandle;

use crate::directory::Directory;
use crate::directory::SpawnRefresh;
use crate::entry::Entry;
use crate::http;
use crate::refresh;
use crate::settings::EntrySettings;
use crate::view;

/// Timeout for connecting to a gate or the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an entry could not start.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Setting up logging failed.
    #[snafu(transparent)]
    Logs {
        /// Cause.
        source: LogError,
    },
    /// Setting up metrics failed.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// Setting up tracing failed.
    #[snafu(transparent)]
    Traces {
        /// Cause.
        source: TraceError,
    },
    /// Starting the admin endpoints failed.
    #[snafu(transparent)]
    Admin {
        /// Cause.
        source: AdminError,
    },
    /// Binding the address for callers failed.
    #[snafu(display("cannot listen on {address}: {source}; set `listen` to a free address"))]
    Listen {
        /// Address from the settings.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Installing the signal handlers failed.
    #[snafu(display("cannot install signal handlers: {source}; check the host's limits"))]
    Signals {
        /// Cause.
        source: io::Error,
    },
}

/// Runs an entry until SIGTERM or SIGINT, then shuts it down gracefully.
pub async fn run(settings: EntrySettings) -> Result<(), StartError> {
    logs::init_stderr(&settings.node.log_level)?;
    let _traces = trace::init("chervil-entry", settings.node.otlp.as_deref())?;
    let mut signals = ShutdownSignals::install().context(SignalsSnafu)?;
    let metrics = Metrics::new("chervil.entry", settings.node.statsd)?;
    let admin_address = settings.node.admin;
    let running = serve(&settings, metrics).await?;
    let admin = admin::serve(admin_address, running.entry.lifecycle.clone()).await?;
    spdlog::info!("started", kv: { host: = settings.node.host, listen: = running.address });
    signals.recv().await;
    let drained = running.stop(&settings).await;
    admin.abort();
    spdlog::info!("stopped", kv: { drained = drained });
    Ok(())
}

/// A running entry.
pub struct RunningEntry {
    /// State shared by its requests.
    pub entry: Arc<Entry>,
    /// Bound address for callers.
    pub address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningEntry {
    /// Shuts down gracefully: reports not ready, then waits until the running
    /// requests have finished. Requests that a load balancer still sends in the
    /// meantime are served. Returns whether all requests finished in time.
    pub async fn stop(self, settings: &EntrySettings) -> bool {
        let lifecycle = &self.entry.lifecycle;
        lifecycle.begin_shutdown();
        let quiet = Duration::from_millis(settings.quiet_ms);
        let limit = Duration::from_millis(settings.drain_ms);
        let drained = lifecycle.drain(quiet, limit).await;
        self.tasks.iter().for_each(JoinHandle::abort);
        drained
    }
}

/// Binds the address for callers and starts serving them.
pub async fn serve(settings: &EntrySettings, metrics: Metrics) -> Result<RunningEntry, StartError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let entry = Arc::new(build_entry(settings, metrics));
    let server = warp::serve(http::filter(entry.clone())).incoming(listener).run();
    let tasks = vec![tokio::spawn(view::watch(entry.clone())), tokio::spawn(server)];
    Ok(RunningEntry { entry, address, tasks })
}

fn build_entry(settings: &EntrySettings, metrics: Metrics) -> Entry {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let peers = Arc::new(PeerPool::new(settings.secret.clone(), CONNECT_TIMEOUT));
    // Refresh tasks need the address of the directory, which exists only after
    // the directory was built with the function that spawns them.
    let directory_cell = Arc::new(OnceCell::new());
    let spawn_refresh = spawn_refresh(directory_cell.clone(), peers.clone(), clock.clone());
    let directory =
        Directory::new(settings.node.zone.clone(), settings.plan.clone(), spawn_refresh);
    let directory = directory.spawn();
    let _ = directory_cell.set(directory.downgrade());
    Entry {
        clock,
        peers,
        agent: settings.agent,
        directory,
        lifecycle: Lifecycle::new(),
        metrics,
        incarnation: rand::random(),
        accepting: AtomicBool::new(false),
        next_query_id: AtomicU64::new(1),
    }
}

fn spawn_refresh(
    directory_cell: Arc<OnceCell<xtra::WeakAddress<Directory>>>,
    peers: Arc<PeerPool>,
    clock: Arc<dyn Clock>,
) -> SpawnRefresh {
    Box::new(move |service, handle| {
        if let Some(directory) = directory_cell.get() {
            let (directory, peers, clock) = (directory.clone(), peers.clone(), clock.clone());
            tokio::spawn(refresh::run(directory, peers, clock, service, handle));
        }
    })
}
