//! Settings file of the load generator.

use std::net::SocketAddr;

use serde::Deserialize;

/// What to measure, and how.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct BenchSettings {
    /// Addresses of the entries, used in turn.
    pub entries: Vec<SocketAddr>,
    /// Admin addresses of the entries, in the same order; an entry that is not
    /// ready gets no request, as behind the platform's load balancer.
    #[serde(default)]
    pub admins: Vec<SocketAddr>,
    /// Control port of the stand-in.
    pub control: SocketAddr,
    /// Service that is queried.
    pub service: Box<str>,
    /// Seed of the arrivals and of the naive policy.
    #[serde(default = "default_seed")]
    pub seed: u64,
    /// Length of one phase, in seconds.
    #[serde(default = "default_duration")]
    pub duration_s: f64,
    /// Queries per second; derived from `load` when absent.
    pub rate: Option<f64>,
    /// Share of the slot capacity that the needed sub-requests use.
    #[serde(default = "default_load")]
    pub load: f64,
    /// Deadline of a query, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: u64,
    /// Distinct queries, used in turn.
    #[serde(default = "default_bodies")]
    pub bodies: u32,
    /// Non-idempotent requests per second, each sent twice under one key.
    #[serde(default)]
    pub run_rate: f64,
    /// Availability zone that leaves and returns.
    #[serde(default = "default_zone")]
    pub zone: Box<str>,
    /// Pause between phases, in seconds.
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
