//! State of one backend server.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::catalog::BackendServer;
use chervil_rpc::gate::Refusal;

use crate::foreign::Foreign;
use crate::pool::Pool;
use crate::queue::FairQueue;
use crate::types::Refused;
use crate::types::Report;
use crate::types::WorkKey;
use crate::warmup::Warmup;

/// Shortest and longest retry hint of a refusal for lack of slots.
const RETRY_RANGE: (Duration, Duration) = (Duration::from_millis(10), Duration::from_secs(1));

/// Time for which a refusal as draining holds when the status does not show the
/// drain; afterwards one item finds out.
const DRAIN_HOLD: Duration = Duration::from_secs(60);

/// A newly owned server with a shorter uptime is cold unless a hint says
/// otherwise.
const YOUNG: Duration = Duration::from_secs(10);

/// An item that runs for this many medians has stalled.
const STALL_FACTOR: u32 = 4;

/// An item that runs for less has not stalled.
const STALL_FLOOR: Duration = Duration::from_millis(50);

/// Interval of status requests while stalled items hold all slots.
const STALL_PROBE: Duration = Duration::from_millis(100);

/// Time that a reply is taken to need before the median is learned.
const DEFAULT_MEDIAN: Duration = Duration::from_millis(20);

/// Item that runs at the server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) work: WorkKey,
    pub(crate) started: Instant,
    /// When a status first showed that the server does not run it.
    pub(crate) missed: Option<Instant>,
}

/// Whether a server is leaving, by its status and by its refusals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    status: bool,
    refused: Option<Instant>,
}

impl Drain {
    pub(crate) fn is_draining(&self) -> bool {
        self.status || self.refused.is_some()
    }

    /// The server refused work because it is leaving.
    pub(crate) fn refuse(&mut self, now: Instant) {
        self.refused = Some(now + DRAIN_HOLD);
    }

    /// Takes the status. A status that never showed the drain cannot end it.
    pub(crate) fn status(&mut self, draining: bool) {
        if self.status && !draining {
            self.refused = None;
        }
        self.status = draining;
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.refused = self.refused.filter(|until| now < *until);
    }
}

/// State of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) name: Box<str>,
    pub(crate) group: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) connections: u32,
    pub(crate) connect_cost: Duration,
    /// Whether this host owns it; otherwise only running items end.
    pub(crate) owned: bool,
    /// Whether it, its service and its zone are in service.
    pub(crate) usable: bool,
    pub(crate) drain: Drain,
    /// When to request the status again that it did not send.
    pub(crate) no_status: Option<Instant>,
    /// When a new connection first brought no status although earlier ones did.
    pub(crate) silent_since: Option<Instant>,
    /// Whether its status was read since ownership was gained.
    pub(crate) known: bool,
    /// Whether no reply has corrected the start level yet.
    pub(crate) unused: bool,
    /// When the hint came that gave the start level.
    pub(crate) hinted: Option<Instant>,
    /// Slots that the server itself reports; 0 when it does not.
    pub(crate) reported: u32,
    pub(crate) warmup: Warmup,
    pub(crate) foreign: Foreign,
    pub(crate) queue: FairQueue,
    pub(crate) running: Vec<Running>,
    pub(crate) pool: Pool,
    pub(crate) failures: u32,
    pub(crate) retry_at: Instant,
    pub(crate) probe_at: Instant,
    pub(crate) probed_at: Instant,
}

impl Server {
    pub(crate) fn new(
        spec: &BackendServer,
        group: &str,
        level: u32,
        queue: usize,
        now: Instant,
    ) -> Server {
        Server {
            name: spec.name.clone(),
            group: group.into(),
            address: spec.address,
            slots: spec.slots,
            connections: spec.connections,
            connect_cost: spec.connect_time,
            owned: true,
            usable: true,
            drain: Drain::default(),
            no_status: None,
            silent_since: None,
            known: false,
            unused: true,
            hinted: None,
            reported: 0,
            warmup: Warmup::new(level.min(spec.slots)),
            foreign: Foreign::default(),
            queue: FairQueue::new(queue),
            running: Vec::new(),
            pool: Pool::default(),
            failures: 0,
            retry_at: now,
            probe_at: now,
            probed_at: now,
        }
    }

