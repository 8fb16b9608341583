//! Watch over backend servers that may be executing requests nobody waits for; see
//! `chervil_route::watch`.
//!
//! The connection of such a request is closed. That the server crashes shows in another
//! connection to it: an idle one in the pool, or one that is opened in place of the closed one and
//! kept for later requests.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_route::fleet::BackendKey;
use chervil_route::peers::FORMAT_WITH_WATCHES;
use chervil_route::watch::Abandoned;
use chervil_route::watch::ConnectBudget;
use chervil_route::watch::LinkState;
use chervil_route::watch::MAX_WATCH_TIME;
use chervil_route::watch::Observation;
use chervil_route::watch::Presence;
use chervil_route::watch::ServerWatch;
use chervil_route::watch::Step;
use chervil_route::watch::WatchList;
use tokio::sync::Notify;
use tokio::time;

use crate::core::AbandonedRequest;
use crate::core::Core;
use crate::core::Reports;
use crate::crashes;
use crate::crashes::Instance;
use crate::logs::Category;
use crate::losses::Losses;
use crate::peers::PeerClients;
use crate::registry::RegistryError;
use crate::state::Choice;

/// Interval at which the links to servers are checked. A crashed one takes seconds to restart.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Most requests that a host which stops passes on: 128 KiB in a report.
const MAX_HANDED_OVER: usize = 1_024;

/// Most hosts to which a host that stops offers what it knows: more than stop at the same time.
const MAX_HAND_OVER_OFFERS: usize = 16;

/// Most of them that may stay silent.
const MAX_SILENT_OFFERS: usize = 3;

/// Longest time for which a host that stops waits for attempts that are dropped soon, and for
/// crashes that are being confirmed.
const SETTLE_TIMEOUT: Duration = Duration::from_millis(400);

/// Interval at which it checks that.
const SETTLE_POLL: Duration = Duration::from_millis(10);

/// Time for which a server without a link is watched after the deadline of its last request.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(5);

/// A request that nobody waits for.
#[derive(Debug)]
pub struct Watched {
    /// Identifies repetitions of the request by its caller.
    pub digest: u64,
    /// Shared by all attempts.
    pub losses: Arc<Losses>,
}

/// Requests that nobody waits for, and the servers that may be executing them.
#[derive(Debug, Default)]
pub struct Watches {
    list: Mutex<WatchList<Watched>>,
    servers: Mutex<HashMap<BackendKey, Server>>,
    connects: Mutex<ConnectBudget>,
    /// Wakes the watch when there is a request.
    wanted: Notify,
}

#[derive(Debug)]
struct Server {
    instance: Instance,
    watch: ServerWatch,
}

impl Watches {
    fn list(&self) -> MutexGuard<'_, WatchList<Watched>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn servers(&self) -> MutexGuard<'_, HashMap<BackendKey, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn connects(&self) -> MutexGuard<'_, ConnectBudget> {
        self.connects.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether no request is watched.
    pub fn is_empty(&self) -> bool {
        self.list().is_empty()
    }

    /// Ends the watch at a server and returns its requests, the latest one first.
    pub fn take(&self, key: BackendKey) -> Vec<Abandoned<Watched>> {
        self.list().take(key)
    }
}

/// Watches the server of an attempt that was dropped after the request was sent.
pub fn add(core: &Core, choice: &Choice, abandoned: Abandoned<Watched>) {
    insert(core, Instance::of(core, choice), abandoned);
}

/// Watches an instance that may be executing a request.
pub fn insert(core: &Core, instance: Instance, abandoned: Abandoned<Watched>) {
    let now = core.now();
    let watches = &core.watches;
    if !watches.list().add(instance.key, abandoned) {
        core.metrics.count("crashes.unwatched");
        if core.log_limiter.allows(Category::Notable, now) {
            let backend = &*instance.id;
            spdlog::warn!(
                "too many requests that nobody waits for; a crash may not count against the oldest",
                kv: { backend }
            );
        }
    }
    let key = instance.key;
    watches
        .servers()
        .entry(key)
        .or_insert_with(|| Server { instance, watch: ServerWatch::new(now) });
    watches.wanted.notify_one();
}

/// Waits until late replies have come or their attempts have been dropped, and until crashes are
/// confirmed.
async fn settle(core: &Core) {
    let end = time::Instant::now() + SETTLE_TIMEOUT;
    let is_busy = || core.attempts.running() > 0 || core.suspects.is_confirming();
    while is_busy() && time::Instant::now() < end {
        time::sleep(SETTLE_POLL).await;
    }
}

