//! Keeps the directory and the readiness of an entry up to date with the view
//! that the agent on this host publishes.

use std::sync::Arc;
use std::time::Duration;

use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::View;
use chervil_rpc::agent::ViewRequest;
use tokio::time;

use crate::directory::SetView;
use crate::entry::Entry;

/// How long the agent holds a request while the view does not change.
const LONG_POLL_WAIT: Duration = Duration::from_millis(1000);

/// Timeout of a request, after which the agent counts as hanging.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(2500);

/// Delay before a failed request is repeated.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Consecutive failures after which the entry refuses new requests.
const MAX_CONSECUTIVE_FAILURES: u32 = 5;

/// Long-polls the view until the task is aborted.
pub async fn watch(entry: Arc<Entry>) {
    let (mut after, mut revision, mut failures) = (0, 0, 0);
    loop {
        let request = ViewRequest { after, revision, wait_ms: LONG_POLL_WAIT.as_millis() as u32 };
        match time::timeout(REQUEST_TIMEOUT, fetch(&entry, request)).await {
            Ok(Some(view)) => {
                failures = 0;
                after = view.sequence;
                revision = view.catalog.as_ref().map_or(revision, |c| c.revision);
                apply(&entry, view).await;
            }
            failure => {
                failures += 1;
                // A single timeout takes longer than MAX_CONSECUTIVE_FAILURES calls
                // that fail at once, so it is enough.
                if failure.is_err() || failures >= MAX_CONSECUTIVE_FAILURES {
                    stop_accepting(&entry);
                }
                // The agent may have restarted, and a new process numbers its
                // views from the start.
                (after, revision) = (0, 0);
                entry.peers.evict(entry.agent).await;
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn fetch(entry: &Entry, request: ViewRequest) -> Option<View> {
    let client = entry.peers.get(entry.agent).await.ok()?;
    client.view(request).await.ok()
}

async fn apply(entry: &Entry, view: View) {
    let ready = view.ready;
    let _ = entry.directory.send(SetView(view)).await;
    if ready != entry.is_accepting() {
        spdlog::info!("readiness changed", kv: { ready = ready });
    }
    entry.set_accepting(ready);
}

fn stop_accepting(entry: &Entry) {
    if entry.is_accepting() {
        spdlog::warn!(
            "the agent on this host does not answer; new requests are refused until it does"
        );
    }
    entry.set_accepting(false);
}
