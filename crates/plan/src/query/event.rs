//! What a query takes in and what it asks for.

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

/// What a query asks, and on whose behalf.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Incarnation of the entry's process.
    pub incarnation: u64,
    /// Number of the query, unique within the incarnation.
    pub query: u64,
    /// Service asked.
    pub service: Box<str>,
    /// Digest of service and body.
    pub digest: Digest,
    /// The caller's query.
    pub body: Box<str>,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// W3C trace context.
    pub trace: Option<Box<str>>,
    /// Seed of all random choices.
    pub seed: u64,
}

/// What happened to a query.
#[derive(Clone, Debug)]
pub enum Event {
    /// A gate reported the end of an attempt.
    Reply(AskReply),
    /// The link to a gate was lost, or it closed the batch early.
    BatchLost {
        /// Batch, as numbered in [`Action::SendBatch`].
        batch: u32,
        /// Whether the batch may have reached the gate.
        sent: bool,
    },
    /// The agent answered a canary request; `None` when it could not be asked.
    PermitReply {
        /// Nonce of the request.
        nonce: u64,
        /// Answer.
        reply: Option<CanaryReply>,
    },
    /// The servers, gates or versions changed.
    Topology(Arc<Topology>),
    /// The time of [`Query::next_timer`] has come.
    Timer,
}

/// What the owner of a query has to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a batch to a gate.
    SendBatch {
        /// Number of the batch within the query.
        batch: u32,
        /// Gate that it goes to.
        gate: GateIdx,
        /// Topology that the gate's position refers to.
        topology: Arc<Topology>,
        /// Content.
        ask: AskBatch,
    },
    /// Drop what is left of a batch.
    CancelBatch {
        /// Number of the batch within the query.
        batch: u32,
    },
    /// Ask the agent for a canary permit.
    RequestPermit(CanaryRequest),
    /// Tell the agent how a probe ended.
    ReportProbe(CanaryReport),
    /// Learn anew what the servers hold: a reply contradicted the topology.
    RefreshIndex {
        /// What servers told.
        updates: Vec<ServerIndex>,
    },
    /// Answer the caller; nothing follows.
    Finish(QueryOutcome),
}

value! {
    /// How a query ended.
    pub enum QueryOutcome {
        /// The answer, whole or partial.
        Answer {
            /// What it covers.
            coverage: Coverage,
            /// Rows of the covered shards, sorted by key.
            rows: Vec<Row>,
        },
        /// Refused after canary probes that may have run.
        RefusedAfterProbe {
            /// Why.
            reason: NotRunReason,
            /// When to try again, in milliseconds.
            retry_ms: u32,
        },
        /// No backend server started the query.
        NotRun {
            /// Why.
            reason: NotRunReason,
            /// When to try again, in milliseconds.
            retry_ms: u32,
        },
    }
}

message! {
    /// Why a query was not run.
    #[derive(Copy, Eq, Hash)]
    #[serde(rename_all = "snake_case")]
    pub enum NotRunReason {
        /// Two backend servers were lost to this request.
        Suspect,
        /// No index version of the service is known.
        NoIndex,
        /// No canary permit was granted before the deadline.
        NoPermit,
        /// Every attempt was refused.
        Refused,
        /// No backend server that may get work holds any shard.
        NoReplica,
        /// The deadline left no time for any attempt.
        Late,
    }
}
