//! State of one simulated backend server and its decisions; no I/O.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::index::HeldVersion;
use chervil_base::shards::Shard;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;

use crate::faults::Faults;
use crate::stats::ServerStats;
use crate::work::Limits;
use crate::work::Load;
use crate::work::Plan;
use crate::work::Refused;
use crate::work::Start;
use crate::work::Status;
use crate::work::Work;

/// Time after which a marked server should get no more work.
const OUT_GRACE: Duration = Duration::from_secs(3);

/// One simulated backend server.
#[derive(Debug)]
pub struct Model {
    limits: Limits,
    /// Behavior, which may change at any time.
    pub faults: Faults,
    versions: Vec<HeldVersion>,
    frozen: Vec<HeldVersion>,
    rng: StdRng,
    started: Instant,
    incarnation: u64,
    running: u32,
    waiting: u32,
    connections: u32,
    /// Requests that the cold server bears; `None` when it is warm.
    cold: Option<u32>,
    good: u32,
    out: Option<Instant>,
    key_runs: HashMap<Box<str>, u32>,
    stats: ServerStats,
}

impl Model {
    /// A server that started at `now`.
    pub fn new(limits: Limits, faults: Faults, seed: u64, now: Instant) -> Model {
        Model {
            limits,
            faults,
            versions: Vec::new(),
            frozen: Vec::new(),
            rng: StdRng::seed_from_u64(seed),
            started: now,
            incarnation: 0,
            running: 0,
            waiting: 0,
            connections: 0,
            cold: None,
            good: 0,
            out: None,
            key_runs: HashMap::default(),
            stats: ServerStats::default(),
        }
    }

    /// Limits that do not change.
    pub fn limits(&self) -> &Limits {
        &self.limits
    }

    /// Makes the server cold, without any other sign of it.
    pub fn chill(&mut self) {
        self.cold = Some(self.faults.cold_limit);
        self.good = 0;
    }

    /// Makes the server warm.
    pub fn warm(&mut self) {
        self.cold = None;
    }

    /// Restarts the server: nothing runs and it is cold.
    pub fn restart(&mut self, now: Instant) {
        self.incarnation += 1;
        self.running = 0;
        self.waiting = 0;
        self.started = now;
        self.chill();
    }

    /// Publishes a version, in place of one of the same number.
    pub fn publish(&mut self, version: HeldVersion) {
        self.frozen = self.versions.clone();
        self.versions.retain(|v| v.version != version.version);
        self.versions.push(version);
        self.versions.sort_by_key(|v| v.version);
    }

    /// Retires a version.
    pub fn retire(&mut self, version: u64) {
        self.frozen = self.versions.clone();
        self.versions.retain(|v| v.version != version);
    }

    /// Marks the server as out, or back in, for the counters only.
    pub fn mark_out(&mut self, out: bool, now: Instant) {
        self.out = out.then_some(now);
    }

    /// Admits a connection unless the limit is reached.
    pub fn open(&mut self) -> bool {
        if self.connections >= self.limits.connections {
            self.stats.over_connections += 1;
            return false;
        }
        self.connections += 1;
        self.stats.opened += 1;
        self.stats.peak_connections = self.stats.peak_connections.max(self.connections);
        true
    }

    /// Notes the end of a connection.
    pub fn close(&mut self) {
        self.connections = self.connections.saturating_sub(1);
    }

    /// Decides on a request that has just arrived.
    pub fn start(&mut self, work: Work<'_>, body: &[u8], now: Instant) -> Start {
        self.count_arrival(work, now);
        if self.faults.draining {
            self.stats.draining += 1;
            return Start::Refuse(Refused::Draining);
        }
        if let Work::Ask { version, shard } = work
            && !self.holds(version, shard)
        {
            self.stats.wrong_version += 1;
            return Start::WrongVersion;
        }
        if let Some(refused) = self.exceeds() {
            return refused;
        }
        if let Work::Run { key } = work {
            let runs = self.key_runs.entry(key.into()).or_insert(0);
            *runs += 1;
            self.stats.peak_key_runs = self.stats.peak_key_runs.max(*runs);
        }
        if self.is_marked(body) {
            self.stats.crashes += 1;
            return Start::Crash(Duration::from_millis(self.faults.restart_ms));
        }
        self.running += 1;
        Start::Run(self.plan())
    }

    /// Decides on a waiting request of this start of the server once more.
    pub fn resume(&mut self, incarnation: u64) -> Start {
        if incarnation == self.incarnation && self.running >= self.limits.slots {
            return Start::Wait;
        }
        self.leave(incarnation);
        self.running += 1;
        Start::Run(self.plan())
    }