    /// Items that may run at once, besides the work of others.
    pub(crate) fn limit(&self) -> usize {
        let slots = if self.reported > 0 { self.slots.min(self.reported) } else { self.slots };
        let limit = slots.min(self.warmup.level()).saturating_sub(self.foreign.count());
        if self.foreign.is_trying() { limit.max(slots.min(1)) as usize } else { limit as usize }
    }

    /// Items that may still be started.
    pub(crate) fn room(&self) -> usize {
        self.limit().saturating_sub(self.running.len())
    }

    /// Whether a first status shows a server that has hardly been used, or that
    /// restarted after the hint.
    pub(crate) fn is_young(&self, report: &Report) -> bool {
        let young = match self.hinted {
            Some(at) => report.sent.checked_sub(report.uptime).is_some_and(|start| start > at),
            None => report.uptime < YOUNG,
        };
        !self.known && self.unused && young
    }

    /// Whether it gets new work, apart from the quorum lease.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        if !self.owned {
            Some(Refusal::NotOwner)
        } else if !self.usable {
            Some(Refusal::OutOfService)
        } else if self.drain.is_draining() {
            Some(Refusal::Draining)
        } else {
            None
        }
    }

    /// Refusal for lack of slots.
    pub(crate) fn shed(&self) -> Refused {
        let cold = self.warmup.level() < self.slots;
        let reason = if cold { Refusal::Cold } else { Refusal::Busy };
        let retry = self.wait().clamp(RETRY_RANGE.0, RETRY_RANGE.1);
        Refused { reason, retry: Some(retry) }
    }

    /// Expected time until an item that is queued now starts.
    pub(crate) fn wait(&self) -> Duration {
        let median = self.warmup.median().unwrap_or(DEFAULT_MEDIAN);
        let waiting = (self.queue.len() + self.running.len()) as u32;
        median * waiting / self.limit().max(1) as u32
    }

    /// Time after which a running item counts as stalled.
    pub(crate) fn patience(&self) -> Duration {
        (self.warmup.median().unwrap_or(DEFAULT_MEDIAN) * STALL_FACTOR).max(STALL_FLOOR)
    }

    /// Start of the youngest stalled item. Connections that have not proved
    /// themselves since are in doubt, too.
    pub(crate) fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let patience = self.patience();
        let stalled = self.running.iter().map(|r| r.started).filter(|s| *s + patience < now);
        stalled.max()
    }

    /// Takes note of the time.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.drain.tick(now);
        let blocked = self.running.is_empty() && self.limit() == 0;
        self.foreign.tick(blocked, now);
        if self.room() == 0 && self.stalled_since(now).is_some() {
            self.probe_at = self.probe_at.min(self.probed_at + STALL_PROBE);
        }
    }

    /// Takes a load report; returns whether the server restarted.
    pub(crate) fn observe(&mut self, report: &Report, now: Instant) -> bool {
        self.reported = report.slots;
        if self.warmup.uptime(report, now) {
            self.drain = Drain::default();
            self.foreign = Foreign::default();
            return true;
        }
        let started: Vec<Instant> = self.running.iter().map(|r| r.started).collect();
        self.foreign.observe(report, &started, now);
        false
    }

    /// Removes a running item; returns when it was started.
    pub(crate) fn end(&mut self, work: WorkKey, now: Instant) -> Option<Instant> {
        let at = self.running.iter().position(|r| r.work == work)?;
        self.foreign.ended(now);
        Some(self.running.swap_remove(at).started)
    }

    /// Removes a running item that may still run at the server.
    pub(crate) fn give_up(&mut self, work: WorkKey, now: Instant) -> Option<Instant> {
        let at = self.running.iter().position(|r| r.work == work)?;
        self.foreign.add(now);
        self.probe_at = now;
        Some(self.running.swap_remove(at).started)
    }
}
