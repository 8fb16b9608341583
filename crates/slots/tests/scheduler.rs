//! Leases, cold starts, drains, configuration changes and queue limits.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_rpc::gate::Refusal;
use chervil_slots::types::*;
use fixture::*;

mod fixture;

const SECOND: Duration = Duration::from_secs(1);

/// Guards against starting items after the quorum lease ended under which they were
/// accepted.
#[test]
fn queued_work_does_not_start_after_the_lease_ends() {
    let mut rig = Rig::warm(1);
    let running = rig.submit(1).unwrap();
    let queued = rig.submit(2).unwrap();
    rig.scheduler.set_lease(rig.now + SECOND, rig.now);
    rig.advance(SECOND);

    rig.finish(running, &Completion::Replied { report: None });
    rig.tick();

    assert!(rig.started.is_empty());
    assert_eq!(rig.refused[0].0, queued);
    assert_eq!(rig.refusal_reasons(), [Refusal::NotOwner]);
    assert_eq!(rig.submit(3).unwrap_err().reason, Refusal::NotOwner);
}

/// Guards against relying on the load known before a lapse of the lease, during which
/// another host may have owned the server.
#[test]
fn status_is_read_first_after_a_lease_lapse() {
    let mut rig = Rig::warm(2);
    rig.scheduler.set_lease(rig.now, rig.now);
    rig.advance(SECOND);
    rig.tick();

    rig.scheduler.set_lease(rig.now + HOUR, rig.now);
    rig.collect_actions();
    rig.submit(1).unwrap();
    assert!(rig.started.is_empty());

    rig.answer_probes(0, 500 * MS);
    assert_eq!(rig.started.len(), 1);
}

/// Guards against sending a cold server more concurrent items than it is known to
/// handle.
#[test]
fn the_level_doubles_after_eight_good_replies() {
    let mut rig = Rig::new(6, 10, false);
    rig.open(0);
    let mut levels = Vec::new();

    for _ in 0..4 {
        levels.push(rig.level());
        rig.serve(8);
    }

    assert_eq!(levels, [1, 2, 4, 6]);
}

/// Guards against missing a sign of a cold start: a refusal, a lost connection, a
/// restart or several slow replies.
#[test]
fn cold_start_signals_reset_the_level() {
    let refused = |rig: &mut Rig| {
        let work = rig.submit(1).unwrap();
        rig.finish(work, &Completion::Refused { reason: Refusal::Cold });
    };
    let lost = |rig: &mut Rig| {
        let work = rig.submit(1).unwrap();
        rig.finish(work, &Completion::ConnectionLost);
    };
    let restarted = |rig: &mut Rig| {
        rig.uptime = SECOND;
        rig.serve(1);
    };
    let slow = |rig: &mut Rig| rig.serve_with_latency(3, 100 * MS);
    let signals: [&dyn Fn(&mut Rig); 4] = [&refused, &lost, &restarted, &slow];

    for signal in signals {
        let mut rig = Rig::warm(4);
        rig.serve(20);
        assert_eq!(rig.level(), 4);

        signal(&mut rig);

        assert_eq!(rig.level(), 1);
    }
}

/// Guards against taking single stragglers (1 in 100 replies) for a cold start.
#[test]
fn single_slow_replies_keep_the_level() {
    let mut rig = Rig::warm(4);
    rig.serve(20);

    for _ in 0..10 {
        rig.serve_with_latency(1, 500 * MS);
        rig.serve(9);
    }

    assert_eq!(rig.level(), 4);
}

/// Guards against detecting a restart where replies with an uptime arrived out of
/// order.
#[test]
fn reordered_report_is_not_taken_for_a_restart() {
    let mut rig = Rig::warm(4);
    rig.serve(20);
    let work = rig.submit(1).unwrap();
    let overtaken = rig.report(0);
    rig.advance(20 * MS);
    rig.serve(1);
    rig.advance(20 * MS);

    rig.finish(work, &Completion::Replied { report: Some(overtaken) });

    assert_eq!(rig.level(), 4);
}

/// Guards against sending queued work to a draining server, even if only its refusals
/// show the drain.
#[test]
fn a_draining_server_gets_no_queued_work() {
    let mut rig = Rig::warm(1);
    let running = rig.submit(1).unwrap();
    rig.submit(2).unwrap();

    rig.finish(running, &Completion::Refused { reason: Refusal::Draining });
    rig.answer_probes(0, 10 * SECOND);

    assert_eq!(rig.refusal_reasons(), [Refusal::Draining]);
    assert_eq!(rig.submit(3).unwrap_err().reason, Refusal::Draining);
}

/// Guards against a server that stays unused after its drain ended.
#[test]
fn status_ends_a_drain() {
    let mut rig = Rig::warm(1);
    rig.advance(SECOND);
    rig.tick();
    let conn = rig.probes.pop_front().unwrap();
    let draining = StatusReport { draining: true, ..rig.status(0) };
    rig.scheduler.probe_finished(conn, Some(&draining), rig.now);
    assert_eq!(rig.submit(1).unwrap_err().reason, Refusal::Draining);

    rig.answer_probes(0, 2 * SECOND);

    assert!(rig.submit(2).is_ok());
}

