//! Accepting and cancelling work.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_backend::link::AskCall;
use chervil_backend::link::RunCall;
use chervil_base::digest;
use chervil_node::trace;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::AskItem;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use chervil_rpc::gate::RunRequest;
use chervil_slots::types::Refused;
use chervil_slots::types::Work;
use chervil_slots::types::WorkKey;
use tokio::sync::mpsc;
use tokio::sync::oneshot;
use xtra::Context;
use xtra::Handler;

use super::GateState;
use super::Job;
use super::Kind;
use super::Recipient;

/// Accepts the attempts of a query; returns the keys of those accepted.
pub(crate) struct SubmitBatch {
    pub(crate) batch: AskBatch,
    pub(crate) replies: mpsc::UnboundedSender<AskReply>,
}

/// Accepts non-idempotent work.
pub(crate) struct SubmitRun {
    pub(crate) request: RunRequest,
    pub(crate) reply: oneshot::Sender<RunReply>,
}

/// Cancels the items that have not ended.
pub(crate) struct Cancel(pub(crate) Vec<WorkKey>);

/// Begins a stop: new work is refused, accepted work runs.
pub(crate) struct Stop;

/// Asks for the number of queued and running items.
pub(crate) struct Pending;

impl Handler<SubmitBatch> for GateState {
    type Return = Vec<WorkKey>;

    async fn handle(&mut self, submit: SubmitBatch, _: &mut Context<Self>) -> Vec<WorkKey> {
        let SubmitBatch { batch, replies } = submit;
        let span = tracing::info_span!("gate.ask", service = &*batch.service, query = batch.query);
        trace::set_parent(&span, batch.trace.as_deref());
        self.parts.metrics.count("ask", batch.items.len() as i64);
        let body: Arc<str> = batch.body.clone().into();
        let accepted = batch.items.iter().filter_map(|item| {
            let job = self.ask_job(&batch, &body, item, &replies, &span);
            let work = Work {
                server: item.server.clone(),
                source: batch.incarnation,
                query: batch.query,
                shard: item.shard,
                idempotent: true,
                fresh_conn: item.fresh,
                deadline: job.deadline,
            };
            self.submit(&batch.service, &work, job)
        });
        accepted.collect()
    }
}

impl Handler<SubmitRun> for GateState {
    type Return = ();

    async fn handle(&mut self, SubmitRun { request, reply }: SubmitRun, _: &mut Context<Self>) {
        let span = tracing::info_span!("gate.run", service = &*request.service);
        trace::set_parent(&span, request.trace.as_deref());
        self.parts.metrics.count("run", 1);
        self.runs += 1;
        let accepted = self.now();
        let work = Work {
            server: request.server.clone(),
            source: digest::stable_hash(&request.key),
            query: self.runs,
            shard: 0,
            idempotent: false,
            fresh_conn: false,
            deadline: accepted + Duration::from_millis(request.timeout_ms.into()),
        };
        let service = request.service;
        let call = RunCall {
            service: service.clone(),
            key: request.key,
            timeout: Duration::ZERO,
            body: request.body.into(),
            trace: request.trace,
        };
        let kind = Kind::Run { call: Arc::new(call), reply };
        let job = Job { server: request.server, accepted, deadline: work.deadline, span, kind };
        self.submit(&service, &work, job);
    }
}

impl Handler<Cancel> for GateState {
    type Return = ();

    async fn handle(&mut self, Cancel(works): Cancel, _: &mut Context<Self>) {
        let now = self.now();
        for work in works {
            if self.jobs.remove(work).is_some() {
                self.parts.metrics.count("cancelled", 1);
                self.slots.cancel(work, now);
            }
        }
        self.act();
    }
}

impl Handler<Stop> for GateState {
    type Return = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self>) {
        self.slots.stop();
    }
}

impl Handler<Pending> for GateState {
    type Return = usize;

    async fn handle(&mut self, _: Pending, _: &mut Context<Self>) -> usize {
        self.slots.pending()
    }
}

impl GateState {
    fn submit(&mut self, service: &str, work: &Work, job: Job) -> Option<WorkKey> {
        let now = self.now();
        let accepted = match self.admit(service, work, now) {
            Ok(key) => {
                self.jobs.insert(key, job);
                Some(key)
            }
            Err(refused) => {
                self.count_refusal(refused.reason);
                job.refuse(refused);
                None
            }
        };
        self.act();
        accepted
    }

    /// Refuses work for a server that belongs to another service; the request
    /// would reach a server that cannot know it.
    fn admit(&mut self, service: &str, work: &Work, now: Instant) -> Result<WorkKey, Refused> {
        let server = self.catalog.server(&work.server).map(|k| &self.catalog.servers[k]);
        if server.is_some_and(|s| &*self.catalog.services[s.service].name != service) {
            return Err(Refused { reason: Refusal::UnknownServer, retry_after: None });
        }
        self.slots.submit(work, now)
    }

    fn ask_job(
        &self,
        batch: &AskBatch,
        body: &Arc<str>,
        item: &AskItem,
        replies: &mpsc::UnboundedSender<AskReply>,
        span: &tracing::Span,
    ) -> Job {
        let request = format!("{:x}-{:x}-{}", batch.incarnation, batch.query, item.attempt);
        let call = AskCall {
            service: batch.service.clone(),
            shard: item.shard,
            version: batch.version,
            request: request.into(),
            timeout: Duration::ZERO,
            body: body.clone(),
            trace: batch.trace.clone(),
        };
        let to = Recipient {
            incarnation: batch.incarnation,
            query: batch.query,
            attempt: item.attempt,
            replies: replies.clone(),
        };
        let span = tracing::info_span!(parent: span, "backend.ask", server = &*item.server, shard = item.shard);
        let accepted = self.now();
        Job {
            server: item.server.clone(),
            accepted,
            deadline: accepted + Duration::from_millis(batch.timeout_ms.into()),
            span,
            kind: Kind::Ask { call: Arc::new(call), to },
        }
    }
}
