//! Starts hosts (agent, gate and entry each) over stand-ins.

pub mod load;
pub mod process;

use std::fs;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;
use std::process::Output;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_standin::cluster::Standin;
use chervil_standin::rows::all_rows;
use chervil_standin::stats::ServerStats;
use reqwest::Client;
use serde_json::Value;
use serde_json::json;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;
use tokio::time;

use self::process::Process;

pub const SERVICE: &str = "lookup";
pub const SHARDS: u32 = 12;

/// Bound of every wait; far above what a pass needs.
pub const LIMIT: Duration = Duration::from_secs(60);

/// Systems that run at once; more would make each other slow.
static SYSTEMS: Semaphore = Semaphore::const_new(2);

static KEYS: AtomicU64 = AtomicU64::new(0);

static PORTS: AtomicU16 = AtomicU16::new(24_000);

const LAST_PORT: u16 = 27_000;

/// Answer of an entry.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

impl Reply {
    /// Whether it is complete, of one version, with exactly the rows of it.
    pub fn is_accurate(&self) -> bool {
        let version = self.body["version"].as_u64().unwrap_or(0);
        let expected = serde_json::to_value(all_rows(SERVICE, version, SHARDS)).unwrap();
        self.status == 200 && self.body["rows"] == expected
    }
}

/// One host with its three processes.
pub struct Host {
    pub agent: Process,
    pub gate: Process,
    pub entry: Process,
    pub callers: SocketAddr,
}

impl Host {
    pub fn processes(&mut self) -> [&mut Process; 3] {
        [&mut self.entry, &mut self.gate, &mut self.agent]
    }
}

/// Hosts over a stand-in that runs in the test's own process.
pub struct System {
    pub standin: Standin,
    pub hosts: Vec<Host>,
    pub http: Client,
    dir: PathBuf,
    _permit: SemaphorePermit<'static>,
}

impl System {
    /// Starts 3 hosts over 6 backend servers in 3 zones, each shard on 2 of
    /// them, and waits until a query is answered completely.
    pub async fn start(name: &str, faults: &str) -> System {
        let permit = SYSTEMS.acquire().await.unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        let standin = standin(faults).await;
        let platform = standin.platform.unwrap();
        let hosts = hosts(&dir, platform);
        let http = Client::builder().timeout(Duration::from_secs(12)).build().unwrap();
        let system = System { standin, hosts, http, dir, _permit: permit };
        let sheet = system.sheet();
        eventually("the sheet is in force", async || {
            system.ctl(&["apply", &sheet]).status.success()
        })
        .await;
        for host in 0..system.hosts.len() {
            eventually("queries are complete", async || {
                system.query(host, "{}").await.is_some_and(|r| r.is_accurate())
            })
            .await;
        }
        system
    }

    /// Sends a query to a host's entry; `None` when the connection failed.
    pub async fn query(&self, host: usize, body: &str) -> Option<Reply> {
        let url = format!("http://{}/query/{SERVICE}", self.hosts[host].callers);
        let request = self.http.post(url).header("x-timeout-ms", "2000");
        reply(request.body(body.to_owned()).send().await.ok()?).await
    }

    /// Sends non-idempotent work to a host's entry.
    pub async fn run(&self, host: usize, key: &str) -> Option<Reply> {
        let url = format!("http://{}/run/{SERVICE}", self.hosts[host].callers);
        let request = self.http.post(url).header("idempotency-key", key);
        let request = request.header("x-timeout-ms", "3000");
        reply(request.body("{\"invoice\":1}").send().await.ok()?).await
    }

    /// Whether all processes of a host report ready.
    pub async fn is_ready(&self, host: usize) -> bool {
        let h = &self.hosts[host];
        let admins = [h.agent.admin, h.gate.admin, h.entry.admin];
        let checks = admins.map(|a| self.http.get(format!("http://{a}/ready")).send());
        let replies = futures::future::join_all(checks).await;
        replies.iter().all(|r| r.as_ref().is_ok_and(|r| r.status().is_success()))
    }

    /// Runs the operators' tool.
    pub fn ctl(&self, args: &[&str]) -> Output {
        let settings = self.dir.join("ctl.toml");
        let mut command = std::process::Command::new(process::binary("chervilctl"));
        command.arg("--settings").arg(settings).args(args).output().unwrap()
    }

    /// Sends a command to the stand-in's control port.
    pub async fn control(&self, command: &str, body: Value) {
        let url = format!("http://{}/control/{command}", self.standin.control);
        let reply = self.http.post(url).body(body.to_string()).send().await.unwrap();
        assert!(reply.status().is_success(), "{command}: {}", reply.text().await.unwrap());
    }

    /// Sum of a counter over all backend servers.
    pub fn sum<F>(&self, field: F) -> u64
    where
        F: Fn(&ServerStats) -> u64,
    {
        self.standin.cluster.stats().servers.values().map(field).sum()
    }

