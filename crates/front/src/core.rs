//! State shared by all tasks of a host.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::clock::Clock;
use chervil_base::message;
use chervil_http::memory::ReplyMemory;
use chervil_route::fleet::BackendKey;
use chervil_route::links::Check;
use chervil_route::links::Links;
use chervil_route::pause::PauseDetector;
use chervil_route::server_limit::Announcements;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;

use crate::attempt::RunningAttempts;
use crate::client::Clients;
use crate::crashes::Suspects;
use crate::exchange::Connection;
use crate::logs::LogLimiter;
use crate::metrics::Metrics;
use crate::names::HeaderNames;
use crate::pool::Pools;
use crate::state::CheckTarget;
use crate::state::Choice;
use crate::state::State;
use crate::watch::Watches;

/// Interval at which a request that waits for fresh data checks for them.
const FRESH_DATA_POLL: Duration = Duration::from_millis(20);

message! {
    /// What a host has observed since its last report about backend servers, by id.
    #[derive(Default)]
    pub struct Reports {
        /// Degraded backend servers: attempts at them failed or took too long.
        #[serde(rename = "trouble")]
        pub degraded: HashSet<Box<str>>,
        /// Backend servers that reset new connections, as they do at their
        /// connection limit.
        #[serde(rename = "crowded")]
        pub at_limit: HashSet<Box<str>>,
        /// Rate limits that backend servers named, in requests per second from all hosts.
        #[serde(default)]
        pub limits: HashMap<Box<str>, f64>,
        /// Backend servers whose limits have ended.
        #[serde(default)]
        pub ended_limits: HashSet<Box<str>>,
        /// Start times of backend servers that said that they leave.
        #[serde(default)]
        pub leaving: HashMap<Box<str>, Option<u64>>,
        /// Requests that a host which stops has watched, for the host that gets the report.
        #[serde(default)]
        pub abandoned: Vec<AbandonedRequest>,
    }

    /// A request that nobody waits for and that a backend server may be executing.
    pub struct AbandonedRequest {
        /// Id of the backend server.
        pub server: Box<str>,
        /// Start time of the instance, if announced.
        pub started_at_ms: Option<u64>,
        /// Identifies repetitions of the request by its caller.
        pub digest: u64,
        /// Milliseconds since it was sent.
        pub age_ms: u64,
        /// Milliseconds for which the server may still execute it.
        pub left_ms: u64,
    }
}

/// Inserts an id; allocates only if it is not in the set yet.
fn insert_id(ids: &mut HashSet<Box<str>>, id: &str) {
    if !ids.contains(id) {
        ids.insert(id.into());
    }
}

/// Configuration, state and connection pools of a host.
pub struct Core {
    /// Names of the headers exchanged with callers and backend servers.
    pub names: HeaderNames,
    /// Rate limits of the log lines.
    pub log_limiter: LogLimiter,
    /// Counters and latencies.
    pub metrics: Metrics,
    /// Attempts in progress.
    pub attempts: RunningAttempts,
    /// Requests that may have crashed a backend server.
    pub suspects: Suspects,
    /// Requests that nobody waits for and that backend servers may be executing.
    pub watches: Watches,
    /// Memory of the replies being read.
    pub reply_memory: Arc<ReplyMemory>,
    /// Memory of the replies of other hosts.
    pub call_memory: Arc<ReplyMemory>,
    clock: Arc<dyn Clock>,
    state: Mutex<State>,
    pools: Mutex<Pools>,
    reports: Mutex<Reports>,
    announced: Mutex<Announcements>,
    relays: Mutex<Clients>,
    pause: Mutex<PauseDetector>,
    links: Mutex<Links>,
    /// Wakes the check of the links.
    link_check: Notify,
    /// Whether the links to the backend servers are lost.
    links_lost: watch::Sender<bool>,
    /// Counts the restores of the registry that this host has seen.
    restores: watch::Sender<u64>,
}

impl Core {
    /// Shared state with empty connection pools and nothing to report.
    pub fn new(
        names: HeaderNames,
        log_limiter: LogLimiter,
        metrics: Metrics,
        clock: Arc<dyn Clock>,
        state: State,
    ) -> Core {
        let pools = Mutex::new(Pools::default());
        let reports = Mutex::default();
        let call_memory = Arc::new(ReplyMemory::for_calls());
        let relays = Mutex::new(Clients::new(call_memory.clone()));
        let pause = Mutex::new(PauseDetector::new(clock.boot_time()));
        Core {
            names,
            log_limiter,
            metrics,
            attempts: RunningAttempts::default(),
            suspects: Suspects::default(),
            watches: Watches::default(),
            reply_memory: Arc::default(),
            call_memory,
            clock,
            state: Mutex::new(state),
            pools,
            reports,
            announced: Mutex::default(),
            relays,
            pause,
            links: Mutex::default(),
            link_check: Notify::new(),
            links_lost: watch::Sender::new(false),
            restores: watch::Sender::new(0),
        }
    }

