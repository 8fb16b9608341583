//! Polls the host's agent for the view and the quorum lease.

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

use crate::state::GateState;
use crate::state::SetLease;
use crate::state::SetView;

/// Interval at which the lease is read while a host is leaving. A planned
/// handover would otherwise wait for the usual interval.
const HANDOVER_POLL: Duration = Duration::from_millis(50);

/// Longest wait of one request for the view.
const VIEW_WAIT: Duration = Duration::from_secs(5);

/// Time in which the agent must answer beyond a wait.
const REPLY_LIMIT: Duration = Duration::from_millis(500);

/// Pause between views, which bounds the rate of a view that keeps changing.
const VIEW_PAUSE: Duration = Duration::from_millis(20);

/// Pause after a failed request for the view.
const PAUSE: Duration = Duration::from_millis(100);

fn log_answers(answers: bool) {
    if answers {
        spdlog::info!("the agent answers again");
    } else {
        spdlog::warn!("the agent does not answer; work is refused when the lease ends");
    }
}

/// Link to the host's agent.
#[derive(Clone)]
pub(crate) struct AgentLink {
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) address: SocketAddr,
    pub(crate) clock: Arc<dyn Clock>,
    /// Whether a host is leaving, so that ownership is about to change.
    pub(crate) leaving: Arc<AtomicBool>,
}

impl AgentLink {
    /// Reads the quorum lease at a fixed interval; its time counts from the
    /// moment of the request, so that a paused gate or agent loses it.
    pub(crate) async fn poll_lease(self, state: Address<GateState>, interval: Duration) {
        let mut answers = true;
        let mut timer = time::interval(interval);
        timer.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            timer.tick().await;
            if self.leaving.load(Ordering::Relaxed) {
                timer.reset_after(interval.min(HANDOVER_POLL));
            }
            let sent = self.clock.now();
            let lease = self.lease().await;
            if answers != lease.is_some() {
                answers = lease.is_some();
                log_answers(answers);
            }
            let Some(lease) = lease else {
                self.peers.evict(self.address).await;
                continue;
            };
            let until = sent + Duration::from_millis(lease.remaining_ms);
            if state.send(SetLease { lease, until }).await.is_err() {
                return;
            }
        }
    }

    /// Follows the view.
    pub(crate) async fn poll_view(self, state: Address<GateState>) {
        let mut after = 0;
        let mut revision = 0;
        loop {
            let Some(view) = self.view(after, revision).await else {
                // A restarted agent counts its views from the start.
                after = 0;
                time::sleep(PAUSE).await;
                continue;
            };
            after = view.sequence;
            let leaving = view.hosts.iter().any(|h| h.leaving);
            self.leaving.store(leaving, Ordering::Relaxed);
            if let Some(catalog) = &view.catalog {
                revision = catalog.revision;
            }
            if state.send(SetView(view)).await.is_err() {
                return;
            }
            time::sleep(VIEW_PAUSE).await;
        }
    }

    /// Tells the agent that no work is left.
    pub(crate) async fn release(&self) -> bool {
        let Ok(client) = self.peers.get(self.address).await else {
            return false;
        };
        matches!(time::timeout(REPLY_LIMIT, client.release()).await, Ok(Ok(())))
    }

    async fn lease(&self) -> Option<QuorumLease> {
        let call = async { self.peers.get(self.address).await.ok()?.lease().await.ok() };
        time::timeout(REPLY_LIMIT, call).await.ok().flatten()
    }

    async fn view(&self, after: u64, revision: u64) -> Option<View> {
        let wait_ms = VIEW_WAIT.as_millis() as u32;
        let request = ViewRequest { after, revision, wait_ms };
        let call = async { self.peers.get(self.address).await.ok()?.view(request).await.ok() };
        time::timeout(VIEW_WAIT + REPLY_LIMIT, call).await.ok().flatten()
    }
}
