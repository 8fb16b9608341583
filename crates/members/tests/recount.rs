//! Differential test of vote counting against a straightforward reference model.

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
mod reference;

use common::member;
use reference::Reference;

/// Maximum number of hosts; more than 128, so that a host set needs several
/// words.
const MAX_HOSTS: usize = 150;

#[derive(Clone, Debug)]
enum Step {
    /// Time passes until the next tick. Before it, `heard` of every ten hosts
    /// send a heartbeat.
    Tick { ms: u64, heard: usize },
    /// Most hosts reply. Each denies most of the hosts in every fifth position
    /// from `dead`.
    ReplyAll { dead: usize, age_ms: u64, delay_ms: u64, seed: u64 },
    /// One host replies, possibly to an older heartbeat.
    Reply { voter: usize, dead: usize, age_ms: u64, delay_ms: u64, seed: u64 },
    /// A list without every seventh host from `removed` is adopted.
    Adopt { removed: usize },
    /// Every seventh host from `removed` leaves and joins again, either at once or
    /// when no vote on it binds this host any more.
    Rejoin { removed: usize, after_expiry: bool },
    /// This host releases its lease and asks for it again.
    Reacquire,
}

/// Membership under test and its reference model, in the same state.
struct Checked {
    membership: Membership,
    reference: Reference,
    size: usize,
    now: Instant,
}

impl Checked {
    fn new(size: usize) -> Checked {
        let now = Instant::now();
        let mut membership = Membership::new(&member(0).host, 1, now);
        membership.confirm_list();
        let mut checked = Checked { membership, reference: Reference::new(now), size, now };
        checked.adopt((0..size).collect());
        let end = now + QUORUM_LEASE;
        while checked.now < end {
            checked.apply(&Step::Tick { ms: 200, heard: 10 });
        }
        checked
    }

    fn apply(&mut self, step: &Step) {
        match *step {
            Step::Tick { ms, heard } => self.tick(ms, heard),
            Step::ReplyAll { dead, age_ms, delay_ms, seed } => {
                (1..self.size).for_each(|v| self.reply(v, dead, age_ms, delay_ms, seed));
            }
            Step::Reply { voter, dead, age_ms, delay_ms, seed } => {
                self.reply(voter % self.size, dead, age_ms, delay_ms, seed);
            }
            Step::Adopt { removed } => self.adopt_without(removed),
            Step::Rejoin { removed, after_expiry } => self.rejoin(removed, after_expiry),
            Step::Reacquire => {
                self.membership.release();
                self.membership.reacquire(self.membership.incarnation() + 1, self.now);
                self.reference.reacquire(self.now);
            }
        }
    }

    fn tick(&mut self, ms: u64, heard: usize) {
        self.now += Duration::from_millis(ms);
        for host in (1..self.size).filter(|h| h % 10 < heard) {
            let heartbeat = heartbeat(host, self.membership.epoch());
            self.membership.on_heartbeat(&heartbeat, self.now);
            self.reference.hear(host, self.now);
        }
        self.membership.tick(self.now);
        self.reference.tick(self.now);
    }

    fn reply(&mut self, voter: usize, dead: usize, age_ms: u64, delay_ms: u64, seed: u64) {
        let seed = seed ^ ((voter as u64) << 32);
        if voter == 0 || mix(seed).is_multiple_of(8) {
            return;
        }
        let denies = |h: &usize| h % 5 == dead && !mix(seed + *h as u64).is_multiple_of(16);
        // Some denials are younger than others, and some voters report them in
        // another order.
        let age = |h: usize| age_ms >> u64::from(mix(seed + h as u64).is_multiple_of(7));
        let mut denied: Vec<(usize, u64)> =
            (0..self.size + 2).filter(denies).map(|h| (h, age(h))).collect();
        let rotation = if mix(seed ^ 1).is_multiple_of(4) { denied.len() / 2 } else { 0 };
        denied.rotate_left(rotation);
        let denial = |(h, age_ms): &(usize, u64)| Denial { host: member(*h).host, age_ms: *age_ms };
        let up = !mix(seed ^ 2).is_multiple_of(8);
        let vote = if up { Vote::Up } else { Vote::Abstain };
        let state = heartbeat(voter, self.membership.epoch());
        let reply = HeartbeatReply { vote, state, denials: denied.iter().map(denial).collect() };
        let sent = self.now - Duration::from_millis(delay_ms);
        self.membership.on_reply(sent, &reply, self.now);
        self.reference.reply(voter, sent, self.now, up, &denied);
    }