    /// Wakes the subscribers after the state of a registry that was restored from an older
    /// copy has been applied.
    pub fn notify_restored(&self) {
        self.restores.send_modify(|count| *count += 1);
    }

    /// Receiver that changes with each restore of the registry.
    pub fn subscribe_restores(&self) -> watch::Receiver<u64> {
        self.restores.subscribe()
    }

    /// Adds a backend server to the next report as degraded.
    pub fn report_degraded(&self, id: &str) {
        insert_id(&mut self.reports().degraded, id);
    }

    /// Adds a backend server that reset a new connection to the next report, as
    /// being at its connection limit.
    pub fn report_at_connection_limit(&self, id: &str) {
        insert_id(&mut self.reports().at_limit, id);
    }

    /// Records that a backend server has named a rate limit, and adds it to the next report
    /// if it is due.
    pub fn name_limit(&self, id: &str, rate: f64) {
        let now = self.now();
        self.metrics.count("limits.named");
        if self.state().name_limit(id, rate, now) {
            spdlog::info!("backend names a limit", kv: { id, rate });
        }
        if self.announced().announce(id, rate, now) {
            self.reports().limits.insert(id.into(), rate);
        }
    }

    /// Records an answer, to a request that was sent at `sent_at`, that names no limit.
    pub fn lift_limit(&self, key: BackendKey, sent_at: Instant) {
        let now = self.now();
        let mut state = self.state();
        let Some(backend) = state.fleet.get_mut(key) else { return };
        if !backend.limit.lift(sent_at, now) {
            return;
        }
        let id = backend.entry.id.clone();
        drop(state);
        spdlog::info!("backend names no limit any more", kv: { id = &*id });
        self.announced().forget(&id);
        self.reports().ended_limits.insert(id);
    }

    /// Records that a backend server has said in an answer that it leaves, and adds it to the
    /// next report.
    pub fn mark_leaving(&self, key: BackendKey) {
        let now = self.now();
        let mut state = self.state();
        let Some(entry) = state.fleet.get(key).map(|b| &b.entry) else { return };
        let (id, start) = (entry.id.clone(), entry.started_at_ms);
        if state.fleet.mark_leaving(&id, start, now).is_none() {
            return;
        }
        drop(state);
        spdlog::info!("backend says that it leaves", kv: { id = &*id });
        self.metrics.count("servers.leaving");
        self.pools().close_idle(key);
        self.reports().leaving.insert(id, start);
    }

    /// Records that a backend server wants no request of this host for a while.
    pub fn pause_server(&self, key: BackendKey, time: Duration) {
        let now = self.now();
        let paused = self.state().pause_server(key, time, now);
        self.metrics.count("servers.pauses");
        if let Some(id) = paused {
            let ms = time.as_millis() as u64;
            spdlog::info!("backend asks for a pause", kv: { id = &*id, ms });
        }
    }

    fn announced(&self) -> MutexGuard<'_, Announcements> {
        self.announced.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds the reports of another host to the next report.
    pub fn add_reports(&self, reports: &Reports) {
        let mut own = self.reports();
        reports.degraded.iter().for_each(|id| insert_id(&mut own.degraded, id));
        reports.at_limit.iter().for_each(|id| insert_id(&mut own.at_limit, id));
        reports.ended_limits.iter().for_each(|id| insert_id(&mut own.ended_limits, id));
        own.leaving.extend(reports.leaving.iter().map(|(id, start)| (id.clone(), *start)));
        own.limits.extend(reports.limits.iter().map(|(id, rate)| (id.clone(), *rate)));
    }

    /// Takes the reports since the last call.
    pub fn take_reports(&self) -> Reports {
        std::mem::take(&mut *self.reports())
    }

    /// Locks the connections to relays. The guard must not be held across an await.
    pub fn relays(&self) -> MutexGuard<'_, Clients> {
        self.relays.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, Reports> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Marks a backend server as being at its connection limit and closes the
    /// idle connections to it. False if it is unknown or already marked.
    pub fn mark_at_connection_limit(&self, id: &str) -> bool {
        let key = self.state().mark_at_connection_limit(id, self.now());
        if let Some(key) = key {
            self.pools().close_idle(key);
        }
        key.is_some()
    }

    /// Current monotonic time.
    pub fn now(&self) -> Instant {
        self.clock.now()
    }

    /// Time since the machine was started, including time in suspension.
    pub fn boot_time(&self) -> Duration {
        self.clock.boot_time()
    }

    /// Records that the process runs, to detect pauses.
    pub fn tick(&self) {
        let gap = self.pause().tick(self.boot_time(), self.now());
        if let Some(gap) = gap {
            self.metrics.count("pauses");
            spdlog::warn!(
                "the process was paused; waiting for fresh registry data before sending requests",
                kv: { ms = gap.as_millis() as u64 }
            );
        }
    }

