//! Distribution of registry updates over thousands of hosts, in virtual time.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_route::peers::FAN_OUT;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Followers;
use chervil_route::peers::Peer;
use chervil_route::peers::PeerTable;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const MS: Duration = Duration::from_millis(1);

/// Pause between two polls of an upstream.
const POLL_PAUSE: Duration = Duration::from_millis(300);

/// Time after which an unanswered poll fails.
const POLL_TIMEOUT: Duration = Duration::from_millis(1_100);

/// Time after which the first poll of a new upstream fails.
const FIRST_POLL_TIMEOUT: Duration = Duration::from_millis(350);

/// Time for which an upstream that failed is not polled.
const FAILED_PAUSE: Duration = Duration::from_secs(5);

/// Interval at which the first host in rank reads the registry.
const READ_INTERVAL: Duration = Duration::from_millis(1_300);

/// Time within which a change must be in force on each host that works and has been in
/// touch for as long: the bound of the deployments with hundreds of hosts.
const APPLY_LIMIT: Duration = Duration::from_secs(5);

fn peer(cpu_millicores: u32) -> Peer {
    let address = "127.0.0.1:7000".parse().unwrap();
    Peer { address, cpu_millicores, zone: "north".into(), lease: 1, format: FORMAT }
}

/// A host of the model.
struct Host {
    name: Box<str>,
    peers: PeerTable,
    followers: Followers,
    /// Version of the registry that it has applied.
    version: u64,
    /// The host that answered the last poll, if any.
    followed: Option<Box<str>>,
    /// Time until which it neither sends nor answers.
    down_until: Instant,
    next_poll: Instant,
    /// Start of the time in which it has worked without a break.
    up_since: Instant,
}

/// Hosts that follow each other, as [`PeerTable`] directs them. The registry publishes a
/// version at each change.
struct Model {
    hosts: Vec<Host>,
    index: HashMap<Box<str>, usize>,
    version: u64,
    changed_at: Instant,
    now: Instant,
    rng: SmallRng,
    /// Polls answered by each host since the last check.
    answered: Vec<usize>,
    registry_reads: usize,
}

impl Model {
    fn new(count: usize, seed: u64) -> Model {
        let now = Instant::now();
        let mut rng = SmallRng::seed_from_u64(seed);
        let cpu = |i: usize| if i.is_multiple_of(16) { 500 } else { 120 };
        let name = |i: usize| Box::from(format!("host-{i}"));
        let mut hosts = Vec::new();
        for own in 0..count {
            let mut peers = PeerTable::new(name(own), cpu(own));
            (0..count).for_each(|i| peers.insert(name(i), peer(cpu(i))));
            let next_poll = now + POLL_PAUSE.mul_f64(rng.random());
            hosts.push(Host {
                name: name(own),
                peers,
                followers: Followers::default(),
                version: 0,
                followed: None,
                down_until: now,
                next_poll,
                up_since: now,
            });
        }
        let index = hosts.iter().enumerate().map(|(i, h)| (h.name.clone(), i)).collect();
        Model {
            answered: vec![0; hosts.len()],
            hosts,
            index,
            version: 0,
            changed_at: now,
            now,
            rng,
            registry_reads: 0,
        }
    }

    fn publish(&mut self) {
        self.version += 1;
        self.changed_at = self.now;
    }

