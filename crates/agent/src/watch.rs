//! Watches the head of the configuration in the store.

use std::sync::Arc;
use std::time::Duration;

use chervil_base::clock::Clock;
use chervil_config::HEAD_KEY;
use chervil_config::read_delta;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use serde::Deserialize;
use tokio::time;

use crate::actor::AgentAddress;
use crate::actor::Ask;
use crate::actor::HeadRead;
use crate::actor::Offer;
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

/// Watches the head while this host is one of the watchers.
pub(crate) struct Watcher {
    pub(crate) core: AgentAddress,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    /// How long one watch waits.
    pub(crate) wait: Duration,
}

/// What the last read of the head found.
#[derive(Default)]
struct Seen {
    /// Revision of the key.
    key: Revision,
    /// Whether the store was older than the configuration in force.
    older: bool,
}

impl Watcher {
    /// Watches until the actor ends.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(FIRST_DELAY, LAST_DELAY);
        let mut seen = Seen::default();
        while let Ok(watches) = self.core.send(Ask(|s: &mut State, now| s.is_watcher(now))).await {
            if !watches {
                time::sleep(IDLE).await;
                continue;
            }
            if self.read(&mut seen).await.is_err() {
                backoff.wait().await;
                continue;
            }
            backoff.reset();
            if !self.changed(&seen).await {
                backoff.wait().await;
            }
        }
    }

    /// Waits for a change; returns false when the store did not wait.
    ///
    /// A watch may stay silent although the head changed, so that its result
    /// only ends the wait and the head is always read.
    async fn changed(&self, seen: &Seen) -> bool {
        let started = self.clock.now();
        let watched = self.store.watch(HEAD_KEY, seen.key, self.wait).await;
        let early = self.clock.now().saturating_duration_since(started) < self.wait;
        match watched {
            Ok(Some(_)) => true,
            Ok(None) => !early,
            Err(_) => false,
        }
    }

    async fn read(&self, seen: &mut Seen) -> Result<(), StoreError> {
        let began = self.clock.now();
        let head = self.store.get(HEAD_KEY).await?;
        let ask = Ask(|state: &mut State, _| state.config());
        let Ok(config) = self.core.send(ask).await else { return Ok(()) };
        seen.key = head.as_ref().map_or(0, |h| h.revision);
        let found = head.and_then(|h| serde_json::from_str::<HeadRevision>(&h.value).ok());
        let found = found.map_or(0, |h| h.revision);
        let was_older = seen.older;
        seen.older = found < config.revision();
        if seen.older {
            if !was_older {
                spdlog::warn!(
                    "the store is older than the configuration in force; restore its newer data",
                    kv: { store = found, adopted = config.revision() }
                );
            }
            return Ok(());
        }
        if found > config.revision() {
            let offer = read_delta(&*self.store, &config).await?;
            // The actor ends only with the process.
            let _ = self.core.send(Offer(offer)).await;
        }
        let _ = self.core.send(HeadRead(began)).await;
        Ok(())
    }
}
