//! State machine of one non-idempotent request.
//!
//! Servers are tried one after the other. The next one is tried only if the
//! previous one provably did not start the request, so that it runs at most
//! once.

use std::time::Instant;

use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;

use crate::policy::Policy;
use crate::query::seeded_hash;
use crate::topology::GateIdx;
use crate::topology::ServerIdx;
use crate::topology::Topology;

/// Maximum number of attempts of one request.
const MAX_ATTEMPTS: usize = 8;

/// One attempt: a server and the gate through which it is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Server that runs the request.
    pub server: ServerIdx,
    /// Gate that forwards it to the server.
    pub gate: GateIdx,
}

/// How an attempt ended, as seen by the entry.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The gate replied.
    Reply(RunReply),
    /// No connection to the gate could be opened; nothing was sent.
    GateUnreachable,
    /// The connection was lost or the attempt timed out after the request was
    /// sent, so the server may have run it.
    NoReply,
}

/// Next step of a request.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Send this attempt.
    Send(Attempt),
    /// The request has run, with this reply.
    Done(Box<str>),
    /// No server started the request. Holds the last refusal; `None` if there
    /// was none.
    NotRun(Option<Refusal>),
    /// Whether the request has run is unknown.
    Unknown,
}

/// State of one non-idempotent request.
#[derive(Clone, Debug, Default)]
pub struct Run {
    seed: u64,
    /// Attempts sent so far, in order.
    tried: Vec<Attempt>,
    /// Reason of the last refusal.
    refusal: Option<Refusal>,
}

impl Run {
    /// Creates a request that has not been sent; `seed` determines the order
    /// among equally good servers.
    pub fn new(seed: u64) -> Run {
        Run { seed, ..Run::default() }
    }

    /// Chooses the first attempt.
    pub fn start(&mut self, topology: &Topology, policy: &Policy, now: Instant) -> Step {
        self.next(topology, policy, now)
    }

    /// Handles the result of the latest attempt and returns the next step.
    pub fn on_attempt_result(
        &mut self,
        result: AttemptResult,
        topology: &Topology,
        policy: &mut Policy,
        now: Instant,
    ) -> Step {
        let Some(last) = self.tried.last() else { return Step::NotRun(None) };
        let server = &topology.server(last.server).name;
        match result {
            AttemptResult::Reply(RunReply::Done { body }) => {
                policy.health.record_success(server);
                Step::Done(body)
            }
            AttemptResult::Reply(RunReply::Unknown) | AttemptResult::NoReply => {
                policy.health.record_failure(server, now);
                Step::Unknown
            }
            AttemptResult::Reply(RunReply::NotRun { reason }) => {
                if !matches!(reason, Refusal::NotOwner | Refusal::Stopping) {
                    policy.health.record_failure(server, now);
                }
                self.refusal = Some(reason);
                self.next(topology, policy, now)
            }
            AttemptResult::GateUnreachable => {
                policy.health.record_gate_failure(&topology.gate(last.gate).host, now);
                self.next(topology, policy, now)
            }
        }
    }

    fn next(&mut self, topology: &Topology, policy: &Policy, now: Instant) -> Step {
        let servers = 0..topology.parts().servers.len() as u32;
        let candidates = servers.filter_map(|s| self.candidate(ServerIdx(s), topology));
        let best = candidates.min_by_key(|a| self.rank(a, topology, policy, now));
        match best.filter(|_| self.tried.len() < MAX_ATTEMPTS) {
            Some(attempt) => {
                self.tried.push(attempt);
                Step::Send(attempt)
            }
            None => Step::NotRun(self.refusal),
        }
    }

    /// Attempt through the first of the server's gates that has not been tried;
    /// `None` if all have been.
    fn candidate(&self, server: ServerIdx, topology: &Topology) -> Option<Attempt> {
        let gates = &topology.group(topology.server(server).group).gates;
        let mut attempts = gates.iter().map(|g| Attempt { server, gate: *g });
        attempts.find(|a| !self.tried.contains(a))
    }

    /// Sort key of an attempt, lowest first: fewest earlier attempts at its
    /// server, not deprioritized, in the own zone, then pseudo-random.
    fn rank(
        &self,
        attempt: &Attempt,
        topology: &Topology,
        policy: &Policy,
        now: Instant,
    ) -> (usize, bool, bool, u64) {
        let tries = self.tried.iter().filter(|t| t.server == attempt.server).count();
        let server = topology.server(attempt.server);
        let gate = topology.gate(attempt.gate);
        let deprioritized = policy.health.is_deprioritized(&server.name, now)
            || policy.health.is_gate_deprioritized(&gate.host, now);
        (tries, deprioritized, !server.local, seeded_hash(self.seed, u64::from(attempt.server.0)))
    }
}
