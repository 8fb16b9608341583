//! Admission, warm-up and counters of a simulated server.

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

fn refuse_when_cold() -> Faults {
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

/// Number of requests that the server runs concurrently; cancels them all.
fn capacity(model: &mut Model) -> usize {
    let mut executions = Vec::new();
    while let Decision::Run(execution) = admit(model) {
        executions.push(execution);
    }
    executions.iter().for_each(|e| model.cancel(e));
    executions.len()
}

// Guards against a warm-up that never ends, or that advances without served
// requests: here every 2 of them double the limit until it reaches the 4 slots.
#[test]
fn cold_server_warms_up_with_served_requests() {
    let mut model = model(refuse_when_cold());
    model.make_cold();
    let mut limits = vec![capacity(&mut model)];

    for _ in 0..2 {
        for _ in 0..2 {
            let execution = run(&mut model);
            model.finish(&execution);
        }
        limits.push(capacity(&mut model));
    }

    assert_eq!(limits, [1, 2, 4]);
}

// Guards against requests admitted before a restart that free slots after it:
// their guards are dropped only when the reset reaches their connections.
#[test]
fn requests_of_an_earlier_incarnation_do_not_free_slots() {
    let mut model = model(refuse_when_cold());
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

// Guards against service times that differ between runs with the same seed.
#[test]
fn service_times_follow_the_seed() {
    let faults = Faults { slow_share: 0.2, ..Faults::default() };
    let times = |mut model: Model| -> Vec<Duration> {
        let mut serve = || {
            let execution = run(&mut model);
            model.finish(&execution);
            execution.service_time
        };
        (0..200).map(|_| serve()).collect()
    };

    let (a, b) = (times(model(faults.clone())), times(model(faults)));

    assert_eq!(a, b);
    let slow = a.iter().filter(|t| **t >= Duration::from_millis(500)).count();
    assert!((20..=60).contains(&slow), "{slow}");
}

// Guards against a late count that includes requests within the 3 s in which
// they may still arrive after a server was taken out of service.
#[test]
fn requests_count_as_late_three_seconds_after_the_mark() {
    let mut model = model(Faults::default());
    let marked = Instant::now();
    model.set_out_of_service(true, marked);

    for ms in [10, 2_999, 3_001] {
        model.admit(ASK, b"", marked + Duration::from_millis(ms));
    }

    let stats = model.stats();
    assert_eq!((stats.after_out, stats.after_out_late, stats.last_after_out_ms), (3, 1, 3_001));
}

// Guards against an assignment that gives a shard fewer replicas than
// configured, or more than there are servers.
#[test]
fn each_shard_is_assigned_to_its_replicas() {
    for (servers, replicas) in [(3, 2), (7, 2), (4, 3), (2, 5)] {
        for shard in 0..20 {
            let holders =
                (0..servers).filter(|i| assigned_shards(*i, servers, 20, replicas).contains(shard));
            assert_eq!(holders.count() as u32, replicas.min(servers));
        }
    }
}
