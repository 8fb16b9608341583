//! Implementation of the agent's RPC methods.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_node::metrics::Metrics;
use chervil_rpc::agent::AgentRpcServer;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::HostStatus;
use chervil_rpc::agent::PullRequest;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::SettleRequest;
use chervil_rpc::agent::StateDelta;
use chervil_rpc::agent::View;
use chervil_rpc::agent::ViewRequest;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObjectOwned;
use tokio::sync::watch;
use tokio::time;
use tracing::Instrument as _;
use tracing::info_span;

use crate::actor::AgentAddress;
use crate::actor::ApplyDelta;
use crate::actor::HeartbeatReceived;
use crate::actor::WithState;
use crate::forward::Forwarder;
use crate::state::State;
use crate::store::BoundedStore;
use crate::traffic::Traffic;
use crate::view::ViewState;

/// Longest time that a request waits for a change of the view.
const MAX_VIEW_WAIT: Duration = Duration::from_secs(30);

/// Error code of a request that the agent cannot serve now, because it is
/// stopping or the store does not respond.
const UNAVAILABLE: i32 = -32_010;

/// Error code of a pushed delta that the agent rejects.
const DELTA_REJECTED: i32 = -32_011;

/// RPC methods of the agent.
pub(crate) struct Methods {
    pub(crate) actor: AgentAddress,
    pub(crate) view_state: watch::Receiver<Arc<ViewState>>,
    pub(crate) forwarder: Forwarder,
    pub(crate) store: Arc<BoundedStore>,
    pub(crate) traffic: Arc<Traffic>,
    pub(crate) metrics: Metrics,
}

impl Methods {
    async fn with_state<F, R>(&self, f: F) -> RpcResult<R>
    where
        F: FnOnce(&mut State, Instant) -> R + Send + 'static,
        R: Send + 'static,
    {
        self.actor.send(WithState(f)).await.map_err(stopping)
    }
}

#[async_trait]
impl AgentRpcServer for Methods {
    async fn view(&self, request: ViewRequest) -> RpcResult<View> {
        let wait = Duration::from_millis(request.wait_ms.into()).min(MAX_VIEW_WAIT);
        let mut view_state = self.view_state.clone();
        // After the timeout the current view is returned, changed or not.
        let changed = view_state.wait_for(|v| v.sequence != request.after);
        let _ = time::timeout(wait, changed).await;
        let current = self.view_state.borrow().clone();
        Ok(current.view(request.revision))
    }

    async fn lease(&self) -> RpcResult<QuorumLease> {
        let incarnation = rand::random();
        self.with_state(move |state, now| state.lease(incarnation, now)).await
    }

    async fn release(&self) -> RpcResult<()> {
        spdlog::info!("the gate released the host's groups");
        self.with_state(|state, now| state.release(now)).await
    }

    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatReply> {
        let reply = self.actor.send(HeartbeatReceived(heartbeat)).await.map_err(stopping)?;
        self.traffic.count_reply(&reply);
        Ok(reply)
    }

    async fn pull(&self, request: PullRequest) -> RpcResult<StateDelta> {
        self.metrics.count("pulls", 1);
        self.with_state(move |state, _| state.delta_since(request.revision, request.epoch)).await
    }

    async fn push(&self, delta: StateDelta) -> RpcResult<()> {
        match self.actor.send(ApplyDelta(delta)).await.map_err(stopping)? {
            Ok(_) => Ok(()),
            Err(e) => Err(ErrorObjectOwned::owned(DELTA_REJECTED, e.into_string(), None::<()>)),
        }
    }

    async fn status(&self) -> RpcResult<HostStatus> {
        let (store_up, store_calls) = (self.store.is_up(), self.store.calls());
        self.with_state(move |state, now| state.status(store_up, store_calls, now)).await
    }

    async fn claim(&self, request: ClaimRequest) -> RpcResult<ClaimReply> {
        let span = info_span!("claim", forwarded = request.forwarded);
        Ok(self.forwarder.claim(request).instrument(span).await)
    }

    async fn settle(&self, request: SettleRequest) -> RpcResult<()> {
        let span = info_span!("settle", forwarded = request.forwarded);
        let settled = self.forwarder.settle(request).instrument(span).await;
        settled.map_err(|e| ErrorObjectOwned::owned(UNAVAILABLE, e.to_string(), None::<()>))
    }

    async fn canary(&self, request: CanaryRequest) -> RpcResult<CanaryReply> {
        let span = info_span!("canary", forwarded = request.forwarded);
        let reply = self.forwarder.canary(request).instrument(span).await;
        reply.ok_or_else(|| stopping(xtra::Error::Disconnected))
    }

    async fn canary_report(&self, report: CanaryReport) -> RpcResult<()> {
        let span = info_span!("canary_report", forwarded = report.forwarded);
        self.forwarder.canary_report(report).instrument(span).await;
        Ok(())
    }
}

fn stopping(_: xtra::Error) -> ErrorObjectOwned {
    let message = "the agent is stopping; ask another host";
    ErrorObjectOwned::owned(UNAVAILABLE, message, None::<()>)
}
