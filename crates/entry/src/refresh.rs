//! Refresh of the index versions of a service in use.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashMap;
use chervil_base::clock::Clock;
use chervil_base::index::ServerIndex;
use chervil_plan::topology::Topology;
use chervil_rpc::client::Peers;
use chervil_rpc::gate::GateRpcClient as _;
use futures::StreamExt as _;
use futures::stream;
use tokio::time;
use xtra::WeakAddress;

use crate::directory::Directory;
use crate::directory::IndexUpdate;
use crate::directory::ServiceHandle;
use crate::directory::StillUsed;

/// Interval of refreshes.
const INTERVAL: Duration = Duration::from_secs(1);

/// Shortest time between refreshes, however many are asked for.
const MIN_INTERVAL: Duration = Duration::from_millis(50);

/// Longest wait for one gate.
const GATE_TIMEOUT: Duration = Duration::from_millis(500);

/// Gates that are asked at once.
const PARALLEL: usize = 64;

/// Refreshes the index of one service until it is not used any more.
pub async fn run(
    directory: WeakAddress<Directory>,
    peers: Arc<Peers>,
    clock: Arc<dyn Clock>,
    service: Box<str>,
    handle: ServiceHandle,
) {
    loop {
        let layout = handle.layouts.borrow().clone();
        let updates = fetch(&peers, &service, &layout).await;
        let update = IndexUpdate { service: service.clone(), updates };
        if directory.send(update).await.is_err() {
            return;
        }
        time::sleep(MIN_INTERVAL).await;
        let _ = time::timeout(INTERVAL - MIN_INTERVAL, handle.refresh.notified()).await;
        let asked = StillUsed { service: service.clone(), now: clock.now() };
        if !directory.send(asked).await.unwrap_or(false) {
            return;
        }
    }
}

/// Asks the likely owner of each group, and the next gate where that fails.
async fn fetch(peers: &Peers, service: &str, layout: &Topology) -> Vec<ServerIndex> {
    let mut failed: HashMap<SocketAddr, bool> = HashMap::default();
    let mut updates = Vec::new();
    let most = layout.parts().groups.iter().map(|g| g.gates.len()).max().unwrap_or(0);
    for _ in 0..most {
        let wanted = wanted(layout, &failed);
        if wanted.is_empty() {
            break;
        }
        let calls = wanted.into_iter().map(|a| async move { (a, ask(peers, a, service).await) });
        let mut calls = stream::iter(calls).buffer_unordered(PARALLEL);
        while let Some((address, reply)) = calls.next().await {
            failed.insert(address, reply.is_none());
            updates.extend(reply.into_iter().flatten());
        }
    }
    updates
}

/// Gates to ask next: for each group the first that has not failed, unless it
/// has answered already.
fn wanted(layout: &Topology, failed: &HashMap<SocketAddr, bool>) -> Vec<SocketAddr> {
    let mut wanted = Vec::new();
    for group in &layout.parts().groups {
        let mut addresses = group.gates.iter().map(|g| layout.gate(*g).address);
        let next = addresses.find(|a| failed.get(a) != Some(&true));
        if let Some(next) = next.filter(|a| !failed.contains_key(a) && !wanted.contains(a)) {
            wanted.push(next);
        }
    }
    wanted
}

async fn ask(peers: &Peers, address: SocketAddr, service: &str) -> Option<Vec<ServerIndex>> {
    let call = async {
        let client = peers.get(address).await.ok()?;
        client.index(service.into()).await.ok()
    };
    time::timeout(GATE_TIMEOUT, call).await.ok().flatten()
}
