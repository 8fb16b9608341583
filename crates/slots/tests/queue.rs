//! Fairness and bounds of queues.

#![allow(clippy::unwrap_used)]

use chervil_slots::queue::*;
use chervil_slots::types::WorkKey;
use proptest::prelude::*;
use slotmap::SlotMap;

mod fixture;

fn keys(count: usize) -> Vec<WorkKey> {
    let mut map: SlotMap<WorkKey, ()> = SlotMap::default();
    (0..count).map(|_| map.insert(())).collect()
}

fn lane(source: u64, query: u64) -> Flow {
    Flow { source, query }
}

/// Guards against one process, or one query of a process, starving another.
#[test]
fn turns_go_round_processes_and_then_queries() {
    let k = keys(6);
    let mut queue = FairQueue::new(10);
    for (i, l) in [(1, 1), (1, 1), (1, 1), (1, 2), (2, 1), (2, 1)].iter().enumerate() {
        queue.push(lane(l.0, l.1), k[i]);
    }

    let order: Vec<WorkKey> = std::iter::from_fn(|| queue.pop()).collect();

    assert_eq!(order, [k[0], k[4], k[3], k[5], k[1], k[2]]);
}

/// Guards against a process that fills the queue keeping others out.
#[test]
fn a_full_queue_evicts_from_the_longest_process() {
    let k = keys(6);
    let mut queue = FairQueue::new(4);
    for key in &k[..4] {
        queue.push(lane(1, 1), *key);
    }

    assert_eq!(queue.push(lane(1, 2), k[4]), PushResult::Full);
    assert_eq!(queue.push(lane(2, 1), k[5]), PushResult::Evicted(k[3]));
    assert_eq!(queue.len(), 4);
}

proptest! {
    #![proptest_config(fixture::seeded(256))]

    /// Guards against lost or repeated items and a wrong length under any
    /// order of calls.
    #[test]
    fn items_come_out_once(ops in prop::collection::vec((0..4_u8, 0..3_u64, 0..3_u64), 1..200)) {
        let k = keys(ops.len());
        let mut queue = FairQueue::new(20);
        let mut inside: Vec<(Flow, WorkKey)> = Vec::new();
        for (i, (op, source, query)) in ops.into_iter().enumerate() {
            let lane = lane(source, query);
            match op {
                0 => {
                    let popped = queue.pop();
                    prop_assert_eq!(popped.is_none(), inside.is_empty());
                    if let Some(work) = popped {
                        let at = inside.iter().position(|(_, w)| *w == work);
                        inside.remove(at.unwrap());
                    }
                }
                1 if !inside.is_empty() => {
                    let (lane, work) = inside.remove(i % inside.len());
                    queue.remove(lane, work);
                }
                _ => match queue.push(lane, k[i]) {
                    PushResult::Full => {}
                    PushResult::Added => inside.push((lane, k[i])),
                    PushResult::Evicted(work) => {
                        inside.retain(|(_, w)| *w != work);
                        inside.push((lane, k[i]));
                    }
                },
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert!(queue.len() <= 20);
        }
    }
}
