//! Start and shutdown of an agent within a process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_claim::ClaimSettings;
use chervil_claim::Claims;
use chervil_node::metrics::Metrics;
use chervil_node::metrics::MetricsError;
use chervil_node::shutdown::Lifecycle;
use chervil_platform::HostList;
use chervil_platform::Store;
use chervil_rpc::agent::AgentRpcServer as _;
use chervil_rpc::client::PeerPool;
use chervil_rpc::server::RunningServer;
use chervil_rpc::server::ServeError;
use chervil_rpc::server::serve;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use xtra::Mailbox;

use crate::actor::AgentActor;
use crate::actor::AgentAddress;
use crate::actor::WithState;
use crate::forward::Forwarder;
use crate::heartbeat;
use crate::member_list::ListReconciler;
use crate::pull;
use crate::server::Methods;
use crate::settings::Settings;
use crate::state::PullSource;
use crate::state::State;
use crate::store::BoundedStore;
use crate::traffic::Traffic;
use crate::view::ViewState;
use crate::watch::HeadWatcher;

/// Timeout of a connection attempt to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Most messages queued for the actor; when the queue is full, senders wait.
const MAILBOX_CAPACITY: usize = 4096;

/// Time between the release and the end of the process, in which heartbeats
/// announce the release to the peers: three intervals and the network delay.
const RELEASE_NOTICE_TIME: Duration = Duration::from_millis(800);

/// Interval at which a shutdown checks for the gate's release.
const RELEASE_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Interval at which old claims are deleted from the store.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);

/// Why an agent could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The agent cannot listen on its address.
    #[snafu(transparent)]
    Serve {
        /// Cause.
        source: ServeError,
    },
    /// The metrics client cannot be created.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
}

/// A running agent; dropping it stops it at once, without a planned shutdown.
pub struct Agent {
    actor: AgentAddress,
    server: RunningServer,
    lifecycle: Lifecycle,
    traffic: Arc<Traffic>,
    drain_timeout: Duration,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Starts an agent and listens for its peers, the entry and the gate.
    pub async fn start(
        settings: Settings,
        store: Arc<dyn Store>,
        hosts: Arc<dyn HostList>,
        clock: Arc<dyn Clock>,
    ) -> Result<Agent, StartError> {
        let metrics = Metrics::new("chervil.agent", settings.node.statsd)?;
        let tunables = &settings.tunables;
        let store = BoundedStore::new(
            store,
            tunables.store_timeout(),
            tunables.store_calls,
            metrics.clone(),
        );
        let builder = AgentBuilder {
            lifecycle: Lifecycle::new(),
            peers: Arc::new(PeerPool::new(settings.secret.clone(), CONNECT_TIMEOUT)),
            store: Arc::new(store),
            hosts,
            clock,
            traffic: Arc::new(Traffic::new(metrics.clone())),
            metrics,
            settings,
        };
        builder.start().await
    }

    /// Address that the agent listens on.
    pub fn address(&self) -> SocketAddr {
        self.server.address
    }

    /// Bytes that this agent has sent in heartbeats and in replies to them,
    /// without TCP and IP headers.
    pub fn heartbeat_bytes(&self) -> u64 {
        self.traffic.sent()
    }

    /// Lifecycle state that the admin endpoints report.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Performs a planned shutdown: announces it to the peers, waits until the
    /// gate has released the host's groups or the drain timeout has passed,
    /// announces the release and stops.
    pub async fn shutdown(self) {
        self.lifecycle.begin_shutdown();
        let _ = self.actor.send(WithState(|s: &mut State, _| s.begin_shutdown())).await;
        let deadline = time::Instant::now() + self.drain_timeout;
        while time::Instant::now() < deadline && self.awaits_gate_release().await {
            time::sleep(RELEASE_POLL_INTERVAL).await;
        }
        time::sleep(RELEASE_NOTICE_TIME).await;
        // `stop` fails only if the server has stopped already.
        let _ = self.server.handle.stop();
        self.server.handle.stopped().await;
    }

    async fn awaits_gate_release(&self) -> bool {
        let message = WithState(|state: &mut State, now| state.awaits_gate_release(now));
        self.actor.send(message).await.unwrap_or(false)
    }
}

