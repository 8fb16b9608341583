//! Fake agent that serves the RPC interface of an agent.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

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

/// Replies of the fake agent, and the requests that it has received.
pub struct State {
    pub view: View,
    pub claim_reply: ClaimReply,
    pub canary_reply: CanaryReply,
    /// Whether recording an outcome fails.
    pub settle_fails: bool,
    pub claims: Vec<ClaimRequest>,
    pub settled: Vec<SettleRequest>,
    pub canary_requests: Vec<CanaryRequest>,
    pub canary_reports: Vec<CanaryReport>,
}

/// Agent whose replies a test sets.
pub struct FakeAgent(Mutex<State>);

impl FakeAgent {
    pub fn new(view: View) -> FakeAgent {
        FakeAgent(Mutex::new(State {
            view,
            claim_reply: ClaimReply::Granted,
            canary_reply: CanaryReply::Known,
            settle_fails: false,
            claims: Vec::new(),
            settled: Vec::new(),
            canary_requests: Vec::new(),
            canary_reports: Vec::new(),
        }))
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        super::lock(&self.0)
    }

    /// Publishes a changed view.
    pub fn update_view<F>(&self, change: F)
    where
        F: FnOnce(&mut View),
    {
        let mut state = self.state();
        change(&mut state.view);
        state.view.sequence += 1;
    }
}

/// RPC methods of the fake agent.
pub struct FakeAgentRpc(pub Arc<FakeAgent>);

fn unsupported<T>() -> RpcResult<T> {
    Err(ErrorObjectOwned::owned(-1, "not supported by the fake agent", None::<()>))
}

#[async_trait]
impl AgentRpcServer for FakeAgentRpc {
    async fn view(&self, request: ViewRequest) -> RpcResult<View> {
        for _ in 0..request.wait_ms / 10 {
            if self.0.state().view.sequence != request.after {
                break;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(self.0.state().view.clone())
    }

    async fn claim(&self, request: ClaimRequest) -> RpcResult<ClaimReply> {
        let mut state = self.0.state();
        state.claims.push(request);
        Ok(state.claim_reply.clone())
    }

    async fn settle(&self, request: SettleRequest) -> RpcResult<()> {
        let mut state = self.0.state();
        state.settled.push(request);
        if state.settle_fails { unsupported() } else { Ok(()) }
    }

    async fn canary(&self, request: CanaryRequest) -> RpcResult<CanaryReply> {
        let mut state = self.0.state();
        state.canary_requests.push(request);
        Ok(state.canary_reply.clone())
    }

    async fn canary_report(&self, report: CanaryReport) -> RpcResult<()> {
        self.0.state().canary_reports.push(report);
        Ok(())
    }

    async fn lease(&self) -> RpcResult<QuorumLease> {
        unsupported()
    }

    async fn release(&self) -> RpcResult<()> {
        unsupported()
    }

    async fn heartbeat(&self, _: Heartbeat) -> RpcResult<HeartbeatReply> {
        unsupported()
    }

    async fn pull(&self, _: PullRequest) -> RpcResult<StateDelta> {
        unsupported()
    }

    async fn push(&self, _: StateDelta) -> RpcResult<()> {
        unsupported()
    }

    async fn status(&self) -> RpcResult<HostStatus> {
        unsupported()
    }
}
