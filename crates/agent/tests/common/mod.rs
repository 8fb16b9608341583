//! Fixtures: real agents over loopback with a fake store.
#![allow(dead_code, reason = "each test file uses its own part")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use chervil_agent::Agent;
use chervil_agent::Settings;
use chervil_base::clock::SystemClock;
use chervil_config::HEAD_KEY;
use chervil_config::Head;
use chervil_fakes::FakeHosts;
use chervil_fakes::FakeStore;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_platform::Versioned;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HostStatus;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::View;
use chervil_rpc::agent::ViewRequest;
use chervil_rpc::client::connect;
use jsonrpsee::ws_client::WsClient;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;
use tokio::time;

/// Generous limit of a wait; a test that reaches it fails.
pub const LIMIT: Duration = Duration::from_secs(30);

/// Interval at which a simulated gate asks for its lease.
const GATE_INTERVAL: Duration = Duration::from_millis(100);

/// Ports of agents, below the range from which the system takes ports of
/// outgoing connections: an agent that restarts must get its port again.
static PORTS: AtomicU16 = AtomicU16::new(28_000);

const LAST_PORT: u16 = 31_000;

/// An address of loopback that is free at present.
pub fn free_address() -> SocketAddr {
    loop {
        let port = PORTS.fetch_add(1, Ordering::Relaxed);
        assert!(port < LAST_PORT, "no free port below {LAST_PORT}");
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
            return listener.local_addr().unwrap();
        }
    }
}

pub fn settings(host: &str, peers: &[SocketAddr]) -> Settings {
    let listen = free_address();
    let peers: Vec<String> = peers.iter().map(|p| format!("{:?}", p.to_string())).collect();
    let text = format!(
        r#"
        listen = "{listen}"
        gate = "127.0.0.1:1"
        secret = "a-secret-for-tests-only"
        platform = "http://127.0.0.1:1"
        peers = [{}]
        [node]
        host = "{host}"
        zone = "z1"
        admin = "127.0.0.1:0"
        [tunables]
        list_ms = 300
        create_ms = 500
        store_timeout_ms = 300
        watch_ms = 300
        drain_ms = 5000
        "#,
        peers.join(",")
    );
    toml::from_str(&text).unwrap()
}

/// An agent with a gate that asks for its lease.
pub struct Host {
    pub name: Box<str>,
    agent: Option<Agent>,
    pub address: SocketAddr,
    client: Arc<WsClient>,
    gate: Gate,
}

/// A simulated gate, which ends when it is dropped.
struct Gate(JoinHandle<()>);

impl Drop for Gate {
    fn drop(&mut self) {
        self.0.abort();
    }
}

impl Host {
    pub async fn start(name: &str, store: Arc<dyn Store>, peers: &[SocketAddr]) -> Host {
        Host::run(settings(name, peers), store).await
    }

    pub async fn run(settings: Settings, store: Arc<dyn Store>) -> Host {
        Host::run_with(settings, store, Arc::default()).await
    }

    pub async fn run_with(
        settings: Settings,
        store: Arc<dyn Store>,
        hosts: Arc<FakeHosts>,
    ) -> Host {
        let (name, address) = (settings.node.host.clone(), settings.listen);
        let agent = Agent::start(settings, store, hosts, Arc::new(SystemClock)).await.unwrap();
        Host { agent: Some(agent), ..Host::observe(&name, address).await }
    }

    /// Acts as the gate of an agent that another object owns.
    pub async fn observe(name: &str, address: SocketAddr) -> Host {
        let secret = settings(name, &[]).secret;
        let client = Arc::new(connect(address, &secret, LIMIT).await.unwrap());
        let gate = tokio::spawn(ask_for_lease(client.clone()));
        Host { name: name.into(), agent: None, address, client, gate: Gate(gate) }
    }

    pub async fn lease(&self) -> QuorumLease {
        self.client.lease().await.unwrap()
    }

    pub async fn status(&self) -> HostStatus {
        self.client.status().await.unwrap()
    }

    /// Epoch that the agent tells its peers.
    pub async fn voting_epoch(&self) -> u64 {
        let heartbeat = Heartbeat {
            host: "stranger".into(),
            incarnation: 1,
            epoch: 0,
            revision: 0,
            staleness_ms: None,
            leaving: false,
            released: false,
            serving: false,
            join: None,
        };
        self.client.heartbeat(heartbeat).await.unwrap().state.epoch
    }

    pub async fn view(&self) -> View {
        self.client.view(ViewRequest { after: 0, revision: 0, wait_ms: 0 }).await.unwrap()
    }

    pub fn client(&self) -> &WsClient {
        &self.client
    }