    fn rejoin(&mut self, removed: usize, after_expiry: bool) {
        self.adopt_without(removed);
        self.adopt_without(removed);
        for _ in 0..if after_expiry { 7 } else { 0 } {
            self.tick(200, 10);
        }
        self.adopt_without(removed);
        self.adopt((0..self.size).collect());
    }

    fn adopt_without(&mut self, removed: usize) {
        self.adopt((0..self.size).filter(|h| h % 7 != removed).collect());
    }

    fn adopt(&mut self, hosts: Vec<usize>) {
        let old = self.membership.list();
        let previous = (0..self.size).filter(|h| old.hosts.contains(&member(*h))).collect();
        let list = MemberList {
            epoch: old.epoch + 1,
            hosts: hosts.iter().map(|h| member(*h)).collect(),
            previous: old.hosts.clone(),
        };
        self.membership.adopt(&list, self.now);
        self.reference.adopt([hosts, previous], self.now);
    }

    fn lease(&mut self) -> (u64, Vec<Box<str>>) {
        let mut lease = self.membership.lease(self.now);
        lease.down.sort();
        (lease.remaining_ms, lease.down)
    }

    fn reference_lease(&mut self) -> (u64, Vec<Box<str>>) {
        let (remaining, down) = self.reference.lease(self.now);
        (remaining, names(&down))
    }

    fn denied_for(&self, time: Duration) -> Vec<Box<str>> {
        let mut denied = self.membership.denied_for(time, self.now);
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

/// Deterministic pseudo-random number of 32 bits.
fn mix(seed: u64) -> u64 {
    let mixed = (seed ^ (seed >> 31)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9) >> 32
}

fn step() -> impl Strategy<Value = Step> {
    let age = || prop_oneof![Just(1_200), 0..1_200_u64, 1_200..5_000_u64];
    let delay = || prop_oneof![Just(0), 0..900_u64];
    let dead = || prop_oneof![6 => Just(1), 1 => 0..6_usize];
    prop_oneof![
        6 => (1..300_u64, 0..=10_usize).prop_map(|(ms, heard)| Step::Tick { ms, heard }),
        4 => (dead(), age(), delay(), any::<u32>()).prop_map(|(dead, age_ms, delay_ms, seed)| {
            Step::ReplyAll { dead, age_ms, delay_ms, seed: seed.into() }
        }),
        4 => (0..MAX_HOSTS, dead(), age(), delay(), any::<u32>()).prop_map(
            |(voter, dead, age_ms, delay_ms, seed)| {
                Step::Reply { voter, dead, age_ms, delay_ms, seed: seed.into() }
            }
        ),
        2 => (0..8_usize).prop_map(|removed| Step::Adopt { removed }),
        2 => (prop_oneof![Just(1), 0..7_usize], any::<bool>())
            .prop_map(|(removed, after_expiry)| Step::Rejoin { removed, after_expiry }),
        1 => Just(Step::Reacquire),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 40, ..ProptestConfig::default() })]

    /// Guards against cached or aggregated votes that miss a change: delayed or
    /// reordered replies, replies with fewer denials, a changed list, hosts that
    /// are removed and join again, and a released lease.
    #[test]
    fn counted_votes_match_the_reference_model(
        size in prop_oneof![3..9_usize, 60..=MAX_HOSTS],
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut checked = Checked::new(size);
        for (i, step) in steps.iter().enumerate() {
            checked.apply(step);

            let (lease, expected) = (checked.lease(), checked.reference_lease());
            prop_assert_eq!(lease, expected, "lease after step {}, {:?}", i, step);
            for time in [Duration::ZERO, Duration::from_millis(500)] {
                let expected = names(&checked.reference.denied_for(time, checked.now));
                prop_assert_eq!(checked.denied_for(time), expected, "after step {}, {:?}", i, step);
            }
        }
    }
}
