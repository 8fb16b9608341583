//! Passes claims and canary requests on to the host that owns them, once.

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
use chervil_rpc::client::Peers;
use jsonrpsee::core::client::Error as RpcError;
use jsonrpsee::ws_client::WsClient;
use tokio::time;

use crate::actor::AgentAddress;
use crate::actor::Ask;
use crate::state::State;

/// Serves requests whose home may be another host.
pub(crate) struct Forward {
    pub(crate) core: AgentAddress,
    pub(crate) peers: Arc<Peers>,
    pub(crate) claims: Arc<Claims>,
    pub(crate) limit: Duration,
    pub(crate) metrics: Metrics,
}

impl Forward {
    /// Claims a key at the owner of its bucket.
    ///
    /// A claim that is passed on and not answered is made here with the same
    /// nonce, which the bucket in the store recognizes.
    pub(crate) async fn claim(&self, mut request: ClaimRequest) -> ClaimReply {
        let bucket = match bucket_of(&request.key) {
            Ok(bucket) => bucket,
            Err(e) => return ClaimReply::Invalid { remedy: e.to_string().into() },
        };
        if let Some(home) = self.home(&bucket, request.forwarded).await {
            let limit = self.limit.min(Duration::from_millis(request.timeout_ms.into()) / 2);
            let passed = ClaimRequest { forwarded: true, ..request.clone() };
            let call = |c: Arc<WsClient>| async move { c.claim(passed).await };
            if let Some(reply) = self.pass(home, limit, call).await {
                return reply;
            }
            request.timeout_ms -= limit.as_millis() as u32;
        }
        self.claims.claim(request).await
    }

    /// Records the end of claimed work at the owner of the key's bucket.
    pub(crate) async fn settle(&self, request: SettleRequest) -> Result<(), StoreError> {
        let Ok(bucket) = bucket_of(&request.key) else { return Ok(()) };
        if let Some(home) = self.home(&bucket, request.forwarded).await {
            let passed = SettleRequest { forwarded: true, ..request.clone() };
            let call = |c: Arc<WsClient>| async move { c.settle(passed).await };
            if self.pass(home, self.limit, call).await.is_some() {
                return Ok(());
            }
        }
        self.claims.settle(request).await
    }

    /// Asks the home of a digest for a permit.
    pub(crate) async fn canary(&self, request: CanaryRequest) -> Option<CanaryReply> {
        let item = digest_item(request.digest);
        if let Some(home) = self.home(&item, request.forwarded).await {
            let passed = CanaryRequest { forwarded: true, ..request.clone() };
            let call = |c: Arc<WsClient>| async move { c.canary(passed).await };
            if let Some(reply) = self.pass(home, self.limit, call).await {
                return Some(reply);
            }
        }
        let ask = Ask(move |s: &mut State, now| s.suspects.request_permit(&request, now));
        self.core.send(ask).await.ok()
    }

    /// Reports the end of a probe to the home of its digest.
    pub(crate) async fn canary_report(&self, report: CanaryReport) {
        let item = digest_item(report.digest);
        if let Some(home) = self.home(&item, report.forwarded).await {
            let passed = CanaryReport { forwarded: true, ..report.clone() };
            let call = |c: Arc<WsClient>| async move { c.canary_report(passed).await };
            if self.pass(home, self.limit, call).await.is_some() {
                return;
            }
        }
        let local = report.clone();
        let ask = Ask(move |state: &mut State, now| {
            state.suspects.report(&local, now);
            state.heir(&item, now)
        });
        let heir = self.core.send(ask).await.ok().flatten();
        // Only losses are copied: a copy that gets lost must not look like a
        // probe that was lost with its backend server.
        if let Some(heir) = heir.filter(|_| report.result == CanaryResult::Lost) {
            let copy = CanaryReport { forwarded: true, ..report };
            let call = |c: Arc<WsClient>| async move { c.canary_report(copy).await };
            self.pass(heir, self.limit, call).await;
        }
    }

    /// Host to pass a request on to; `None` when it is to be served here.
    async fn home(&self, item: &str, forwarded: bool) -> Option<SocketAddr> {
        if forwarded {
            return None;
        }
        let item: Box<str> = item.into();
        let ask = Ask(move |state: &mut State, now| state.home(&item, now));
        self.core.send(ask).await.ok().flatten()
    }

    async fn pass<F, R, T>(&self, home: SocketAddr, limit: Duration, call: F) -> Option<T>
    where
        F: FnOnce(Arc<WsClient>) -> R,
        R: Future<Output = Result<T, RpcError>>,
    {
        let passed = async {
            let client = self.peers.get(home).await.ok()?;
            call(client).await.ok()
        };
        let reply = time::timeout(limit, passed).await.ok().flatten();
        self.metrics.count(if reply.is_some() { "forward.passed" } else { "forward.failed" }, 1);
        reply
    }
}

fn digest_item(digest: u64) -> Box<str> {
    format!("{digest:016x}").into()
}
