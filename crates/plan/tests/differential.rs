//! Differential test: compares the planned answers with those of a naive
//! sequential executor for the cases in `tests/cases`. Each file states the
//! failure that it guards against.

mod support;

use std::path::Path;
use std::time::Duration;

use chervil_base::coverage::MissingReason;
use chervil_base::shards::ShardSet;
use chervil_plan::policy::Policy;
use chervil_plan::query::NotRunReason;
use chervil_plan::query::QueryOutcome;
use chervil_plan::tunables::Tunables;
use serde::Deserialize;
use support::sim::Report;
use support::sim::Sim;
use support::world::Change;
use support::world::Fault;
use support::world::SimServer;
use support::world::World;

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Case {
    /// Timeout of each query.
    timeout_ms: u64,
    #[serde(default)]
    canary: bool,
    /// Number of identical queries, sent one after the other.
    #[serde(default = "one")]
    queries: u64,
    servers: Vec<SimServer>,
    #[serde(default)]
    faults: Vec<Fault>,
    #[serde(default)]
    changes: Vec<Change>,
    expect: Expect,
}

fn one() -> u64 {
    1
}

/// Expected outcome. `max_lost` and `max_losses` count over all queries, the rest
/// applies to the last one.
#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Expect {
    version: Option<u64>,
    /// Number of shards of the version.
    total: Option<u32>,
    #[serde(default)]
    missing: ShardSet,
    /// Reason given for each missing shard.
    reason: Option<MissingReason>,
    not_run: Option<NotRunReason>,
    max_ms: u64,
    /// Maximum number of extra sub-requests.
    max_extra: u64,
    /// Maximum number of servers that lost a connection.
    max_lost: Option<usize>,
    /// Maximum number of attempts that lost their connection.
    max_losses: Option<u64>,
}

fn check(path: &Path) -> datatest_stable::Result<()> {
    let case: Case = toml::from_str(&std::fs::read_to_string(path)?)?;
    let tunables = Tunables { canary: case.canary, ..Tunables::default() };
    let world = World { servers: case.servers, faults: case.faults, changes: case.changes };
    let mut sim = Sim::new(world, Policy::new(tunables), Box::new(|_| Duration::from_millis(10)));

    let timeout = Duration::from_millis(case.timeout_ms);
    let mut reports: Vec<Report> = Vec::new();
    for seed in 0..case.queries {
        reports.push(sim.run(timeout, 5, seed));
    }

    let report = &reports[reports.len() - 1];
    assert!(report.took <= Duration::from_millis(case.expect.max_ms), "took {:?}", report.took);
    if let Some(max) = case.expect.max_lost {
        let lost: usize = reports.iter().map(|r| r.lost.len()).sum();
        assert!(lost <= max, "{lost} servers were lost");
    }
    if let Some(max) = case.expect.max_losses {
        let losses: u64 = reports.iter().map(|r| r.losses).sum();
        assert!(losses <= max, "{losses} attempts were lost");
    }
    match &report.outcome {
        QueryOutcome::Answer { coverage, rows } => {
            let missing: ShardSet = coverage.missing.iter().map(|m| m.shard).collect();
            assert_eq!(coverage.version, case.expect.version);
            assert_eq!(Some(coverage.total), case.expect.total);
            assert_eq!(missing, case.expect.missing);
            for m in &coverage.missing {
                assert_eq!(Some(m.reason), case.expect.reason, "shard {}", m.shard);
            }
            let covered: Vec<u32> = (0..coverage.total).filter(|s| !missing.contains(*s)).collect();
            let version = coverage.version.ok_or("no version")?;
            assert_eq!(*rows, support::naive::execute(version, &covered));
            let extra = report.sent.saturating_sub(coverage.total.into());
            assert!(extra <= case.expect.max_extra, "{extra} extra sub-requests");
        }
        QueryOutcome::NotRun { reason, .. } => {
            assert_eq!(report.losses, 0, "not run, but a server was lost");
            assert_eq!(Some(*reason), case.expect.not_run);
        }
        QueryOutcome::RefusedAfterProbe { reason, .. } => {
            assert_eq!(Some(*reason), case.expect.not_run)
        }
    }
    Ok(())
}

datatest_stable::harness! {
    { test = check, root = "tests/cases", pattern = r".*\.toml$" },
}
