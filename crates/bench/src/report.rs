//! Results of a run as a table and as JSON.

use std::fmt;

use chervil_base::message;
use chervil_standin::stats::Stats;

use crate::phase::Runs;
use crate::tally::Summary;

message! {
    /// Load on the simulated servers and the platform during one phase, from the
    /// counters of the stand-in.
    #[derive(Default)]
    pub struct Effort {
        /// Sub-requests received by servers.
        pub asks: u64,
        /// Extra sub-requests, as a share of the needed ones.
        pub extra: f64,
        /// Most concurrent requests beyond the slots at any server.
        pub peak_over_slots: u32,
        /// Requests beyond the slots, summed over all servers.
        pub over_slots: u64,
        /// Connections refused because of the servers' connection limits.
        pub over_connections: u64,
        /// Failures of cold servers under load.
        pub falls: u64,
        /// Crashes of servers caused by a request.
        pub crashes: u64,
        /// Requests to servers that were marked as out of service.
        pub out: u64,
        /// Of these, the ones received more than 3 s after the mark.
        pub out_late: u64,
        /// Longest time from a mark to a request, in milliseconds.
        pub out_last_ms: u64,
        /// Requests that servers refused because they were busy, cold or draining.
        pub refused: u64,
        /// Requests cancelled during execution.
        pub cancelled: u64,
        /// Idempotency keys that were executed more than once.
        pub repeated_keys: u64,
        /// Idempotency keys that were executed at least once.
        pub run_keys: u64,
        /// Calls to the platform's store and host list.
        pub store_calls: u64,
    }

    /// Result of one phase.
    pub struct PhaseReport {
        /// Name of the scenario.
        pub scenario: Box<str>,
        /// Name of the policy.
        pub policy: Box<str>,
        /// Planned queries per second.
        pub rate: f64,
        /// What callers saw.
        pub callers: Summary,
        /// Outcomes of the non-idempotent requests.
        pub runs: Runs,
        /// Load on servers and platform.
        pub effort: Effort,
    }

    /// Result of all phases.
    pub struct Report {
        /// Phases in the order in which they ran.
        pub phases: Vec<PhaseReport>,
    }
}

impl Effort {
    /// Sums up the counters of a phase. `needed` is the number of sub-requests
    /// that its queries need at least.
    pub fn new(stats: &Stats, needed: u64) -> Effort {
        let mut effort = Effort::default();
        for s in stats.servers.values() {
            effort.asks += s.asks;
            effort.peak_over_slots = effort.peak_over_slots.max(s.peak_over_slots);
            effort.over_slots += s.over_slots;
            effort.over_connections += s.over_connections;
            effort.falls += s.falls;
            effort.crashes += s.crashes;
            effort.out += s.after_out;
            effort.out_late += s.after_out_late;
            effort.out_last_ms = effort.out_last_ms.max(s.last_after_out_ms);
            effort.refused += s.busy + s.cold + s.draining;
            effort.cancelled += s.cancelled;
        }
        if needed > 0 {
            effort.extra = effort.asks as f64 / needed as f64 - 1.0;
        }
        effort.repeated_keys = stats.repeated_keys.len() as u64;
        effort.run_keys = stats.keys;
        effort.store_calls = stats.platform.as_ref().map_or(0, |p| p.calls());
        effort
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<10} {:<11} {:>6} {:>7} {:>7} {:>8} {:>8} {:>8} {:>6} {:>6} {:>5} {:>5} {:>5} \
             {:>6} {:>5} {:>6} {:>6}",
            "scenario",
            "policy",
            "q/s",
            "p50 ms",
            "p99 ms",
            "p99.9 ms",
            "complete",
            "coverage",
            "wrong",
            "extra",
            "over",
            "falls",
            "crash",
            "late",
            "twice",
            "refuse",
            "store",
        )?;
        self.phases.iter().try_for_each(|p| writeln!(f, "{p}"))
    }
}

impl fmt::Display for PhaseReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let PhaseReport { scenario, policy, rate, callers, runs, effort } = self;
        let refusals: u64 = callers.refusals.values().sum();
        write!(
            f,
            "{scenario:<10} {policy:<11} {rate:>6.1} {:>7.1} {:>7.1} {:>8.1} {:>7.2}% {:>7.2}% \
             {:>6} {:>5.1}% {:>5} {:>5} {:>5} {:>6} {:>5} {refusals:>6} {:>6}",
            callers.p50_ms,
            callers.p99_ms,
            callers.p999_ms,
            callers.complete * 100.0,
            callers.coverage * 100.0,
            callers.inaccurate,
            effort.extra * 100.0,
            effort.peak_over_slots,
            effort.falls,
            effort.crashes,
            effort.out_late,
            effort.repeated_keys,
            effort.store_calls,
        )?;
        for (reason, count) in &callers.missing {
            write!(f, "\n{:<10}   missing shards: {reason:?}: {count}", "")?;
        }
        for (reason, count) in &callers.refusals {
            write!(f, "\n{:<10}   refused: {reason}: {count}", "")?;
        }
        if effort.out > 0 {
            let Effort { out, out_last_ms, .. } = effort;
            write!(
                f,
                "\n{:<10}   work for the zone that is out: {out}, last after {out_last_ms} ms",
                ""
            )?;
        }
        if runs.keys > 0 {
            write!(f, "\n{:<10}   runs: {} keys, {} ran", "", runs.keys, effort.run_keys)?;
            for (status, count) in &runs.statuses {
                write!(f, ", status {status}: {count}")?;
            }
        }
        Ok(())
    }
}
