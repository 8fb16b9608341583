//! Messages between a host and another one that executes a request for it.

use std::time::Duration;
use std::time::Instant;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use chervil_base::message;
use chervil_route::attempts::Executions;
use chervil_route::peers::FORMAT;
use chervil_route::peers::FORMAT_WITH_EXECUTIONS;
use hyper::header::HeaderValue;

use crate::attempt::RequestSpec;
use crate::gather::GatherOutcome;
use crate::outgoing::Outgoing;
use crate::relay::Task;
use crate::reply::Reply;
use crate::single::SingleOutcome;
use crate::single::SingleResult;

/// Time from the end of a request at the other host until this host has its outcome, in which
/// the request could not go on.
const RETURN_TIME: Duration = Duration::from_millis(4);

message! {
    /// Asks a host whether it would execute a request.
    pub struct Offer {
        /// Name of the route.
        pub route: Box<str>,
        /// Digest of the route in the configuration of the sending host.
        pub digest: u64,
    }

    /// A request that is passed to another host.
    pub struct RelayedRequest {
        /// The accepted offer.
        pub offer: Offer,
        /// Encoded request for the backend servers, in base64.
        head: Box<str>,
        /// Body of the request, in base64.
        body: Box<str>,
        /// Request id of the caller, in base64.
        id: Box<str>,
        /// Whether replies have no body.
        no_body: bool,
        /// Milliseconds until the request must end.
        deadline_ms: u64,
        /// Milliseconds until a query ends as soon as enough shards have replied.
        soft_deadline_ms: u64,
        /// Service whose backend servers may execute the request; `None` for a query.
        #[serde(default)]
        pub service: Option<Box<str>>,
        /// Whether a host has counted the request in its retry budget.
        #[serde(default)]
        pub repeated: bool,
        /// Version of the messages that the sending host can read; see [`FORMAT`].
        #[serde(default)]
        pub format: u32,
        /// Identifies repetitions of the request by its caller; `None` if the sending host
        /// does not say.
        #[serde(default)]
        pub digest: Option<u64>,
        /// Executions by now; `None` if the sending host does not say.
        #[serde(default)]
        pub executed: Option<Executions>,
    }

    /// Outcome of a request that was passed to another host.
    pub enum RelayReply {
        /// Enough shards replied.
        Merged {
            /// Merged records, in base64.
            body: Box<str>,
            /// Response stamps of the merged replies, in base64: they may hold any bytes.
            stamps: Vec<Box<str>>,
            /// Descriptions of the missing shards.
            missing: Vec<Box<str>>,
            /// Requests beyond the first of each shard.
            extra: u32,
        },
        /// Refused before anything was sent.
        Refused {
            /// Reason, for the log.
            reason: Box<str>,
            /// Milliseconds after which the caller may come back.
            retry_ms: u64,
        },
        /// Fewer shards replied than the route requires.
        TooFewShards {
            /// Whether a backend server may have executed the request.
            may_have_run: bool,
            /// Whether the deadline has passed.
            timed_out: bool,
            /// Descriptions of the missing shards.
            missing: Vec<Box<str>>,
        },
        /// The other host has lost its links to the backend servers, too.
        OutOfReach {
            /// Whether it had sent the request to a backend server before.
            sent: bool,
            /// Executions by now, over all hosts; `None` if it does not say.
            #[serde(default)]
            executed: Option<Executions>,
        },
        /// A backend server replied to a request to a single one.
        Answered {
            /// Status code.
            status: u16,
            /// Status line and headers as received, in base64.
            head: Box<str>,
            /// Body, in base64.
            body: Box<str>,
            /// Ids of the backend servers that were tried.
            asked: Vec<Box<str>>,
        },
        /// No backend server executed a request to a single one.
        NotRun {
            /// Ids of the backend servers that were tried.
            asked: Vec<Box<str>>,
        },
        /// A backend server may have executed a request to a single one.
        Unknown {
            /// Whether the deadline has passed.
            timed_out: bool,
            /// Ids of the backend servers that were tried.
            asked: Vec<Box<str>>,
        },
    }
}

impl RelayedRequest {
    /// A request whose offer was accepted at `now`.
    pub fn new(offer: Offer, spec: &RequestSpec, task: Task<'_>, now: Instant) -> RelayedRequest {
        let left = |until: Instant| {
            until.saturating_duration_since(now).saturating_sub(RETURN_TIME).as_millis() as u64
        };
        let (service, soft_deadline) = match task {
            Task::Query { soft_deadline, .. } => (None, soft_deadline),
            Task::Single { service } => (Some(service.into()), spec.deadline),
        };
        RelayedRequest {
            offer,
            head: encode(&spec.request.head),
            body: encode(&spec.request.body),
            id: encode(&spec.request.request_id),
            no_body: spec.request.expects_no_body,
            deadline_ms: left(spec.deadline),
            soft_deadline_ms: left(soft_deadline),
            service,
            repeated: spec.is_repeat,
            format: FORMAT,
            digest: Some(spec.digest),
            executed: Some(spec.executed.clone()),
        }
    }

    /// The request for the backend servers. None if it is malformed.
    pub fn outgoing(&self) -> Option<Outgoing> {
        Some(Outgoing {
            request_id: decode(&self.id)?.into(),
            head: decode(&self.head)?,
            body: decode(&self.body)?.into(),
            expects_no_body: self.no_body,
        })
    }

