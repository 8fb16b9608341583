//! Local state of a host: the replicated registry data (configuration, backend
//! servers, hosts) and what it derives from them, such as retry budgets.

use std::hash::Hash as _;
use std::hash::Hasher as _;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_base::value;
use chervil_route::admission::Admission;
use chervil_route::admission::Signal;
use chervil_route::budget::RetryBudget;
use chervil_route::budget::RetryLimit;
use chervil_route::config::Config;
use chervil_route::config::Gather;
use chervil_route::config::Route;
use chervil_route::config::Target;
use chervil_route::crashes::CrashTracker;
use chervil_route::fleet::BackendEntry;
use chervil_route::fleet::BackendKey;
use chervil_route::fleet::Criteria;
use chervil_route::fleet::Fleet;
use chervil_route::health::AttemptId;
use chervil_route::latency::LatencyEstimator;
use chervil_route::peers::PeerTable;
use chervil_route::relay::Division;
use chervil_route::relay::Location;
use chervil_route::relay::Relay;
use chervil_route::relay::RelayHealth;
use chervil_route::relay::Role;
use chervil_route::retry_after;
use chervil_route::round_robin::WeightedRoundRobin;
use chervil_route::server_limit;
use chervil_route::warmup::WarmupLimit;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use rustc_hash::FxHasher;

use crate::packed;
use crate::pool::Pools;
use crate::registry::Event;

/// Time for which a degraded backend server is avoided, before jitter.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Time for which no idle connection is kept to a backend server at its
/// connection limit. Hosts report it again for as long as it stays at the limit.
const AT_LIMIT_TIME: Duration = Duration::from_millis(1_500);

value! {
    /// Limits for the whole deployment; each host keeps to its share of them.
    #[derive(Copy)]
    pub struct Bounds {
        /// Extra requests (retries and hedges) to a service.
        pub retry_limit: RetryLimit,
        /// Requests to cold backend servers.
        pub warmup_limit: WarmupLimit,
        /// Longest pause of a backend server that asks for one.
        pub max_pause: Duration,
    }

    /// A backend server chosen for an attempt.
    pub struct Choice {
        /// Key in the fleet.
        pub key: BackendKey,
        /// The attempt, as registered with the health of the backend server.
        pub attempt: AttemptId,
        /// Instance id, which changes when the backend server restarts.
        pub id: Box<str>,
        /// Address for requests.
        pub address: std::net::SocketAddr,
        /// Number of requests that it executes concurrently.
        pub slots: u32,
        /// Most connections that this host may have open to it.
        pub max_connections: usize,
    }
}

value! {
    /// A backend server to which a check of the links connects.
    pub struct CheckTarget {
        /// Key in the fleet.
        pub key: BackendKey,
        /// Address for requests.
        pub address: std::net::SocketAddr,
        /// Its availability zone.
        pub zone: Box<str>,
        /// Most connections that this host may have open to it.
        pub max_connections: usize,
    }
}

value! {
    /// What follows from a configuration for one of its routes.
    #[derive(Copy)]
    struct RouteInfo {
        /// Digest of what the route says.
        digest: u64,
        /// Number of more urgent priorities among the queries over the same shards.
        rank: u32,
    }

    /// Why a query is not admitted.
    #[derive(Copy, Eq)]
    pub struct Refusal {
        /// Reason, for the log.
        pub reason: &'static str,
        /// Time after which the caller may come back.
        pub retry_after: Duration,
    }
}

/// Local state of a host.
#[derive(Debug)]
pub struct State {
    /// Configuration in force; `None` until the first one arrives.
    pub config: Option<Arc<Config>>,
    /// Hosts of the deployment, among which this one selects its upstream.
    pub peers: PeerTable,
    /// Latest time at which the state was known to match the registry; `None`
    /// before the first synchronisation.
    pub synced_at: Option<Instant>,
    /// Backend servers and their health.
    pub fleet: Fleet,
    /// Crashes of backend servers by request, to block requests that cause them.
    pub crashes: CrashTracker,
    location: Location,
    bounds: Bounds,
    division: Division,
    relay_health: RelayHealth,
    /// What follows from the configuration in force for each route, by name.
    routes: HashMap<Box<str>, RouteInfo>,
    /// Services that hold a shard of some route.
    shard_services: HashSet<Box<str>>,
    /// Limits on queries in progress, by the first service of their set of shards.
    admissions: HashMap<Box<str>, Admission>,
    budgets: HashMap<Box<str>, RetryBudget>,
    latencies: HashMap<Box<str>, LatencyEstimator>,
    splits: HashMap<Box<str>, WeightedRoundRobin>,
    rng: SmallRng,
}

