//! Choice of the replica and gate for one attempt.

use std::time::Instant;

use chervil_base::shards::Shard;

use super::End;
use super::Query;
use crate::policy::Policy;
use crate::topology::GateIdx;
use crate::topology::GroupIdx;
use crate::topology::ServerIdx;

/// Cost factor of a gate that has no work of the query yet.
const NEW_GATE: f64 = 1.25;

/// Cost factor of a server in another zone.
const OTHER_ZONE: f64 = 1.25;

/// Attempt that has been decided on.
#[derive(Clone, Copy, Debug)]
pub(super) struct Choice {
    pub(super) shard: Shard,
    pub(super) server: ServerIdx,
    pub(super) gate: GateIdx,
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
        let mut pool = Pool::default();
        for &server in &pinned.holders[shard as usize] {
            if let Some(class) = self.class(shard, server) {
                pool.add(class, server);
            }
        }
        let server = self.pick(shard, &pool, policy)?;
        let fresh = self.chain(shard).any(|(s, e)| s == server && e.is_none_or(End::may_stall));
        let gate = self.gate_of(self.topology.server(server).group);
        Some(Choice { shard, server, gate, fresh })
    }

    /// Rank of a candidate, lower first; `None` when it cannot answer.
    fn class(&self, shard: Shard, server: ServerIdx) -> Option<u32> {
        let mut tried = 0;
        for (_, end) in self.chain(shard).filter(|(s, _)| *s == server) {
            match end {
                Some(End::Gone) => return None,
                // The open attempt is the one to be hedged.
                None => tried += 4,
                Some(_) => tried += 2,
            }
        }
        let gate = self.gate_of(self.topology.server(server).group);
        let failing = self.failing[server.0 as usize] || self.failing_gates[gate.0 as usize];
        Some(tried + u32::from(failing))
    }

    /// Looks up once which servers and gates are failing, because the choice
    /// considers each of them many times.
    pub(super) fn mark_failing(&mut self, policy: &mut Policy, now: Instant) {
        let parts = self.topology.parts();
        self.failing = vec![false; parts.servers.len()];
        self.failing_gates = vec![false; parts.gates.len()];
        for server in policy.health.deprioritized(now).filter_map(|n| self.topology.position(n)) {
            self.failing[server.0 as usize] = true;
        }
        for host in policy.health.deprioritized_gates(now) {
            if let Some(at) = parts.gates.iter().position(|g| &*g.host == host) {
                self.failing_gates[at] = true;
            }
        }
    }

    fn pick(&self, shard: Shard, pool: &Pool, policy: &Policy) -> Option<ServerIdx> {
        let first = pool.best.iter().copied().min_by_key(|s| self.order(*s))?;
        if pool.best.len() == 1 {
            return Some(first);
        }
        let at = mix(self.spec.seed, u64::from(shard)) as usize % (pool.best.len() - 1);
        let mut others = pool.best.iter().copied().filter(|s| *s != first);
        let other = others.nth(at)?;
        let better = self.cost(other, policy) < self.cost(first, policy);
        Some(if better { other } else { first })
    }

    /// Position of a server in the query's order of preference.
    fn order(&self, server: ServerIdx) -> (bool, u64, u64) {
        let info = self.topology.server(server);
        let gate = self.gate_of(info.group);
        let (gate, group) = (u64::from(gate.0), u64::from(info.group.0));
        (!info.local, mix(self.spec.seed, gate), mix(self.spec.seed, group))
    }

    fn cost(&self, server: ServerIdx, policy: &Policy) -> f64 {
        let info = self.topology.server(server);
        let gate = self.gate_of(info.group);
        let more = u32::from(self.assigned[server.0 as usize]);
        let mut cost = policy.health.cost(&info.name, info.slots, more);
        if !self.opened[gate.0 as usize] {
            cost *= NEW_GATE;
        }
        if !info.local {
            cost *= OTHER_ZONE;
        }
        cost
    }

    /// Gate to ask for a group: the likely owner, or the next one for each
    /// gate that disowned it.
    fn gate_of(&self, group: GroupIdx) -> GateIdx {
        let gates = &self.topology.group(group).gates;
        let skip = self.disowned.iter().find(|(g, _)| *g == group).map_or(0, |(_, n)| *n);
        gates[skip as usize % gates.len()]
    }

    /// Records that a gate does not own a group.
    pub(super) fn disown(&mut self, group: GroupIdx, gate: GateIdx) {
        if self.gate_of(group) != gate {
            return;
        }
        match self.disowned.iter_mut().find(|(g, _)| *g == group) {
            Some((_, n)) => *n += 1,
            None => self.disowned.push((group, 1)),
        }
    }

    /// Attempts of a shard, the latest first.
    fn chain(&self, shard: Shard) -> impl Iterator<Item = (ServerIdx, Option<End>)> + '_ {
        let mut next = self.shards[shard as usize].last;
        std::iter::from_fn(move || {
            let attempt = &self.attempts[next? as usize];
            next = attempt.before;
            Some((attempt.server, attempt.end))
        })
    }
}

/// Candidates of the lowest class.
#[derive(Default)]
struct Pool {
    class: u32,
    best: Vec<ServerIdx>,
}

impl Pool {
    fn add(&mut self, class: u32, server: ServerIdx) {
        if self.best.is_empty() || class < self.class {
            self.best.clear();
            self.class = class;
        }
        if class == self.class {
            self.best.push(server);
        }
    }
}

/// Pseudo-random number for `value` under `seed`.
pub(crate) fn mix(seed: u64, value: u64) -> u64 {
    // The finalizer of SplitMix64.
    let mut z = seed ^ value.wrapping_add(1).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
