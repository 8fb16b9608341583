//! One run of the soak: starts the hosts and stand-ins, injects faults, and
//! measures the recovery.

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

use crate::announcement::Announcement;
use crate::backend::BackendMode;
use crate::caller;
use crate::faults::Fault;
use crate::host::Host;
use crate::operator::Operator;
use crate::operator::REPLICAS_PER_SERVICE;
use crate::platform;
use crate::proxy::LinkMode;
use crate::proxy::Proxy;
use crate::recorder::Recorder;
use crate::recorder::Summary;
use crate::rotation::Rotation;
use crate::store::Store;
use crate::store::StoreMode;

/// Every third host is a large one; with twelve hosts, they are relays for the others.
const LARGE_HOST_INTERVAL: usize = 3;

/// CPU share of the other hosts.
const SMALL_CPU_SHARE: f64 = 0.4;

/// Time after which operators and backend servers write again what a restored store has lost.
const REWRITE_DELAY: Duration = Duration::from_millis(300);

/// Age of the copy from which the store is restored.
const COPY_AGE: Duration = Duration::from_secs(3);

/// Pause that a backend server asks for.
const PAUSE: Duration = Duration::from_millis(1_200);

/// Pause between two faults of the second series in milliseconds: minimum, and exclusive maximum.
const LATER_FAULT_PAUSE_MS: (u64, u64) = (400, 1_400);

/// Time between two stops of a series: shorter than a stop takes.
const SERIES_GAP: Duration = Duration::from_millis(350);

/// Pause between two series.
const SERIES_PAUSE: Duration = Duration::from_millis(1_000);

/// Hosts from which on relays send the queries of others, so that a backend server cannot tell
/// which host a request came from.
const RELAYED_HOSTS: usize = 12;

/// Time before the first host is replaced by one of the other program.
const UPGRADE_DELAY: Duration = Duration::from_secs(2);

/// Log line of a host that cannot read what another one says.
const UNREADABLE: &str = "cannot decode registry events of another host";

/// Rate limit that one backend server names, in requests per second.
const LIMITED_RATE: f64 = 4.0;

/// Number of concurrent callers.
const CALLERS: usize = 16;

/// Time after the period of faults within which the service must recover;
/// callers keep sending requests during it.
const RECOVERY_TIME: Duration = Duration::from_secs(5);

/// Time over which the share of successful requests is measured after the
/// recovery.
const MEASUREMENT_TIME: Duration = Duration::from_secs(2);

/// Minimum share of requests that must succeed after the recovery.
const MIN_SUCCESS_SHARE: f64 = 0.95;

/// Minimum pause between two faults in milliseconds.
const MIN_FAULT_PAUSE_MS: u64 = 50;

/// Exclusive maximum of the pause between two faults in milliseconds.
const MAX_FAULT_PAUSE_MS: u64 = 500;

/// First port that may be given to hosts.
const PORTS_START: u16 = 10_000;

/// End, exclusive, of the ports that may be given to hosts.
const PORTS_END: u16 = 32_000;

/// Distance between the first ports of two soak processes, so that those that
/// run at the same time seldom compete for ports.
const PORT_BLOCK_SIZE: u16 = 300;

/// Number of port blocks, one of which is chosen by process id.
const PORT_BLOCK_COUNT: u32 = 60;

/// Time for which a stopping host still gets new connections: the load balancer
/// takes a host out of rotation after two missed health checks.
const BALANCER_DELAY: Duration = Duration::from_millis(1_500);

/// Time between the restart of a stopped host and its return into rotation.
const RETURN_DELAY: Duration = Duration::from_millis(500);

/// Parameters of a run.
#[derive(Clone, Debug)]
pub struct Options {
    /// Seed of the faults and callers.
    pub seed: u64,
    /// Time during which new faults are injected.
    pub fault_time: Duration,
    /// Number of hosts.
    pub hosts: usize,
    /// Path of the chervillink program.
    pub binary: PathBuf,
    /// Path of the program that the hosts run first, if it is another build. They are
    /// replaced one after the other.
    pub previous: Option<PathBuf>,
    /// Whether backend servers announce that they leave or want a pause, and links to them lose
    /// replies. Not for seeds that failed before these faults existed.
    pub later_faults: bool,
    /// Whether all hosts are stopped in series, again and again, beside the other faults.
    pub stops_in_series: bool,
    /// Directory for settings and logs of the hosts; created if missing.
    pub dir: PathBuf,
}

