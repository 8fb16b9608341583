//! Reads the view and the quorum lease from the host's agent.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::View;
use chervil_rpc::agent::ViewRequest;
use chervil_rpc::client::PeerPool;
use tokio::time;
use tokio::time::MissedTickBehavior;
use xtra::Address;

use crate::actor::GateActor;
use crate::actor::SetLease;
use crate::actor::SetView;

/// Interval at which the quorum lease is read while a host is leaving, so that a planned
/// handover does not wait for the configured interval.
const HANDOVER_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// How long the agent may delay the reply to a view request until the view changes.
const VIEW_WAIT: Duration = Duration::from_secs(5);

/// Timeout for a reply of the agent, not counting a requested wait.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

/// Delay after each view, which limits the rate of requests while the view keeps
/// changing.
const VIEW_DELAY: Duration = Duration::from_millis(20);

/// Delay after a failed view request.
const VIEW_RETRY_DELAY: Duration = Duration::from_millis(100);

fn log_agent_state(reachable: bool) {
    if reachable {
        spdlog::info!("agent returns the quorum lease again");
    } else {
        spdlog::warn!(
            "agent unreachable or no reply within {} ms; new work is refused once the quorum \
             lease expires; check chervil-agent on this host",
            REPLY_TIMEOUT.as_millis()
        );
    }
}

/// RPC client for the host's agent.
#[derive(Clone)]
pub(crate) struct AgentClient {
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    /// Whether any host is leaving, so that ownership is about to change.
    pub(crate) host_leaving: Arc<AtomicBool>,
}

impl AgentClient {
    /// Reads the quorum lease at a fixed interval, until the actor stops. The remaining
    /// time of a lease counts from when the request was sent, so that the lease also
    /// expires while the gate or the agent is paused.
    pub(crate) async fn poll_lease(self, actor: Address<GateActor>, interval: Duration) {
        let mut reachable = true;
        let mut timer = time::interval(interval);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            if self.host_leaving.load(Ordering::Relaxed) {
                timer.reset_after(interval.min(HANDOVER_POLL_INTERVAL));
            }
            let sent_at = self.clock.now();
            let lease = self.fetch_lease().await;
            if reachable != lease.is_some() {
                reachable = lease.is_some();
                log_agent_state(reachable);
            }
            let Some(lease) = lease else {
                self.peers.evict(self.address).await;
                continue;
            };
            let until = sent_at + Duration::from_millis(lease.remaining_ms);
            if actor.send(SetLease { lease, until }).await.is_err() {
                return;
            }
        }
    }

    /// Reads the view whenever it changes, until the actor stops.
    pub(crate) async fn poll_view(self, actor: Address<GateActor>) {
        let mut after = 0;
        let mut revision = 0;
        loop {
            let Some(view) = self.fetch_view(after, revision).await else {
                // A restarted agent numbers its views from the beginning.
                after = 0;
                time::sleep(VIEW_RETRY_DELAY).await;
                continue;
            };
            after = view.sequence;
            let host_leaving = view.hosts.iter().any(|h| h.leaving);
            self.host_leaving.store(host_leaving, Ordering::Relaxed);
            if let Some(catalog) = &view.catalog {
                revision = catalog.revision;
            }
            if actor.send(SetView(view)).await.is_err() {
                return;
            }
            time::sleep(VIEW_DELAY).await;
        }
    }

    /// Tells the agent that this gate has no work left, so that other hosts need not wait
    /// for the quorum lease to expire. Returns whether the agent confirmed it.
    pub(crate) async fn release(&self) -> bool {
        let Ok(client) = self.peers.get(self.address).await else {
            return false;
        };
        matches!(time::timeout(REPLY_TIMEOUT, client.release()).await, Ok(Ok(())))
    }

    async fn fetch_lease(&self) -> Option<QuorumLease> {
        let call = async { self.peers.get(self.address).await.ok()?.lease().await.ok() };
        time::timeout(REPLY_TIMEOUT, call).await.ok().flatten()
    }

    async fn fetch_view(&self, after: u64, revision: u64) -> Option<View> {
        let wait_ms = VIEW_WAIT.as_millis() as u32;
        let request = ViewRequest { after, revision, wait_ms };
        let call = async { self.peers.get(self.address).await.ok()?.view(request).await.ok() };
        time::timeout(VIEW_WAIT + REPLY_TIMEOUT, call).await.ok().flatten()
    }
}