    /// Time until the request must end.
    pub fn timeout(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Time until a query ends as soon as enough shards have replied.
    pub fn soft_timeout(&self) -> Duration {
        Duration::from_millis(self.soft_deadline_ms)
    }
}

impl RelayReply {
    /// The outcome of a query.
    pub fn from_gathered(outcome: GatherOutcome) -> RelayReply {
        match outcome {
            GatherOutcome::Merged { body, stamps, missing, extra } => {
                let stamps = stamps.iter().map(|s| encode(s.as_bytes())).collect();
                RelayReply::Merged { body: encode(&body), stamps, missing, extra }
            }
            GatherOutcome::Refused { reason, retry_after } => {
                RelayReply::Refused { reason, retry_ms: retry_after.as_millis() as u64 }
            }
            GatherOutcome::OutOfReach { sent, executed } => {
                RelayReply::OutOfReach { sent, executed: Some(executed) }
            }
            GatherOutcome::TooFewShards { may_have_run, timed_out, missing } => {
                RelayReply::TooFewShards { may_have_run, timed_out, missing }
            }
        }
    }

    /// The same outcome for a host that passed a query and has this version of the messages: the
    /// first ones do not know that a relay may be out of reach of the servers, and those that
    /// follow would pass the query on without its executions.
    pub fn for_query_of(self, format: u32) -> RelayReply {
        match self {
            RelayReply::OutOfReach { sent, .. }
                if format == 0 || (sent && format < FORMAT_WITH_EXECUTIONS) =>
            {
                let missing = Vec::new();
                RelayReply::TooFewShards { may_have_run: sent, timed_out: false, missing }
            }
            other => other,
        }
    }

    /// The same for a request to a single backend server.
    pub fn for_single_of(self, format: u32) -> RelayReply {
        match self {
            RelayReply::OutOfReach { sent: true, .. } if format < FORMAT_WITH_EXECUTIONS => {
                RelayReply::Unknown { timed_out: false, asked: Vec::new() }
            }
            other => other,
        }
    }

    /// The outcome of a request to a single backend server.
    pub fn from_single(result: SingleResult) -> RelayReply {
        let asked = result.asked;
        match result.outcome {
            SingleOutcome::Answered(reply) => {
                let (head, body) = (encode(&reply.head), encode(&reply.body));
                RelayReply::Answered { status: reply.status, head, body, asked }
            }
            SingleOutcome::NotRun => RelayReply::NotRun { asked },
            SingleOutcome::OutOfReach { sent, executed } => {
                RelayReply::OutOfReach { sent, executed: Some(executed) }
            }
            SingleOutcome::Unknown { timed_out } => RelayReply::Unknown { timed_out, asked },
        }
    }

    /// The outcome of a query. None if it is malformed, or not of a query.
    pub fn into_gathered(self) -> Option<GatherOutcome> {
        Some(match self {
            RelayReply::Merged { body, stamps, missing, extra } => {
                let stamp = |s: &str| HeaderValue::from_bytes(&decode(s)?).ok();
                let stamps =
                    stamps.iter().map(|s| stamp(s)).collect::<Option<Vec<HeaderValue>>>()?;
                GatherOutcome::Merged { body: decode(&body)?, stamps, missing, extra }
            }
            RelayReply::Refused { reason, retry_ms } => {
                GatherOutcome::Refused { reason, retry_after: Duration::from_millis(retry_ms) }
            }
            RelayReply::TooFewShards { may_have_run, timed_out, missing } => {
                GatherOutcome::TooFewShards { may_have_run, timed_out, missing }
            }
            RelayReply::OutOfReach { sent, executed } => {
                GatherOutcome::OutOfReach { sent, executed: executed.unwrap_or_default() }
            }
            RelayReply::Answered { .. }
            | RelayReply::NotRun { .. }
            | RelayReply::Unknown { .. } => {
                return None;
            }
        })
    }

    /// The outcome of a request to a single backend server. None if it is malformed, or of a
    /// query.
    pub fn into_single(self) -> Option<SingleResult> {
        let (outcome, asked) = match self {
            RelayReply::Answered { status, head, body, asked } => {
                let (head, body) = (Bytes::from(decode(&head)?), Bytes::from(decode(&body)?));
                let reply = Reply::forwarded(status, head, body)?;
                (SingleOutcome::Answered(Box::new(reply)), asked)
            }
            RelayReply::NotRun { asked } => (SingleOutcome::NotRun, asked),
            RelayReply::Unknown { timed_out, asked } => {
                (SingleOutcome::Unknown { timed_out }, asked)
            }
            RelayReply::OutOfReach { sent, executed } => {
                let executed = executed.unwrap_or_default();
                (SingleOutcome::OutOfReach { sent, executed }, Vec::new())
            }
            RelayReply::Merged { .. }
            | RelayReply::Refused { .. }
            | RelayReply::TooFewShards { .. } => return None,
        };
        Some(SingleResult { outcome, asked })
    }
}

fn encode(bytes: &[u8]) -> Box<str> {
    STANDARD.encode(bytes).into()
}

fn decode(text: &str) -> Option<Vec<u8>> {
    STANDARD.decode(text).ok()
}
