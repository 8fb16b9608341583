//! Reconciles the member list in the store with the one in force: creates it,
//! restores it, and adds and removes hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::HashSet;
use chervil_members::change::first_list;
use chervil_members::change::next_list;
use chervil_platform::HostList;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_rpc::agent::MemberList;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::time;

use crate::actor::AgentAddress;
use crate::actor::ListRead;
use crate::actor::MembershipSnapshot;
use crate::actor::WithState;
use crate::settings::Tunables;
use crate::state::State;
use crate::store::Backoff;

/// Key of the member list in the store.
const MEMBERS_KEY: &str = "members";

/// Revision that no key ever has, for a write that must fail.
const IMPOSSIBLE_REVISION: Revision = i64::MAX as Revision;

/// Interval at which this host checks whether it must reconcile the list.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Time after its start at which a host adds itself to the list, if the
/// coordinator has not added it.
const SELF_JOIN_DELAY: Duration = Duration::from_secs(3);

/// Delays after failed reconciliations.
const MIN_BACKOFF: Duration = Duration::from_millis(250);
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Why the member list could not be reconciled.
#[derive(Debug, Snafu)]
enum ListError {
    #[snafu(display("cannot read or write the member list: {source}"))]
    Call { source: StoreError },
    #[snafu(display(
        "the member list in the store is malformed: {source}; delete the key `members`, \
         the hosts write it again"
    ))]
    Malformed { source: serde_json::Error },
    #[snafu(display("the agent is stopping"))]
    Stopping,
}

/// Task that reconciles the member list.
pub(crate) struct ListReconciler {
    pub(crate) actor: AgentAddress,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) hosts: Arc<dyn HostList>,
    pub(crate) tunables: Tunables,
    /// Since when no list has been found, neither in the store nor on a peer.
    pub(crate) missing_since: Option<time::Instant>,
}

