//! Simulates queries of 590 shards with 1 in 100 replies delayed by 500 ms, and
//! reports how many are complete within 110 ms and the extra sub-requests.
//!
//! A sub-request takes 10 ms plus an exponentially distributed time with a mean
//! of 5 ms, plus 1 ms of network round trip. All random numbers are derived from
//! a fixed seed.

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

/// Queries before the measurement, which collect samples for the hedge delay.
const WARMUP_QUERIES: u64 = 20;

/// Latency within which a complete answer counts.
const GOAL: Duration = Duration::from_millis(110);
const TIMEOUT: Duration = Duration::from_secs(1);

fn main() {
    println!("{QUERIES} queries of {SHARDS} shards each, seed {SEED}");
    for hedges in [0, 1, 2] {
        simulate(hedges, false, 100);
    }
    simulate(2, true, 100);
    println!("without slow replies:");
    simulate(2, false, 0);
    simulate(2, true, 0);
}

/// Runs the queries with 1 in `slow_one_in` replies delayed (0: none) and prints
/// the figures.
fn simulate(hedges: u8, canary: bool, slow_one_in: u64) {
    let tunables = Tunables { max_hedges: hedges, canary, ..Tunables::default() };
    let world = large::world(3);
    let topology = world.topology();
    let mut sim =
        Sim::new(world, Policy::new(tunables), Box::new(move |n| latency(n, slow_one_in)));
    sim.fixed_topology = Some(topology);
    let (mut times, mut in_time, mut sent) = (Vec::new(), 0u64, 0);
    for number in 0..WARMUP_QUERIES + QUERIES {
        // Each digest is new, so that every query is probed if canaries are on.
        let report = sim.run(TIMEOUT, number, random(SEED ^ number));
        if number < WARMUP_QUERIES {
            continue;
        }
        let complete = matches!(&report.outcome, QueryOutcome::Answer { coverage, .. } if coverage.is_complete());
        in_time += u64::from(complete && report.took <= GOAL);
        sent += report.sent;
        times.push(report.took);
    }
    times.sort_unstable();
    let needed = QUERIES * u64::from(SHARDS);
    println!(
        "hedges {hedges}, canary {canary}: {:.2}% complete within {GOAL:?}, {:.2}% extra, \
         median {:?}, 99th percentile {:?}",
        in_time as f64 * 100.0 / QUERIES as f64,
        sent.saturating_sub(needed) as f64 * 100.0 / needed as f64,
        times[times.len() / 2],
        times[times.len() * 99 / 100],
    );
}

/// Latency of the sub-request with this number.
fn latency(number: u64, slow_one_in: u64) -> Duration {
    let draw = random(SEED.wrapping_add(number));
    let uniform = ((draw >> 11) as f64 + 1.0) / (1u64 << 53) as f64;
    let normal = Duration::from_secs_f64(0.010 - 0.005 * uniform.ln());
    let slow = slow_one_in > 0 && random(draw).is_multiple_of(slow_one_in);
    if slow { normal + Duration::from_millis(500) } else { normal }
}

/// SplitMix64 output for this state.
fn random(state: u64) -> u64 {
    let mut z = state.wrapping_add(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}
