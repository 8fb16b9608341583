//! Executes queries: performs the actions that the planner decides on, and
//! feeds it the replies and timeouts.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::digest::Digest;
use chervil_base::index::ServerIndex;
use chervil_plan::query::Action;
use chervil_plan::query::Event;
use chervil_plan::query::Query;
use chervil_plan::query::QueryOutcome;
use chervil_plan::query::QuerySpec;
use chervil_plan::topology::Gate;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::GateRpcClient as _;
use tokio::sync::mpsc;
use tokio::sync::mpsc::UnboundedReceiver;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::AbortHandle;
use tokio::time;

use crate::canary;
use crate::canary::CanaryMessage;
use crate::directory::IndexUpdate;
use crate::directory::ServiceHandle;
use crate::directory::SharedPolicy;
use crate::entry::Entry;

/// Maximum number of further queued events that one step handles before it
/// performs their actions.
const MAX_EVENTS_PER_STEP: usize = 64;

/// Validated query of a caller.
#[derive(Clone, Debug)]
pub struct QueryJob {
    /// Name of the service.
    pub service: Box<str>,
    /// Body of the request, passed on as it is.
    pub body: Box<str>,
    /// Digest of service and body.
    pub digest: Digest,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// W3C trace context for the gates.
    pub trace: Option<Box<str>>,
}

/// Executes a query. Dropping the future cancels its sub-requests and gives its
/// canary permits back.
pub async fn execute(entry: Arc<Entry>, mut service: ServiceHandle, job: QueryJob) -> QueryOutcome {
    let guard = AdmissionGuard(Some(service.policy.clone()));
    wait_for_index(&entry, &mut service, job.deadline).await;
    guard.disarm();
    let (tx, mut events) = mpsc::unbounded_channel();
    let (mut driver, mut outcome) = Driver::start(entry, service, job, tx);
    while outcome.is_none() {
        outcome = driver.step(&mut events).await;
    }
    driver.record_metrics();
    outcome.unwrap_or(QueryOutcome::NotRun {
        reason: chervil_plan::query::NotRunReason::Late,
        retry_ms: 0,
    })
}

/// Waits for the first index of a service that was not in use, for at most half
/// of the remaining time.
async fn wait_for_index(entry: &Entry, service: &mut ServiceHandle, deadline: Instant) {
    if service.topology.borrow().preferred().is_none() {
        service.refresh.notify_one();
        let left = deadline.saturating_duration_since(entry.clock.now()) / 2;
        let _ = time::timeout(left, service.topology.wait_for(|t| t.preferred().is_some())).await;
    }
}

/// Releases the concurrency limiter when the caller disconnects before the query
/// starts.
struct AdmissionGuard(Option<SharedPolicy>);

impl AdmissionGuard {
    /// Leaves the release to the query.
    fn disarm(mut self) {
        self.0 = None;
    }
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        if let Some(policy) = &self.0 {
            policy.lock().limiter.release_cancelled();
        }
    }
}

/// A running query and the tasks that work for it.
struct Driver {
    entry: Arc<Entry>,
    service: ServiceHandle,
    /// Name of the service.
    name: Box<str>,
    query: Query,
    /// Tasks of the batches in flight, by batch.
    batches: HashMap<u32, AbortHandle>,
    events: UnboundedSender<Event>,
    /// Queue of the task that sends canary messages, once there is one.
    canary_messages: Option<UnboundedSender<CanaryMessage>>,
    started: Instant,
}

impl Driver {
    fn start(
        entry: Arc<Entry>,
        mut service: ServiceHandle,
        job: QueryJob,
        events: UnboundedSender<Event>,
    ) -> (Driver, Option<QueryOutcome>) {
        let now = entry.clock.now();
        let query = entry.next_query_id();
        let name = job.service.clone();
        let spec = QuerySpec {
            incarnation: entry.incarnation,
            query,
            service: job.service,
            digest: job.digest,
            body: job.body,
            deadline: job.deadline,
            trace: job.trace,
            seed: entry.incarnation ^ query,
        };
        let topology = service.topology.borrow_and_update().clone();
        let (query, actions) = Query::start(spec, topology, &mut service.policy.lock(), now);
        let mut driver = Driver {
            entry,
            service,
            name,
            query,
            batches: HashMap::default(),
            events,
            canary_messages: None,
            started: now,
        };
        let outcome = driver.perform(actions);
        (driver, outcome)
    }