/// Why a run cannot start.
#[derive(Debug, Snafu)]
pub enum SoakError {
    /// A stand-in or a host cannot be started.
    #[snafu(display(
        "cannot {action}: {source}; check the program's path, free ports and process limits"
    ))]
    Setup {
        /// Step that failed.
        action: &'static str,
        /// Cause of the failure.
        source: io::Error,
    },
}

/// The hosts and stand-ins of a run.
struct Harness {
    store: Store,
    operator: Operator,
    hosts: Vec<Arc<Mutex<Host>>>,
    /// Proxies between each host and the store, by index of the host.
    store_links: Vec<Proxy>,
    rotation: Rotation,
    recorder: Recorder,
}

/// Runs a soak and returns its totals. Violations are part of them; an error means
/// that the run did not start.
pub async fn run(options: &Options) -> Result<Summary, SoakError> {
    let recorder = Recorder::default();
    let harness = Harness::start(options, recorder.clone()).await?;
    let harness = Arc::new(harness);
    let mut rng = SmallRng::seed_from_u64(options.seed);
    time::sleep(Duration::from_secs(1)).await;

    let end = Instant::now() + options.fault_time + RECOVERY_TIME;
    let callers = harness.start_callers(&recorder, &mut rng, end);
    let upgrade = options.previous.is_some().then(|| {
        let harness = harness.clone();
        tokio::spawn(harness.upgrade(options.clone()))
    });
    tokio::join!(
        harness.inject_faults(options, &mut rng),
        harness.inject_later_faults(options),
        harness.stop_in_series(options),
    );
    if let Some(upgrade) = upgrade {
        // Panics are violations of the soak itself.
        upgrade.await.unwrap_or_else(|error| recorder.record_violation(error.to_string()));
    }
    harness.clear_faults();
    callers.join_all().await;

    let measured = Recorder::default();
    let callers = harness.start_callers(&measured, &mut rng, Instant::now() + MEASUREMENT_TIME);
    callers.join_all().await;
    let recovered = measured.finish();
    let share = recovered.answered as f64 / (recovered.answered + recovered.failed).max(1) as f64;
    if share < MIN_SUCCESS_SHARE {
        recorder.record_violation(format!(
            "share of successful requests after the recovery is {share:.2}, \
             must be at least {MIN_SUCCESS_SHARE}"
        ));
    }
    recovered.violations.into_iter().for_each(|v| recorder.record_violation(v));
    harness.check_logs();
    Ok(recorder.finish())
}

impl Harness {
    async fn start(options: &Options, recorder: Recorder) -> Result<Harness, SoakError> {
        let start_stand_ins = SetupSnafu { action: "start the stand-ins" };
        let (store, address) = Store::start().await.context(start_stand_ins)?;
        let operator = Operator::start(store.clone(), &recorder).await.context(start_stand_ins)?;
        std::fs::create_dir_all(&options.dir).context(start_stand_ins)?;
        let ports = free_ports(options.hosts * 3).context(start_stand_ins)?;
        let seed_ports: Vec<u16> = ports.chunks(3).take(3).map(|p| p[2]).collect();
        let mut harness = Harness {
            store,
            operator,
            hosts: Vec::new(),
            store_links: Vec::new(),
            rotation: Rotation::default(),
            recorder,
        };
        for (index, ports) in ports.chunks(3).enumerate() {
            let link = Proxy::start(address).await.context(start_stand_ins)?;
            let name = format!("host-{index}");
            let cpu_share =
                if index.is_multiple_of(LARGE_HOST_INTERVAL) { 1.0 } else { SMALL_CPU_SHARE };
            let settings = platform::host_settings(
                &name,
                [ports[0], ports[1], ports[2]],
                &seed_ports,
                link.address,
                cpu_share,
            );
            let binary = options.previous.as_ref().unwrap_or(&options.binary);
            let host = Host::start(name, ports[0], binary, &options.dir, &settings)
                .context(SetupSnafu { action: "start a host" })?;
            harness.recorder.set_unaware(ports[0], options.previous.is_some());
            harness.rotation.set(ports[0], true);
            harness.hosts.push(Arc::new(Mutex::new(host)));
            harness.store_links.push(link);
        }
        Ok(harness)
    }

