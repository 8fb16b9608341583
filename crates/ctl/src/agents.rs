//! RPC calls to the agents of many hosts.

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

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 256;

/// Timeout of a call to an agent, including the connection setup. With a zone
/// down, a fifth of 2,700 hosts does not answer; at 256 concurrent calls, these
/// take three timeouts.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum number of bytes that one change sends from the operator's host. A
/// sheet that changes all records is 3.3 MB at 20,000 servers, which is too much
/// to send to each of 2,700 hosts.
const MAX_PUSH_BYTES: usize = 64 * 1024 * 1024;

/// Minimum number of hosts that a change is pushed to, whatever its size.
const MIN_PUSH_HOSTS: usize = 8;

/// Number of hosts asked before a change whether they hold a higher revision than
/// the store.
const SAMPLE_SIZE: usize = 16;

/// Timeout of the calls to the sampled hosts. It is short because an urgent
/// change must not wait for hosts that do not answer.
const SAMPLE_TIMEOUT: Duration = Duration::from_millis(500);

/// Host with the address of its agent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct AgentHost {
    /// Host name, or the agent's address for agents from the settings.
    pub(crate) name: Box<str>,
    pub(crate) agent: SocketAddr,
}

/// RPC client of the agents.
#[derive(Debug)]
pub(crate) struct Agents {
    peers: PeerPool,
}

impl Agents {
    pub(crate) fn new(secret: Secret) -> Agents {
        Agents { peers: PeerPool::new(secret, CALL_TIMEOUT) }
    }

    /// Pushes `delta` to as many hosts as [`MAX_PUSH_BYTES`] allows. The other
    /// hosts, and those that a push does not reach, get it from their peers.
    pub(crate) async fn push(&self, hosts: &[AgentHost], delta: &StateDelta) {
        let count = (MAX_PUSH_BYTES / payload_bytes(delta)).max(MIN_PUSH_HOSTS);
        let calls = hosts.iter().take(count).map(|host| async {
            let push =
                async { self.peers.get(host.agent).await.ok()?.push(delta.clone()).await.ok() };
            let _ = time::timeout(CALL_TIMEOUT, push).await;
        });
        stream::iter(calls).buffer_unordered(MAX_CONCURRENT_CALLS).collect::<Vec<()>>().await;
    }

    /// Status of each host, in the order of `hosts`; `None` for hosts that do not
    /// answer.
    pub(crate) async fn statuses(&self, hosts: &[AgentHost]) -> Vec<Option<HostStatus>> {
        let calls = hosts.iter().map(|host| async {
            let call = async { self.peers.get(host.agent).await.ok()?.status().await.ok() };
            time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
        });
        stream::iter(calls).buffered(MAX_CONCURRENT_CALLS).collect().await
    }

    /// Highest revision in an evenly spread sample of hosts; 0 when none answers in
    /// time.
    pub(crate) async fn max_sampled_revision(&self, hosts: &[AgentHost]) -> u64 {
        let step = hosts.len().div_ceil(SAMPLE_SIZE).max(1);
        let calls = hosts.iter().step_by(step).map(|host| async {
            let call = async { self.peers.get(host.agent).await.ok()?.status().await.ok() };
            time::timeout(SAMPLE_TIMEOUT, call).await.ok().flatten()
        });
        let statuses = stream::iter(calls).buffer_unordered(SAMPLE_SIZE).collect::<Vec<_>>().await;
        statuses.into_iter().flatten().map(|s| s.revision).max().unwrap_or(0)
    }

    /// Complete configuration that a host holds; `None` when it does not answer.
    pub(crate) async fn pull(&self, host: &AgentHost) -> Option<StateDelta> {
        let request = PullRequest { revision: 0, epoch: 0 };
        let call = async { self.peers.get(host.agent).await.ok()?.pull(request).await.ok() };
        time::timeout(CALL_TIMEOUT, call).await.ok().flatten()
    }
}

/// Size of a delta's records and head, without the RPC framing; at least 1, as
/// it is a divisor.
fn payload_bytes(delta: &StateDelta) -> usize {
    let records: usize = delta.records.iter().map(|r| r.body.len()).sum();
    (records + delta.head.as_ref().map_or(0, |h| h.len())).max(1)
}

/// Hosts of the installation: the agents in the settings if there are any, else
/// the union of the member list and the platform's host list. Either list may
/// lack hosts while hosts are added or removed.
pub(crate) async fn list_hosts(session: &Session) -> Vec<AgentHost> {
    let configured = &session.settings.agents;
    if !configured.is_empty() {
        let host = |a: &SocketAddr| AgentHost { name: a.to_string().into(), agent: *a };
        return configured.iter().map(host).collect();
    }
    let (members, listed) = tokio::join!(session.store.get(MEMBERS_KEY), session.hosts.hosts());
    let members = members.ok().flatten();
    let members = members.and_then(|m| serde_json::from_str::<MemberList>(&m.value).ok());
    let members = members.unwrap_or_default().hosts.into_iter();
    let mut hosts: Vec<AgentHost> =
        members.map(|h| AgentHost { name: h.host, agent: h.agent }).collect();
    let known: HashSet<Box<str>> = hosts.iter().map(|h| h.name.clone()).collect();
    let listed = listed.unwrap_or_default().into_iter();
    let new_hosts = listed.filter(|h| !h.leaving && !known.contains(&h.host));
    hosts.extend(new_hosts.map(|h| AgentHost { name: h.host, agent: h.agent }));
    hosts
}
