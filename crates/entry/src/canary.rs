//! Sends the canary requests and reports of one query to the agent, in order.

use std::sync::Arc;
use std::time::Duration;

use chervil_plan::query::Event;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::time;

use crate::entry::Entry;

/// Timeout of a call to the agent.
const AGENT_TIMEOUT: Duration = Duration::from_millis(1000);

/// Message of a query to the agent about its canary probe.
#[derive(Clone, Debug)]
pub enum CanaryMessage {
    /// Asks for a permit to probe, or whether the request is known to be safe.
    Request(CanaryRequest),
    /// Reports the result of a probe and gives the permit back.
    Report(CanaryReport),
}

/// Forwards messages until the sender is dropped. Messages that were queued by
/// then are still sent, so that a permit is given back when the caller
/// disconnects.
pub async fn forward(
    entry: Arc<Entry>,
    mut messages: UnboundedReceiver<CanaryMessage>,
    events: UnboundedSender<Event>,
) {
    while let Some(message) = messages.recv().await {
        match message {
            CanaryMessage::Request(request) => {
                let nonce = request.nonce;
                let reply = time::timeout(AGENT_TIMEOUT, request_permit(&entry, request))
                    .await
                    .ok()
                    .flatten();
                // Without a receiver the query has ended and given back its permits.
                let _ = events.send(Event::PermitReply { nonce, reply });
            }
            CanaryMessage::Report(report) => {
                let _ = time::timeout(AGENT_TIMEOUT, send_report(&entry, report)).await;
            }
        }
    }
}

async fn request_permit(entry: &Entry, request: CanaryRequest) -> Option<CanaryReply> {
    entry.peers.get(entry.agent).await.ok()?.canary(request).await.ok()
}

async fn send_report(entry: &Entry, report: CanaryReport) {
    if let Ok(agent) = entry.peers.get(entry.agent).await
        && let Err(e) = agent.canary_report(report).await
    {
        spdlog::debug!("the agent did not take a canary report", kv: { error: = e });
    }
}
