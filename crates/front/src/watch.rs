//! Watch over backend servers that may be executing requests nobody waits for; see
//! `chervil_route::watch`.
//!
//! The connection of such a request is closed. That the server crashes shows in another
//! connection to it: an idle one in the pool, or one that is opened in place of the closed one and
//! kept for later requests.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_route::fleet::BackendKey;
use chervil_route::watch::Abandoned;
use chervil_route::watch::WatchList;
use tokio::sync::Notify;
use tokio::time;

use crate::core::Core;
use crate::crashes;
use crate::crashes::Instance;
use crate::logs::Category;
use crate::losses::Losses;
use crate::pool::LinkState;
use crate::state::Choice;

/// Interval at which the links to servers are checked. A crashed one takes seconds to restart.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Pause after a server did not turn out to have crashed, before it is connected to again.
const CONNECT_PAUSE: Duration = Duration::from_secs(1);

/// Time for which a server without a link is watched after the deadline of its last request.
const PATIENCE: Duration = Duration::from_secs(5);

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
    /// Wakes the watch when there is a request.
    wanted: Notify,
}

#[derive(Debug)]
struct Server {
    instance: Instance,
    /// Time from which it may be connected to.
    connect_at: Instant,
}

impl Watches {
    fn list(&self) -> MutexGuard<'_, WatchList<Watched>> {
        self.list.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn servers(&self) -> MutexGuard<'_, HashMap<BackendKey, Server>> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Ends the watch at a server and returns its requests, the latest one first.
    pub fn take(&self, key: BackendKey) -> Vec<Abandoned<Watched>> {
        self.list().take(key)
    }
}

/// Watches the server of an attempt that was dropped after the request was sent.
pub fn add(core: &Core, choice: &Choice, abandoned: Abandoned<Watched>) {
    let now = core.now();
    let watches = &core.watches;
    if !watches.list().add(choice.key, abandoned) {
        core.metrics.count("crashes.unwatched");
        if core.log_limiter.allows(Category::Notable, now) {
            let id = &*choice.id;
            spdlog::warn!(
                "too many requests that nobody waits for; a crash may not count against the oldest",
                kv: { backend = id }
            );
        }
    }
    let server = || Server { instance: Instance::of(core, choice), connect_at: now };
    watches.servers().entry(choice.key).or_insert_with(server);
    watches.wanted.notify_one();
}

/// Checks the servers of abandoned requests while there are any, until the task is dropped.
pub async fn run(core: Arc<Core>) {
    loop {
        core.watches.wanted.notified().await;
        while !core.watches.list().is_empty() {
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
    let expired = core.watches.list().expire(PATIENCE, core.now());
    if expired > 0 {
        core.metrics.add("crashes.unwatched", expired as u64);
    }
}

fn check(core: &Arc<Core>, key: BackendKey) {
    let now = core.now();
    let state = core.pools().link_state(key);
    match state {
        LinkState::Open => {
            let ended = core.watches.list().end_sound(key, now);
            for Abandoned { request, .. } in ended {
                request.losses.record_survivor(core, request.digest);
            }
        }
        // The attempt that is being executed shows a crash.
        LinkState::Busy => {}
        LinkState::Closed => connect(core, key, now),
    }
}

/// Connects to a server without an open link, unless it leaves as planned. The connection is kept
/// if the server accepts it; if it refuses, this looks for its crash.
fn connect(core: &Arc<Core>, key: BackendKey, now: Instant) {
    let (leaves, at_limit) = {
        let state = core.state();
        let leaves = state.fleet.get(key).is_none_or(|b| b.leaving || b.entry.draining);
        (leaves, state.fleet.is_at_connection_limit(key, now))
    };
    if leaves {
        core.watches.take(key);
        return;
    }
    if at_limit || crashes::is_suspected(core, key) {
        return;
    }
    let mut servers = core.watches.servers();
    let Some(server) = servers.get_mut(&key).filter(|s| s.connect_at <= now) else { return };
    server.connect_at = now + CONNECT_PAUSE;
    let instance = server.instance.clone();
    drop(servers);
    core.metrics.count("crashes.watch_connects");
    crashes::suspect_unwatched(core, instance);
}
