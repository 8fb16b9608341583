//! Runs queries against a [`World`] on a manual clock.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::HashSet;
use chervil_plan::policy::Policy;
use chervil_plan::query::Action;
use chervil_plan::query::Event;
use chervil_plan::query::Query;
use chervil_plan::query::QueryOutcome;
use chervil_plan::query::QuerySpec;
use chervil_plan::topology::Topology;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;
use chervil_rpc::gate::AskBatch;
use chervil_rpc::gate::AskItem;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::AskResult;

use super::world;
use super::world::FaultKind;
use super::world::World;

/// One-way network delay between entry and gate.
const HOP_DELAY: Duration = Duration::from_micros(500);

/// Time that a refresh of the index takes.
const REFRESH_DELAY: Duration = Duration::from_millis(20);

/// Latency of one sub-request at its server, given a sequence number.
pub type LatencyModel = Box<dyn Fn(u64) -> Duration>;

/// Outcome and statistics of one query.
#[derive(Debug)]
pub struct Report {
    pub outcome: QueryOutcome,
    pub took: Duration,
    /// Sub-requests that may have reached a backend server.
    pub sent: u64,
    /// Servers that lost a connection.
    pub lost: HashSet<Box<str>>,
    /// Number of attempts that lost their connection.
    pub losses: u64,
    /// Number of messages to gates.
    pub batches: u64,
}

/// Scheduled step of the simulation.
enum Step {
    /// The event reaches the query.
    Deliver(Event),
    /// A refresh of the index ends.
    RefreshDone,
    /// The home host receives a permit request.
    PermitRequest(CanaryRequest),
}

/// Scheduled step with its time and sequence number, which order the queue.
struct Scheduled(Instant, u64, Step);

