//! State of one backend server.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::catalog::BackendServer;
use chervil_rpc::gate::Refusal;

use crate::external_load::ExternalLoad;
use crate::pool::Pool;
use crate::queue::FairQueue;
use crate::types::LoadReport;
use crate::types::Refused;
use crate::types::WorkKey;
use crate::warmup::Warmup;

/// Shortest retry hint of a refusal for lack of slots.
const MIN_RETRY_HINT: Duration = Duration::from_millis(10);

/// Longest retry hint of a refusal for lack of slots.
const MAX_RETRY_HINT: Duration = Duration::from_secs(1);

/// Time for which a server counts as draining after it refused an item for that
/// reason, unless its status shows the drain. The next item then tests whether
/// the drain has ended.
const DRAIN_REFUSAL_TTL: Duration = Duration::from_secs(60);

/// A newly owned server with a shorter uptime is treated as cold, unless a hint
/// gave its warm-up level.
const MIN_WARM_UPTIME: Duration = Duration::from_secs(10);

/// An item counts as stalled when it runs for longer than this multiple of the
/// median latency.
const STALL_FACTOR: u32 = 4;

/// An item that has run for less never counts as stalled.
const MIN_STALL_TIMEOUT: Duration = Duration::from_millis(50);

/// Interval between status requests while no slot is free and an item is stalled.
const STALL_PROBE_INTERVAL: Duration = Duration::from_millis(100);

/// Latency that is assumed until the median is known.
const DEFAULT_LATENCY: Duration = Duration::from_millis(20);

/// Item that was sent to the server and has not ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Running {
    pub(crate) work: WorkKey,
    pub(crate) started: Instant,
    /// When a load report first counted fewer requests than were sent, which
    /// suggested that the server does not run this item.
    pub(crate) uncounted_since: Option<Instant>,
}

/// Whether a server is draining, according to its status and its refusals.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Drain {
    /// Whether the last status showed a drain.
    by_status: bool,
    /// Until when a refusal counts as a drain.
    refused_until: Option<Instant>,
}

impl Drain {
    pub(crate) fn is_draining(&self) -> bool {
        self.by_status || self.refused_until.is_some()
    }

    /// Records that the server refused an item because it is draining.
    pub(crate) fn record_refusal(&mut self, now: Instant) {
        self.refused_until = Some(now + DRAIN_REFUSAL_TTL);
    }

    /// Records the status. It ends a drain known from a refusal only if the status
    /// before had shown the drain, too.
    pub(crate) fn record_status(&mut self, draining: bool) {
        if self.by_status && !draining {
            self.refused_until = None;
        }
        self.by_status = draining;
    }

    pub(crate) fn tick(&mut self, now: Instant) {
        self.refused_until = self.refused_until.filter(|until| now < *until);
    }
}

