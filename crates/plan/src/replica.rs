//! What real requests have shown of each backend server and gate.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;

/// First time for which a failing replica is asked last.
const FIRST_PENALTY: Duration = Duration::from_millis(250);

/// Longest time for which a failing replica is asked last.
const MAX_PENALTY: Duration = Duration::from_secs(5);

/// Slow sub-requests in a row after which a server counts as failing. With 1
/// slow reply in 100, a sound server reaches this once in a million replies.
const MAX_SLOW: u32 = 3;

/// Weight of a new latency sample.
const ALPHA: f64 = 0.1;

/// Weight of a new latency sample in what is typical of all servers.
const TYPICAL_ALPHA: f64 = 0.01;

/// Latency taken for typical before any reply.
const FIRST_LATENCY: f64 = 0.02;

/// Observations of one server or gate.
#[derive(Clone, Debug, Default)]
struct Stats {
    /// In seconds; `None` before the first sample.
    latency: Option<f64>,
    open: u32,
    failures: u32,
    /// Sub-requests in a row that were given up as slow.
    slow: u32,
}

/// Observations of the backend servers and gates of one service.
#[derive(Clone, Debug, Default)]
pub struct ReplicaHealth {
    servers: HashMap<Box<str>, Stats>,
    gates: HashMap<Box<str>, Stats>,
    /// Servers that are asked last, and until when; usually few.
    deprioritized_servers: HashMap<Box<str>, Instant>,
    /// Gates that are asked last, and until when.
    deprioritized_gates: HashMap<Box<str>, Instant>,
    /// Latency typical of all servers, in seconds.
    typical: Option<f64>,
}

impl ReplicaHealth {
    /// Records that a sub-request is sent.
    pub fn record_sent(&mut self, server: &str) {
        entry(&mut self.servers, server).open += 1;
    }

    /// Records that a sub-request ended, in whatever way.
    pub fn record_ended(&mut self, server: &str) {
        if let Some(s) = self.servers.get_mut(server) {
            s.open = s.open.saturating_sub(1);
        }
    }

    /// Records a latency, or how long a sub-request had run when given up.
    pub fn record_latency(&mut self, server: &str, latency: Duration) {
        let sample = latency.as_secs_f64();
        let typical = self.typical.get_or_insert(sample);
        *typical += TYPICAL_ALPHA * (sample - *typical);
        let s = entry(&mut self.servers, server);
        let known = s.latency.unwrap_or(*typical);
        s.latency = Some(known + ALPHA * (sample - known));
    }

    /// Records that a sub-request was given up after `waited` because another
    /// was faster.
    pub fn record_slow(&mut self, server: &str, waited: Duration, now: Instant) {
        self.record_latency(server, waited);
        let s = entry(&mut self.servers, server);
        s.slow += 1;
        if s.slow >= MAX_SLOW {
            let until = now + penalty(s);
            self.deprioritized_servers.insert(server.into(), until);
        }
    }

    /// Records a good reply.
    pub fn record_success(&mut self, server: &str) {
        let s = entry(&mut self.servers, server);
        s.failures = 0;
        s.slow = 0;
        self.deprioritized_servers.remove(server);
    }

    /// Records a failure; the server is asked last for a while.
    pub fn record_failure(&mut self, server: &str, now: Instant) {
        let until = now + penalty(entry(&mut self.servers, server));
        self.deprioritized_servers.insert(server.into(), until);
    }

    /// Records that the server asks to be left alone for `wait`.
    pub fn record_busy(&mut self, server: &str, wait: Duration, now: Instant) {
        let until = now + wait.min(MAX_PENALTY);
        let last = self.deprioritized_servers.entry(server.into()).or_insert(until);
        *last = until.max(*last);
    }

    /// Records that the connection to a gate was lost.
    pub fn record_gate_failure(&mut self, host: &str, now: Instant) {
        let until = now + penalty(entry(&mut self.gates, host));
        self.deprioritized_gates.insert(host.into(), until);
    }

    /// Records a reply from a gate.
    pub fn record_gate_success(&mut self, host: &str) {
        if let Some(g) = self.gates.get_mut(host) {
            g.failures = 0;
            self.deprioritized_gates.remove(host);
        }
    }

    /// Whether a server is to be asked after the others.
    pub fn is_deprioritized(&self, server: &str, now: Instant) -> bool {
        self.deprioritized_servers.get(server).is_some_and(|t| now < *t)
    }

    /// Whether a gate is to be asked after the others.
    pub fn is_gate_deprioritized(&self, host: &str, now: Instant) -> bool {
        self.deprioritized_gates.get(host).is_some_and(|t| now < *t)
    }

    /// Servers that are to be asked after the others.
    pub fn deprioritized(&mut self, now: Instant) -> impl Iterator<Item = &str> {
        self.deprioritized_servers.retain(|_, until| now < *until);
        self.deprioritized_servers.keys().map(|n| &**n)
    }

    /// Gates that are to be asked after the others.
    pub fn deprioritized_gates(&mut self, now: Instant) -> impl Iterator<Item = &str> {
        self.deprioritized_gates.retain(|_, until| now < *until);
        self.deprioritized_gates.keys().map(|n| &**n)
    }

    /// Expected wait at a server, relative to others, with `more` sub-requests
    /// added to those that are open.
    pub fn cost(&self, server: &str, slots: u32, more: u32) -> f64 {
        let seen = self.servers.get(server);
        let open = seen.map_or(0, |s| s.open);
        // A server that has not replied yet counts as typical, or it would be
        // avoided for ever.
        let latency = seen.and_then(|s| s.latency).or(self.typical).unwrap_or(FIRST_LATENCY);
        latency * f64::from(open + more + 1) / f64::from(slots.max(1))
    }

    /// Forgets the servers for which `keep` is false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
        self.deprioritized_servers.retain(|name, _| keep(name));
    }
}

fn entry<'a>(map: &'a mut HashMap<Box<str>, Stats>, name: &str) -> &'a mut Stats {
    if !map.contains_key(name) {
        map.insert(name.into(), Stats::default());
    }
    map.entry(name.into()).or_default()
}

/// How long a server or gate is asked last after one more failure.
fn penalty(seen: &mut Stats) -> Duration {
    let penalty = FIRST_PENALTY * 2u32.pow(seen.failures.min(5));
    seen.failures += 1;
    penalty.min(MAX_PENALTY)
}
