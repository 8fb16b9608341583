//! Attempts of non-idempotent requests.

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

fn attempt(step: Step) -> Attempt {
    match step {
        Step::Send(attempt) => attempt,
        other => panic!("expected an attempt, got {other:?}"),
    }
}

#[test]
fn no_second_attempt_after_one_that_may_have_run() {
    // Guards against a request running twice because a server may have started
    // it although its reply is lost or says that the outcome is unknown.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let ends = [
        (AttemptResult::Reply(RunReply::Unknown), Step::Unknown),
        (AttemptResult::NoReply, Step::Unknown),
        (AttemptResult::Reply(RunReply::Done { body: "x".into() }), Step::Done("x".into())),
    ];

    for (end, expected) in ends {
        let mut run = Run::new(1);
        attempt(run.start(&topology, &policy, now));
        assert_eq!(run.on_attempt_result(end, &topology, &mut policy, now), expected);
    }
}

#[test]
fn every_server_is_tried_before_the_request_is_refused() {
    // Guards against a refusal while another server would have run the request,
    // and against more than 8 attempts.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let mut run = Run::new(1);
    let mut servers = HashSet::default();

    let mut step = run.start(&topology, &policy, now);
    let mut attempts = 0;
    while let Step::Send(attempt) = step {
        servers.insert(attempt.server);
        attempts += 1;
        step = run.on_attempt_result(refused(Refusal::Busy), &topology, &mut policy, now);
    }

    assert_eq!(servers.len(), 3);
    assert!(attempts <= 8, "{attempts} attempts");
    assert_eq!(step, Step::NotRun(Some(Refusal::Busy)));
}

#[test]
fn a_server_in_the_entrys_zone_is_preferred_unless_it_fails() {
    // Guards against traffic between zones without need, and against requests to
    // a server that has just failed.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();

    let local = attempt(Run::new(1).start(&topology, &policy, now));
    policy.health.record_failure("s0", now);
    let other = attempt(Run::new(1).start(&topology, &policy, now));

    assert_eq!(&*topology.server(local.server).name, "s0");
    assert_ne!(&*topology.server(other.server).name, "s0");
}

#[test]
fn an_unreachable_gate_is_deprioritized() {
    // Guards against an unreachable gate that costs every request a connection
    // timeout.
    let (topology, mut policy) = (topology(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let mut run = Run::new(1);
    let first = attempt(run.start(&topology, &policy, now));

    let next =
        attempt(run.on_attempt_result(AttemptResult::GateUnreachable, &topology, &mut policy, now));

    assert_ne!(next.gate, first.gate);
    assert_ne!(attempt(Run::new(1).start(&topology, &policy, now)).gate, first.gate);
}
