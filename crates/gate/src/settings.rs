//! Settings of a gate.

use std::net::SocketAddr;
use std::time::Duration;

use chervil_backend::http::HttpSettings;
use chervil_node::settings::NodeSettings;
use chervil_rpc::secret::Secret;
use chervil_slots::types::SchedulerSettings;
use serde::Deserialize;
use snafu::Snafu;

/// Settings file of `chervil-gate`.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateSettings {
    /// Settings common to all processes.
    pub node: NodeSettings,
    /// Address on which entries and other gates reach this gate.
    pub listen: SocketAddr,
    /// Secret shared by all processes.
    pub secret: Secret,
    /// Address of the host's agent.
    pub agent: SocketAddr,
    /// Optional settings.
    #[serde(default)]
    pub tunables: Tunables,
}

/// Optional settings of a gate; each has a default.
#[derive(Clone, Copy, Debug, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct Tunables {
    /// Maximum number of work items that wait for one backend server.
    pub queue: usize,
    /// Interval between status requests to a backend server, in milliseconds.
    pub probe_ms: u64,
    /// Interval between status requests while external load blocks queued items, in
    /// milliseconds.
    pub urgent_probe_ms: u64,
    /// Timeout for opening a connection, and for a status reply, in milliseconds.
    pub open_timeout_ms: u64,
    /// Maximum delay before another attempt to connect to a backend server, in
    /// milliseconds.
    pub backoff_ms: u64,
    /// Maximum size of a backend server's reply, in bytes.
    pub max_reply: usize,
    /// Idle time before the first TCP keep-alive probe, and interval between the probes,
    /// in milliseconds.
    pub keepalive_ms: u64,
    /// Time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT), in
    /// milliseconds.
    pub user_timeout_ms: u64,
    /// Interval at which the quorum lease is read from the agent, in milliseconds.
    pub lease_poll_ms: u64,
    /// Maximum time for which a shutdown waits for accepted work, in milliseconds.
    pub stop_limit_ms: u64,
}

impl Default for Tunables {
    fn default() -> Tunables {
        Tunables {
            queue: 64,
            probe_ms: 1000,
            urgent_probe_ms: 20,
            open_timeout_ms: 500,
            backoff_ms: 250,
            max_reply: 4 * 1024 * 1024,
            keepalive_ms: 1000,
            user_timeout_ms: 3000,
            lease_poll_ms: 200,
            stop_limit_ms: 30_000,
        }
    }
}

/// A tunable is out of range.
#[derive(Debug, PartialEq, Eq, Snafu)]
#[snafu(display("tunables.{name} is {value}; set it to a number from {low} to {high}"))]
pub struct TunableError {
    name: &'static str,
    value: u64,
    low: u64,
    high: u64,
}

impl GateSettings {
    /// Checks that the tunables are in range.
    pub fn check(&self) -> Result<(), TunableError> {
        let t = &self.tunables;
        // A lease lasts 1.2 s; 400 ms let it be read several times before it expires.
        let ranges = [
            ("lease_poll_ms", t.lease_poll_ms, 10, 400),
            ("queue", t.queue as u64, 1, 100_000),
            ("probe_ms", t.probe_ms, 10, 60_000),
            ("urgent_probe_ms", t.urgent_probe_ms, 1, 1_000),
            ("open_timeout_ms", t.open_timeout_ms, 10, 30_000),
            ("backoff_ms", t.backoff_ms, 10, 60_000),
            ("max_reply", t.max_reply as u64, 1_024, 1 << 30),
            ("keepalive_ms", t.keepalive_ms, 1_000, 3_600_000),
            ("user_timeout_ms", t.user_timeout_ms, 100, 3_600_000),
            ("stop_limit_ms", t.stop_limit_ms, 0, 3_600_000),
        ];
        let out_of_range =
            ranges.into_iter().find(|(_, value, low, high)| value < low || value > high);
        match out_of_range {
            Some((name, value, low, high)) => Err(TunableError { name, value, low, high }),
            None => Ok(()),
        }
    }
}

impl Tunables {
    /// Settings of the scheduler; `seed` is that of its backoff jitter.
    pub fn scheduler_settings(&self, seed: u64) -> SchedulerSettings {
        SchedulerSettings {
            queue_capacity: self.queue,
            probe_interval: Duration::from_millis(self.probe_ms),
            urgent_probe_interval: Duration::from_millis(self.urgent_probe_ms),
            max_backoff: Duration::from_millis(self.backoff_ms),
            seed,
        }
    }

    /// Settings of the connections to backend servers.
    pub fn http_settings(&self) -> HttpSettings {
        HttpSettings {
            max_reply_bytes: self.max_reply,
            keepalive: Duration::from_millis(self.keepalive_ms),
            user_timeout: Duration::from_millis(self.user_timeout_ms),
        }
    }
}
