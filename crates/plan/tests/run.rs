//! Non-idempotent work: which attempts follow which end.

mod support;

use std::sync::Arc;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_plan::policy::Policy;
use chervil_plan::run::Attempt;
use chervil_plan::run::AttemptResult;
use chervil_plan::run::Run;
use chervil_plan::run::Step;
use chervil_plan::topology::Topology;
use chervil_plan::tunables::Tunables;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use support::world::Held;
use support::world::SimServer;
use support::world::World;

fn topology() -> Arc<Topology> {
    let held = Held { version: 7, total: 2, shards: (0..2).collect() };
    let server = |i: u32| SimServer {
        name: format!("s{i}").into(),
        zone: i,
        gate: i,
        held: vec![held.clone()],
        reported: None,
    };
    World { servers: (0..3).map(server).collect(), ..World::default() }.topology()
}

fn refused(reason: Refusal) -> AttemptResult {
    AttemptResult::Reply(RunReply::NotRun { reason })
}

fn asked(step: Step) -> Attempt {
    match step {
        Step::Send(attempt) => attempt,
        other => panic!("{other:?} in place of an attempt"),
    }
}

#[test]
fn only_a_proven_refusal_leads_to_another_attempt() {
    // Guards against a second run of work that may have been started.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let ends = [
        (AttemptResult::Reply(RunReply::Unknown), Step::Unknown),
        (AttemptResult::NoReply, Step::Unknown),
        (AttemptResult::Reply(RunReply::Done { body: "x".into() }), Step::Done("x".into())),
    ];

    for (end, expected) in ends {
        let mut once = Run::new(1);
        asked(once.start(&topology, &policy, now));
        assert_eq!(once.on_attempt_result(end, &topology, &mut policy, now), expected);
    }
}

#[test]
fn every_server_is_tried_before_the_work_is_not_run() {
    // Guards against a refusal although a server would have run the work.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let mut once = Run::new(1);
    let mut servers = HashSet::default();

    let mut step = once.start(&topology, &policy, now);
    let mut attempts = 0;
    while let Step::Send(attempt) = step {
        servers.insert(attempt.server);
        attempts += 1;
        step = once.on_attempt_result(refused(Refusal::Busy), &topology, &mut policy, now);
    }

    assert_eq!(servers.len(), 3);
    assert!(attempts <= 8, "{attempts} attempts");
    assert_eq!(step, Step::NotRun(Some(Refusal::Busy)));
}

#[test]
fn a_server_in_the_own_zone_is_preferred_unless_it_fails() {
    // Guards against traffic between zones, and against work for a dead server.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();

    let near = asked(Run::new(1).start(&topology, &policy, now));
    policy.health.record_failure("s0", now);
    let other = asked(Run::new(1).start(&topology, &policy, now));

    assert_eq!(&*topology.server(near.server).name, "s0");
    assert_ne!(&*topology.server(other.server).name, "s0");
}

#[test]
fn an_unreachable_gate_is_not_asked_first_again() {
    // Guards against a dead gate that costs each request a connection timeout.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let mut once = Run::new(1);
    let first = asked(once.start(&topology, &policy, now));

    let next =
        asked(once.on_attempt_result(AttemptResult::GateUnreachable, &topology, &mut policy, now));

    assert_ne!(next.gate, first.gate);
    assert_ne!(asked(Run::new(1).start(&topology, &policy, now)).gate, first.gate);
}
