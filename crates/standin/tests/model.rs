//! Decisions of a simulated server.

#![allow(clippy::unwrap_used)]

use std::time::Duration;
use std::time::Instant;

use chervil_base::index::HeldVersion;
use chervil_base::shards::ShardSet;
use chervil_standin::faults::Faults;
use chervil_standin::model::Model;
use chervil_standin::request::Decision;
use chervil_standin::request::Execution;
use chervil_standin::request::Limits;
use chervil_standin::request::RefusalReason;
use chervil_standin::request::RequestKind;
use chervil_standin::settings::assigned_shards;

const ASK: RequestKind<'static> = RequestKind::Ask { version: 1, shard: 0 };

fn model(faults: Faults) -> Model {
    let limits = Limits { slots: 4, connections: 10 };
    let mut model = Model::new(limits, faults, 1, Instant::now());
    model.publish(HeldVersion { version: 1, shards: 2, held: ShardSet::full(2) });
    model
}

fn refusing() -> Faults {
    Faults { cold_refuses: true, warm_after: 2, ..Faults::default() }
}

fn admit(model: &mut Model) -> Decision {
    model.admit(ASK, b"", Instant::now())
}

fn run(model: &mut Model) -> Execution {
    match admit(model) {
        Decision::Run(execution) => execution,
        other => panic!("{other:?}"),
    }
}

/// Requests that the server accepts at once; all of them end.
fn capacity(model: &mut Model) -> usize {
    let mut executions = Vec::new();
    while let Decision::Run(execution) = admit(model) {
        executions.push(execution);
    }
    executions.iter().for_each(|p| model.cancel(p));
    executions.len()
}

// Guards against a cold start that never ends, or ends without good replies.
#[test]
fn cold_server_warms_up_with_served_requests() {
    let mut model = model(refusing());
    model.make_cold();
    let mut seen = vec![capacity(&mut model)];

    for _ in 0..2 {
        for _ in 0..2 {
            let execution = run(&mut model);
            model.finish(&execution);
        }
        seen.push(capacity(&mut model));
    }

    assert_eq!(seen, [1, 2, 4]);
}

// Guards against requests of a crashed server that free slots of the next
// start.
#[test]
fn requests_of_an_earlier_start_do_not_count() {
    let mut model = model(refusing());
    let (a, b) = (run(&mut model), run(&mut model));
    model.restart(Instant::now());
    let new = run(&mut model);

    model.finish(&a);
    model.cancel(&b);

    assert_eq!(model.stats().running, 1);
    assert_eq!(admit(&mut model), Decision::Refuse(RefusalReason::Cold));
    model.finish(&new);
    assert_eq!(model.stats().running, 0);
}

// Guards against a seed that does not determine the service times.
#[test]
fn service_times_follow_the_seed() {
    let slow = Faults { slow_share: 0.2, ..Faults::default() };
    let times = |mut model: Model| -> Vec<Duration> {
        let mut one = || {
            let execution = run(&mut model);
            model.finish(&execution);
            execution.service_time
        };
        (0..200).map(|_| one()).collect()
    };

    let (a, b) = (times(model(slow.clone())), times(model(slow)));

    assert_eq!(a, b);
    let slow = a.iter().filter(|t| **t >= Duration::from_millis(500)).count();
    assert!((20..=60).contains(&slow), "{slow}");
}

// Guards against a late count that includes the time in which work may still
// arrive.
#[test]
fn work_counts_as_late_after_three_seconds() {
    let mut model = model(Faults::default());
    let out = Instant::now();
    model.set_out_of_service(true, out);

    for ms in [10, 2_999, 3_001] {
        model.admit(ASK, b"", out + Duration::from_millis(ms));
    }

    let stats = model.stats();
    assert_eq!((stats.after_out, stats.after_out_late, stats.last_after_out_ms), (3, 1, 3_001));
}

// Guards against shards without the promised number of replicas.
#[test]
fn each_shard_has_its_replicas() {
    for (servers, replicas) in [(3, 2), (7, 2), (4, 3), (2, 5)] {
        for shard in 0..20 {
            let holders =
                (0..servers).filter(|i| assigned_shards(*i, servers, 20, replicas).contains(shard));
            assert_eq!(holders.count() as u32, replicas.min(servers));
        }
    }
}
