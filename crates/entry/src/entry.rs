//! State shared by all requests of an entry process.

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

/// State shared by all requests of an entry process.
pub struct Entry {
    /// Monotonic and wall-clock time.
    pub clock: Arc<dyn Clock>,
    /// Shared RPC connections to the gates and the agent.
    pub peers: Arc<PeerPool>,
    /// RPC address of the agent on this host.
    pub agent: SocketAddr,
    /// Actor that owns the catalog and the topology and policy of each service.
    pub directory: Address<Directory>,
    /// Readiness, number of running requests and shutdown state.
    pub lifecycle: Lifecycle,
    /// Statsd client.
    pub metrics: Metrics,
    /// Random id of this process; with the query id it identifies a query at the
    /// gates.
    pub incarnation: u64,
    /// Whether new requests are accepted: the latest view of the agent is ready
    /// and the agent answers.
    pub accepting: AtomicBool,
    /// Id of the next query, unique within this process.
    pub next_query_id: AtomicU64,
}

impl Entry {
    /// Allocates a query id.
    pub fn next_query_id(&self) -> u64 {
        self.next_query_id.fetch_add(1, Ordering::Relaxed)
    }

    /// Whether new requests are accepted.
    pub fn is_accepting(&self) -> bool {
        self.accepting.load(Ordering::Relaxed)
    }

    /// Sets whether new requests are accepted and the process reports ready.
    pub fn set_accepting(&self, ready: bool) {
        self.accepting.store(ready, Ordering::Relaxed);
        self.lifecycle.set_ready(ready);
    }
}
