//! Settings of the tool.

use std::net::SocketAddr;

use chervil_rpc::secret::Secret;
use serde::Deserialize;

/// Settings file, in TOML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CtlSettings {
    /// URL of the platform.
    pub(crate) store: Box<str>,
    /// Secret shared by all processes.
    pub(crate) secret: Secret,
    /// Name under which changes are recorded.
    pub(crate) operator: Box<str>,
    /// Addresses of agents; without them, the hosts come from the store.
    #[serde(default)]
    pub(crate) agents: Vec<SocketAddr>,
    /// How long to wait until a change is in force on all hosts, in seconds.
    #[serde(default = "default_wait")]
    pub(crate) wait_s: u64,
    /// Bound on a call to the store, in milliseconds.
    #[serde(default = "default_timeout")]
    pub(crate) timeout_ms: u64,
    /// Attempts to learn what became of a change; nine take four seconds and
    /// the time of the calls.
    #[serde(default = "default_attempts")]
    pub(crate) resolve_attempts: usize,
}

fn default_wait() -> u64 {
    5
}

fn default_timeout() -> u64 {
    2000
}

fn default_attempts() -> usize {
    9
}
