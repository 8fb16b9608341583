//! What a host believes: configuration, backend servers, budgets.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::value;
use chervil_route::budget::RetryBudget;
use chervil_route::budget::RetryLimit;
use chervil_route::config::Config;
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
use chervil_route::round_robin::WeightedRoundRobin;
use chervil_route::warmup::WarmupLimit;
use rand::RngExt as _;
use rand::rngs::SmallRng;

use crate::packed;
use crate::pool::Pools;
use crate::registry::Event;

/// Time for which a backend server in trouble is avoided.
const AVOID_TIME: Duration = Duration::from_secs(4);

/// Time for which no idle connection to a crowded backend server is kept; it is
/// told again while it stays crowded.
const CROWDED_TIME: Duration = Duration::from_millis(1_500);

value! {
    /// Bounds that hold for all hosts together.
    #[derive(Copy)]
    pub struct Bounds {
        /// Extra requests to a service.
        pub allowance: RetryLimit,
        /// Requests to cold backend servers.
        pub warmup: WarmupLimit,
    }

    /// A backend server that was chosen for an attempt.
    pub struct Choice {
        /// Key.
        pub key: BackendKey,
        /// Attempt that was begun.
        pub attempt: AttemptId,
        /// Name of this start of the backend server.
        pub id: Box<str>,
        /// Address.
        pub address: std::net::SocketAddr,
        /// Connections that this host may open to it.
        pub connections: usize,
    }
}

/// State of one host.
#[derive(Debug)]
pub struct State {
    /// Configuration in force, none before the first.
    pub config: Option<Arc<Config>>,
    /// Hosts of the deployment.
    pub sources: PeerTable,
    /// Time at which what the host believes was known to be all.
    pub confirmed: Option<Instant>,
    /// Backend servers.
    pub fleet: Fleet,
    /// Requests that may crash backend servers.
    pub suspects: CrashTracker,
    zone: Box<str>,
    bounds: Bounds,
    hosts: u32,
    budgets: HashMap<Box<str>, RetryBudget>,
    paces: HashMap<Box<str>, LatencyEstimator>,
    splits: HashMap<Box<str>, WeightedRoundRobin>,
    rng: SmallRng,
}

impl State {
    /// State of a host that has just started.
    pub fn new(
        zone: Box<str>,
        bounds: Bounds,
        hosts: u32,
        sources: PeerTable,
        mut rng: SmallRng,
    ) -> State {
        State {
            config: None,
            sources,
            confirmed: None,
            fleet: Fleet::new(rng.random()),
            suspects: CrashTracker::default(),
            zone,
            bounds,
            hosts,
            budgets: HashMap::default(),
            paces: HashMap::default(),
            splits: HashMap::default(),
            rng,
        }
    }

    /// Adopts a configuration, unless it is older than the one in force.
    pub fn adopt(&mut self, config: Config) -> bool {
        let current = self.config.as_ref().map(|c| c.version);
        if current.is_some_and(|c| c >= config.version) {
            return false;
        }
        self.splits.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.paces.retain(|name, _| config.routes.iter().any(|r| r.name == *name));
        self.budgets.retain(|name, _| config.services.contains_key(name));
        self.config = Some(Arc::new(config));
        true
    }

    /// Avoids a backend server for a while, the length of which differs from
    /// host to host, so that few of them find out whether it has recovered.
    pub fn avoid(&mut self, id: &str, now: Instant) {
        let spread = 0.75 + 0.5 * self.rng.random::<f64>();
        self.fleet.avoid(id, now + AVOID_TIME.mul_f64(spread));
    }

    /// Keeps no idle connection to a crowded backend server for a while. None if
    /// it is not known, or was crowded before.
    pub fn crowd(&mut self, id: &str, now: Instant) -> Option<BackendKey> {
        self.fleet.mark_at_connection_limit(id, now, now + CROWDED_TIME)
    }

