//! Scheduler under random events in random order.

use chervil_base::catalog::Catalog;
use chervil_rpc::gate::Refusal;
use chervil_slots::types::*;
use fixture::*;
use proptest::prelude::*;

mod fixture;

const SLOTS: u32 = 3;
const CONNECTIONS: u32 = 2;

fn end(pick: usize, rig: &Rig) -> Completion {
    let report = Some(rig.report(pick as u32 % 4));
    let refused = |reason| Completion::Refused { reason };
    let ends = [
        Completion::Replied { report },
        Completion::Replied { report: None },
        Completion::WrongVersion,
        refused(Refusal::Busy),
        refused(Refusal::Cold),
        refused(Refusal::Draining),
        Completion::OwnershipLost,
        Completion::NotWritten,
        Completion::ConnectionLost,
        Completion::TimedOut,
        Completion::InvalidReply,
    ];
    ends[pick % ends.len()]
}

fn step(rig: &mut Rig, op: u8, pick: usize) {
    match op {
        0..=5 => {
            let work = Work {
                fresh_conn: pick.is_multiple_of(3),
                shard: pick as u32 % 2,
                ..fixture::work(1, pick as u64 % 3, rig.now + 50 * MS)
            };
            let _ = rig.submit_work(&work);
        }
        6..=9 if !rig.started.is_empty() => {
            let (work, _) = rig.started[pick % rig.started.len()];
            let end = end(pick, rig);
            rig.finish(work, &end);
        }
        10 if !rig.started.is_empty() => {
            if let Some((work, _)) = rig.started.remove(pick % rig.started.len()) {
                rig.scheduler.cancel(work, rig.now);
            }
        }
        11..=13 => answer(rig, pick),
        14 => rig.scheduler.set_lease(rig.now + (pick as u32 % 100) * MS, rig.now),
        15 => {
            rig.spec.servers[0].in_service = !pick.is_multiple_of(4);
            rig.spec.servers[0].address.set_port(9000 + u16::from(pick.is_multiple_of(5)));
            let catalog = Catalog::new(&rig.spec);
            let owned = fixture::all_groups(&catalog, pick.is_multiple_of(2));
            let owned = if pick.is_multiple_of(3) { &[] } else { &owned[..] };
            rig.scheduler.configure(&catalog, owned, rig.now);
        }
        16 => rig.scheduler.add_hints(&[fixture::hint(pick as u32 % 5)], rig.now),
        _ => {
            rig.advance((pick as u32 % 40) * MS);
            rig.scheduler.tick(rig.now);
        }
    }
    rig.collect_actions();
}

/// Completes the oldest pending action on a connection, in varying ways.
fn answer(rig: &mut Rig, pick: usize) {
    let mut status = rig.status(pick as u32 % 4);
    status.draining = pick.is_multiple_of(11);
    if let Some(conn) = rig.opens.pop_front() {
        match pick % 4 {
            0 => rig.scheduler.open_failed(conn, rig.now),
            1 => {
                rig.scheduler.opened_without_status(conn, rig.now);
            }
            _ => rig.scheduler.opened(conn, &status, rig.now),
        }
    } else if let Some(conn) = rig.prepares.pop_front() {
        rig.scheduler.lazy_conn_ready(conn, rig.now);
    } else if let Some(conn) = rig.probes.pop_front() {
        let status = (!pick.is_multiple_of(3)).then_some(&status);
        rig.scheduler.probe_finished(conn, status, rig.now);
    }
}

proptest! {
    #![proptest_config(fixture::proptest_config(1000))]

    /// Guards against panics, exceeded limits and leaks: the limits on slots,
    /// connections and queue length hold after each event, and no item or server
    /// remains once all calls have ended.
    #[test]
    fn any_order_of_events_keeps_the_limits(
        ops in prop::collection::vec((0..20_u8, 0..1000_usize), 1..300),
    ) {
        let mut rig = Rig::new(SLOTS, CONNECTIONS, false);
        for (op, pick) in ops {
            step(&mut rig, op, pick);
            if let Some(load) = rig.scheduler.load(SERVER) {
                prop_assert!(load.running <= SLOTS as usize);
                prop_assert!(load.connections <= CONNECTIONS as usize);
                prop_assert!(load.queued <= 8);
            }
        }

        let catalog = Catalog::new(&rig.spec);
        rig.scheduler.configure(&catalog, &[], rig.now);
        rig.advance(HOUR);
        rig.collect_actions();
        while let Some((work, _)) = rig.started.front().copied() {
            rig.finish(work, &Completion::TimedOut);
        }
        while rig.opens.len() + rig.prepares.len() + rig.probes.len() > 0 {
            answer(&mut rig, 2);
            rig.collect_actions();
        }
        prop_assert_eq!(rig.scheduler.pending(), 0);
        prop_assert!(rig.scheduler.load(SERVER).is_none());
    }
}
