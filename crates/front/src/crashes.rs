//! Confirmation and publication of crashes of backend servers; see `chervil_route::crashes`.

use std::io::ErrorKind;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::digest;
use chervil_base::value;
use chervil_route::crashes::CRASH_RETENTION;
use chervil_route::crashes::CrashRecord;
use chervil_route::crashes::Evidence;
use chervil_route::crashes::Sighting;
use chervil_route::fleet::BackendKey;
use chervil_route::watch::Abandoned;
use tokio::sync::Notify;
use tokio::time;

use crate::attempt;
use crate::core::Core;
use crate::logs::Category;
use crate::outgoing::Outgoing;
use crate::registry;
use crate::registry::Registry;
use crate::state::Choice;
use crate::watch;
use crate::watch::Watched;

/// Delay before probing a backend server that closed or reset a connection before
/// its reply: a crashed one has closed its port by then, and takes seconds to
/// restart.
const PROBE_DELAY: Duration = Duration::from_millis(50);

/// Timeout of that probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(250);

/// Interval at which a confirmation checks whether the links are back.
const LINK_POLL: Duration = Duration::from_millis(100);

/// Longest wait for the links, and for the registry to show that an instance has ended:
/// several times the lifetime of an entry.
const EVIDENCE_TIMEOUT: Duration = Duration::from_secs(12);

/// Most requests that one crash is counted against. Servers execute fewer at a time.
const MAX_SUSPECTS: usize = 64;

/// Time over which records are collected, so that one call publishes those of a server.
const PUBLISH_DELAY: Duration = Duration::from_millis(100);

/// Time after which a call to the registry counts as failed: its connection may be silent for
/// good.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pause after a call to the registry that failed.
const RETRY_PAUSE: Duration = Duration::from_millis(500);

/// Longest time for which a host that stops waits for these calls: the delay, and a call to a slow
/// registry.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(500);

/// Interval at which it checks whether they are done.
const FLUSH_POLL: Duration = Duration::from_millis(10);

/// Most records in one call to the registry.
const MAX_RECORDS_PER_CALL: usize = 16;

/// Most records that wait for the registry. The oldest ones are dropped: they expire first.
const MAX_UNPUBLISHED: usize = 256;

/// Requests that were lost with a connection, and crash records to publish.
#[derive(Debug, Default)]
pub struct Suspects {
    /// Servers whose crash is being confirmed, with the requests whose answers were awaited.
    by_server: Mutex<HashMap<BackendKey, Vec<Abandoned<Watched>>>>,
    unpublished: Mutex<Vec<CrashRecord>>,
    wanted: Notify,
}

value! {
    /// An instance of a backend server that may crash.
    pub struct Instance {
        /// Key in the fleet.
        pub key: BackendKey,
        /// Instance id.
        pub id: Box<str>,
        /// Address for requests.
        pub address: SocketAddr,
        /// Most connections that this host may have open to it.
        pub max_connections: usize,
        /// Time of its start, if announced.
        pub started_at_ms: Option<u64>,
    }
}

impl Suspects {
    /// Whether the crash of any server is being confirmed.
    pub fn is_confirming(&self) -> bool {
        !lock(&self.by_server).is_empty()
    }

