//! Methods of the gate.

use chervil_base::index::ServerIndex;
use chervil_node::shutdown::Lifecycle;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::GateRpcServer;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use chervil_rpc::gate::RunRequest;
use chervil_rpc::gate::WarmupLevel;
use jsonrpsee::PendingSubscriptionSink;
use jsonrpsee::SubscriptionSink;
use jsonrpsee::core::RpcResult;
use jsonrpsee::core::SubscriptionResult;
use jsonrpsee::core::async_trait;
use jsonrpsee::types::ErrorObject;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xtra::Address;

use crate::state::Cancel;
use crate::state::GateState;
use crate::state::Hint;
use crate::state::Index;
use crate::state::SubmitBatch;
use crate::state::SubmitRun;

/// Error code of a gate that cannot tell what its servers hold.
const NO_LEASE: i32 = 1;

const NO_LEASE_TEXT: &str = "this gate holds no quorum lease; ask the next host in order";

/// Serves the methods from the actor's state.
pub(crate) struct GateMethods {
    pub(crate) state: Address<GateState>,
    pub(crate) lifecycle: Lifecycle,
}

#[async_trait]
impl GateRpcServer for GateMethods {
    async fn ask(&self, pending: PendingSubscriptionSink, batch: AskBatch) -> SubscriptionResult {
        let _running = self.lifecycle.begin_request();
        let sink = pending.accept().await?;
        let expected = batch.items.len();
        let (replies, inbox) = mpsc::unbounded_channel();
        let works = self.state.send(SubmitBatch { batch, replies }).await?;
        if !forward(&sink, inbox, expected).await {
            // Only what has not ended is cancelled.
            self.state.send(Cancel(works)).await?;
        }
        Ok(())
    }

    async fn run(&self, request: RunRequest) -> RpcResult<RunReply> {
        let _running = self.lifecycle.begin_request();
        let (reply, inbox) = oneshot::channel();
        if self.state.send(SubmitRun { request, reply }).await.is_err() {
            return Ok(RunReply::NotRun { reason: Refusal::Stopping });
        }
        Ok(inbox.await.unwrap_or(RunReply::Unknown))
    }

    async fn index(&self, service: Box<str>) -> RpcResult<Vec<ServerIndex>> {
        let index = self.state.send(Index(service)).await.ok().flatten();
        index.ok_or_else(|| ErrorObject::owned(NO_LEASE, NO_LEASE_TEXT, None::<()>))
    }

    async fn hint(&self, levels: Vec<WarmupLevel>) -> RpcResult<()> {
        // A stopped gate has no use for levels.
        let _ = self.state.send(Hint(levels)).await;
        Ok(())
    }
}

/// Passes on replies until all have come (true) or the subscriber has gone.
async fn forward(
    sink: &SubscriptionSink,
    mut inbox: mpsc::UnboundedReceiver<AskReply>,
    expected: usize,
) -> bool {
    for _ in 0..expected {
        let reply = tokio::select! {
            reply = inbox.recv() => reply,
            () = sink.closed() => None,
        };
        let message = reply.and_then(|r| serde_json::value::to_raw_value(&r).ok());
        let Some(message) = message else {
            return false;
        };
        if sink.send(message).await.is_err() {
            return false;
        }
    }
    true
}
