//! Non-idempotent work: which attempts follow which end.

mod support;

use std::sync::Arc;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_plan::layout::Layout;
use chervil_plan::once::Attempt;
use chervil_plan::once::AttemptEnd;
use chervil_plan::once::Once;
use chervil_plan::once::Step;
use chervil_plan::policy::Policy;
use chervil_plan::tunables::Tunables;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunReply;
use support::world::Held;
use support::world::SimServer;
use support::world::World;

fn layout() -> Arc<Layout> {
    let held = Held { version: 7, total: 2, shards: (0..2).collect() };
    let server = |i: u32| SimServer {
        name: format!("s{i}").into(),
        zone: i,
        gate: i,
        held: vec![held.clone()],
        reported: None,
    };
    World { servers: (0..3).map(server).collect(), ..World::default() }.layout()
}

fn refused(reason: Refusal) -> AttemptEnd {
    AttemptEnd::Reply(RunReply::NotRun { reason })
}

fn asked(step: Step) -> Attempt {
    match step {
        Step::Ask(attempt) => attempt,
        other => panic!("{other:?} in place of an attempt"),
    }
}

#[test]
fn only_a_proven_refusal_leads_to_another_attempt() {
    // Guards against a second run of work that may have been started.
    let (layout, mut policy) = (layout(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let ends = [
        (AttemptEnd::Reply(RunReply::Unknown), Step::Unknown),
        (AttemptEnd::NoReply, Step::Unknown),
        (AttemptEnd::Reply(RunReply::Done { body: "x".into() }), Step::Done("x".into())),
    ];

    for (end, expected) in ends {
        let mut once = Once::new(1);
        asked(once.start(&layout, &policy, now));
        assert_eq!(once.attempt_ended(end, &layout, &mut policy, now), expected);
    }
}

#[test]
fn every_server_is_tried_before_the_work_is_not_run() {
    // Guards against a refusal although a server would have run the work.
    let (layout, mut policy) = (layout(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let mut once = Once::new(1);
    let mut servers = HashSet::default();

    let mut step = once.start(&layout, &policy, now);
    let mut attempts = 0;
    while let Step::Ask(attempt) = step {
        servers.insert(attempt.server);
        attempts += 1;
        step = once.attempt_ended(refused(Refusal::Busy), &layout, &mut policy, now);
    }

    assert_eq!(servers.len(), 3);
    assert!(attempts <= 8, "{attempts} attempts");
    assert_eq!(step, Step::NotRun(Some(Refusal::Busy)));
}

#[test]
fn a_server_in_the_own_zone_is_preferred_unless_it_fails() {
    // Guards against traffic between zones, and against work for a dead server.
    let (layout, mut policy) = (layout(), Policy::new(Tunables::default()));
    let now = Instant::now();

    let near = asked(Once::new(1).start(&layout, &policy, now));
    policy.replicas.failed("s0", now);
    let other = asked(Once::new(1).start(&layout, &policy, now));

    assert_eq!(&*layout.server(near.server).name, "s0");
    assert_ne!(&*layout.server(other.server).name, "s0");
}

#[test]
fn an_unreachable_gate_is_not_asked_first_again() {
    // Guards against a dead gate that costs each request a connection timeout.
    let (layout, mut policy) = (layout(), Policy::new(Tunables::default()));
    let now = Instant::now();
    let mut once = Once::new(1);
    let first = asked(once.start(&layout, &policy, now));

    let next = asked(once.attempt_ended(AttemptEnd::NoGate, &layout, &mut policy, now));

    assert_ne!(next.gate, first.gate);
    assert_ne!(asked(Once::new(1).start(&layout, &policy, now)).gate, first.gate);
}
