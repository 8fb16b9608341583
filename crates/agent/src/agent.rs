//! An agent that runs inside a process.

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
use chervil_rpc::client::Peers;
use chervil_rpc::server::ServeError;
use chervil_rpc::server::Serving;
use chervil_rpc::server::serve;
use snafu::Snafu;
use tokio::sync::mpsc;
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time;
use xtra::Mailbox;

use crate::actor::AgentActor;
use crate::actor::AgentAddress;
use crate::actor::Ask;
use crate::forward::Forward;
use crate::heartbeat;
use crate::list::Keeper;
use crate::pull;
use crate::server::Methods;
use crate::settings::Settings;
use crate::state::Source;
use crate::state::State;
use crate::store::BoundedStore;
use crate::traffic::Traffic;
use crate::view::ViewState;
use crate::watch::Watcher;

/// Limit of a connection attempt to a peer.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);

/// Messages that wait for the actor at most; senders wait beyond.
const MAILBOX: usize = 4096;

/// Time for the last heartbeats to tell the peers of the release: three
/// intervals and the network's delay.
const FAREWELL: Duration = Duration::from_millis(800);

/// Interval of looks at the gate's release.
const RELEASE_STEP: Duration = Duration::from_millis(25);

/// Interval at which old claims are deleted.
const SWEEP_INTERVAL: Duration = Duration::from_secs(300);

/// Why an agent could not be started.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The address cannot be listened on.
    #[snafu(transparent)]
    Serve {
        /// Cause.
        source: ServeError,
    },
    /// Metrics cannot be sent.
    #[snafu(transparent)]
    Metrics {
        /// Cause.
        source: MetricsError,
    },
}

/// A running agent; it stops when it is dropped.
pub struct Agent {
    core: AgentAddress,
    serving: Serving,
    lifecycle: Lifecycle,
    traffic: Arc<Traffic>,
    drain: Duration,
    _tasks: JoinSet<()>,
}

impl Agent {
    /// Starts an agent.
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
        let parts = Parts {
            lifecycle: Lifecycle::new(),
            peers: Arc::new(Peers::new(settings.secret.clone(), CONNECT_TIMEOUT)),
            store: Arc::new(store),
            hosts,
            clock,
            traffic: Arc::new(Traffic::new(metrics.clone())),
            metrics,
            settings,
        };
        parts.start().await
    }

    /// Address that the agent listens on.
    pub fn address(&self) -> SocketAddr {
        self.serving.address
    }

    /// Bytes that this agent has sent in heartbeats and answers to them, without
    /// the headers of TCP and IP.
    pub fn heartbeat_bytes(&self) -> u64 {
        self.traffic.sent()
    }

    /// State that the admin endpoints report.
    pub fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Planned shutdown: announces it, waits for the gate's release, announces
    /// the release and stops.
    pub async fn shutdown(self) {
        self.lifecycle.begin_shutdown();
        let _ = self.core.send(Ask(|s: &mut State, _| s.leave())).await;
        let end = time::Instant::now() + self.drain;
        while time::Instant::now() < end && self.awaits_gate().await {
            time::sleep(RELEASE_STEP).await;
        }
        time::sleep(FAREWELL).await;
        // The handle fails only when the server has stopped already.
        let _ = self.serving.handle.stop();
        self.serving.handle.stopped().await;
    }

    async fn awaits_gate(&self) -> bool {
        let ask = Ask(|state: &mut State, now| state.awaits_gate(now));
        self.core.send(ask).await.unwrap_or(false)
    }
}

/// What an agent is built from.
struct Parts {
    settings: Settings,
    lifecycle: Lifecycle,
    peers: Arc<Peers>,
    store: Arc<BoundedStore>,
    hosts: Arc<dyn HostList>,
    clock: Arc<dyn Clock>,
    traffic: Arc<Traffic>,
    metrics: Metrics,
}

impl Parts {
    async fn start(self) -> Result<Agent, StartError> {
        let (view_state, view_states) = watch::channel(Arc::new(ViewState::default()));
        let (pulls, pulls_due) = mpsc::channel(1);
        let me = self.settings.member(self.settings.listen);
        let state = State::new(me, self.settings.peers.clone(), rand::random(), self.clock.now());
        let core = AgentActor {
            state,
            clock: self.clock.clone(),
            view_state,
            pulls,
            lifecycle: self.lifecycle.clone(),
            metrics: self.metrics.clone(),
        };
        let core = xtra::spawn_tokio(core, Mailbox::bounded(MAILBOX));
        let claims = self.claims();
        let methods = self.methods(&core, view_states, claims.clone());
        let settings = &self.settings;
        let serving = serve(settings.listen, &settings.secret, methods.into_rpc()).await?;
        spdlog::info!("agent started", kv: { host = &*settings.node.host });
        Ok(Agent {
            _tasks: self.tasks(&core, pulls_due, claims),
            core,
            serving,
            lifecycle: self.lifecycle,
            traffic: self.traffic,
            drain: self.settings.tunables.drain(),
        })
    }

    fn claims(&self) -> Arc<Claims> {
        let (store, clock) = (self.store.clone(), self.clock.clone());
        Arc::new(Claims::new(store, clock, ClaimSettings::default(), rand::random()))
    }

    fn methods(
        &self,
        core: &AgentAddress,
        view_state: watch::Receiver<Arc<ViewState>>,
        claims: Arc<Claims>,
    ) -> Methods {
        let forward = Forward {
            core: core.clone(),
            peers: self.peers.clone(),
            claims,
            limit: self.settings.tunables.forward(),
            metrics: self.metrics.clone(),
        };
        Methods {
            core: core.clone(),
            view_state,
            forward,
            store: self.store.clone(),
            traffic: self.traffic.clone(),
            metrics: self.metrics.clone(),
        }
    }

    fn tasks(
        &self,
        core: &AgentAddress,
        pulls_due: mpsc::Receiver<Source>,
        claims: Arc<Claims>,
    ) -> JoinSet<()> {
        let mut tasks = JoinSet::new();
        let tunables = &self.settings.tunables;
        let (peers, clock) = (self.peers.clone(), self.clock.clone());
        tasks.spawn(heartbeat::run(core.clone(), peers, clock, self.traffic.clone()));
        tasks.spawn(pull::run(core.clone(), self.peers.clone(), pulls_due));
        let watcher = Watcher {
            core: core.clone(),
            store: self.store.clone(),
            clock: self.clock.clone(),
            wait: tunables.watch(),
        };
        tasks.spawn(watcher.run());
        let keeper = Keeper {
            core: core.clone(),
            store: self.store.clone(),
            hosts: self.hosts.clone(),
            tunables: tunables.clone(),
            absent: None,
        };
        tasks.spawn(keeper.run());
        tasks.spawn(sweep(core.clone(), claims));
        tasks
    }
}

/// Forgets old suspects, and deletes old claims while this host is the first
/// in the order of "sweep".
async fn sweep(core: AgentAddress, claims: Arc<Claims>) {
    loop {
        time::sleep(SWEEP_INTERVAL).await;
        let ask = Ask(|state: &mut State, now| {
            state.suspects.sweep(now);
            state.home("sweep", now).is_none()
        });
        let Ok(sweeps) = core.send(ask).await else { return };
        if sweeps && let Err(e) = claims.sweep().await {
            spdlog::warn!("old claims not deleted; the next sweep retries",
                kv: { error = e.to_string() });
        }
    }
}
