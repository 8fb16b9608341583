//! Refreshes the index of a service in use: which index versions and shards
//! each backend server holds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::clock::Clock;
use chervil_base::index::ServerIndex;
use chervil_plan::topology::Topology;
use chervil_rpc::client::PeerPool;
use chervil_rpc::gate::GateRpcClient as _;
use futures::StreamExt as _;
use futures::stream;
use tokio::time;
use xtra::WeakAddress;

use crate::directory::ContinueRefresh;
use crate::directory::Directory;
use crate::directory::IndexUpdate;
use crate::directory::ServiceHandle;

/// Time between two refreshes when none is requested.
const INTERVAL: Duration = Duration::from_secs(1);

/// Minimum time between two refreshes, however many are requested.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Timeout of a call to a gate.
const GATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Maximum number of concurrent calls to gates.
const MAX_CONCURRENT_CALLS: usize = 64;

/// Refreshes the index of a service until the service is idle or the directory
/// is gone.
pub async fn run(
    directory: WeakAddress<Directory>,
    peers: Arc<PeerPool>,
    clock: Arc<dyn Clock>,
    service: Box<str>,
    handle: ServiceHandle,
) {
    loop {
        let topology = handle.topology.borrow().clone();
        let updates = fetch_index(&peers, &service, &topology).await;
        let update = IndexUpdate { service: service.clone(), updates };
        if directory.send(update).await.is_err() {
            return;
        }
        time::sleep(MIN_INTERVAL).await;
        let _ = time::timeout(INTERVAL - MIN_INTERVAL, handle.refresh.notified()).await;
        let check = ContinueRefresh { service: service.clone(), now: clock.now() };
        if !directory.send(check).await.unwrap_or(false) {
            return;
        }
    }
}

/// Asks the likely owner of each group for the index of its servers, and the
/// group's next gate when that call fails.
async fn fetch_index(peers: &PeerPool, service: &str, topology: &Topology) -> Vec<ServerIndex> {
    // Gates asked so far, and whether the call failed.
    let mut failed: HashMap<SocketAddr, bool> = HashMap::default();
    let mut updates = Vec::new();
    let max_gates = topology.parts().groups.iter().map(|g| g.gates.len()).max().unwrap_or(0);
    for _ in 0..max_gates {
        let gates = next_gates(topology, &failed);
        if gates.is_empty() {
            break;
        }
        let calls = gates.into_iter().map(|a| async move { (a, ask(peers, a, service).await) });
        let mut calls = stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS);
        while let Some((address, reply)) = calls.next().await {
            failed.insert(address, reply.is_none());
            updates.extend(reply.into_iter().flatten());
        }
    }
    updates
}

/// Gates to ask next: for each group the first gate whose call has not failed,
/// unless that gate has answered already.
fn next_gates(topology: &Topology, failed: &HashMap<SocketAddr, bool>) -> Vec<SocketAddr> {
    let mut next_gates = Vec::new();
    for group in &topology.parts().groups {
        let mut candidates = group.gates.iter().map(|g| topology.gate(*g).address);
        let next = candidates.find(|a| failed.get(a) != Some(&true));
        if let Some(next) = next.filter(|a| !failed.contains_key(a) && !next_gates.contains(a)) {
            next_gates.push(next);
        }
    }
    next_gates
}

async fn ask(peers: &PeerPool, address: SocketAddr, service: &str) -> Option<Vec<ServerIndex>> {
    let call = async {
        let client = peers.get(address).await.ok()?;
        client.index(service.into()).await.ok()
    };
    time::timeout(GATE_TIMEOUT, call).await.ok().flatten()
}
