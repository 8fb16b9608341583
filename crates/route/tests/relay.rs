//! Choice of relays, and division of limits between relays and other hosts.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_route::config::Gather;
use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::Fleet;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use chervil_route::relay::Division;
use chervil_route::relay::Location;
use chervil_route::relay::RelayHealth;
use chervil_route::relay::Role;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const SMALL: u32 = 120;
const LARGE: u32 = 500;

fn peer(cpu_millicores: u32, zone: &str) -> Peer {
    let address = "127.0.0.1:7000".parse().unwrap();
    Peer { address, cpu_millicores, zone: zone.into(), lease: 1, format: FORMAT }
}

/// Hosts as seen by one of them with the given CPU limit: `large` in each of the zones a,
/// b and c, and `small` others.
fn hosts(own_cpu: u32, large: usize, small: usize) -> PeerTable {
    let mut peers = PeerTable::new("own".into(), own_cpu);
    for zone in ["a", "b", "c"] {
        for i in 0..large {
            peers.insert(format!("large-{zone}-{i}").into(), peer(LARGE, zone));
        }
    }
    for i in 0..small {
        peers.insert(format!("small-{i}").into(), peer(SMALL, "a"));
    }
    peers
}

/// Shards of which each has a backend server in each of the given zones.
fn shards(zones: &[&str]) -> (Fleet, Gather) {
    let mut fleet = Fleet::new(1);
    let names: Vec<Box<str>> = (0..20).map(|i| format!("shard-{i}").into()).collect();
    for name in &names {
        for zone in zones {
            let entry = BackendEntry {
                id: format!("{name}-{zone}").into(),
                service: name.clone(),
                address: "127.0.0.1:9000".parse().unwrap(),
                zone: (*zone).into(),
                slots: 2,
                draining: false,
                warmup_left: Duration::ZERO,
                started_at_ms: None,
            };
            fleet.upsert(entry, Instant::now());
        }
    }
    (fleet, Gather { shards: names, top_k: 5, min_coverage: 0.9 })
}

fn location(zone: &str, region: &[&str]) -> Location {
    let region_zones: HashSet<Box<str>> = region.iter().map(|z| Box::from(*z)).collect();
    Location { zone: zone.into(), region_zones }
}

/// Relays that 60 choices from a zone return, by name.
fn choices(zone: &str, region: &[&str], shard_zones: &[&str]) -> HashMap<Box<str>, u32> {
    let (fleet, gather) = shards(shard_zones);
    let (peers, location) = (hosts(SMALL, 2, 20), location(zone, region));
    let (health, mut rng) = (RelayHealth::default(), SmallRng::seed_from_u64(1));
    let mut chosen = HashMap::default();
    for _ in 0..60 {
        let now = Instant::now();
        if let Some(relay) = health.choose(&peers, &fleet, &gather, &location, &mut rng, now) {
            *chosen.entry(relay.host).or_default() += 1;
        }
    }
    chosen
}

/// Guards against relays on deployments of equal hosts, or with too few large ones, and
/// against hosts that disagree on who is a relay.
#[test]
fn only_a_few_larger_hosts_are_relays() {
    let role = |cpu, large, small| Division::new(&hosts(cpu, large, small), 300).role;

    assert_eq!(role(SMALL, 2, 20), Role::Entry);
    assert_eq!(role(LARGE, 2, 20), Role::Relay);
    assert_eq!(role(SMALL, 1, 20), Role::Single);
    assert_eq!(role(LARGE, 0, 20), Role::Single);
    assert_eq!(Division::new(&hosts(LARGE, 4, 3), 16).role, Role::Single);
}

/// Guards against shares of a limit that add up to more than the limit.
#[test]
fn shares_of_all_hosts_add_up_to_the_limit() {
    let relay = Division::new(&hosts(LARGE, 2, 20), 27);
    let entry = Division::new(&hosts(SMALL, 2, 21), 27);

    let total = 7.0 * relay.shard_share() + 20.0 * entry.shard_share();

    assert_eq!((relay.relays, entry.relays), (7, 6));
    assert!(total <= 1.0 + 1e-9, "{total}");
}

/// Load pattern: shards that stand in some of the zones. Guards against queries that are
/// gathered far from their shards, and against one relay that gets all of them.
#[test]
fn relays_near_the_shards_share_the_queries() {
    let near = choices("a", &["a", "b", "c"], &["a", "b"]);
    let far = choices("c", &["a", "b", "c"], &["a", "b"]);

    assert!(near.keys().all(|host| host.starts_with("large-a")), "{near:?}");
    assert_eq!(near.len(), 2);
    assert!(far.keys().all(|host| !host.starts_with("large-c")), "{far:?}");
    assert!(far.len() == 4 && far.values().all(|n| *n >= 6), "{far:?}");
}

/// Guards against a query that leaves its region.
#[test]
fn relays_of_other_regions_are_not_used() {
    let chosen = choices("a", &["a"], &["b"]);

    assert!(chosen.keys().all(|host| host.starts_with("large-a")), "{chosen:?}");
    assert!(choices("z", &["z"], &["b"]).is_empty());
}

/// Load pattern: relays that are killed or frozen. Guards against each query waiting for
/// them again, and against a relay that is never used again.
#[test]
fn failed_relays_are_avoided_for_a_while() {
    let (fleet, gather) = shards(&["a"]);
    let (peers, location) = (hosts(SMALL, 2, 20), location("a", &["a", "b", "c"]));
    let (mut health, mut rng) = (RelayHealth::default(), SmallRng::seed_from_u64(1));
    let now = Instant::now();
    let mut choose = |health: &RelayHealth, now| {
        health.choose(&peers, &fleet, &gather, &location, &mut rng, now).map(|r| r.host)
    };

    let mut failed = Vec::new();
    while let Some(host) = choose(&health, now) {
        health.avoid(&host, now + Duration::from_secs(3), now);
        failed.push(host);
    }

    assert_eq!(failed.len(), 6);
    assert!(failed[0].starts_with("large-a") && failed[1].starts_with("large-a"));
    assert!(choose(&health, now + Duration::from_secs(3)).is_some());
}
