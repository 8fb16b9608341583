//! Watches the head of the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_config::HEAD_KEY;
use chervil_config::read_newer;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use serde::Deserialize;
use tokio::time;

use crate::core::Ask;
use crate::core::CoreAddress;
use crate::core::HeadRead;
use crate::core::Offer;
use crate::state::State;
use crate::store::Backoff;

/// Interval at which a host that does not watch looks whether it should.
const IDLE: Duration = Duration::from_millis(250);

/// Delays after a failed call.
const FIRST_DELAY: Duration = Duration::from_millis(100);
const LAST_DELAY: Duration = Duration::from_secs(2);

/// The part of the head that tells a stale one.
#[derive(Deserialize)]
struct HeadRevision {
    revision: u64,
}

/// Watches while this host is one of the watchers, until the actor ends.
pub(crate) async fn run(
    core: CoreAddress,
    store: Arc<dyn Store>,
    clock: Arc<dyn Clock>,
    wait: Duration,
) {
    let mut backoff = Backoff::new(FIRST_DELAY, LAST_DELAY);
    let mut seen: Revision = 0;
    loop {
        let Ok(watches) = core.send(Ask(|s: &mut State, now| s.is_watcher(now))).await else {
            return;
        };
        if !watches {
            time::sleep(IDLE).await;
            continue;
        }
        match read(&core, &*store, &*clock, &mut seen).await {
            Ok(()) => backoff.reset(),
            Err(_) => {
                backoff.wait().await;
                continue;
            }
        }
        // A watch may stay silent although the head changed, so that its
        // result only ends the wait and the head is always read.
        let started = clock.now();
        let watched = store.watch(HEAD_KEY, seen, wait).await;
        let early = clock.now().saturating_duration_since(started) < wait;
        if watched.is_err() || (early && matches!(watched, Ok(None))) {
            backoff.wait().await;
        }
    }
}

async fn read(
    core: &CoreAddress,
    store: &dyn Store,
    clock: &dyn Clock,
    seen: &mut Revision,
) -> Result<(), StoreError> {
    let began = clock.now();
    let head = store.get(HEAD_KEY).await?;
    let ask = Ask(|state: &mut State, _| state.config());
    let Ok(config) = core.send(ask).await else { return Ok(()) };
    *seen = head.as_ref().map_or(0, |h| h.revision);
    let found = head.and_then(|h| serde_json::from_str::<HeadRevision>(&h.value).ok());
    let found = found.map_or(0, |h| h.revision);
    if found < config.revision() {
        spdlog::warn!("the store is older than the configuration in force; restore its newer data",
            kv: { store = found, adopted = config.revision() });
        return Ok(());
    }
    if found > config.revision() {
        let offer = read_newer(store, &config).await?;
        let _ = core.send(Offer(offer)).await;
    }
    let _ = core.send(HeadRead(began)).await;
    Ok(())
}
