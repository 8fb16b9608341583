//! Messages that submit, cancel and count work items, and that stop the gate.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_backend::connection::AskCall;
use chervil_backend::connection::RunCall;
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

use super::GateActor;
use super::Job;
use super::JobKind;
use super::ReplySender;

/// Submits the attempts of a query; returns the keys of those that were accepted.
pub(crate) struct SubmitBatch {
    pub(crate) batch: AskBatch,
    pub(crate) replies: mpsc::UnboundedSender<AskReply>,
}

/// Submits a non-idempotent request.
pub(crate) struct SubmitRun {
    pub(crate) request: RunRequest,
    pub(crate) reply: oneshot::Sender<RunReply>,
}

/// Cancels those of the items that have not ended.
pub(crate) struct CancelWork(pub(crate) Vec<WorkKey>);

/// Refuses new work from now on; accepted work still runs.
pub(crate) struct Stop;

/// Returns the number of queued and running items.
pub(crate) struct CountPending;

impl Handler<SubmitBatch> for GateActor {
    type Return = Vec<WorkKey>;

    async fn handle(&mut self, submit: SubmitBatch, _: &mut Context<Self>) -> Vec<WorkKey> {
        let SubmitBatch { batch, replies } = submit;
        let span = tracing::info_span!("gate.ask", service = &*batch.service, query = batch.query);
        trace::set_parent(&span, batch.trace.as_deref());
        self.deps.metrics.count("ask", batch.items.len() as i64);
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

impl Handler<SubmitRun> for GateActor {
    type Return = ();

    async fn handle(&mut self, SubmitRun { request, reply }: SubmitRun, _: &mut Context<Self>) {
        let span = tracing::info_span!("gate.run", service = &*request.service);
        trace::set_parent(&span, request.trace.as_deref());
        self.deps.metrics.count("run", 1);
        self.run_count += 1;
        let accepted_at = self.now();
        let work = Work {
            server: request.server.clone(),
            source: digest::stable_hash(&request.key),
            query: self.run_count,
            shard: 0,
            idempotent: false,
            fresh_conn: false,
            deadline: accepted_at + Duration::from_millis(request.timeout_ms.into()),
        };
        let service = request.service;
        let call = RunCall {
            service: service.clone(),
            key: request.key,
            timeout: Duration::ZERO,
            body: request.body.into(),
            traceparent: request.trace,
        };
        let kind = JobKind::Run { call: Arc::new(call), reply };
        let job = Job { server: request.server, accepted_at, deadline: work.deadline, span, kind };
        self.submit(&service, &work, job);
    }
}

impl Handler<CancelWork> for GateActor {
    type Return = ();

    async fn handle(&mut self, CancelWork(items): CancelWork, _: &mut Context<Self>) {
        let now = self.now();
        for work in items {
            if self.jobs.remove(work).is_some() {
                self.deps.metrics.count("cancelled", 1);
                self.scheduler.cancel(work, now);
            }
        }
        self.run_actions();
    }
}

impl Handler<Stop> for GateActor {
    type Return = ();

    async fn handle(&mut self, _: Stop, _: &mut Context<Self>) {
        self.scheduler.stop();
    }
}

impl Handler<CountPending> for GateActor {
    type Return = usize;

    async fn handle(&mut self, _: CountPending, _: &mut Context<Self>) -> usize {
        self.scheduler.pending()
    }
}

impl GateActor {
    /// Submits a work item; returns `None` after replying to it with a refusal.
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
        self.run_actions();
        accepted
    }

    /// Passes a work item to the scheduler. Refuses an item whose server belongs to
    /// another service, because that server could not handle the request.
    fn admit(&mut self, service: &str, work: &Work, now: Instant) -> Result<WorkKey, Refused> {
        let server = self.catalog.server(&work.server).map(|k| &self.catalog.servers[k]);
        if server.is_some_and(|s| &*self.catalog.services[s.service].name != service) {
            return Err(Refused { reason: Refusal::UnknownServer, retry_after: None });
        }
        self.scheduler.submit(work, now)
    }

    fn ask_job(
        &self,
        batch: &AskBatch,
        body: &Arc<str>,
        item: &AskItem,
        replies: &mpsc::UnboundedSender<AskReply>,
        span: &tracing::Span,
    ) -> Job {
        let request_id = format!("{:x}-{:x}-{}", batch.incarnation, batch.query, item.attempt);
        let call = AskCall {
            service: batch.service.clone(),
            shard: item.shard,
            version: batch.version,
            request_id: request_id.into(),
            timeout: Duration::ZERO,
            body: body.clone(),
            traceparent: batch.trace.clone(),
        };
        let reply = ReplySender {
            incarnation: batch.incarnation,
            query: batch.query,
            attempt: item.attempt,
            replies: replies.clone(),
        };
        let span = tracing::info_span!(
            parent: span,
            "backend.ask",
            server = &*item.server,
            shard = item.shard
        );
        let accepted_at = self.now();
        Job {
            server: item.server.clone(),
            accepted_at,
            deadline: accepted_at + Duration::from_millis(batch.timeout_ms.into()),
            span,
            kind: JobKind::Ask { call: Arc::new(call), reply },
        }
    }
}
