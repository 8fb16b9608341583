//! Following the registry: what a host believes is brought up to date, by the
//! registry itself or by another host that follows it, also through outages.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::Change;
use tokio::time;

use crate::core::Core;
use crate::host::HostSettings;
use crate::journal::Cursor;
use crate::journal::Journal;
use crate::listen::Lifecycle;
use crate::packed::Packed;
use crate::peers::Peers;
use crate::peers::Told;
use crate::registry::Changes;
use crate::registry::Event;
use crate::registry::Registry;
use crate::registry::RegistryError;

/// Time that one call to the registry waits for a change.
const REGISTRY_WAIT: Duration = Duration::from_millis(300);

/// Time after which a call to the registry counts as lost, besides its wait.
const REGISTRY_TIMEOUT: Duration = Duration::from_millis(900);

/// Time that one call to another host waits for news.
const PEER_WAIT: Duration = Duration::from_millis(700);

/// Time after which a call to another host counts as lost, besides its wait.
const PEER_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which a host that did not answer is not asked.
const LOST_PEER_PAUSE: Duration = Duration::from_secs(5);

/// Time for which a host that had only old news is not asked.
const STALE_PEER_PAUSE: Duration = Duration::from_millis(700);

/// Pause between two answers of another host, in which its news collect.
const PEER_PAUSE: Duration = Duration::from_millis(300);

/// First pause after a failed call to the registry; it doubles.
const FIRST_PAUSE: Duration = Duration::from_millis(150);

/// Longest such pause of a host that others ask first.
const LEADING_PAUSE: Duration = Duration::from_millis(1_000);

/// Longest such pause of another host.
const LONGEST_PAUSE: Duration = Duration::from_millis(4_000);

/// Time after the return of the registry in which a missing backend server is
/// kept: the entries of live ones are back within two seconds.
const RETURN_HOLD: Duration = Duration::from_millis(2_300);

/// Time for which a host asks the seeds before the registry when the whole
/// deployment starts for the first time.
const SEED_TIME: Duration = Duration::from_millis(1_500);

/// Pause between two rounds over the seeds.
const SEED_PAUSE: Duration = Duration::from_millis(60);

/// Interval at which the registry is asked for changes, as a share of the time
/// within which a change must be in force.
const READ_SHARE: f64 = 0.2;

/// Age from which news of another host are too old, as a share of that time.
const STALE_SHARE: f64 = 0.45;

/// Interval at which idle connections are looked over.
const PRUNE_INTERVAL: Duration = Duration::from_secs(2);

/// Whom to ask next.
enum Source {
    Registry,
    Peer(Box<str>, SocketAddr),
    Seed(SocketAddr),
    Nobody(Duration),
}

/// Follows the registry for a host.
pub struct Follower {
    core: Arc<Core>,
    registry: Arc<dyn Registry>,
    lifecycle: Arc<Lifecycle>,
    journal: Arc<Journal>,
    peers: Peers,
    seeds: Vec<SocketAddr>,
    early: Option<Instant>,
    turn: usize,
    change: Duration,
    floor: u32,
    cursor: Cursor,
    listed: bool,
    failed: Option<Instant>,
    pause: Duration,
    hold: Option<Instant>,
    leaving: HashSet<Box<str>>,
    leading: bool,
}

impl Follower {
    /// A follower on one of at least `floor` hosts.
    pub fn new(
        core: Arc<Core>,
        registry: Arc<dyn Registry>,
        lifecycle: Arc<Lifecycle>,
        journal: Arc<Journal>,
        settings: &HostSettings,
        floor: u32,
    ) -> Follower {
        let own = settings.peer.address;
        let seeds: Vec<SocketAddr> = settings.seeds.iter().copied().filter(|s| *s != own).collect();
        let asks_seeds = settings.bootstrap && seeds.len() == settings.seeds.len();
        Follower {
            early: asks_seeds.then(|| core.now() + SEED_TIME),
            core,
            registry,
            lifecycle,
            journal,
            peers: Peers::default(),
            seeds,
            turn: 0,
            change: settings.change,
            floor,
            cursor: Cursor::default(),
            listed: false,
            failed: None,
            pause: FIRST_PAUSE,
            hold: None,
            leaving: HashSet::default(),
            leading: true,
        }
    }