impl State {
    /// State of a host that has just started. `hosts` is the number of hosts
    /// assumed until more are known.
    pub fn new(
        location: Location,
        bounds: Bounds,
        hosts: u32,
        peers: PeerTable,
        mut rng: SmallRng,
    ) -> State {
        State {
            config: None,
            peers,
            synced_at: None,
            fleet: Fleet::new(rng.random()),
            crashes: CrashTracker::default(),
            location,
            bounds,
            division: Division::equal(hosts),
            relay_health: RelayHealth::default(),
            routes: HashMap::default(),
            shard_services: HashSet::default(),
            admissions: HashMap::default(),
            budgets: HashMap::default(),
            latencies: HashMap::default(),
            splits: HashMap::default(),
            rng,
        }
    }

    /// Adopts a configuration if its version is higher than that in force.
    /// Returns whether it did.
    pub fn adopt(&mut self, config: Config) -> bool {
        let current = self.config.as_ref().map(|c| c.version);
        if current.is_some_and(|c| c >= config.version) {
            return false;
        }
        self.splits.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.latencies.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.budgets.retain(|name, _| config.services.contains_key(name));
        self.routes = route_infos(&config);
        let gathers = config.routes.iter().filter_map(|r| match &r.target {
            Target::Gather(gather) => Some(&gather.shards),
            _ => None,
        });
        self.shard_services = gathers.flatten().cloned().collect();
        self.admissions.retain(|service, _| self.shard_services.contains(service));
        self.config = Some(Arc::new(config));
        self.resize_budgets();
        true
    }

    /// Avoids a degraded backend server for a while. The time has a random
    /// spread of ±25 %, so that only a few hosts at first test whether the
    /// backend server has recovered.
    pub fn avoid(&mut self, id: &str, now: Instant) {
        let jitter = 0.75 + 0.5 * self.rng.random::<f64>();
        self.fleet.avoid(id, now + AVOID_TIME.mul_f64(jitter));
    }

    /// Marks a backend server as being at its connection limit for a while, in
    /// which no idle connection to it is kept. Returns its key, or None if it is
    /// unknown or already marked.
    pub fn mark_at_connection_limit(&mut self, id: &str, now: Instant) -> Option<BackendKey> {
        self.fleet.mark_at_connection_limit(id, now, now + AT_LIMIT_TIME)
    }

    /// Records that a backend server wants no request of this host for a while. Returns its id if
    /// it was not paused before.
    pub fn pause_server(
        &mut self,
        key: BackendKey,
        time: Duration,
        now: Instant,
    ) -> Option<Box<str>> {
        let backend = self.fleet.get_mut(key)?;
        let is_new = backend.pause.ask(time, self.bounds.max_pause, backend.phase, now);
        is_new.then(|| backend.entry.id.clone())
    }

    /// Records that a backend server has named a rate limit. Returns whether there was none
    /// before; unknown ids are ignored.
    pub fn name_limit(&mut self, id: &str, rate: f64, now: Instant) -> bool {
        let Some(key) = self.fleet.key(id) else { return false };
        let service = self.fleet.get(key).map(|b| &*b.entry.service);
        let share = service.map_or(0.0, |service| self.limit_share(service));
        self.fleet.get_mut(key).is_some_and(|b| b.limit.name(rate, share, now))
    }

    /// Ends the limit of a backend server; unknown ids are ignored.
    pub fn end_limit(&mut self, id: &str) {
        let key = self.fleet.key(id);
        if let Some(backend) = key.and_then(|key| self.fleet.get_mut(key)) {
            backend.limit.end();
        }
    }

    /// Part of the limit that a backend server of a service names which this host may use.
    fn limit_share(&self, service: &str) -> f64 {
        if self.shard_services.contains(service) {
            self.division.server_limit_share()
        } else {
            self.division.equal_share()
        }
    }

    /// Time until a backend server of a service may get a request of this host, if the
    /// limits that they name allow none now.
    pub fn limit_wait(&self, service: &str, now: Instant) -> Option<Duration> {
        self.fleet.limit_wait(service, self.limit_share(service), now)
    }

