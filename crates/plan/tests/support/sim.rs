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

/// One way between entry and gate.
const HOP: Duration = Duration::from_micros(500);

/// How long a refresh of the index takes.
const REFRESH: Duration = Duration::from_millis(20);

/// Latency of one sub-request, given its sequence number.
pub type LatencyModel = Box<dyn Fn(u64) -> Duration>;

/// What one query did.
#[derive(Debug)]
pub struct Report {
    pub ending: QueryOutcome,
    pub took: Duration,
    /// Sub-requests that may have reached a backend server.
    pub sent: u64,
    /// Servers whose connection was lost.
    pub lost: HashSet<Box<str>>,
    /// Attempts whose connection was lost.
    pub losses: u64,
    /// Messages to gates.
    pub batches: u64,
}

enum Due {
    Event(Event),
    Refresh,
    Canary(CanaryRequest),
}

struct Item(Instant, u64, Due);

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}

impl Eq for Item {}

impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Item {
    fn cmp(&self, other: &Item) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

/// Home host of all digests.
#[derive(Debug, Default)]
pub struct Home {
    pub known: HashSet<u64>,
    pub losses: u32,
    pub open: HashSet<u64>,
    pub granted: u64,
}

impl Home {
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
        assert!(self.open.remove(&report.nonce), "a permit is reported twice or was not granted");
        match report.result {
            CanaryResult::Good => {
                self.known.insert(report.digest);
            }
            CanaryResult::Lost => self.losses += 1,
            CanaryResult::NotRun => {}
        }
    }
}

/// Runs queries on a manual clock.
pub struct Sim {
    pub world: World,
    pub policy: Policy,
    pub home: Home,
    pub start: Instant,
    pub now: Instant,
    /// Topology of a world that does not change.
    pub fixed: Option<Arc<Topology>>,
    positions: HashMap<Box<str>, usize>,
    latency: LatencyModel,
    queue: BinaryHeap<Reverse<Item>>,
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
            fixed: None,
            world,
            policy,
            home: Home::default(),
            start,
            now: start,
            latency,
            queue: BinaryHeap::new(),
            sequence: 0,
            queries: 0,
            losses: 0,
        }
    }

    /// Runs one query to its end.
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
        let topology = self.fixed.clone().unwrap_or_else(|| self.world.topology());
        let (mut query, mut actions) = Query::start(spec, topology, &mut self.policy, self.now);
        let losses = self.losses;
        let (mut sent, mut batches, mut lost) = (0, 0, HashSet::default());
        loop {
            if let Some(ending) = self.perform(actions, &mut sent, &mut batches, &mut lost) {
                let took = self.now - began;
                let losses = self.losses - losses;
                return Report { ending, took, sent, lost, losses, batches };
            }
            actions = self.step(&mut query);
        }
    }

    /// Canary permits granted so far.
    pub fn granted(&self) -> u64 {
        self.home.granted
    }

    /// Moves to the next event and lets the query take it in.
    fn step(&mut self, query: &mut Query) -> Vec<Action> {
        let timer = query.next_timer().max(self.now + Duration::from_micros(1));
        let next = self.queue.peek().map(|i| i.0.0).filter(|t| *t <= timer);
        self.now = next.unwrap_or(timer).max(self.now);
        self.world.advance(self.now - self.start);
        let event = match next.and_then(|_| self.queue.pop()).map(|i| i.0.2) {
            None => Event::Timer,
            Some(Due::Event(event)) => event,
            Some(Due::Refresh) => Event::Topology(self.world.topology()),
            Some(Due::Canary(request)) => {
                let nonce = request.nonce;
                Event::PermitReply { nonce, reply: Some(self.home.ask(request)) }
            }
        };
        query.handle(event, &mut self.policy, self.now)
    }

    fn perform(
        &mut self,
        actions: Vec<Action>,
        sent: &mut u64,
        batches: &mut u64,
        lost: &mut HashSet<Box<str>>,
    ) -> Option<QueryOutcome> {
        let mut ending = None;
        for action in actions {
            assert!(ending.is_none(), "an action follows the end");
            match action {
                Action::SendBatch { batch, ask, .. } => {
                    *batches += 1;
                    for item in &ask.items {
                        *sent += u64::from(self.ask(batch, &ask, item, lost));
                    }
                }
                // Replies that are on their way arrive all the same.
                Action::CancelBatch { .. } => {}
                Action::RequestPermit(request) => self.at(HOP * 4, Due::Canary(request)),
                Action::ReportProbe(report) => self.home.report(report),
                Action::RefreshIndex { .. } => self.at(REFRESH, Due::Refresh),
                Action::Finish(end) => ending = Some(end),
            }
        }
        ending
    }

    /// Schedules what comes of an attempt; whether it may reach its server.
    fn ask(
        &mut self,
        batch: u32,
        ask: &AskBatch,
        item: &AskItem,
        lost: &mut HashSet<Box<str>>,
    ) -> bool {
        let mut wait = (self.latency)(self.sequence) + HOP * 2;
        let mut result = self.result(ask.version, item);
        let fault = self.world.fault(&item.server, item.shard);
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
                self.at(wait, Due::Event(Event::BatchLost { batch, sent: true }));
                return true;
            }
            Some(kind) => result = bent(kind, result),
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
            self.foreign(&reply, wait);
        }
        if kind == Some(FaultKind::Duplicated) {
            self.at(wait, Due::Event(Event::Reply(reply.clone())));
        }
        self.at(wait, Due::Event(Event::Reply(reply)));
        reached
    }

    /// Replies that belong to others, with rows that must not be used.
    fn foreign(&mut self, own: &AskReply, wait: Duration) {
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
            self.at(wait / 2, Due::Event(Event::Reply(reply)));
        }
    }

    fn result(&self, version: u64, item: &AskItem) -> AskResult {
        let held = &self.world.servers[self.positions[&item.server]].held;
        if held.iter().any(|h| h.version == version && h.shards.contains(item.shard)) {
            let rows = world::rows(version, item.shard);
            return AskResult::Rows { version, rows, partial: false };
        }
        AskResult::WrongVersion { held: world::versions(held) }
    }

    fn at(&mut self, wait: Duration, due: Due) {
        self.sequence += 1;
        self.queue.push(Reverse(Item(self.now + wait, self.sequence, due)));
    }
}

/// Result of an attempt with a fault in its content.
fn bent(kind: FaultKind, result: AskResult) -> AskResult {
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
