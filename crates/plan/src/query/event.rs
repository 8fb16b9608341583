//! Input events, output actions and outcomes of a query.

use std::sync::Arc;
use std::time::Instant;

use chervil_base::coverage::Coverage;
use chervil_base::digest::Digest;
use chervil_base::index::ServerIndex;
use chervil_base::message;
use chervil_base::value;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::Row;

use crate::topology::GateIdx;
use crate::topology::Topology;

/// Parameters of a query.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Incarnation of the entry process.
    pub incarnation: u64,
    /// Number of the query, unique within the incarnation.
    pub query: u64,
    /// Name of the service.
    pub service: Box<str>,
    /// Digest of the service and the body.
    pub digest: Digest,
    /// Body of the caller's request.
    pub body: Box<str>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// W3C trace context.
    pub trace: Option<Box<str>>,
    /// Seed of all pseudo-random choices.
    pub seed: u64,
}

/// Input of a query.
#[derive(Clone, Debug)]
pub enum Event {
    /// A gate replied to an attempt.
    Reply(AskReply),
    /// The connection to a gate failed, or the gate closed the batch early.
    BatchLost {
        /// Batch, as numbered in [`Action::SendBatch`].
        batch: u32,
        /// Whether the batch may have reached the gate; false if no connection
        /// could be opened.
        sent: bool,
    },
    /// The agent replied to [`Action::RequestPermit`].
    PermitReply {
        /// Nonce of the permit request.
        nonce: u64,
        /// Reply; `None` if the agent could not be reached.
        reply: Option<CanaryReply>,
    },
    /// The servers, gates or index versions changed.
    Topology(Arc<Topology>),
    /// The time of [`Query::next_timer`](super::Query::next_timer) is reached.
    Timer,
}

/// Output of a query, to be executed by its driver.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a batch to a gate.
    SendBatch {
        /// Number of the batch within the query.
        batch: u32,
        /// Receiving gate.
        gate: GateIdx,
        /// Topology that `gate` refers to.
        topology: Arc<Topology>,
        /// Message to the gate.
        ask: AskBatch,
    },
    /// Cancel a batch; its remaining replies are not needed.
    CancelBatch {
        /// Number of the batch within the query.
        batch: u32,
    },
    /// Ask the agent for a canary permit.
    RequestPermit(CanaryRequest),
    /// Report the result of a canary probe to the agent.
    ReportProbe(CanaryReport),
    /// Refresh the index: a reply contradicted the topology.
    RefreshIndex {
        /// Versions that the servers reported.
        updates: Vec<ServerIndex>,
    },
    /// Answer the caller; this is the last action.
    Finish(QueryOutcome),
}

value! {
    /// Outcome of a query.
    pub enum QueryOutcome {
        /// A complete or partial answer.
        Answer {
            /// Covered and missing shards.
            coverage: Coverage,
            /// Rows of the covered shards, sorted by key.
            rows: Vec<Row>,
        },
        /// Refused after canary probes that may have run on a backend server.
        RefusedAfterProbe {
            /// Reason of the refusal.
            reason: NotRunReason,
            /// Suggested wait before a retry, in milliseconds.
            retry_ms: u32,
        },
        /// Refused; no backend server started the query.
        NotRun {
            /// Reason of the refusal.
            reason: NotRunReason,
            /// Suggested wait before a retry, in milliseconds.
            retry_ms: u32,
        },
    }
}

message! {
    /// Why a query was not run.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum NotRunReason {
        /// Two backend servers were lost while they ran this request.
        Suspect,
        /// No index version of the service is known.
        NoIndex,
        /// No canary permit was granted before the deadline.
        NoPermit,
        /// Every attempt was refused.
        Refused,
        /// No backend server that may receive requests holds any shard.
        NoReplica,
        /// Too little time was left before the deadline for any attempt.
        Late,
    }
}
