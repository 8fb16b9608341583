//! Fixtures: a fake platform over HTTP, fake agents, and runs of `chervilctl`.
#![allow(dead_code, reason = "each test file uses a part of the fixtures")]
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::fmt::Write as _;
use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use async_trait::async_trait;
use chervil_config::ConfigReplica;
use chervil_fakes::FakeHosts;
use chervil_fakes::FakeStore;
use chervil_fakes::http;
use chervil_platform::Store as _;
use chervil_rpc::agent::*;
use chervil_rpc::secret::Secret;
use chervil_rpc::server::RunningServer;
use chervil_rpc::server::serve;
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::runtime::Runtime;

const SECRET: &str = "a-secret-for-tests-only";

/// Agent that applies pushed configurations and serves the RPC methods that
/// `chervilctl` calls.
pub struct FakeAgent {
    host: Box<str>,
    pub config: Mutex<ConfigReplica>,
    /// Whether pushed configurations are ignored.
    pub ignores_pushes: bool,
}

fn unsupported<T>() -> RpcResult<T> {
    Err(ErrorObjectOwned::owned(-1, "not supported by the fake agent", None::<()>))
}

/// RPC methods of a fake agent.
struct FakeAgentRpc(Arc<FakeAgent>);

#[async_trait]
impl AgentRpcServer for FakeAgentRpc {
    async fn pull(&self, request: PullRequest) -> RpcResult<StateDelta> {
        Ok(self.0.config.lock().unwrap().delta_since(request.revision))
    }

    async fn push(&self, delta: StateDelta) -> RpcResult<()> {
        if !self.0.ignores_pushes {
            let _ = self.0.config.lock().unwrap().apply(&delta);
        }
        Ok(())
    }

    async fn status(&self) -> RpcResult<HostStatus> {
        Ok(HostStatus {
            host: self.0.host.clone(),
            revision: self.0.config.lock().unwrap().revision(),
            epoch: 0,
            ready: true,
            staleness_ms: None,
            store_up: true,
            store_calls: 0,
        })
    }

    async fn view(&self, _: ViewRequest) -> RpcResult<View> {
        unsupported()
    }

    async fn lease(&self) -> RpcResult<QuorumLease> {
        unsupported()
    }

    async fn release(&self) -> RpcResult<()> {
        unsupported()
    }

    async fn heartbeat(&self, _: Heartbeat) -> RpcResult<HeartbeatReply> {
        unsupported()
    }

    async fn claim(&self, _: ClaimRequest) -> RpcResult<ClaimReply> {
        unsupported()
    }

    async fn settle(&self, _: SettleRequest) -> RpcResult<()> {
        unsupported()
    }

    async fn canary(&self, _: CanaryRequest) -> RpcResult<CanaryReply> {
        unsupported()
    }

    async fn canary_report(&self, _: CanaryReport) -> RpcResult<()> {
        unsupported()
    }
}

/// Fake platform, fake agents and the settings file of `chervilctl`.
pub struct Fixture {
    runtime: Runtime,
    dir: PathBuf,
    pub store: Arc<FakeStore>,
    pub hosts: Arc<FakeHosts>,
    rpc_servers: Vec<RunningServer>,
}

/// Output and exit code of a run of `chervilctl`.
pub struct RunOutput {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

impl Fixture {
    pub fn new() -> Fixture {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("ctl-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).unwrap();
        let runtime = Runtime::new().unwrap();
        let store = Arc::new(FakeStore::new());
        let hosts = Arc::new(FakeHosts::default());
        let (address, _) = runtime.block_on(http::serve(store.clone(), hosts.clone())).unwrap();
        let fixture = Fixture { runtime, dir, store, hosts, rpc_servers: Vec::new() };
        fixture.write_settings(&format!("http://{address}"), &[]);
        fixture
    }

    /// Writes the settings file.
    pub fn write_settings(&self, store: &str, agents: &[SocketAddr]) {
        let agents: Vec<String> = agents.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "store = \"{store}\"\nsecret = \"{SECRET}\"\noperator = \"alice\"\n\
             agents = [{}]\nwait_s = 1\ntimeout_ms = 300\nresolve_attempts = 2\n",
            agents.join(", ")
        );
        self.write_file("ctl.toml", &text);
    }

    /// Replaces the agents in the settings file.
    pub fn set_agents(&self, agents: &[SocketAddr]) {
        let text = fs::read_to_string(self.dir.join("ctl.toml")).unwrap();
        let url = text.lines().next().unwrap().split('"').nth(1).unwrap();
        self.write_settings(url, agents);
    }

    /// Starts a fake agent; the settings file does not list it yet.
    pub fn start_agent(
        &mut self,
        host: &str,
        ignores_pushes: bool,
    ) -> (SocketAddr, Arc<FakeAgent>) {
        let config = Mutex::default();
        let agent = Arc::new(FakeAgent { host: host.into(), config, ignores_pushes });
        let secret = Secret::try_from(Box::from(SECRET)).unwrap();
        let local = (Ipv4Addr::LOCALHOST, 0).into();
        let methods = FakeAgentRpc(agent.clone()).into_rpc();
        let server = self.runtime.block_on(serve(local, &secret, methods)).unwrap();
        let address = server.address;
        self.rpc_servers.push(server);
        (address, agent)
    }

    /// Writes the member list into the store.
    pub fn set_members(&self, hosts: Vec<MemberHost>) {
        let list = MemberList { epoch: 1, hosts, previous: Vec::new() };
        let text = serde_json::to_string(&list).unwrap();
        self.runtime.block_on(self.store.put_if("members", 0, &text)).unwrap();
    }

    /// Writes a file and returns its path.
    pub fn write_file(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Writes a sheet exported at `hour` with `servers` servers of one service.
    pub fn write_sheet(&self, hour: u32, servers: usize) -> PathBuf {
        self.write_file(&format!("sheet-{hour}-{servers}.csv"), &sheet_text(hour, servers))
    }

    /// Runs `chervilctl` with the settings file.
    pub fn run(&self, args: &[&str]) -> RunOutput {
        let settings = self.dir.join("ctl.toml");
        let mut all = vec!["--settings", settings.to_str().unwrap()];
        all.extend(args);
        run(&all)
    }
}

impl Drop for Fixture {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Runs `chervilctl`.
pub fn run(args: &[&str]) -> RunOutput {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_chervilctl")).args(args).output().unwrap();
    RunOutput {
        code: status.code().unwrap(),
        stdout: String::from_utf8(stdout).unwrap(),
        stderr: String::from_utf8(stderr).unwrap(),
    }
}

/// Sheet exported at `hour`, with `servers` servers of one service in two zones.
pub fn sheet_text(hour: u32, servers: usize) -> String {
    let mut text =
        String::from("kind,name,service,zone,address,slots,connections,connect_ms,shards,state\n");
    writeln!(text, "sheet,2026-12-03T{hour:02}:00:00Z,,,,,,,,").unwrap();
    text.push_str("zone,z1,,,,,,,,in\nzone,z2,,,,,,,,in\nservice,lookup,,,,,,,4,in\n");
    for i in 0..servers {
        let (zone, port) = (i % 2 + 1, 10_000 + i);
        writeln!(text, "server,l{i},lookup,z{zone},127.0.0.1:{port},2,50,6,0-3,in").unwrap();
    }
    text
}
