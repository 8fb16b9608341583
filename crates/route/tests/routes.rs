//! Route matching, traffic splits, merging, latency estimates and the choice of
//! upstream hosts.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_route::config::Config;
use chervil_route::config::Gather;
use chervil_route::config::Limits;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::config::WeightedService;
use chervil_route::latency::LatencyEstimator;
use chervil_route::merge::merge_top_k;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use chervil_route::round_robin::WeightedRoundRobin;
use proptest::prelude::any;
use proptest::proptest;

fn route(name: &str, host: &str, prefix: &str) -> Route {
    Route {
        name: name.into(),
        hostname: host.into(),
        prefix: prefix.into(),
        target: Target::One("lookup".into()),
        idempotent: true,
        timeout: Duration::from_secs(1),
        latency_target: Duration::from_millis(100),
        max_attempts: 2,
        priority: 1,
    }
}

fn config(routes: Vec<Route>) -> Config {
    let limits = Limits {
        max_head_bytes: 16_384,
        max_body_bytes: 262_144,
        idle_timeout: Duration::from_secs(15),
    };
    Config { version: 1, routes, services: HashMap::default(), limits }
}

fn services(weights: &[f64]) -> Vec<WeightedService> {
    let named = weights.iter().enumerate();
    named.map(|(i, w)| WeightedService { service: i.to_string().into(), weight: *w }).collect()
}

fn peer(cpu_millicores: u32) -> Peer {
    Peer {
        address: "127.0.0.1:7000".parse().unwrap(),
        cpu_millicores,
        zone: "north".into(),
        lease: 0,
        format: FORMAT,
    }
}

/// Routes may overlap: a request must not take the route of another hostname, nor
/// one with a shorter prefix than another route of its hostname.
#[test]
fn longest_prefix_of_the_hostname_wins() {
    let config = config(vec![
        route("short", "a.example", "/x/"),
        route("long", "a.example", "/x/y/"),
        route("other", "b.example", "/x/y/z/"),
    ]);

    let found = |host, path| config.match_route(host, path).map(|i| &*config.routes[i].name);

    assert_eq!(found("a.example", "/x/y/z/1"), Some("long"));
    assert_eq!(found("A.example:80", "/x/1"), Some("short"));
    assert_eq!(found("a.example", "/x"), None);
    assert_eq!(found("c.example", "/x/"), None);
}

/// The minimum coverage rarely is a whole number of shards; rounding it down would
/// return answers below it.
#[test]
fn required_shards_are_rounded_up() {
    let shards: Vec<Box<str>> = (0..10).map(|i: u32| i.to_string().into()).collect();
    let gather = |min_coverage| Gather { shards: shards.clone(), top_k: 1, min_coverage };

    assert_eq!(gather(0.89).required_shards(), 9);
    assert_eq!(gather(0.9).required_shards(), 9);
    assert_eq!(gather(0.91).required_shards(), 10);
    assert_eq!(gather(0.0).required_shards(), 1);
}

/// Requests must be distributed exactly by weight over whole cycles, even if the
/// first cycle starts at an offset.
#[test]
fn split_follows_the_weights() {
    let services = services(&[0.7, 0.2, 0.1]);
    let mut robin = WeightedRoundRobin::new(&services, 0.3);

    let mut counts = [0u32; 3];
    (0..300).for_each(|_| counts[robin.next(&services).unwrap()] += 1);

    assert_eq!(counts, [210, 60, 30]);
}

/// A weight of 0 takes a service out of the split; it must get no requests, and a
/// split without services must choose none.
#[test]
fn split_skips_services_with_weight_zero() {
    let services = services(&[0.0, 1.0]);
    let mut robin = WeightedRoundRobin::new(&services, 0.0);

    assert!((0..20).all(|_| robin.next(&services) == Some(1)));
    assert_eq!(WeightedRoundRobin::new(&[], 0.5).next(&[]), None);
}

proptest! {
    /// The partial selection must return the same records as a full sort,
    /// including for incomplete records and for 0 records.
    #[test]
    fn merge_equals_full_sort(results in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 0..8), k in 0usize..30) {
        let mut expected: Vec<Vec<u8>> = Vec::new();
        for result in &results {
            expected.extend(result.chunks(16).filter(|c| c.len() == 16).map(<[u8]>::to_vec));
        }
        expected.sort();
        expected.reverse();
        expected.truncate(k);

        assert_eq!(merge_top_k(results.iter().map(|r| &**r), k), expected.concat());
    }
}

/// If 2 % of the replies are slow, the hedge delay must stay above the typical
/// latency, or most requests would be hedged needlessly.
#[test]
fn hedge_delay_follows_the_latency() {
    let mut estimator = LatencyEstimator::new(Duration::from_millis(100));

    for i in 0..2_000u64 {
        estimator.record(Duration::from_millis(if i % 50 == 0 { 80 } else { 10 }));
    }

    assert!(estimator.median() < Duration::from_millis(12));
    assert!(estimator.hedge_delay() >= Duration::from_millis(12));
    assert!(estimator.hedge_delay() <= Duration::from_millis(42));
}

/// All hosts must agree on one that reads the registry while none is avoided;
/// otherwise many would load the registry.
#[test]
fn one_host_reads_the_registry() {
    let now = Instant::now();
    let names: Vec<Box<str>> = (0..138).map(|i: u32| format!("host-{i}").into()).collect();

    let readers = names.iter().filter(|own| {
        let mut peers = PeerTable::new((*own).clone(), 84);
        names.iter().for_each(|n| peers.insert(n.clone(), peer(84)));
        peers.upstream(now).is_none()
    });

    assert_eq!(readers.count(), 1);
}

/// A host must not wait for an upstream that is down but move on to the next, and
/// after five of them read the registry itself instead of trying all 20 hosts
/// ahead of it.
#[test]
fn unresponsive_upstreams_are_skipped() {
    let now = Instant::now();
    let mut peers = PeerTable::new("last".into(), 10);
    peers.insert("last".into(), peer(10));
    for i in 0..20u32 {
        peers.insert(format!("host-{i}").into(), peer(500));
    }

    let mut tried = 0;
    while let Some(host) = peers.upstream(now).map(|u| u.host) {
        peers.avoid(&host, now + Duration::from_secs(5));
        tried += 1;
    }

    assert_eq!(tried, 5);
    assert!(peers.upstream(now + Duration::from_secs(6)).is_some());
}

/// Entries lapse during a registry outage. If lapsed hosts were dropped at once,
/// the shared limits would be divided among too few hosts afterwards.
#[test]
fn lapsed_hosts_are_counted_for_30_seconds() {
    let now = Instant::now();
    let mut peers = PeerTable::new("a".into(), 10);
    peers.insert("a".into(), peer(10));
    peers.insert("b".into(), peer(10));

    ["a", "b"].iter().for_each(|host| peers.mark_lapsed(host, now));
    peers.remove_expired(now + Duration::from_secs(29));
    let kept = peers.count();
    peers.remove_expired(now + Duration::from_secs(31));

    assert_eq!((kept, peers.count()), (2, 0));
}
