//! State machine of one simulated backend server: admission, limits, warm-up
//! and counters. Does no I/O.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::index::HeldVersion;
use chervil_base::shards::Shard;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::faults::Faults;
use crate::request::Decision;
use crate::request::Execution;
use crate::request::Limits;
use crate::request::Load;
use crate::request::RefusalReason;
use crate::request::RequestKind;
use crate::request::Status;
use crate::stats::ServerStats;

/// How long requests may still arrive after a server was taken out of service;
/// later ones count as `after_out_late`.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// State of one simulated backend server.
#[derive(Debug)]
pub struct Model {
    limits: Limits,
    /// Service times and injected faults; may be changed at any time.
    pub faults: Faults,
    versions: Vec<HeldVersion>,
    /// Versions before the last publish or retire, for `status_frozen`.
    previous_versions: Vec<HeldVersion>,
    rng: StdRng,
    started: Instant,
    /// Number of restarts; requests admitted before the last one are ignored
    /// when they end.
    incarnation: u64,
    running: u32,
    queued: u32,
    connections: u32,
    /// Concurrent requests that the server handles while cold; `None` when warm.
    cold_limit: Option<u32>,
    /// Requests served since `cold_limit` last changed.
    served_at_limit: u32,
    /// When the server was marked as out of service.
    out_since: Option<Instant>,
    /// Executions by idempotency key since the last reset.
    key_runs: HashMap<Box<str>, u32>,
    stats: ServerStats,
}

impl Model {
    /// A warm server without versions that started at `now`. Service times and
    /// random faults are drawn from `seed`.
    pub fn new(limits: Limits, faults: Faults, seed: u64, now: Instant) -> Model {
        Model {
            limits,
            faults,
            versions: Vec::new(),
            previous_versions: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            started: now,
            incarnation: 0,
            running: 0,
            queued: 0,
            connections: 0,
            cold_limit: None,
            served_at_limit: 0,
            out_since: None,
            key_runs: HashMap::default(),
            stats: ServerStats::default(),
        }
    }

    /// Fixed limits.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Makes the server cold. Nothing it reports shows that.
    pub fn make_cold(&mut self) {
        self.cold_limit = Some(self.faults.cold_limit);
        self.served_at_limit = 0;
    }

    /// Ends a cold start.
    pub fn make_warm(&mut self) {
        self.cold_limit = None;
    }

    /// Restarts the server: it is cold, and its running and queued requests are
    /// forgotten.
    pub fn restart(&mut self, now: Instant) {
        self.incarnation += 1;
        self.running = 0;
        self.queued = 0;
        self.started = now;
        self.make_cold();
    }

    /// Adds an index version or replaces the one with the same number.
    pub fn publish(&mut self, version: HeldVersion) {
        self.previous_versions = self.versions.clone();
        self.versions.retain(|v| v.version != version.version);
        self.versions.push(version);
        self.versions.sort_by_key(|v| v.version);
    }

    /// Removes an index version.
    pub fn retire(&mut self, version: u64) {
        self.previous_versions = self.versions.clone();
        self.versions.retain(|v| v.version != version);
    }

    /// Marks the server as out of service or back in service. Only the
    /// `after_out` counters depend on it.
    pub fn set_out_of_service(&mut self, out: bool, now: Instant) {
        self.out_since = out.then_some(now);
    }

    /// Counts a new connection; returns `false` if the connection limit is
    /// reached.
    pub fn open_connection(&mut self) -> bool {
        if self.connections >= self.limits.connections {
            self.stats.over_connections += 1;
            return false;
        }
        self.connections += 1;
        self.stats.opened += 1;
        self.stats.peak_connections = self.stats.peak_connections.max(self.connections);
        true
    }

