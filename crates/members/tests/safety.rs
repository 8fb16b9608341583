//! Safety: at most one host owns a group at any time, under random faults.

use proptest::prelude::*;

mod common;

use common::Fault;
use common::Simulation;

/// Maximum number of hosts. With few hosts, a majority often depends on a single
/// vote.
const MAX_HOSTS: usize = 5;

/// Start of the faults, after the first leases were granted.
const WARM_UP_MS: u64 = 4_000;

/// Time over which the faults are spread.
const FAULT_SPAN_MS: u64 = 12_000;

fn fault(size: usize) -> impl Strategy<Value = Fault> {
    let host = 0..size;
    prop_oneof![
        3 => (host.clone(), host.clone()).prop_map(|(from, to)| Fault::Cut { from, to }),
        1 => host.clone().prop_map(|host| Fault::Isolate { host }),
        3 => Just(Fault::Heal),
        2 => (host.clone(), host.clone(), 100..3_000_u64)
            .prop_map(|(from, to, ms)| Fault::Delay { from, to, ms }),
        1 => (10..60_u64).prop_map(|percent| Fault::Loss { percent }),
        3 => (host.clone(), 200..4_000_u64).prop_map(|(host, ms)| Fault::Pause { host, ms }),
        3 => (host.clone(), 0..2_000_u64).prop_map(|(host, ms)| Fault::Restart { host, ms }),
        2 => host.clone().prop_map(|host| Fault::Release { host }),
        2 => host.clone().prop_map(|host| Fault::Reacquire { host }),
        1 => any::<bool>().prop_map(|up| Fault::Store { up }),
        6 => (host.clone(), host.clone(), host, 0..1_500_u64, any::<bool>()).prop_map(
            |(host, join, leave, ms, lost)| Fault::ChangeList { host, join, leave, ms, lost }
        ),
    ]
}

/// Number of hosts, and faults with their times.
fn schedule() -> impl Strategy<Value = (usize, Vec<(u64, Fault)>)> {
    (3..=MAX_HOSTS).prop_flat_map(|size| {
        let at = WARM_UP_MS..WARM_UP_MS + FAULT_SPAN_MS;
        (Just(size), prop::collection::vec((at, fault(size)), 0..60))
    })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 200, ..ProptestConfig::default() })]

    /// Guards against two hosts that own one group at the same time, because of
    /// delayed, reordered or lost messages, one-way partitions, pauses, restarts,
    /// releases or changes of the member list.
    #[test]
    fn a_group_never_has_two_owners(
        seed in any::<u64>(),
        listed in 1..=MAX_HOSTS,
        (size, faults) in schedule(),
    ) {
        let mut sim = Simulation::new(size, listed.min(size), seed);
        for (at, fault) in faults {
            sim.schedule(at, fault);
        }

        let result = sim.run_until(WARM_UP_MS + FAULT_SPAN_MS + 5_000);

        prop_assert!(result.is_ok(), "{}", result.unwrap_err());
    }
}
