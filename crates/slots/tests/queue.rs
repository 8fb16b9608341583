//! Fairness and capacity of the queue.

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

fn flow(source: u64, query: u64) -> Flow {
    Flow { source, query }
}

/// Guards against one source, or one query of a source, that starves another.
#[test]
fn sources_and_their_queries_take_turns() {
    let k = keys(6);
    let mut queue = FairQueue::new(10);
    for (i, l) in [(1, 1), (1, 1), (1, 1), (1, 2), (2, 1), (2, 1)].iter().enumerate() {
        queue.push(flow(l.0, l.1), k[i]);
    }

    let order: Vec<WorkKey> = std::iter::from_fn(|| queue.pop()).collect();

    assert_eq!(order, [k[0], k[4], k[3], k[5], k[1], k[2]]);
}

/// Guards against a source that fills the queue and thereby shuts others out.
#[test]
fn full_queue_evicts_from_the_source_with_most_items() {
    let k = keys(6);
    let mut queue = FairQueue::new(4);
    for key in &k[..4] {
        queue.push(flow(1, 1), *key);
    }

    assert_eq!(queue.push(flow(1, 2), k[4]), PushResult::Full);
    assert_eq!(queue.push(flow(2, 1), k[5]), PushResult::Evicted(k[3]));
    assert_eq!(queue.len(), 4);
}

proptest! {
    #![proptest_config(fixture::proptest_config(256))]

    /// Guards against lost or duplicated items and a wrong length, for calls in any
    /// order.
    #[test]
    fn each_item_leaves_the_queue_once(
        ops in prop::collection::vec((0..4_u8, 0..3_u64, 0..3_u64), 1..200),
    ) {
        let k = keys(ops.len());
        let mut queue = FairQueue::new(20);
        let mut inside: Vec<(Flow, WorkKey)> = Vec::new();
        for (i, (op, source, query)) in ops.into_iter().enumerate() {
            let flow = flow(source, query);
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
                    let (flow, work) = inside.remove(i % inside.len());
                    queue.remove(flow, work);
                }
                _ => match queue.push(flow, k[i]) {
                    PushResult::Full => {}
                    PushResult::Added => inside.push((flow, k[i])),
                    PushResult::Evicted(work) => {
                        inside.retain(|(_, w)| *w != work);
                        inside.push((flow, k[i]));
                    }
                },
            }
            prop_assert_eq!(queue.len(), inside.len());
            prop_assert!(queue.len() <= 20);
        }
    }
}
