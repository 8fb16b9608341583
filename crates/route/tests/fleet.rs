//! The choice among backend servers.

mod support;

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::Change;
use chervil_route::health::Load;
use chervil_route::health::Outcome;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::support::EXPECTED;
use crate::support::chosen;
use crate::support::criteria;
use crate::support::entry;
use crate::support::first_choice;
use crate::support::fleet;

/// Guards against new requests to a backend server that is about to leave.
#[test]
fn draining_server_gets_nothing() {
    let now = Instant::now();
    let leaving = BackendEntry { draining: true, ..entry("a", "north") };
    let fleet = fleet(&[leaving, entry("b", "south")], now);

    let ids = chosen(&fleet, &criteria(&[]), 50, now);

    assert!(ids.iter().all(|id| &**id == "b"));
}

/// Guards against requests into a zone that operators have taken out.
#[test]
fn evacuated_zone_gets_nothing_even_as_the_last_resort() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north")], now);

    fleet.set_evacuated_zones(HashSet::from_iter(["north".into()]));

    assert_eq!(chosen(&fleet, &criteria(&[]), 5, now), Vec::<Box<str>>::new());
}

/// Guards against requests to an address that another service has taken over.
#[test]
fn replaced_server_gets_nothing() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north"), entry("b", "south")], now);
    let key = first_choice(&fleet, now);
    let id = fleet.get(key).unwrap().entry.id.clone();

    fleet.get_mut(key).unwrap().replaced = true;

    assert!(!chosen(&fleet, &criteria(&[]), 50, now).contains(&id));
}

/// Guards against the ejection of the last candidate, which might answer.
#[test]
fn unreachable_server_is_still_the_last_resort() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north")], now);
    let key = first_choice(&fleet, now);
    let health = &mut fleet.get_mut(key).unwrap().health;
    for _ in 0..10 {
        let attempt = health.start_attempt(EXPECTED, now);
        health.finish_attempt(attempt, Outcome::Unreachable, 2, now);
    }

    assert_eq!(chosen(&fleet, &criteria(&[]), 1, now).len(), 1);
}

/// Guards against sending on to a backend server that fails half of its
/// requests while its entry looks healthy.
#[test]
fn failing_server_is_avoided() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north"), entry("b", "south")], now);
    let key = first_choice(&fleet, now);
    let id = fleet.get(key).unwrap().entry.id.clone();
    let health = &mut fleet.get_mut(key).unwrap().health;
    for outcome in [Outcome::Failed, Outcome::Answered, Outcome::Failed, Outcome::Failed] {
        let attempt = health.start_attempt(EXPECTED, now);
        health.finish_attempt(attempt, outcome, 2, now + EXPECTED);
    }

    let ids = chosen(&fleet, &criteria(&[]), 50, now + EXPECTED);

    assert!(!ids.contains(&id));
}

/// Guards against waiting behind a request that a slow or dark backend server
/// does not finish.
#[test]
fn overdue_request_moves_the_choice() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north"), entry("b", "north")], now);
    let key = first_choice(&fleet, now);
    let id = fleet.get(key).unwrap().entry.id.clone();
    fleet.get_mut(key).unwrap().health.start_attempt(EXPECTED, now);

    let ids = chosen(&fleet, &criteria(&[]), 50, now + EXPECTED * 8);

    assert!(!ids.contains(&id));
}

/// Guards against a slow backend server that is never asked again.
#[test]
fn slowness_is_forgotten() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north"), entry("b", "north")], now);
    let key = first_choice(&fleet, now);
    let id = fleet.get(key).unwrap().entry.id.clone();
    let health = &mut fleet.get_mut(key).unwrap().health;
    for _ in 0..5 {
        let attempt = health.start_attempt(EXPECTED, now);
        health.finish_attempt(attempt, Outcome::Answered, 2, now + EXPECTED * 10);
    }
    let later = now + Duration::from_secs(30);

    let ids = chosen(&fleet, &criteria(&[]), 100, later);

    assert!(ids.contains(&id));
}

/// Guards against figures of a former start that are held against a new one.
#[test]
fn new_start_under_the_same_id_is_another_server() {
    let now = Instant::now();
    let first = BackendEntry { started_at_ms: Some(1), ..entry("a", "north") };
    let mut fleet = fleet(&[first], now);

    let change = fleet.upsert(BackendEntry { started_at_ms: Some(2), ..entry("a", "north") }, now);

    assert!(matches!(change, Change::Replaced(old) if fleet.get(old).is_none()));
    assert_eq!(fleet.len(), 1);
}