/// State of one backend server.
#[derive(Clone, Debug)]
pub(crate) struct Server {
    pub(crate) name: Box<str>,
    pub(crate) group: Box<str>,
    pub(crate) address: SocketAddr,
    pub(crate) slots: u32,
    pub(crate) max_connections: u32,
    pub(crate) connect_time: Duration,
    /// Whether this host owns the server; otherwise its running items finish and no
    /// others start.
    pub(crate) owned: bool,
    /// Whether the server, its service and its zone are in service.
    pub(crate) in_service: bool,
    pub(crate) drain: Drain,
    /// When to request the status again; `Some` while the server is used without
    /// its status because it did not send any.
    pub(crate) status_retry_at: Option<Instant>,
    /// When the server first sent no status on a new connection, although it had
    /// sent it on earlier ones.
    pub(crate) status_silent_since: Option<Instant>,
    /// Whether the status was read, or given up on, since this host gained ownership
    /// or the quorum lease.
    pub(crate) status_known: bool,
    /// Whether the initial warm-up level has not been tested by an item yet.
    pub(crate) level_untested: bool,
    /// When the hint arrived that gave the initial level; `None` without a hint.
    pub(crate) hinted_at: Option<Instant>,
    /// Number of slots that the server itself reports; 0 if it reports none.
    pub(crate) reported_slots: u32,
    pub(crate) warmup: Warmup,
    pub(crate) external: ExternalLoad,
    pub(crate) queue: FairQueue,
    pub(crate) running: Vec<Running>,
    pub(crate) pool: Pool,
    pub(crate) connect_failures: u32,
    pub(crate) reconnect_at: Instant,
    pub(crate) next_probe: Instant,
    pub(crate) last_probe: Instant,
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
            max_connections: spec.connections,
            connect_time: spec.connect_time,
            owned: true,
            in_service: true,
            drain: Drain::default(),
            status_retry_at: None,
            status_silent_since: None,
            status_known: false,
            level_untested: true,
            hinted_at: None,
            reported_slots: 0,
            warmup: Warmup::new(level.min(spec.slots)),
            external: ExternalLoad::default(),
            queue: FairQueue::new(queue),
            running: Vec::new(),
            pool: Pool::default(),
            connect_failures: 0,
            reconnect_at: now,
            next_probe: now,
            last_probe: now,
        }
    }

    /// Number of own items that may run at once, given the external load. A trial
    /// allows one even if no slot seems free.
    pub(crate) fn limit(&self) -> usize {
        let slots =
            if self.reported_slots > 0 { self.slots.min(self.reported_slots) } else { self.slots };
        let limit = slots.min(self.warmup.level()).saturating_sub(self.external.count());
        if self.external.in_trial() { limit.max(slots.min(1)) as usize } else { limit as usize }
    }

    /// Number of items that may be started now.
    pub(crate) fn room(&self) -> usize {
        self.limit().saturating_sub(self.running.len())
    }

    /// Whether the first status after a gain of ownership shows a cold server: one
    /// that started after the hint arrived or, without a hint, only recently.
    pub(crate) fn is_cold_start(&self, report: &LoadReport) -> bool {
        let cold = match self.hinted_at {
            Some(at) => report.sent_at.checked_sub(report.uptime).is_some_and(|start| start > at),
            None => report.uptime < MIN_WARM_UPTIME,
        };
        !self.status_known && self.level_untested && cold
    }

    /// Why the server must not get new work, apart from a missing quorum lease;
    /// `None` if it may.
    pub(crate) fn refusal(&self) -> Option<Refusal> {
        if !self.owned {
            Some(Refusal::NotOwner)
        } else if !self.in_service {
            Some(Refusal::OutOfService)
        } else if self.drain.is_draining() {
            Some(Refusal::Draining)
        } else {
            None
        }
    }

    /// Refusal of an item for lack of slots, with a retry hint.
    pub(crate) fn overload_refusal(&self) -> Refused {
        let cold = self.warmup.level() < self.slots;
        let reason = if cold { Refusal::Cold } else { Refusal::Busy };
        let retry = self.expected_wait().clamp(MIN_RETRY_HINT, MAX_RETRY_HINT);
        Refused { reason, retry_after: Some(retry) }
    }

    /// Estimated time until an item that is queued now would start.
    pub(crate) fn expected_wait(&self) -> Duration {
        let median = self.warmup.median_latency().unwrap_or(DEFAULT_LATENCY);
        let waiting = (self.queue.len() + self.running.len()) as u32;
        median * waiting / self.limit().max(1) as u32
    }

    /// Running time from which on an item counts as stalled.
    pub(crate) fn stall_timeout(&self) -> Duration {
        (self.warmup.median_latency().unwrap_or(DEFAULT_LATENCY) * STALL_FACTOR)
            .max(MIN_STALL_TIMEOUT)
    }

    /// When the stalled item that was started last began. Connections without a
    /// reply since then may have stalled, too.
    pub(crate) fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let stall_timeout = self.stall_timeout();
        let stalled = self.running.iter().map(|r| r.started).filter(|s| *s + stall_timeout < now);
        stalled.max()
    }

    /// Applies what depends on the time alone: the end of a drain, a trial, and
    /// earlier status requests while stalled items leave no slot free.
    pub(crate) fn tick(&mut self, now: Instant) {
        self.drain.tick(now);
        let blocked = self.running.is_empty() && self.limit() == 0;
        self.external.tick(blocked, now);
        if self.room() == 0 && self.stalled_since(now).is_some() {
            self.next_probe = self.next_probe.min(self.last_probe + STALL_PROBE_INTERVAL);
        }
    }

    /// Applies a load report; returns whether the server restarted.
    pub(crate) fn observe(&mut self, report: &LoadReport, now: Instant) -> bool {
        self.reported_slots = report.slots;
        if self.warmup.record_uptime(report, now) {
            self.drain = Drain::default();
            self.external = ExternalLoad::default();
            return true;
        }
        let started: Vec<Instant> = self.running.iter().map(|r| r.started).collect();
        self.external.observe(report, &started, now);
        false
    }

    /// Removes a running item that ended; returns when it was started, or `None` if
    /// it is not running.
    pub(crate) fn complete(&mut self, work: WorkKey, now: Instant) -> Option<Instant> {
        let at = self.running.iter().position(|r| r.work == work)?;
        let started = self.running.swap_remove(at).started;
        self.external.record_completed(started, now);
        Some(started)
    }

    /// Removes a running item that the server may still run, so that it counts as
    /// external load; makes a status request due. Returns as
    /// [`Server::complete`] does.
    pub(crate) fn abandon(&mut self, work: WorkKey, now: Instant) -> Option<Instant> {
        let at = self.running.iter().position(|r| r.work == work)?;
        self.external.add_abandoned(now);
        self.next_probe = now;
        Some(self.running.swap_remove(at).started)
    }
}