    /// Replaces the simulated gate's calls by a release.
    pub async fn release(&self) {
        self.gate.0.abort();
        self.client.release().await.unwrap();
    }

    /// Begins a planned shutdown.
    pub fn shutdown(&mut self) -> JoinHandle<()> {
        tokio::spawn(self.agent.take().unwrap().shutdown())
    }

    /// Ends the gate without a release.
    pub fn kill_gate(&self) {
        self.gate.0.abort();
    }

    /// Ends agent and gate at once, without notice.
    pub fn kill(&mut self) {
        self.gate.0.abort();
        self.agent = None;
    }
}

async fn ask_for_lease(client: Arc<WsClient>) {
    loop {
        // Fails when the agent is dead; then there is nothing to keep alive.
        let _ = client.lease().await;
        time::sleep(GATE_INTERVAL).await;
    }
}

/// Hosts `h0`, `h1`, ... that share a store and are in the member list.
pub async fn cluster(size: usize, store: &Arc<FakeStore>) -> Vec<Host> {
    let mut hosts: Vec<Host> = Vec::new();
    for i in 0..size {
        let peers: Vec<SocketAddr> = hosts.iter().map(|h| h.address).collect();
        hosts.push(Host::start(&format!("h{i}"), store.clone(), &peers).await);
    }
    all_settled(&hosts, size).await;
    hosts
}

/// Waits until all hosts hold a settled lease in a list of `size` hosts.
pub async fn all_settled(hosts: &[Host], size: usize) {
    for host in hosts {
        until(async || {
            let lease = host.lease().await;
            let members = host.view().await.members;
            let done = members.hosts.len() == size && members.previous == members.hosts;
            lease.remaining_ms > 0 && lease.settled && done && lease.epoch == members.epoch
        })
        .await;
    }
}

/// Waits for a condition; returns how long that took.
pub async fn until<F>(mut condition: F) -> Duration
where
    F: AsyncFnMut() -> bool,
{
    let start = Instant::now();
    while !condition().await {
        assert!(start.elapsed() < LIMIT, "the awaited condition did not come about");
        time::sleep(Duration::from_millis(20)).await;
    }
    start.elapsed()
}

/// Writes a head without records.
pub async fn write_revision(store: &FakeStore, revision: u64) {
    let head = Head { revision, ..Head::default() };
    let text = serde_json::to_string(&head).unwrap();
    let current = store.get(HEAD_KEY).await.unwrap().map_or(0, |v| v.revision);
    store.put_if(HEAD_KEY, current, &text).await.unwrap();
}

/// Writes a member list with one host, which is not an agent.
pub async fn write_list(store: &FakeStore, epoch: u64, agent: SocketAddr) {
    let host = MemberHost { host: "absent".into(), zone: "z1".into(), agent, gate: agent };
    let list = MemberList { epoch, hosts: vec![host], previous: Vec::new() };
    let text = serde_json::to_string(&list).unwrap();
    let current = store.get("members").await.unwrap().map_or(0, |v| v.revision);
    store.put_if("members", current, &text).await.unwrap();
}

/// Runs an agent on a thread of its own, so that a test can pause it.
pub struct PausableHost {
    runtime: Runtime,
    pub address: SocketAddr,
    agent: Option<Agent>,
}

impl PausableHost {
    pub async fn start(name: &str, store: Arc<dyn Store>, peers: &[SocketAddr]) -> PausableHost {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .unwrap();
        let settings = settings(name, peers);
        let address = settings.listen;
        let hosts = Arc::new(FakeHosts::default());
        let start = Agent::start(settings, store, hosts, Arc::new(SystemClock));
        let agent = runtime.spawn(start).await.unwrap().unwrap();
        PausableHost { runtime, address, agent: Some(agent) }
    }

    /// Stops every step of the agent for a while.
    pub fn pause(&self, time: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(time) });
    }

    pub fn stop(mut self) {
        self.agent = None;
        self.runtime.shutdown_background();
    }
}

/// One host's link to a shared store, which a test can cut.
#[derive(Default)]
pub struct Link {
    store: Arc<FakeStore>,
    cut: AtomicBool,
}

impl Link {
    pub fn new(store: &Arc<FakeStore>) -> Arc<Link> {
        Arc::new(Link { store: store.clone(), cut: false.into() })
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.cut.load(Ordering::SeqCst) { Err(StoreError::Unavailable) } else { Ok(()) }
    }
}

#[async_trait]
impl Store for Link {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.check()?;
        self.store.get(key).await
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        self.check()?;
        self.store.put_if(key, expected, value).await
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.check()?;
        self.store.delete_if(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.check()?;
        self.store.watch(key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.check()?;
        self.store.list(prefix).await
    }
}