    /// Follows the registry until the process ends.
    pub async fn run(mut self) {
        loop {
            let pause = match self.source() {
                Source::Registry => self.read_registry().await,
                Source::Peer(host, address) => self.ask_peer(host, address).await,
                Source::Seed(address) => self.ask_seed(address).await,
                Source::Nobody(pause) => pause,
            };
            self.expire();
            if !pause.is_zero() {
                time::sleep(pause).await;
            }
        }
    }

    fn source(&mut self) -> Source {
        let now = self.core.now();
        let early = self.early.is_some_and(|e| now < e);
        let retry = self.failed.filter(|f| *f > now);
        if !self.listed {
            if !self.seeds.is_empty() && (early || retry.is_some()) {
                self.turn += 1;
                return Source::Seed(self.seeds[self.turn % self.seeds.len()]);
            }
        } else if let Some((host, peer)) = self.core.state().sources.upstream(now) {
            return Source::Peer(host.into(), peer.address);
        }
        match retry {
            Some(at) => Source::Nobody(at.duration_since(now).min(STALE_PEER_PAUSE)),
            None => Source::Registry,
        }
    }

    fn stale(&self) -> Duration {
        self.change.mul_f64(STALE_SHARE)
    }

    async fn read_registry(&mut self) -> Duration {
        let asked = self.core.now();
        let revision = self.cursor.revision;
        let call = async {
            if self.listed {
                self.registry.changes(revision, REGISTRY_WAIT).await
            } else {
                self.registry.list().await
            }
        };
        let lost = RegistryError::Unreachable { reason: "no reply in time".into() };
        let result = time::timeout(REGISTRY_WAIT + REGISTRY_TIMEOUT, call).await;
        match result.unwrap_or(Err(lost)) {
            Ok(changes) => {
                self.returned();
                self.take_registry(changes, asked);
                self.change.mul_f64(READ_SHARE)
            }
            Err(RegistryError::HistoryLost) => {
                spdlog::warn!("registry history lost; listing it again", kv: { revision });
                self.listed = false;
                Duration::ZERO
            }
            Err(error) => {
                self.registry_failed(&error);
                Duration::ZERO
            }
        }
    }

    fn take_registry(&mut self, changes: Changes, asked: Instant) {
        self.journal.advance(changes.revision);
        self.apply(changes.events, !self.listed);
        self.cursor = Cursor { boot: 0, serial: 0, revision: changes.revision };
        self.confirm(asked);
        self.listed = true;
    }

    fn registry_failed(&mut self, error: &RegistryError) {
        self.core.metrics.count("registry.failed");
        let now = self.core.now();
        if self.failed.is_none() {
            let error = error.to_string();
            spdlog::warn!("registry lost", kv: { error = error.as_str() });
        }
        self.failed = Some(now + self.pause);
        let longest = if self.leading { LEADING_PAUSE } else { LONGEST_PAUSE };
        self.pause = (self.pause * 2).min(longest);
    }

    fn returned(&mut self) {
        self.pause = FIRST_PAUSE;
        if self.failed.take().is_some() {
            spdlog::info!("registry back", kv: { revision = self.cursor.revision });
            self.hold = Some(self.core.now() + RETURN_HOLD);
        }
    }

    async fn ask_peer(&mut self, host: Box<str>, address: SocketAddr) -> Duration {
        let result = self.ask(address, PEER_WAIT).await;
        let now = self.core.now();
        let (problem, pause) = match result {
            Ok(told) if self.is_fresh(&told) => {
                self.take_told(told, now);
                return PEER_PAUSE;
            }
            Ok(_) => ("old news", STALE_PEER_PAUSE),
            Err(_) => ("no answer", LOST_PEER_PAUSE),
        };
        spdlog::info!("host not asked for a while", kv: { host = &*host, problem });
        self.core.state().sources.avoid(&host, now + pause);
        Duration::ZERO
    }

