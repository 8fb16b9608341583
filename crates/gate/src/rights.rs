//! The right to send, checked immediately before each write.

use std::sync::PoisonError;
use std::sync::RwLock;
use std::time::Instant;

use chervil_base::HashSet;

/// Quorum lease and owned servers, shared with the tasks that write requests.
#[derive(Debug, Default)]
pub(crate) struct Rights {
    inner: RwLock<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    until: Option<Instant>,
    servers: HashSet<Box<str>>,
}

impl Rights {
    /// Adopts the end of the quorum lease.
    pub(crate) fn set_lease(&self, until: Instant) {
        self.inner.write().unwrap_or_else(PoisonError::into_inner).until = Some(until);
    }

    /// Adopts the servers that may be sent work.
    pub(crate) fn set_servers(&self, servers: HashSet<Box<str>>) {
        self.inner.write().unwrap_or_else(PoisonError::into_inner).servers = servers;
    }

    /// Whether work may be sent to a server now.
    pub(crate) fn allow(&self, server: &str, now: Instant) -> bool {
        let inner = self.inner.read().unwrap_or_else(PoisonError::into_inner);
        inner.until.is_some_and(|until| now < until) && inner.servers.contains(server)
    }
}