    /// Freezes a share of the hosts for a random time of up to 8 s.
    fn freeze(&mut self, share: f64) {
        for host in &mut self.hosts {
            if self.rng.random_bool(share) {
                host.down_until = self.now + Duration::from_secs(8).mul_f64(self.rng.random());
                host.up_since = host.down_until;
                host.next_poll = host.next_poll.max(host.down_until);
            }
        }
    }

    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            for i in 0..self.hosts.len() {
                if self.hosts[i].next_poll <= self.now {
                    self.poll(i);
                }
            }
            self.now += 10 * MS;
        }
    }

    fn poll(&mut self, own: usize) {
        let now = self.now;
        let Some(upstream) = self.hosts[own].peers.upstream(now) else {
            self.registry_reads += 1;
            self.hosts[own].version = self.version;
            self.hosts[own].next_poll = now + READ_INTERVAL;
            return;
        };
        let at = self.index[&upstream.host];
        let name = self.hosts[own].name.clone();
        let answers = self.hosts[at].down_until <= now;
        let is_followed = self.hosts[own].followed.take().is_some_and(|f| f == upstream.host);
        if answers && self.hosts[at].followers.admit(&name, now) {
            self.answered[at] += 1;
            self.hosts[own].version = self.hosts[own].version.max(self.hosts[at].version);
            self.hosts[own].next_poll = now + POLL_PAUSE;
            self.hosts[own].followed = Some(upstream.host);
            return;
        }
        let timeout = if is_followed { POLL_TIMEOUT } else { FIRST_POLL_TIMEOUT };
        let wait = if answers { Duration::ZERO } else { timeout };
        self.hosts[own].peers.avoid(&upstream.host, now + wait + FAILED_PAUSE);
        self.hosts[own].next_poll = now + wait;
    }

    /// Hosts that have worked since `since` and do not have the newest version.
    fn behind(&self, since: Instant) -> usize {
        let is_behind = |h: &&Host| h.up_since <= since && h.version < self.version;
        self.hosts.iter().filter(is_behind).count()
    }
}

/// Load pattern: 2,700 hosts that all need each change. Guards against a host that sends
/// updates to a part of the fleet that grows with its size, and against changes that
/// take longer than the bound to reach the last host.
#[test]
fn change_reaches_2700_hosts_within_the_bound_and_the_fan_out() {
    let mut model = Model::new(2_700, 1);
    model.run(Duration::from_secs(4));
    model.answered.fill(0);

    model.publish();
    model.run(APPLY_LIMIT);

    assert_eq!(model.behind(model.now), 0);
    let polls_per_host = (APPLY_LIMIT.as_millis() / POLL_PAUSE.as_millis()) as usize + 1;
    let busiest = model.answered.iter().max().unwrap() / polls_per_host;
    assert!(busiest <= FAN_OUT, "{busiest} followers");
    assert!(model.registry_reads < 20, "{} reads of the registry", model.registry_reads);
}

/// Load pattern: changes while hosts in the middle of the tree freeze and return, at
/// once and in series. Guards against hosts that stay on an older version because the
/// host that they follow is frozen.
#[test]
fn change_reaches_all_working_hosts_while_others_freeze() {
    for seed in 0..6 {
        let mut model = Model::new(400, seed);
        model.run(Duration::from_secs(2));
        for _ in 0..4 {
            model.freeze(0.1);
            model.publish();
            let published = model.now;

            model.run(APPLY_LIMIT);

            let behind = model.behind(published);
            assert_eq!(behind, 0, "seed {seed}: {behind} hosts are behind");
        }
    }
}

/// Guards against cycles: a host whose list of hosts is incomplete must still follow
/// only hosts that rank ahead of it in every list.
#[test]
fn hosts_with_different_lists_do_not_follow_each_other_in_a_cycle() {
    let mut rng = SmallRng::seed_from_u64(3);
    let now = Instant::now();
    for _ in 0..20 {
        let mut follows: HashMap<Box<str>, Box<str>> = HashMap::default();
        for own in 0..100 {
            let mut peers = PeerTable::new(format!("host-{own}").into(), 120);
            for other in 0..100 {
                if rng.random_bool(0.5) {
                    peers.insert(format!("host-{other}").into(), peer(120));
                }
            }
            if let Some(upstream) = peers.upstream(now) {
                follows.insert(format!("host-{own}").into(), upstream.host);
            }
        }
        for start in follows.keys() {
            let mut host = start;
            let mut hops = 0;
            while let Some(next) = follows.get(host) {
                host = next;
                hops += 1;
                assert!(hops <= 100, "cycle at {start}");
            }
        }
    }
}
