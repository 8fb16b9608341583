//! Test fixture: an entry that talks to a fake agent and fake gates over TCP.

#![allow(dead_code, clippy::unwrap_used)]

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_entry::settings::EntrySettings;
use chervil_entry::start;
use chervil_entry::start::RunningEntry;
use chervil_node::metrics::Metrics;
use chervil_rpc::agent::AgentRpcServer as _;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::View;
use chervil_rpc::gate::GateRpcServer as _;
use chervil_rpc::secret::Secret;
use chervil_rpc::server;
use chervil_rpc::server::RunningServer;

mod agent;
mod gate;

pub use agent::FakeAgent;
pub use gate::FakeGate;

pub const SECRET: &str = "0123456789abcdef";

/// Locks the state of a fake.
pub fn lock<T>(state: &Mutex<T>) -> MutexGuard<'_, T> {
    state.lock().unwrap()
}

/// A running entry with one fake agent and two fake gates.
pub struct System {
    pub agent: Arc<FakeAgent>,
    pub gates: Vec<Arc<FakeGate>>,
    pub entry: RunningEntry,
    pub settings: EntrySettings,
    pub http: reqwest::Client,
    rpc_servers: Vec<RunningServer>,
}

impl System {
    /// Starts a system whose service `lookup` has 12 shards on three servers.
    pub async fn start() -> System {
        System::start_with("").await
    }

    /// Starts a system with settings in the `[plan]` section.
    pub async fn start_with(plan: &str) -> System {
        let secret: Secret = Box::<str>::from(SECRET).try_into().unwrap();
        let any_port: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let (mut gates, mut rpc_servers, mut hosts) = (Vec::new(), Vec::new(), Vec::new());
        for name in ["h1", "h2"] {
            let gate = Arc::new(FakeGate::default());
            let methods = gate::FakeGateRpc(gate.clone()).into_rpc();
            let server = server::serve(any_port, &secret, methods).await.unwrap();
            hosts.push(host(name, server.address));
            gates.push(gate);
            rpc_servers.push(server);
        }
        let agent = Arc::new(FakeAgent::new(view(hosts)));
        let methods = agent::FakeAgentRpc(agent.clone()).into_rpc();
        let server = server::serve(any_port, &secret, methods).await.unwrap();
        let settings = settings(server.address, plan);
        rpc_servers.push(server);
        let entry = start::serve(&settings, Metrics::disabled()).await.unwrap();
        let http = reqwest::Client::new();
        let system = System { agent, gates, entry, settings, http, rpc_servers };
        system.wait_ready().await;
        system
    }

    /// Sends a POST request to the entry.
    pub async fn post(&self, path: &str, headers: &[(&str, &str)], body: &str) -> Reply {
        let url = format!("http://{}{path}", self.entry.address);
        let mut request = self.http.post(url).body(body.to_owned());
        for (name, value) in headers {
            request = request.header(*name, *value);
        }
        let response = request.send().await.unwrap();
        let header = |n: &str| response.headers().get(n).map(|v| v.to_str().unwrap().into());
        let (status, coverage) = (response.status().as_u16(), header("x-coverage"));
        let retry_after = header("retry-after");
        let text = response.text().await.unwrap();
        let json = serde_json::from_str(&text).unwrap_or(serde_json::Value::Null);
        Reply { status, coverage, retry_after, json }
    }

    /// Changes the behaviour of both gates.
    pub fn configure_gates<F>(&self, change: F)
    where
        F: Fn(&mut gate::State),
    {
        self.gates.iter().for_each(|g| change(&mut g.state()));
    }

    /// Number of sub-requests that the gates have received.
    pub fn sub_requests(&self) -> usize {
        self.gates.iter().map(|g| g.state().asked.len()).sum()
    }

    /// Servers to which run requests were sent.
    pub fn run_servers(&self) -> Vec<Box<str>> {
        self.gates.iter().flat_map(|g| g.state().ran.clone()).collect()
    }

    async fn wait_ready(&self) {
        for _ in 0..500 {
            if self.entry.entry.is_accepting() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("the entry was not ready within 5 s");
    }
}

/// Response of the entry.
#[derive(Debug)]
pub struct Reply {
    pub status: u16,
    /// Header `x-coverage`.
    pub coverage: Option<String>,
    pub retry_after: Option<String>,
    /// Body; null when it is not JSON.
    pub json: serde_json::Value,
}

fn settings(agent: SocketAddr, plan: &str) -> EntrySettings {
    let text = format!(
        "listen = '127.0.0.1:0'\nagent = '{agent}'\nsecret = '{SECRET}'\nquiet_ms = 50\n\
         [node]\nhost = 'h1'\nzone = 'z1'\nadmin = '127.0.0.1:0'\n[plan]\n{plan}\n"
    );
    toml::from_str(&text).unwrap()
}

fn host(name: &str, gate: SocketAddr) -> Member {
    let agent = gate;
    let host = MemberHost { host: name.into(), zone: "z1".into(), agent, gate };
    Member { host, up: true, leaving: false }
}

fn view(hosts: Vec<Member>) -> View {
    let list = hosts.iter().map(|h| h.host.clone()).collect();
    let members = MemberList { epoch: 1, hosts: list, previous: Vec::new() };
    let catalog = Some(catalog());
    View { sequence: 1, host: "h1".into(), members, hosts, catalog, ready: true }
}

fn catalog() -> CatalogSpec {
    let zone = |name: &str| ZoneSpec { name: name.into(), in_service: true };
    let service =
        |name: &str, in_service| ServiceSpec { name: name.into(), shards: 12, in_service };
    let server = |i: u32| BackendServerSpec {
        name: format!("lookup-{i}").into(),
        service: "lookup".into(),
        zone: format!("z{i}").into(),
        address: "127.0.0.1:1".parse().unwrap(),
        slots: 2,
        connections: 50,
        connect_ms: 6,
        shards: "0-11".parse().unwrap(),
        in_service: true,
    };
    CatalogSpec {
        revision: 1,
        zones: vec![zone("z1"), zone("z2"), zone("z3")],
        services: vec![service("lookup", true), service("closed", false)],
        servers: (1..=3).map(server).collect(),
    }
}
