//! Choice of the servers for canary probes, which may crash.

mod support;

use std::time::Duration;

use chervil_plan::policy::Policy;
use chervil_plan::query::NotRunReason;
use chervil_plan::query::QueryOutcome;
use chervil_plan::tunables::Tunables;
use support::sim::Sim;
use support::world::Fault;
use support::world::FaultKind;
use support::world::Held;
use support::world::SimServer;
use support::world::World;

/// Eight servers in a ring; each holds one shard and the following one, and
/// crashes on every request.
fn ring() -> World {
    let server = |i: u32| SimServer {
        name: format!("s{i}").into(),
        zone: i % 3,
        gate: i,
        held: vec![Held { version: 7, total: 8, shards: [i, (i + 1) % 8].into_iter().collect() }],
        reported: None,
    };
    let lost =
        Fault { kind: FaultKind::Lost, server: None, shards: None, times: None, delay_ms: 0 };
    World { servers: (0..8).map(server).collect(), faults: vec![lost], ..World::default() }
}

#[test]
fn probes_that_crash_their_servers_leave_a_replica_of_each_shard() {
    // Guards against probing both replicas of one shard: if the request crashes
    // them, the shard has none left.
    for seed in 0..200 {
        let latency = Box::new(|_| Duration::from_millis(5));
        let mut sim = Sim::new(ring(), Policy::new(Tunables::default()), latency);

        let report = sim.run(Duration::from_secs(1), 1, seed);

        assert!(matches!(
            report.outcome,
            QueryOutcome::RefusedAfterProbe { reason: NotRunReason::Suspect, .. }
        ));
        assert_eq!(report.lost.len(), 2);
        for shard in 0..8 {
            let replicas = [shard, (shard + 7) % 8].map(|s: u32| format!("s{s}"));
            let remains = replicas.iter().any(|h| !report.lost.contains(h.as_str()));
            assert!(remains, "seed {seed}: no replica of shard {shard} is left");
        }
    }
}
