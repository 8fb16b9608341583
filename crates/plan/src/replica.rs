//! Health of backend servers and gates, as observed in real requests.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;

/// How long a replica is deprioritized after its first failure. The time
/// doubles with each further failure.
const INITIAL_PENALTY: Duration = Duration::from_millis(250);

/// Maximum time for which a replica is deprioritized.
const MAX_PENALTY: Duration = Duration::from_secs(5);

/// Consecutive slow sub-requests after which a server is deprioritized. With 1
/// slow reply in 100, a healthy server reaches this once in a million replies.
const MAX_CONSECUTIVE_SLOW: u32 = 3;

/// Weight of a new sample in the moving average of one server's latency.
const SERVER_ALPHA: f64 = 0.1;

/// Weight of a new sample in the moving average over all servers.
const MEAN_ALPHA: f64 = 0.01;

/// Latency assumed for a server before any sample, in seconds.
const INITIAL_LATENCY: f64 = 0.02;

/// Observations of one server or gate.
#[derive(Clone, Debug, Default)]
struct Stats {
    /// Moving average of the latency, in seconds; `None` before the first sample.
    latency: Option<f64>,
    /// Sub-requests in flight.
    open: u32,
    /// Consecutive failures.
    failures: u32,
    /// Consecutive sub-requests that were cancelled as slow.
    slow: u32,
}

/// Observed health of the backend servers and gates of one service.
///
/// A deprioritized replica is asked only after the others, but stays a
/// candidate.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    servers: HashMap<Box<str>, Stats>,
    gates: HashMap<Box<str>, Stats>,
    /// Deprioritized servers and the end of that time; usually few.
    deprioritized_servers: HashMap<Box<str>, Instant>,
    /// Deprioritized gates and the end of that time.
    deprioritized_gates: HashMap<Box<str>, Instant>,
    /// Moving average of the latency of all servers, in seconds.
    mean_latency: Option<f64>,
}

impl ReplicaHealth {
    /// Records that a sub-request was sent to a server.
    pub fn record_sent(&mut self, server: &str) {
        stats_mut(&mut self.servers, server).open += 1;
    }

    /// Records that a sub-request ended, with any outcome.
    pub fn record_ended(&mut self, server: &str) {
        if let Some(s) = self.servers.get_mut(server) {
            s.open = s.open.saturating_sub(1);
        }
    }

    /// Records the latency of a sub-request, or for a cancelled one how long it
    /// had run.
    pub fn record_latency(&mut self, server: &str, latency: Duration) {
        let sample = latency.as_secs_f64();
        let mean_latency = self.mean_latency.get_or_insert(sample);
        *mean_latency += MEAN_ALPHA * (sample - *mean_latency);
        let s = stats_mut(&mut self.servers, server);
        let known = s.latency.unwrap_or(*mean_latency);
        s.latency = Some(known + SERVER_ALPHA * (sample - known));
    }

    /// Records that a sub-request was cancelled after `waited` because another
    /// one for the same shard was faster.
    pub fn record_slow(&mut self, server: &str, waited: Duration, now: Instant) {
        self.record_latency(server, waited);
        let s = stats_mut(&mut self.servers, server);
        s.slow += 1;
        if s.slow >= MAX_CONSECUTIVE_SLOW {
            let until = now + penalty(s);
            self.deprioritized_servers.insert(server.into(), until);
        }
    }

    /// Records a successful reply, which ends the deprioritization.
    pub fn record_success(&mut self, server: &str) {
        let s = stats_mut(&mut self.servers, server);
        s.failures = 0;
        s.slow = 0;
        self.deprioritized_servers.remove(server);
    }

    /// Records a failure; the server is deprioritized, for longer each time.
    pub fn record_failure(&mut self, server: &str, now: Instant) {
        let until = now + penalty(stats_mut(&mut self.servers, server));
        self.deprioritized_servers.insert(server.into(), until);
    }

    /// Records a refusal: the server is deprioritized for at least `wait`, which
    /// is capped at 5 s.
    pub fn record_busy(&mut self, server: &str, wait: Duration, now: Instant) {
        let until = now + wait.min(MAX_PENALTY);
        let end = self.deprioritized_servers.entry(server.into()).or_insert(until);
        *end = until.max(*end);
    }

    /// Records that a gate is unreachable or its connection was lost.
    pub fn record_gate_failure(&mut self, host: &str, now: Instant) {
        let until = now + penalty(stats_mut(&mut self.gates, host));
        self.deprioritized_gates.insert(host.into(), until);
    }

    /// Records a reply from a gate, which ends the deprioritization.
    pub fn record_gate_success(&mut self, host: &str) {
        if let Some(g) = self.gates.get_mut(host) {
            g.failures = 0;
            self.deprioritized_gates.remove(host);
        }
    }

    /// Whether a server is deprioritized.
    pub fn is_deprioritized(&self, server: &str, now: Instant) -> bool {
        self.deprioritized_servers.get(server).is_some_and(|t| now < *t)
    }

    /// Whether a gate is deprioritized.
    pub fn is_gate_deprioritized(&self, host: &str, now: Instant) -> bool {
        self.deprioritized_gates.get(host).is_some_and(|t| now < *t)
    }

    /// Names of the deprioritized servers.
    pub fn deprioritized(&mut self, now: Instant) -> impl Iterator<Item = &str> {
        self.deprioritized_servers.retain(|_, until| now < *until);
        self.deprioritized_servers.keys().map(|n| &**n)
    }

    /// Host names of the deprioritized gates.
    pub fn deprioritized_gates(&mut self, now: Instant) -> impl Iterator<Item = &str> {
        self.deprioritized_gates.retain(|_, until| now < *until);
        self.deprioritized_gates.keys().map(|n| &**n)
    }

    /// Expected wait at a server, comparable between servers, if `more`
    /// sub-requests and one further are added to those in flight.
    pub fn cost(&self, server: &str, slots: u32, more: u32) -> f64 {
        let stats = self.servers.get(server);
        let open = stats.map_or(0, |s| s.open);
        // A server without a sample gets the average of all servers; with a
        // pessimistic default it might never be chosen and measured.
        let latency =
            stats.and_then(|s| s.latency).or(self.mean_latency).unwrap_or(INITIAL_LATENCY);
        latency * f64::from(open + more + 1) / f64::from(slots.max(1))
    }

    /// Removes the servers for which `keep` returns false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
        self.deprioritized_servers.retain(|name, _| keep(name));
    }
}

fn stats_mut<'a>(map: &'a mut HashMap<Box<str>, Stats>, name: &str) -> &'a mut Stats {
    if !map.contains_key(name) {
        map.insert(name.into(), Stats::default());
    }
    map.entry(name.into()).or_default()
}

/// Counts one more failure and returns how long the server or gate is
/// deprioritized for it.
fn penalty(stats: &mut Stats) -> Duration {
    let penalty = INITIAL_PENALTY * 2u32.pow(stats.failures.min(5));
    stats.failures += 1;
    penalty.min(MAX_PENALTY)
}
