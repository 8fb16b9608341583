//! Measures the heartbeat bytes and the CPU time per host, and the takeover time:
//! the time from the death of one host until the lease of another lists it as
//! down. All agents run in one process and communicate over loopback. For each
//! agent a simulated gate requests the lease every 200 ms.
//!
//! Usage: `cargo run -p chervil-agent --example heartbeat_cost -- 3 6 12`
#![allow(clippy::unwrap_used, reason = "a measurement that fails should end")]

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_agent::Agent;
use chervil_agent::Settings;
use chervil_base::clock::SystemClock;
use chervil_fakes::FakeHosts;
use chervil_fakes::FakeStore;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::client::connect;
use jsonrpsee::ws_client::WsClient;
use tokio::task::JoinSet;
use tokio::time;

/// Duration of the measurement for each size.
const MEASUREMENT_TIME: Duration = Duration::from_secs(8);

/// Interval at which a gate requests its lease.
const GATE_INTERVAL: Duration = Duration::from_millis(200);

/// Unit of the CPU times in `/proc/self/stat`.
const TICKS_PER_SECOND: f64 = 100.0;

#[tokio::main]
async fn main() {
    let _ = chervil_node::logs::init_stderr("error");
    println!("hosts  sent bytes/s per host  CPU ms/s per host  store calls/s in all  takeover ms");
    let sizes = std::env::args().skip(1).map(|a| a.parse::<usize>().unwrap());
    for size in sizes {
        measure(size).await;
    }
}

async fn measure(size: usize) {
    let store = Arc::new(FakeStore::new());
    let addresses: Vec<SocketAddr> = (0..size).map(|_| free_address()).collect();
    let mut agents = Vec::new();
    let mut clients: Vec<Arc<WsClient>> = Vec::new();
    let mut gates = JoinSet::new();
    for (i, address) in addresses.iter().enumerate() {
        let settings = settings(i, *address, addresses[0]);
        let secret = settings.secret.clone();
        let hosts = Arc::new(FakeHosts::default());
        let agent = Agent::start(settings, store.clone(), hosts, Arc::new(SystemClock));
        agents.push(agent.await.unwrap());
        let client = Arc::new(connect(*address, &secret, Duration::from_secs(5)).await.unwrap());
        gates.spawn(request_lease(client.clone()));
        clients.push(client);
    }
    wait_until_settled(&clients, size).await;
    let bytes = |agents: &[Agent]| agents.iter().map(Agent::heartbeat_bytes).sum::<u64>();
    let before = (bytes(&agents), cpu_seconds(), store.reads());
    let start = Instant::now();
    time::sleep(MEASUREMENT_TIME).await;
    let span = start.elapsed().as_secs_f64();
    let per_host = |total: f64| total / span / size as f64;
    print!(
        "{size:5}  {:21.0}  {:17.2}  {:20.1}",
        per_host((bytes(&agents) - before.0) as f64),
        per_host((cpu_seconds() - before.1) * 1_000.0),
        (store.reads() - before.2) as f64 / span,
    );
    agents.pop();
    println!("  {:11}", takeover(&clients[0]).await.as_millis());
}

/// Time until the agent of `client` lists a host as down.
async fn takeover(client: &WsClient) -> Duration {
    let start = Instant::now();
    while client.lease().await.unwrap().down.is_empty() {
        time::sleep(Duration::from_millis(10)).await;
    }
    start.elapsed()
}

/// Waits until all agents hold a settled lease in a list of `size` hosts.
async fn wait_until_settled(clients: &[Arc<WsClient>], size: usize) {
    for client in clients {
        loop {
            let request = chervil_rpc::agent::ViewRequest { after: 0, revision: 0, wait_ms: 0 };
            let members = client.view(request).await.unwrap().members;
            let lease = client.lease().await.unwrap();
            if members.hosts.len() == size && members.previous == members.hosts && lease.settled {
                break;
            }
            time::sleep(Duration::from_millis(100)).await;
        }
    }
}

/// Requests the lease periodically, as a gate does.
async fn request_lease(client: Arc<WsClient>) {
    loop {
        // Fails once the agent has been dropped.
        let _ = client.lease().await;
        time::sleep(GATE_INTERVAL).await;
    }
}

fn settings(host: usize, listen: SocketAddr, peer: SocketAddr) -> Settings {
    let text = format!(
        r#"
        listen = "{listen}"
        gate = "127.0.0.1:1"
        secret = "a-secret-for-measurements"
        platform = "http://127.0.0.1:1"
        peers = ["{peer}"]
        [node]
        host = "host-{host:04}"
        zone = "z{}"
        admin = "127.0.0.1:0"
        "#,
        host % 4
    );
    toml::from_str(&text).unwrap()
}

fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap()
}

/// CPU time that this process has used in user and system mode, in seconds.
fn cpu_seconds() -> f64 {
    let stat = fs::read_to_string("/proc/self/stat").unwrap();
    let fields = stat.rsplit(')').next().unwrap().split_whitespace();
    let times = fields.skip(11).take(2).map(|f| f.parse::<f64>().unwrap());
    times.sum::<f64>() / TICKS_PER_SECOND
}