    /// Requests beyond slots, beyond connections, and beyond what cold servers
    /// bear.
    pub fn excess(&self) -> [u64; 3] {
        [self.sum(|s| s.over_slots), self.sum(|s| s.over_connections), self.sum(|s| s.falls)]
    }

    fn sheet(&self) -> String {
        let path = self.dir.join("sheet.csv");
        let mut text = String::from(
            "kind,name,service,zone,address,slots,connections,connect_ms,shards,state\n\
             sheet,2026-12-04T06:00:00Z,,,,,,,,\nzone,z1,,,,,,,,in\nzone,z2,,,,,,,,in\n\
             zone,z3,,,,,,,,in\n",
        );
        text.push_str(&format!("service,{SERVICE},,,,,,,{SHARDS},in\n"));
        for s in self.standin.cluster.server_infos() {
            text.push_str(&format!(
                "server,{},{SERVICE},{},{},{},{},6,{},in\n",
                s.name, s.zone, s.address, s.slots, s.connections, s.versions[0].held
            ));
        }
        fs::write(&path, text).unwrap();
        path.to_str().unwrap().to_owned()
    }
}

async fn reply(response: reqwest::Response) -> Option<Reply> {
    let status = response.status().as_u16();
    let text = response.text().await.ok()?;
    Some(Reply { status, body: serde_json::from_str(&text).unwrap_or(json!(text)) })
}

async fn standin(faults: &str) -> Standin {
    let settings = format!(
        "control = \"127.0.0.1:0\"\nseed = 5\n[platform]\nlisten = \"127.0.0.1:0\"\n\
         [[service]]\nname = \"{SERVICE}\"\nservers = 6\nzones = [\"z1\", \"z2\", \"z3\"]\n\
         shards = {SHARDS}\nreplicas = 2\nslots = 2\nconnections = 50\nconnect_ms = 6\n\
         start_cold = true\n[service.faults]\nbase_ms = 2.0\njitter_ms = 2.0\n{faults}\n"
    );
    Standin::start(&toml::from_str(&settings).unwrap()).await.unwrap()
}

fn hosts(dir: &std::path::Path, platform: SocketAddr) -> Vec<Host> {
    let secret = "a-secret-for-tests-only";
    let ports: Vec<[SocketAddr; 6]> = (0..3).map(|_| free_ports()).collect();
    let agents: Vec<String> = ports.iter().map(|p| format!("\"{}\"", p[0])).collect();
    let agents = agents.join(", ");
    let ctl = format!(
        "store = \"http://{platform}\"\nsecret = \"{secret}\"\noperator = \"test\"\n\
         agents = [{agents}]\nwait_s = 20\n"
    );
    fs::write(dir.join("ctl.toml"), ctl).unwrap();
    let host = |(i, p): (usize, &[SocketAddr; 6])| {
        let node = |admin| {
            format!("[node]\nhost = \"h{i}\"\nzone = \"z{}\"\nadmin = \"{admin}\"\n", i + 1)
        };
        let agent = format!(
            "listen = \"{}\"\ngate = \"{}\"\nsecret = \"{secret}\"\n\
             platform = \"http://{platform}\"\npeers = [{agents}]\n{}",
            p[0],
            p[1],
            node(p[3])
        );
        let server = |listen, admin| {
            format!(
                "listen = \"{listen}\"\nagent = \"{}\"\nsecret = \"{secret}\"\n{}",
                p[0],
                node(admin)
            )
        };
        Host {
            agent: Process::start("chervil-agent", dir, i, &agent, p[3]),
            gate: Process::start("chervil-gate", dir, i, &server(p[1], p[4]), p[4]),
            entry: Process::start("chervil-entry", dir, i, &server(p[2], p[5]), p[5]),
            callers: p[2],
        }
    };
    ports.iter().enumerate().map(host).collect()
}

/// Addresses that nothing listens on, below the range from which the system
/// takes ports of outgoing connections: a process that restarts must get its
/// port again.
fn free_ports() -> [SocketAddr; 6] {
    std::array::from_fn(|_| {
        loop {
            let port = PORTS.fetch_add(1, Ordering::Relaxed);
            assert!(port < LAST_PORT, "no free port below {LAST_PORT}");
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
                return listener.local_addr().unwrap();
            }
        }
    })
}

/// New idempotency key.
pub fn key() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let n = KEYS.fetch_add(1, Ordering::Relaxed);
    format!("{}-{:x}x{n:08}", now.as_secs(), now.subsec_nanos())
}

/// Repeats a check until it holds.
pub async fn eventually<F>(what: &str, check: F)
where
    F: AsyncFn() -> bool,
{
    let end = Instant::now() + LIMIT;
    while !check().await {
        assert!(Instant::now() < end, "not within {LIMIT:?}: {what}");
        time::sleep(Duration::from_millis(100)).await;
    }
}
