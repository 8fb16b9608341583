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

/// Longest wait for a condition; a test that reaches it fails.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Interval at which a simulated gate requests its lease.
const GATE_INTERVAL: Duration = Duration::from_millis(100);

/// Next port to try. Ports are below the range from which the system assigns
/// ports to outgoing connections, because a restarted agent needs its former
/// port again.
static NEXT_PORT: AtomicU16 = AtomicU16::new(28_000);

/// First port that is not used.
const PORT_LIMIT: u16 = 31_000;

/// A loopback address that is currently free.
pub fn free_address() -> SocketAddr {
    loop {
        let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
        assert!(port < PORT_LIMIT, "no free port below {PORT_LIMIT}");
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

/// A host with an agent and a simulated gate that requests its lease.
pub struct Host {
    pub name: Box<str>,
    agent: Option<Agent>,
    pub address: SocketAddr,
    client: Arc<WsClient>,
    gate: Gate,
}

/// Task that simulates a gate; dropping it aborts the task.
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
        Host { agent: Some(agent), ..Host::attach(&name, address).await }
    }

    /// Connects to an agent that another object owns, and acts as its gate.
    pub async fn attach(name: &str, address: SocketAddr) -> Host {
        let secret = settings(name, &[]).secret;
        let client = Arc::new(connect(address, &secret, WAIT_TIMEOUT).await.unwrap());
        let gate = tokio::spawn(request_lease(client.clone()));
        Host { name: name.into(), agent: None, address, client, gate: Gate(gate) }
    }

    pub async fn lease(&self) -> QuorumLease {
        self.client.lease().await.unwrap()
    }

    pub async fn status(&self) -> HostStatus {
        self.client.status().await.unwrap()
    }

    /// Epoch that the agent reports in heartbeats; 0 while it may not vote.
    pub async fn voting_epoch(&self) -> u64 {
        let heartbeat = Heartbeat {
            host: "unknown".into(),
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

    /// Ends the gate after a release.
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

    /// Ends the agent and the gate at once, without a release.
    pub fn kill(&mut self) {
        self.gate.0.abort();
        self.agent = None;
    }
}

/// Requests the lease periodically, as a gate does.
async fn request_lease(client: Arc<WsClient>) {
    loop {
        // Fails if the agent is dead; then there is no lease to renew.
        let _ = client.lease().await;
        time::sleep(GATE_INTERVAL).await;
    }
}

/// Hosts `h0`, `h1`, ... that share a store, in a settled member list.
pub async fn cluster(size: usize, store: &Arc<FakeStore>) -> Vec<Host> {
    let mut hosts: Vec<Host> = Vec::new();
    for i in 0..size {
        let peers: Vec<SocketAddr> = hosts.iter().map(|h| h.address).collect();
        hosts.push(Host::start(&format!("h{i}"), store.clone(), &peers).await);
    }
    wait_until_settled(&hosts, size).await;
    hosts
}

/// Waits until all hosts hold a settled lease in a list of `size` hosts.
pub async fn wait_until_settled(hosts: &[Host], size: usize) {
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
        assert!(start.elapsed() < WAIT_TIMEOUT, "the condition is not met after {WAIT_TIMEOUT:?}");
        time::sleep(Duration::from_millis(20)).await;
    }
    start.elapsed()
}

/// Writes a head of this revision without records to the store.
pub async fn write_revision(store: &FakeStore, revision: u64) {
    let head = Head { revision, ..Head::default() };
    let text = serde_json::to_string(&head).unwrap();
    let current = store.get(HEAD_KEY).await.unwrap().map_or(0, |v| v.revision);
    store.put_if(HEAD_KEY, current, &text).await.unwrap();
}

/// Writes a member list to the store with one host, `absent`, that does not run
/// unless the test serves `agent`.
pub async fn write_member_list(store: &FakeStore, epoch: u64, agent: SocketAddr) {
    let host = MemberHost { host: "absent".into(), zone: "z1".into(), agent, gate: agent };
    let list = MemberList { epoch, hosts: vec![host], previous: Vec::new() };
    let text = serde_json::to_string(&list).unwrap();
    let current = store.get("members").await.unwrap().map_or(0, |v| v.revision);
    store.put_if("members", current, &text).await.unwrap();
}

/// An agent in a runtime with a single thread, so that a test can pause it.
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

    /// Blocks the agent's only thread for a time.
    pub fn pause(&self, time: Duration) {
        self.runtime.spawn(async move { std::thread::sleep(time) });
    }

    pub fn stop(mut self) {
        self.agent = None;
        self.runtime.shutdown_background();
    }
}

/// Connection of one host to a shared store, which a test can cut.
#[derive(Default)]
pub struct StoreLink {
    store: Arc<FakeStore>,
    cut: AtomicBool,
}

impl StoreLink {
    pub fn new(store: &Arc<FakeStore>) -> Arc<StoreLink> {
        Arc::new(StoreLink { store: store.clone(), cut: false.into() })
    }

    pub fn cut(&self) {
        self.cut.store(true, Ordering::SeqCst);
    }

    fn check(&self) -> Result<(), StoreError> {
        if self.cut.load(Ordering::SeqCst) { Err(StoreError::Unavailable) } else { Ok(()) }
    }
}

#[async_trait]
impl Store for StoreLink {
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