impl PartialEq for Scheduled {
    fn eq(&self, other: &Scheduled) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Scheduled {}

impl PartialOrd for Scheduled {
    fn partial_cmp(&self, other: &Scheduled) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Scheduled {
    fn cmp(&self, other: &Scheduled) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Simulated home host of all digests.
#[derive(Debug, Default)]
pub struct CanaryHome {
    /// Digests that have succeeded.
    pub known: HashSet<u64>,
    pub losses: u32,
    /// Nonces of the permits without a report.
    pub open: HashSet<u64>,
    /// Number of permits granted.
    pub granted: u64,
}

impl CanaryHome {
    fn ask(&mut self, request: CanaryRequest) -> CanaryReply {
        if self.known.contains(&request.digest) {
            CanaryReply::Known
        } else if self.losses >= 2 {
            CanaryReply::Suspect
        } else if self.losses as usize + self.open.len() < 2 {
            self.open.insert(request.nonce);
            self.granted += 1;
            CanaryReply::Probe
        } else {
            CanaryReply::Wait { retry_ms: 5 }
        }
    }

    fn report(&mut self, report: CanaryReport) {
        assert!(
            self.open.remove(&report.nonce),
            "permit {:#x} was reported twice or never granted",
            report.nonce
        );
        match report.result {
            CanaryResult::Good => {
                self.known.insert(report.digest);
            }
            CanaryResult::Lost => self.losses += 1,
            CanaryResult::NotRun => {}
        }
    }
}

/// Runs queries one after the other on a manual clock.
pub struct Sim {
    pub world: World,
    pub policy: Policy,
    pub home: CanaryHome,
    pub start: Instant,
    pub now: Instant,
    /// Topology for all queries if `world` does not change; built anew from `world`
    /// for each query if `None`.
    pub fixed_topology: Option<Arc<Topology>>,
    /// Positions in `world.servers` by name.
    positions: HashMap<Box<str>, usize>,
    latency: LatencyModel,
    queue: BinaryHeap<Reverse<Scheduled>>,
    sequence: u64,
    queries: u64,
    losses: u64,
}

impl Sim {
    pub fn new(world: World, policy: Policy, latency: LatencyModel) -> Sim {
        let start = Instant::now();
        let names = world.servers.iter().enumerate();
        Sim {
            positions: names.map(|(i, s)| (s.name.clone(), i)).collect(),
            fixed_topology: None,
            world,
            policy,
            home: CanaryHome::default(),
            start,
            now: start,
            latency,
            queue: BinaryHeap::new(),
            sequence: 0,
            queries: 0,
            losses: 0,
        }
    }

    /// Runs one query until it finishes.
    pub fn run(&mut self, timeout: Duration, digest: u64, seed: u64) -> Report {
        self.queries += 1;
        let spec = QuerySpec {
            incarnation: 11,
            query: self.queries,
            service: "lookup".into(),
            digest,
            body: "q".into(),
            deadline: self.now + timeout,
            trace: None,
            seed,
        };
        self.policy.limiter.try_acquire().unwrap();
        let began = self.now;
        let topology = self.fixed_topology.clone().unwrap_or_else(|| self.world.topology());
        let (mut query, mut actions) = Query::start(spec, topology, &mut self.policy, self.now);
        let losses = self.losses;
        let (mut sent, mut batches, mut lost) = (0, 0, HashSet::default());
        loop {
            if let Some(outcome) = self.perform(actions, &mut sent, &mut batches, &mut lost) {
                let took = self.now - began;
                let losses = self.losses - losses;
                return Report { outcome, took, sent, lost, losses, batches };
            }
            actions = self.advance(&mut query);
        }
    }

    /// Number of canary permits granted so far.
    pub fn granted(&self) -> u64 {
        self.home.granted
    }

    /// Advances the clock to the next event and passes it to the query.
    fn advance(&mut self, query: &mut Query) -> Vec<Action> {
        let timer = query.next_timer().max(self.now + Duration::from_micros(1));
        let next = self.queue.peek().map(|i| i.0.0).filter(|t| *t <= timer);
        self.now = next.unwrap_or(timer).max(self.now);
        self.world.advance(self.now - self.start);
        let event = match next.and_then(|_| self.queue.pop()).map(|i| i.0.2) {
            None => Event::Timer,
            Some(Step::Deliver(event)) => event,
            Some(Step::RefreshDone) => Event::Topology(self.world.topology()),
            Some(Step::PermitRequest(request)) => {
                let nonce = request.nonce;
                Event::PermitReply { nonce, reply: Some(self.home.ask(request)) }
            }
        };
        query.handle(event, &mut self.policy, self.now)
    }

    /// Executes the actions of a query; returns its outcome if it has finished.
    fn perform(
        &mut self,
        actions: Vec<Action>,
        sent: &mut u64,
        batches: &mut u64,
        lost: &mut HashSet<Box<str>>,
    ) -> Option<QueryOutcome> {
        let mut outcome = None;
        for action in actions {
            assert!(outcome.is_none(), "action after the query has finished: {action:?}");
            match action {
                Action::SendBatch { batch, ask, .. } => {
                    *batches += 1;
                    for item in &ask.items {
                        *sent += u64::from(self.ask(batch, &ask, item, lost));
                    }
                }
                // Replies that are already in flight still arrive.
                Action::CancelBatch { .. } => {}
                Action::RequestPermit(request) => {
                    self.schedule(HOP_DELAY * 4, Step::PermitRequest(request))
                }
                Action::ReportProbe(report) => self.home.report(report),
                Action::RefreshIndex { .. } => self.schedule(REFRESH_DELAY, Step::RefreshDone),
                Action::Finish(end) => outcome = Some(end),
            }
        }
        outcome
    }

    /// Schedules the reply to an attempt; returns whether the attempt may reach
    /// its server.
    fn ask(
        &mut self,
        batch: u32,
        ask: &AskBatch,
        item: &AskItem,
        lost: &mut HashSet<Box<str>>,
    ) -> bool {
        let mut wait = (self.latency)(self.sequence) + HOP_DELAY * 2;
        let mut result = self.result(ask.version, item);
        let fault = self.world.take_fault(&item.server, item.shard);
        let kind = fault.as_ref().map(|f| f.kind);
        match kind {
            Some(FaultKind::Slow) => {
                wait += Duration::from_millis(fault.as_ref().unwrap().delay_ms)
            }
            Some(FaultKind::Silent) => return true,
            Some(FaultKind::Lost) => {
                lost.insert(item.server.clone());
                self.losses += 1;
                result = AskResult::Lost;
            }
            Some(FaultKind::Failed) => result = AskResult::Failed,
            Some(FaultKind::GateLost) => {
                self.schedule(wait, Step::Deliver(Event::BatchLost { batch, sent: true }));
                return true;
            }
            Some(kind) => result = apply_fault(kind, result),
            None => {}
        }
        let reached = !matches!(kind, Some(FaultKind::NotOwner | FaultKind::Shed));
        let reply = AskReply {
            incarnation: ask.incarnation,
            query: ask.query,
            attempt: item.attempt,
            result,
        };
        if kind == Some(FaultKind::Foreign) {
            self.schedule_foreign(&reply, wait);
        }
        if kind == Some(FaultKind::Duplicated) {
            self.schedule(wait, Step::Deliver(Event::Reply(reply.clone())));
        }
        self.schedule(wait, Step::Deliver(Event::Reply(reply)));
        reached
    }

    /// Schedules replies to another query, another process and an unknown attempt,
    /// with rows that must not appear in the answer.
    fn schedule_foreign(&mut self, own: &AskReply, wait: Duration) {
        let rows = world::rows(999, 0);
        let version = match own.result {
            AskResult::Rows { version, .. } => version,
            _ => 0,
        };
        let result = AskResult::Rows { version, rows, partial: false };
        let other = AskReply { query: own.query + 1000, result, ..own.clone() };
        let restarted = AskReply { incarnation: 12, query: own.query, ..other.clone() };
        let unknown = AskReply { attempt: 1_000_000, query: own.query, ..other.clone() };
        for reply in [other, restarted, unknown] {
            self.schedule(wait / 2, Step::Deliver(Event::Reply(reply)));
        }
    }

    /// Result of an attempt without a fault.
    fn result(&self, version: u64, item: &AskItem) -> AskResult {
        let held = &self.world.servers[self.positions[&item.server]].held;
        if held.iter().any(|h| h.version == version && h.shards.contains(item.shard)) {
            let rows = world::rows(version, item.shard);
            return AskResult::Rows { version, rows, partial: false };
        }
        AskResult::WrongVersion { held: world::versions(held) }
    }

    /// Schedules a step after `wait`.
    fn schedule(&mut self, wait: Duration, step: Step) {
        self.sequence += 1;
        self.queue.push(Reverse(Scheduled(self.now + wait, self.sequence, step)));
    }
}

/// Result of an attempt with a fault that replaces or alters it.
fn apply_fault(kind: FaultKind, result: AskResult) -> AskResult {
    match (kind, result) {
        (FaultKind::OtherVersion, AskResult::Rows { version, .. }) => {
            let rows = world::rows(version + 100, 0);
            AskResult::Rows { version: version + 100, rows, partial: false }
        }
        (FaultKind::Partial, AskResult::Rows { version, mut rows, .. }) => {
            rows.pop();
            AskResult::Rows { version, rows, partial: true }
        }
        (kind, result) => match world::refusal(kind) {
            Some(reason) => {
                let retry_ms = (kind == FaultKind::Shed).then_some(10);
                AskResult::Refused { reason, retry_ms }
            }
            None => result,
        },
    }
}
