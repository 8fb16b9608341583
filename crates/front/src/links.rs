//! Checks of the links to the backend servers; see `chervil_route::links`.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_route::links::Check;
use futures::StreamExt as _;
use futures::stream::FuturesUnordered;
use tokio::time;

use crate::attempt;
use crate::core::Core;
use crate::state::CheckTarget;

/// Time after which a check connects to all of its backend servers. The first one mostly accepts
/// before that, so that a check opens a single connection.
const OTHERS_DELAY: Duration = Duration::from_millis(10);

/// Time within which a backend server must accept a connection: several round trips between
/// availability zones.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval at which lost links are checked.
const LOST_INTERVAL: Duration = Duration::from_millis(500);

/// Checks the links whenever they are in doubt, and while they are lost.
pub async fn watch(core: Arc<Core>) {
    loop {
        core.link_check_wanted().await;
        loop {
            let targets = core.check_targets();
            if targets.is_empty() {
                core.abandon_link_check();
                break;
            }
            let zones: Vec<Box<str>> = targets.iter().map(|t| t.zone.clone()).collect();
            connect_to_any(&core, targets).await;
            match core.finish_link_check(&zones) {
                Check::Working => break,
                Check::Lost | Check::StillLost => time::sleep(LOST_INTERVAL).await,
            }
        }
    }
}

/// Connects to backend servers until one accepts, which counts as a sign.
async fn connect_to_any(core: &Arc<Core>, targets: Vec<CheckTarget>) {
    let start = core.now();
    let connects = targets.into_iter().enumerate().map(|(i, target)| async move {
        if i > 0 {
            time::sleep(OTHERS_DELAY).await;
        }
        accepts(core, &target, start).await
    });
    let mut connects: FuturesUnordered<_> = connects.collect();
    while let Some(accepted) = connects.next().await {
        if accepted {
            return;
        }
    }
}

/// Whether a backend server accepts a connection, which is kept for requests.
async fn accepts(core: &Arc<Core>, target: &CheckTarget, start: Instant) -> bool {
    let permit = core.pools().try_permit(target.key, target.max_connections);
    let Some(permit) = permit else { return false };
    let left = ACCEPT_TIMEOUT.saturating_sub(core.now().duration_since(start));
    let opened = time::timeout(left, attempt::connect(target.address)).await;
    let Ok(Ok(stream)) = opened else { return false };
    core.keep_connection(target.key, stream, permit);
    true
}
