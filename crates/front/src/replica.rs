//! Application of registry events to the state of a host, which passes them on to the
//! hosts that follow it.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::value;
use chervil_route::config::Config;
use chervil_route::config::ConfigDelta;
use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::Change;
use chervil_route::history::Position;
use chervil_route::restore::Restoration;

use crate::core::Core;
use crate::journal::Journal;
use crate::listen::Lifecycle;
use crate::registry::Event;

/// Time after an outage of the registry for which removals of backend servers
/// are held back: their entries expire during the outage, and the live ones
/// register again within two seconds.
const REMOVAL_HOLD: Duration = Duration::from_millis(2_300);

/// Heartbeats after which the registry removes the entry of a backend server that sends none.
/// An entry of the copy whose backend server is gone is removed by then.
const ENTRY_LIFETIME_HEARTBEATS: u32 = 3;

/// Source of events that this host reads itself.
pub const REGISTRY: &str = "registry";

value! {
    /// Events from one source.
    pub struct Batch {
        /// Host that sent them, or [`REGISTRY`].
        pub source: Box<str>,
        /// Position in the registry's history up to which they reach.
        pub position: Position,
        /// Events, oldest first.
        pub events: Vec<Event>,
        /// Whether they are the complete state.
        pub full: bool,
    }
}

/// Applies events to the state of a host.
pub struct Replica {
    core: Arc<Core>,
    lifecycle: Arc<Lifecycle>,
    journal: Arc<Journal>,
    min_hosts: u32,
    /// Interval at which backend servers renew their entries; zero if unknown.
    heartbeat: Duration,
    restoration: Restoration,
    /// Time until which removals of backend servers are held back.
    hold_until: Option<Instant>,
    /// Backend servers to remove at the end of the hold.
    held_removals: HashSet<Box<str>>,
    /// Whether all events of the current list could be applied.
    is_complete: bool,
    /// Whether a full state was applied before the current list.
    has_state: bool,
    /// Host that sent the current list, or [`REGISTRY`]; for the log.
    source: Box<str>,
    /// Position of the current list; for the log.
    position: Position,
}

impl Replica {
    /// Replica that counts at least `min_hosts` hosts in the deployment.
    pub fn new(
        core: Arc<Core>,
        lifecycle: Arc<Lifecycle>,
        journal: Arc<Journal>,
        min_hosts: u32,
        heartbeat: Duration,
    ) -> Replica {
        Replica {
            core,
            lifecycle,
            journal,
            min_hosts,
            heartbeat,
            restoration: Restoration::default(),
            hold_until: None,
            held_removals: HashSet::default(),
            is_complete: true,
            has_state: false,
            source: REGISTRY.into(),
            position: Position::default(),
        }
    }

    /// Host that sent the latest events, or [`REGISTRY`].
    pub fn source(&self) -> &str {
        &self.source
    }

    /// Holds back removals of backend servers, because the registry is back since `back_at` at
    /// the latest after an outage.
    pub fn hold_removals(&mut self, back_at: Instant) {
        let until = back_at + REMOVAL_HOLD;
        let ms = until.saturating_duration_since(self.core.now()).as_millis() as u64;
        if ms == 0 {
            return;
        }
        self.hold_until = self.hold_until.max(Some(until));
        spdlog::info!(
            "holding back removals of backend servers after an outage of the registry",
            kv: { ms, held = self.held_removals.len() }
        );
    }

    /// Withholds what a restored registry takes back until it had time to become complete.
    fn begin_restoration(&mut self) {
        let time = REMOVAL_HOLD + self.heartbeat * ENTRY_LIFETIME_HEARTBEATS;
        self.restoration.begin(time, self.core.now());
        spdlog::warn!(
            "registry was restored from an older copy; keeping to what it no longer states for a while",
            kv: { ms = time.as_millis() as u64, era = self.position.era }
        );
        self.hold_removals(self.core.now());
    }

    /// Whether the state of this host is that of the registry at the position of the latest
    /// events: nothing is held back, and all events could be applied.
    pub fn is_settled(&self) -> bool {
        self.hold_until.is_none() && !self.restoration.is_withholding() && self.is_complete
    }

    /// Ends the holds on removals and on what a restored registry took back when they are
    /// over, removes hosts whose entries lapsed long ago, and updates the division of limits
    /// among the hosts.
    pub fn expire(&mut self, now: Instant) {
        if self.hold_until.is_some_and(|until| until <= now) {
            self.hold_until = None;
            let held = std::mem::take(&mut self.held_removals);
            spdlog::info!("applying held removals of backend servers", kv: { held = held.len() });
            for id in held {
                self.remove_server(id);
            }
        }
        if let Some(withheld) = self.restoration.finish(now) {
            let (entries, zones) = (withheld.entries.len(), withheld.zones.len());
            spdlog::info!("applying what the restored registry states", kv: { entries, zones });
            withheld.entries.into_iter().for_each(|entry| self.upsert_server(entry));
            withheld.zones.into_iter().for_each(|zone| self.set_evacuated(zone, false));
        }
        let mut state = self.core.state();
        state.peers.remove_expired(now);
        state.update_division(self.min_hosts);
    }

