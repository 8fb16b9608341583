//! Choice of the replica and the gate for an attempt.

use std::time::Instant;

use chervil_base::shards::Shard;

use super::AttemptOutcome;
use super::Query;
use crate::policy::Policy;
use crate::topology::GateIdx;
use crate::topology::GroupIdx;
use crate::topology::ServerIdx;

/// Cost factor of a gate to which the query has not sent a batch yet.
const NEW_GATE_COST: f64 = 1.25;

/// Cost factor of a server in another availability zone.
const OTHER_ZONE_COST: f64 = 1.25;

/// Planned attempt.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) shard: Shard,
    pub(super) server: ServerIdx,
    pub(super) gate: GateIdx,
    /// Whether the gate must use a connection without a stalled attempt of this
    /// query.
    pub(super) fresh: bool,
}

impl Query {
    /// Chooses the replica of a shard's next attempt.
    ///
    /// ReplicaHealth that have failed are asked after the others but stay
    /// candidates. Among the rest, the query's first choice competes with one
    /// random other on cost. The first choice follows an order of gates that
    /// is random for each query and the same for all of its shards, so that
    /// the shards meet at few gates.
    pub(super) fn choose(&self, shard: Shard, policy: &Policy) -> Option<Choice> {
        let pinned = self.pinned.clone();
        let mut candidates = Candidates::default();
        for &server in &pinned.replicas[shard as usize] {
            if let Some(rank) = self.rank(shard, server) {
                candidates.add(rank, server);
            }
        }
        let server = self.pick_server(shard, &candidates, policy)?;
        let fresh = self
            .attempts_of(shard)
            .any(|(s, o)| s == server && o.is_none_or(AttemptOutcome::may_stall_connection));
        let gate = self.gate_for(self.topology.server(server).group);
        Some(Choice { shard, server, gate, fresh })
    }

    /// Rank of a replica, lowest first; `None` if it does not hold the pinned
    /// version.
    fn rank(&self, shard: Shard, server: ServerIdx) -> Option<u32> {
        let mut tried = 0;
        for (_, outcome) in self.attempts_of(shard).filter(|(s, _)| *s == server) {
            match outcome {
                Some(AttemptOutcome::VersionGone) => return None,
                // Still open: the next attempt hedges this one.
                None => tried += 4,
                Some(_) => tried += 2,
            }
        }
        let gate = self.gate_for(self.topology.server(server).group);
        let deprioritized = self.deprioritized_servers[server.0 as usize]
            || self.deprioritized_gates[gate.0 as usize];
        Some(tried + u32::from(deprioritized))
    }

    /// Copies the deprioritized servers and gates from the policy into flags,
    /// because the choice checks each of them many times.
    pub(super) fn load_deprioritized(&mut self, policy: &mut Policy, now: Instant) {
        let parts = self.topology.parts();
        self.deprioritized_servers = vec![false; parts.servers.len()];
        self.deprioritized_gates = vec![false; parts.gates.len()];
        for server in policy.health.deprioritized(now).filter_map(|n| self.topology.find_server(n))
        {
            self.deprioritized_servers[server.0 as usize] = true;
        }
        for host in policy.health.deprioritized_gates(now) {
            if let Some(at) = parts.gates.iter().position(|g| &*g.host == host) {
                self.deprioritized_gates[at] = true;
            }
        }
    }

    fn pick_server(
        &self,
        shard: Shard,
        candidates: &Candidates,
        policy: &Policy,
    ) -> Option<ServerIdx> {
        let first = candidates.best.iter().copied().min_by_key(|s| self.preference(*s))?;
        if candidates.best.len() == 1 {
            return Some(first);
        }
        let at =
            seeded_hash(self.spec.seed, u64::from(shard)) as usize % (candidates.best.len() - 1);
        let mut others = candidates.best.iter().copied().filter(|s| *s != first);
        let other = others.nth(at)?;
        let better = self.cost(other, policy) < self.cost(first, policy);
        Some(if better { other } else { first })
    }

    /// Sort key of a server in the query's order of preference, lowest first.
    fn preference(&self, server: ServerIdx) -> (bool, u64, u64) {
        let info = self.topology.server(server);
        let gate = self.gate_for(info.group);
        let (gate, group) = (u64::from(gate.0), u64::from(info.group.0));
        (!info.local, seeded_hash(self.spec.seed, gate), seeded_hash(self.spec.seed, group))
    }

    /// Expected cost of one more sub-request to a server.
    fn cost(&self, server: ServerIdx, policy: &Policy) -> f64 {
        let info = self.topology.server(server);
        let gate = self.gate_for(info.group);
        let more = u32::from(self.assigned[server.0 as usize]);
        let mut cost = policy.health.cost(&info.name, info.slots, more);
        if !self.gates_used[gate.0 as usize] {
            cost *= NEW_GATE_COST;
        }
        if !info.local {
            cost *= OTHER_ZONE_COST;
        }
        cost
    }

    /// Gate to ask for a group: the likely owner, skipping one gate for each
    /// reply that a gate does not own the group.
    fn gate_for(&self, group: GroupIdx) -> GateIdx {
        let gates = &self.topology.group(group).gates;
        let skip = self.skipped_gates.iter().find(|(g, _)| *g == group).map_or(0, |(_, n)| *n);
        gates[skip as usize % gates.len()]
    }

    /// Records that a gate does not own a group. Ignored if that gate is not the
    /// current one, because several attempts can report the same gate.
    pub(super) fn record_not_owner(&mut self, group: GroupIdx, gate: GateIdx) {
        if self.gate_for(group) != gate {
            return;
        }
        match self.skipped_gates.iter_mut().find(|(g, _)| *g == group) {
            Some((_, n)) => *n += 1,
            None => self.skipped_gates.push((group, 1)),
        }
    }

    /// Servers and outcomes of the attempts for a shard, the latest first.
    fn attempts_of(
        &self,
        shard: Shard,
    ) -> impl Iterator<Item = (ServerIdx, Option<AttemptOutcome>)> + '_ {
        let mut next = self.shards[shard as usize].last_attempt;
        std::iter::from_fn(move || {
            let attempt = &self.attempts[next? as usize];
            next = attempt.previous;
            Some((attempt.server, attempt.outcome))
        })
    }
}

/// Replicas of the lowest rank so far.
#[derive(Default)]
struct Candidates {
    rank: u32,
    best: Vec<ServerIdx>,
}

impl Candidates {
    fn add(&mut self, rank: u32, server: ServerIdx) {
        if self.best.is_empty() || rank < self.rank {
            self.best.clear();
            self.rank = rank;
        }
        if rank == self.rank {
            self.best.push(server);
        }
    }
}

/// Pseudo-random number derived from `seed` and `value`.
pub(crate) fn seeded_hash(seed: u64, value: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut z = seed ^ value.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
