//! Keeps the member list in the store.

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
use crate::actor::Ask;
use crate::actor::ListRead;
use crate::actor::Upkeep;
use crate::settings::Tunables;
use crate::state::State;
use crate::store::Backoff;

/// Key of the member list in the store.
const LIST_KEY: &str = "members";

/// Revision that no key ever has.
const NO_REVISION: Revision = i64::MAX as Revision;

/// Interval at which the need for a change is examined.
const INTERVAL: Duration = Duration::from_millis(250);

/// A host that nobody adds for this long adds itself.
const JOIN_PATIENCE: Duration = Duration::from_secs(3);

/// Delays after a failed call.
const FIRST_DELAY: Duration = Duration::from_millis(250);
const LAST_DELAY: Duration = Duration::from_secs(2);

/// Why the member list was not kept.
#[derive(Debug, Snafu)]
enum ListError {
    #[snafu(display("cannot read or write the member list: {source}"))]
    Call { source: StoreError },
    #[snafu(display(
        "the member list in the store is malformed: {source}; delete the key `members`"
    ))]
    Malformed { source: serde_json::Error },
    #[snafu(display("the agent is stopping"))]
    Stopping,
}

/// What the upkeep works with.
pub(crate) struct Keeper {
    pub(crate) core: AgentAddress,
    pub(crate) store: Arc<dyn Store>,
    pub(crate) hosts: Arc<dyn HostList>,
    pub(crate) tunables: Tunables,
    /// Since when neither the store nor a peer has shown a list.
    pub(crate) absent: Option<time::Instant>,
}

impl Keeper {
    /// Keeps the list until the actor ends.
    pub(crate) async fn run(mut self) {
        let mut backoff = Backoff::new(FIRST_DELAY, LAST_DELAY);
        let mut next_look = time::Instant::now();
        loop {
            let Ok(upkeep) = self.upkeep().await else { return };
            let due = time::Instant::now() >= next_look;
            if !(due && needs_look(&upkeep)) {
                time::sleep(INTERVAL).await;
                continue;
            }
            if !upkeep.member {
                self.find_peers().await;
            }
            match self.look(upkeep).await {
                Ok(again) => {
                    backoff.reset();
                    let wait = if again { INTERVAL } else { self.tunables.list() };
                    next_look = time::Instant::now() + wait;
                }
                Err(ListError::Stopping) => return,
                Err(e) => {
                    spdlog::debug!("member list not kept", kv: { error = e.to_string() });
                    backoff.wait().await;
                }
            }
        }
    }

    /// Learns agents to ask from the platform's host list, which may be
    /// reachable while the store is not.
    async fn find_peers(&self) {
        let listed = time::timeout(self.tunables.store_timeout(), self.hosts.hosts()).await;
        let Ok(Ok(listed)) = listed else { return };
        let live = listed.into_iter().filter(|h| !h.leaving);
        let agents: Vec<SocketAddr> = live.map(|h| h.agent).collect();
        // Fails only at the end of the process.
        let _ = self.core.send(Ask(move |state: &mut State, _| state.set_listed(agents))).await;
    }

    async fn upkeep(&self) -> Result<Upkeep, ListError> {
        let (remove, delisted) = (self.tunables.remove(), self.tunables.delisted());
        let ask = Ask(move |state: &mut State, now| state.upkeep(remove, delisted, now));
        self.core.send(ask).await.ok().ok_or(ListError::Stopping)
    }

    /// Compares the list in the store and changes it when needed; returns
    /// whether another look is due soon.
    async fn look(&mut self, upkeep: Upkeep) -> Result<bool, ListError> {
        let found = self.store.get(LIST_KEY).await.context(CallSnafu)?;
        let revision = found.as_ref().map_or(0, |f| f.revision);
        let stored: Option<MemberList> = match found {
            Some(found) => Some(serde_json::from_str(&found.value).context(MalformedSnafu)?),
            None => None,
        };
        let epoch = stored.as_ref().map_or(0, |l| l.epoch);
        if let Some(list) = stored {
            let confirmed = !upkeep.learned && self.is_current(revision).await?;
            self.adopt(list, confirmed).await?;
        }
        if epoch > upkeep.list.epoch {
            return Ok(true);
        }
        if epoch == 0 && upkeep.list.epoch == 0 {
            // The store may have lost its data while hosts with a list run;
            // they restore it within this time.
            let since = *self.absent.get_or_insert_with(time::Instant::now);
            if since.elapsed() < self.tunables.create() {
                return Ok(true);
            }
            return self.write(revision, first_list(upkeep.me)).await;
        }
        self.absent = None;
        if !upkeep.settled {
            return Ok(false);
        }
        if epoch < upkeep.list.epoch {
            // The store came back with older data.
            return self.write(revision, (*upkeep.list).clone()).await;
        }
        let leaving = self.removals(&upkeep).await;
        match next_list(&upkeep.list, &upkeep.joining, &leaving) {
            Some(next) if may_change(&upkeep) => self.write(revision, next).await,
            _ => Ok(false),
        }
    }

    /// Hosts that leave the list: denied for long, or denied for a while and
    /// no longer listed by the platform.
    async fn removals(&self, upkeep: &Upkeep) -> Vec<Box<str>> {
        let mut removals = upkeep.denied.clone();
        if upkeep.delistable.is_empty() {
            return removals;
        }
        let listed = time::timeout(self.tunables.store_timeout(), self.hosts.hosts()).await;
        // An empty list is taken for a fault of the platform.
        if let Ok(Ok(listed)) = listed
            && !listed.is_empty()
        {
            let listed: HashSet<&str> = listed.iter().map(|h| &*h.host).collect();
            let gone = upkeep.delistable.iter().filter(|h| !listed.contains(&***h));
            removals.extend(gone.cloned());
        }
        removals
    }

    async fn write(&self, revision: Revision, list: MemberList) -> Result<bool, ListError> {
        let text = serde_json::to_string(&list).context(MalformedSnafu)?;
        match self.store.put_if(LIST_KEY, revision, &text).await {
            Ok(_) => self.adopt(list, true).await.map(|()| false),
            // Another host changed it first, or the effect is not known.
            Err(StoreError::Conflict { .. }) => Ok(true),
            Err(e) => Err(e).context(CallSnafu),
        }
    }

    /// Whether a read was not stale.
    ///
    /// A write under a revision that no key has writes nothing, and its refusal
    /// names the current revision, which a read need not return.
    async fn is_current(&self, revision: Revision) -> Result<bool, ListError> {
        match self.store.put_if(LIST_KEY, NO_REVISION, "").await {
            Err(StoreError::Conflict { current }) => Ok(current == revision),
            Err(e) => Err(e).context(CallSnafu),
            Ok(_) => Ok(false),
        }
    }

    async fn adopt(&self, list: MemberList, confirmed: bool) -> Result<(), ListError> {
        let read = ListRead { list, confirmed };
        self.core.send(read).await.ok().ok_or(ListError::Stopping)
    }
}

/// Whether the store must be read: at the start, for this host's own join, or
/// because this host coordinates changes.
fn needs_look(upkeep: &Upkeep) -> bool {
    upkeep.list.epoch == 0 || !upkeep.learned || may_change(upkeep)
}

fn may_change(upkeep: &Upkeep) -> bool {
    let impatient = upkeep.uptime > JOIN_PATIENCE;
    upkeep.coordinator || (impatient && upkeep.joining.contains(&upkeep.me))
}
