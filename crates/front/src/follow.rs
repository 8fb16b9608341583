//! Following the registry: what a host believes is brought up to date, also
//! through outages of the registry.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_route::fleet::Change;
use tokio::time;

use crate::core::Core;
use crate::listen::Lifecycle;
use crate::registry::Changes;
use crate::registry::Event;
use crate::registry::Presence;
use crate::registry::Registry;
use crate::registry::RegistryError;

/// Time that one call waits for a change.
const WAIT: Duration = Duration::from_millis(300);

/// Time after which a call counts as lost.
const CALL_TIMEOUT: Duration = Duration::from_millis(900);

/// First pause after a failed call; it doubles up to `LONGEST_PAUSE`.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest pause after failed calls.
const LONGEST_PAUSE: Duration = Duration::from_millis(1_000);

/// Time after the return of the registry in which a missing backend server is
/// kept: the entries of live ones are back within two seconds.
const RETURN_HOLD: Duration = Duration::from_millis(2_300);

/// Time that the entry of a host lasts without renewal.
const PRESENCE_TTL: Duration = Duration::from_secs(15);

/// Interval at which the entry of a host is renewed.
const PRESENCE_RENEWAL: Duration = Duration::from_secs(5);

/// Time for which a host that left the registry still counts, since entries
/// lapse in an outage.
const HOST_MEMORY: Duration = Duration::from_secs(30);

/// Interval at which the registry is asked for changes, as a share of the time
/// within which a change must be in force.
const POLL_SHARE: f64 = 0.45;

/// Interval at which idle connections are looked over.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Follows the registry for a host.
pub struct Follower {
    core: Arc<Core>,
    registry: Arc<dyn Registry>,
    lifecycle: Arc<Lifecycle>,
    poll: Duration,
    revision: Option<u64>,
    trouble: bool,
    hold: Option<Instant>,
    leaving: HashSet<Box<str>>,
    hosts: HashMap<Box<str>, Option<Instant>>,
    floor: u32,
    pause: Duration,
}

impl Follower {
    /// A follower for which changes must be in force within `bound`, on one of
    /// at least `floor` hosts.
    pub fn new(
        core: Arc<Core>,
        registry: Arc<dyn Registry>,
        lifecycle: Arc<Lifecycle>,
        bound: Duration,
        floor: u32,
    ) -> Follower {
        Follower {
            core,
            registry,
            lifecycle,
            poll: bound.mul_f64(POLL_SHARE),
            revision: None,
            trouble: false,
            hold: None,
            leaving: HashSet::default(),
            hosts: HashMap::default(),
            floor,
            pause: FIRST_PAUSE,
        }
    }

    /// Follows the registry until the process ends.
    pub async fn run(mut self) {
        loop {
            let pause = match self.call().await {
                Ok(changes) => {
                    self.returned();
                    self.apply(changes);
                    self.poll
                }
                Err(RegistryError::HistoryLost) => {
                    spdlog::warn!("registry history lost; listing it again");
                    self.revision = None;
                    Duration::ZERO
                }
                Err(error) => self.failed(&error),
            };
            self.expire();
            time::sleep(pause).await;
        }
    }

    async fn call(&self) -> Result<Changes, RegistryError> {
        let call = async {
            match self.revision {
                Some(revision) => self.registry.changes(revision, WAIT).await,
                None => self.registry.list().await,
            }
        };
        let lost = RegistryError::Unreachable { reason: "no reply in time".into() };
        time::timeout(WAIT + CALL_TIMEOUT, call).await.unwrap_or(Err(lost))
    }

    fn failed(&mut self, error: &RegistryError) -> Duration {
        self.core.metrics.count("registry.failed");
        if !self.trouble {
            spdlog::warn!("registry lost", kv: { error = error.to_string().as_str() });
        }
        self.trouble = true;
        let pause = self.pause;
        self.pause = (pause * 2).min(LONGEST_PAUSE);
        pause
    }

    fn returned(&mut self) {
        self.pause = FIRST_PAUSE;
        if std::mem::take(&mut self.trouble) {
            spdlog::info!("registry back", kv: { revision = self.revision.unwrap_or_default() });
            self.hold = Some(self.core.now() + RETURN_HOLD);
        }
    }

    fn apply(&mut self, changes: Changes) {
        let full = self.revision.is_none();
        if full {
            self.forget_missing(&changes.events);
        }
        for event in changes.events {
            self.take_in(event);
        }
        self.revision = Some(changes.revision);
        if full {
            spdlog::info!("registry listed", kv: {
                revision = changes.revision,
                backends = self.core.state().fleet.len(),
                hosts = self.hosts.len(),
            });
        }
        let state = self.core.state();
        if state.config.is_some() && !state.fleet.is_empty() {
            self.lifecycle.begin();
        }
    }

