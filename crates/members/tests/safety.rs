//! At most one host holds the right to send to a group, whatever happens.

use proptest::prelude::*;

mod common;

use common::Fault;
use common::World;

/// Most hosts of a simulation. Few hosts make majorities that hinge on one.
const HOSTS: usize = 5;

/// Time at which the faults begin, after the first leases.
const WARM_UP_MS: u64 = 4_000;

/// Time over which the faults are spread.
const SPAN_MS: u64 = 12_000;

fn fault(size: usize) -> impl Strategy<Value = Fault> {
    let host = 0..size;
    prop_oneof![
        3 => (host.clone(), host.clone()).prop_map(|(from, to)| Fault::Cut { from, to }),
        1 => host.clone().prop_map(|host| Fault::Isolate { host }),
        3 => Just(Fault::Heal),
        2 => (host.clone(), host.clone(), 100..3_000_u64)
            .prop_map(|(from, to, ms)| Fault::Slow { from, to, ms }),
        1 => (10..60_u64).prop_map(|percent| Fault::Loss { percent }),
        3 => (host.clone(), 200..4_000_u64).prop_map(|(host, ms)| Fault::Pause { host, ms }),
        3 => (host.clone(), 0..2_000_u64).prop_map(|(host, ms)| Fault::Restart { host, ms }),
        2 => host.clone().prop_map(|host| Fault::Release { host }),
        2 => host.clone().prop_map(|host| Fault::Renew { host }),
        1 => any::<bool>().prop_map(|up| Fault::Store { up }),
        6 => (host.clone(), host.clone(), host, 0..1_500_u64, any::<bool>()).prop_map(
            |(host, join, leave, ms, lost)| Fault::Change { host, join, leave, ms, lost }
        ),
    ]
}

/// Number of hosts and what happens to them.
fn plan() -> impl Strategy<Value = (usize, Vec<(u64, Fault)>)> {
    (3..=HOSTS).prop_flat_map(|size| {
        let at = WARM_UP_MS..WARM_UP_MS + SPAN_MS;
        (Just(size), prop::collection::vec((at, fault(size)), 0..60))
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against two hosts that hold the right to one group, under
    /// delayed, reordered and lost messages, one-way cuts, pauses, restarts,
    /// releases and changes of the member list.
    #[test]
    fn two_hosts_never_hold_the_right_to_one_group(
        seed in any::<u64>(),
        listed in 1..=HOSTS,
        (size, plan) in plan(),
    ) {
        let mut world = World::new(size, listed.min(size), seed);
        for (at, fault) in plan {
            world.plan(at, fault);
        }

        let result = world.run(WARM_UP_MS + SPAN_MS + 5_000);

        prop_assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}
