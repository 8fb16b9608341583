//! Start and graceful stop of an entry.

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
use chervil_rpc::client::Peers;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::net::TcpListener;
use tokio::sync::OnceCell;
use tokio::task::JoinHandle;

use crate::directory::Directory;
use crate::directory::Refresher;
use crate::entry::Entry;
use crate::http;
use crate::refresh;
use crate::settings::EntrySettings;
use crate::view;

/// Longest time for opening a connection to a gate or the agent.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Why an entry cannot run.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// Logs cannot be set up.
    #[snafu(transparent)]
    Logs {
        /// Cause.
        source: LogError,
    },
    /// Metrics cannot be set up.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// Traces cannot be set up.
    #[snafu(transparent)]
    Traces {
        /// Cause.
        source: TraceError,
    },
    /// The admin endpoints cannot be served.
    #[snafu(transparent)]
    Admin {
        /// Cause.
        source: AdminError,
    },
    /// The address for callers is not free.
    #[snafu(display("cannot listen on {address}: {source}; set `listen` to a free address"))]
    Listen {
        /// Address.
        address: SocketAddr,
        /// Cause.
        source: io::Error,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot wait for signals: {source}; check the host's limits"))]
    Signals {
        /// Cause.
        source: io::Error,
    },
}

/// Runs an entry until SIGTERM or SIGINT.
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
    /// Shared state.
    pub entry: Arc<Entry>,
    /// Address for callers.
    pub address: SocketAddr,
    tasks: Vec<JoinHandle<()>>,
}

impl RunningEntry {
    /// Stops gracefully: not ready first, then the running requests end.
    /// Requests that a load balancer still sends are served meanwhile.
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

/// Starts serving callers.
pub async fn serve(settings: &EntrySettings, metrics: Metrics) -> Result<RunningEntry, StartError> {
    let address = settings.listen;
    let listener = TcpListener::bind(address).await.context(ListenSnafu { address })?;
    let address = listener.local_addr().context(ListenSnafu { address })?;
    let entry = Arc::new(build(settings, metrics));
    let callers = warp::serve(http::filter(entry.clone())).incoming(listener).run();
    let tasks = vec![tokio::spawn(view::follow(entry.clone())), tokio::spawn(callers)];
    Ok(RunningEntry { entry, address, tasks })
}

fn build(settings: &EntrySettings, metrics: Metrics) -> Entry {
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let peers = Arc::new(Peers::new(settings.secret.clone(), CONNECT_TIMEOUT));
    // The refresher sends to the directory that starts it.
    let own = Arc::new(OnceCell::new());
    let refresher = refresher(own.clone(), peers.clone(), clock.clone());
    let directory = Directory::new(settings.node.zone.clone(), settings.plan.clone(), refresher);
    let directory = directory.spawn();
    let _ = own.set(directory.downgrade());
    Entry {
        clock,
        peers,
        agent: settings.agent,
        directory,
        lifecycle: Lifecycle::new(),
        metrics,
        incarnation: rand::random(),
        accepting: AtomicBool::new(false),
        queries: AtomicU64::new(1),
    }
}

fn refresher(
    own: Arc<OnceCell<xtra::WeakAddress<Directory>>>,
    peers: Arc<Peers>,
    clock: Arc<dyn Clock>,
) -> Refresher {
    Box::new(move |service, handle| {
        if let Some(directory) = own.get() {
            let (directory, peers, clock) = (directory.clone(), peers.clone(), clock.clone());
            tokio::spawn(refresh::run(directory, peers, clock, service, handle));
        }
    })
}