    /// Applies events of `source` up to a position; `full` means that they are the
    /// complete state. The host starts to serve once it has a configuration and a backend
    /// server. Returns false if an event builds on a state that this host does not have, so
    /// that it needs the full one.
    pub fn apply_events(&mut self, batch: Batch) -> bool {
        let Batch { source, position, events, full } = batch;
        if *source != *self.source {
            spdlog::info!("registry data from another source", kv: {
                source = &*source,
                previous = &*self.source,
                revision = position.revision,
                era = position.era,
                full,
                events = events.len(),
            });
        }
        let restored = self.has_state && position.era > self.position.era;
        (self.source, self.position) = (source, position);
        if restored {
            self.begin_restoration();
        }
        if full {
            self.restoration.forget_all();
            self.remove_unlisted(&events);
        }
        self.is_complete = true;
        for event in events {
            self.apply_event(event);
        }
        if full {
            let state = self.core.state();
            spdlog::info!("full registry state applied", kv: {
                revision = self.position.revision,
                era = self.position.era,
                backends = state.fleet.len(),
                hosts = state.peers.count(),
            });
        }
        self.has_state = true;
        if restored {
            self.core.notify_restored();
        }
        let state = self.core.state();
        if state.config.is_some() && !state.fleet.is_empty() {
            self.lifecycle.start_serving();
        }
        self.is_complete
    }

    /// Removes what the complete state no longer contains.
    fn remove_unlisted(&mut self, events: &[Event]) {
        let now = self.core.now();
        let servers: HashSet<&str> = events.iter().filter_map(server_id).collect();
        let zones: HashSet<&str> = events.iter().filter_map(evacuated_zone).collect();
        let hosts: HashSet<&str> = events.iter().filter_map(host_name).collect();
        let mut state = self.core.state();
        let known = state.fleet.ids().filter(|id| !servers.contains(id));
        let removed: Vec<Box<str>> = known.map(Box::from).collect();
        let evacuated = state.fleet.evacuated_zones().iter();
        let restored: Vec<Box<str>> =
            evacuated.filter(|z| !zones.contains(&***z)).cloned().collect();
        let listed = state.peers.listed().map(|(host, _)| host);
        let lapsed: Vec<Box<str>> =
            listed.filter(|host| !hosts.contains(host)).map(Box::from).collect();
        lapsed.iter().for_each(|host| state.peers.mark_lapsed(host, now));
        drop(state);
        lapsed.into_iter().for_each(|host| self.journal.push(&Event::HostRemoved(host)));
        removed.into_iter().for_each(|id| self.remove_or_hold(id));
        restored.into_iter().for_each(|zone| self.set_evacuated(zone, false));
    }

    fn apply_event(&mut self, event: Event) {
        match event {
            Event::Config(config) => self.adopt(*config),
            Event::ConfigDelta(delta) => self.apply_config_delta(*delta),
            Event::Evacuated(zone) => self.set_evacuated(zone, true),
            Event::Restored(zone) => self.set_evacuated(zone, false),
            Event::Server(entry) => self.upsert_server(*entry),
            Event::ServerRemoved(id) => self.remove_or_hold(id),
            Event::Host(host, peer) => {
                let mut state = self.core.state();
                if !state.peers.is_listed(&host, &peer) {
                    state.peers.insert(host.clone(), peer.clone());
                    self.journal.push(&Event::Host(host, peer));
                }
                state.update_division(self.min_hosts);
            }
            Event::HostRemoved(host) => {
                self.core.state().peers.mark_lapsed(&host, self.core.now());
                self.journal.push(&Event::HostRemoved(host));
            }
            Event::Degraded(id) => {
                self.core.state().avoid(&id, self.core.now());
                self.journal.push(&Event::Degraded(id));
            }
            Event::AtConnectionLimit(id) => {
                if self.core.mark_at_connection_limit(&id) {
                    self.journal.push(&Event::AtConnectionLimit(id));
                }
            }
            Event::ServerLimit { id, rate } => {
                if self.core.state().name_limit(&id, rate, self.core.now()) {
                    let source = &*self.source;
                    spdlog::info!("another host heard a limit", kv: { id = &*id, rate, source });
                }
                self.journal.push(&Event::ServerLimit { id, rate });
            }
            Event::ServerLimitEnded(id) => {
                self.core.state().end_limit(&id);
                self.journal.push(&Event::ServerLimitEnded(id));
            }
            Event::ServerLeaving { id, started_at_ms } => {
                let now = self.core.now();
                if self.core.state().fleet.mark_leaving(&id, started_at_ms, now).is_some() {
                    let source = &*self.source;
                    spdlog::info!("another host heard that a backend leaves", kv: { id = &*id, source });
                    self.journal.push(&Event::ServerLeaving { id, started_at_ms });
                }
            }
            Event::RequestCrash(record) => {
                let mut state = self.core.state();
                if state.crashes.add(record, self.core.now()) {
                    let crashes = state.crashes.count(record.digest);
                    drop(state);
                    let source = &*self.source;
                    let request = record.digest;
                    spdlog::info!("another host saw a crash", kv: { request, crashes, source });
                }
                self.journal.push(&Event::RequestCrash(record));
            }
            Event::Unreadable { key, reason } => {
                spdlog::warn!(
                    "cannot decode a registry value; correct it in the registry",
                    kv: { key = &*key, reason = &*reason }
                );
            }
        }
    }

