//! Forwards claims and canary requests to the host that owns them. A request is
//! forwarded at most once.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_claim::Claims;
use chervil_claim::bucket_of;
use chervil_node::metrics::Metrics;
use chervil_platform::StoreError;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::SettleRequest;
use chervil_rpc::client::PeerPool;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::ws_client::WsClient;
use tokio::time;

use crate::actor::AgentAddress;
use crate::actor::WithState;
use crate::state::State;

/// Serves claims and canary requests, or forwards them to their owner.
pub(crate) struct Forwarder {
    pub(crate) actor: AgentAddress,
    pub(crate) peers: Arc<PeerPool>,
    pub(crate) claims: Arc<Claims>,
    /// Timeout of a forwarded request.
    pub(crate) timeout: Duration,
    pub(crate) metrics: Metrics,
}

impl Forwarder {
    /// Claims a key at the owner of its bucket.
    ///
    /// If the owner does not reply, this host makes the claim itself with the
    /// same nonce, by which the bucket in the store recognizes a repetition.
    pub(crate) async fn claim(&self, mut request: ClaimRequest) -> ClaimReply {
        let bucket = match bucket_of(&request.key) {
            Ok(bucket) => bucket,
            Err(e) => return ClaimReply::Invalid { remedy: e.to_string().into() },
        };
        if let Some(owner) = self.remote_owner(&bucket, request.forwarded).await {
            let timeout = self.timeout.min(Duration::from_millis(request.timeout_ms.into()) / 2);
            let forwarded = ClaimRequest { forwarded: true, ..request.clone() };
            let call = |c: Arc<WsClient>| async move { c.claim(forwarded).await };
            if let Some(reply) = self.forward(owner, timeout, call).await {
                return reply;
            }
            request.timeout_ms -= timeout.as_millis() as u32;
        }
        self.claims.claim(request).await
    }

    /// Records the outcome of claimed work at the owner of the key's bucket.
    pub(crate) async fn settle(&self, request: SettleRequest) -> Result<(), StoreError> {
        let Ok(bucket) = bucket_of(&request.key) else { return Ok(()) };
        if let Some(owner) = self.remote_owner(&bucket, request.forwarded).await {
            let forwarded = SettleRequest { forwarded: true, ..request.clone() };
            let call = |c: Arc<WsClient>| async move { c.settle(forwarded).await };
            if self.forward(owner, self.timeout, call).await.is_some() {
                return Ok(());
            }
        }
        self.claims.settle(request).await
    }

    /// Asks the owner of a digest for a canary permit; `None` when this agent is
    /// stopping.
    pub(crate) async fn canary(&self, request: CanaryRequest) -> Option<CanaryReply> {
        let item = digest_item(request.digest);
        if let Some(owner) = self.remote_owner(&item, request.forwarded).await {
            let forwarded = CanaryRequest { forwarded: true, ..request.clone() };
            let call = |c: Arc<WsClient>| async move { c.canary(forwarded).await };
            if let Some(reply) = self.forward(owner, self.timeout, call).await {
                return Some(reply);
            }
        }
        let message =
            WithState(move |s: &mut State, now| s.canary_permits.request_permit(&request, now));
        self.actor.send(message).await.ok()
    }

    /// Reports the result of a probe to the owner of its digest, which sends a
    /// copy of each loss to its successor.
    pub(crate) async fn canary_report(&self, report: CanaryReport) {
        let item = digest_item(report.digest);
        if let Some(owner) = self.remote_owner(&item, report.forwarded).await {
            let forwarded = CanaryReport { forwarded: true, ..report.clone() };
            let call = |c: Arc<WsClient>| async move { c.canary_report(forwarded).await };
            if self.forward(owner, self.timeout, call).await.is_some() {
                return;
            }
        }
        let local = report.clone();
        let message = WithState(move |state: &mut State, now| {
            state.canary_permits.report(&local, now);
            state.successor(&item, now)
        });
        let successor = self.actor.send(message).await.ok().flatten();
        // Only losses are copied. A copy that fails to arrive must not look like
        // a probe that was lost with its backend server.
        if let Some(successor) = successor.filter(|_| report.result == CanaryResult::Lost) {
            let copy = CanaryReport { forwarded: true, ..report };
            let call = |c: Arc<WsClient>| async move { c.canary_report(copy).await };
            self.forward(successor, self.timeout, call).await;
        }
    }

    /// Host to forward a request to; `None` when this host is to serve it.
    async fn remote_owner(&self, item: &str, forwarded: bool) -> Option<SocketAddr> {
        if forwarded {
            return None;
        }
        let item: Box<str> = item.into();
        let message = WithState(move |state: &mut State, now| state.remote_owner(&item, now));
        self.actor.send(message).await.ok().flatten()
    }

    /// Makes a call to the owner; `None` when it fails or times out.
    async fn forward<F, R, T>(&self, owner: SocketAddr, timeout: Duration, call: F) -> Option<T>
    where
        F: FnOnce(Arc<WsClient>) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let forwarded = async {
            let client = self.peers.get(owner).await.ok()?;
            call(client).await.ok()
        };
        let reply = time::timeout(timeout, forwarded).await.ok().flatten();
        self.metrics.count(if reply.is_some() { "forward.passed" } else { "forward.failed" }, 1);
        reply
    }
}

/// Item under which the owner of a digest is looked up.
fn digest_item(digest: u64) -> Box<str> {
    format!("{digest:016x}").into()
}
