//! Choice of replicas and gates for the shards of one query.

mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_plan::policy::Policy;
use chervil_plan::query::Action;
use chervil_plan::query::Query;
use chervil_plan::query::QuerySpec;
use chervil_plan::topology::Topology;
use chervil_plan::tunables::Tunables;
use chervil_rpc::gate::AskBatch;
use support::large;
use support::large::SHARDS;

fn policy() -> Policy {
    Policy::new(Tunables { canary: false, ..Tunables::default() })
}

/// Batches that a new query sends at once.
fn first_batches(
    topology: &Arc<Topology>,
    policy: &mut Policy,
    now: Instant,
    seed: u64,
) -> Vec<AskBatch> {
    let spec = QuerySpec {
        incarnation: 1,
        query: seed,
        service: "lookup".into(),
        digest: 1,
        body: "q".into(),
        deadline: now + Duration::from_secs(1),
        trace: None,
        seed,
    };
    let (_, actions) = Query::start(spec, topology.clone(), policy, now);
    let ask = |a| if let Action::SendBatch { ask, .. } = a { Some(ask) } else { None };
    actions.into_iter().filter_map(ask).collect()
}

#[test]
fn sub_requests_of_a_query_are_batched_at_few_gates() {
    // Guards against one message for each shard instead of one for each group:
    // there are 590 shards in 74 groups.
    let topology = large::world(3).topology();

    for seed in 0..20 {
        let batches = first_batches(&topology, &mut policy(), Instant::now(), seed);

        let items: usize = batches.iter().map(|b| b.items.len()).sum();
        assert_eq!(items, SHARDS as usize);
        assert!(batches.len() <= 80, "{} messages", batches.len());
    }
}

#[test]
fn servers_in_the_entrys_zone_are_preferred() {
    // Guards against traffic between zones although the entry's zone has replicas
    // of all shards.
    let topology = large::world(5).topology();

    let batches = first_batches(&topology, &mut policy(), Instant::now(), 1);

    let items = batches.iter().flat_map(|b| &b.items);
    let local =
        items.filter(|i| topology.find_server(&i.server).is_some_and(|s| topology.server(s).local));
    assert_eq!(local.count(), SHARDS as usize);
}

#[test]
fn a_deprioritized_replica_is_asked_only_if_there_is_no_other() {
    // Guards against requests to a replica that has just failed while others
    // exist, and against a missing shard when its only replica has failed.
    let now = Instant::now();
    for (replicas, expected) in [(3, 0), (1, 1)] {
        let topology = large::world(replicas).topology();
        let mut policy = policy();
        policy.health.record_failure("server-7", now);

        let batches = first_batches(&topology, &mut policy, now, 1);

        let items = batches.iter().flat_map(|b| &b.items);
        let deprioritized = items.clone().filter(|i| &*i.server == "server-7").count();
        assert_eq!(items.count(), SHARDS as usize);
        assert_eq!(deprioritized, expected, "{replicas} replicas");
    }
}

#[test]
fn a_server_with_high_measured_latency_gets_few_sub_requests() {
    // Guards against a choice by zone and preference alone that ignores the
    // measured latency.
    let topology = large::world(3).topology();
    let mut policy = policy();
    (0..100).for_each(|i| {
        policy.health.record_latency(&format!("server-{i}"), Duration::from_millis(10))
    });
    (0..50).for_each(|_| policy.health.record_latency("server-7", Duration::from_millis(200)));

    let (now, mut slow) = (Instant::now(), 0);
    for seed in 0..20 {
        let batches = first_batches(&topology, &mut policy, now, seed);
        for item in batches.iter().flat_map(|b| &b.items) {
            slow += u32::from(&*item.server == "server-7");
            policy.health.record_ended(&item.server);
        }
    }

    assert!(slow <= 2, "asked {slow} of 20 times");
}
