//! Startup and shutdown of a gate.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_backend::http::HttpConnector;
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
use chervil_rpc::gate::GateRpcServer as _;
use chervil_rpc::server;
use chervil_rpc::server::RunningServer;
use chervil_rpc::server::ServeError;
use chervil_slots::scheduler::Scheduler;
use futures::future::join_all;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::task::JoinHandle;
use tokio::time;
use xtra::Address;
use xtra::Mailbox;

use crate::actor::CountPending;
use crate::actor::Dependencies;
use crate::actor::GateActor;
use crate::actor::SendAllHints;
use crate::actor::Stop;
use crate::actor::TICK_INTERVAL;
use crate::actor::Tick;
use crate::agent::AgentClient;
use crate::fence::Fence;
use crate::rpc::GateMethods;
use crate::settings::GateSettings;

/// Maximum number of messages that wait for the actor; further senders wait.
const MAILBOX_CAPACITY: usize = 65_536;

/// Timeout for connecting to the agent or to another gate.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// How long new requests are still refused after the release: four heartbeat intervals.
const POST_RELEASE_DELAY: Duration = Duration::from_secs(1);

/// Maximum time for sending the last replies during a shutdown.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Time without running requests after which a shutdown proceeds.
const QUIET_PERIOD: Duration = Duration::from_millis(50);

/// Why a gate cannot run.
#[derive(Debug, Snafu)]
pub enum GateError {
    /// Failed to initialize logging.
    #[snafu(transparent)]
    Logs {
        /// Cause.
        source: LogError,
    },
    /// Failed to initialize metrics.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
    /// Failed to initialize tracing.
    #[snafu(transparent)]
    Traces {
        /// Cause.
        source: TraceError,
    },
    /// Failed to serve the admin endpoints.
    #[snafu(transparent)]
    Admin {
        /// Cause.
        source: AdminError,
    },
    /// Failed to serve the RPC methods.
    #[snafu(transparent)]
    Serve {
        /// Cause.
        source: ServeError,
    },
    /// Failed to install the signal handlers.
    #[snafu(display(
        "cannot install handlers for SIGTERM and SIGINT: {source}; check the host's limits"
    ))]
    Signals {
        /// Cause.
        source: io::Error,
    },
}

/// A running gate.
pub struct Gate {
    /// Address on which the gate listens.
    pub address: SocketAddr,
    lifecycle: Lifecycle,
    actor: Address<GateActor>,
    agent: AgentClient,
    rpc_server: RunningServer,
    /// Tasks that poll the agent.
    polls: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
    /// How long a shutdown waits for accepted work.
    stop_timeout: Duration,
}

/// Runs a gate until the process receives SIGTERM or SIGINT.
pub async fn run(settings: GateSettings) -> Result<(), GateError> {
    logs::init_stderr(&settings.node.log_level)?;
    let _traces = trace::init("chervil-gate", settings.node.otlp.as_deref())?;
    let mut signals = ShutdownSignals::install().context(SignalsSnafu)?;
    let gate = start(settings).await?;
    signals.recv().await;
    gate.stop().await;
    Ok(())
}