/// Components of an agent before it is started.
struct AgentBuilder {
    settings: Settings,
    lifecycle: Lifecycle,
    peers: Arc<PeerPool>,
    store: Arc<BoundedStore>,
    hosts: Arc<dyn HostList>,
    clock: Arc<dyn Clock>,
    traffic: Arc<Traffic>,
    metrics: Metrics,
}

impl AgentBuilder {
    async fn start(self) -> Result<Agent, StartError> {
        let (view_sender, view_receiver) = watch::channel(Arc::new(ViewState::default()));
        let (pull_sender, pull_receiver) = mpsc::channel(1);
        let me = self.settings.member(self.settings.listen);
        let state = State::new(me, self.settings.peers.clone(), rand::random(), self.clock.now());
        let actor = AgentActor {
            state,
            clock: self.clock.clone(),
            view_state: view_sender,
            pull_sources: pull_sender,
            lifecycle: self.lifecycle.clone(),
            metrics: self.metrics.clone(),
        };
        let actor = xtra::spawn_tokio(actor, Mailbox::bounded(MAILBOX_CAPACITY));
        let claims = self.claims();
        let methods = self.methods(&actor, view_receiver, claims.clone());
        let settings = &self.settings;
        let server = serve(settings.listen, &settings.secret, methods.into_rpc()).await?;
        spdlog::info!("agent started", kv: { host = &*settings.node.host });
        Ok(Agent {
            _tasks: self.tasks(&actor, pull_receiver, claims),
            actor,
            server,
            lifecycle: self.lifecycle,
            traffic: self.traffic,
            drain_timeout: self.settings.tunables.drain_timeout(),
        })
    }

    fn claims(&self) -> Arc<Claims> {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        Arc::new(Claims::new(store, clock, ClaimSettings::default(), rand::random()))
    }

    fn methods(
        &self,
        actor: &AgentAddress,
        view_state: watch::Receiver<Arc<ViewState>>,
        claims: Arc<Claims>,
    ) -> Methods {
        let forwarder = Forwarder {
            actor: actor.clone(),
            peers: self.peers.clone(),
            claims,
            timeout: self.settings.tunables.forward_timeout(),
            metrics: self.metrics.clone(),
        };
        Methods {
            actor: actor.clone(),
            view_state,
            forwarder,
            store: self.store.clone(),
            traffic: self.traffic.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn tasks(
        &self,
        actor: &AgentAddress,
        pull_sources: mpsc::Receiver<PullSource>,
        claims: Arc<Claims>,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let tunables = &self.settings.tunables;
        let (peers, clock) = (self.peers.clone(), self.clock.clone());
        tasks.spawn(heartbeat::run(actor.clone(), peers, clock, self.traffic.clone()));
        tasks.spawn(pull::run(actor.clone(), self.peers.clone(), pull_sources));
        let watcher = HeadWatcher {
            actor: actor.clone(),
            store: self.store.clone(),
            clock: self.clock.clone(),
            watch_timeout: tunables.watch_timeout(),
        };
        tasks.spawn(watcher.run());
        let reconciler = ListReconciler {
            actor: actor.clone(),
            store: self.store.clone(),
            hosts: self.hosts.clone(),
            tunables: tunables.clone(),
            missing_since: None,
        };
        tasks.spawn(reconciler.run());
        tasks.spawn(sweep(actor.clone(), claims));
        tasks
    }
}

/// Periodically drops expired canary records from memory and, while this host
/// owns the item "sweep", deletes old claims from the store.
async fn sweep(actor: AgentAddress, claims: Arc<Claims>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        let message = WithState(|state: &mut State, now| {
            state.canary_permits.sweep(now);
            state.remote_owner("sweep", now).is_none()
        });
        let Ok(sweeps) = actor.send(message).await else { return };
        if sweeps && let Err(e) = claims.sweep().await {
            spdlog::warn!(
                "cannot delete old claims from the store; the next sweep retries in {} s",
                SWEEP_INTERVAL.as_secs(),
                kv: { error = e.to_string() }
            );
        }
    }
}
