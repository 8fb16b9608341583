//! Hosts that are cut off from all backend servers: when they notice, and whom they find to
//! execute their requests.

mod support;

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_route::fleet::BackendEntry;
use chervil_route::links::Check;
use chervil_route::links::Links;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use chervil_route::relay::Location;
use chervil_route::relay::RelayHealth;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::support::entry;
use crate::support::fleet;

const MS: Duration = Duration::from_millis(1);

/// Links of a host that has heard of a server at `now`.
fn working(now: Instant) -> Links {
    let mut links = Links::default();
    links.record_sign(now);
    links
}

/// Guards against a host that takes slow or failed servers for the loss of its links while any
/// other server answers.
#[test]
fn failures_with_a_sign_of_another_server_start_no_check() {
    let now = Instant::now();
    let mut links = working(now + 5 * MS);

    assert!(!links.record_failure(now));
    assert!(!links.record_overdue(30 * MS, now + 15 * MS));
    assert!(!links.is_in_doubt());
}

/// Guards against a cut that is noticed only at the deadlines of requests.
#[test]
fn silence_of_all_servers_starts_a_check_which_ends_with_lost_links() {
    let now = Instant::now();
    for overdue in [true, false] {
        let mut links = working(now);

        let started = if overdue {
            links.record_overdue(50 * MS, now + 50 * MS)
        } else {
            links.record_failure(now + MS)
        };
        let again = links.record_failure(now + MS);
        let check = links.finish_check();

        assert!(started && !again);
        assert_eq!(check, Check::Lost);
        assert!(links.is_lost());
    }
}

/// Guards against a host that was paused or whose replies wait to be read: the check brings
/// the sign.
#[test]
fn sign_during_a_check_keeps_the_links() {
    let now = Instant::now();
    let mut links = working(now);
    links.record_failure(now + MS);

    links.record_sign(now + 2 * MS);

    assert_eq!(links.finish_check(), Check::Working);
}

/// Guards against a host that stays out after its cut has ended.
#[test]
fn one_sign_ends_the_loss() {
    let now = Instant::now();
    let mut links = working(now);
    links.record_failure(now + MS);
    links.finish_check();
    let still = links.finish_check();

    let was_lost = links.record_sign(now + 9 * MS);

    assert_eq!(still, Check::StillLost);
    assert!(was_lost && !links.is_lost());
}

/// Guards against a verdict from nothing: no server is known to which the host could connect.
#[test]
fn check_without_servers_finds_nothing() {
    let now = Instant::now();
    let mut links = working(now);
    links.record_failure(now + MS);

    links.abandon_check();

    assert_eq!(links.finish_check(), Check::Working);
}

/// A deployment of which some hosts are cut off from all backend servers.
struct Deployment {
    hosts: usize,
    zones: usize,
    /// Hosts with more CPU, which gather the queries of the others.
    relays: usize,
    cut: HashSet<Box<str>>,
}

/// What the cut hosts experience.
struct Experience {
    requests: usize,
    unserved: usize,
    /// Requests by the host that executes them.
    by_helper: HashMap<Box<str>, usize>,
}

fn name(host: usize) -> Box<str> {
    format!("host-{host}").into()
}

impl Deployment {
    /// Cuts a random share of the hosts.
    fn with_cut_share(hosts: usize, zones: usize, relays: usize, share: f64) -> Deployment {
        let mut rng = SmallRng::seed_from_u64(3);
        let cut = (0..hosts).filter(|_| rng.random::<f64>() < share).map(name).collect();
        Deployment { hosts, zones, relays, cut }
    }

    /// Cuts all hosts of the first zone.
    fn with_cut_zone(hosts: usize, zones: usize, relays: usize) -> Deployment {
        Deployment { hosts, zones, relays, cut: (0..hosts).step_by(zones).map(name).collect() }
    }

    fn zone(&self, host: usize) -> Box<str> {
        format!("zone-{}", host % self.zones).into()
    }

