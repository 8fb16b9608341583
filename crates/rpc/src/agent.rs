//! RPC interface of the agent, the process on each host that holds the
//! configuration and the membership state and accesses the platform's store.

use std::net::SocketAddr;

use chervil_base::catalog::CatalogSpec;
use chervil_base::digest::Digest;
use chervil_base::message;
use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

message! {
    /// Host in the member list.
    #[derive(Eq)]
    pub struct MemberHost {
        /// Name, unique among hosts.
        pub host: Box<str>,
        /// Availability zone of the host.
        pub zone: Box<str>,
        /// Address of its agent.
        pub agent: SocketAddr,
        /// Address of its gate.
        pub gate: SocketAddr,
    }

    /// Hosts among which the ownership of backend servers is divided.
    #[derive(Default, Eq)]
    pub struct MemberList {
        /// Increases with each change; 0 for a host that has no list yet.
        pub epoch: u64,
        /// Members in this epoch, sorted by name.
        pub hosts: Vec<MemberHost>,
        /// Members in the previous epoch.
        pub previous: Vec<MemberHost>,
    }

    /// A voter's opinion on whether a host is alive.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum Vote {
        /// The voter considers the host alive and supports its lease.
        Up,
        /// The voter considers the host dead and does not support its lease.
        Down,
        /// The voter started too recently to have an opinion.
        Abstain,
    }

    /// A host whose lease the voter does not support.
    #[derive(Eq)]
    pub struct Denial {
        /// Name of the host.
        pub host: Box<str>,
        /// Time since the voter withdrew its support, in milliseconds.
        pub age_ms: u64,
    }

    /// Periodic message from each host to every other host.
    #[derive(Eq)]
    pub struct Heartbeat {
        /// Name of the sending host.
        pub host: Box<str>,
        /// Random number that the sending process draws at its start.
        pub incarnation: u64,
        /// Epoch of the member list that the sender has adopted.
        pub epoch: u64,
        /// Configuration revision that the sender has adopted.
        pub revision: u64,
        /// Time since any host last read the head of the configuration from
        /// the store, as far as the sender knows, in milliseconds; `None` when
        /// it knows of no read.
        #[serde(rename = "fresh_ms")]
        pub staleness_ms: Option<u64>,
        /// The sender is shutting down and gives up its ownership.
        #[serde(default, skip_serializing_if = "is_false")]
        pub leaving: bool,
        /// The sender's gate has no work in progress and will start none.
        #[serde(default, skip_serializing_if = "is_false")]
        pub released: bool,
        /// The sender's gate is requesting its lease, so the sender asks the
        /// voters for their support.
        #[serde(default, skip_serializing_if = "is_false")]
        pub serving: bool,
        /// Entry that the sender asks to be added to the member list, when the
        /// list does not contain it or has other addresses for it.
        #[serde(default, skip_serializing_if = "Option::is_none")]
        pub join: Option<MemberHost>,
    }

    /// Reply to a heartbeat; the receiver of the heartbeat is the voter.
    #[derive(Eq)]
    pub struct HeartbeatReply {
        /// The voter's opinion on the sender of the heartbeat.
        pub vote: Vote,
        /// The voter's own state.
        pub state: Heartbeat,
        /// Hosts whose leases the voter does not support.
        #[serde(default, skip_serializing_if = "Vec::is_empty")]
        pub denials: Vec<Denial>,
    }

    /// Liveness of a host in the member list, for entries and gates.
    #[derive(Eq)]
    pub struct Member {
        /// The host.
        pub host: MemberHost,
        /// Whether this agent considers the host alive. For this agent's own
        /// host: whether its gate is requesting the lease.
        pub up: bool,
        /// Whether the host is shutting down.
        pub leaving: bool,
    }

    /// Long poll for a view that differs from the one the client holds.
    #[derive(Eq)]
    pub struct ViewRequest {
        /// Sequence number of the view that the client holds; 0 for none.
        pub after: u64,
        /// Catalog revision that the client holds; 0 for none.
        pub revision: u64,
        /// How long to wait for a change, in milliseconds.
        pub wait_ms: u32,
    }

    /// Snapshot of the installation for a host's own entry and gate.
    #[derive(Eq)]
    pub struct View {
        /// Increases with each change.
        pub sequence: u64,
        /// Name of the host.
        pub host: Box<str>,
        /// Member list in force.
        pub members: MemberList,
        /// State of each host in the member list.
        pub hosts: Vec<Member>,
        /// Catalog in force; `None` when the client holds its revision.
        pub catalog: Option<CatalogSpec>,
        /// Whether new work may be accepted; see [`QuorumLease`].
        pub ready: bool,
    }

    /// Lease that permits a gate to send work to the backend servers it owns,
    /// as of the time of the request.
    #[derive(Eq)]
    pub struct QuorumLease {
        /// Time until the lease expires, in milliseconds; 0 when it has expired
        /// or was never granted.
        pub remaining_ms: u64,
        /// Epoch of the member list that the lease is based on.
        pub epoch: u64,
        /// Whether a majority has held this epoch for the lease duration, so
        /// that ownership gained in it may be used.
        pub settled: bool,
        /// Hosts whose ownership has passed to other hosts, because a majority
        /// has denied them support for the lease duration or because they have
        /// released it themselves.
        pub down: Vec<Box<str>>,
    }

    /// Configuration record as stored in the platform's store and on hosts.
    #[derive(Eq)]
    pub struct ConfigRecord {
        /// Name of the record.
        pub name: Box<str>,
        /// Revision that last changed the record.
        pub revision: u64,
        /// Content as JSON.
        pub body: Box<str>,
    }

    /// Asks a peer for the delta between the client's state and its own.
    #[derive(Eq)]
    pub struct PullRequest {
        /// Configuration revision that the client holds.
        pub revision: u64,
        /// Epoch of the member list that the client holds.
        pub epoch: u64,
    }

    /// Difference between the state that a receiver holds and a newer one.
    #[derive(Default, Eq)]
    pub struct StateDelta {
        /// Head of the configuration as JSON; `None` when the receiver's is
        /// current.
        pub head: Option<Box<str>>,
        /// Records changed since the receiver's revision.
        pub records: Vec<ConfigRecord>,
        /// Member list; `None` when the receiver's is current.
        pub members: Option<MemberList>,
    }

    /// State of one host, for operators.
    #[derive(Eq)]
    pub struct HostStatus {
        /// Name of the host.
        pub host: Box<str>,
        /// Configuration revision in force on the host.
        pub revision: u64,
        /// Epoch of the member list in force on the host.
        pub epoch: u64,
        /// Whether the host accepts new work.
        pub ready: bool,
        /// Time since any host last read the head of the configuration from
        /// the store, as far as this host knows, in milliseconds; `None` when
        /// it knows of no read.
        #[serde(rename = "fresh_ms")]
        pub staleness_ms: Option<u64>,
        /// Whether the agent's last call reached the store.
        pub store_up: bool,
        /// Calls to the store since the start of the agent.
        pub store_calls: u64,
    }

    /// Claims an idempotency key for one attempt to run the work.
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
        /// Whether a peer forwarded the request; it is forwarded only once.
        pub forwarded: bool,
    }

    /// Outcome of non-idempotent work, as recorded under its key.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum RecordedOutcome {
        /// The work was done.
        Done {
            /// The backend server's reply.
            body: Box<str>,
        },
        /// The work was not started; the key may be claimed again.
        NotRun,
        /// It cannot be determined whether the work was done.
        Unknown,
    }

    /// Reply to a claim.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum ClaimReply {
        /// The claim is stored; only its sender may run the work, once.
        Granted,
        /// The work was done by an earlier attempt.
        Done {
            /// The backend server's reply.
            body: Box<str>,
        },
        /// Another attempt holds the key and may still be running.
        Running,
        /// Another attempt held the key and its outcome cannot be determined.
        Unknown,
        /// The key was used with a different request.
        Mismatch,
        /// The key is malformed, or its time is out of bounds.
        Invalid {
            /// How the caller can correct the key.
            remedy: Box<str>,
        },
        /// The store could not be reached; nothing was run.
        Unavailable,
    }

    /// Records the outcome of claimed work.
    #[derive(Eq)]
    pub struct SettleRequest {
        /// Idempotency key of the caller.
        pub key: Box<str>,
        /// Nonce of the claim.
        pub nonce: u64,
        /// Outcome of the work.
        pub outcome: RecordedOutcome,
        /// Whether a peer forwarded the request; it is forwarded only once.
        pub forwarded: bool,
    }

    /// Asks whether a request that has not yet succeeded on any backend server
    /// may be sent.
    #[derive(Eq)]
    pub struct CanaryRequest {
        /// Digest of the request.
        pub digest: Digest,
        /// Identifies the query that asks.
        pub nonce: u64,
        /// Whether a peer forwarded the request; it is forwarded only once.
        pub forwarded: bool,
    }

    /// Reply to a canary request.
    #[derive(Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum CanaryReply {
        /// Send the request to one backend server and report the result.
        Probe,
        /// The request has succeeded before; send it to all backend servers.
        Known,
        /// Other queries are probing the request; ask again later.
        Wait {
            /// When to ask again, in milliseconds.
            retry_ms: u32,
        },
        /// Two backend servers were lost while they ran the request; do not
        /// send it.
        Suspect,
    }

    /// Result of a probe.
    #[derive(Copy, Eq)]
    #[serde(rename_all = "snake_case")]
    pub enum CanaryResult {
        /// The backend server replied.
        Good,
        /// The connection was lost while the request ran.
        Lost,
        /// The request was not started, or the probe was cancelled.
        NotRun,
    }

    /// Reports the result of a probe.
    #[derive(Eq)]
    pub struct CanaryReport {
        /// Digest of the request.
        pub digest: Digest,
        /// Nonce of the probe.
        pub nonce: u64,
        /// Result of the probe.
        pub result: CanaryResult,
        /// Whether a peer forwarded the report; it is forwarded only once.
        pub forwarded: bool,
    }
}

