//! Settings file of the load generator.

use std::net::SocketAddr;

use serde::Deserialize;

/// Settings of a run.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchSettings {
    /// Addresses of the entries, used round-robin.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the entries, in the same order. An entry that is not
    /// ready gets no requests, as with the platform's load balancer. Entries
    /// without one always count as ready.
    #[serde(default)]
    pub admins: Vec<SocketAddr>,
    /// Address of the stand-in's control port.
    pub control: SocketAddr,
    /// Service that is queried.
    pub service: Box<str>,
    /// Seed of the arrival times and of the naive policy.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Duration of a phase, in seconds.
    #[serde(default = "default_duration")]
    pub duration_s: f64,
    /// Mean number of queries per second; derived from `load` if absent.
    pub rate: Option<f64>,
    /// Share of the slots that the needed sub-requests occupy, from 0 to 1.
    #[serde(default = "default_load")]
    pub load: f64,
    /// Timeout of a query, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Number of distinct queries, sent round-robin.
    #[serde(default = "default_bodies")]
    pub bodies: u32,
    /// Mean number of non-idempotent requests per second, each sent twice under
    /// one key.
    #[serde(default)]
    pub run_rate: f64,
    /// Availability zone that the scenario `zone` takes out of service.
    #[serde(default = "default_zone")]
    pub zone: Box<str>,
    /// Pause before each phase, in seconds.
    #[serde(default = "default_pause")]
    pub pause_s: f64,
}

fn default_seed() -> u64 {
    1
}

fn default_duration() -> f64 {
    20.0
}

fn default_load() -> f64 {
    0.5
}

fn default_timeout() -> u64 {
    1_000
}

fn default_bodies() -> u32 {
    32
}

fn default_zone() -> Box<str> {
    "z1".into()
}

fn default_pause() -> f64 {
    3.0
}