    fn peers(&self, own: &str) -> PeerTable {
        let mut peers = PeerTable::new(own.into(), 100);
        for host in 0..self.hosts {
            let cpu_millicores = if host < self.relays { 500 } else { 100 };
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 9));
            let zone = self.zone(host);
            peers.insert(
                name(host),
                Peer { address, cpu_millicores, zone, lease: 1, format: FORMAT },
            );
        }
        peers
    }

    /// Each cut host gets `rate` requests a second for ten seconds, queries and others in turn.
    /// It makes up to eight offers for each; hosts that are cut decline.
    fn run(&self, rate: u32) -> Experience {
        let start = Instant::now();
        let zones = (0..self.zones).map(|z| format!("zone-{z}").into()).collect();
        let location = Location { zone: "zone-0".into(), region_zones: zones };
        let by_helper = HashMap::default();
        let mut seen = Experience { requests: 0, unserved: 0, by_helper };
        for (seed, own) in self.cut.iter().enumerate() {
            let (peers, mut health) = (self.peers(own), RelayHealth::default());
            let mut rng = SmallRng::seed_from_u64(seed as u64);
            for i in 0..10 * rate {
                let now = start + Duration::from_secs(1) * i / rate;
                let is_query = i % 2 == 0;
                seen.requests += 1;
                let helper = (0..8).find_map(|_| {
                    let relay =
                        health.choose_helper(&peers, &location, is_query, 0, &mut rng, now)?;
                    if self.cut.contains(&relay.host) {
                        health.avoid(&relay.host, now + Duration::from_secs(1), now);
                        return None;
                    }
                    health.record_accepted(&relay.host, now);
                    Some(relay.host)
                });
                match helper {
                    Some(helper) => *seen.by_helper.entry(helper).or_default() += 1,
                    None => seen.unserved += 1,
                }
            }
        }
        seen
    }
}

/// Guards against callers of cut hosts that fare worse than others because their hosts ask
/// others in vain, and against a single host that gets all of their requests. Callers may be
/// served less often by 1 in 50.
#[test]
fn cut_hosts_find_helpers_for_nearly_all_requests() {
    let deployments = [
        (Deployment::with_cut_share(12, 4, 0, 0.6), 20),
        (Deployment::with_cut_share(138, 4, 8, 0.6), 8),
        (Deployment::with_cut_share(295, 6, 18, 0.6), 2),
        (Deployment::with_cut_zone(12, 4, 0), 20),
        (Deployment::with_cut_zone(138, 4, 8), 8),
        (Deployment::with_cut_zone(295, 6, 18), 2),
    ];
    for (deployment, rate) in deployments {
        let seen = deployment.run(rate);

        let hosts = deployment.hosts;
        let most = seen.by_helper.values().max().copied().unwrap_or_default();
        assert!(seen.unserved * 50 <= seen.requests, "{hosts}: {} unserved", seen.unserved);
        assert!(2 * most <= seen.requests, "{hosts}: {most} of {} at one host", seen.requests);
    }
}

/// Guards against requests that leave their region with a helper.
#[test]
fn helpers_are_of_the_same_region() {
    let deployment = Deployment::with_cut_share(60, 3, 0, 0.0);
    let peers = deployment.peers("host-0");
    let region_zones = HashSet::from_iter(["zone-1".into()]);
    let location = Location { zone: "zone-0".into(), region_zones };
    let mut rng = SmallRng::seed_from_u64(1);

    for i in 0..200 {
        let health = RelayHealth::default();
        let now = Instant::now();
        let relay = health.choose_helper(&peers, &location, i % 2 == 0, 0, &mut rng, now).unwrap();

        let host: usize = relay.host.trim_start_matches("host-").parse().unwrap();
        assert!(host % 3 != 2, "{}", relay.host);
    }
}

/// Guards against a check that judges all servers by those of some availability zones: a host
/// whose zone is cut off reaches only the servers of its own.
#[test]
fn check_covers_each_zone_and_begins_with_the_own_one() {
    let now = Instant::now();
    let zones = ["north", "east", "south", "west"];
    let entries: Vec<BackendEntry> = (0..120)
        // Most servers are in one other zone.
        .map(|i| entry(&format!("i-{i}"), if i < 100 { "south" } else { zones[i % 4] }))
        .collect();
    let fleet = fleet(&entries, now);
    for seed in 0..20 {
        let mut rng = SmallRng::seed_from_u64(seed);

        let keys = fleet.sample_zones("north", |_| true, &mut rng);

        let sampled: Vec<&str> = keys.iter().map(|k| &*fleet.get(*k).unwrap().entry.zone).collect();
        assert_eq!(sampled[..2], ["north"; 2]);
        assert_eq!(
            HashSet::from_iter(sampled[2..].iter().copied()),
            HashSet::from_iter(["east", "south", "west"])
        );
        assert_eq!(sampled.len(), 5);
    }
}

/// Guards against a verdict about servers to which the host has no connection left to open: its
/// requests in the zone that it reaches use them all.
#[test]
fn check_prefers_servers_that_have_room() {
    let now = Instant::now();
    let entries: Vec<BackendEntry> = (0..8).map(|i| entry(&format!("i-{i}"), "north")).collect();
    let fleet = fleet(&entries, now);
    let free = fleet.key("i-5").unwrap();

    let keys = fleet.sample_zones("north", |key| key == free, &mut SmallRng::seed_from_u64(1));

    assert_eq!((keys[0], keys.len()), (free, 2));
}
