//! Verification of answers and the statistics computed from them.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use chervil_base::coverage::Coverage;
use chervil_base::coverage::MissingReason;
use chervil_base::coverage::MissingShard;
use chervil_bench::answer::Answer;
use chervil_bench::answer::AnswerBody;
use chervil_bench::report::Effort;
use chervil_bench::scenario::Scenario;
use chervil_bench::tally::Tally;
use chervil_standin::rows::all_rows;
use chervil_standin::rows::shard_rows;
use chervil_standin::stats::ServerStats;
use chervil_standin::stats::Stats;

const SERVICE: &str = "lookup";

fn complete_body(shards: u32) -> AnswerBody {
    let coverage =
        Coverage { version: Some(1), total: shards, answered: shards, missing: Vec::new() };
    AnswerBody { coverage, rows: all_rows(SERVICE, 1, shards) }
}

fn without_shard_0(shards: u32) -> AnswerBody {
    let mut body = complete_body(shards);
    body.coverage.answered -= 1;
    body.coverage.missing = vec![MissingShard { shard: 0, reason: MissingReason::Timeout }];
    body.rows.retain(|r| r.value.shard != 0);
    body
}

fn is_accurate(complete: bool, body: &AnswerBody) -> bool {
    let answer = Answer::verify(SERVICE, complete, body);
    matches!(answer, Answer::Rows { accurate: true, .. })
}

fn answer(answered: u32, total: u32) -> Answer {
    let missing = vec![MissingReason::Timeout; (total - answered) as usize];
    Answer::Rows { answered, total, complete: answered == total, missing, accurate: true }
}

// Guards against a verification that rejects correct answers.
#[test]
fn accurate_answers_pass() {
    assert!(is_accurate(true, &complete_body(4)));
    assert!(is_accurate(false, &without_shard_0(4)));
}

// Guards against accepting an answer whose rows, counts or claim to be complete
// do not match the index: a lost row, rows of another version, an uncounted
// missing shard.
#[test]
fn inaccurate_answers_are_found() {
    let mut lost_row = complete_body(4);
    lost_row.rows.pop();
    let mut mixed = complete_body(4);
    mixed.rows.retain(|r| r.value.shard != 0);
    mixed.rows.extend(shard_rows(SERVICE, 2, 0));
    let mut uncounted = without_shard_0(4);
    uncounted.coverage.missing.clear();

    for body in [&lost_row, &mixed, &without_shard_0(4)] {
        assert!(!is_accurate(true, body));
    }
    assert!(!is_accurate(false, &uncounted));
    assert!(!is_accurate(false, &complete_body(4)));
}

// Guards against statistics that leave out refused or slow queries.
#[test]
fn summary_counts_every_query() {
    let mut tally = Tally::new().unwrap();
    for ms in 1..=98 {
        tally.add(&answer(4, 4), Duration::from_millis(ms));
    }
    tally.add(&answer(2, 4), Duration::from_millis(500));
    tally.add(&Answer::Refused("503 busy".into()), Duration::from_millis(1_000));

    let summary = tally.summary();

    assert_eq!((summary.queries, summary.needed), (100, 396));
    assert!((summary.complete - 0.98).abs() < 1e-9);
    assert!((summary.coverage - 0.985).abs() < 1e-9);
    assert!((499.0..=501.0).contains(&summary.p99_ms), "{}", summary.p99_ms);
    assert!((999.0..=1_001.0).contains(&summary.p999_ms), "{}", summary.p999_ms);
    assert_eq!(summary.refusals["503 busy"], 1);
    assert_eq!(summary.missing[&MissingReason::Timeout], 2);
}

// Guards against averaging overload away: the peak of one server counts.
#[test]
fn effort_sums_and_takes_peaks() {
    let server =
        |asks, peak_over_slots| ServerStats { asks, peak_over_slots, ..ServerStats::default() };
    let mut stats = Stats::default();
    stats.servers.insert("a".into(), server(60, 0));
    stats.servers.insert("b".into(), server(45, 2));

    let effort = Effort::new(&stats, 100);

    assert!((effort.extra - 0.05).abs() < 1e-9);
    assert_eq!(effort.peak_over_slots, 2);
}

// Guards against a scenario that the command line does not accept.
#[test]
fn scenario_names_parse_back() {
    for scenario in Scenario::ALL {
        assert_eq!(scenario.name().parse::<Scenario>().unwrap(), scenario);
    }
    assert!("none".parse::<Scenario>().is_err());
}
