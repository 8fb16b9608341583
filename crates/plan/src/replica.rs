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
struct Seen {
    /// In seconds; `None` before the first sample.
    latency: Option<f64>,
    open: u32,
    failures: u32,
    /// Sub-requests in a row that were given up as slow.
    slow: u32,
    penalty_until: Option<Instant>,
}

/// Observations of the backend servers and gates of one service.
#[derive(Clone, Debug)]
pub struct Replicas {
    servers: HashMap<Box<str>, Seen>,
    gates: HashMap<Box<str>, Seen>,
    /// Latency typical of all servers, in seconds.
    typical: f64,
}

impl Default for Replicas {
    fn default() -> Replicas {
        let (servers, gates) = (HashMap::default(), HashMap::default());
        Replicas { servers, gates, typical: FIRST_LATENCY }
    }
}

impl Replicas {
    /// Records that a sub-request is sent.
    pub fn sent(&mut self, server: &str) {
        entry(&mut self.servers, server).open += 1;
    }

    /// Records that a sub-request ended, in whatever way.
    pub fn ended(&mut self, server: &str) {
        if let Some(s) = self.servers.get_mut(server) {
            s.open = s.open.saturating_sub(1);
        }
    }

    /// Records a latency, or how long a sub-request had run when given up.
    pub fn latency(&mut self, server: &str, latency: Duration) {
        let sample = latency.as_secs_f64();
        self.typical += TYPICAL_ALPHA * (sample - self.typical);
        let s = entry(&mut self.servers, server);
        let known = s.latency.unwrap_or(self.typical);
        s.latency = Some(known + ALPHA * (sample - known));
    }

    /// Records that a sub-request was given up after `waited` because another
    /// was faster.
    pub fn slow(&mut self, server: &str, waited: Duration, now: Instant) {
        self.latency(server, waited);
        let s = entry(&mut self.servers, server);
        s.slow += 1;
        if s.slow >= MAX_SLOW {
            penalize(s, now);
        }
    }

    /// Records a good reply.
    pub fn good(&mut self, server: &str) {
        let s = entry(&mut self.servers, server);
        s.failures = 0;
        s.slow = 0;
        s.penalty_until = None;
    }

    /// Records a failure; the server is asked last for a while.
    pub fn failed(&mut self, server: &str, now: Instant) {
        penalize(entry(&mut self.servers, server), now);
    }

    /// Records that the server asks to be left alone for `wait`.
    pub fn busy(&mut self, server: &str, wait: Duration, now: Instant) {
        let s = entry(&mut self.servers, server);
        let until = now + wait.min(MAX_PENALTY);
        s.penalty_until = Some(s.penalty_until.map_or(until, |t| t.max(until)));
    }

    /// Records that the connection to a gate was lost.
    pub fn gate_failed(&mut self, host: &str, now: Instant) {
        penalize(entry(&mut self.gates, host), now);
    }

    /// Records a reply from a gate.
    pub fn gate_good(&mut self, host: &str) {
        if let Some(g) = self.gates.get_mut(host) {
            g.failures = 0;
            g.penalty_until = None;
        }
    }

    /// Whether a server is to be asked after the others.
    pub fn is_failing(&self, server: &str, now: Instant) -> bool {
        self.servers.get(server).is_some_and(|s| penalized(s, now))
    }

    /// Whether a gate is to be asked after the others.
    pub fn is_gate_failing(&self, host: &str, now: Instant) -> bool {
        self.gates.get(host).is_some_and(|g| penalized(g, now))
    }

    /// Expected wait at a server, relative to others, with `more` sub-requests
    /// added to those that are open.
    pub fn cost(&self, server: &str, slots: u32, more: u32) -> f64 {
        let seen = self.servers.get(server);
        let open = seen.map_or(0, |s| s.open);
        // A server that has not replied yet counts as typical, or it would be
        // avoided for ever.
        let latency = seen.and_then(|s| s.latency).unwrap_or(self.typical);
        latency * f64::from(open + more + 1) / f64::from(slots.max(1))
    }

    /// Forgets the servers for which `keep` is false.
    pub fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
    }
}

fn entry<'a>(map: &'a mut HashMap<Box<str>, Seen>, name: &str) -> &'a mut Seen {
    if !map.contains_key(name) {
        map.insert(name.into(), Seen::default());
    }
    map.entry(name.into()).or_default()
}

fn penalize(seen: &mut Seen, now: Instant) {
    let penalty = FIRST_PENALTY * 2u32.pow(seen.failures.min(5));
    seen.failures += 1;
    seen.penalty_until = Some(now + penalty.min(MAX_PENALTY));
}

fn penalized(seen: &Seen, now: Instant) -> bool {
    seen.penalty_until.is_some_and(|t| now < t)
}