    /// Asks a seed for everything. While the registry is away, old news are
    /// better than none.
    async fn ask_seed(&mut self, address: SocketAddr) -> Duration {
        let result = self.ask(address, Duration::ZERO).await;
        let now = self.core.now();
        match result {
            Ok(told)
                if !told.events.is_empty() && (self.is_fresh(&told) || self.failed.is_some()) =>
            {
                spdlog::info!("registry learned from a seed", kv: {
                    seed = address.to_string().as_str(),
                    age_ms = told.age_ms.unwrap_or(u64::MAX),
                });
                self.take_told(told, now);
                Duration::ZERO
            }
            Ok(_) | Err(_) => SEED_PAUSE,
        }
    }

    async fn ask(&mut self, address: SocketAddr, wait: Duration) -> Result<Told, RegistryError> {
        let stale = self.stale();
        let call = self.peers.ask(address, self.cursor, wait, stale);
        let lost = RegistryError::Unreachable { reason: "no reply in time".into() };
        time::timeout(wait + PEER_TIMEOUT, call).await.unwrap_or(Err(lost))
    }

    fn is_fresh(&self, told: &Told) -> bool {
        let young = told.age_ms.is_some_and(|a| Duration::from_millis(a) < self.stale());
        young && told.cursor.revision >= self.cursor.revision
    }

    fn take_told(&mut self, told: Told, now: Instant) {
        let events: Result<Vec<Event>, _> = told.events.into_iter().map(Packed::unpack).collect();
        let events = match events {
            Ok(events) => events,
            Err(error) => {
                let error = error.to_string();
                spdlog::error!("news of a host unreadable", kv: { error = error.as_str() });
                return;
            }
        };
        self.journal.advance(told.cursor.revision);
        self.apply(events, told.full);
        self.cursor = told.cursor;
        self.listed = true;
        let age = told.age_ms.map(Duration::from_millis);
        if let Some(confirmed) = age.and_then(|a| now.checked_sub(a)) {
            self.confirm(confirmed);
        }
    }

    fn confirm(&self, at: Instant) {
        self.journal.confirm(at);
        let mut state = self.core.state();
        state.confirmed = state.confirmed.max(Some(at));
    }

    fn apply(&mut self, events: Vec<Event>, full: bool) {
        if full {
            self.forget_missing(&events);
        }
        for event in events {
            self.take_in(event);
        }
        if full {
            let state = self.core.state();
            spdlog::info!("registry listed", kv: {
                backends = state.fleet.len(),
                hosts = state.sources.count(),
            });
        }
        let state = self.core.state();
        if state.config.is_some() && !state.fleet.is_empty() {
            self.lifecycle.begin();
        }
    }

    /// Treats what a full list lacks as gone.
    fn forget_missing(&mut self, events: &[Event]) {
        let now = self.core.now();
        let servers: HashSet<&str> = events.iter().filter_map(server_id).collect();
        let zones: HashSet<&str> = events.iter().filter_map(evacuated_zone).collect();
        let mut state = self.core.state();
        let known = state.fleet.ids().filter(|id| !servers.contains(id));
        let gone: Vec<Box<str>> = known.map(Box::from).collect();
        let out = state.fleet.evacuated_zones().iter().filter(|z| !zones.contains(&***z));
        let restored: Vec<Box<str>> = out.cloned().collect();
        state.sources.mark_all_lapsed(now);
        drop(state);
        gone.into_iter().for_each(|id| self.server_gone(id));
        restored.into_iter().for_each(|zone| self.evacuate(zone, false));
    }

