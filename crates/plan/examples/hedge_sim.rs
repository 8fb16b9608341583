//! Simulates queries of 590 shards with 1 in 100 replies delayed by 500 ms,
//! and reports completeness within 110 ms and the extra sub-requests.
//!
//! A sub-request takes 10 ms plus an exponential time of 5 ms on average, and
//! 1 ms for the way. All draws come from a fixed seed.

#[path = "../tests/support/mod.rs"]
mod support;

use std::time::Duration;

use chervil_plan::policy::Policy;
use chervil_plan::query::QueryOutcome;
use chervil_plan::tunables::Tunables;
use support::large;
use support::large::SHARDS;
use support::sim::Sim;

const SEED: u64 = 20_261_204;
const QUERIES: u64 = 4000;

/// Queries before the figures are taken, while the hedge delay is learned.
const WARMUP: u64 = 20;

const GOAL: Duration = Duration::from_millis(110);
const TIMEOUT: Duration = Duration::from_secs(1);

fn main() {
    println!("{QUERIES} queries of {SHARDS} shards each, seed {SEED}");
    for hedges in [0, 1, 2] {
        report(hedges, false, 100);
    }
    report(2, true, 100);
    println!("without slow replies:");
    report(2, false, 0);
    report(2, true, 0);
}

/// Runs the queries with 1 in `slow_in` replies delayed; none when it is 0.
fn report(hedges: u8, canary: bool, slow_in: u64) {
    let tunables = Tunables { max_hedges: hedges, canary, ..Tunables::default() };
    let world = large::world(3);
    let topology = world.topology();
    let mut sim = Sim::new(world, Policy::new(tunables), Box::new(move |n| latency(n, slow_in)));
    sim.fixed = Some(topology);
    let (mut times, mut whole, mut sent) = (Vec::new(), 0u64, 0);
    for number in 0..WARMUP + QUERIES {
        // Each digest is new, so that each query needs a canary if any does.
        let report = sim.run(TIMEOUT, number, random(SEED ^ number));
        if number < WARMUP {
            continue;
        }
        let complete =
            matches!(&report.ending, QueryOutcome::Answer { coverage, .. } if coverage.is_whole());
        whole += u64::from(complete && report.took <= GOAL);
        sent += report.sent;
        times.push(report.took);
    }
    times.sort_unstable();
    let needed = QUERIES * u64::from(SHARDS);
    println!(
        "hedges {hedges}, canary {canary}: {:.2}% whole within {GOAL:?}, {:.2}% extra, \
         median {:?}, 99th percentile {:?}",
        whole as f64 * 100.0 / QUERIES as f64,
        sent.saturating_sub(needed) as f64 * 100.0 / needed as f64,
        times[times.len() / 2],
        times[times.len() * 99 / 100],
    );
}

fn latency(number: u64, slow_in: u64) -> Duration {
    let draw = random(SEED.wrapping_add(number));
    let uniform = ((draw >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    let usual = Duration::from_secs_f64(0.010 - 0.005 * uniform.ln());
    let slow = slow_in > 0 && random(draw).is_multiple_of(slow_in);
    if slow { usual + Duration::from_millis(500) } else { usual }
}

/// SplitMix64.
fn random(state: u64) -> u64 {
    let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
