//! Non-idempotent work: one server after the other, and the next one only when
//! the one before provably did not start it.

use std::time::Instant;

use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;

use crate::layout::GateAt;
use crate::layout::Layout;
use crate::layout::ServerAt;
use crate::policy::Policy;
use crate::query::mix;

/// Most attempts of one request.
const MAX_ATTEMPTS: usize = 8;

/// Next attempt of non-idempotent work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Attempt {
    /// Server to run it.
    pub server: ServerAt,
    /// Gate to ask.
    pub gate: GateAt,
}

/// How an attempt ended, as far as the entry can know.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEnd {
    /// The gate's reply.
    Reply(RunReply),
    /// No connection to the gate could be opened; nothing was sent.
    NoGate,
    /// The connection was lost or the time ran out after the request was sent.
    NoReply,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Ask this server.
    Ask(Attempt),
    /// The work was done, with this reply.
    Done(Box<str>),
    /// No server started the work.
    NotRun(Option<Refusal>),
    /// It cannot be known whether the work was done.
    Unknown,
}

/// Progress of one request.
#[derive(Clone, Debug, Default)]
pub struct Once {
    seed: u64,
    tried: Vec<Attempt>,
    refusal: Option<Refusal>,
}

impl Once {
    /// A request that has not been sent.
    pub fn new(seed: u64) -> Once {
        Once { seed, ..Once::default() }
    }

    /// Decides on the first attempt.
    pub fn start(&mut self, layout: &Layout, policy: &Policy, now: Instant) -> Step {
        self.next(layout, policy, now)
    }

    /// Takes in the end of the latest attempt.
    pub fn attempt_ended(
        &mut self,
        end: AttemptEnd,
        layout: &Layout,
        policy: &mut Policy,
        now: Instant,
    ) -> Step {
        let Some(last) = self.tried.last() else { return Step::NotRun(None) };
        let server = &layout.server(last.server).name;
        match end {
            AttemptEnd::Reply(RunReply::Done { body }) => {
                policy.replicas.good(server);
                Step::Done(body)
            }
            AttemptEnd::Reply(RunReply::Unknown) | AttemptEnd::NoReply => {
                policy.replicas.failed(server, now);
                Step::Unknown
            }
            AttemptEnd::Reply(RunReply::NotRun { reason }) => {
                if !matches!(reason, Refusal::NotOwner | Refusal::Stopping) {
                    policy.replicas.failed(server, now);
                }
                self.refusal = Some(reason);
                self.next(layout, policy, now)
            }
            AttemptEnd::NoGate => {
                policy.replicas.gate_failed(&layout.gate(last.gate).host, now);
                self.next(layout, policy, now)
            }
        }
    }

    fn next(&mut self, layout: &Layout, policy: &Policy, now: Instant) -> Step {
        let servers = 0..layout.parts().servers.len() as u32;
        let candidates = servers.filter_map(|s| self.candidate(ServerAt(s), layout));
        let best = candidates.min_by_key(|a| self.rank(a, layout, policy, now));
        match best.filter(|_| self.tried.len() < MAX_ATTEMPTS) {
            Some(attempt) => {
                self.tried.push(attempt);
                Step::Ask(attempt)
            }
            None => Step::NotRun(self.refusal),
        }
    }

    /// The server's first gate that has not been asked for it.
    fn candidate(&self, server: ServerAt, layout: &Layout) -> Option<Attempt> {
        let gates = &layout.group(layout.server(server).group).gates;
        let mut attempts = gates.iter().map(|g| Attempt { server, gate: *g });
        attempts.find(|a| !self.tried.contains(a))
    }

    fn rank(
        &self,
        attempt: &Attempt,
        layout: &Layout,
        policy: &Policy,
        now: Instant,
    ) -> (usize, bool, bool, u64) {
        let tries = self.tried.iter().filter(|t| t.server == attempt.server).count();
        let server = layout.server(attempt.server);
        let gate = layout.gate(attempt.gate);
        let failing = policy.replicas.is_failing(&server.name, now)
            || policy.replicas.is_gate_failing(&gate.host, now);
        (tries, failing, !server.local, mix(self.seed, u64::from(attempt.server.0)))
    }
}
