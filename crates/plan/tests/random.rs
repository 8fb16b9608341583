//! Property test with random clusters, faults and index changes: the rows of an
//! answer must equal those of a naive executor over exactly the shards that the
//! coverage claims, at one version, before the deadline and within the budget of
//! extra sub-requests.

mod support;

use std::time::Duration;

use chervil_base::HashSet;
use chervil_base::shards::ShardSet;
use chervil_plan::policy::Policy;
use chervil_plan::query::QueryOutcome;
use chervil_plan::tunables::Tunables;
use proptest::prelude::*;
use support::naive;
use support::sim::Report;
use support::sim::Sim;
use support::world::Change;
use support::world::Fault;
use support::world::FaultKind;
use support::world::Held;
use support::world::SimServer;
use support::world::World;

const KINDS: [FaultKind; 12] = [
    FaultKind::Shed,
    FaultKind::Slow,
    FaultKind::Lost,
    FaultKind::Busy,
    FaultKind::NotOwner,
    FaultKind::Failed,
    FaultKind::Silent,
    FaultKind::Duplicated,
    FaultKind::OtherVersion,
    FaultKind::Partial,
    FaultKind::Foreign,
    FaultKind::GateLost,
];

/// Initial tokens of the two buckets of a new retry budget.
const INITIAL_TOKENS: u64 = 40;

/// Number of shards of a version; it differs between versions.
fn total(version: u64) -> u32 {
    if version.is_multiple_of(2) { 16 } else { 12 }
}

fn held() -> impl Strategy<Value = Vec<Held>> {
    let version = (7u64..10, proptest::collection::vec(any::<bool>(), 16), any::<bool>());
    let version = version.prop_map(|(version, bits, all)| {
        let total = total(version);
        let shards = (0..total).filter(|s| all || bits[*s as usize]).collect();
        Held { version, total, shards }
    });
    proptest::collection::vec(version, 1..3).prop_map(|mut all| {
        all.sort_by_key(|h| h.version);
        all.dedup_by_key(|h| h.version);
        all
    })
}

fn server(at: usize) -> impl Strategy<Value = SimServer> {
    (held(), proptest::option::weighted(0.2, held()), 0u32..3, 0u32..3).prop_map(
        move |(held, reported, zone, gate)| SimServer {
            name: format!("s{at}").into(),
            zone,
            gate,
            held,
            reported,
        },
    )
}

fn fault() -> impl Strategy<Value = Fault> {
    let server = proptest::option::of(0usize..6);
    let shards = proptest::option::of(0u32..16);
    let times = proptest::option::of(1u32..8);
    (0..KINDS.len(), server, shards, times, 0u64..300).prop_map(
        |(kind, server, shard, times, delay_ms)| Fault {
            kind: KINDS[kind],
            server: server.map(|s| format!("s{s}").into()),
            shards: shard.map(|s| (s..s + 4).collect::<ShardSet>()),
            times,
            delay_ms,
        },
    )
}

fn world() -> impl Strategy<Value = World> {
    let servers = (1usize..6).prop_flat_map(|n| (0..n).map(server).collect::<Vec<_>>());
    let changes = proptest::collection::vec((0u64..300, 0usize..6, held()), 0..4);
    (servers, proptest::collection::vec(fault(), 0..5), changes).prop_map(
        |(servers, faults, changes)| {
            let count = servers.len();
            let change = |(at_ms, s, held): (u64, usize, Vec<Held>)| Change {
                at_ms,
                server: format!("s{}", s % count).into(),
                held,
            };
            World { servers, faults, changes: changes.into_iter().map(change).collect() }
        },
    )
}

fn check(report: &Report, timeout: Duration) -> Result<(), TestCaseError> {
    prop_assert!(report.took <= timeout, "took {:?}", report.took);
    if matches!(report.outcome, QueryOutcome::NotRun { .. }) {
        prop_assert_eq!(report.losses, 0, "not run, but a server was lost");
    }
    let QueryOutcome::Answer { coverage, rows } = &report.outcome else { return Ok(()) };
    prop_assert!(coverage.version.is_some(), "an answer without a version");
    let version = coverage.version.unwrap_or_default();
    prop_assert_eq!(coverage.total, total(version));
    let missing: HashSet<u32> = coverage.missing.iter().map(|m| m.shard).collect();
    prop_assert_eq!(coverage.answered as usize + missing.len(), coverage.total as usize);
    let covered: Vec<u32> = (0..coverage.total).filter(|s| !missing.contains(s)).collect();
    prop_assert_eq!(rows, &naive::execute(version, &covered));
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn rows_equal_those_of_the_naive_executor(
        world in world(),
        canary in any::<bool>(),
        seeds in proptest::collection::vec(any::<u64>(), 1..4),
        timeout_ms in 5u64..600,
    ) {
        let tunables = Tunables { canary, ..Tunables::default() };
        let latency = |n: u64| Duration::from_micros(2_000 + n * 7_919 % 9_000);
        let mut sim = Sim::new(world, Policy::new(tunables), Box::new(latency));
        let timeout = Duration::from_millis(timeout_ms);

        let mut sent = 0;
        for seed in seeds {
            let report = sim.run(timeout, seed % 2, seed);
            sent += report.sent;
            check(&report, timeout)?;
        }

        // The probe of each permit is a sub-request outside of the budget.
        let needed = sim.policy.budget.needed();
        let probes = sim.granted();
        prop_assert!(sent <= needed + needed / 10 + INITIAL_TOKENS + probes, "{sent} for {needed}");
        prop_assert_eq!(sim.policy.limiter.running(), 0);
    }
}