    /// Starts callers that send requests until `end`. Their ids have a
    /// random part, so that two groups are unlikely to share request ids.
    fn start_callers(&self, recorder: &Recorder, rng: &mut SmallRng, end: Instant) -> JoinSet<()> {
        let mut callers = JoinSet::new();
        for index in 0..CALLERS {
            let caller_id = index + CALLERS * rng.random_range(1..1_000_000);
            let rng = SmallRng::from_rng(rng);
            callers.spawn(caller::run(
                caller_id,
                self.rotation.clone(),
                recorder.clone(),
                rng,
                end,
            ));
        }
        callers
    }

    /// Injects faults that may overlap: planned changes only in the first half of the time,
    /// any faults in the second one. One backend server names a limit all the time, and with later
    /// faults, one of each quote service denies some of what it runs. Returns when all faults have
    /// ended.
    async fn inject_faults(self: &Arc<Harness>, options: &Options, rng: &mut SmallRng) {
        let (start, mut running) = (Instant::now(), JoinSet::new());
        // Not drawn from `rng`, so that earlier seeds keep their sequence of faults.
        let limited = options.seed as usize % self.operator.replicas.len();
        self.operator.replicas[limited].backend.set_limit(Some(LIMITED_RATE));
        let quotes =
            self.operator.replicas.iter().filter(|r| r.backend.service.starts_with("quote"));
        for replica in quotes.step_by(REPLICAS_PER_SERVICE) {
            replica.backend.set_denies(options.later_faults);
        }
        // The same: with even seeds, the store is restored in the second half of the time.
        let mut restore = options.seed.is_multiple_of(2).then_some(Fault::RestoreStore(COPY_AGE));
        while start.elapsed() < options.fault_time {
            let (hosts, backends) = (self.hosts.len(), self.operator.replicas.len());
            let planned_only = start.elapsed() < options.fault_time / 2;
            let fault = if planned_only {
                Fault::random_planned(rng, hosts, backends)
            } else {
                Fault::random(rng, hosts, backends)
            };
            let duration = Fault::random_duration(rng);
            if !planned_only && let Some(restore) = restore.take() {
                self.recorder.unplanned_fault_until(Instant::now() + duration);
                running.spawn(self.clone().inject(restore, duration));
            }
            if !fault.is_planned() {
                self.recorder.unplanned_fault_until(Instant::now() + duration);
            }
            running.spawn(self.clone().inject(fault, duration));
            time::sleep(Duration::from_millis(
                rng.random_range(MIN_FAULT_PAUSE_MS..MAX_FAULT_PAUSE_MS),
            ))
            .await;
        }
        running.join_all().await;
    }

    /// Injects a second series of faults beside the first one, with draws of its own so that
    /// earlier seeds keep their first one. As there, faults in the first half of the time are
    /// planned ones, so that the bounds on planned changes apply.
    async fn inject_later_faults(self: &Arc<Harness>, options: &Options) {
        let (start, mut running) = (Instant::now(), JoinSet::new());
        let mut rng = SmallRng::seed_from_u64(!options.seed);
        while options.later_faults && start.elapsed() < options.fault_time {
            let fault = Fault::random_later(&mut rng, self.operator.replicas.len());
            let duration = Fault::random_duration(&mut rng);
            let is_possible = if fault.is_planned() {
                options.hosts < RELAYED_HOSTS
            } else {
                start.elapsed() >= options.fault_time / 2
            };
            if is_possible {
                if !fault.is_planned() {
                    self.recorder.unplanned_fault_until(Instant::now() + duration);
                }
                running.spawn(self.clone().inject(fault, duration));
            }
            let (min, max) = LATER_FAULT_PAUSE_MS;
            time::sleep(Duration::from_millis(rng.random_range(min..max))).await;
        }
        running.join_all().await;
    }

    /// Stops all hosts, the next one before the last one is back, so that the load balancer has to
    /// use those that stop.
    async fn stop_in_series(self: &Arc<Harness>, options: &Options) {
        let (start, mut running) = (Instant::now(), JoinSet::new());
        while options.stops_in_series && start.elapsed() < options.fault_time {
            for host in 0..self.hosts.len() {
                running.spawn(self.clone().inject(Fault::StopHost(host), Duration::ZERO));
                time::sleep(SERIES_GAP).await;
            }
            time::sleep(SERIES_PAUSE).await;
        }
        running.join_all().await;
    }

