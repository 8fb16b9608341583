//! Measures the CPU time of planning one query with 590 shards.
//!
//! Only the planning is measured: the replies are built outside of the timed
//! sections. All work runs on one thread, so wall-clock time equals CPU time
//! unless the thread is preempted; the median filters such queries out.

#[path = "../tests/support/mod.rs"]
mod support;

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_plan::policy::Policy;
use chervil_plan::query::Action;
use chervil_plan::query::Event;
use chervil_plan::query::Query;
use chervil_plan::query::QueryOutcome;
use chervil_plan::query::QuerySpec;
use chervil_plan::topology::Topology;
use chervil_plan::tunables::Tunables;
use chervil_rpc::gate::AskReply;
use chervil_rpc::gate::AskResult;
use support::large;
use support::world;

const QUERIES: u64 = 400;

fn main() {
    for replicas in [3, 34] {
        let topology = large::world(replicas).topology();
        let mut policy = Policy::new(Tunables { canary: false, ..Tunables::default() });
        let mut spent: Vec<Duration> = Vec::new();
        let mut messages = 0;
        for number in 0..QUERIES {
            let (time, count) = run(number, &topology, &mut policy);
            spent.push(time);
            messages += count;
        }
        spent.sort_unstable();
        let (median, worst) = (spent[spent.len() / 2], spent[spent.len() * 99 / 100]);
        println!(
            "590 shards, {replicas} replicas each: median {median:?}, 99th percentile {worst:?}, \
             {} messages to gates a query",
            messages as u64 / QUERIES
        );
    }
}

/// Plans one query; returns the time spent and the number of messages to gates.
fn run(number: u64, topology: &Arc<Topology>, policy: &mut Policy) -> (Duration, usize) {
    let now = Instant::now();
    let spec = QuerySpec {
        incarnation: 1,
        query: number,
        service: "lookup".into(),
        digest: number,
        body: "x".repeat(200).into(),
        deadline: now + Duration::from_secs(1),
        trace: None,
        seed: number,
    };
    let mut spent = Duration::ZERO;
    let begin = Instant::now();
    let admitted = policy.limiter.try_acquire().is_ok();
    let (mut query, actions) = Query::start(spec, topology.clone(), policy, now);
    spent += begin.elapsed();
    assert!(admitted);
    let (events, messages) = replies(actions);
    let later = now + Duration::from_millis(10);
    for event in events {
        let begin = Instant::now();
        let actions = query.handle(event, policy, later);
        spent += begin.elapsed();
        for action in actions {
            if let Action::Finish(QueryOutcome::Answer { coverage, .. }) = action {
                assert!(coverage.is_complete());
            }
        }
    }
    assert!(query.is_finished());
    (spent, messages)
}

/// Successful replies to the batches among the actions, and the number of
/// batches.
fn replies(actions: Vec<Action>) -> (Vec<Event>, usize) {
    let mut events = Vec::new();
    let mut messages = 0;
    for action in actions {
        let Action::SendBatch { ask, .. } = action else { continue };
        messages += 1;
        for item in ask.items {
            let (version, rows) = (ask.version, world::rows(ask.version, item.shard));
            let result = AskResult::Rows { version, rows, partial: false };
            let (incarnation, query, attempt) = (ask.incarnation, ask.query, item.attempt);
            events.push(Event::Reply(AskReply { incarnation, query, attempt, result }));
        }
    }
    (events, messages)
}