    fn take_in(&mut self, event: Event) {
        match event {
            Event::Config(config) => {
                let (version, routes) = (config.version, config.routes.len());
                if self.core.state().adopt((*config).clone()) {
                    spdlog::info!("configuration adopted", kv: { version, routes });
                    self.tell(&Event::Config(config));
                }
            }
            Event::Evacuated(zone) => self.evacuate(zone, true),
            Event::Restored(zone) => self.evacuate(zone, false),
            Event::Server(entry) => self.server(*entry),
            Event::ServerGone(id) => self.server_gone(id),
            Event::Host(host, peer) => {
                let mut state = self.core.state();
                if !state.sources.listed().any(|(h, p)| h == &*host && p == peer) {
                    state.sources.insert(host.clone(), peer);
                    self.tell(&Event::Host(host, peer));
                }
                let count = state.sources.count().max(self.floor);
                state.set_hosts(count);
            }
            Event::HostGone(host) => {
                self.core.state().sources.mark_lapsed(&host, self.core.now());
                self.tell(&Event::HostGone(host));
            }
            Event::Trouble(id) => {
                self.core.state().avoid(&id, self.core.now());
                self.tell(&Event::Trouble(id));
            }
            Event::Crowded(id) => {
                if self.core.crowd(&id) {
                    self.tell(&Event::Crowded(id));
                }
            }
            Event::Unreadable { key, reason } => {
                spdlog::warn!("registry value unreadable", kv: { key = &*key, reason = &*reason });
            }
        }
    }

    /// Keeps an event for the hosts that ask this one.
    fn tell(&self, event: &Event) {
        if self.leading {
            self.journal.push(event);
        }
    }

    fn server(&mut self, entry: BackendEntry) {
        self.leaving.remove(&entry.id);
        let now = self.core.now();
        let change = self.core.state().fleet.upsert(entry.clone(), now);
        match change {
            Change::Unchanged => return,
            Change::Replaced(old) => self.core.pools().remove(old),
            Change::Added(_) | Change::Updated => {}
        }
        spdlog::debug!("backend changed", kv: { id = &*entry.id, draining = entry.draining });
        self.tell(&Event::Server(Box::new(entry)));
    }

    fn evacuate(&mut self, zone: Box<str>, out: bool) {
        let mut state = self.core.state();
        let mut zones = state.fleet.evacuated_zones().clone();
        let changed = if out { zones.insert(zone.clone()) } else { zones.remove(&zone) };
        if !changed {
            return;
        }
        state.fleet.set_evacuated_zones(zones);
        spdlog::info!("zone changed", kv: { zone = &*zone, evacuated = out });
        let event = if out { Event::Evacuated(zone) } else { Event::Restored(zone) };
        self.tell(&event);
    }

    fn server_gone(&mut self, id: Box<str>) {
        if self.hold.is_some() {
            self.leaving.insert(id);
        } else {
            self.forget(id);
        }
    }

    fn forget(&self, id: Box<str>) {
        let key = self.core.state().fleet.remove(&id);
        if let Some(key) = key {
            self.core.pools().remove(key);
            spdlog::info!("backend gone", kv: { id = &*id });
            self.tell(&Event::ServerGone(id));
        }
    }

    /// Ends what has lasted long enough: the hold after an outage and the
    /// memory of hosts that left.
    fn expire(&mut self) {
        let now = self.core.now();
        if self.hold.is_some_and(|h| h <= now) {
            self.hold = None;
            for id in std::mem::take(&mut self.leaving) {
                self.forget(id);
            }
        }
        let mut state = self.core.state();
        state.sources.remove_expired(now);
        let count = state.sources.count().max(self.floor);
        if count != state.hosts() {
            state.set_hosts(count);
        }
        let leading = state.sources.is_upstream();
        if self.leading && !leading {
            self.journal.clear();
        }
        self.leading = leading;
    }
}

fn server_id(event: &Event) -> Option<&str> {
    match event {
        Event::Server(entry) => Some(&entry.id),
        _ => None,
    }
}

fn evacuated_zone(event: &Event) -> Option<&str> {
    match event {
        Event::Evacuated(zone) => Some(zone),
        _ => None,
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
