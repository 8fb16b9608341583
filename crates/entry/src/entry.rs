//! State that all requests of one entry share.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;

use chervil_base::clock::Clock;
use chervil_node::metrics::Metrics;
use chervil_node::shutdown::Lifecycle;
use chervil_rpc::client::PeerPool;
use xtra::Address;

use crate::directory::Directory;

/// State that all requests of one entry share.
pub struct Entry {
    /// Clock.
    pub clock: Arc<dyn Clock>,
    /// Connections to gates and to the agent.
    pub peers: Arc<PeerPool>,
    /// Address of the host's own agent.
    pub agent: SocketAddr,
    /// Services, their layouts and policies.
    pub directory: Address<Directory>,
    /// Readiness and running requests.
    pub lifecycle: Lifecycle,
    /// Metrics.
    pub metrics: Metrics,
    /// Incarnation of this process, random at its start.
    pub incarnation: u64,
    /// Whether the agent's view lets new work in.
    pub accepting: AtomicBool,
    /// Number of the next query.
    pub queries: AtomicU64,
}

impl Entry {
    /// Number for a new query.
    pub fn next_query(&self) -> u64 {
        self.queries.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether new work may be accepted.
    pub fn is_accepting(&self) -> bool {
        self.accepting.load(Ordering::Relaxed)
    }

    /// Follows the agent's view.
    pub fn set_accepting(&self, ready: bool) {
        self.accepting.store(ready, Ordering::Relaxed);
        self.lifecycle.set_ready(ready);
    }
}