impl ListReconciler {
    /// Reconciles the list until the actor ends.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(MIN_BACKOFF, MAX_BACKOFF);
        let mut next_run = time::Instant::now();
        loop {
            let Ok(snapshot) = self.snapshot().await else { return };
            let is_due = time::Instant::now() >= next_run;
            if !(is_due && needs_reconciliation(&snapshot)) {
                time::sleep(CHECK_INTERVAL).await;
                continue;
            }
            if !snapshot.is_member {
                self.discover_peers().await;
            }
            match self.reconcile(snapshot).await {
                Ok(retry_soon) => {
                    backoff.reset();
                    let wait =
                        if retry_soon { CHECK_INTERVAL } else { self.tunables.list_interval() };
                    next_run = time::Instant::now() + wait;
                }
                Err(ListError::Stopping) => return,
                Err(e) => {
                    spdlog::debug!(
                        "cannot reconcile the member list; retrying with backoff",
                        kv: { error = e.to_string() }
                    );
                    backoff.wait().await;
                }
            }
        }
    }

    /// Takes agents to contact from the platform's host list, which may be
    /// reachable while the store is not.
    async fn discover_peers(&self) {
        let listed = time::timeout(self.tunables.store_timeout(), self.hosts.hosts()).await;
        let Ok(Ok(listed)) = listed else { return };
        let live = listed.into_iter().filter(|h| !h.leaving);
        let agents: Vec<SocketAddr> = live.map(|h| h.agent).collect();
        // Fails only when the agent is stopping.
        let _ = self
            .actor
            .send(WithState(move |state: &mut State, _| state.set_discovered(agents)))
            .await;
    }

    async fn snapshot(&self) -> Result<MembershipSnapshot, ListError> {
        let (remove, delisted) = (self.tunables.remove_delay(), self.tunables.delisted_delay());
        let message = WithState(move |state: &mut State, now| {
            state.membership_snapshot(remove, delisted, now)
        });
        self.actor.send(message).await.ok().ok_or(ListError::Stopping)
    }

    /// Compares the list in the store with the one in force and writes it if
    /// needed; returns whether the next run should follow soon.
    async fn reconcile(&mut self, snapshot: MembershipSnapshot) -> Result<bool, ListError> {
        let found = self.store.get(MEMBERS_KEY).await.context(CallSnafu)?;
        let revision = found.as_ref().map_or(0, |f| f.revision);
        let stored: Option<MemberList> = match found {
            Some(found) => Some(serde_json::from_str(&found.value).context(MalformedSnafu)?),
            None => None,
        };
        let epoch = stored.as_ref().map_or(0, |l| l.epoch);
        if let Some(list) = stored {
            let confirmed = !snapshot.confirmed && self.is_latest(revision).await?;
            self.adopt(list, confirmed).await?;
        }
        if epoch > snapshot.list.epoch {
            return Ok(true);
        }
        if epoch == 0 && snapshot.list.epoch == 0 {
            // The store may have lost the list while running hosts still hold
            // it; they restore it within this delay.
            let since = *self.missing_since.get_or_insert_with(time::Instant::now);
            if since.elapsed() < self.tunables.create_delay() {
                return Ok(true);
            }
            return self.write(revision, first_list(snapshot.me)).await;
        }
        self.missing_since = None;
        if !snapshot.settled {
            return Ok(false);
        }
        if epoch < snapshot.list.epoch {
            // The store has come back with older data; restore the list.
            return self.write(revision, (*snapshot.list).clone()).await;
        }
        let removals = self.removals(&snapshot).await;
        match next_list(&snapshot.list, &snapshot.joining, &removals) {
            Some(next) if may_write(&snapshot) => self.write(revision, next).await,
            _ => Ok(false),
        }
    }

    /// Hosts to remove from the list: down for long, or down for a shorter time
    /// and no longer listed by the platform.
    async fn removals(&self, snapshot: &MembershipSnapshot) -> Vec<Box<str>> {
        let mut removals = snapshot.removable.clone();
        if snapshot.removable_if_delisted.is_empty() {
            return removals;
        }
        let listed = time::timeout(self.tunables.store_timeout(), self.hosts.hosts()).await;
        // An empty host list is treated as a fault of the platform.
        if let Ok(Ok(listed)) = listed
            && !listed.is_empty()
        {
            let listed: HashSet<&str> = listed.iter().map(|h| &*h.host).collect();
            let gone = snapshot.removable_if_delisted.iter().filter(|h| !listed.contains(&***h));
            removals.extend(gone.cloned());
        }
        removals
    }

    /// Writes a list if the key still has `revision`; returns whether the next
    /// run should follow soon.
    async fn write(&self, revision: Revision, list: MemberList) -> Result<bool, ListError> {
        let text = serde_json::to_string(&list).context(MalformedSnafu)?;
        match self.store.put_if(MEMBERS_KEY, revision, &text).await {
            Ok(_) => self.adopt(list, true).await.map(|()| false),
            // Another host has written first, or an earlier write of this host
            // whose effect was unknown.
            Err(StoreError::Conflict { .. }) => Ok(true),
            Err(e) => Err(e).context(CallSnafu),
        }
    }

    /// Whether `revision`, which a read returned, is the key's latest one; reads
    /// may be stale.
    ///
    /// A conditional write that expects a revision which no key has writes
    /// nothing, and its conflict error contains the current revision.
    async fn is_latest(&self, revision: Revision) -> Result<bool, ListError> {
        match self.store.put_if(MEMBERS_KEY, IMPOSSIBLE_REVISION, "").await {
            Err(StoreError::Conflict { current }) => Ok(current == revision),
            Err(e) => Err(e).context(CallSnafu),
            Ok(_) => Ok(false),
        }
    }

    async fn adopt(&self, list: MemberList, confirmed: bool) -> Result<(), ListError> {
        let read = ListRead { list, confirmed };
        self.actor.send(read).await.ok().ok_or(ListError::Stopping)
    }
}

/// Whether the list in the store must be read: after the start, to add this host
/// itself, or because this host is the coordinator.
fn needs_reconciliation(snapshot: &MembershipSnapshot) -> bool {
    snapshot.list.epoch == 0 || !snapshot.confirmed || may_write(snapshot)
}

/// Whether this host may change the list: as the coordinator, or to add itself
/// after [`SELF_JOIN_DELAY`].
fn may_write(snapshot: &MembershipSnapshot) -> bool {
    let waited = snapshot.uptime > SELF_JOIN_DELAY;
    snapshot.is_coordinator || (waited && snapshot.joining.contains(&snapshot.me))
}
