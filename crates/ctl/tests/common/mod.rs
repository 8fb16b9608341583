//! Fixtures: a platform over HTTP, agents, and runs of the tool.
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
use chervil_rpc::server::Serving;
use chervil_rpc::server::serve;
use jsonrpsee::core::RpcResult;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::runtime::Runtime;

const SECRET: &str = "a-secret-for-tests-only";

/// Agent that adopts what is pushed and answers what operators ask.
pub struct FakeAgent {
    host: Box<str>,
    pub adopted: Mutex<ConfigReplica>,
    /// Whether pushes are taken.
    pub deaf: bool,
}

fn unused<T>() -> RpcResult<T> {
    Err(ErrorObjectOwned::owned(-1, "not part of this fake", None::<()>))
}

struct Handle(Arc<FakeAgent>);

#[async_trait]
impl AgentRpcServer for Handle {
    async fn pull(&self, request: PullRequest) -> RpcResult<PullReply> {
        Ok(self.0.adopted.lock().unwrap().delta_since(request.revision))
    }

    async fn push(&self, state: PullReply) -> RpcResult<()> {
        if !self.0.deaf {
            let _ = self.0.adopted.lock().unwrap().apply(&state);
        }
        Ok(())
    }

    async fn status(&self) -> RpcResult<HostStatus> {
        Ok(HostStatus {
            host: self.0.host.clone(),
            revision: self.0.adopted.lock().unwrap().revision(),
            epoch: 0,
            ready: true,
            fresh_ms: None,
            store_up: true,
            store_calls: 0,
        })
    }

    async fn view(&self, _: ViewRequest) -> RpcResult<View> {
        unused()
    }

    async fn lease(&self) -> RpcResult<QuorumLease> {
        unused()
    }

    async fn release(&self) -> RpcResult<()> {
        unused()
    }

    async fn heartbeat(&self, _: Heartbeat) -> RpcResult<HeartbeatReply> {
        unused()
    }

    async fn claim(&self, _: ClaimRequest) -> RpcResult<ClaimReply> {
        unused()
    }

    async fn settle(&self, _: SettleRequest) -> RpcResult<()> {
        unused()
    }

    async fn canary(&self, _: CanaryRequest) -> RpcResult<CanaryReply> {
        unused()
    }

    async fn canary_report(&self, _: CanaryReport) -> RpcResult<()> {
        unused()
    }
}

/// Platform, agents and a settings file.
pub struct Site {
    runtime: Runtime,
    dir: PathBuf,
    pub store: Arc<FakeStore>,
    pub hosts: Arc<FakeHosts>,
    servings: Vec<Serving>,
}

/// What a run of the tool printed, and its exit code.
pub struct Run {
    pub code: i32,
    pub out: String,
    pub err: String,
}

impl Site {
    pub fn new() -> Site {
        static NEXT: AtomicU64 = AtomicU64::new(0);
        let name = format!("ctl-{}-{}", std::process::id(), NEXT.fetch_add(1, Ordering::Relaxed));
        let dir = Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        fs::create_dir_all(&dir).unwrap();
        let runtime = Runtime::new().unwrap();
        let store = Arc::new(FakeStore::new());
        let hosts = Arc::new(FakeHosts::default());
        let (address, _) = runtime.block_on(http::serve(store.clone(), hosts.clone())).unwrap();
        let site = Site { runtime, dir, store, hosts, servings: Vec::new() };
        site.settings(&format!("http://{address}"), &[]);
        site
    }

    /// Writes the settings file.
    pub fn settings(&self, store: &str, agents: &[SocketAddr]) {
        let agents: Vec<String> = agents.iter().map(|a| format!("\"{a}\"")).collect();
        let text = format!(
            "store = \"{store}\"\nsecret = \"{SECRET}\"\noperator = \"alice\"\n\
             agents = [{}]\nwait_s = 1\ntimeout_ms = 300\nresolve_attempts = 2\n",
            agents.join(", ")
        );
        self.write("ctl.toml", &text);
    }

    /// Adds agents to the settings file.
    pub fn set_agents(&self, agents: &[SocketAddr]) {
        let text = fs::read_to_string(self.dir.join("ctl.toml")).unwrap();
        let url = text.lines().next().unwrap().split('"').nth(1).unwrap();
        self.settings(url, agents);
    }

    pub fn agent(&mut self, host: &str, deaf: bool) -> (SocketAddr, Arc<FakeAgent>) {
        let adopted = Mutex::default();
        let agent = Arc::new(FakeAgent { host: host.into(), adopted, deaf });
        let secret = Secret::try_from(Box::from(SECRET)).unwrap();
        let local = (Ipv4Addr::LOCALHOST, 0).into();
        let methods = Handle(agent.clone()).into_rpc();
        let serving = self.runtime.block_on(serve(local, &secret, methods)).unwrap();
        let address = serving.address;
        self.servings.push(serving);
        (address, agent)
    }

    /// Writes the member list into the store.
    pub fn set_members(&self, hosts: Vec<MemberHost>) {
        let list = MemberList { epoch: 1, hosts, previous: Vec::new() };
        let text = serde_json::to_string(&list).unwrap();
        self.runtime.block_on(self.store.put_if("members", 0, &text)).unwrap();
    }

    pub fn write(&self, name: &str, text: &str) -> PathBuf {
        let path = self.dir.join(name);
        fs::write(&path, text).unwrap();
        path
    }

    /// Writes a sheet with `servers` servers of one service.
    pub fn sheet(&self, hour: u32, servers: usize) -> PathBuf {
        self.write(&format!("sheet-{hour}-{servers}.csv"), &sheet_text(hour, servers))
    }

    /// Runs the tool with the settings file.
    pub fn run(&self, args: &[&str]) -> Run {
        let settings = self.dir.join("ctl.toml");
        let mut all = vec!["--settings", settings.to_str().unwrap()];
        all.extend(args);
        run(&all)
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.dir);
    }
}

/// Runs the tool.
pub fn run(args: &[&str]) -> Run {
    let Output { status, stdout, stderr } =
        Command::new(env!("CARGO_BIN_EXE_chervilctl")).args(args).output().unwrap();
    Run {
        code: status.code().unwrap(),
        out: String::from_utf8(stdout).unwrap(),
        err: String::from_utf8(stderr).unwrap(),
    }
}

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
