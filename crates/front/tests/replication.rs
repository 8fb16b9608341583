//! Hosts that replicate a registry from each other, in any order of polls, starts, losses and
//! lost histories: each host has the state of the registry at the position that it states.

mod support;

use std::sync::Arc;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_front::core::Core;
use chervil_front::journal::Cursor;
use chervil_front::journal::Journal;
use chervil_front::packed::unpack_list;
use chervil_front::registry::Event;
use chervil_front::replica::Batch;
use chervil_front::replica::REGISTRY;
use chervil_front::replica::Replica;
use chervil_route::history::Position;
use chervil_route::peers::FORMAT;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use serde_json::value::RawValue;

use crate::support::configuration;
use crate::support::core;
use crate::support::journal;
use crate::support::server;

const SEEDS: u64 = 60;

const STEPS: usize = 400;

/// Servers and zones that come and go.
const NAMES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];

/// What a host or the registry states.
#[derive(Debug, Default, PartialEq)]
struct Facts {
    version: u64,
    servers: HashSet<Box<str>>,
    zones: HashSet<Box<str>>,
}

impl Facts {
    fn of(core: &Core) -> Facts {
        let state = core.state();
        Facts {
            version: state.config.as_ref().map_or(0, |c| c.version),
            servers: state.fleet.ids().map(Box::from).collect(),
            zones: state.fleet.evacuated_zones().clone(),
        }
    }

    fn apply(&mut self, event: &Event) {
        match event {
            Event::Config(config) => self.version = config.version,
            Event::Server(entry) => drop(self.servers.insert(entry.id.clone())),
            Event::ServerRemoved(id) => drop(self.servers.remove(id)),
            Event::Evacuated(zone) => drop(self.zones.insert(zone.clone())),
            Event::Restored(zone) => drop(self.zones.remove(zone)),
            other => panic!("the registry of this test has no {other:?}"),
        }
    }

    fn list(&self) -> Vec<Event> {
        let servers = self.servers.iter().map(|id| server(id));
        let zones = self.zones.iter().cloned().map(Event::Evacuated);
        [configuration(self.version)].into_iter().chain(servers).chain(zones).collect()
    }
}

/// Name of the server or zone that an event of a list states.
fn name(event: &Event) -> Option<&str> {
    match event {
        Event::Server(entry) => Some(&entry.id),
        Event::Evacuated(zone) => Some(zone),
        _ => None,
    }
}

/// The registry and its whole history: one event a revision.
struct History(Vec<Event>);

impl History {
    fn facts_at(&self, revision: u64) -> Facts {
        let mut facts = Facts::default();
        self.0[..revision as usize].iter().for_each(|event| facts.apply(event));
        facts
    }

    fn revision(&self) -> u64 {
        self.0.len() as u64
    }

    /// Changes a random server, zone, or the configuration.
    fn change(&mut self, rng: &mut SmallRng) {
        let name = NAMES[rng.random_range(0..NAMES.len())];
        let event = match rng.random_range(0..5) {
            0 => configuration(self.revision() + 1),
            1 => server(name),
            2 => Event::ServerRemoved(name.into()),
            3 => Event::Evacuated(name.into()),
            _ => Event::Restored(name.into()),
        };
        self.0.push(event);
    }
}

/// A host without its network and timers: what it applies and what it sends to others.
struct Host {
    core: Arc<Core>,
    journal: Arc<Journal>,
    replica: Replica,
    cursor: Cursor,
    /// Latest position that it has applied.
    position: Position,
    /// Position from which on its state is that of the registry at its position.
    exact_from: Position,
}

impl Host {
    fn start() -> Host {
        let (core, journal) = (core(), journal());
        let replica =
            Replica::new(core.clone(), Arc::default(), journal.clone(), 12, Default::default());
        let (position, exact_from) = (Position::default(), Position::default());
        Host { core, journal, replica, cursor: Cursor::default(), position, exact_from }
    }