/// Passes on to another host what a stopping one has observed and not reported yet: its watch, with
/// the requests whose crash is not confirmed, and its next report.
pub async fn hand_over(core: &Core) {
    settle(core).await;
    let mut watched = core.watches.list().take_all();
    watched.extend(core.suspects.take_unconfirmed());
    watched.sort_by_key(|(_, abandoned)| Reverse(abandoned.sent_at));
    let dropped = watched.len().saturating_sub(MAX_HANDED_OVER);
    if dropped > 0 {
        core.metrics.add("crashes.unwatched", dropped as u64);
        spdlog::warn!("too many watched requests to pass on; dropping the oldest", kv: { dropped });
    }
    watched.truncate(MAX_HANDED_OVER);
    let abandoned = describe(core, watched);
    let reports = Reports { abandoned, ..core.take_reports() };
    if reports == Reports::default() {
        return;
    }
    let requests = reports.abandoned.len();
    let hosts: Vec<(Box<str>, SocketAddr)> = {
        let state = core.state();
        let heeding = state.peers.ranked().filter(|(_, p)| p.format >= FORMAT_WITH_WATCHES);
        heeding.take(MAX_HAND_OVER_OFFERS).map(|(host, p)| (host.into(), p.address)).collect()
    };
    let mut peers = PeerClients::new(core);
    let mut silent = 0;
    for (host, address) in hosts {
        match peers.report(address, &reports).await {
            Ok(()) => {
                let host = &*host;
                spdlog::info!("another host watches servers for this one", kv: { host, requests });
                return;
            }
            // It is stopping as well.
            Err(RegistryError::Refused { .. }) => {}
            Err(_) => silent += 1,
        }
        if silent >= MAX_SILENT_OFFERS {
            break;
        }
    }
    core.metrics.add("crashes.unwatched", requests as u64);
    spdlog::warn!(
        "no other host watches servers for this one; their crashes count against no request",
        kv: { requests }
    );
}

/// Describes watched requests for another host. Those at servers that are gone are left out.
fn describe(core: &Core, watched: Vec<(BackendKey, Abandoned<Watched>)>) -> Vec<AbandonedRequest> {
    let now = core.now();
    let state = core.state();
    let describe = |(key, abandoned): (BackendKey, Abandoned<Watched>)| {
        let entry = &state.fleet.get(key)?.entry;
        Some(AbandonedRequest {
            server: entry.id.clone(),
            started_at_ms: entry.started_at_ms,
            digest: abandoned.request.digest,
            age_ms: now.saturating_duration_since(abandoned.sent_at).as_millis() as u64,
            left_ms: abandoned.until.saturating_duration_since(now).as_millis() as u64,
        })
    };
    watched.into_iter().filter_map(describe).collect()
}

/// Takes over the watch of another host that stops. Servers that this host does not know, or knows
/// as other instances, are left out.
pub fn take_over(core: &Core, requests: &[AbandonedRequest]) {
    let now = core.now();
    let mut losses: HashMap<u64, Arc<Losses>> = HashMap::default();
    for request in requests {
        let instance = Instance::listed(core, &request.server, request.started_at_ms);
        let Some(instance) = instance else { continue };
        let losses = losses.entry(request.digest).or_default().clone();
        losses.record_send();
        let age = Duration::from_millis(request.age_ms);
        let abandoned = Abandoned {
            request: Watched { digest: request.digest, losses },
            sent_at: now.checked_sub(age).unwrap_or(now),
            until: now + Duration::from_millis(request.left_ms).min(MAX_WATCH_TIME),
        };
        insert(core, instance, abandoned);
    }
}

/// Checks the servers of abandoned requests while there are any, until the task is dropped.
pub async fn run(core: Arc<Core>) {
    loop {
        core.watches.wanted.notified().await;
        while !core.watches.is_empty() {
            time::sleep(CHECK_INTERVAL).await;
            check_all(&core);
        }
        core.watches.servers().clear();
    }
}

fn check_all(core: &Arc<Core>) {
    let servers = core.watches.list().servers();
    core.watches.servers().retain(|key, _| servers.contains(key));
    // A host without links cannot tell a crashed server from one that it does not reach.
    if !core.has_links_in_doubt() {
        servers.into_iter().for_each(|key| check(core, key));
    }
    let expired = core.watches.list().expire(SILENCE_TIMEOUT, core.now());
    if expired > 0 {
        core.metrics.add("crashes.unwatched", expired as u64);
    }
}

fn check(core: &Arc<Core>, key: BackendKey) {
    let now = core.now();
    let link = core.pools().link_state(key);
    let observation = Observation {
        link,
        presence: presence(core, key, now),
        is_suspected: crashes::is_suspected(core, key),
        has_lost_server: link == LinkState::Closed && has_lost_server(core, key),
    };
    let mut servers = core.watches.servers();
    let Some(server) = servers.get_mut(&key) else { return };
    let step = server.watch.next(observation, &mut core.watches.connects(), now);
    let instance = server.instance.clone();
    drop(servers);
    match step {
        Step::EndSound => {
            let ended = core.watches.list().end_sound(key, now);
            for Abandoned { request, .. } in ended {
                request.losses.record_survivor(core, request.digest);
            }
        }
        Step::Wait => {}
        Step::WaitForConnect => core.metrics.count("crashes.watch_waits"),
        Step::Drop => drop(core.watches.take(key)),
        Step::Connect => {
            core.metrics.count("crashes.watch_connects");
            crashes::suspect_server(core, instance);
        }
    }
}

/// Whether a request that is watched at a server has lost one before.
fn has_lost_server(core: &Core, key: BackendKey) -> bool {
    let digests: Vec<u64> = core.watches.list().requests(key).map(|r| r.digest).collect();
    let state = core.state();
    digests.into_iter().any(|digest| state.crashes.count(digest) > 0)
}

fn presence(core: &Core, key: BackendKey, now: Instant) -> Presence {
    let state = core.state();
    match state.fleet.get(key) {
        None => Presence::Gone,
        Some(backend) if backend.leaving || backend.entry.draining => Presence::Leaving,
        Some(_) if state.fleet.is_at_connection_limit(key, now) => Presence::AtLimit,
        Some(_) => Presence::Present,
    }
}
