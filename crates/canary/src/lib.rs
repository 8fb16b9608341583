//! Canary permits: keeps a request that crashes backend servers from being
//! sent to more than two of them.
//!
//! Each digest has a home host. Before an entry sends a request whose digest
//! it has not seen succeed, it asks the home for a permit to probe one backend
//! server. The home counts the probes that were lost, over all hosts and all
//! resends of the request.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::digest::Digest;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;

/// Backend servers that may be lost to one request.
pub const MAX_LOSSES: usize = 2;

/// How long a digest is remembered after its last event.
pub const RETENTION: Duration = Duration::from_secs(600);

/// A probe without a report for this long counts as lost: the entry that sent
/// it may have died, and the backend server with it.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// When to ask again while others probe.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Default number of digests that are remembered.
pub const DEFAULT_CAPACITY: usize = 65_536;

/// Records that are examined to find one that may be evicted.
const EVICTION_SCAN: usize = 64;

/// What a home host knows of the requests that are new or lost their server.
#[derive(Debug)]
pub struct CanaryPermits {
    capacity: usize,
    records: HashMap<Digest, Record>,
    order: VecDeque<Digest>,
}

#[derive(Debug)]
struct Record {
    state: State,
    changed: Instant,
}

#[derive(Debug)]
enum State {
    /// Some probes were lost, others may be running.
    Unproven { losses: usize, probes: Vec<Probe> },
    /// A backend server has replied since the last loss.
    Good,
}

#[derive(Debug)]
struct Probe {
    nonce: u64,
    since: Instant,
}

impl Default for CanaryPermits {
    fn default() -> CanaryPermits {
        CanaryPermits::new(DEFAULT_CAPACITY)
    }
}

impl CanaryPermits {
    /// Remembers at most `capacity` digests.
    pub fn new(capacity: usize) -> CanaryPermits {
        CanaryPermits { capacity, records: HashMap::default(), order: VecDeque::new() }
    }

    /// Number of remembered digests.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no digest is remembered.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides whether a request may be sent.
    pub fn request_permit(&mut self, request: &CanaryRequest, now: Instant) -> CanaryReply {
        let record = self.record(request.digest, now);
        record.expire_probes(now);
        let State::Unproven { losses, probes } = &mut record.state else {
            return CanaryReply::Known;
        };
        if *losses >= MAX_LOSSES {
            return CanaryReply::Suspect;
        }
        if probes.iter().any(|p| p.nonce == request.nonce) {
            // The reply to the first ask was lost; the permit is the same.
            return CanaryReply::Probe;
        }
        if *losses + probes.len() >= MAX_LOSSES {
            return CanaryReply::Wait { retry_ms: RETRY_INTERVAL.as_millis() as u32 };
        }
        probes.push(Probe { nonce: request.nonce, since: now });
        record.changed = now;
        CanaryReply::Probe
    }

    /// Takes the result of a probe, or of a later attempt of the same request.
    pub fn report(&mut self, report: &CanaryReport, now: Instant) {
        let record = self.record(report.digest, now);
        record.expire_probes(now);
        record.changed = now;
        match report.result {
            CanaryResult::Good => record.succeed(),
            CanaryResult::Lost => record.lose(report.nonce),
            CanaryResult::NotRun => record.forget_probe(report.nonce),
        }
    }

    /// Removes digests that have not changed for the retention time.
    pub fn sweep(&mut self, now: Instant) {
        let records = &mut self.records;
        records.retain(|_, r| now.duration_since(r.changed) < RETENTION);
        self.order.retain(|d| records.contains_key(d));
    }

    fn record(&mut self, digest: Digest, now: Instant) -> &mut Record {
        let expired = |r: &Record| now.duration_since(r.changed) >= RETENTION && !r.has_probes();
        if self.records.get(&digest).is_some_and(expired) {
            self.records.remove(&digest);
            self.order.retain(|d| *d != digest);
        }
        if !self.records.contains_key(&digest) {
            self.make_room();
            self.order.push_back(digest);
        }
        self.records.entry(digest).or_insert_with(|| Record::new(now))
    }

    /// Evicts the oldest record; one with losses only when none of the oldest
    /// is without, so that a flood of new requests does not clear a suspect.
    fn make_room(&mut self) {
        if self.records.len() < self.capacity {
            return;
        }
        let harmless = |d: &Digest| self.records.get(d).is_none_or(Record::is_harmless);
        let at = self.order.iter().take(EVICTION_SCAN).position(harmless).unwrap_or(0);
        if let Some(digest) = self.order.remove(at) {
            self.records.remove(&digest);
        }
    }
}

impl Record {
    fn new(now: Instant) -> Record {
        Record { state: State::Unproven { losses: 0, probes: Vec::new() }, changed: now }
    }

    fn has_probes(&self) -> bool {
        matches!(&self.state, State::Unproven { probes, .. } if !probes.is_empty())
    }

    fn is_harmless(&self) -> bool {
        match &self.state {
            State::Unproven { losses, probes } => *losses == 0 && probes.is_empty(),
            State::Good => true,
        }
    }

    fn expire_probes(&mut self, now: Instant) {
        if let State::Unproven { losses, probes } = &mut self.state {
            let before = probes.len();
            probes.retain(|p| now.duration_since(p.since) < PROBE_TIMEOUT);
            let expired = before - probes.len();
            if expired > 0 {
                *losses += expired;
                self.changed = now;
            }
        }
    }

    /// A request that was refused as suspect stays so: a late reply to an
    /// earlier probe does not outweigh two losses.
    fn succeed(&mut self) {
        if !matches!(self.state, State::Unproven { losses, .. } if losses >= MAX_LOSSES) {
            self.state = State::Good;
        }
    }

    fn lose(&mut self, nonce: u64) {
        match &mut self.state {
            State::Good => self.state = State::Unproven { losses: 1, probes: Vec::new() },
            State::Unproven { losses, probes } => {
                probes.retain(|p| p.nonce != nonce);
                *losses += 1;
            }
        }
    }

    fn forget_probe(&mut self, nonce: u64) {
        if let State::Unproven { probes, .. } = &mut self.state {
            probes.retain(|p| p.nonce != nonce);
        }
    }
}
