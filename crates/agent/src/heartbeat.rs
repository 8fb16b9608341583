//! Sends heartbeats to all hosts of the member list.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::clock::Clock;
use chervil_members::HEARTBEAT_INTERVAL;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::client::PeerPool;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use tokio::time;
use tokio::time::MissedTickBehavior;

use crate::actor::AgentAddress;
use crate::actor::Answered;
use crate::actor::Tick;
use crate::traffic::Traffic;

/// A heartbeat without an answer for this long is given up, and its connection
/// with it: an open connection may have become unresponsive for good.
const TIMEOUT: Duration = Duration::from_millis(600);

/// Sends heartbeats until the actor ends.
pub(crate) async fn run(
    core: AgentAddress,
    peers: Arc<PeerPool>,
    clock: Arc<dyn Clock>,
    traffic: Arc<Traffic>,
) {
    let mut ticks = time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut running = FuturesUnordered::new();
    let mut busy: HashSet<SocketAddr> = HashSet::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let Ok(round) = core.send(Tick).await else { return };
                let idle: Vec<SocketAddr> =
                    round.targets.into_iter().filter(|address| busy.insert(*address)).collect();
                traffic.requests(&round.heartbeat, idle.len() as u64);
                for address in idle {
                        running.push(send(&peers, &*clock, address, round.heartbeat.clone()));
                }
            }
            Some((address, answer)) = running.next() => {
                busy.remove(&address);
                if let Some((sent, reply)) = answer {
                    let answered = Answered { address, sent, reply };
                    if core.send(answered).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

async fn send(
    peers: &PeerPool,
    clock: &dyn Clock,
    address: SocketAddr,
    heartbeat: Heartbeat,
) -> (SocketAddr, Option<(Instant, HeartbeatReply)>) {
    // Taken before the connection is opened: earlier is always safe.
    let sent = clock.now();
    let call = async {
        let client = peers.get(address).await.ok()?;
        client.heartbeat(heartbeat).await.ok()
    };
    match time::timeout(TIMEOUT, call).await {
        Ok(reply) => (address, reply.map(|r| (sent, r))),
        Err(_) => {
            peers.evict(address).await;
            (address, None)
        }
    }
}