    /// Replaces the hosts one after the other by hosts of the new program, spread over the time
    /// of the faults.
    async fn upgrade(self: Arc<Harness>, options: Options) {
        time::sleep(UPGRADE_DELAY).await;
        let pause = options.fault_time.saturating_sub(UPGRADE_DELAY) / options.hosts as u32;
        for host in 0..self.hosts.len() {
            lock(&self.hosts[host]).set_binary(&options.binary);
            let next = time::Instant::now() + pause;
            self.stop(host).await;
            let port = lock(&self.hosts[host]).port;
            self.recorder.set_unaware(port, false);
            time::sleep_until(next).await;
        }
    }

    /// Records a violation if a host could not read what another one said.
    fn check_logs(&self) {
        for host in &self.hosts {
            let host = lock(host);
            let unreadable = host.log().map(|log| log.matches(UNREADABLE).count());
            match unreadable {
                Ok(0) => {}
                Ok(count) => self.recorder.record_violation(format!(
                    "{} could not read {count} replies of other hosts",
                    host.name
                )),
                Err(error) => self.recorder.record_violation(format!("no log: {error}")),
            }
        }
    }

    /// Injects one fault and undoes it after `duration`.
    async fn inject(self: Arc<Harness>, fault: Fault, duration: Duration) {
        match fault {
            Fault::BackendLink(backend, mode) => {
                self.operator.replicas[backend].proxy.set_mode(mode);
                time::sleep(duration).await;
                self.operator.replicas[backend].proxy.set_mode(LinkMode::Open);
            }
            Fault::Backend(backend, mode) => {
                self.operator.replicas[backend].backend.set_mode(mode);
                time::sleep(duration).await;
                self.operator.replicas[backend].backend.set_mode(BackendMode::Healthy);
            }
            Fault::Store(mode) => {
                self.store.set_mode(mode);
                time::sleep(duration).await;
                self.store.set_mode(StoreMode::Healthy);
            }
            Fault::CompactStore => self.store.compact(),
            Fault::RestoreStore(age) => {
                self.store.set_mode(StoreMode::Unavailable);
                time::sleep(duration).await;
                let lost = self.store.restore(age);
                self.store.set_mode(StoreMode::Healthy);
                time::sleep(REWRITE_DELAY).await;
                for (key, value) in lost {
                    match value {
                        Some(value) => self.store.put(&key, &value),
                        None => self.store.delete(&key),
                    }
                }
                self.recorder.unplanned_fault_until(Instant::now());
            }
            Fault::StoreLink(host, mode) => {
                self.store_links[host].set_mode(mode);
                time::sleep(duration).await;
                self.store_links[host].set_mode(LinkMode::Open);
            }
            Fault::KillHost(host) => self.kill(host, duration).await,
            Fault::KillAllHosts => {
                let kills = (0..self.hosts.len()).map(|h| self.clone().kill_owned(h, duration / 3));
                JoinSet::from_iter(kills).join_all().await;
            }
            Fault::PauseHost(host) => {
                let port = lock(&self.hosts[host]).port;
                self.recorder.host_disturbed(port);
                self.signal(host, Signal::STOP);
                time::sleep(duration).await;
                self.signal(host, Signal::CONT);
                self.recorder.host_disturbed(port);
                self.recorder.unplanned_fault_until(Instant::now());
            }
            Fault::StopHost(host) => self.stop(host).await,
            Fault::ReloadHost(host) => self.signal(host, Signal::HUP),
            Fault::DrainBackend(backend) => {
                let replica = &self.operator.replicas[backend];
                self.operator.drain(replica);
                time::sleep(duration + Duration::from_millis(platform::CHANGE_BOUND_MS)).await;
                self.operator.restore(replica);
            }
            Fault::RemoveBackend(backend) => {
                let replica = &self.operator.replicas[backend];
                self.operator.remove(replica);
                time::sleep(duration + Duration::from_millis(platform::CHANGE_BOUND_MS)).await;
                self.operator.restore(replica);
            }
            Fault::ChangeConfig => self.operator.write_config(),
            Fault::AnnounceLeaving(backend) => {
                let replica = &self.operator.replicas[backend];
                replica.backend.set_announcement(Some(Announcement::Leaving));
                time::sleep(duration + Duration::from_millis(platform::CHANGE_BOUND_MS)).await;
                self.operator.replace(replica);
            }
            Fault::AskForPause(backend) => {
                let server = &self.operator.replicas[backend].backend;
                // Its leaving is not taken back.
                if !server.is_leaving() {
                    server.set_announcement(Some(Announcement::Pause(PAUSE)));
                    time::sleep(duration).await;
                    if !server.is_leaving() {
                        server.set_announcement(None);
                    }
                }
            }
        }
    }

