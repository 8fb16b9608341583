//! What a host sends to the hosts that poll it: deltas, full states and their encoding.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_front::journal::Cursor;
use chervil_front::journal::Journal;
use chervil_front::packed::pack;
use chervil_front::packed::pack_list;
use chervil_front::packed::unpack_list;
use chervil_front::registry::Event;
use chervil_route::config::Target;
use chervil_route::fleet::BackendEntry;
use chervil_route::history::Position;
use chervil_route::peers::FORMAT;
use serde_json::value::RawValue;

use crate::support::ADDRESS;
use crate::support::config;
use crate::support::core;
use crate::support::entry;
use crate::support::peer;
use crate::support::route;
use crate::support::server;

fn at(revision: u64) -> Position {
    Position { era: 1, revision }
}

/// Guards against events that a host misses when it switches to another source:
/// its sequence number is of another process, so that only its revision counts.
#[test]
fn journal_serves_deltas_by_revision_after_a_change_of_source() {
    let (journal, now) = (Journal::new(7), Instant::now());
    journal.advance(at(9));
    assert!(journal.admit("follower", now));
    journal.advance(at(10));
    journal.push(&server("a"));
    let same_process = journal.delta(Cursor::default(), FORMAT, now).cursor;
    journal.advance(at(12));
    journal.push(&server("b"));

    let delta_size = |cursor| journal.delta(cursor, FORMAT, now).events.map(|e| e.len());

    assert_eq!((same_process.boot, same_process.position), (7, at(10)));
    assert_eq!(delta_size(same_process), Some(1));
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: at(11) }), Some(1));
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: at(12) }), Some(1));
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: at(9) }), None);
    assert_eq!(delta_size(Cursor::default()), None);
}

/// Guards against a host that gets the changes since the restore of the registry as this host
/// saw them, although it had another state before.
#[test]
fn journal_serves_deltas_by_revision_only_within_an_era() {
    let (journal, now) = (Journal::new(7), Instant::now());
    let after = |revision| Position { era: 2, revision };
    journal.advance(at(50));
    assert!(journal.admit("follower", now));
    journal.advance(at(58));
    journal.push(&server("a"));
    let same_process = journal.delta(Cursor::default(), FORMAT, now).cursor;
    journal.advance(after(52));
    journal.push(&server("b"));
    journal.advance(after(60));
    journal.push(&server("c"));

    let delta_size = |cursor| journal.delta(cursor, FORMAT, now).events.map(|e| e.len());

    assert_eq!((same_process.boot, same_process.position), (7, at(58)));
    assert_eq!(delta_size(same_process), Some(2));
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: at(58) }), None);
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: at(61) }), None);
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: after(55) }), Some(1));
    assert_eq!(delta_size(Cursor { boot: 9, serial: 99, position: after(51) }), None);
}

/// Guards against a former upstream that goes on answering with empty deltas, which
/// look fresh, although it no longer records events.
#[test]
fn journal_without_followers_serves_no_deltas() {
    let (journal, now) = (Journal::new(7), Instant::now());
    journal.advance(at(10));
    journal.admit("follower", now);
    journal.advance(at(11));
    journal.push(&server("a"));
    let cursor = journal.delta(Cursor::default(), FORMAT, now).cursor;

    journal.stop_recording();
    journal.advance(at(12));
    journal.push(&server("b"));
    let while_stopped = journal.delta(cursor, FORMAT, now);
    journal.admit("follower", now);
    journal.advance(at(13));
    let after_restart = journal.delta(cursor, FORMAT, now);

    assert!(while_stopped.events.is_none());
    assert!(after_restart.events.is_none());
}

/// Guards against a host that misses for good what was applied between its full state and its
/// first poll: the state was handed out while no host polled, so that nothing was recorded.
#[test]
fn cursor_from_before_a_recording_is_not_complete() {
    let (journal, now) = (Journal::new(7), Instant::now());
    journal.advance(at(10));
    let seeded = journal.delta(Cursor::default(), FORMAT, now).cursor;
    journal.advance(at(11));
    journal.push(&server("a"));
    journal.admit("follower", now);

    let first_poll = journal.delta(seeded, FORMAT, now);
    journal.advance(at(12));
    journal.push(&server("b"));
    let second_poll = journal.delta(seeded, FORMAT, now);

    assert!(first_poll.events.is_none());
    assert!(second_poll.events.is_none());
}

