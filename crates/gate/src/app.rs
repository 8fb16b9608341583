//! Start and stop of a gate.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_backend::http::HttpLink;
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
use chervil_rpc::gate::GateRpcServer as _;
use chervil_rpc::server;
use chervil_rpc::server::ServeError;
use chervil_rpc::server::Serving;
use chervil_slots::scheduler::Scheduler;
use futures::future::join_all;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::task::JoinHandle;
use tokio::time;
use xtra::Address;
use xtra::Mailbox;

use crate::agent::AgentLink;
use crate::rights::Rights;
use crate::rpc::GateMethods;
use crate::settings::GateSettings;
use crate::state::GateState;
use crate::state::HintAll;
use crate::state::Parts;
use crate::state::Pending;
use crate::state::Stop;
use crate::state::TICK;
use crate::state::Tick;

/// Messages that may wait for the actor; senders wait when it is full.
const MAILBOX: usize = 65_536;

/// Time allowed for connecting to a peer.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);

/// Time after the release in which new requests are still refused, four times
/// the interval of heartbeats.
const LINGER: Duration = Duration::from_secs(1);

/// Time allowed for sending the last replies at a stop.
const FLUSH_LIMIT: Duration = Duration::from_millis(500);

/// Time without running work after which a stop proceeds.
const QUIET: Duration = Duration::from_millis(50);

/// Why a gate cannot run.
#[derive(Debug, Snafu)]
pub enum GateError {
    /// Logs cannot be set up.
    #[snafu(transparent)]
    Logs {
        /// Cause.
        source: LogError,
    },
    /// Metrics cannot be set up.
    #[snafu(transparent)]
    Statsd {
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
    /// The gate's methods cannot be served.
    #[snafu(transparent)]
    Serve {
        /// Cause.
        source: ServeError,
    },
    /// Signals cannot be received.
    #[snafu(display("cannot receive signals: {source}; check the host's limits"))]
    Signals {
        /// Cause.
        source: io::Error,
    },
}

/// A running gate.
pub struct Gate {
    /// Address that it listens on.
    pub address: SocketAddr,
    lifecycle: Lifecycle,
    state: Address<GateState>,
    agent: AgentLink,
    serving: Serving,
    /// Tasks that ask the agent.
    polls: Vec<JoinHandle<()>>,
    tasks: Vec<JoinHandle<()>>,
    limit: Duration,
}

/// Runs a gate until it is told to stop.
pub async fn run(settings: GateSettings) -> Result<(), GateError> {
    logs::init_stderr(&settings.node.log_level)?;
    let _traces = trace::init("chervil-gate", settings.node.otlp.as_deref())?;
    let mut signals = ShutdownSignals::install().context(SignalsSnafu)?;
    let gate = start(settings).await?;
    signals.recv().await;
    gate.stop().await;
    Ok(())
}

/// Starts a gate.
pub async fn start(settings: GateSettings) -> Result<Gate, GateError> {
    let lifecycle = Lifecycle::new();
    let clock: Arc<dyn Clock> = Arc::new(SystemClock);
    let peers = Arc::new(Peers::new(settings.secret.clone(), CONNECT_LIMIT));
    let metrics = Metrics::new("chervil.gate", settings.node.statsd)?;
    let (state, mailbox) = Mailbox::bounded(MAILBOX);
    let parts = Parts {
        host: settings.node.host.clone(),
        link: Arc::new(HttpLink::new(settings.tunables.http())),
        clock: clock.clone(),
        peers: peers.clone(),
        rights: Arc::new(Rights::default()),
        metrics,
        lifecycle: lifecycle.clone(),
        open_timeout: Duration::from_millis(settings.tunables.open_timeout_ms),
        address: state.downgrade(),
    };
    let slots = Scheduler::new(settings.tunables.slots(rand::random()));
    let admin = admin::serve(settings.node.admin, lifecycle.clone()).await?;
    let methods = GateMethods { state: state.clone(), lifecycle: lifecycle.clone() };
    let serving = server::serve(settings.listen, &settings.secret, methods.into_rpc()).await?;
    let agent = AgentLink { peers, address: settings.agent, clock, leaving: Arc::default() };
    let poll = Duration::from_millis(settings.tunables.lease_poll_ms);
    let polls = vec![
        tokio::spawn(agent.clone().poll_lease(state.clone(), poll)),
        tokio::spawn(agent.clone().poll_view(state.clone())),
    ];
    let tasks = vec![
        admin,
        tokio::spawn(xtra::run(mailbox, GateState::new(parts, slots))),
        tokio::spawn(tick(state.clone())),
    ];
    spdlog::info!("gate started", kv: { listen = serving.address.to_string().as_str() });
    let limit = Duration::from_millis(settings.tunables.stop_limit_ms);
    Ok(Gate { address: serving.address, lifecycle, state, agent, serving, polls, tasks, limit })
}

impl Gate {
    /// Whether the gate accepts new work.
    pub fn is_ready(&self) -> bool {
        self.lifecycle.is_ready()
    }

    /// Stops gracefully: not ready, no new work, running work ends, the host's
    /// agent learns that none is left.
    pub async fn stop(self) {
        spdlog::info!("gate stopping");
        self.lifecycle.begin_shutdown();
        // The actor runs until the end of this method.
        let _ = self.state.send(Stop).await;
        let hints = self.state.send(HintAll).await.unwrap_or_default();
        let (left, _) = tokio::join!(self.finish_work(), join_all(hints));
        if left > 0 {
            spdlog::warn!("work is left at the stop", kv: { left });
        }
        // New requests keep coming until the peers know of the stop; only the
        // replies to finished work are waited for.
        self.lifecycle.drain(QUIET, FLUSH_LIMIT).await;
        // The agent takes a request for the lease after the release for that of
        // a new gate.
        self.polls.iter().for_each(JoinHandle::abort);
        if !self.agent.release().await {
            spdlog::warn!("the agent did not take the release; the takeover waits for the lease");
        }
        // Entries send to this gate until they hear that it is leaving; a
        // refusal lets them ask elsewhere, a closed connection may cost shards.
        time::sleep(LINGER).await;
        // Fails only when the server has stopped already.
        let _ = self.serving.handle.stop();
        for task in &self.tasks {
            task.abort();
        }
        spdlog::info!("gate stopped");
    }
}

impl Gate {
    /// Waits until accepted work has ended; returns how much is left.
    async fn finish_work(&self) -> usize {
        let end = time::Instant::now() + self.limit;
        loop {
            let left = self.state.send(Pending).await.unwrap_or_default();
            if left == 0 || time::Instant::now() >= end {
                return left;
            }
            time::sleep(TICK).await;
        }
    }
}

async fn tick(state: Address<GateState>) {
    let mut timer = time::interval(TICK);
    timer.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        timer.tick().await;
        if state.send(Tick).await.is_err() {
            return;
        }
    }
}
