//! Applies a change and waits until the hosts have adopted it.

use std::fmt;
use std::time::Duration;

use chervil_base::message;
use chervil_config::Accepted;
use chervil_config::Change;
use chervil_config::ChangeResult;
use chervil_config::ConfigReplica;
use chervil_config::read_delta;
use tokio::time;
use tokio::time::Instant;

use crate::agents;
use crate::agents::AgentHost;
use crate::report::Exit;
use crate::report::Report;
use crate::session::Session;

/// Interval at which hosts that are behind are polled.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

message! {
    /// Host that still holds an older revision.
    #[derive(Eq)]
    pub(crate) struct LaggingHost {
        pub(crate) host: Box<str>,
        pub(crate) revision: u64,
    }

    /// Hosts that a revision is and is not in force on.
    #[derive(Default, Eq)]
    pub(crate) struct Rollout {
        pub(crate) revision: u64,
        /// Total number of hosts.
        pub(crate) hosts: usize,
        /// Number of hosts that hold this revision or a higher one.
        pub(crate) in_force: usize,
        /// Hosts that hold an older revision.
        pub(crate) behind: Vec<LaggingHost>,
        /// Hosts that did not answer.
        pub(crate) unreached: Vec<Box<str>>,
    }

    /// Result of a change and, when it was accepted, its rollout.
    #[derive(Eq)]
    struct ChangeReport {
        #[serde(flatten)]
        result: ChangeResult,
        rollout: Option<Rollout>,
    }
}

impl Rollout {
    /// Whether a host lags behind or did not answer.
    fn is_pending(&self, host: &AgentHost) -> bool {
        self.unreached.contains(&host.name) || self.behind.iter().any(|b| b.host == host.name)
    }
}

impl fmt::Display for Rollout {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.hosts == 0 {
            return write!(f, "hosts: none known; set `agents` in the settings to follow changes");
        }
        write!(
            f,
            "hosts: revision {} in force on {} of {}",
            self.revision, self.in_force, self.hosts
        )?;
        for b in &self.behind {
            write!(f, "\n  behind: {} at revision {}", b.host, b.revision)?;
        }
        self.unreached.iter().try_for_each(|host| write!(f, "\n  not reached: {host}"))
    }
}

impl fmt::Display for ChangeReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.result)?;
        self.rollout.as_ref().map_or(Ok(()), |rollout| write!(f, "\n{rollout}"))
    }
}

/// Applies a change. When it is accepted, waits for the hosts and reports which
/// of them it is in force on.
pub(crate) async fn apply_change(session: &Session, change: &Change) -> Report {
    let hosts = agents::list_hosts(session).await;
    let result = session.change(change, &hosts).await;
    let exit = match &result {
        ChangeResult::Accepted(_) | ChangeResult::Unchanged { .. } => Exit::Done,
        ChangeResult::Unknown { .. } => Exit::Unknown,
        _ => Exit::Failed,
    };
    let rollout = match &result {
        ChangeResult::Accepted(accepted) => Some(push_and_wait(session, &hosts, accepted).await),
        _ => None,
    };
    Report::new(&ChangeReport { result, rollout }, exit)
}

/// Pushes an accepted change to the hosts and polls them until all have adopted
/// it or the wait in the settings is over.
async fn push_and_wait(session: &Session, hosts: &[AgentHost], accepted: &Accepted) -> Rollout {
    let revision = accepted.operation.revision;
    let mut delta = accepted.delta.clone();
    // The delta is empty when an earlier run made the change.
    if delta.head.is_none() {
        delta = read_delta(&session.store, &ConfigReplica::new()).await.unwrap_or_default();
    }
    session.agents.push(hosts, &delta).await;
    let deadline = Instant::now() + Duration::from_secs(session.settings.wait_s);
    let mut pending = hosts.to_vec();
    loop {
        let mut rollout = query_hosts(session, &pending, revision).await;
        pending.retain(|h| rollout.is_pending(h));
        if pending.is_empty() || Instant::now() >= deadline {
            rollout.hosts = hosts.len();
            rollout.in_force = hosts.len() - pending.len();
            return rollout;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Asks hosts which revision they hold and compares it with `revision`.
pub(crate) async fn query_hosts(session: &Session, hosts: &[AgentHost], revision: u64) -> Rollout {
    let mut rollout = Rollout { revision, hosts: hosts.len(), ..Rollout::default() };
    let statuses = session.agents.statuses(hosts).await;
    for (host, status) in hosts.iter().zip(statuses) {
        match status {
            None => rollout.unreached.push(host.name.clone()),
            Some(s) if s.revision >= revision => rollout.in_force += 1,
            Some(s) => {
                rollout.behind.push(LaggingHost { host: host.name.clone(), revision: s.revision });
            }
        }
    }
    rollout
}
