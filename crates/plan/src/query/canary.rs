//! Canary: a request that has not been seen to succeed goes to one server
//! first, with a permit of the digest's home host.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::shards::Shard;
use chervil_rpc::agent::CanaryReply;
use chervil_rpc::agent::CanaryReport;
use chervil_rpc::agent::CanaryRequest;
use chervil_rpc::agent::CanaryResult;

use super::Action;
use super::End;
use super::NotRunReason;
use super::Phase;
use super::Query;
use super::mix;
use crate::policy::Policy;
use crate::topology::ServerIdx;

/// Wait before the agent is asked again after it could not be asked.
const ASK_AGAIN: Duration = Duration::from_millis(20);

/// A permit and the attempt that uses it.
#[derive(Clone, Copy, Debug)]
struct Probe {
    nonce: u64,
    attempt: Option<u32>,
    shard: Shard,
}

/// Canary state of a query.
#[derive(Clone, Debug, Default)]
pub(super) struct Canary {
    /// Nonce of the request that the agent has not answered.
    asked: Option<u64>,
    /// When to ask for a permit.
    ask_at: Option<Instant>,
    probes: Vec<Probe>,
    nonces: u64,
}

impl Query {
    /// Asks for a permit to send to one server.
    pub(super) fn ask_permit(&mut self, actions: &mut Vec<Action>) {
        self.canary.nonces += 1;
        let nonce = mix(mix(self.spec.incarnation, self.spec.query), self.canary.nonces);
        self.canary.asked = Some(nonce);
        self.canary.ask_at = None;
        let digest = self.spec.digest;
        actions.push(Action::RequestPermit(CanaryRequest { digest, nonce, forwarded: false }));
    }

    pub(super) fn on_permit(
        &mut self,
        nonce: u64,
        reply: Option<CanaryReply>,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let probing = self.phase == Phase::Canary && self.canary.asked == Some(nonce);
        if !probing {
            // A permit that is not needed any more must not block others.
            if reply == Some(CanaryReply::Probe) {
                self.report(nonce, CanaryResult::NotRun, actions);
            }
            return;
        }
        self.canary.asked = None;
        match reply {
            Some(CanaryReply::Known) => {
                policy.recent.insert(self.spec.digest, now);
                self.run_all(policy, now);
            }
            Some(CanaryReply::Probe) => {
                self.canary.probes.push(Probe { nonce, attempt: None, shard: 0 });
                self.send_probe(self.canary.probes.len() - 1, policy, now, actions);
            }
            Some(CanaryReply::Wait { retry_ms }) => {
                self.ask_later(now + Duration::from_millis(retry_ms.max(1).into()));
            }
            Some(CanaryReply::Suspect) => self.not_run(NotRunReason::Suspect, policy, now, actions),
            None => self.ask_later(now + ASK_AGAIN),
        }
    }

    /// Asks for permits and sends probes that are due.
    pub(super) fn flush_canary(
        &mut self,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        self.adopt(policy, now);
        for at in 0..self.canary.probes.len() {
            if self.canary.probes[at].attempt.is_none() {
                self.send_probe(at, policy, now, actions);
            }
        }
        self.timer = self.finish_at;
        match self.canary.ask_at {
            Some(at) if at <= now && self.canary.asked.is_none() => self.ask_permit(actions),
            Some(at) if at > now => self.timer = at,
            _ => {}
        }
    }

    /// Sends a probe for the first shard that has a replica.
    fn send_probe(
        &mut self,
        at: usize,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let count = self.shards.len() as Shard;
        let start = mix(self.spec.seed, self.spec.query) as Shard % count.max(1);
        let sole = self.sole_holders();
        let order = (0..count).map(|i| (start + i) % count);
        let mut choices = order.filter_map(|s| self.choose(s, policy));
        let mut first = None;
        // The probe may end its server, which no shard must depend on.
        let spare = choices.find(|c| {
            first.get_or_insert(*c);
            !sole.contains(&c.server)
        });
        let Some(choice) = spare.or(first) else { return };
        let probe = &mut self.canary.probes[at];
        probe.attempt = Some(self.attempts.len() as u32);
        probe.shard = choice.shard;
        self.account(&choice, false, policy, now);
        self.shards[choice.shard as usize].due = None;
        self.send(vec![choice], policy, now, actions);
        // A slow probe is hedged like any other attempt, with its own permit.
        if self.canary.probes.len() <= usize::from(policy.tunables.max_hedges) {
            self.ask_later(now + self.late.probe);
        }
    }

    /// Servers that are the only holder of some shard, apart from failing ones.
    fn sole_holders(&self) -> HashSet<ServerIdx> {
        let sole = self.pinned.holders.iter().filter_map(|holders| {
            let mut sound = holders.iter().filter(|s| !self.failing[s.0 as usize]);
            let only = sound.next()?;
            sound.next().is_none().then_some(*only)
        });
        sole.collect()
    }

    /// Continues with all shards after a probe's good reply.
    pub(super) fn probe_good(
        &mut self,
        attempt: u32,
        policy: &mut Policy,
        now: Instant,
        actions: &mut Vec<Action>,
    ) {
        let Some(nonce) = self.take_probe(attempt) else { return };
        self.report(nonce, CanaryResult::Good, actions);
        policy.recent.insert(self.spec.digest, now);
        if self.phase == Phase::Canary {
            self.give_up_probes(actions);
            self.run_all(policy, now);
        }
    }

    /// Handles the end of a probe that brought nothing; false when the attempt
    /// is not a probe of this phase.
    pub(super) fn probe_ended(
        &mut self,
        attempt: u32,
        end: End,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> bool {
        let Some(nonce) = self.take_probe(attempt) else { return false };
        let result = match end {
            End::Lost => CanaryResult::Lost,
            End::Partial => CanaryResult::Good,
            _ => CanaryResult::NotRun,
        };
        self.report(nonce, result, actions);
        let waiting = self.canary.asked.is_some();
        if self.phase == Phase::Canary && !waiting {
            self.ask_later(now);
        }
        self.phase == Phase::Canary
    }

    /// Reports probes whose end is not known as given up.
    pub(super) fn give_up_probes(&mut self, actions: &mut Vec<Action>) {
        for probe in std::mem::take(&mut self.canary.probes) {
            self.report(probe.nonce, CanaryResult::NotRun, actions);
        }
    }

    fn ask_later(&mut self, at: Instant) {
        self.canary.ask_at = Some(at);
        self.wake(at);
    }

    fn take_probe(&mut self, attempt: u32) -> Option<u64> {
        let probes = &mut self.canary.probes;
        let at = probes.iter().position(|p| p.attempt == Some(attempt))?;
        Some(probes.remove(at).nonce)
    }

    fn report(&self, nonce: u64, result: CanaryResult, actions: &mut Vec<Action>) {
        let digest = self.spec.digest;
        let report = CanaryReport { digest, nonce, result, forwarded: false };
        actions.push(Action::ReportProbe(report));
    }
}