    /// Takes the requests that wait for the confirmation of a crash.
    pub fn take_unconfirmed(&self) -> Vec<(BackendKey, Abandoned<Watched>)> {
        let by_server = std::mem::take(&mut *lock(&self.by_server));
        let with_server = |(key, lost): (BackendKey, Vec<Abandoned<Watched>>)| {
            lost.into_iter().map(move |lost| (key, lost))
        };
        by_server.into_iter().flat_map(with_server).collect()
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Identifies repetitions of a request on all hosts: same method, path and body, and the same
/// address of the caller, if it is known.
pub fn request_digest(outgoing: &Outgoing, caller: Option<IpAddr>) -> u64 {
    let line = outgoing.head.split(|b| *b == b'\r').next().unwrap_or_default();
    let caller = caller.map_or_else(String::new, |c| c.to_string());
    let text = format!("{caller} {}", String::from_utf8_lossy(line));
    digest::request_digest(&text, &outgoing.body)
}

impl Instance {
    /// The instance that was chosen for an attempt.
    pub fn of(core: &Core, choice: &Choice) -> Instance {
        let started_at_ms = core.state().fleet.get(choice.key).and_then(|b| b.entry.started_at_ms);
        Instance {
            key: choice.key,
            id: choice.id.clone(),
            address: choice.address,
            max_connections: choice.max_connections,
            started_at_ms,
        }
    }

    /// The instance with this id, if it is listed and has this start time.
    pub fn listed(core: &Core, id: &str, started_at_ms: Option<u64>) -> Option<Instance> {
        let state = core.state();
        let key = state.fleet.key(id)?;
        let entry = &state.fleet.get(key)?.entry;
        (entry.started_at_ms == started_at_ms).then(|| Instance {
            key,
            id: id.into(),
            address: entry.address,
            max_connections: state.connection_limit(&entry.service),
            started_at_ms,
        })
    }
}

/// Starts to confirm that a backend server crashed which closed or reset a connection before
/// its reply. The disconnect alone proves nothing, as connections break for many other reasons.
pub fn suspect(core: &Arc<Core>, choice: &Choice, lost: Option<Abandoned<Watched>>) {
    confirm(core, Instance::of(core, choice), lost);
}

/// Starts to confirm that a backend server crashed to which no link is open, and that may be
/// executing requests nobody waits for.
pub fn suspect_server(core: &Arc<Core>, instance: Instance) {
    confirm(core, instance, None);
}

/// Whether the crash of a backend server is being confirmed.
pub fn is_suspected(core: &Core, key: BackendKey) -> bool {
    lock(&core.suspects.by_server).contains_key(&key)
}

/// Starts to confirm the crash of an instance, unless that is in progress. If it has crashed, this
/// counts against `lost` and against all requests that it may have been executing. If not, it may be
/// executing `lost` still, and is watched.
fn confirm(core: &Arc<Core>, instance: Instance, lost: Option<Abandoned<Watched>>) {
    let mut by_server = lock(&core.suspects.by_server);
    if let Some(waiting) = by_server.get_mut(&instance.key) {
        if waiting.len() < MAX_SUSPECTS {
            waiting.extend(lost);
        }
        return;
    }
    by_server.insert(instance.key, lost.into_iter().collect());
    drop(by_server);
    let core = core.clone();
    tokio::spawn(async move {
        let crashed = collect_evidence(&core, &instance).await.shows_crash();
        let waiting = lock(&core.suspects.by_server).remove(&instance.key).unwrap_or_default();
        if !crashed {
            for lost in waiting {
                watch::insert(&core, instance.clone(), lost);
            }
            return;
        }
        for lost in waiting {
            record(&core, &instance, &lost.request, Sighting::Awaited);
        }
        for Abandoned { request, sent_at, .. } in core.watches.take(instance.key) {
            record(&core, &instance, &request, Sighting::AbandonedSince(sent_at));
        }
    });
}

/// Collects evidence on whether an instance has crashed, until the links of this host are not in
/// doubt. If they were lost, only the registry can tell.
async fn collect_evidence(core: &Arc<Core>, instance: &Instance) -> Evidence {
    time::sleep(PROBE_DELAY).await;
    let mut evidence = Evidence { refuses: refuses(core, instance).await, ..Evidence::default() };
    let start = core.now();
    while evidence.refuses && core.now().duration_since(start) < EVIDENCE_TIMEOUT {
        evidence.links_lost |= core.has_lost_links();
        evidence.has_ended = core.state().fleet.get(instance.key).is_none();
        if !core.has_links_in_doubt() && evidence.shows_crash() {
            break;
        }
        time::sleep(LINK_POLL).await;
    }
    evidence
}

/// Whether the port of an instance refuses connections. One that is accepted is kept, if the
/// instance is still listed.
async fn refuses(core: &Arc<Core>, instance: &Instance) -> bool {
    let is_listed = core.state().fleet.get(instance.key).is_some();
    let permit = is_listed.then(|| core.pools().try_permit(instance.key, instance.max_connections));
    let permit = permit.flatten();
    match time::timeout(PROBE_TIMEOUT, attempt::connect(instance.address)).await {
        Ok(Ok(stream)) => {
            if let Some(permit) = permit {
                core.keep_connection(instance.key, stream, permit);
            }
            false
        }
        Ok(Err(error)) => error.kind() == ErrorKind::ConnectionRefused,
        Err(_) => false,
    }
}

/// Counts the crash of an instance against a request, unless enough of them count against it
/// since its caller sent it.
fn record(core: &Core, instance: &Instance, request: &Watched, sighting: Sighting) {
    if !request.losses.count_crash() {
        return;
    }
    let start = instance.started_at_ms.unwrap_or_default();
    let server = digest::stable_hash(&format!("{} {start}", instance.id));
    let (digest, now) = (request.digest, core.now());
    let mut state = core.state();
    let Some(record) = state.crashes.record_crash(digest, server, sighting, now) else { return };
    let crashes = state.crashes.count(digest);
    drop(state);
    core.metrics.count("crashes.seen");
    let awaited = sighting == Sighting::Awaited;
    if core.log_limiter.allows(Category::Notable, now) {
        spdlog::warn!(
            "backend refuses connections after losing a request; crash counted against the request",
            kv: { request = digest, backend = &*instance.id, crashes, awaited }
        );
    }
    let mut unpublished = lock(&core.suspects.unpublished);
    if unpublished.len() >= MAX_UNPUBLISHED {
        unpublished.remove(0);
        core.metrics.count("crashes.unpublished");
    }
    unpublished.push(record);
    drop(unpublished);
    core.suspects.wanted.notify_one();
}

/// Waits until the crashes that this host has seen are written. For a host that stops.
pub async fn flush(core: &Core) {
    let end = time::Instant::now() + FLUSH_TIMEOUT;
    let unwritten = || lock(&core.suspects.unpublished).len();
    while unwritten() > 0 && time::Instant::now() < end {
        time::sleep(FLUSH_POLL).await;
    }
    let records = unwritten();
    if records > 0 {
        core.metrics.add("crashes.unpublished", records as u64);
        spdlog::warn!(
            "crashes of backend servers are not in the registry; other hosts do not know them",
            kv: { records }
        );
    }
}

/// Writes the crashes that this host sees to the registry, from which all hosts learn them and
/// which keeps them while hosts restart.
pub async fn publish(core: Arc<Core>, registry: Arc<dyn Registry>) {
    loop {
        core.suspects.wanted.notified().await;
        time::sleep(PUBLISH_DELAY).await;
        loop {
            let records: Vec<CrashRecord> = lock(&core.suspects.unpublished)
                .iter()
                .take(MAX_RECORDS_PER_CALL)
                .copied()
                .collect();
            if records.is_empty() {
                break;
            }
            let call = registry.record_crashes(&records, CRASH_RETENTION);
            match registry::within(CALL_TIMEOUT, call).await {
                Ok(()) => lock(&core.suspects.unpublished).retain(|r| !records.contains(r)),
                Err(error) => {
                    core.metrics.count("crashes.unwritten");
                    let error = error.to_string();
                    spdlog::warn!(
                        "cannot write crashes of backend servers to the registry; retrying in {RETRY_PAUSE:?}",
                        kv: { error = error.as_str(), records = records.len() }
                    );
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}