/// Guards against news about heartbeats that say nothing new.
#[test]
fn same_entry_is_no_news() {
    let now = Instant::now();
    let cold = BackendEntry { warmup_left: Duration::from_secs(3), ..entry("a", "north") };
    let mut fleet = fleet(&[cold], now);
    let later = BackendEntry { warmup_left: Duration::from_secs(2), ..entry("a", "north") };

    let same = fleet.upsert(later, now + Duration::from_secs(1));
    let cold_again = BackendEntry { warmup_left: Duration::from_secs(3), ..entry("a", "north") };
    let updated = fleet.upsert(cold_again, now + Duration::from_secs(2));

    assert!(matches!(same, Change::Unchanged));
    assert!(matches!(updated, Change::Updated));
}

/// Guards against more hosts at a backend server than it has connections.
#[test]
fn subsets_stay_below_the_connections() {
    let now = Instant::now();
    let hosts = 138;
    let entries = [entry("a", "north"), entry("b", "east"), entry("c", "west")];
    let mut users = std::collections::HashMap::<Box<str>, u32>::new();

    for host in 0..hosts {
        let mut fleet = chervil_route::fleet::Fleet::new(host);
        for entry in &entries {
            fleet.upsert(entry.clone(), now);
        }
        let zones = ["north", "east", "west", "none"];
        let zone = zones[host as usize % 4];
        let criteria = chervil_route::fleet::Criteria {
            zone,
            max_connections: 120,
            hosts: hosts as u32,
            ..criteria(&[])
        };
        let ids: HashSet<Box<str>> = chosen(&fleet, &criteria, 40, now).into_iter().collect();
        for id in ids {
            *users.entry(id).or_default() += 1;
        }
    }

    assert!(users.values().all(|n| *n <= 120), "{users:?}");
    assert_eq!(users.len(), 3);
}

/// Guards against a backend server that counts as slow because the others send
/// it too much: its load is what must keep requests away, for as long as it
/// lasts.
#[test]
fn time_in_a_queue_is_not_slowness() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north")], now);
    let key = first_choice(&fleet, now);
    let health = &mut fleet.get_mut(key).unwrap().health;
    let attempt = health.start_attempt(EXPECTED, now);
    let done = now + EXPECTED * 5;

    health.report_load(Load { running: 2, queued: 8 }, done);
    let queued = health.finish_attempt(attempt, Outcome::Answered, 2, done);
    let attempt = health.start_attempt(EXPECTED, done);
    health.report_load(Load { running: 1, queued: 0 }, done + EXPECTED * 5);
    let slow = health.finish_attempt(attempt, Outcome::Answered, 2, done + EXPECTED * 5);

    assert!(!queued);
    assert!(slow);
}

/// Guards against opening connections to all backend servers alike, which
/// fills their limits: one that is connected already is preferred.
#[test]
fn connected_server_is_preferred() {
    let now = Instant::now();
    let fleet = fleet(&[entry("a", "north"), entry("b", "north")], now);
    let mut rng = SmallRng::seed_from_u64(1);
    let connected = first_choice(&fleet, now);

    let choices: Vec<_> = (0..50)
        .filter_map(|_| fleet.choose(&criteria(&[]), |k| k == connected, &mut rng, now))
        .collect();

    assert!(choices.iter().all(|k| *k == connected));
}

/// Guards against asking a backend server that accepts no more connections
/// again at once, and against holding its limit against its health.
#[test]
fn crowded_server_is_left_alone_for_a_while() {
    let now = Instant::now();
    let mut fleet = fleet(&[entry("a", "north"), entry("b", "north")], now);
    let key = first_choice(&fleet, now);
    let id = fleet.get(key).unwrap().entry.id.clone();
    let health = &mut fleet.get_mut(key).unwrap().health;
    let attempt = health.start_attempt(EXPECTED, now);

    let trouble = health.finish_attempt(attempt, Outcome::ConnectionLimit, 2, now);

    assert!(!trouble);
    assert!(!chosen(&fleet, &criteria(&[]), 50, now).contains(&id));
    assert!(chosen(&fleet, &criteria(&[]), 50, now + Duration::from_secs(3)).contains(&id));
}
