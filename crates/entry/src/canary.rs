//! Relays canary requests and reports of one query to the agent, in order.

use std::sync::Arc;
use std::time::Duration;

use chervil_plan::query::Event;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time;

use crate::entry::Entry;

/// Longest wait for the agent.
const TIMEOUT: Duration = Duration::from_millis(1000);

/// Message to the agent about a canary.
#[derive(Clone, Debug)]
pub enum Canary {
    /// Asks for a permit.
    Ask(CanaryRequest),
    /// Reports how a probe ended.
    Report(CanaryReport),
}

/// Relays until the sender is dropped; what was sent before is still relayed,
/// so that a permit is not left open when the caller leaves.
pub async fn relay(
    entry: Arc<Entry>,
    mut canaries: UnboundedReceiver<Canary>,
    events: UnboundedSender<Event>,
) {
    while let Some(canary) = canaries.recv().await {
        match canary {
            Canary::Ask(request) => {
                let nonce = request.nonce;
                let reply = time::timeout(TIMEOUT, ask(&entry, request)).await.ok().flatten();
                // Without a receiver the query is over and gave its permits up.
                let _ = events.send(Event::PermitReply { nonce, reply });
            }
            Canary::Report(report) => {
                let _ = time::timeout(TIMEOUT, tell(&entry, report)).await;
            }
        }
    }
}

async fn ask(entry: &Entry, request: CanaryRequest) -> Option<chervil_rpc::agent::CanaryReply> {
    entry.peers.get(entry.agent).await.ok()?.canary(request).await.ok()
}

async fn tell(entry: &Entry, report: CanaryReport) {
    if let Ok(agent) = entry.peers.get(entry.agent).await
        && let Err(e) = agent.canary_report(report).await
    {
        spdlog::debug!("a canary report was not delivered", kv: { error: = e });
    }
}
