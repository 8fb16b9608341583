//! Canary phase: a request that has not succeeded recently is first probed on a
//! single server, with a permit from the home host of its digest.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::shards::Shard;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;

use super::Action;
use super::AttemptOutcome;
use super::NotRunReason;
use super::Phase;
use super::Query;
use super::seeded_hash;
use crate::policy::Policy;
use crate::topology::ServerIdx;

/// Wait before the next permit request after the agent could not be reached.
const AGENT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// A permit and the attempt sent with it.
#[derive(Clone, Copy, Debug)]
struct Probe {
    nonce: u64,
    /// `None` until the probe is sent.
    attempt: Option<u32>,
    shard: Shard,
}

/// Canary state of a query.
#[derive(Clone, Debug, Default)]
pub(super) struct CanaryState {
    /// Nonce of the permit request that the agent has not answered.
    pending: Option<u64>,
    /// Time of the next permit request.
    request_at: Option<Instant>,
    /// Granted permits whose result has not been reported.
    probes: Vec<Probe>,
    /// Number of nonces generated.
    nonce_count: u64,
}

impl Query {
    /// Asks the agent for a permit to send one probe.
    pub(super) fn request_permit(&mut self, actions: &mut Vec<Action>) {
        self.canary.nonce_count += 1;
        let nonce = seeded_hash(
            seeded_hash(self.spec.incarnation, self.spec.query),
            self.canary.nonce_count,
        );
        self.canary.pending = Some(nonce);
        self.canary.request_at = None;
        let digest = self.spec.digest;
        actions.push(Action::RequestPermit(CanaryRequest { digest, nonce, forwarded: false }));
    }

    /// Handles the agent's reply to a permit request.
    pub(super) fn on_permit_reply(
        &mut self,
        nonce: u64,
        reply: Option<CanaryReply>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let probing = self.phase == Phase::Canary && self.canary.pending == Some(nonce);
        if !probing {
            // An unused permit is returned, so that other entries do not wait
            // for its result.
            if reply == Some(CanaryReply::Probe) {
                self.report_probe(nonce, CanaryResult::NotRun, actions);
            }
            return;
        }
        self.canary.pending = None;
        match reply {
            Some(CanaryReply::Known) => {
                policy.recent.insert(self.spec.digest, now);
                self.schedule_all(policy, now);
            }
            Some(CanaryReply::Probe) => {
                self.canary.probes.push(Probe { nonce, attempt: None, shard: 0 });
                self.send_probe(self.canary.probes.len() - 1, policy, now, actions);
            }
            Some(CanaryReply::Wait { retry_ms }) => {
                self.request_permit_at(now + Duration::from_millis(retry_ms.max(1).into()));
            }
            Some(CanaryReply::Suspect) => {
                self.finish_not_run(NotRunReason::Suspect, policy, now, actions)
            }
            None => self.request_permit_at(now + AGENT_RETRY_DELAY),
        }
    }

    /// Sends the probes that have a permit and requests a permit if one is due.
    pub(super) fn send_due_probes(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.adopt_latest(policy, now);
        for at in 0..self.canary.probes.len() {
            if self.canary.probes[at].attempt.is_none() {
                self.send_probe(at, policy, now, actions);
            }
        }
        self.timer = self.finish_at;
        match self.canary.request_at {
            Some(at) if at <= now && self.canary.pending.is_none() => self.request_permit(actions),
            Some(at) if at > now => self.timer = at,
            _ => {}
        }
    }

    /// Sends a probe for the first shard with a suitable replica, in a
    /// pseudo-random rotation of the shards.
    fn send_probe(
        &mut self,
        at: usize,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let count = self.shards.len() as Shard;
        let start = seeded_hash(self.spec.seed, self.spec.query) as Shard % count.max(1);
        let sole = self.sole_replicas();
        let order = (0..count).map(|i| (start + i) % count);
        let mut choices = order.filter_map(|s| self.choose(s, policy));
        let mut first = None;
        // The probe may crash its server, so prefer one that is not the only
        // replica of a shard.
        let spare = choices.find(|c| {
            first.get_or_insert(*c);
            !sole.contains(&c.server)
        });
        let Some(choice) = spare.or(first) else { return };
        let probe = &mut self.canary.probes[at];
        probe.attempt = Some(self.attempts.len() as u32);
        probe.shard = choice.shard;
        self.record_choice(&choice, false, policy, now);
        self.shards[choice.shard as usize].due = None;
        self.send_batches(vec![choice], policy, now, actions);
        // A slow probe is hedged like any other attempt; the hedge needs a
        // permit of its own.
        if self.canary.probes.len() <= usize::from(policy.tunables.max_hedges) {
            self.request_permit_at(now + self.hedge_delays.probe);
        }
    }

    /// Servers that are the only replica of some shard, not counting deprioritized
    /// servers.
    fn sole_replicas(&self) -> HashSet<ServerIdx> {
        let sole = self.pinned.replicas.iter().filter_map(|replicas| {
            let mut healthy = replicas.iter().filter(|s| !self.deprioritized_servers[s.0 as usize]);
            let only = healthy.next()?;
            healthy.next().is_none().then_some(*only)
        });
        sole.collect()
    }

    /// Reports a successful probe and continues with all shards.
    pub(super) fn on_probe_success(
        &mut self,
        attempt: u32,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(nonce) = self.take_probe(attempt) else { return };
        self.report_probe(nonce, CanaryResult::Good, actions);
        policy.recent.insert(self.spec.digest, now);
        if self.phase == Phase::Canary {
            self.release_permits(actions);
            self.schedule_all(policy, now);
        }
    }

    /// Reports a probe without a complete reply and schedules the next permit
    /// request. Returns whether the attempt was a probe of the canary phase.
    pub(super) fn on_probe_failure(
        &mut self,
        attempt: u32,
        outcome: AttemptOutcome,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(nonce) = self.take_probe(attempt) else { return false };
        let result = match outcome {
            AttemptOutcome::ConnectionLost => CanaryResult::Lost,
            AttemptOutcome::Partial => CanaryResult::Good,
            _ => CanaryResult::NotRun,
        };
        self.report_probe(nonce, result, actions);
        let waiting = self.canary.pending.is_some();
        if self.phase == Phase::Canary && !waiting {
            self.request_permit_at(now);
        }
        self.phase == Phase::Canary
    }

    /// Returns the permits of all probes whose result is not known.
    pub(super) fn release_permits(&mut self, actions: &mut Vec<Action>) {
        for probe in std::mem::take(&mut self.canary.probes) {
            self.report_probe(probe.nonce, CanaryResult::NotRun, actions);
        }
    }

    fn request_permit_at(&mut self, at: Instant) {
        self.canary.request_at = Some(at);
        self.arm_timer(at);
    }

    /// Removes the probe of an attempt and returns its nonce.
    fn take_probe(&mut self, attempt: u32) -> Option<u64> {
        let probes = &mut self.canary.probes;
        let at = probes.iter().position(|p| p.attempt == Some(attempt))?;
        Some(probes.remove(at).nonce)
    }

    fn report_probe(&self, nonce: u64, result: CanaryResult, actions: &mut Vec<Action>) {
        let digest = self.spec.digest;
        let report = CanaryReport { digest, nonce, result, forwarded: false };
        actions.push(Action::ReportProbe(report));
    }
}