    /// Notes that a request no longer waits.
    pub fn leave(&mut self, incarnation: u64) {
        if incarnation == self.incarnation {
            self.waiting = self.waiting.saturating_sub(1);
        }
    }

    /// Number of the server's start.
    pub fn incarnation(&self) -> u64 {
        self.incarnation
    }

    /// Notes that a request ran to its end.
    pub fn finish(&mut self, plan: &Plan) {
        if plan.incarnation != self.incarnation {
            return;
        }
        self.running = self.running.saturating_sub(1);
        self.stats.served += 1;
        self.stats.partial += u64::from(plan.partial);
        self.good += 1;
        if let Some(level) = self.cold
            && self.good >= self.faults.warm_after
        {
            self.good = 0;
            let level = level.max(1) * 2;
            self.cold = (level < self.limits.slots).then_some(level);
        }
    }

    /// Notes that the caller of a running request went away.
    pub fn cancel(&mut self, plan: &Plan) {
        if plan.incarnation == self.incarnation {
            self.running = self.running.saturating_sub(1);
            self.stats.cancelled += 1;
        }
    }

    /// Load that replies claim.
    pub fn load(&self) -> Load {
        let running = self.faults.reply_running.unwrap_or(self.running);
        Load { running, slots: self.limits.slots }
    }

    /// Time since the start, in milliseconds.
    pub fn uptime_ms(&self, now: Instant) -> u64 {
        now.saturating_duration_since(self.started).as_millis() as u64
    }

    /// Versions that the server holds.
    pub fn versions(&self) -> &[HeldVersion] {
        &self.versions
    }

    /// Reply to a status request; it misleads when the faults say so.
    pub fn status(&mut self, now: Instant) -> Status {
        self.stats.statuses += 1;
        let versions = if self.faults.status_frozen { &self.frozen } else { &self.versions };
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

    /// Runs of each idempotency key.
    pub fn key_runs(&self) -> &HashMap<Box<str>, u32> {
        &self.key_runs
    }

    /// Sets the counters to zero.
    pub fn reset_stats(&mut self) {
        self.stats = ServerStats::default();
        self.key_runs.clear();
    }

    fn holds(&self, version: u64, shard: Shard) -> bool {
        self.versions.iter().any(|v| v.version == version && v.held.contains(shard))
    }

    fn count_arrival(&mut self, work: Work<'_>, now: Instant) {
        match work {
            Work::Ask { .. } => self.stats.asks += 1,
            Work::Run { .. } => self.stats.runs += 1,
        }
        if let Some(out) = self.out {
            let age = now.saturating_duration_since(out);
            self.stats.after_out += 1;
            self.stats.after_out_late += u64::from(age > OUT_GRACE);
            self.stats.last_after_out_ms = age.as_millis() as u64;
        }
    }

    /// Refuses a request beyond the slots or beyond what the cold server bears.
    fn exceeds(&mut self) -> Option<Start> {
        let arrived = self.running + self.waiting + 1;
        self.stats.peak_running = self.stats.peak_running.max(arrived);
        if self.running >= self.limits.slots {
            self.stats.over_slots += 1;
            if self.waiting < self.faults.queue {
                self.waiting += 1;
                return Some(Start::Wait);
            }
            self.stats.busy += 1;
            return Some(Start::Refuse(Refused::Busy));
        }
        if self.cold.is_none_or(|level| self.running < level) {
            return None;
        }
        if self.faults.cold_refuses {
            self.stats.cold += 1;
            return Some(Start::Refuse(Refused::Cold));
        }
        self.stats.falls += 1;
        Some(Start::Fall(Duration::from_millis(self.faults.fall_ms)))
    }

    fn is_marked(&self, body: &[u8]) -> bool {
        let marker = self.faults.crash_marker.as_deref().filter(|m| !m.is_empty());
        marker.is_some_and(|m| body.windows(m.len()).any(|w| w == m.as_bytes()))
    }

    fn plan(&mut self) -> Plan {
        let factor = if self.cold.is_some() { self.faults.cold_factor } else { 1.0 };
        let jitter = self.rng.random_range(0.0..=self.faults.jitter_ms.max(0.0));
        let mut ms = (self.faults.base_ms.max(0.0) + jitter) * factor;
        if self.draw(self.faults.slow_share) {
            ms += self.faults.slow_ms;
            self.stats.delayed += 1;
        }
        Plan {
            time: Duration::from_secs_f64(ms / 1_000.0),
            partial: self.draw(self.faults.partial_share),
            reset: self.draw(self.faults.reset_share),
            incarnation: self.incarnation,
        }
    }

    fn draw(&mut self, share: f64) -> bool {
        share > 0.0 && self.rng.random_bool(share.min(1.0))
    }
}