    /// Reads the changes since the cursor from the registry.
    fn read_changes(&mut self, history: &History) {
        let since = self.cursor.position.revision;
        let events = history.0[since as usize..].to_vec();
        let position = Position { era: 0, revision: history.revision() };
        let cursor = Cursor { boot: 0, serial: 0, position };
        self.apply(REGISTRY, events, false, cursor, Position::default());
    }

    /// Lists the registry in two pages, between which it may have changed.
    fn read_list(&mut self, history: &History, rng: &mut SmallRng) {
        let last = Position { era: 0, revision: history.revision() };
        let earliest = self.position.revision.max(last.revision.saturating_sub(3)).max(1);
        let position = Position { era: 0, revision: rng.random_range(earliest..=last.revision) };
        let pages = [history.facts_at(position.revision), history.facts_at(last.revision)];
        let on_first = |name: &str| name < "d";
        let first = pages[0].list().into_iter().filter(|e| name(e).is_none_or(on_first));
        let second = pages[1].list().into_iter().filter(|e| !name(e).is_none_or(on_first));
        let cursor = Cursor { boot: 0, serial: 0, position };
        self.apply(REGISTRY, first.chain(second).collect(), true, cursor, last);
    }

    /// Polls another host, as its follower or as one that loads its full state once.
    fn poll(&mut self, source: &Host, follows: bool) {
        let now = Instant::now();
        if follows {
            assert!(source.journal.admit("follower", now));
        }
        let delta = source.journal.delta(self.cursor, FORMAT, now);
        if delta.cursor.position < self.position || delta.cursor.position == Position::default() {
            return;
        }
        let full = delta.events.is_none();
        let texts = delta.events.unwrap_or_else(|| source.core.state().snapshot(FORMAT, now));
        let texts = texts.iter().map(|text| RawValue::from_string((**text).into()).unwrap());
        let events = unpack_list(&texts.collect::<Vec<_>>()).unwrap().events;
        let exact_from =
            if full { delta.exact_from.max(delta.cursor.position) } else { delta.exact_from };
        self.apply("other", events, full, delta.cursor, exact_from);
    }

    fn apply(
        &mut self,
        source: &str,
        events: Vec<Event>,
        full: bool,
        cursor: Cursor,
        exact_from: Position,
    ) {
        let position = cursor.position;
        self.journal.advance(position);
        self.journal.require_exact_from(exact_from);
        self.position = self.position.max(position);
        self.exact_from = self.exact_from.max(exact_from);
        self.cursor = cursor;
        let batch = Batch { source: source.into(), position, events, full };
        if !self.replica.apply_events(batch) {
            self.cursor = Cursor::default();
        }
    }
}

fn run(seed: u64, size: usize) {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut history = History(vec![configuration(1), server("a")]);
    let mut hosts: Vec<Host> = (0..size).map(|_| Host::start()).collect();
    for step in 0..STEPS {
        let index = rng.random_range(0..size);
        match rng.random_range(0..20) {
            0..8 => history.change(&mut rng),
            8..10 if hosts[index].cursor != Cursor::default() => {
                hosts[index].read_changes(&history);
            }
            8..11 => hosts[index].read_list(&history, &mut rng),
            11 => hosts[index].journal.stop_recording(),
            12 => hosts[index] = Host::start(),
            kind => {
                let mut host = hosts.swap_remove(index);
                let source = rng.random_range(0..hosts.len());
                host.poll(&hosts[source], kind < 19);
                hosts.push(host);
            }
        }
        let is_exact = |h: &&Host| h.cursor != Cursor::default() && h.position >= h.exact_from;
        for host in hosts.iter().filter(is_exact) {
            let expected = history.facts_at(host.position.revision);
            assert_eq!(Facts::of(&host.core), expected, "seed {seed}, {size} hosts, step {step}");
        }
    }
}

/// Guards against a host that misses a change for good, since another host takes what it has
/// recorded for complete: after a start, a pause in the recording, a change of source, or a full
/// list in place of the changes.
#[test]
fn hosts_have_the_state_of_the_registry_at_their_position() {
    for seed in 0..SEEDS {
        for size in [2, 3, 12] {
            run(seed, size);
        }
    }
}
