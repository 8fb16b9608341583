//! Interface of an agent, the process that keeps a host's configuration,
//! membership and link to the platform's store.

use std::net::SocketAddr;

use chervil_base::catalog::CatalogSpec;
use chervil_base::digest::Digest;
use chervil_base::message;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

message! {
    /// One host of the member list.
    #[derive(Eq)]
    pub struct MemberHost {
        /// Name, unique among hosts.
        pub host: Box<str>,
        /// Availability zone that the host stands in.
        pub zone: Box<str>,
        /// Address of its agent.
        pub agent: SocketAddr,
        /// Address of its gate.
        pub gate: SocketAddr,
    }

    /// Hosts that share the ownership of backend servers.
    #[derive(Default, Eq)]
    pub struct MemberList {
        /// Grows with each change.
        pub epoch: u64,
        /// Hosts, sorted by name.
        pub hosts: Vec<MemberHost>,
        /// Hosts of the epoch before.
        pub previous: Vec<MemberHost>,
    }

    /// A voter's stand on a host.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Vote {
        /// The voter takes the host for live.
        Up,
        /// The voter takes the host for dead and does not support its lease.
        Down,
        /// The voter started too recently to have a stand.
        Abstain,
    }

    /// A host that a voter denies its support.
    #[derive(Eq)]
    pub struct Denial {
        /// Denied host.
        pub host: Box<str>,
        /// How long it has been denied, in milliseconds.
        pub age_ms: u64,
    }

    /// Periodic message from each host to each other.
    #[derive(Eq)]
    pub struct Heartbeat {
        /// Sender.
        pub host: Box<str>,
        /// Incarnation of the sending process; random at its start.
        pub incarnation: u64,
        /// MemberList epoch that the sender has adopted.
        pub epoch: u64,
        /// Configuration revision that the sender has adopted.
        pub revision: u64,
        /// Age of the last successful read of the configuration's head by
        /// anyone, as far as the sender knows, in milliseconds.
        #[serde(rename = "fresh_ms")]
        pub staleness_ms: Option<u64>,
        /// The sender is stopping and gives up its ownership.
        #[serde(default, skip_serializing_if = "is_false")]
        pub leaving: bool,
        /// The sender's gate has no work left and will start none.
        #[serde(default, skip_serializing_if = "is_false")]
        pub released: bool,
        /// The sender's gate asks for its lease, so that the sender wants the
        /// voters' support.
        #[serde(default, skip_serializing_if = "is_false")]
        pub serving: bool,
        /// Entry that the sender wants in the member list, when it is not
        /// there or has other addresses.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub join: Option<MemberHost>,
    }

    /// Answer to a heartbeat.
    #[derive(Eq)]
    pub struct HeartbeatReply {
        /// The voter's stand on the sender of the heartbeat.
        pub vote: Vote,
        /// The voter's own state.
        pub state: Heartbeat,
        /// Hosts that the voter denies.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub denials: Vec<Denial>,
    }

    /// A live or leaving host, as entries and gates see it.
    #[derive(Eq)]
    pub struct Member {
        /// The host.
        pub host: MemberHost,
        /// Whether this agent has heard it recently.
        pub up: bool,
        /// Whether it is stopping.
        pub leaving: bool,
    }

    /// Asks for the view, waiting until it differs from `after`.
    #[derive(Eq)]
    pub struct ViewRequest {
        /// Sequence number of the view that the asker holds; 0 for none.
        pub after: u64,
        /// Catalog revision that the asker holds; 0 for none.
        pub revision: u64,
        /// How long to wait for a change, in milliseconds.
        pub wait_ms: u32,
    }

    /// What a host's entry and gate know of the system.
    #[derive(Eq)]
    pub struct View {
        /// Grows with each change.
        pub sequence: u64,
        /// Name of the host.
        pub host: Box<str>,
        /// MemberList in force.
        pub members: MemberList,
        /// State of each of its hosts.
        pub hosts: Vec<Member>,
        /// Catalog, unless the asker holds its revision.
        pub catalog: Option<CatalogSpec>,
        /// Whether new work may be accepted; see [`QuorumLease`].
        pub ready: bool,
    }

    /// A gate's right to send work, as of the moment of the request.
    #[derive(Eq)]
    pub struct QuorumLease {
        /// How long the right lasts, in milliseconds; 0 means that it lapsed.
        pub remaining_ms: u64,
        /// MemberList epoch that it is based on.
        pub epoch: u64,
        /// Whether a majority has held this epoch for the lease time, so that
        /// ownership gained by it may be used.
        pub settled: bool,
        /// Hosts whose ownership has passed on: denied by a majority for the
        /// lease time, or released by themselves.
        pub down: Vec<Box<str>>,
    }

    /// Part of the configuration that a peer or the store keeps.
    #[derive(Eq)]
    pub struct ConfigRecord {
        /// Name of the record.
        pub name: Box<str>,
        /// Revision that last changed it.
        pub revision: u64,
        /// Content, JSON.
        pub body: Box<str>,
    }

    /// Asks a peer for what is newer than the asker's state.
    #[derive(Eq)]
    pub struct PullRequest {
        /// Revision that the asker holds.
        pub revision: u64,
        /// MemberList epoch that the asker holds.
        pub epoch: u64,
    }

    /// What is newer than the asker's state.
    #[derive(Default, Eq)]
    pub struct StateDelta {
        /// Head of the configuration, JSON, when newer.
        pub head: Option<Box<str>>,
        /// Records changed since the asker's revision.
        pub records: Vec<ConfigRecord>,
        /// MemberList, when newer.
        pub members: Option<MemberList>,
    }

    /// State of one host, for operators.
    #[derive(Eq)]
    pub struct HostStatus {
        /// Name of the host.
        pub host: Box<str>,
        /// Revision in force on it.
        pub revision: u64,
        /// MemberList epoch in force on it.
        pub epoch: u64,
        /// Whether it accepts new work.
        pub ready: bool,
        /// Age of its knowledge of the store, in milliseconds.
        #[serde(rename = "fresh_ms")]
        pub staleness_ms: Option<u64>,
        /// Whether its last call to the store succeeded.
        pub store_up: bool,
        /// Calls to the store since its start.
        pub store_calls: u64,
    }

    /// Asks to claim an idempotency key.
    #[derive(Eq)]
    pub struct ClaimRequest {
        /// Idempotency key of the caller.
        pub key: Box<str>,
        /// Digest of the request.
        pub digest: Digest,
        /// Identifies the claiming attempt.
        pub nonce: u64,
        /// Time left for the claim, in milliseconds.
        pub timeout_ms: u32,
        /// Whether a peer passed it on; it is not passed on again.
        pub forwarded: bool,
    }

    /// Recorded end of non-idempotent work.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RecordedOutcome {
        /// It was done, with this reply.
        Done {
            /// The backend server's reply.
            body: Box<str>,
        },
        /// It was not started; the key may be claimed again.
        NotRun,
        /// It cannot be known.
        Unknown,
    }

    /// Answer to a claim.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ClaimReply {
        /// The claim is written; its sender alone may run the work, once.
        Granted,
        /// The work was done before, with this reply.
        Done {
            /// The backend server's reply.
            body: Box<str>,
        },
        /// Another attempt holds the key and may still be running.
        Running,
        /// Another attempt held the key and its end cannot be known.
        Unknown,
        /// The key was used with another request.
        Mismatch,
        /// The key is malformed, or its time is out of bounds.
        Invalid {
            /// What to do about it.
            remedy: Box<str>,
        },
        /// The store could not be reached; nothing was run.
        Unavailable,
    }

    /// Records the end of claimed work.
    #[derive(Eq)]
    pub struct SettleRequest {
        /// Idempotency key of the caller.
        pub key: Box<str>,
        /// Nonce of the claim.
        pub nonce: u64,
        /// How the work ended.
        pub outcome: RecordedOutcome,
        /// Whether a peer passed it on; it is not passed on again.
        pub forwarded: bool,
    }

    /// Asks whether a request may be sent for the first time.
    #[derive(Eq)]
    pub struct CanaryRequest {
        /// Digest of the request.
        pub digest: Digest,
        /// Identifies the asking query.
        pub nonce: u64,
        /// Whether a peer passed it on; it is not passed on again.
        pub forwarded: bool,
    }

    /// Answer to a canary request.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum CanaryReply {
        /// Send to one backend server, then report.
        Probe,
        /// The request is known to be harmless; send to all.
        Known,
        /// Another host probes it; ask again after this many milliseconds.
        Wait {
            /// Milliseconds.
            retry_ms: u32,
        },
        /// Two backend servers were lost to it; do not send it.
        Suspect,
    }

    /// How a probe ended.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum CanaryResult {
        /// The backend server replied.
        Good,
        /// The connection was lost while the request ran.
        Lost,
        /// The request was not started, or the probe was given up.
        NotRun,
    }

    /// Reports how a probe ended.
    #[derive(Eq)]
    pub struct CanaryReport {
        /// Digest of the request.
        pub digest: Digest,
        /// Nonce of the probe.
        pub nonce: u64,
        /// How it ended.
        pub result: CanaryResult,
        /// Whether a peer passed it on; it is not passed on again.
        pub forwarded: bool,
    }
}