    /// Waits until the registry data are not from before a pause of the process, or until
    /// fresh data have not come for a while.
    pub async fn wait_for_fresh_data(&self) {
        self.tick();
        loop {
            let synced_at = self.state().synced_at;
            if !self.pause().must_wait(synced_at, self.now()) {
                return;
            }
            time::sleep(FRESH_DATA_POLL).await;
        }
    }

    /// Records a sign of a backend server: a reply, or an accepted connection.
    pub fn record_sign(&self) {
        if self.links().record_sign(self.now()) {
            spdlog::info!("links to the backend servers are back");
            self.links_lost.send_replace(false);
        }
    }

    /// Records that an attempt which began at `began` has failed, and starts a check of the
    /// links if that puts them in doubt.
    pub fn record_failed_attempt(&self, began: Instant) {
        if self.links().record_failure(began) {
            self.start_link_check();
        }
    }

    /// Records that a reply has not come within the hedge delay, and starts a check of the
    /// links if that puts them in doubt. Returns whether they are: then a hedge would be lost.
    pub fn record_overdue_reply(&self, hedge_delay: Duration) -> bool {
        if self.links().record_overdue(hedge_delay, self.now()) {
            self.start_link_check();
        }
        self.has_links_in_doubt()
    }

    fn start_link_check(&self) {
        self.metrics.count("links.checks");
        self.link_check.notify_one();
    }

    /// Waits until a check of the links is wanted.
    pub async fn link_check_wanted(&self) {
        self.link_check.notified().await;
    }

    /// Backend servers to which a check of the links connects.
    pub fn check_targets(&self) -> Vec<CheckTarget> {
        self.state().check_targets(&self.pools())
    }

    /// Ends a check of the links in which the host connected to servers of these availability
    /// zones.
    pub fn finish_link_check(&self, zones: &[Box<str>]) -> Check {
        let silence = self.link_silence().map_or("none".into(), |s| s.as_millis().to_string());
        let check = self.links().finish_check();
        if check == Check::Lost {
            self.metrics.count("links.lost");
            spdlog::warn!(
                "links to all backend servers are lost; passing requests to other hosts",
                kv: { silent_ms = silence.as_str(), zones = zones.join(" ").as_str() }
            );
            // What this host has seen of the servers since says nothing about them.
            self.reports().degraded.clear();
            self.links_lost.send_replace(true);
        }
        check
    }

    /// Ends a check of the links for which there was no backend server.
    pub fn abandon_link_check(&self) {
        self.links().abandon_check();
        self.links_lost.send_replace(false);
    }

    /// Whether the links to the backend servers are lost.
    pub fn has_lost_links(&self) -> bool {
        self.links().is_lost()
    }

    /// Whether the links to the backend servers are lost or being checked.
    pub fn has_links_in_doubt(&self) -> bool {
        self.links().is_in_doubt()
    }

    /// Receiver that is true while the links to the backend servers are lost.
    pub fn subscribe_links(&self) -> watch::Receiver<bool> {
        self.links_lost.subscribe()
    }

    /// Waits until the links to the backend servers are lost.
    pub async fn links_to_be_lost(&self) {
        let mut lost = self.subscribe_links();
        // Cannot fail: the sender is part of this.
        let _ = lost.wait_for(|lost| *lost).await;
    }

    /// Keeps a new connection to a backend server for later requests.
    pub fn keep_connection(&self, key: BackendKey, stream: TcpStream, permit: Arc<()>) {
        self.record_sign();
        let connection = Connection::new(stream, permit, self.reply_memory.clone(), self.now());
        self.pools().put(key, connection);
    }

    /// Time since the latest sign of any backend server; `None` before the first one.
    pub fn link_silence(&self) -> Option<Duration> {
        self.links().silence(self.now())
    }

    fn links(&self) -> MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pause(&self) -> MutexGuard<'_, PauseDetector> {
        self.pause.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Locks the state. The guard must not be held across an await.
    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Chooses a backend server of a service that is not in `tried`, and starts
    /// an attempt at it whose expected latency is `expected`. None if there is
    /// no usable backend server.
    pub fn choose(
        &self,
        service: &str,
        tried: &[BackendKey],
        expected: Duration,
    ) -> Option<Choice> {
        let now = self.now();
        let mut state = self.state();
        state.choose(service, tried, expected, &self.pools(), now)
    }

    /// Whether a request has crashed too many backend servers to be sent again.
    pub fn is_blocked(&self, digest: u64) -> bool {
        self.state().crashes.is_blocked(digest, self.now())
    }

    /// Spends one extra request of the retry budget of a service. Returns false if the
    /// budget is exhausted.
    pub fn try_spend_retry(&self, service: &str) -> bool {
        let spent = self.state().try_spend_retry(service, self.now());
        self.metrics.count(if spent { "retries.granted" } else { "retries.denied" });
        spent
    }

    /// Locks the connection pools. The guard must not be held across an await.
    pub fn pools(&self) -> MutexGuard<'_, Pools> {
        self.pools.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