    /// Treats what a full list lacks as gone.
    fn forget_missing(&mut self, events: &[Event]) {
        let listed: HashSet<&str> = events.iter().filter_map(server_id).collect();
        let known: Vec<Box<str>> = self.core.state().fleet.ids().map(Box::from).collect();
        for id in known.into_iter().filter(|id| !listed.contains(&**id)) {
            self.server_gone(id);
        }
        self.core.state().fleet.set_evacuated(HashSet::default());
        let now = self.core.now();
        for seen in self.hosts.values_mut() {
            seen.get_or_insert(now);
        }
    }

    fn take_in(&mut self, event: Event) {
        let now = self.core.now();
        match event {
            Event::Config(config) => {
                let version = config.version;
                let routes = config.routes.len();
                if self.core.state().adopt(*config) {
                    spdlog::info!("configuration adopted", kv: { version, routes });
                }
            }
            Event::Evacuated(zone) => self.evacuate(zone, true),
            Event::Restored(zone) => self.evacuate(zone, false),
            Event::Server(entry) => {
                self.leaving.remove(&entry.id);
                let (id, draining) = (entry.id.clone(), entry.draining);
                let change = self.core.state().fleet.upsert(*entry, now);
                match change {
                    Change::Replaced(old) => self.core.pools().remove(old),
                    Change::Added(_) | Change::Updated(_) => {}
                }
                if !matches!(change, Change::Updated(_)) {
                    spdlog::debug!("backend known", kv: { id = &*id, draining });
                }
            }
            Event::ServerGone(id) => self.server_gone(id),
            Event::Host(host) => {
                self.hosts.insert(host, None);
                self.count_hosts();
            }
            Event::HostGone(host) => {
                self.hosts.insert(host, Some(now));
            }
            Event::Unreadable { key, reason } => {
                spdlog::warn!("registry value unreadable", kv: { key = &*key, reason = &*reason });
            }
        }
    }

    fn evacuate(&mut self, zone: Box<str>, out: bool) {
        spdlog::info!("zone changed", kv: { zone = &*zone, evacuated = out });
        let mut state = self.core.state();
        let mut zones = state.fleet.evacuated().clone();
        if out {
            zones.insert(zone);
        } else {
            zones.remove(&zone);
        }
        state.fleet.set_evacuated(zones);
    }

    fn server_gone(&mut self, id: Box<str>) {
        if self.hold.is_some() {
            self.leaving.insert(id);
        } else {
            self.forget(&id);
        }
    }

    fn forget(&self, id: &str) {
        let key = self.core.state().fleet.remove(id);
        if let Some(key) = key {
            self.core.pools().remove(key);
            spdlog::info!("backend gone", kv: { id });
        }
    }

    /// Ends what has lasted long enough: the hold after an outage and the
    /// memory of hosts that left.
    fn expire(&mut self) {
        let now = self.core.now();
        if self.hold.is_some_and(|h| h <= now) {
            self.hold = None;
            for id in std::mem::take(&mut self.leaving) {
                self.forget(&id);
            }
        }
        let before = self.hosts.len();
        self.hosts.retain(|_, left| left.is_none_or(|l| now.duration_since(l) < HOST_MEMORY));
        if self.hosts.len() != before {
            self.count_hosts();
        }
    }

    fn count_hosts(&self) {
        let count = (self.hosts.len() as u32).max(self.floor);
        self.core.state().set_hosts(count);
    }
}

fn server_id(event: &Event) -> Option<&str> {
    match event {
        Event::Server(entry) => Some(&entry.id),
        _ => None,
    }
}

/// Keeps the entry of this host in the registry.
pub async fn keep_presence(registry: Arc<dyn Registry>, host: Box<str>) {
    let mut presence: Option<Presence> = None;
    loop {
        let result = match presence {
            Some(held) => registry.renew(held).await,
            None => registry.announce(&host, PRESENCE_TTL).await.map(|p| presence = Some(p)),
        };
        if let Err(error) = result {
            spdlog::debug!("presence not kept", kv: { error = error.to_string().as_str() });
            if error == RegistryError::Lapsed {
                presence = None;
                continue;
            }
        }
        time::sleep(PRESENCE_RENEWAL).await;
    }
}

/// Closes connections that have been idle for too long.
pub async fn prune_connections(core: Arc<Core>) {
    loop {
        time::sleep(PRUNE_INTERVAL).await;
        let now = core.now();
        core.pools().prune(now);
    }
}
