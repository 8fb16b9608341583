//! One run of the soak.

use std::io;
use std::net::TcpListener;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use rustix::process::Signal;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::task::JoinSet;
use tokio::time;

use crate::caller;
use crate::caller::Rotation;
use crate::faults::Fault;
use crate::host::Host;
use crate::ledger::Ledger;
use crate::ledger::Sums;
use crate::operator::Operator;
use crate::proxy::Link;
use crate::proxy::Proxy;
use crate::store::Mood;
use crate::store::Store;
use crate::wire;

/// Callers of one run.
const CALLERS: usize = 16;

/// Time after the last fault within which service must be back.
const RECOVERY: Duration = Duration::from_secs(5);

/// Time over which service is measured after the recovery.
const MEASURED: Duration = Duration::from_secs(2);

/// Share of requests that must succeed after the recovery.
const RECOVERED_SHARE: f64 = 0.95;

/// Longest pause between two faults in milliseconds.
const FAULT_PAUSE_MS: u64 = 500;

/// First port that hosts may get.
const FIRST_PORT: u16 = 10_000;

/// End of the ports that hosts may get.
const LAST_PORT: u16 = 32_000;

/// Ports between the first ones of two soaks that run at the same time.
const PORT_BLOCK: u16 = 300;

/// Number of such blocks.
const PORT_BLOCKS: u32 = 60;

/// Time for which a stopping host still gets new connections: the balancer
/// needs two misses.
const BALANCER_DELAY: Duration = Duration::from_millis(1_500);

/// What to run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of faults and callers.
    pub seed: u64,
    /// Time during which faults begin.
    pub time: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Program of a host.
    pub binary: PathBuf,
    /// Folder for settings and logs.
    pub folder: PathBuf,
}

/// Why a run cannot be carried out.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// Something of the surroundings failed.
    #[snafu(display("cannot {what}: {source}; check the program's path and the machine's limits"))]
    Surroundings {
        /// What was tried.
        what: &'static str,
        /// Cause.
        source: io::Error,
    },
}

struct World {
    store: Store,
    operator: Operator,
    hosts: Vec<Arc<Mutex<Host>>>,
    links: Vec<Proxy>,
    rotation: Rotation,
    ledger: Ledger,
}

/// Runs a soak and returns what was seen.
pub async fn run(options: &Options) -> Result<Sums, SoakError> {
    let ledger = Ledger::default();
    let world = World::start(options, ledger.clone()).await?;
    let world = Arc::new(world);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    time::sleep(Duration::from_secs(1)).await;

    let end = Instant::now() + options.time + RECOVERY;
    let callers = world.call(&ledger, &mut rng, end);
    world.disturb(options, &mut rng).await;
    world.heal();
    callers.join_all().await;

    let after = Ledger::default();
    let callers = world.call(&after, &mut rng, Instant::now() + MEASURED);
    callers.join_all().await;
    let sums = after.close();
    let share = sums.answered as f64 / (sums.answered + sums.failed).max(1) as f64;
    if share < RECOVERED_SHARE {
        ledger.violation(format!("only {share:.2} of the requests succeed after the faults"));
    }
    sums.violations.into_iter().for_each(|v| ledger.violation(v));
    Ok(ledger.close())
}

impl World {
    async fn start(options: &Options, ledger: Ledger) -> Result<World, SoakError> {
        let starting = SurroundingsSnafu { what: "start the stand-ins" };
        let (store, address) = Store::start().await.context(starting)?;
        let operator = Operator::start(store.clone(), &ledger).await.context(starting)?;
        std::fs::create_dir_all(&options.folder).context(starting)?;
        let ports = free_ports(options.hosts * 3).context(starting)?;
        let seeds: Vec<u16> = ports.chunks(3).take(3).map(|p| p[2]).collect();
        let mut world = World {
            store,
            operator,
            hosts: Vec::new(),
            links: Vec::new(),
            rotation: Rotation::default(),
            ledger,
        };
        for (index, ports) in ports.chunks(3).enumerate() {
            let link = Proxy::start(address).await.context(starting)?;
            let name = format!("host-{index}");
            let settings =
                wire::settings(&name, [ports[0], ports[1], ports[2]], &seeds, link.address);
            let host = Host::start(name, ports[0], &options.binary, &options.folder, &settings)
                .context(SurroundingsSnafu { what: "start a host" })?;
            world.rotate(ports[0], true);
            world.hosts.push(Arc::new(Mutex::new(host)));
            world.links.push(link);
        }
        Ok(world)
    }

    fn rotate(&self, port: u16, takes: bool) {
        let mut ports = self.rotation.lock().unwrap_or_else(PoisonError::into_inner);
        ports.retain(|p| *p != port);
        if takes {
            ports.push(port);
        }
    }