    /// The replicated registry state as encoded events, for a host that cannot be
    /// served with a delta and whose version of the messages is `format`.
    pub fn snapshot(&self, format: u32, now: Instant) -> Vec<Arc<str>> {
        let mut events = Vec::new();
        events.extend(self.config.as_ref().map(|c| Event::Config(Box::new((**c).clone()))));
        events.extend(self.fleet.evacuated_zones().iter().cloned().map(Event::Evacuated));
        for (host, peer) in self.peers.listed() {
            events.push(Event::Host(host.into(), peer.clone()));
        }
        for backend in self.fleet.iter() {
            let warmup = backend.warmup.remaining(now);
            events.push(Event::Server(Box::new(BackendEntry {
                warmup_left: warmup,
                ..backend.entry.clone()
            })));
        }
        for backend in self.fleet.iter().filter(|b| b.leaving) {
            let (id, started_at_ms) = (backend.entry.id.clone(), backend.entry.started_at_ms);
            events.push(Event::ServerLeaving { id, started_at_ms });
        }
        events.extend(self.crashes.records(now).into_iter().map(Event::RequestCrash));
        events.iter().filter(|e| e.format() <= format).filter_map(packed::pack).collect()
    }

    /// Number of hosts among which the limits are divided.
    pub fn hosts(&self) -> u32 {
        self.division.hosts
    }

    /// Divides the limits among at least `min_hosts` hosts, and resizes the retry
    /// budgets.
    pub fn update_division(&mut self, min_hosts: u32) {
        let hosts = self.peers.count().max(min_hosts).max(1);
        let division = Division::new(&self.peers, hosts);
        if division == self.division {
            return;
        }
        self.division = division;
        self.resize_budgets();
    }

    fn resize_budgets(&mut self) {
        let division = self.division;
        for (service, budget) in &mut self.budgets {
            let share = share_of(division, self.shard_services.contains(service));
            budget.resize(self.bounds.retry_limit, share);
        }
    }

    /// Part of the limits for a service that this host may use.
    fn share(&self, service: &str) -> f64 {
        share_of(self.division, self.shard_services.contains(service))
    }

    /// The host to which a query of a route is passed; None if this host gathers it.
    pub fn choose_relay(&mut self, gather: &Gather, now: Instant) -> Option<Relay> {
        if self.division.role != Role::Entry {
            return None;
        }
        let (peers, fleet, rng) = (&self.peers, &self.fleet, &mut self.rng);
        self.relay_health.choose(peers, fleet, gather, &self.location, rng, now)
    }

    /// The host to which a request is passed that this one cannot send to any backend server.
    pub fn choose_helper(
        &mut self,
        is_query: bool,
        min_format: u32,
        now: Instant,
    ) -> Option<Relay> {
        let (peers, rng) = (&self.peers, &mut self.rng);
        self.relay_health.choose_helper(peers, &self.location, is_query, min_format, rng, now)
    }

    /// Records that a host accepted an offer.
    pub fn record_accepted_offer(&mut self, host: &str, now: Instant) {
        self.relay_health.record_accepted(host, now);
    }

    /// Time after which the caller of a request may come back that neither this host nor
    /// another one could send to a backend server.
    pub fn retry_after_out_of_reach(&mut self) -> Duration {
        retry_after::after_unservable(&mut self.rng)
    }

    /// Does not pass queries to a host until the given time.
    pub fn avoid_relay(&mut self, host: &str, until: Instant, now: Instant) {
        self.relay_health.avoid(host, until, now);
    }

    /// Digest of a route of the configuration in force. Hosts on different versions of
    /// the configuration agree on a route if its digests are equal.
    pub fn route_digest(&self, route: &str) -> Option<u64> {
        self.routes.get(route).map(|r| r.digest)
    }

