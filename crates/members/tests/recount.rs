//! The votes that a candidate counts are those of a plain recomputation.

use std::time::Duration;
use std::time::Instant;

use chervil_members::QUORUM_LEASE;
use chervil_members::membership::Membership;
use chervil_rpc::agent::Denial;
use chervil_rpc::agent::Heartbeat;
use chervil_rpc::agent::HeartbeatReply;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::Vote;
use proptest::prelude::*;

mod common;
mod plain;

use common::member;
use plain::Plain;

/// Hosts that may be listed: more than fit into one word of a set.
const HOSTS: usize = 150;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes until the next tick, and the hosts of `heard` in ten are
    /// heard.
    Tick { ms: u64, heard: usize },
    /// Most hosts deny those of zone `dead` of five, each most of them.
    Round { dead: usize, age_ms: u64, late_ms: u64, seed: u64 },
    /// One host answers, perhaps an older heartbeat.
    Reply { voter: usize, dead: usize, age_ms: u64, late_ms: u64, seed: u64 },
    /// The list loses the hosts of zone `out` of seven.
    Adopt { out: usize },
    /// The hosts of zone `out` of seven leave, and join again at once or when
    /// no promise binds this host any more.
    Rejoin { out: usize, late: bool },
    /// The host releases its rights and asks for them again.
    Renew,
}

struct Pair {
    fast: Membership,
    plain: Plain,
    size: usize,
    now: Instant,
}

impl Pair {
    fn new(size: usize) -> Pair {
        let now = Instant::now();
        let mut fast = Membership::new(&member(0).host, 1, now);
        fast.set_learned();
        let mut pair = Pair { fast, plain: Plain::new(now), size, now };
        pair.adopt((0..size).collect());
        let end = now + QUORUM_LEASE;
        while pair.now < end {
            pair.apply(&Step::Tick { ms: 200, heard: 10 });
        }
        pair
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Tick { ms, heard } => self.tick(ms, heard),
            Step::Round { dead, age_ms, late_ms, seed } => {
                (1..self.size).for_each(|v| self.reply(v, dead, age_ms, late_ms, seed));
            }
            Step::Reply { voter, dead, age_ms, late_ms, seed } => {
                self.reply(voter % self.size, dead, age_ms, late_ms, seed);
            }
            Step::Adopt { out } => self.adopt_without(out),
            Step::Rejoin { out, late } => self.rejoin(out, late),
            Step::Renew => {
                self.fast.release();
                self.fast.renew(self.fast.incarnation() + 1, self.now);
                self.plain.renew(self.now);
            }
        }
    }

    fn tick(&mut self, ms: u64, heard: usize) {
        self.now += Duration::from_millis(ms);
        for host in (1..self.size).filter(|h| h % 10 < heard) {
            let heartbeat = heartbeat(host, self.fast.epoch());
            self.fast.on_heartbeat(&heartbeat, self.now);
            self.plain.hear(host, self.now);
        }
        self.fast.tick(self.now);
        self.plain.tick(self.now);
    }

    fn reply(&mut self, voter: usize, dead: usize, age_ms: u64, late_ms: u64, seed: u64) {
        let seed = seed ^ ((voter as u64) << 32);
        if voter == 0 || mix(seed).is_multiple_of(8) {
            return;
        }
        let denies = |h: &usize| h % 5 == dead && !mix(seed + *h as u64).is_multiple_of(16);
        // Some denials are younger than the rest, and some voters list them in
        // another order.
        let age = |h: usize| age_ms >> u64::from(mix(seed + h as u64).is_multiple_of(7));
        let mut denied: Vec<(usize, u64)> =
            (0..self.size + 2).filter(denies).map(|h| (h, age(h))).collect();
        let turn = if mix(seed ^ 1).is_multiple_of(4) { denied.len() / 2 } else { 0 };
        denied.rotate_left(turn);
        let denial = |(h, age_ms): &(usize, u64)| Denial { host: member(*h).host, age_ms: *age_ms };
        let up = !mix(seed ^ 2).is_multiple_of(8);
        let vote = if up { Vote::Up } else { Vote::Abstain };
        let state = heartbeat(voter, self.fast.epoch());
        let reply = HeartbeatReply { vote, state, denials: denied.iter().map(denial).collect() };
        let sent = self.now - Duration::from_millis(late_ms);
        self.fast.on_reply(sent, &reply, self.now);
        self.plain.reply(voter, sent, self.now, up, &denied);
    }

    fn rejoin(&mut self, out: usize, late: bool) {
        self.adopt_without(out);
        self.adopt_without(out);
        for _ in 0..if late { 7 } else { 0 } {
            self.tick(200, 10);
        }
        self.adopt_without(out);
        self.adopt((0..self.size).collect());
    }

    fn adopt_without(&mut self, out: usize) {
        self.adopt((0..self.size).filter(|h| h % 7 != out).collect());
    }

    fn adopt(&mut self, hosts: Vec<usize>) {
        let old = self.fast.list();
        let previous = (0..self.size).filter(|h| old.hosts.contains(&member(*h))).collect();
        let list = MemberList {
            epoch: old.epoch + 1,
            hosts: hosts.iter().map(|h| member(*h)).collect(),
            previous: old.hosts.clone(),
        };
        self.fast.adopt(&list, self.now);
        self.plain.adopt([hosts, previous], self.now);
    }

    fn lease(&mut self) -> (u64, Vec<Box<str>>) {
        let mut lease = self.fast.lease(self.now);
        lease.down.sort();
        (lease.remaining_ms, lease.down)
    }

    fn plain_lease(&mut self) -> (u64, Vec<Box<str>>) {
        let (remaining, down) = self.plain.lease(self.now);
        (remaining, names(&down))
    }

    fn denied_for(&self, time: Duration) -> Vec<Box<str>> {
        let mut denied = self.fast.denied_for(time, self.now);
        denied.sort();
        denied
    }
}

