//! Takeover of servers that run another gate's work.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use fixture::sim::Sim;
use fixture::*;

mod fixture;

const SECOND: Duration = Duration::from_secs(1);

/// Lets a second gate take over a server that a first one uses fully, under 200
/// seeds; the first one's lease lapses before that if `lapse` is set.
fn take_over(service: Duration, lapse: bool) {
    for seed in 0..200 {
        let mut sim = Sim::new(2, service, seed);
        sim.own(0, 3, 20, false);
        sim.load(0, service / 8, 2 * SECOND);
        sim.run(SECOND);
        if lapse {
            sim.lapse(0);
        }
        sim.own(1, 3, 20, true);
        sim.load(1, service / 8, SECOND);
        sim.run(SECOND);

        assert!(sim.peak <= 3, "seed {seed}: {} at once", sim.peak);
        assert!(sim.served[0] > 20, "seed {seed}: {:?}", sim.served);
        assert!(!lapse || sim.served[1] > 20, "seed {seed}: {:?}", sim.served);
    }
}

/// Guards against the new owner using slots that the former owner's work still
/// holds: the former owner does not know of the loss and its lease lapses with
/// work running and queued.
#[test]
fn work_of_a_lapsed_owner_counts_against_the_slots() {
    take_over(40 * MS, true);
}

/// Guards against two gates that both hold the right to send overloading a
/// busy server: the second sees that the first uses all slots.
#[test]
fn a_second_owner_leaves_the_slots_to_a_busy_first_one() {
    take_over(20 * MS, false);
}

/// Guards against phantom work: without another owner, the estimate of the
/// work of others must not take slots away from steady load.
#[test]
fn steady_load_uses_all_slots() {
    let mut sim = Sim::new(1, 20 * MS, 1);
    sim.own(0, 4, 20, false);
    sim.load(0, 4 * MS, 4 * SECOND);

    sim.run(5 * SECOND);

    // 4 slots of 20 ms serve 800 items in 4 s.
    assert_eq!(sim.peak, 4);
    assert!(sim.served[0] > 700, "{}", sim.served[0]);
}

/// Guards against cancelled work being forgotten while the server still runs
/// it, and against its slots being lost for good.
#[test]
fn cancelled_work_holds_its_slot_until_the_server_ends_it() {
    for seed in 0..100 {
        let mut sim = Sim::new(1, 20 * MS, seed);
        sim.cancel_share = 0.3;
        sim.own(0, 2, 4, false);
        sim.load(0, 10 * MS, 2 * SECOND);

        sim.run(3 * SECOND);

        assert!(sim.cancelled > 20, "seed {seed}: {}", sim.cancelled);
        assert!(sim.peak <= 2, "seed {seed}: {} at once", sim.peak);
        assert!(sim.connections_peak <= 4, "seed {seed}: {}", sim.connections_peak);
        assert!(sim.served[0] > 60, "seed {seed}: {}", sim.served[0]);
        assert_eq!(sim.gates[0].load(fixture::SERVER).unwrap().external, 0, "seed {seed}");
    }
}

/// Guards against slots of cancelled work staying unused on a busy server, whose
/// reports always show recent items.
#[test]
fn cancels_cost_a_busy_server_little_capacity() {
    let mut sim = Sim::new(1, 20 * MS, 1);
    sim.cancel_share = 0.05;
    sim.own(0, 6, 20, false);
    sim.load(0, 3 * MS, 10 * SECOND);

    sim.run(11 * SECOND);

    // 6 slots of 20 ms and 2 ms of travel serve 2,700 items in 10 s.
    assert!(sim.peak <= 6, "{} at once", sim.peak);
    assert!(sim.served[0] > 2_200, "{}", sim.served[0]);
}

/// Guards against a takeover that looks like a cold start of the fleet, and
/// against one that trusts an unknown server fully.
#[test]
fn a_takeover_starts_at_the_hint_or_at_half_of_the_slots() {
    let mut hinted = Rig::new(6, 10, true);
    hinted.open(0);
    hinted.slots.add_hints(&[fixture::level(5)], hinted.now);
    let mut unhinted = Rig::new(6, 10, true);
    unhinted.open(0);
    let mut unused = Rig::new(6, 10, false);
    unused.open(0);

    assert_eq!((hinted.level(), unhinted.level(), unused.level()), (5, 3, 1));
}

/// Guards against work being sent before the status shows what runs, and
/// against a single report that shows a slot between two requests of another
/// sender.
#[test]
fn work_of_others_is_read_before_anything_starts() {
    let mut rig = Rig::new(4, 10, true);
    rig.submit(1).unwrap();
    rig.open(2);
    rig.settle(0, 50 * MS);
    assert!(rig.started.is_empty());

    rig.settle(2, 300 * MS);
    assert_eq!(rig.slots.load(fixture::SERVER).unwrap().external, 2);
    assert!(rig.started.is_empty());

    rig.settle(1, 300 * MS);
    assert_eq!(rig.started.len(), 1);
}

/// Guards against a server being unused for ever because its status claims
/// work that does not exist.
#[test]
fn a_server_that_claims_to_be_full_is_tried_after_a_while() {
    let mut rig = Rig::new(2, 10, true);
    rig.open(9);
    rig.settle(9, 2 * SECOND);
    rig.submit(1).unwrap();
    assert!(rig.started.is_empty());

    rig.settle(9, 2 * SECOND);

    assert_eq!(rig.started.len(), 1);
}

/// Guards against a planned handover waiting for reports of running work.
#[test]
fn a_released_server_is_used_after_one_status() {
    let mut rig = Rig::new(4, 10, true);
    rig.spec.servers[0].name = "lookup-2".into();
    let catalog = chervil_base::catalog::Catalog::new(&rig.spec);
    let mut owned = fixture::all_groups(&catalog, true);
    owned[0].unreleased = false;
    rig.slots.configure(&catalog, &owned, rig.now);
    rig.opens.clear();
    rig.sort();
    let work = chervil_slots::types::Work {
        server: "lookup-2".into(),
        ..fixture::work(1, 1, rig.now + SECOND)
    };
    rig.submit_work(&work).unwrap();

    rig.open(0);

    assert_eq!(rig.started.len(), 1);
}
