//! Follows the agent's view of the system.

use std::sync::Arc;
use std::time::Duration;

use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::View;
use chervil_rpc::agent::ViewRequest;
use tokio::time;

use crate::directory::SetView;
use crate::entry::Entry;

/// How long the agent may hold a request for a view.
const WAIT: Duration = Duration::from_millis(1000);

/// Longest wait for a reply, after which the agent counts as hanging.
const TIMEOUT: Duration = Duration::from_millis(2500);

/// Wait after a failure.
const RETRY: Duration = Duration::from_millis(100);

/// Failures in a row after which the entry refuses new work.
const MAX_FAILURES: u32 = 5;

/// Follows the view until the task is aborted.
pub async fn follow(entry: Arc<Entry>) {
    let (mut after, mut revision, mut failures) = (0, 0, 0);
    loop {
        let request = ViewRequest { after, revision, wait_ms: WAIT.as_millis() as u32 };
        match time::timeout(TIMEOUT, ask(&entry, request)).await {
            Ok(Some(view)) => {
                failures = 0;
                after = view.sequence;
                revision = view.catalog.as_ref().map_or(revision, |c| c.revision);
                take(&entry, view).await;
            }
            outcome => {
                failures += 1;
                // A hanging agent has already cost more than a failing one.
                if outcome.is_err() || failures >= MAX_FAILURES {
                    refuse(&entry);
                }
                // A new agent process numbers its views anew.
                (after, revision) = (0, 0);
                entry.peers.evict(entry.agent).await;
                time::sleep(RETRY).await;
            }
        }
    }
}

async fn ask(entry: &Entry, request: ViewRequest) -> Option<View> {
    let client = entry.peers.get(entry.agent).await.ok()?;
    client.view(request).await.ok()
}

async fn take(entry: &Entry, view: View) {
    let ready = view.ready;
    let _ = entry.directory.send(SetView(view)).await;
    if ready != entry.is_accepting() {
        spdlog::info!("readiness changed", kv: { ready = ready });
    }
    entry.set_accepting(ready);
}

fn refuse(entry: &Entry) {
    if entry.is_accepting() {
        spdlog::warn!("the agent does not answer; new work is refused until it does");
    }
    entry.set_accepting(false);
}
