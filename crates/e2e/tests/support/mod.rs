//! Starts hosts (one agent, gate and entry each) with simulated backend servers
//! and a simulated platform.

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

/// Timeout of every wait for a condition or an exit; far longer than a passing
/// test needs.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// Limits the number of systems that run at once: more would slow each other
/// down.
static SYSTEM_PERMITS: Semaphore = Semaphore::const_new(2);

static NEXT_KEY: AtomicU64 = AtomicU64::new(0);

/// Ports of the processes, up to but not including `PORTS_END`.
const PORTS_START: u16 = 24_000;
const PORTS_END: u16 = 27_000;

static NEXT_PORT: AtomicU16 = AtomicU16::new(PORTS_START);

/// HTTP reply of an entry. A body that is not JSON becomes a JSON string.
#[derive(Clone, Debug)]
pub struct Reply {
    pub status: u16,
    pub body: Value,
}

impl Reply {
    /// Whether the reply is a 200 with exactly the rows of all shards of the
    /// version that it names.
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
    /// Listener of the entry for callers.
    pub callers: SocketAddr,
}

impl Host {
    pub fn processes(&mut self) -> [&mut Process; 3] {
        [&mut self.entry, &mut self.gate, &mut self.agent]
    }
}

/// Hosts in child processes, and a stand-in that runs within the test process.
pub struct System {
    pub standin: Standin,
    pub hosts: Vec<Host>,
    pub http: Client,
    dir: PathBuf,
    _permit: SemaphorePermit<'static>,
}

impl System {
    /// Starts 3 hosts with 6 backend servers in 3 availability zones and 2
    /// replicas of each shard, applies the sheet and waits until every entry
    /// answers a query completely.
    ///
    /// Settings and logs are in the directory `name` of the target directory.
    /// `faults` is TOML that is added to the faults of the backend servers.
    pub async fn start(name: &str, faults: &str) -> System {
        let permit = SYSTEM_PERMITS.acquire().await.unwrap();
        let dir = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
        let _ = fs::remove_dir_all(&dir);
        fs::create_dir_all(&dir).unwrap();
        let standin = start_standin(faults).await;
        let platform = standin.platform.unwrap();
        let hosts = start_hosts(&dir, platform);
        let http = Client::builder().timeout(Duration::from_secs(12)).build().unwrap();
        let system = System { standin, hosts, http, dir, _permit: permit };
        let sheet = system.write_sheet();
        eventually("the sheet is applied", async || {
            system.ctl(&["apply", &sheet]).status.success()
        })
        .await;
        for host in 0..system.hosts.len() {
            eventually("queries are answered completely", async || {
                system.query(host, "{}").await.is_some_and(|r| r.is_accurate())
            })
            .await;
        }
        system
    }

    /// Sends a query to a host's entry; `None` if the connection failed.
    pub async fn query(&self, host: usize, body: &str) -> Option<Reply> {
        let url = format!("http://{}/query/{SERVICE}", self.hosts[host].callers);
        let request = self.http.post(url).header("x-timeout-ms", "2000");
        read_reply(request.body(body.to_owned()).send().await.ok()?).await
    }

    /// Sends a non-idempotent request to a host's entry; `None` if the
    /// connection failed.
    pub async fn run(&self, host: usize, key: &str) -> Option<Reply> {
        let url = format!("http://{}/run/{SERVICE}", self.hosts[host].callers);
        let request = self.http.post(url).header("idempotency-key", key);
        let request = request.header("x-timeout-ms", "3000");
        read_reply(request.body("{\"invoice\":1}").send().await.ok()?).await
    }

    /// Whether all three processes of a host report ready.
    pub async fn is_ready(&self, host: usize) -> bool {
        let h = &self.hosts[host];
        let admins = [h.agent.admin, h.gate.admin, h.entry.admin];
        let checks = admins.map(|a| self.http.get(format!("http://{a}/ready")).send());
        let replies = futures::future::join_all(checks).await;
        replies.iter().all(|r| r.as_ref().is_ok_and(|r| r.status().is_success()))
    }

    /// Runs `chervilctl` and waits for it to exit.
    pub fn ctl(&self, args: &[&str]) -> Output {
        let settings = self.dir.join("ctl.toml");
        let mut command = std::process::Command::new(process::binary_path("chervilctl"));
        command.arg("--settings").arg(settings).args(args).output().unwrap()
    }

    /// Sends a command to the stand-in's control port.
    pub async fn control(&self, command: &str, body: Value) {
        let url = format!("http://{}/control/{command}", self.standin.control);
        let reply = self.http.post(url).body(body.to_string()).send().await.unwrap();
        assert!(reply.status().is_success(), "{command}: {}", reply.text().await.unwrap());
    }

