//! Watches the head of the configuration in the store and reads newer
//! configurations.

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
use crate::actor::ApplyDelta;
use crate::actor::HeadRead;
use crate::actor::WithState;
use crate::state::State;
use crate::store::Backoff;

/// Interval at which a host that does not watch checks whether it should.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Delays after failed calls.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// The part of the head that shows whether it is older than the one in force.
#[derive(Deserialize)]
struct HeadRevision {
    revision: u64,
}

/// Watches the head while this host is one of the watchers.
pub(crate) struct HeadWatcher {
    pub(crate) actor: AgentAddress,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) clock: Arc<dyn Clock>,
    /// How long one watch waits for a change.
    pub(crate) watch_timeout: Duration,
}

/// Result of the last read of the head.
#[derive(Default)]
struct Seen {
    /// Revision of the key in the store; 0 without a key.
    key_revision: Revision,
    /// Whether the head was older than the configuration in force.
    store_is_older: bool,
}

impl HeadWatcher {
    /// Watches until the actor ends.
    pub(crate) async fn run(self) {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut seen = Seen::default();
        while let Ok(watches) =
            self.actor.send(WithState(|s: &mut State, now| s.is_watcher(now))).await
        {
            if !watches {
                time::sleep(ROLE_CHECK_INTERVAL).await;
                continue;
            }
            if self.read(&mut seen).await.is_err() {
                backoff.wait().await;
                continue;
            }
            backoff.reset();
            if !self.wait_for_change(&seen).await {
                backoff.wait().await;
            }
        }
    }

    /// Waits for a change of the head; returns false when the watch failed or
    /// ended early without one, so that the next read must be delayed.
    ///
    /// A watch may miss a change. Its result therefore only ends the wait, and
    /// the head is read after every watch.
    async fn wait_for_change(&self, seen: &Seen) -> bool {
        let started = self.clock.now();
        let watched = self.store.watch(HEAD_KEY, seen.key_revision, self.watch_timeout).await;
        let early = self.clock.now().saturating_duration_since(started) < self.watch_timeout;
        match watched {
            Ok(Some(_)) => true,
            Ok(None) => !early,
            Err(_) => false,
        }
    }

    /// Reads the head, and the rest of the configuration if the head is newer.
    async fn read(&self, seen: &mut Seen) -> Result<(), StoreError> {
        let read_started = self.clock.now();
        let head = self.store.get(HEAD_KEY).await?;
        let message = WithState(|state: &mut State, _| state.config());
        let Ok(config) = self.actor.send(message).await else { return Ok(()) };
        seen.key_revision = head.as_ref().map_or(0, |h| h.revision);
        let found = head.and_then(|h| serde_json::from_str::<HeadRevision>(&h.value).ok());
        let found = found.map_or(0, |h| h.revision);
        let was_older = seen.store_is_older;
        seen.store_is_older = found < config.revision();
        if seen.store_is_older {
            if !was_older {
                spdlog::warn!(
                    "the configuration in the store is older than the one in force, which stays; \
                     restore newer data into the store",
                    kv: { store = found, adopted = config.revision() }
                );
            }
            return Ok(());
        }
        if found > config.revision() {
            let delta = read_delta(&*self.store, &config).await?;
            // Fails only when the agent is stopping.
            let _ = self.actor.send(ApplyDelta(delta)).await;
        }
        let _ = self.actor.send(HeadRead(read_started)).await;
        Ok(())
    }
}