    /// Adopts a configuration, unless it is older than the one in force. Other hosts
    /// get what has changed, or all of it if there was none before.
    fn adopt(&self, config: Config) {
        let (version, routes) = (config.version, config.routes.len());
        let mut state = self.core.state();
        let old = state.config.clone();
        if !state.adopt(config) {
            return;
        }
        let new = state.config.clone();
        drop(state);
        spdlog::info!("configuration adopted", kv: { version, routes });
        let Some(new) = new else { return };
        let delta = old.and_then(|old| new.delta_from(&old));
        self.journal.push(&match delta {
            Some(delta) => Event::ConfigDelta(Box::new(delta)),
            None => Event::Config(Box::new((*new).clone())),
        });
    }

    /// Applies a change of the configuration, if it builds on the version in force.
    fn apply_config_delta(&mut self, delta: ConfigDelta) {
        let current = self.core.state().config.clone();
        let version = delta.version;
        if current.as_ref().is_some_and(|c| c.version >= version) {
            return;
        }
        match current.and_then(|c| c.apply(delta)) {
            Some(config) => self.adopt(config),
            None => {
                spdlog::info!(
                    "change of a configuration that this host does not have; requesting all of it",
                    kv: { version }
                );
                self.is_complete = false;
            }
        }
    }

    fn upsert_server(&mut self, entry: BackendEntry) {
        self.held_removals.remove(&entry.id);
        let now = self.core.now();
        if self.restoration.withholds(&entry, &self.core.state().fleet) {
            spdlog::info!("backend entry withheld after a restore", kv: { id = &*entry.id });
            return;
        }
        let change = self.core.state().fleet.upsert(entry.clone(), now);
        let (id, draining) = (&*entry.id, entry.draining);
        match change {
            Change::Unchanged => return,
            Change::Replaced(old) => {
                self.core.pools().remove(old);
                self.log_addition("backend replaced", id, draining);
            }
            Change::Added(_) => self.log_addition("backend added", id, draining),
            Change::Updated => spdlog::debug!("backend entry changed", kv: { id, draining }),
        }
        self.journal.push(&Event::Server(Box::new(entry)));
    }

    /// Logs a backend server that was not in use before. The first full state is logged
    /// as a whole.
    fn log_addition(&self, payload: &'static str, id: &str, draining: bool) {
        if !self.has_state {
            return;
        }
        let source = &*self.source;
        spdlog::info!("{payload}", kv: { id, draining, source, revision = self.position.revision });
    }

    fn set_evacuated(&mut self, zone: Box<str>, evacuated: bool) {
        if evacuated {
            self.restoration.forget_revocation(&zone);
        } else if self.restoration.withholds_revocation(&zone) {
            return;
        }
        let mut state = self.core.state();
        let mut zones = state.fleet.evacuated_zones().clone();
        let changed = if evacuated { zones.insert(zone.clone()) } else { zones.remove(&zone) };
        if !changed {
            return;
        }
        state.fleet.set_evacuated_zones(zones);
        spdlog::info!("zone changed", kv: { zone = &*zone, evacuated });
        let event = if evacuated { Event::Evacuated(zone) } else { Event::Restored(zone) };
        self.journal.push(&event);
    }

    /// Removes a backend server, at the end of the hold if there is one.
    fn remove_or_hold(&mut self, id: Box<str>) {
        self.restoration.forget_entry(&id);
        if self.hold_until.is_some() {
            self.held_removals.insert(id);
        } else {
            self.remove_server(id);
        }
    }

    fn remove_server(&mut self, id: Box<str>) {
        let mut state = self.core.state();
        let entry = state.fleet.entry(&id).cloned();
        let key = state.fleet.remove(&id);
        drop(state);
        if let Some(entry) = entry {
            self.restoration.record_departure(entry, self.core.now());
        }
        if let Some(key) = key {
            self.core.pools().remove(key);
            spdlog::info!("backend gone", kv: { id = &*id });
            self.journal.push(&Event::ServerRemoved(id));
        }
    }
}

fn server_id(event: &Event) -> Option<&str> {
    match event {
        Event::Server(entry) => Some(&entry.id),
        _ => None,
    }
}

fn host_name(event: &Event) -> Option<&str> {
    match event {
        Event::Host(host, _) => Some(host),
        _ => None,
    }
}

fn evacuated_zone(event: &Event) -> Option<&str> {
    match event {
        Event::Evacuated(zone) => Some(zone),
        _ => None,
    }
}