    /// Like `kill`, but owns the harness so that several can run as tasks.
    async fn kill_owned(self: Arc<Harness>, host: usize, downtime: Duration) {
        self.kill(host, downtime).await;
    }

    /// Kills a host and starts it again after `downtime`.
    async fn kill(&self, host: usize, downtime: Duration) {
        lock(&self.hosts[host]).kill();
        time::sleep(downtime).await;
        self.restart(host);
        self.recorder.unplanned_fault_until(Instant::now());
    }

    /// Stops a host gracefully and starts it again. It must exit within the grace
    /// period plus `BALANCER_DELAY` after it has left the rotation, or it is killed;
    /// while the bounds on planned changes apply, that is a violation.
    async fn stop(&self, host: usize) {
        let (port, starts) = {
            let host = lock(&self.hosts[host]);
            (host.port, host.starts)
        };
        let signalled = Instant::now();
        self.signal(host, Signal::TERM);
        time::sleep(BALANCER_DELAY).await;
        self.rotation.set(port, false);
        let end = Instant::now() + Duration::from_secs(platform::GRACE_PERIOD_S) + BALANCER_DELAY;
        loop {
            // Another fault may have restarted the host in the meantime.
            let exited = {
                let mut host = lock(&self.hosts[host]);
                host.starts != starts || matches!(host.has_exited(), Ok(true))
            };
            if exited {
                break;
            }
            if Instant::now() > end {
                if self.recorder.bounds_apply(Instant::now()) {
                    self.recorder.record_violation(format!(
                        "host-{host} still runs {:?} after SIGTERM",
                        signalled.elapsed()
                    ));
                }
                lock(&self.hosts[host]).kill();
                break;
            }
            time::sleep(Duration::from_millis(20)).await;
        }
        self.restart(host);
        time::sleep(RETURN_DELAY).await;
        self.rotation.set(port, true);
    }

    fn signal(&self, host: usize, signal: Signal) {
        if let Err(error) = lock(&self.hosts[host]).signal(signal) {
            eprintln!("chervil-soak: cannot send {signal:?} to host-{host}: {error}");
        }
    }

    /// Starts a host unless it runs.
    fn restart(&self, host: usize) {
        let mut host = lock(&self.hosts[host]);
        self.recorder.host_disturbed(host.port);
        if matches!(host.has_exited(), Ok(true))
            && let Err(error) = host.spawn()
        {
            self.recorder.record_violation(format!(
                "cannot restart {}: {error}; check the program's path and the log directory",
                host.name
            ));
        }
    }

    /// Undoes all faults that are still in force.
    fn clear_faults(&self) {
        self.store.set_mode(StoreMode::Healthy);
        self.store_links.iter().for_each(|l| l.set_mode(LinkMode::Open));
        for replica in &self.operator.replicas {
            replica.proxy.set_mode(LinkMode::Open);
            replica.backend.set_mode(BackendMode::Healthy);
            replica.backend.set_limit(None);
            replica.backend.set_denies(false);
            self.operator.restore(replica);
            self.operator.replace(replica);
        }
        for index in 0..self.hosts.len() {
            self.signal(index, Signal::CONT);
            self.restart(index);
            let port = lock(&self.hosts[index]).port;
            self.rotation.set(port, true);
        }
    }
}

fn lock(host: &Mutex<Host>) -> std::sync::MutexGuard<'_, Host> {
    host.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Returns `count` ports that are free now. They are below the ephemeral port
/// range, so that no outgoing connection takes one before its host binds it.
fn free_ports(count: usize) -> io::Result<Vec<u16>> {
    let first = PORTS_START + (std::process::id() % PORT_BLOCK_COUNT) as u16 * PORT_BLOCK_SIZE;
    let free = (first..PORTS_END).filter(|p| TcpListener::bind(("127.0.0.1", *p)).is_ok());
    let ports: Vec<u16> = free.take(count).collect();
    if ports.len() < count {
        let problem = format!(
            "only {} of {count} ports are free from {first} to {}",
            ports.len(),
            PORTS_END - 1
        );
        return Err(io::Error::new(io::ErrorKind::AddrInUse, problem));
    }
    Ok(ports)
}
