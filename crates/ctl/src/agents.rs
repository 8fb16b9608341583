//! Calls to the agents of all hosts.

use std::net::SocketAddr;
use std::time::Duration;

use chervil_base::HashSet;
use chervil_platform::HostList as _;
use chervil_platform::Store as _;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::HostStatus;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::PullRequest;
use chervil_rpc::agent::StateDelta;
use chervil_rpc::client::PeerPool;
use chervil_rpc::secret::Secret;
use futures::StreamExt as _;
use futures::stream;
use tokio::time;

use crate::session::Session;

/// Key of the member list in the store.
const MEMBERS_KEY: &str = "members";

/// Agents that are called at once.
const PARALLEL_CALLS: usize = 256;

/// Bound on a call to an agent, including the connection. With a zone down, a
/// fifth of 2,700 hosts does not answer, which costs three rounds of this.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Most bytes that one change sends from the operator's host. A sheet that
/// changes all records is 3.3 MB at 20,000 servers, and there are 2,700 hosts.
const MAX_PUSHED: usize = 64 * 1024 * 1024;

/// Hosts that get a change in any case.
const MIN_PUSHES: usize = 8;

/// Hosts that are asked before a change whether they are ahead of the store.
const SAMPLE: usize = 16;

/// Bound on that question; urgent changes must not wait for hosts.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Host and where to reach its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentHost {
    /// Name of the host, or the address when only that is known.
    pub(crate) name: Box<str>,
    pub(crate) agent: SocketAddr,
}

#[derive(Debug)]
pub(crate) struct Agents {
    peers: PeerPool,
}

impl Agents {
    pub(crate) fn new(secret: Secret) -> Agents {
        Agents { peers: PeerPool::new(secret, CALL_TIMEOUT) }
    }

    /// Offers `state` to hosts, within [`MAX_PUSHED`]. The others, and those
    /// that do not take it, get the change from their peers.
    pub(crate) async fn push(&self, hosts: &[AgentHost], state: &StateDelta) {
        let pushed = (MAX_PUSHED / size(state)).max(MIN_PUSHES);
        let calls = hosts.iter().take(pushed).map(|host| async {
            let push =
                async { self.peers.get(host.agent).await.ok()?.push(state.clone()).await.ok() };
            let _ = time::timeout(CALL_TIMEOUT, push).await;
        });
        stream::iter(calls).buffer_unordered(PARALLEL_CALLS).collect::<Vec<()>>().await;
    }

    /// State of each host; `None` for those that do not answer.
    pub(crate) async fn statuses(&self, hosts: &[AgentHost]) -> Vec<Option<HostStatus>> {
        let calls = hosts.iter().map(|host| async {
            let call = async { self.peers.get(host.agent).await.ok()?.status().await.ok() };
            time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
        });
        stream::iter(calls).buffered(PARALLEL_CALLS).collect().await
    }

    /// Highest revision of a sample of hosts; 0 when none answers in time.
    pub(crate) async fn sample_revision(&self, hosts: &[AgentHost]) -> u64 {
        let step = hosts.len().div_ceil(SAMPLE).max(1);
        let calls = hosts.iter().step_by(step).map(|host| async {
            let call = async { self.peers.get(host.agent).await.ok()?.status().await.ok() };
            time::timeout(SAMPLE_TIMEOUT, call).await.ok().flatten()
        });
        let statuses = stream::iter(calls).buffer_unordered(SAMPLE).collect::<Vec<_>>().await;
        statuses.into_iter().flatten().map(|s| s.revision).max().unwrap_or(0)
    }

    /// Whole configuration of one host.
    pub(crate) async fn pull(&self, host: &AgentHost) -> Option<StateDelta> {
        let request = PullRequest { revision: 0, epoch: 0 };
        let call = async { self.peers.get(host.agent).await.ok()?.pull(request).await.ok() };
        time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
    }
}

/// Bytes of a state, without those of its framing.
fn size(state: &StateDelta) -> usize {
    let records: usize = state.records.iter().map(|r| r.body.len()).sum();
    (records + state.head.as_ref().map_or(0, |h| h.len())).max(1)
}

/// Hosts of the installation: those of the settings, or else of the member
/// list and of the platform's host list. Neither of the two is complete while
/// hosts come and go.
pub(crate) async fn list(session: &Session) -> Vec<AgentHost> {
    let given = &session.settings.agents;
    if !given.is_empty() {
        let host = |a: &SocketAddr| AgentHost { name: a.to_string().into(), agent: *a };
        return given.iter().map(host).collect();
    }
    let (members, listed) = tokio::join!(session.store.get(MEMBERS_KEY), session.hosts.hosts());
    let members = members.ok().flatten();
    let members = members.and_then(|f| serde_json::from_str::<MemberList>(&f.value).ok());
    let members = members.unwrap_or_default().hosts.into_iter();
    let mut hosts: Vec<AgentHost> =
        members.map(|h| AgentHost { name: h.host, agent: h.agent }).collect();
    let known: HashSet<Box<str>> = hosts.iter().map(|h| h.name.clone()).collect();
    let listed = listed.unwrap_or_default().into_iter();
    let others = listed.filter(|h| !h.leaving && !known.contains(&h.host));
    hosts.extend(others.map(|h| AgentHost { name: h.host, agent: h.agent }));
    hosts
}