    /// Counts a first request to a service, which adds a fraction of an extra
    /// request to its retry budget.
    pub fn credit_retry_budget(&mut self, service: &str, now: Instant) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.record_request(now);
            return;
        }
        let share = self.share(service);
        let mut budget = RetryBudget::new(self.bounds.retry_limit, share, now);
        spdlog::debug!("retry budget of a service starts", kv: { service, share });
        budget.record_request(now);
        self.budgets.insert(service.into(), budget);
    }

    /// Admits a query of a route, or refuses it with the time after which its caller may
    /// come back.
    pub fn admit(&mut self, route: &Route, gather: &Gather, now: Instant) -> Result<(), Refusal> {
        let eligible = gather.shards.iter().filter(|s| self.fleet.has_eligible(s)).count();
        let Some(spare) = eligible.checked_sub(gather.required_shards()) else {
            let retry_after = retry_after::after_unservable(&mut self.rng);
            return Err(Refusal { reason: "no_backend", retry_after });
        };
        let Some(set) = gather.shards.first() else { return Ok(()) };
        let rank = self.routes.get(&route.name).map_or(0, |r| r.rank);
        let shards = gather.shards.iter();
        let pauses = shards.clone().filter_map(|s| self.fleet.pause_wait(s, now)).collect();
        if let Some(wait) = server_limit::wait_for_shards(pauses, spare) {
            let retry_after = retry_after::after_pause(wait, &mut self.rng);
            return Err(Refusal { reason: "server_pause", retry_after });
        }
        let waits = shards.filter_map(|s| self.limit_wait(s, now)).collect();
        if let Some(wait) = server_limit::wait_for_shards(waits, spare) {
            let retry_after = retry_after::after_overload(wait, rank, &mut self.rng);
            return Err(Refusal { reason: "server_limit", retry_after });
        }
        if !self.admissions.contains_key(set) {
            self.admissions.insert(set.clone(), Admission::new(now));
        }
        let Some(admission) = self.admissions.get_mut(set) else { return Ok(()) };
        if admission.admit(rank, now) {
            return Ok(());
        }
        let wait = admission.expected_wait();
        let retry_after = retry_after::after_overload(wait, rank, &mut self.rng);
        Err(Refusal { reason: "overload", retry_after })
    }

    /// Ends a query that was admitted at `start`.
    pub fn finish_query(&mut self, gather: &Gather, signal: Signal, start: Instant, now: Instant) {
        let admission = gather.shards.first().and_then(|set| self.admissions.get_mut(set));
        if let Some(admission) = admission {
            admission.finish(signal, start, now);
        }
    }

    /// Time after which a caller may come back whose request no backend server of a
    /// service executed.
    pub fn retry_after(&mut self, service: &str, route: &Route, now: Instant) -> Duration {
        if !self.fleet.has_eligible(service) {
            return retry_after::after_unservable(&mut self.rng);
        }
        if let Some(wait) = self.fleet.pause_wait(service, now) {
            return retry_after::after_pause(wait, &mut self.rng);
        }
        if let Some(wait) = self.limit_wait(service, now) {
            return retry_after::after_overload(wait, 0, &mut self.rng);
        }
        let typical = self.latency(route).median();
        let wait = self.fleet.queueing_time(service, typical, now);
        retry_after::after_overload(wait, 0, &mut self.rng)
    }

    /// Spends one extra request of the retry budget of a service. Returns false
    /// if the budget is exhausted.
    pub fn try_spend_retry(&mut self, service: &str, now: Instant) -> bool {
        self.budgets.get_mut(service).is_some_and(|b| b.try_spend(now))
    }

    /// Gives back an extra request that was spent but not sent.
    pub fn refund_retry(&mut self, service: &str) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.refund();
        }
    }

    /// Latency estimates of a route, created on first use.
    pub fn latency(&mut self, route: &Route) -> &mut LatencyEstimator {
        if !self.latencies.contains_key(&route.name) {
            self.latencies.insert(route.name.clone(), LatencyEstimator::new(route.latency_target));
        }
        self.latencies
            .entry(route.name.clone())
            .or_insert_with(|| LatencyEstimator::new(route.latency_target))
    }

    /// The service that gets the next request of a route, by the weights of its
    /// traffic split. None for a scatter-gather route, or if no service has a
    /// positive weight.
    pub fn pick_service(&mut self, route: &Route) -> Option<Box<str>> {
        match &route.target {
            Target::One(service) => Some(service.clone()),
            Target::Gather(_) => None,
            Target::Split(services) => {
                let offset = self.rng.random::<f64>();
                let robin = self.splits.entry(route.name.clone());
                let robin = robin.or_insert_with(|| WeightedRoundRobin::new(services, offset));
                robin.next(services).map(|i| services[i].service.clone())
            }
        }
    }

    /// Backend servers to which a check of the links connects, those of the host's own
    /// availability zone first. Those to which `pools` has room for a connection are preferred.
    pub fn check_targets(&mut self, pools: &Pools) -> Vec<CheckTarget> {
        let mut rng = SmallRng::from_rng(&mut self.rng);
        let target = |key| {
            let entry = &self.fleet.get(key)?.entry;
            let max_connections = self.connection_limit(&entry.service);
            let (address, zone) = (entry.address, entry.zone.clone());
            Some(CheckTarget { key, address, zone, max_connections })
        };
        let has_room = |key| target(key).is_some_and(|t| pools.has_room(key, t.max_connections));
        let keys = self.fleet.sample_zones(&self.location.zone, has_room, &mut rng);
        keys.into_iter().filter_map(target).collect()
    }

    /// Most connections that this host may have open to a backend server of a service.
    pub fn connection_limit(&self, service: &str) -> usize {
        (self.own_connections(service) as usize).max(1)
    }

    /// Connections to each backend server of a service that this host may have, a fraction
    /// if there are fewer than hosts.
    fn own_connections(&self, service: &str) -> f64 {
        let settings = self.config.as_ref().and_then(|c| c.services.get(service));
        f64::from(settings.map_or(1, |s| s.max_connections)) * self.share(service)
    }

    /// Chooses a backend server of a service and starts an attempt at it; see
    /// [`Core::choose`](crate::core::Core::choose). Backend servers with an idle
    /// connection in `pools` are preferred.
    pub fn choose(
        &mut self,
        service: &str,
        tried: &[BackendKey],
        expected: Duration,
        pools: &Pools,
        now: Instant,
    ) -> Option<Choice> {
        let settings = self.config.as_ref()?.services.get(service).copied();
        let own_connections = self.own_connections(service);
        let limit_share = self.limit_share(service);
        let criteria = Criteria {
            service,
            zone: &self.location.zone,
            tried,
            expected_latency: expected,
            warmup_limit: self.bounds.warmup_limit,
            cold_rate: settings.map_or(0.0, |s| s.cold_rate),
            max_connections: own_connections,
            hosts: self.division.hosts,
            limit_share,
        };
        let is_connected = |key| pools.has_idle(key);
        let key = self.fleet.choose(&criteria, is_connected, &mut self.rng, now)?;
        let max_connections = self.connection_limit(service);
        let backend = self.fleet.get_mut(key)?;
        backend.warmup.record_sent(now);
        backend.limit.record_sent(limit_share, now);
        backend.pause.record_sent(now);
        let attempt = backend.health.start_attempt(expected, now);
        let entry = &backend.entry;
        let (id, address, slots) = (entry.id.clone(), entry.address, entry.slots);
        Some(Choice { key, attempt, id, address, slots, max_connections })
    }
}

