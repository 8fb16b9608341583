//! Pulls what is newer from the peer whose heartbeat showed it.

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
use crate::actor::Ask;
use crate::actor::Offer;
use crate::state::Source;
use crate::state::State;

/// Limit of a pull; the next heartbeat starts another one.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Pulls until the actor ends.
pub(crate) async fn run(core: AgentAddress, peers: Arc<PeerPool>, mut due: mpsc::Receiver<Source>) {
    while let Some(source) = due.recv().await {
        let ask = Ask(|state: &mut State, _| PullRequest {
            revision: state.revision(),
            epoch: state.membership.list().epoch,
        });
        let Ok(request) = core.send(ask).await else { return };
        let span = info_span!("pull", revision = request.revision, epoch = request.epoch);
        match time::timeout(TIMEOUT, pull(&peers, source, request).instrument(span)).await {
            Ok(Some(offer)) => {
                // The actor has logged why an offer is not adopted.
                let _ = core.send(Offer(offer)).await;
            }
            Ok(None) => {}
            Err(_) => peers.evict(source.address).await,
        }
    }
}

async fn pull(peers: &PeerPool, source: Source, request: PullRequest) -> Option<StateDelta> {
    let client = peers.get(source.address).await.ok()?;
    client.pull(request).await.ok()
}