    fn call(&self, ledger: &Ledger, rng: &mut SmallRng, end: Instant) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            let number = number + CALLERS * rng.random_range(1..1_000_000);
            let rng = SmallRng::from_rng(rng);
            callers.spawn(caller::run(number, self.rotation.clone(), ledger.clone(), rng, end));
        }
        callers
    }

    /// Injects faults in overlapping series: planned changes only in the first
    /// half, anything in the second one.
    async fn disturb(self: &Arc<World>, options: &Options, rng: &mut SmallRng) {
        let (start, mut running) = (Instant::now(), JoinSet::new());
        while start.elapsed() < options.time {
            let (hosts, backends) = (self.hosts.len(), self.operator.members.len());
            let planned = start.elapsed() < options.time / 2;
            let fault = if planned {
                Fault::planned(rng, hosts, backends)
            } else {
                Fault::any(rng, hosts, backends)
            };
            let length = Fault::length(rng);
            if !fault.is_planned() {
                self.ledger.disturbed(Instant::now() + length);
            }
            running.spawn(self.clone().inject(fault, length));
            time::sleep(Duration::from_millis(rng.random_range(50..FAULT_PAUSE_MS))).await;
        }
        running.join_all().await;
    }

    async fn inject(self: Arc<World>, fault: Fault, length: Duration) {
        match fault {
            Fault::Link(backend, link) => {
                self.operator.members[backend].proxy.set(link);
                time::sleep(length).await;
                self.operator.members[backend].proxy.set(Link::Open);
            }
            Fault::Manner(backend, manner) => {
                self.operator.members[backend].backend.set(manner);
                time::sleep(length).await;
                self.operator.members[backend].backend.set(crate::backend::Manner::Well);
            }
            Fault::Mood(mood) => {
                self.store.set_mood(mood);
                time::sleep(length).await;
                self.store.set_mood(Mood::Well);
            }
            Fault::Compact => self.store.compact(),
            Fault::StoreLink(host, link) => {
                self.links[host].set(link);
                time::sleep(length).await;
                self.links[host].set(Link::Open);
            }
            Fault::Kill(host) => self.kill(host, length).await,
            Fault::KillAll => {
                let kills = (0..self.hosts.len()).map(|h| self.clone().kill_one(h, length / 3));
                JoinSet::from_iter(kills).join_all().await;
            }
            Fault::Pause(host) => {
                self.signal(host, Signal::STOP);
                time::sleep(length).await;
                self.signal(host, Signal::CONT);
                self.ledger.disturbed(Instant::now());
            }
            Fault::Stop(host) => self.stop(host).await,
            Fault::Reload(host) => self.signal(host, Signal::HUP),
            Fault::Drain(backend) => {
                let member = &self.operator.members[backend];
                self.operator.drain(member);
                time::sleep(length + Duration::from_millis(wire::CHANGE_MS)).await;
                self.operator.admit(member);
            }
            Fault::Remove(backend) => {
                let member = &self.operator.members[backend];
                self.operator.remove(member);
                time::sleep(length + Duration::from_millis(wire::CHANGE_MS)).await;
                self.operator.admit(member);
            }
            Fault::Configure => self.operator.configure(),
        }
    }

    async fn kill_one(self: Arc<World>, host: usize, length: Duration) {
        self.kill(host, length).await;
    }

    async fn kill(&self, host: usize, length: Duration) {
        lock(&self.hosts[host]).kill();
        time::sleep(length).await;
        self.restart(host);
        self.ledger.disturbed(Instant::now());
    }

    /// Stops a host gracefully and starts it again; it must end in time.
    async fn stop(&self, host: usize) {
        let (port, starts) = {
            let host = lock(&self.hosts[host]);
            (host.port, host.starts)
        };
        self.signal(host, Signal::TERM);
        time::sleep(BALANCER_DELAY).await;
        self.rotate(port, false);
        let end = Instant::now() + Duration::from_secs(wire::GRACE_S) + BALANCER_DELAY;
        loop {
            // Another fault of the same host may have started it again.
            let ended = {
                let mut host = lock(&self.hosts[host]);
                host.starts != starts || matches!(host.has_ended(), Ok(true))
            };
            if ended {
                break;
            }
            if Instant::now() > end {
                if self.ledger.is_calm(Instant::now()) {
                    self.ledger.violation(format!("host-{host} does not end when told to"));
                }
                lock(&self.hosts[host]).kill();
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        self.restart(host);
        time::sleep(Duration::from_millis(500)).await;
        self.rotate(port, true);
    }

    fn signal(&self, host: usize, signal: Signal) {
        if let Err(error) = lock(&self.hosts[host]).signal(signal) {
            eprintln!("chervil-soak: cannot signal host-{host}: {error}");
        }
    }

    fn restart(&self, host: usize) {
        let mut host = lock(&self.hosts[host]);
        if matches!(host.has_ended(), Ok(true))
            && let Err(error) = host.restart()
        {
            self.ledger.violation(format!("{} does not start: {error}", host.name));
        }
    }

    /// Ends all faults.
    fn heal(&self) {
        self.store.set_mood(Mood::Well);
        self.links.iter().for_each(|l| l.set(Link::Open));
        for member in &self.operator.members {
            member.proxy.set(Link::Open);
            member.backend.set(crate::backend::Manner::Well);
            self.operator.admit(member);
        }
        for index in 0..self.hosts.len() {
            self.signal(index, Signal::CONT);
            self.restart(index);
            let port = lock(&self.hosts[index]).port;
            self.rotate(port, true);
        }
    }
}

fn lock(host: &Mutex<Host>) -> std::sync::MutexGuard<'_, Host> {
    host.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Ports that are free now, below the range from which outgoing connections
/// take theirs.
fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let first = FIRST_PORT + (std::process::id() % PORT_BLOCKS) as u16 * PORT_BLOCK;
    let free = (first..LAST_PORT).filter(|p| TcpListener::bind(("127.0.0.1", *p)).is_ok());
    let ports: Vec<u16> = free.take(count).collect();
    if ports.len() < count { Err(io::ErrorKind::AddrInUse.into()) } else { Ok(ports) }
}
