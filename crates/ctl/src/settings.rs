//! Settings of `chervilctl`.

use std::net::SocketAddr;

use chervil_rpc::secret::Secret;
use serde::Deserialize;

/// Settings file, in TOML.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct CtlSettings {
    /// URL of the platform, which serves the store and the host list.
    pub(crate) store: Box<str>,
    /// Secret that all processes of the installation share, sent with each RPC
    /// connection.
    pub(crate) secret: Secret,
    /// Operator name that is recorded in the history of changes.
    pub(crate) operator: Box<str>,
    /// Addresses of the agents of all hosts; when empty, the hosts come from the
    /// member list in the store and the platform's host list.
    #[serde(default)]
    pub(crate) agents: Vec<SocketAddr>,
    /// Longest wait until a change is in force on all hosts, in seconds.
    #[serde(default = "default_wait")]
    pub(crate) wait_s: u64,
    /// Timeout of a call to the platform, in milliseconds.
    #[serde(default = "default_timeout")]
    pub(crate) timeout_ms: u64,
    /// Maximum number of attempts at a step of a change when replies of the store
    /// are lost, before its result is reported as unknown. Nine attempts take four
    /// seconds plus the duration of the calls.
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
