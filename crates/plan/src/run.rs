//! Non-idempotent work: one server after the other, and the next one only when
//! the one before provably did not start it.

use std::time::Instant;

use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;

use crate::policy::Policy;
use crate::query::mix;
use crate::topology::GateIdx;
use crate::topology::ServerIdx;
use crate::topology::Topology;

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 8;

/// Next attempt of non-idempotent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Server to run it.
    pub server: ServerIdx,
    /// Gate to ask.
    pub gate: GateIdx,
}

/// How an attempt ended, as far as the entry can know.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptResult {
    /// The gate's reply.
    Reply(RunReply),
    /// No connection to the gate could be opened; nothing was sent.
    GateUnreachable,
    /// The connection was lost or the time ran out after the request was sent.
    NoReply,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask this server.
    Send(Attempt),
    /// The work was done, with this reply.
    Done(Box<str>),
    /// No server started the work.
    NotRun(Option<Refusal>),
    /// It cannot be known whether the work was done.
    Unknown,
}

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub struct Run {
    seed: u64,
    tried: Vec<Attempt>,
    refusal: Option<Refusal>,
}

impl Run {
    /// A request that has not been sent.
    pub fn new(seed: u64) -> Run {
        Run { seed, ..Run::default() }
    }

    /// Decides on the first attempt.
    pub fn start(&mut self, topology: &Topology, policy: &Policy, now: Instant) -> Step {
        self.next(topology, policy, now)
    }

    /// Takes in the end of the latest attempt.
    pub fn on_attempt_result(
        &mut self,
        end: AttemptResult,
        topology: &Topology,
        policy: &mut Policy,
        now: Instant,
    ) -> Step {
        let Some(last) = self.tried.last() else { return Step::NotRun(None) };
        let server = &topology.server(last.server).name;
        match end {
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

    /// The server's first gate that has not been asked for it.
    fn candidate(&self, server: ServerIdx, topology: &Topology) -> Option<Attempt> {
        let gates = &topology.group(topology.server(server).group).gates;
        let mut attempts = gates.iter().map(|g| Attempt { server, gate: *g });
        attempts.find(|a| !self.tried.contains(a))
    }

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
        let failing = policy.health.is_deprioritized(&server.name, now)
            || policy.health.is_gate_deprioritized(&gate.host, now);
        (tries, failing, !server.local, mix(self.seed, u64::from(attempt.server.0)))
    }
}