/// Part of the limits for a service that a host may use; relays use more of the limits
/// for services that hold shards.
fn share_of(division: Division, holds_shard: bool) -> f64 {
    if holds_shard { division.shard_share() } else { division.equal_share() }
}

/// Digest of what a route says, the same on all hosts.
fn digest(route: &Route) -> u64 {
    let mut hasher = FxHasher::default();
    // Routes are plain data, which serialises without errors.
    serde_json::to_string(route).unwrap_or_default().hash(&mut hasher);
    hasher.finish()
}

fn route_infos(config: &Config) -> HashMap<Box<str>, RouteInfo> {
    let mut priorities: HashMap<&str, HashSet<u32>> = HashMap::default();
    for route in &config.routes {
        if let Some(set) = shard_set(route) {
            priorities.entry(set).or_default().insert(route.priority);
        }
    }
    let info = |route: &Route| {
        let sharing = shard_set(route).and_then(|set| priorities.get(set));
        let more_urgent = sharing.into_iter().flatten().filter(|p| **p < route.priority);
        RouteInfo { digest: digest(route), rank: more_urgent.count() as u32 }
    };
    config.routes.iter().map(|r| (r.name.clone(), info(r))).collect()
}

/// The service that represents the set of shards of a route.
fn shard_set(route: &Route) -> Option<&str> {
    let Target::Gather(gather) = &route.target else { return None };
    gather.shards.first().map(|s| &**s)
}
