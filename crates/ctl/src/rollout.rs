//! Makes a change and follows it to the hosts.

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

/// Interval between questions to hosts that are behind.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

message! {
    /// Host that holds an older revision.
    #[derive(Eq)]
    pub(crate) struct Behind {
        pub(crate) host: Box<str>,
        pub(crate) revision: u64,
    }

    /// Where a revision is in force.
    #[derive(Default, Eq)]
    pub(crate) struct Rollout {
        pub(crate) revision: u64,
        /// Hosts in all.
        pub(crate) hosts: usize,
        /// Hosts that hold this revision or a higher one.
        pub(crate) in_force: usize,
        /// Hosts that hold an older one.
        pub(crate) behind: Vec<Behind>,
        /// Hosts that did not answer.
        pub(crate) unreached: Vec<Box<str>>,
    }

    /// Result of a change and where it is in force.
    #[derive(Eq)]
    struct Changed {
        #[serde(flatten)]
        result: ChangeResult,
        rollout: Option<Rollout>,
    }
}

impl Rollout {
    /// Whether the revision is not known to be in force on a host.
    fn is_open(&self, host: &AgentHost) -> bool {
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

impl fmt::Display for Changed {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.result)?;
        self.rollout.as_ref().map_or(Ok(()), |rollout| write!(f, "\n{rollout}"))
    }
}

/// Makes a change and, when it is accepted, reports where it is in force.
pub(crate) async fn change(session: &Session, change: &Change) -> Report {
    let hosts = agents::list(session).await;
    let result = session.change(change, &hosts).await;
    let exit = match &result {
        ChangeResult::Accepted(_) | ChangeResult::Unchanged { .. } => Exit::Done,
        ChangeResult::Unknown { .. } => Exit::Unknown,
        _ => Exit::Failed,
    };
    let rollout = match &result {
        ChangeResult::Accepted(accepted) => Some(follow(session, &hosts, accepted).await),
        _ => None,
    };
    Report::new(&Changed { result, rollout }, exit)
}

async fn follow(session: &Session, hosts: &[AgentHost], accepted: &Accepted) -> Rollout {
    let revision = accepted.operation.revision;
    let mut delta = accepted.delta.clone();
    if delta.head.is_none() {
        delta = read_delta(&session.store, &ConfigReplica::new()).await.unwrap_or_default();
    }
    session.agents.push(hosts, &delta).await;
    let end = Instant::now() + Duration::from_secs(session.settings.wait_s);
    let mut pending = hosts.to_vec();
    loop {
        let mut rollout = ask(session, &pending, revision).await;
        pending.retain(|h| rollout.is_open(h));
        if pending.is_empty() || Instant::now() >= end {
            rollout.hosts = hosts.len();
            rollout.in_force = hosts.len() - pending.len();
            return rollout;
        }
        time::sleep(POLL_INTERVAL).await;
    }
}

/// Asks all hosts which revision they hold.
pub(crate) async fn ask(session: &Session, hosts: &[AgentHost], revision: u64) -> Rollout {
    let mut rollout = Rollout { revision, hosts: hosts.len(), ..Rollout::default() };
    let statuses = session.agents.statuses(hosts).await;
    for (host, status) in hosts.iter().zip(statuses) {
        match status {
            None => rollout.unreached.push(host.name.clone()),
            Some(s) if s.revision >= revision => rollout.in_force += 1,
            Some(s) => {
                rollout.behind.push(Behind { host: host.name.clone(), revision: s.revision });
            }
        }
    }
    rollout
}
