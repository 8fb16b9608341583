//! Pulls newer state from a peer whose heartbeat shows that it has some.

use std::sync::Arc;
use std::time::Duration;

use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::PullRequest;
use chervil_rpc::agent::StateDelta;
use chervil_rpc::client::PeerPool;
use tokio::sync::mpsc;
use tokio::time;
use tracing::Instrument as _;
use tracing::info_span;

use crate::actor::AgentAddress;
use crate::actor::ApplyDelta;
use crate::actor::WithState;
use crate::state::PullSource;
use crate::state::State;

/// Timeout of a pull; the next heartbeat of the peer starts another one.
const PULL_TIMEOUT: Duration = Duration::from_secs(1);

/// Pulls from the queued peers until the actor ends.
pub(crate) async fn run(
    actor: AgentAddress,
    peers: Arc<PeerPool>,
    mut sources: mpsc::Receiver<PullSource>,
) {
    while let Some(source) = sources.recv().await {
        let message = WithState(|state: &mut State, _| PullRequest {
            revision: state.revision(),
            epoch: state.membership.list().epoch,
        });
        let Ok(request) = actor.send(message).await else { return };
        let span = info_span!("pull", revision = request.revision, epoch = request.epoch);
        match time::timeout(PULL_TIMEOUT, pull(&peers, source, request).instrument(span)).await {
            Ok(Some(delta)) => {
                // If the delta is rejected, the actor has logged why.
                let _ = actor.send(ApplyDelta(delta)).await;
            }
            Ok(None) => {}
            Err(_) => peers.evict(source.address).await,
        }
    }
}

async fn pull(peers: &PeerPool, source: PullSource, request: PullRequest) -> Option<StateDelta> {
    let client = peers.get(source.address).await.ok()?;
    client.pull(request).await.ok()
}
