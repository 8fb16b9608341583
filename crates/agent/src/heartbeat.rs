//! Sends heartbeats to all hosts in the member list.

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
use crate::actor::HeartbeatAnswered;
use crate::actor::Tick;
use crate::traffic::Traffic;

/// Timeout of the reply to a heartbeat. When it expires, the connection is
/// dropped as well, because an open connection may never respond again.
const REPLY_TIMEOUT: Duration = Duration::from_millis(600);

/// Sends heartbeats until the actor ends. A peer that has not replied to its
/// last heartbeat gets no other one before the timeout.
pub(crate) async fn run(
    actor: AgentAddress,
    peers: Arc<PeerPool>,
    clock: Arc<dyn Clock>,
    traffic: Arc<Traffic>,
) {
    let mut ticks = time::interval(HEARTBEAT_INTERVAL);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    let mut calls = FuturesUnordered::new();
    let mut awaiting_reply: HashSet<SocketAddr> = HashSet::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => {
                let Ok(round) = actor.send(Tick).await else { return };
                let mut targets = round.targets;
                targets.retain(|address| awaiting_reply.insert(*address));
                traffic.count_requests(&round.heartbeat, targets.len() as u64);
                for address in targets {
                    calls.push(send(&peers, &*clock, address, round.heartbeat.clone()));
                }
            }
            Some((address, reply)) = calls.next() => {
                awaiting_reply.remove(&address);
                if let Some((sent, reply)) = reply {
                    let answered = HeartbeatAnswered { address, sent, reply };
                    if actor.send(answered).await.is_err() {
                        return;
                    }
                }
            }
        }
    }
}

/// Sends one heartbeat; returns its send time with the reply, or `None` when
/// there is no reply.
async fn send(
    peers: &PeerPool,
    clock: &dyn Clock,
    address: SocketAddr,
    heartbeat: Heartbeat,
) -> (SocketAddr, Option<(Instant, HeartbeatReply)>) {
    // Read before the connection is opened: an earlier send time is always
    // safe, because leases and votes are counted from it.
    let sent = clock.now();
    let call = async {
        let client = peers.get(address).await.ok()?;
        client.heartbeat(heartbeat).await.ok()
    };
    match time::timeout(REPLY_TIMEOUT, call).await {
        Ok(reply) => (address, reply.map(|r| (sent, r))),
        Err(_) => {
            peers.evict(address).await;
            (address, None)
        }
    }
}