    /// Everything that the host believes of the registry, as events for another host.
    pub fn snapshot(&self, now: Instant) -> Vec<Arc<str>> {
        let mut events = Vec::new();
        events.extend(self.config.as_ref().map(|c| Event::Config(Box::new((**c).clone()))));
        events.extend(self.fleet.evacuated_zones().iter().cloned().map(Event::Evacuated));
        for (host, peer) in self.sources.listed() {
            events.push(Event::Host(host.into(), peer));
        }
        for backend in self.fleet.iter() {
            let warmup = backend.warmup.remaining(now);
            events.push(Event::Server(Box::new(BackendEntry {
                warmup_left: warmup,
                ..backend.entry.clone()
            })));
        }
        events.iter().filter_map(packed::pack).collect()
    }

    /// Number of hosts that share the bounds.
    pub fn hosts(&self) -> u32 {
        self.hosts
    }

    /// Takes in the number of hosts that share the bounds.
    pub fn set_hosts(&mut self, hosts: u32) {
        self.hosts = hosts.max(1);
        for budget in self.budgets.values_mut() {
            budget.resize(self.bounds.allowance, self.hosts);
        }
    }

    /// Counts a request to a service, which earns a part of an extra request.
    pub fn earn(&mut self, service: &str, now: Instant) {
        if let Some(budget) = self.budgets.get_mut(service) {
            budget.record_request(now);
            return;
        }
        let mut budget = RetryBudget::new(self.bounds.allowance, self.hosts, now);
        budget.record_request(now);
        self.budgets.insert(service.into(), budget);
    }

    /// Takes an extra request out of the budget of a service, if it has one.
    pub fn spend(&mut self, service: &str, now: Instant) -> bool {
        self.budgets.get_mut(service).is_some_and(|b| b.try_spend(now))
    }

    /// Latency estimates of a route.
    pub fn pace(&mut self, route: &Route) -> &mut LatencyEstimator {
        if !self.paces.contains_key(&route.name) {
            self.paces.insert(route.name.clone(), LatencyEstimator::new(route.latency_target));
        }
        self.paces
            .entry(route.name.clone())
            .or_insert_with(|| LatencyEstimator::new(route.latency_target))
    }

    /// The one service that gets the next request of a route.
    pub fn pick_service(&mut self, route: &Route) -> Option<Box<str>> {
        match &route.target {
            Target::One(service) => Some(service.clone()),
            Target::Gather(_) => None,
            Target::Split(shares) => {
                let offset = self.rng.random::<f64>();
                let split = self.splits.entry(route.name.clone());
                let split = split.or_insert_with(|| WeightedRoundRobin::new(shares, offset));
                split.next(shares).map(|i| shares[i].service.clone())
            }
        }
    }

    /// Chooses a backend server of a service, with the connections in `pools`,
    /// and begins an attempt at it.
    pub fn choose(
        &mut self,
        service: &str,
        tried: &[BackendKey],
        expected: Duration,
        pools: &Pools,
        now: Instant,
    ) -> Option<Choice> {
        let known = self.config.as_ref()?.services.get(service).copied();
        let need = Criteria {
            service,
            zone: &self.zone,
            tried,
            expected_latency: expected,
            warmup_limit: self.bounds.warmup,
            cold_rate: known.map_or(0.0, |s| s.cold_rate),
            max_connections: known.map_or(1, |s| s.max_connections),
            hosts: self.hosts,
        };
        let connected = |key| pools.has_idle(key);
        let key = self.fleet.choose(&need, connected, &mut self.rng, now)?;
        let connections = known.map_or(1, |s| (s.max_connections / self.hosts).max(1) as usize);
        let backend = self.fleet.get_mut(key)?;
        backend.warmup.record_sent(now);
        let attempt = backend.health.start_attempt(expected, now);
        let (id, address) = (backend.entry.id.clone(), backend.entry.address);
        Some(Choice { key, attempt, id, address, connections })
    }
}
