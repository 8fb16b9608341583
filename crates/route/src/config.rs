//! The operators' configuration and the choice of a route.

use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::message;

message! {
    /// One version of the operators' configuration.
    pub struct Config {
        /// Version, which grows from one configuration to the next.
        pub version: u64,
        /// Routes.
        pub routes: Vec<Route>,
        /// Services by name.
        pub services: HashMap<Box<str>, Service>,
        /// Bounds on what a caller may send.
        pub limits: Limits,
    }

    /// Where requests of a host and path go.
    pub struct Route {
        /// Name.
        pub name: Box<str>,
        /// Host that the request names.
        #[serde(rename = "host")]
        pub hostname: Box<str>,
        /// Start of the path, from slash to slash.
        pub prefix: Box<str>,
        /// Services that serve the route.
        pub target: Target,
        /// Whether a request may run more than once.
        pub idempotent: bool,
        /// Longest time that a caller is kept waiting.
        pub timeout: Duration,
        /// Time within which an answer is worth most.
        #[serde(rename = "aim")]
        pub latency_target: Duration,
        /// Most backend servers that may run one request, or one part of it.
        #[serde(rename = "attempts")]
        pub max_attempts: u32,
        /// Rank; 0 is the most urgent.
        pub priority: u32,
    }

    /// Services that serve a route.
    pub enum Target {
        /// One service.
        One(Box<str>),
        /// One of several services, by weight.
        Split(Vec<WeightedService>),
        /// All of several services; each holds one shard.
        Gather(Gather),
    }

    /// A service and its weight.
    pub struct WeightedService {
        /// Service.
        pub service: Box<str>,
        /// Weight relative to the other shares.
        pub weight: f64,
    }

    /// How the parts of many shards become one answer.
    pub struct Gather {
        /// Services, one for each shard.
        pub shards: Vec<Box<str>>,
        /// Number of records in the answer.
        #[serde(rename = "top")]
        pub top_k: usize,
        /// Least share of the shards that makes an answer.
        #[serde(rename = "least")]
        pub min_coverage: f64,
    }

    /// What backend servers of a service bear.
    #[derive(Copy)]
    pub struct Service {
        /// Connections that one backend server accepts from all hosts.
        #[serde(rename = "connections")]
        pub max_connections: u32,
        /// Requests a second that a cold backend server bears; 0 where the
        /// service states no bound.
        pub cold_rate: f64,
    }

    /// Bounds on what a caller may send.
    #[derive(Copy)]
    pub struct Limits {
        /// Largest request head in bytes.
        #[serde(rename = "head")]
        pub max_head_bytes: usize,
        /// Largest request body in bytes.
        #[serde(rename = "body")]
        pub max_body_bytes: usize,
        /// Longest time that a connection may stay idle.
        #[serde(rename = "idle")]
        pub idle_timeout: Duration,
    }
}

impl Config {
    /// The route of a request: of the routes of its host, the one with the
    /// longest prefix.
    pub fn match_route(&self, host: &str, path: &str) -> Option<usize> {
        let host = host.split(':').next().unwrap_or(host);
        let fits =
            |r: &Route| r.hostname.eq_ignore_ascii_case(host) && path.starts_with(&*r.prefix);
        let found = self.routes.iter().enumerate().filter(|(_, r)| fits(r));
        found.max_by_key(|(_, r)| r.prefix.len()).map(|(i, _)| i)
    }
}

impl Gather {
    /// Number of parts that an answer needs.
    pub fn required_parts(&self) -> usize {
        let exact = self.min_coverage * self.shards.len() as f64;
        ((exact - 1e-9).ceil() as usize).clamp(1, self.shards.len().max(1))
    }
}
