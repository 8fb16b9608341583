//! Routes, splits, merging and the ranks of hosts.

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

fn shares(weights: &[f64]) -> Vec<WeightedService> {
    let named = weights.iter().enumerate();
    named.map(|(i, w)| WeightedService { service: i.to_string().into(), weight: *w }).collect()
}

fn peer(cpu_millicores: u32) -> Peer {
    Peer { address: "127.0.0.1:7000".parse().unwrap(), cpu_millicores, lease: 0 }
}

/// Guards against a request on the wrong route.
#[test]
fn longest_prefix_of_the_host_wins() {
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

/// Guards against an answer with fewer parts than the route asks for.
#[test]
fn needed_parts_are_rounded_up() {
    let shards: Vec<Box<str>> = (0..10).map(|i: u32| i.to_string().into()).collect();
    let gather = |min_coverage| Gather { shards: shards.clone(), top_k: 1, min_coverage };

    assert_eq!(gather(0.89).required_parts(), 9);
    assert_eq!(gather(0.9).required_parts(), 9);
    assert_eq!(gather(0.91).required_parts(), 10);
    assert_eq!(gather(0.0).required_parts(), 1);
}

/// Guards against a split that strays from its weights.
#[test]
fn split_follows_the_weights() {
    let shares = shares(&[0.7, 0.2, 0.1]);
    let mut split = WeightedRoundRobin::new(&shares, 0.3);

    let mut counts = [0u32; 3];
    (0..300).for_each(|_| counts[split.next(&shares).unwrap()] += 1);

    assert_eq!(counts, [210, 60, 30]);
}

/// Guards against requests to a service that has no weight.
#[test]
fn split_leaves_out_weightless_services() {
    let shares = shares(&[0.0, 1.0]);
    let mut split = WeightedRoundRobin::new(&shares, 0.0);

    assert!((0..20).all(|_| split.next(&shares) == Some(1)));
    assert_eq!(WeightedRoundRobin::new(&[], 0.5).next(&[]), None);
}

proptest! {
    /// Guards against a merge that differs from sorting everything.
    #[test]
    fn merge_equals_the_naive_version(parts in proptest::collection::vec(proptest::collection::vec(any::<u8>(), 0..200), 0..8), top in 0usize..30) {
        let mut naive: Vec<Vec<u8>> = Vec::new();
        for part in &parts {
            naive.extend(part.chunks(16).filter(|c| c.len() == 16).map(<[u8]>::to_vec));
        }
        naive.sort();
        naive.reverse();
        naive.truncate(top);

        assert_eq!(merge_top_k(parts.iter().map(|p| &**p), top), naive.concat());
    }
}

/// Guards against second requests for replies that are merely typical.
#[test]
fn pace_follows_the_latency() {
    let mut pace = LatencyEstimator::new(Duration::from_millis(100));

    for i in 0..2_000u64 {
        pace.record(Duration::from_millis(if i % 50 == 0 { 80 } else { 10 }));
    }

    assert!(pace.median() < Duration::from_millis(12));
    assert!(pace.hedge_delay() >= Duration::from_millis(12));
    assert!(pace.hedge_delay() <= Duration::from_millis(42));
}

/// Guards against many hosts that read the registry in calm times.
#[test]
fn one_host_reads_the_registry() {
    let now = Instant::now();
    let names: Vec<Box<str>> = (0..138).map(|i: u32| format!("host-{i}").into()).collect();

    let readers = names.iter().filter(|own| {
        let mut sources = PeerTable::new((*own).clone());
        names.iter().for_each(|n| sources.insert(n.clone(), peer(84)));
        sources.upstream(now).is_none()
    });

    assert_eq!(readers.count(), 1);
}

/// Guards against a host that waits for one that is dead, or for ever for all
/// that are ahead of it.
#[test]
fn dead_hosts_are_passed_over() {
    let now = Instant::now();
    let mut sources = PeerTable::new("last".into());
    sources.insert("last".into(), peer(10));
    for i in 0..20u32 {
        sources.insert(format!("host-{i}").into(), peer(500));
    }

    let mut asked = 0;
    while let Some(host) = sources.upstream(now).map(|(host, _)| host.to_string()) {
        sources.avoid(&host, now + Duration::from_secs(5));
        asked += 1;
    }

    assert_eq!(asked, 5);
    assert!(sources.upstream(now + Duration::from_secs(6)).is_some());
}

/// Guards against bounds that are divided by too few hosts after an outage in
/// which entries lapsed.
#[test]
fn lapsed_hosts_still_count_for_a_while() {
    let now = Instant::now();
    let mut sources = PeerTable::new("a".into());
    sources.insert("a".into(), peer(10));
    sources.insert("b".into(), peer(10));

    sources.mark_all_lapsed(now);
    sources.remove_expired(now + Duration::from_secs(29));
    let kept = sources.count();
    sources.remove_expired(now + Duration::from_secs(31));

    assert_eq!((kept, sources.count()), (2, 0));
}
