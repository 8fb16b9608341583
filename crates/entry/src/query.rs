//! Carries out the decisions about one query.

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
use crate::canary::Canary;
use crate::directory::IndexUpdate;
use crate::directory::ServiceHandle;
use crate::directory::SharedPolicy;
use crate::entry::Entry;

/// Events that are taken in before the next actions are carried out.
const MAX_DRAIN: usize = 64;

/// Query of a caller, checked.
#[derive(Clone, Debug)]
pub struct Asked {
    /// Service asked.
    pub service: Box<str>,
    /// The caller's query.
    pub body: Box<str>,
    /// Digest of both.
    pub digest: Digest,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// W3C trace context.
    pub trace: Option<Box<str>>,
}

/// Answers a query; dropping the future gives it up everywhere.
pub async fn answer(entry: Arc<Entry>, mut service: ServiceHandle, asked: Asked) -> QueryOutcome {
    let admission = Admission(Some(service.policy.clone()));
    wait_for_index(&entry, &mut service, asked.deadline).await;
    admission.pass_on();
    let (tx, mut events) = mpsc::unbounded_channel();
    let (mut driver, mut ending) = Driver::start(entry, service, asked, tx);
    while ending.is_none() {
        ending = driver.step(&mut events).await;
    }
    driver.count();
    ending.unwrap_or(QueryOutcome::NotRun {
        reason: chervil_plan::query::NotRunReason::Late,
        retry_ms: 0,
    })
}

/// Waits for the index of a service that was not in use.
async fn wait_for_index(entry: &Entry, service: &mut ServiceHandle, deadline: Instant) {
    if service.layouts.borrow().preferred().is_none() {
        service.refresh.notify_one();
        let left = deadline.saturating_duration_since(entry.clock.now()) / 2;
        let _ = time::timeout(left, service.layouts.wait_for(|l| l.preferred().is_some())).await;
    }
}

/// Gives the admission back when the caller leaves before the query starts.
struct Admission(Option<SharedPolicy>);

impl Admission {
    /// Leaves it to the query to give the admission back.
    fn pass_on(mut self) {
        self.0 = None;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        if let Some(policy) = &self.0 {
            policy.lock().limiter.release_cancelled();
        }
    }
}

struct Driver {
    entry: Arc<Entry>,
    service: ServiceHandle,
    name: Box<str>,
    query: Query,
    batches: HashMap<u32, AbortHandle>,
    events: UnboundedSender<Event>,
    canaries: Option<UnboundedSender<Canary>>,
    started: Instant,
}

impl Driver {
    fn start(
        entry: Arc<Entry>,
        mut service: ServiceHandle,
        asked: Asked,
        events: UnboundedSender<Event>,
    ) -> (Driver, Option<QueryOutcome>) {
        let now = entry.clock.now();
        let query = entry.next_query();
        let name = asked.service.clone();
        let spec = QuerySpec {
            incarnation: entry.incarnation,
            query,
            service: asked.service,
            digest: asked.digest,
            body: asked.body,
            deadline: asked.deadline,
            trace: asked.trace,
            seed: entry.incarnation ^ query,
        };
        let layout = service.layouts.borrow_and_update().clone();
        let (query, actions) = Query::start(spec, layout, &mut service.policy.lock(), now);
        let mut driver = Driver {
            entry,
            service,
            name,
            query,
            batches: HashMap::default(),
            events,
            canaries: None,
            started: now,
        };
        let ending = driver.perform(actions);
        (driver, ending)
    }

    /// Waits for the next events and carries out what follows from them.
    async fn step(&mut self, events: &mut UnboundedReceiver<Event>) -> Option<QueryOutcome> {
        let now = self.entry.clock.now();
        let wait = self.query.next_timer().saturating_duration_since(now);
        let event = tokio::select! {
            event = events.recv() => event.unwrap_or(Event::Timer),
            changed = self.service.layouts.changed() => match changed {
                Ok(()) => Event::Topology(self.service.layouts.borrow_and_update().clone()),
                Err(_) => Event::Timer,
            },
            () = time::sleep(wait.max(Duration::from_micros(100))) => Event::Timer,
        };
        let mut actions = self.take(event);
        for _ in 0..MAX_DRAIN {
            match events.try_recv() {
                Ok(event) => actions.extend(self.take(event)),
                Err(_) => break,
            }
        }
        self.perform(actions)
    }

    fn take(&mut self, event: Event) -> Vec<Action> {
        let now = self.entry.clock.now();
        self.query.handle(event, &mut self.service.policy.lock(), now)
    }

    fn perform(&mut self, actions: Vec<Action>) -> Option<QueryOutcome> {
        let mut ending = None;
        let mut news = Vec::new();
        for action in actions {
            match action {
                Action::SendBatch { batch, gate, topology, ask } => {
                    self.ask(batch, topology.gate(gate).clone(), ask);
                }
                Action::CancelBatch { batch } => {
                    if let Some(task) = self.batches.remove(&batch) {
                        task.abort();
                    }
                }
                Action::RequestPermit(request) => self.canary(Canary::Ask(request)),
                Action::ReportProbe(report) => self.canary(Canary::Report(report)),
                Action::RefreshIndex { updates } => news.extend(updates),
                Action::Finish(end) => ending = Some(end),
            }
        }
        if !news.is_empty() {
            self.refresh(news);
        }
        ending
    }

    fn ask(&mut self, batch: u32, gate: Gate, ask: AskBatch) {
        let (entry, events) = (self.entry.clone(), self.events.clone());
        let task = tokio::spawn(async move {
            // The end of the stream is a loss unless every reply has arrived,
            // which the query knows.
            let sent = relay(&entry, &gate, ask, &events).await;
            let _ = events.send(Event::BatchLost { batch, sent });
        });
        self.batches.insert(batch, task.abort_handle());
    }

    fn canary(&mut self, canary: Canary) {
        let canaries = self.canaries.get_or_insert_with(|| {
            let (tx, rx) = mpsc::unbounded_channel();
            tokio::spawn(canary::relay(self.entry.clone(), rx, self.events.clone()));
            tx
        });
        let _ = canaries.send(canary);
    }

    fn refresh(&self, updates: Vec<ServerIndex>) {
        let (directory, service) = (self.entry.directory.clone(), self.name.clone());
        self.service.refresh.notify_one();
        tokio::spawn(async move {
            let _ = directory.send(IndexUpdate { service, updates }).await;
        });
    }

    fn count(&self) {
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

/// Relays the replies of a batch; whether the batch may have been sent.
async fn relay(entry: &Entry, gate: &Gate, ask: AskBatch, events: &UnboundedSender<Event>) -> bool {
    let client = match entry.peers.get(gate.address).await {
        Ok(client) => client,
        Err(e) => {
            spdlog::debug!("a gate cannot be reached", kv: { host: = gate.host, error: = e });
            return false;
        }
    };
    let Ok(mut replies) = client.ask(ask).await else { return true };
    while let Some(Ok(reply)) = replies.next().await {
        if events.send(Event::Reply(reply)).is_err() {
            break;
        }
    }
    true
}
