//! Fixtures for the tests of backend server selection.

#![allow(dead_code, reason = "each test file uses a part of the fixtures")]

use std::time::Duration;
use std::time::Instant;

use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::BackendKey;
use chervil_route::fleet::Criteria;
use chervil_route::fleet::Fleet;
use chervil_route::warmup::WarmupLimit;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

pub const EXPECTED_LATENCY: Duration = Duration::from_millis(10);

pub const WARMUP_LIMIT: WarmupLimit = WarmupLimit { overshoot: 1.5, slack: 5.0 };

pub fn entry(id: &str, zone: &str) -> BackendEntry {
    BackendEntry {
        id: id.into(),
        service: "lookup".into(),
        address: "127.0.0.1:9000".parse().unwrap(),
        zone: zone.into(),
        slots: 2,
        draining: false,
        warmup_left: Duration::ZERO,
        started_at_ms: None,
    }
}

pub fn criteria<'a>(tried: &'a [BackendKey]) -> Criteria<'a> {
    Criteria {
        service: "lookup",
        zone: "north",
        tried,
        expected_latency: EXPECTED_LATENCY,
        warmup_limit: WARMUP_LIMIT,
        cold_rate: 0.0,
        max_connections: 50.0 / 12.0,
        hosts: 12,
        limit_share: 1.0 / 12.0,
    }
}

pub fn fleet(entries: &[BackendEntry], now: Instant) -> Fleet {
    let mut fleet = Fleet::new(7);
    for entry in entries {
        fleet.upsert(entry.clone(), now);
    }
    fleet
}

/// Ids of the backend servers that `rounds` consecutive choices return.
pub fn chosen_ids(
    fleet: &Fleet,
    criteria: &Criteria<'_>,
    rounds: usize,
    now: Instant,
) -> Vec<Box<str>> {
    let mut rng = SmallRng::seed_from_u64(1);
    let keys = (0..rounds).filter_map(|_| fleet.choose(criteria, |_| true, &mut rng, now));
    keys.map(|k| fleet.get(k).unwrap().entry.id.clone()).collect()
}

/// The backend server that the first choice returns.
pub fn first_choice(fleet: &Fleet, now: Instant) -> BackendKey {
    fleet.choose(&criteria(&[]), |_| true, &mut SmallRng::seed_from_u64(1), now).unwrap()
}