    /// Counts the end of a connection that [`Model::open_connection`] accepted.
    pub fn close_connection(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Decides about a new request.
    pub fn admit(&mut self, kind: RequestKind<'_>, body: &[u8], now: Instant) -> Decision {
        self.count_arrival(kind, now);
        if self.faults.draining {
            self.stats.draining += 1;
            return Decision::Refuse(RefusalReason::Draining);
        }
        if let RequestKind::Ask { version, shard } = kind
            && !self.holds_shard(version, shard)
        {
            self.stats.wrong_version += 1;
            return Decision::WrongVersion;
        }
        if let Some(decision) = self.check_limits() {
            return decision;
        }
        if let RequestKind::Run { key } = kind {
            let runs = self.key_runs.entry(key.into()).or_insert(0);
            *runs += 1;
            self.stats.peak_key_runs = self.stats.peak_key_runs.max(*runs);
        }
        if self.has_crash_marker(body) {
            self.stats.crashes += 1;
            return Decision::Crash(Duration::from_millis(self.faults.restart_ms));
        }
        self.running += 1;
        Decision::Run(self.draw_execution())
    }

    /// Decides again about a request that was queued in `incarnation`.
    pub fn retry_queued(&mut self, incarnation: u64) -> Decision {
        if incarnation == self.incarnation && self.running >= self.limits.slots {
            return Decision::Queue;
        }
        self.leave_queue(incarnation);
        self.running += 1;
        Decision::Run(self.draw_execution())
    }

    /// Removes a request from the queue that was queued in `incarnation`.
    pub fn leave_queue(&mut self, incarnation: u64) {
        if incarnation == self.incarnation {
            self.queued = self.queued.saturating_sub(1);
        }
    }

    /// Number of restarts so far.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Counts a request as served and frees its slot. Every `warm_after` served
    /// requests double the limit of a cold server until it reaches the slots.
    pub fn finish(&mut self, execution: &Execution) {
        if execution.incarnation != self.incarnation {
            return;
        }
        self.running = self.running.saturating_sub(1);
        self.stats.served += 1;
        self.stats.partial += u64::from(execution.partial);
        self.served_at_limit += 1;
        if let Some(limit) = self.cold_limit
            && self.served_at_limit >= self.faults.warm_after
        {
            self.served_at_limit = 0;
            let limit = limit.max(1) * 2;
            self.cold_limit = (limit < self.limits.slots).then_some(limit);
        }
    }

    /// Frees the slot of a request whose caller closed the connection.
    pub fn cancel(&mut self, execution: &Execution) {
        if execution.incarnation == self.incarnation {
            self.running = self.running.saturating_sub(1);
            self.stats.cancelled += 1;
        }
    }

    /// Load reported in responses; false if `reply_running` is set.
    pub fn load(&self) -> Load {
        let running = self.faults.reply_running.unwrap_or(self.running);
        Load { running, slots: self.limits.slots }
    }

    /// Time since the last start, in milliseconds.
    pub fn uptime_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Held index versions in ascending order.
    pub fn versions(&self) -> &[HeldVersion] {
        &self.versions
    }

    /// Response to a status request, falsified as the faults demand.
    pub fn status(&mut self, now: Instant) -> Status {
        self.stats.statuses += 1;
        let versions =
            if self.faults.status_frozen { &self.previous_versions } else { &self.versions };
        let running = self.faults.status_running.unwrap_or(self.running);
        Status {
            versions: versions.clone(),
            load: Load { running, slots: self.limits.slots },
            draining: self.faults.draining && !self.faults.hide_draining,
            uptime_ms: self.uptime_ms(now),
        }
    }

    /// Counters since the last reset.
    pub fn stats(&self) -> ServerStats {
        ServerStats {
            slots: self.limits.slots,
            running: self.running,
            connections: self.connections,
            peak_over_slots: self.stats.peak_running.saturating_sub(self.limits.slots),
            ..self.stats.clone()
        }
    }

    /// Executions by idempotency key since the last reset.
    pub fn key_runs(&self) -> &HashMap<Box<str>, u32> {
        &self.key_runs
    }

    /// Resets the counters and forgets the idempotency keys.
    pub fn reset_stats(&mut self) {
        self.stats = ServerStats::default();
        self.key_runs.clear();
    }

    fn holds_shard(&self, version: u64, shard: Shard) -> bool {
        self.versions.iter().any(|v| v.version == version && v.held.contains(shard))
    }

    fn count_arrival(&mut self, kind: RequestKind<'_>, now: Instant) {
        match kind {
            RequestKind::Ask { .. } => self.stats.asks += 1,
            RequestKind::Run { .. } => self.stats.runs += 1,
        }
        if let Some(since) = self.out_since {
            let age = now.saturating_duration_since(since);
            self.stats.after_out += 1;
            self.stats.after_out_late += u64::from(age > OUT_GRACE);
            self.stats.last_after_out_ms = age.as_millis() as u64;
        }
    }

    /// Returns the decision about a request that exceeds the slots or the limit
    /// of the cold server, and `None` if it exceeds neither.
    fn check_limits(&mut self) -> Option<Decision> {
        let arrived = self.running + self.queued + 1;
        self.stats.peak_running = self.stats.peak_running.max(arrived);
        if self.running >= self.limits.slots {
            self.stats.over_slots += 1;
            if self.queued < self.faults.queue {
                self.queued += 1;
                return Some(Decision::Queue);
            }
            self.stats.busy += 1;
            return Some(Decision::Refuse(RefusalReason::Busy));
        }
        if self.cold_limit.is_none_or(|limit| self.running < limit) {
            return None;
        }
        if self.faults.cold_refuses {
            self.stats.cold += 1;
            return Some(Decision::Refuse(RefusalReason::Cold));
        }
        self.stats.falls += 1;
        Some(Decision::Overload(Duration::from_millis(self.faults.fall_ms)))
    }

    fn has_crash_marker(&self, body: &[u8]) -> bool {
        let marker = self.faults.crash_marker.as_deref().filter(|m| !m.is_empty());
        marker.is_some_and(|m| body.windows(m.len()).any(|w| w == m.as_bytes()))
    }

    /// Draws service time and faults from the seeded generator. The order of the
    /// draws decides which values a seed gives.
    fn draw_execution(&mut self) -> Execution {
        let factor = if self.cold_limit.is_some() { self.faults.cold_factor } else { 1.0 };
        let jitter = self.rng.random_range(0.0..=self.faults.jitter_ms.max(0.0));
        let mut ms = (self.faults.base_ms.max(0.0) + jitter) * factor;
        if self.draw(self.faults.slow_share) {
            ms += self.faults.slow_ms;
            self.stats.delayed += 1;
        }
        Execution {
            service_time: Duration::from_secs_f64(ms / 1_000.0),
            partial: self.draw(self.faults.partial_share),
            reset: self.draw(self.faults.reset_share),
            incarnation: self.incarnation,
        }
    }

    /// Returns `true` with probability `share`. A share of 0 uses no random
    /// number.
    fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}