fn names(hosts: &[usize]) -> Vec<Box<str>> {
    let mut names: Vec<Box<str>> = hosts.iter().map(|h| member(*h).host).collect();
    names.sort();
    names
}

fn heartbeat(host: usize, epoch: u64) -> Heartbeat {
    Heartbeat {
        host: member(host).host,
        incarnation: 7,
        epoch,
        revision: 0,
        staleness_ms: None,
        leaving: false,
        released: false,
        serving: true,
        join: None,
    }
}

fn mix(seed: u64) -> u64 {
    let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

fn step() -> impl Strategy<Value = Step> {
    let age = || prop_oneof![Just(1_200), 0..1_200_u64, 1_200..5_000_u64];
    let late = || prop_oneof![Just(0), 0..900_u64];
    let dead = || prop_oneof![6 => Just(1), 1 => 0..6_usize];
    prop_oneof![
        6 => (1..300_u64, 0..=10_usize).prop_map(|(ms, heard)| Step::Tick { ms, heard }),
        4 => (dead(), age(), late(), any::<u32>()).prop_map(|(dead, age_ms, late_ms, seed)| {
            Step::Round { dead, age_ms, late_ms, seed: seed.into() }
        }),
        4 => (0..HOSTS, dead(), age(), late(), any::<u32>()).prop_map(
            |(voter, dead, age_ms, late_ms, seed)| {
                Step::Reply { voter, dead, age_ms, late_ms, seed: seed.into() }
            }
        ),
        2 => (0..8_usize).prop_map(|out| Step::Adopt { out }),
        2 => (prop_oneof![Just(1), 0..7_usize], any::<bool>())
            .prop_map(|(out, late)| Step::Rejoin { out, late }),
        1 => Just(Step::Renew),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    /// Guards against a count that is kept or summarized and misses a change:
    /// late, reordered and shrinking answers, changes of the list, hosts that
    /// are forgotten and return, and renewed rights.
    #[test]
    fn the_counted_votes_are_those_of_a_plain_recomputation(
        size in prop_oneof![3..9_usize, 60..=HOSTS],
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut pair = Pair::new(size);
        for (i, step) in steps.iter().enumerate() {
            pair.apply(step);

            let (lease, expected) = (pair.lease(), pair.plain_lease());
            prop_assert_eq!(lease, expected, "lease after step {}, {:?}", i, step);
            for time in [Duration::ZERO, Duration::from_millis(500)] {
                let expected = names(&pair.plain.denied_for(time, pair.now));
                prop_assert_eq!(pair.denied_for(time), expected, "after step {}, {:?}", i, step);
            }
        }
    }
}
