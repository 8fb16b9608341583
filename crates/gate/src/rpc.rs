//! RPC methods of the gate.

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

use crate::actor::AddHints;
use crate::actor::CancelWork;
use crate::actor::GateActor;
use crate::actor::GetIndex;
use crate::actor::SubmitBatch;
use crate::actor::SubmitRun;

/// JSON-RPC error code of `index` while the gate holds no quorum lease.
const NO_LEASE: i32 = 1;

const NO_LEASE_TEXT: &str = "this gate holds no quorum lease; ask the next host in order";

/// Implements the RPC methods by messages to the actor.
pub(crate) struct GateMethods {
    pub(crate) actor: Address<GateActor>,
    pub(crate) lifecycle: Lifecycle,
}

#[async_trait]
impl GateRpcServer for GateMethods {
    async fn ask(&self, pending: PendingSubscriptionSink, batch: AskBatch) -> SubscriptionResult {
        let _guard = self.lifecycle.begin_request();
        let sink = pending.accept().await?;
        let expected = batch.items.len();
        let (replies, receiver) = mpsc::unbounded_channel();
        let accepted = self.actor.send(SubmitBatch { batch, replies }).await?;
        if !forward_replies(&sink, receiver, expected).await {
            // Items that have already ended are not affected.
            self.actor.send(CancelWork(accepted)).await?;
        }
        Ok(())
    }

    async fn run(&self, request: RunRequest) -> RpcResult<RunReply> {
        let _guard = self.lifecycle.begin_request();
        let (reply, receiver) = oneshot::channel();
        if self.actor.send(SubmitRun { request, reply }).await.is_err() {
            return Ok(RunReply::NotRun { reason: Refusal::Stopping });
        }
        Ok(receiver.await.unwrap_or(RunReply::Unknown))
    }

    async fn index(&self, service: Box<str>) -> RpcResult<Vec<ServerIndex>> {
        let index = self.actor.send(GetIndex(service)).await.ok().flatten();
        index.ok_or_else(|| ErrorObject::owned(NO_LEASE, NO_LEASE_TEXT, None::<()>))
    }

    async fn hint(&self, levels: Vec<WarmupLevel>) -> RpcResult<()> {
        // Fails if the actor has stopped, when the levels are no longer needed.
        let _ = self.actor.send(AddHints(levels)).await;
        Ok(())
    }
}

/// Forwards `expected` replies to the subscriber. Returns false if the subscription
/// ended before.
async fn forward_replies(
    sink: &SubscriptionSink,
    mut receiver: mpsc::UnboundedReceiver<AskReply>,
    expected: usize,
) -> bool {
    for _ in 0..expected {
        let reply = tokio::select! {
            reply = receiver.recv() => reply,
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