/// Starts a gate in tasks of the current runtime; returns once it listens.
pub async fn start(settings: GateSettings) -> Result<Gate, GateError> {
    let lifecycle = Lifecycle::new();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let peers = Arc::new(PeerPool::new(settings.secret.clone(), CONNECT_TIMEOUT));
    let metrics = Metrics::new("chervil.gate", settings.node.statsd)?;
    let (actor, mailbox) = Mailbox::bounded(MAILBOX_CAPACITY);
    let deps = Dependencies {
        host: settings.node.host.clone(),
        connector: Arc::new(HttpConnector::new(settings.tunables.http_settings())),
        clock: clock.clone(),
        peers: peers.clone(),
        fence: Arc::new(Fence::default()),
        metrics,
        lifecycle: lifecycle.clone(),
        open_timeout: Duration::from_millis(settings.tunables.open_timeout_ms),
        actor: actor.downgrade(),
    };
    let scheduler = Scheduler::new(settings.tunables.scheduler_settings(rand::random()));
    let admin = admin::serve(settings.node.admin, lifecycle.clone()).await?;
    let methods = GateMethods { actor: actor.clone(), lifecycle: lifecycle.clone() };
    let rpc_server = server::serve(settings.listen, &settings.secret, methods.into_rpc()).await?;
    // Logged before any task that may log runs, so that it is the first line.
    spdlog::info!("gate started", kv: { listen = rpc_server.address.to_string().as_str() });
    let agent = AgentClient { peers, address: settings.agent, clock, host_leaving: Arc::default() };
    let poll_interval = Duration::from_millis(settings.tunables.lease_poll_ms);
    let polls = vec![
        tokio::spawn(agent.clone().poll_lease(actor.clone(), poll_interval)),
        tokio::spawn(agent.clone().poll_view(actor.clone())),
    ];
    let tasks = vec![
        admin,
        tokio::spawn(xtra::run(mailbox, GateActor::new(deps, scheduler))),
        tokio::spawn(send_ticks(actor.clone())),
    ];
    Ok(Gate {
        address: rpc_server.address,
        lifecycle,
        actor,
        agent,
        rpc_server,
        polls,
        tasks,
        stop_timeout: Duration::from_millis(settings.tunables.stop_limit_ms),
    })
}

impl Gate {
    /// Whether the gate accepts new work.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_ready()
    }

    /// Shuts down gracefully: the gate stops being ready, refuses new work, waits for
    /// accepted work, and then releases its ownership through the host's agent.
    pub async fn stop(self) {
        spdlog::info!("gate stopping");
        self.lifecycle.begin_shutdown();
        // Cannot fail, because the actor runs until the end of this method.
        let _ = self.actor.send(Stop).await;
        let hints = self.actor.send(SendAllHints).await.unwrap_or_default();
        let (unfinished, _) = tokio::join!(self.wait_for_work(), join_all(hints));
        if unfinished > 0 {
            spdlog::warn!(
                "accepted work not finished within {} ms; stopping anyway; \
                 raise tunables.stop_limit_ms",
                self.stop_timeout.as_millis(),
                kv: { left = unfinished }
            );
        }
        // New requests arrive until other processes know of the shutdown, so this may
        // time out. It only has to wait for the replies to finished work.
        self.lifecycle.drain(QUIET_PERIOD, FLUSH_TIMEOUT).await;
        // A lease request after the release would look to the agent like that of a
        // newly started gate.
        self.polls.iter().for_each(JoinHandle::abort);
        if !self.agent.release().await {
            spdlog::warn!(
                "agent did not confirm the release; other hosts take over only when the \
                 quorum lease expires"
            );
        }
        // Entries send requests to this gate until they learn that it is leaving. After
        // a refusal they ask another gate; a closed connection may cost them shards.
        time::sleep(POST_RELEASE_DELAY).await;
        // Fails only if the server has already stopped.
        let _ = self.rpc_server.handle.stop();
        for task in &self.tasks {
            task.abort();
        }
        spdlog::info!("gate stopped");
    }
}

impl Gate {
    /// Waits until accepted work has ended, for `stop_timeout` at most; returns the number
    /// of items that have not ended.
    async fn wait_for_work(&self) -> usize {
        let deadline = time::Instant::now() + self.stop_timeout;
        loop {
            let pending = self.actor.send(CountPending).await.unwrap_or_default();
            if pending == 0 || time::Instant::now() >= deadline {
                return pending;
            }
            time::sleep(TICK_INTERVAL).await;
        }
    }
}

async fn send_ticks(actor: Address<GateActor>) {
    let mut timer = time::interval(TICK_INTERVAL);
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if actor.send(Tick).await.is_err() {
            return;
        }
    }
}
