//! Canary permits: a request that crashes the backend servers that run it is
//! sent to at most two of them.
//!
//! Each request digest has a home host. Before an entry sends a request whose
//! digest has not succeeded recently, it asks the home host for a permit to
//! probe one backend server. The home host counts the lost probes across all
//! entries and all resends of the request, and refuses the request as suspect
//! after [`MAX_LOSSES`] of them.

use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::digest::Digest;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;

/// Maximum number of backend servers that one request may crash.
pub const MAX_LOSSES: usize = 2;

/// How long a digest is kept after its last change.
pub const RETENTION: Duration = Duration::from_secs(600);

/// Time after which a probe without a report counts as lost: the entry that sent
/// it may have crashed together with the backend server.
pub const PROBE_TIMEOUT: Duration = Duration::from_secs(10);

/// Suggested wait before the next permit request while all permits are in use.
pub const RETRY_INTERVAL: Duration = Duration::from_millis(5);

/// Default maximum number of digests.
pub const DEFAULT_CAPACITY: usize = 65_536;

/// Number of oldest records searched for one without losses or open probes when
/// one has to be evicted.
const EVICTION_SCAN: usize = 64;

/// Permits and losses of the request digests of a home host.
#[derive(Debug)]
pub struct CanaryPermits {
    capacity: usize,
    records: HashMap<Digest, Record>,
    /// Digests in the order of insertion, the oldest first.
    order: VecDeque<Digest>,
}

#[derive(Debug)]
struct Record {
    state: State,
    changed_at: Instant,
}

#[derive(Debug)]
enum State {
    /// No success since the last loss: `losses` counts the lost probes, `probes`
    /// holds the running ones.
    Unproven { losses: usize, probes: Vec<Probe> },
    /// A backend server has replied since the last loss; needs no permits.
    Proven,
}

#[derive(Debug)]
struct Probe {
    nonce: u64,
    granted_at: Instant,
}

impl Default for CanaryPermits {
    fn default() -> CanaryPermits {
        CanaryPermits::new(DEFAULT_CAPACITY)
    }
}

impl CanaryPermits {
    /// Creates an empty set that holds at most `capacity` digests.
    pub fn new(capacity: usize) -> CanaryPermits {
        CanaryPermits { capacity, records: HashMap::default(), order: VecDeque::new() }
    }

    /// Number of digests held.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Whether no digest is held.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }

    /// Decides whether a request may be probed on a backend server.
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
            // A repeated request, because the first reply was lost: it gets the
            // same permit.
            return CanaryReply::Probe;
        }
        if *losses + probes.len() >= MAX_LOSSES {
            return CanaryReply::Wait { retry_ms: RETRY_INTERVAL.as_millis() as u32 };
        }
        probes.push(Probe { nonce: request.nonce, granted_at: now });
        record.changed_at = now;
        CanaryReply::Probe
    }

    /// Records the result of a probe, or of a later attempt of the same request.
    pub fn report(&mut self, report: &CanaryReport, now: Instant) {
        let record = self.record(report.digest, now);
        record.expire_probes(now);
        record.changed_at = now;
        match report.result {
            CanaryResult::Good => record.record_success(),
            CanaryResult::Lost => record.record_loss(report.nonce),
            CanaryResult::NotRun => record.remove_probe(report.nonce),
        }
    }

    /// Removes the digests that have not changed for [`RETENTION`].
    pub fn sweep(&mut self, now: Instant) {
        let records = &mut self.records;
        records.retain(|_, r| now.duration_since(r.changed_at) < RETENTION);
        self.order.retain(|d| records.contains_key(d));
    }

    /// Record of a digest; creates a new one if there is none or it has expired.
    fn record(&mut self, digest: Digest, now: Instant) -> &mut Record {
        let expired = |r: &Record| now.duration_since(r.changed_at) >= RETENTION && !r.has_probes();
        if self.records.get(&digest).is_some_and(expired) {
            self.records.remove(&digest);
            self.order.retain(|d| *d != digest);
        }
        if !self.records.contains_key(&digest) {
            self.evict_if_full();
            self.order.push_back(digest);
        }
        self.records.entry(digest).or_insert_with(|| Record::new(now))
    }

    /// Evicts one record if the capacity is reached: the first evictable one of
    /// the [`EVICTION_SCAN`] oldest, or the oldest if there is none. A flood of
    /// new requests therefore does not clear a suspect request.
    fn evict_if_full(&mut self) {
        if self.records.len() < self.capacity {
            return;
        }
        let evictable = |d: &Digest| self.records.get(d).is_none_or(Record::is_evictable);
        let at = self.order.iter().take(EVICTION_SCAN).position(evictable).unwrap_or(0);
        if let Some(digest) = self.order.remove(at) {
            self.records.remove(&digest);
        }
    }
}

impl Record {
    fn new(now: Instant) -> Record {
        Record { state: State::Unproven { losses: 0, probes: Vec::new() }, changed_at: now }
    }

    fn has_probes(&self) -> bool {
        matches!(&self.state, State::Unproven { probes, .. } if !probes.is_empty())
    }

    /// Whether the record has neither losses nor running probes.
    fn is_evictable(&self) -> bool {
        match &self.state {
            State::Unproven { losses, probes } => *losses == 0 && probes.is_empty(),
            State::Proven => true,
        }
    }

    /// Counts the probes without a report within [`PROBE_TIMEOUT`] as lost.
    fn expire_probes(&mut self, now: Instant) {
        if let State::Unproven { losses, probes } = &mut self.state {
            let before = probes.len();
            probes.retain(|p| now.duration_since(p.granted_at) < PROBE_TIMEOUT);
            let expired = before - probes.len();
            if expired > 0 {
                *losses += expired;
                self.changed_at = now;
            }
        }
    }

    /// Marks the request as proven, unless it is suspect: a late reply to an
    /// earlier probe does not outweigh two losses.
    fn record_success(&mut self) {
        if !matches!(self.state, State::Unproven { losses, .. } if losses >= MAX_LOSSES) {
            self.state = State::Proven;
        }
    }

    fn record_loss(&mut self, nonce: u64) {
        match &mut self.state {
            State::Proven => self.state = State::Unproven { losses: 1, probes: Vec::new() },
            State::Unproven { losses, probes } => {
                probes.retain(|p| p.nonce != nonce);
                *losses += 1;
            }
        }
    }

    /// Returns the permit of a probe that was not run.
    fn remove_probe(&mut self, nonce: u64) {
        if let State::Unproven { probes, .. } = &mut self.state {
            probes.retain(|p| p.nonce != nonce);
        }
    }
}