/// Guards against sending queued work to a server that an operator took out of service
/// or removed, and against interrupting its running work.
#[test]
fn configuration_changes_refuse_queued_work_only() {
    let out = |rig: &mut Rig| rig.spec.zones[0].in_service = false;
    let removed = |rig: &mut Rig| rig.spec.servers[0].name = "lookup-9".into();
    let changes: [&dyn Fn(&mut Rig); 2] = [&out, &removed];
    let reasons = [Refusal::OutOfService, Refusal::UnknownServer];

    for (change, reason) in changes.into_iter().zip(reasons) {
        let mut rig = Rig::warm(1);
        let running = rig.submit(1).unwrap();
        rig.submit(2).unwrap();
        change(&mut rig);

        rig.configure(true);

        assert_eq!(rig.refusal_reasons(), [reason]);
        assert!(rig.closed.is_empty());
        assert_eq!(rig.finish(running, &Completion::Replied { report: None }), Disposition::Final);
        assert_eq!(rig.submit(3).unwrap_err().reason, reason);
    }
}

/// Guards against queued work and connections that remain after a loss of ownership.
#[test]
fn lost_ownership_refuses_queued_work_and_closes_connections() {
    let mut rig = Rig::warm(1);
    let running = rig.submit(1).unwrap();
    rig.submit(2).unwrap();
    let catalog = chervil_base::catalog::Catalog::new(&rig.spec);

    rig.scheduler.configure(&catalog, &[], rig.now);
    rig.collect_actions();
    rig.finish(running, &Completion::Replied { report: None });

    assert_eq!(rig.refusal_reasons(), [Refusal::NotOwner]);
    assert_eq!(rig.closed.len(), 1);
    assert_eq!(rig.scheduler.load(SERVER), None);
}

/// Guards against an unbounded queue, and against a refusal that does not say when to
/// retry.
#[test]
fn a_full_queue_refuses_with_a_retry_hint() {
    let mut warm = Rig::warm(2);
    let mut cold = Rig::new(2, 10, false);
    cold.open(0);

    let busy_refused = warm.fill();
    let cold_refused = cold.fill();

    assert_eq!((busy_refused.reason, cold_refused.reason), (Refusal::Busy, Refusal::Cold));
    assert!(busy_refused.retry_after.is_some() && cold_refused.retry_after.is_some());
    assert_eq!(warm.scheduler.load(SERVER).unwrap().queued, 8);
}

/// Guards against starting items whose result is of no use, because they expired or
/// were cancelled while queued.
#[test]
fn expired_and_cancelled_items_leave_the_queue() {
    let mut rig = Rig::warm(1);
    rig.submit(1).unwrap();
    let expiring = rig.submit_work(&fixture::work(1, 2, rig.now + SECOND)).unwrap();
    let cancelled = rig.submit(3).unwrap();

    rig.scheduler.cancel(cancelled, rig.now);
    rig.advance(SECOND);
    rig.tick();

    assert_eq!(rig.refused[0].0, expiring);
    assert_eq!(rig.refusal_reasons(), [Refusal::Expired]);
    assert_eq!(rig.scheduler.load(SERVER).unwrap().queued, 0);
}

/// Guards against an item that holds its slot for good because its completion is never
/// reported.
#[test]
fn item_without_a_completion_is_abandoned() {
    let mut rig = Rig::warm(1);
    let lost = rig.submit_work(&fixture::work(1, 1, rig.now + SECOND)).unwrap();

    rig.advance(3 * SECOND);
    rig.tick();

    assert_eq!(rig.abandoned, [lost]);
    assert_eq!(rig.scheduler.load(SERVER).unwrap().running, 0);
}

/// Guards against accepting new work or dropping accepted work during a stop.
#[test]
fn a_stop_refuses_new_work_and_runs_accepted_work() {
    let mut rig = Rig::warm(1);
    let running = rig.submit(1).unwrap();
    rig.submit(2).unwrap();

    rig.scheduler.stop();
    rig.finish(running, &Completion::Replied { report: None });

    assert_eq!(rig.submit(3).unwrap_err().reason, Refusal::Stopping);
    assert_eq!(rig.started.len(), 1);
    assert_eq!(rig.scheduler.pending(), 1);
}

/// Guards against work that waits until its deadline for a server that cannot be
/// reached.
#[test]
fn unreachable_server_refuses_work_at_once() {
    let mut rig = Rig::new(2, 10, true);
    rig.submit(1).unwrap();
    let conn = rig.opens.pop_front().unwrap();

    rig.scheduler.open_failed(conn, rig.now);
    rig.collect_actions();

    assert_eq!(rig.refusal_reasons(), [Refusal::Unreachable]);
    let refused = rig.submit(2).unwrap_err();
    assert_eq!(refused.reason, Refusal::Unreachable);
    assert!(refused.retry_after.is_some());
    rig.answer_probes(0, 2 * SECOND);
    assert_eq!(rig.opens.len(), 1);
}