/// Guards against a cursor that names an event which the journal does not have.
#[test]
fn cursor_beyond_the_latest_event_is_not_complete() {
    let (journal, now) = (Journal::new(7), Instant::now());
    journal.advance(at(10));
    journal.admit("follower", now);
    let Cursor { serial, .. } = journal.delta(Cursor::default(), FORMAT, now).cursor;

    let delta =
        journal.delta(Cursor { boot: 7, serial: serial + 1, position: at(10) }, FORMAT, now);

    assert!(delta.events.is_none());
}

/// Guards against compression that alters large events, or does not reduce their
/// size.
#[test]
fn large_event_survives_compression() {
    let routes = (0..200).map(|i| route(&format!("/{i}/"), Target::One("quote".into()), true));
    let event = Event::Config(Box::new(config(4, routes.collect())));

    let text = pack(&event).unwrap();
    assert!(text.len() < serde_json::to_string(&event).unwrap().len() / 4);
    assert_eq!(unpack(&text), [event]);
}

/// Decodes one packed event.
fn unpack(text: &str) -> Vec<Event> {
    unpack_list(&[RawValue::from_string(text.into()).unwrap()]).unwrap().events
}

/// Guards against a snapshot that omits part of the state, or states the full
/// warm-up time of a backend server although part of it has passed.
#[test]
fn snapshot_holds_the_whole_state() {
    let core = core();
    let now = core.now();
    let cold = BackendEntry { warmup_left: Duration::from_secs(9), ..entry("a", "quote", ADDRESS) };
    core.state().adopt(config(4, Vec::new()));
    core.state().fleet.upsert(cold, now);
    core.state().fleet.set_evacuated_zones(HashSet::from_iter(["south".into()]));
    core.state().peers.insert("own".into(), peer(ADDRESS, 1));

    let texts = core.state().snapshot(FORMAT, now + Duration::from_secs(4));

    let events: Vec<Event> = texts.iter().flat_map(|t| unpack(t)).collect();
    assert!(matches!(&events[0], Event::Config(c) if c.version == 4));
    assert!(matches!(&events[1], Event::Evacuated(z) if &**z == "south"));
    assert!(matches!(&events[2], Event::Host(h, _) if &**h == "own"));
    assert!(matches!(&events[3], Event::Server(e) if e.warmup_left == Duration::from_secs(5)));
}

/// Guards against a list of events that changes in transfer, and against one that is
/// sent event by event although hundreds of entries compress well together.
#[test]
fn long_list_of_events_survives_compression() {
    let events: Vec<Event> = (0..300).map(|i| server(&format!("backend-{i}"))).collect();
    let texts: Vec<Arc<str>> = events.iter().filter_map(pack).collect();

    let list = pack_list(&texts).unwrap();
    let packed: Vec<Box<RawValue>> = serde_json::from_str(&list).unwrap();

    assert!(list.len() < texts.iter().map(|t| t.len()).sum::<usize>() / 5);
    assert_eq!(unpack_list(&packed).unwrap().events, events);
}

/// Guards against a change of the configuration that loses or keeps a route or service
/// by mistake: the result must equal the configuration that was published.
#[test]
fn change_of_a_configuration_reproduces_the_new_version() {
    let target = || Target::One("quote".into());
    let old = config(3, vec![route("/a/", target(), true), route("/b/", target(), true)]);
    let mut new = config(5, vec![route("/b/", target(), false), route("/c/", target(), true)]);
    new.services.remove("a");
    let delta = new.delta_from(&old).unwrap();

    let result = old.apply(delta.clone()).unwrap();

    assert_eq!((delta.routes.len(), delta.removed_routes.len()), (2, 1));
    assert_eq!(result, new);
    assert!(config(4, Vec::new()).apply(delta).is_none());
}