/// Leaves usual values out of heartbeats, of which each host sends four a
/// second to each other.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait AgentRpc {
    /// View of the system, for the host's own entry and gate.
    #[method(name = "view")]
    async fn view(&self, request: ViewRequest) -> RpcResult<View>;

    /// The host's right to send work, for its own gate.
    #[method(name = "lease")]
    async fn lease(&self) -> RpcResult<QuorumLease>;

    /// The gate has no work left and will start none.
    #[method(name = "release")]
    async fn release(&self) -> RpcResult<()>;

    /// Heartbeat from a peer.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatReply>;

    /// What is newer than the asker's state.
    #[method(name = "pull")]
    async fn pull(&self, request: PullRequest) -> RpcResult<StateDelta>;

    /// Offers newer state, after an operator's change.
    #[method(name = "push")]
    async fn push(&self, state: StateDelta) -> RpcResult<()>;

    /// State of the host, for operators.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<HostStatus>;

    /// Claims an idempotency key.
    #[method(name = "claim")]
    async fn claim(&self, request: ClaimRequest) -> RpcResult<ClaimReply>;

    /// Records the end of claimed work.
    #[method(name = "settle")]
    async fn settle(&self, request: SettleRequest) -> RpcResult<()>;

    /// Asks whether a request may be sent for the first time.
    #[method(name = "canary")]
    async fn canary(&self, request: CanaryRequest) -> RpcResult<CanaryReply>;

    /// Reports how a probe ended.
    #[method(name = "canary_report")]
    async fn canary_report(&self, report: CanaryReport) -> RpcResult<()>;
}
