//! Fence: the check, immediately before each write, that this host still owns the
//! backend server.

use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Instant;

use chervil_base::HashSet;

/// Expiry of the quorum lease and owned servers, shared with the tasks that write
/// requests.
#[derive(Debug, Default)]
pub(crate) struct Fence {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    /// When the quorum lease expires; `None` before the first lease.
    lease_until: Option<Instant>,
    /// Names of the owned servers.
    servers: HashSet<Box<str>>,
}

impl Fence {
    /// Sets when the quorum lease expires.
    pub(crate) fn set_lease(&self, until: Instant) {
        self.inner.write().unwrap_or_else(PoisonError::into_inner).lease_until = Some(until);
    }

    /// Sets the servers that this host owns.
    pub(crate) fn set_servers(&self, servers: HashSet<Box<str>>) {
        self.inner.write().unwrap_or_else(PoisonError::into_inner).servers = servers;
    }

    /// Whether a request may be sent to a server at `now`.
    pub(crate) fn allows(&self, server: &str, now: Instant) -> bool {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        inner.lease_until.is_some_and(|until| now < until) && inner.servers.contains(server)
    }
}
