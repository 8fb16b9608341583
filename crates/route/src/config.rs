//! Routing configuration written by the operators, and route matching.

use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::message;

message! {
    /// One version of the routing configuration.
    pub struct Config {
        /// Increases with each published configuration.
        pub version: u64,
        /// Routes; of those that match a request, the longest prefix wins.
        pub routes: Vec<Route>,
        /// Services by name.
        pub services: HashMap<Box<str>, Service>,
        /// Limits on what a caller may send.
        pub limits: Limits,
    }

    /// Maps requests with a given hostname and path prefix to services.
    pub struct Route {
        /// Unique name.
        pub name: Box<str>,
        /// Hostname of the request, without a port; compared case-insensitively.
        #[serde(rename = "host")]
        pub hostname: Box<str>,
        /// Path prefix; begins and ends with a slash.
        pub prefix: Box<str>,
        /// Services that handle the requests.
        pub target: Target,
        /// Whether a request may be executed more than once.
        pub idempotent: bool,
        /// Longest time that a caller waits for the answer.
        pub timeout: Duration,
        /// Latency target: answers within it have the highest value.
        #[serde(rename = "aim")]
        pub latency_target: Duration,
        /// Maximum number of backend servers that may execute one request, or one
        /// shard of it.
        #[serde(rename = "attempts")]
        pub max_attempts: u32,
        /// Priority; 0 is the most urgent.
        pub priority: u32,
    }

    /// Services that handle the requests of a route.
    pub enum Target {
        /// A single service.
        One(Box<str>),
        /// One of several services, chosen by weight.
        Split(Vec<WeightedService>),
        /// All of several services, each of which holds one shard.
        Gather(Gather),
    }

    /// A service of a traffic split.
    pub struct WeightedService {
        /// Service name.
        pub service: Box<str>,
        /// Weight relative to the other services; 0 excludes the service.
        pub weight: f64,
    }

    /// Scatter-gather over shards: which services to query and how to combine
    /// their results.
    pub struct Gather {
        /// Service names, one for each shard.
        pub shards: Vec<Box<str>>,
        /// Number of records in the merged answer.
        #[serde(rename = "top")]
        pub top_k: usize,
        /// Smallest fraction of the shards (0 to 1) that makes a valid answer.
        #[serde(rename = "least")]
        pub min_coverage: f64,
    }

    /// Capacity of each backend server of a service.
    #[derive(Copy)]
    pub struct Service {
        /// Connections that one backend server accepts from all hosts together.
        #[serde(rename = "connections")]
        pub max_connections: u32,
        /// Requests per second that a cold backend server sustains; 0 if the
        /// service sets no limit.
        pub cold_rate: f64,
    }

    /// Limits on what a caller may send.
    #[derive(Copy)]
    pub struct Limits {
        /// Maximum size of a request head.
        #[serde(rename = "head")]
        pub max_head_bytes: usize,
        /// Maximum size of a request body.
        #[serde(rename = "body")]
        pub max_body_bytes: usize,
        /// Time after which an idle connection is closed.
        #[serde(rename = "idle")]
        pub idle_timeout: Duration,
    }
}

message! {
    /// What differs between two versions of the configuration.
    pub struct ConfigDelta {
        /// Version to which the changes apply.
        pub base: u64,
        /// Version that results.
        pub version: u64,
        /// Routes that were added or changed.
        pub routes: Vec<Route>,
        /// Names of the routes that were removed.
        pub removed_routes: Vec<Box<str>>,
        /// Services that were added or changed, by name.
        pub services: HashMap<Box<str>, Service>,
        /// Names of the services that were removed.
        pub removed_services: Vec<Box<str>>,
        /// Limits of the resulting version.
        pub limits: Limits,
    }
}

impl Config {
    /// What differs between `old` and this configuration. None if routes share a
    /// name, so that a name does not identify one.
    pub fn delta_from(&self, old: &Config) -> Option<ConfigDelta> {
        let old_routes = old.routes_by_name()?;
        let new_routes = self.routes_by_name()?;
        let is_changed = |r: &&Route| old_routes.get(&*r.name) != Some(r);
        let services = self.services.iter().filter(|(n, s)| old.services.get(*n) != Some(*s));
        let removed_routes = old.routes.iter().filter(|r| !new_routes.contains_key(&*r.name));
        let removed_services = old.services.keys().filter(|n| !self.services.contains_key(*n));
        Some(ConfigDelta {
            base: old.version,
            version: self.version,
            routes: self.routes.iter().filter(is_changed).cloned().collect(),
            removed_routes: removed_routes.map(|r| r.name.clone()).collect(),
            services: services.map(|(name, s)| (name.clone(), *s)).collect(),
            removed_services: removed_services.cloned().collect(),
            limits: self.limits,
        })
    }

    /// This configuration with the changes applied. None if they apply to another
    /// version.
    pub fn apply(&self, delta: ConfigDelta) -> Option<Config> {
        if self.version != delta.base {
            return None;
        }
        let mut config = Config { version: delta.version, limits: delta.limits, ..self.clone() };
        let is_replaced = |name: &str| delta.routes.iter().any(|r| *r.name == *name);
        config.routes.retain(|r| !delta.removed_routes.contains(&r.name) && !is_replaced(&r.name));
        config.routes.extend(delta.routes);
        config.services.retain(|name, _| !delta.removed_services.contains(name));
        config.services.extend(delta.services);
        Some(config)
    }

    /// Routes by name. None if two share a name.
    fn routes_by_name(&self) -> Option<HashMap<&str, &Route>> {
        let routes: HashMap<&str, &Route> = self.routes.iter().map(|r| (&*r.name, r)).collect();
        (routes.len() == self.routes.len()).then_some(routes)
    }

    /// Index of the route with the longest matching prefix among the routes of
    /// `host`, which may include a port. None if no route matches.
    pub fn match_route(&self, host: &str, path: &str) -> Option<usize> {
        let hostname = host.split(':').next().unwrap_or(host);
        let matches =
            |r: &Route| r.hostname.eq_ignore_ascii_case(hostname) && path.starts_with(&*r.prefix);
        let candidates = self.routes.iter().enumerate().filter(|(_, r)| matches(r));
        candidates.max_by_key(|(_, r)| r.prefix.len()).map(|(i, _)| i)
    }
}

impl Target {
    /// Whether requests may go to single backend servers of a service.
    pub fn has_service(&self, service: &str) -> bool {
        match self {
            Target::One(one) => **one == *service,
            Target::Split(services) => services.iter().any(|s| *s.service == *service),
            Target::Gather(_) => false,
        }
    }

    /// Number of shards that a request is sent to, and of those that must reply.
    pub fn shard_counts(&self) -> (usize, usize) {
        match self {
            Target::One(_) | Target::Split(_) => (1, 1),
            Target::Gather(gather) => (gather.shards.len(), gather.required_shards()),
        }
    }
}

impl Gather {
    /// Number of shards that must answer: the minimum coverage, rounded up, and
    /// at least 1.
    pub fn required_shards(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        // Without the tolerance, a rounding error as in 0.07 * 100 > 7 would
        // require one shard more.
        ((exact - 1e-9).ceil() as usize).clamp(1, self.shards.len().max(1))
    }
}