/// Omits flags that are not set from heartbeats, because each host sends four
/// of them per second to every other host.
fn is_false(flag: &bool) -> bool {
    !flag
}

/// Methods of an agent.
#[rpc(server, client, namespace = "agent")]
pub trait AgentRpc {
    /// Returns the view, for the entry and the gate on the agent's own host.
    #[method(name = "view")]
    async fn view(&self, request: ViewRequest) -> RpcResult<View>;

    /// Returns the lease, for the gate on the agent's own host.
    #[method(name = "lease")]
    async fn lease(&self) -> RpcResult<QuorumLease>;

    /// Called by the gate when it has no work in progress and will start none.
    #[method(name = "release")]
    async fn release(&self) -> RpcResult<()>;

    /// Receives a heartbeat from a peer and votes on its sender.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatReply>;

    /// Returns the delta between the client's state and this agent's.
    #[method(name = "pull")]
    async fn pull(&self, request: PullRequest) -> RpcResult<StateDelta>;

    /// Offers a newer configuration to the agent after an operator's change.
    #[method(name = "push")]
    async fn push(&self, state: StateDelta) -> RpcResult<()>;

    /// Returns the state of the host, for operators.
    #[method(name = "status")]
    async fn status(&self) -> RpcResult<HostStatus>;

    /// Claims an idempotency key.
    #[method(name = "claim")]
    async fn claim(&self, request: ClaimRequest) -> RpcResult<ClaimReply>;

    /// Records the outcome of claimed work.
    #[method(name = "settle")]
    async fn settle(&self, request: SettleRequest) -> RpcResult<()>;

    /// Asks whether a request that has not yet succeeded may be sent.
    #[method(name = "canary")]
    async fn canary(&self, request: CanaryRequest) -> RpcResult<CanaryReply>;

    /// Reports the result of a probe.
    #[method(name = "canary_report")]
    async fn canary_report(&self, report: CanaryReport) -> RpcResult<()>;
}