    /// Total of a counter over all backend servers.
    pub fn sum<F>(&self, counter: F) -> u64
    where
        F: Fn(&ServerStats) -> u64,
    {
        self.standin.cluster.stats().servers.values().map(counter).sum()
    }

    /// Requests over the slot limit, connections over the connection limit, and
    /// requests that made a cold server fail, over all backend servers.
    pub fn limit_violations(&self) -> [u64; 3] {
        [self.sum(|s| s.over_slots), self.sum(|s| s.over_connections), self.sum(|s| s.falls)]
    }

    /// Writes the sheet that declares the stand-in's servers and returns its
    /// path.
    fn write_sheet(&self) -> String {
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

async fn read_reply(response: reqwest::Response) -> Option<Reply> {
    let status = response.status().as_u16();
    let text = response.text().await.ok()?;
    Some(Reply { status, body: serde_json::from_str(&text).unwrap_or(json!(text)) })
}

async fn start_standin(faults: &str) -> Standin {
    let settings = format!(
        "control = \"127.0.0.1:0\"\nseed = 5\n[platform]\nlisten = \"127.0.0.1:0\"\n\
         [[service]]\nname = \"{SERVICE}\"\nservers = 6\nzones = [\"z1\", \"z2\", \"z3\"]\n\
         shards = {SHARDS}\nreplicas = 2\nslots = 2\nconnections = 50\nconnect_ms = 6\n\
         start_cold = true\n[service.faults]\nbase_ms = 2.0\njitter_ms = 2.0\n{faults}\n"
    );
    Standin::start(&toml::from_str(&settings).unwrap()).await.unwrap()
}

fn start_hosts(dir: &std::path::Path, platform: SocketAddr) -> Vec<Host> {
    let secret = "a-secret-for-tests-only";
    // Listeners of agent, gate and entry, then their admin listeners.
    let addrs: Vec<[SocketAddr; 6]> = (0..3).map(|_| free_addrs()).collect();
    let agents: Vec<String> = addrs.iter().map(|a| format!("\"{}\"", a[0])).collect();
    let agents = agents.join(", ");
    let ctl = format!(
        "store = \"http://{platform}\"\nsecret = \"{secret}\"\noperator = \"test\"\n\
         agents = [{agents}]\nwait_s = 20\n"
    );
    fs::write(dir.join("ctl.toml"), ctl).unwrap();
    let start_host = |(i, a): (usize, &[SocketAddr; 6])| {
        let node_section = |admin| {
            format!("[node]\nhost = \"h{i}\"\nzone = \"z{}\"\nadmin = \"{admin}\"\n", i + 1)
        };
        let agent_settings = format!(
            "listen = \"{}\"\ngate = \"{}\"\nsecret = \"{secret}\"\n\
             platform = \"http://{platform}\"\npeers = [{agents}]\n{}",
            a[0],
            a[1],
            node_section(a[3])
        );
        let server_settings = |listen, admin| {
            format!(
                "listen = \"{listen}\"\nagent = \"{}\"\nsecret = \"{secret}\"\n{}",
                a[0],
                node_section(admin)
            )
        };
        Host {
            agent: Process::start("chervil-agent", dir, i, &agent_settings, a[3]),
            gate: Process::start("chervil-gate", dir, i, &server_settings(a[1], a[4]), a[4]),
            entry: Process::start("chervil-entry", dir, i, &server_settings(a[2], a[5]), a[5]),
            callers: a[2],
        }
    };
    addrs.iter().enumerate().map(start_host).collect()
}

/// Unused addresses below the ephemeral port range: a port of that range could
/// be taken by an outgoing connection while its process restarts.
fn free_addrs() -> [SocketAddr; 6] {
    std::array::from_fn(|_| {
        loop {
            let port = NEXT_PORT.fetch_add(1, Ordering::Relaxed);
            assert!(
                port < PORTS_END,
                "no free port from {PORTS_START} to {PORTS_END}; end other processes that use them"
            );
            if let Ok(listener) = TcpListener::bind(("127.0.0.1", port)) {
                return listener.local_addr().unwrap();
            }
        }
    })
}

/// Returns an idempotency key that has not been used before.
pub fn new_key() -> String {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    let n = NEXT_KEY.fetch_add(1, Ordering::Relaxed);
    format!("{}-{:x}x{n:08}", now.as_secs(), now.subsec_nanos())
}

/// Polls `check` until it returns true. Panics after [`WAIT_TIMEOUT`]; the
/// message names the `condition`.
pub async fn eventually<F>(condition: &str, check: F)
where
    F: AsyncFn() -> bool,
{
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !check().await {
        assert!(
            Instant::now() < deadline,
            "timed out after {WAIT_TIMEOUT:?} waiting until {condition}"
        );
        time::sleep(Duration::from_millis(100)).await;
    }
}