    /// Waits for the next events and performs the actions that follow from them.
    async fn step(&mut self, events: &mut UnboundedReceiver<Event>) -> Option<QueryOutcome> {
        let now = self.entry.clock.now();
        let wait = self.query.next_timer().saturating_duration_since(now);
        let event = tokio::select! {
            event = events.recv() => event.unwrap_or(Event::Timer),
            changed = self.service.topology.changed() => match changed {
                Ok(()) => Event::Topology(self.service.topology.borrow_and_update().clone()),
                Err(_) => Event::Timer,
            },
            () = time::sleep(wait.max(Duration::from_micros(100))) => Event::Timer,
        };
        let mut actions = self.handle(event);
        for _ in 0..MAX_EVENTS_PER_STEP {
            match events.try_recv() {
                Ok(event) => actions.extend(self.handle(event)),
                Err(_) => break,
            }
        }
        self.perform(actions)
    }

    fn handle(&mut self, event: Event) -> Vec<Action> {
        let now = self.entry.clock.now();
        self.query.handle(event, &mut self.service.policy.lock(), now)
    }

    fn perform(&mut self, actions: Vec<Action>) -> Option<QueryOutcome> {
        let mut outcome = None;
        let mut index_updates = Vec::new();
        for action in actions {
            match action {
                Action::SendBatch { batch, gate, topology, ask } => {
                    self.send_batch(batch, topology.gate(gate).clone(), ask);
                }
                Action::CancelBatch { batch } => {
                    if let Some(task) = self.batches.remove(&batch) {
                        task.abort();
                    }
                }
                Action::RequestPermit(request) => {
                    self.send_to_agent(CanaryMessage::Request(request));
                }
                Action::ReportProbe(report) => {
                    self.send_to_agent(CanaryMessage::Report(report));
                }
                Action::RefreshIndex { updates } => index_updates.extend(updates),
                Action::Finish(finished) => outcome = Some(finished),
            }
        }
        if !index_updates.is_empty() {
            self.refresh_index(index_updates);
        }
        outcome
    }

    fn send_batch(&mut self, batch: u32, gate: Gate, ask: AskBatch) {
        let (entry, events) = (self.entry.clone(), self.events.clone());
        let task = tokio::spawn(async move {
            // Reported in any case: the query knows whether every reply has
            // arrived, and otherwise counts the batch as lost.
            let sent = forward_replies(&entry, &gate, ask, &events).await;
            let _ = events.send(Event::BatchLost { batch, sent });
        });
        self.batches.insert(batch, task.abort_handle());
    }

    fn send_to_agent(&mut self, message: CanaryMessage) {
        let messages = self.canary_messages.get_or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            tokio::spawn(canary::forward(self.entry.clone(), rx, self.events.clone()));
            tx
        });
        let _ = messages.send(message);
    }

    fn refresh_index(&self, updates: Vec<ServerIndex>) {
        let (directory, service) = (self.entry.directory.clone(), self.name.clone());
        self.service.refresh.notify_one();
        tokio::spawn(async move {
            let _ = directory.send(IndexUpdate { service, updates }).await;
        });
    }

    fn record_metrics(&self) {
        let took = self.entry.clock.now().saturating_duration_since(self.started);
        self.entry.metrics.time("query.time", took);
        let policy = self.service.policy.lock();
        self.entry
            .metrics
            .gauge(&format!("query.limit.{}", self.name), policy.limiter.limit().into());
        self.entry.metrics.gauge(&format!("query.extra.{}", self.name), policy.budget.extra());
        self.entry.metrics.gauge(&format!("query.needed.{}", self.name), policy.budget.needed());
    }
}

impl Drop for Driver {
    fn drop(&mut self) {
        let actions = self.query.cancel(&mut self.service.policy.lock());
        self.perform(actions);
        self.batches.drain().for_each(|(_, task)| task.abort());
    }
}

/// Sends a batch to a gate and forwards its replies as events. Returns whether
/// the batch may have reached the gate.
async fn forward_replies(
    entry: &Entry,
    gate: &Gate,
    batch: AskBatch,
    events: &UnboundedSender<Event>,
) -> bool {
    let client = match entry.peers.get(gate.address).await {
        Ok(client) => client,
        Err(e) => {
            spdlog::debug!(
                "cannot connect to a gate; its sub-requests were not sent",
                kv: { host: = gate.host, error: = e }
            );
            return false;
        }
    };
    let Ok(mut replies) = client.ask(batch).await else { return true };
    while let Some(Ok(reply)) = replies.next().await {
        if events.send(Event::Reply(reply)).is_err() {
            break;
        }
    }
    true
}
