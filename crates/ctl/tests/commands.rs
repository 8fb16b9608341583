//! Runs of `chervilctl` against a fake platform and fake agents.
#![allow(clippy::unwrap_used, reason = "a failed step should end its test")]

use chervil_fakes::Faults;
use chervil_platform::ListedHost;
use chervil_rpc::agent::MemberHost;

mod common;

use common::Fixture;
use common::run;
use common::sheet_text;

/// Path as an argument.
fn path(path: &std::path::Path) -> &str {
    path.to_str().unwrap()
}

/// Guards against an invalid sheet that is accepted, or reported without the file,
/// line and column of each problem.
#[test]
fn check_reports_the_position_of_each_problem() {
    let fixture = Fixture::new();
    let bad = sheet_text(6, 2).replace("z2,127", "z9,127").replace(",2,50,6", ",0,50,6");
    let bad = fixture.write_file("bad.csv", &bad);
    let good = fixture.write_sheet(6, 2);

    let refused = run(&["check", path(&bad)]);
    let valid = run(&["check", path(&good)]);

    assert_eq!(refused.code, 1);
    assert!(refused.stderr.contains("bad.csv:7:4 (zone): zone \"z9\""), "{}", refused.stderr);
    assert!(refused.stderr.contains("bad.csv:6:6 (slots): \"0\""), "{}", refused.stderr);
    assert_eq!(valid.code, 0, "{}", valid.stderr);
}

/// Guards against an accepted sheet that is not pushed to the hosts, and against a
/// wrong count of the hosts it is in force on.
#[test]
fn an_applied_sheet_is_pushed_to_all_hosts() {
    let mut fixture = Fixture::new();
    let (first, host) = fixture.start_agent("h1", false);
    let (second, _) = fixture.start_agent("h2", false);
    fixture.set_agents(&[first, second]);

    let applied = fixture.run(&["apply", path(&fixture.write_sheet(6, 100))]);

    assert_eq!(applied.code, 0, "{}{}", applied.stdout, applied.stderr);
    assert!(applied.stdout.contains("revision 1 in force on 2 of 2"), "{}", applied.stdout);
    assert_eq!(host.config.lock().unwrap().effective_catalog().servers.len(), 100);
}

/// Guards against hosts that are missing from the rollout because one of the two
/// lists is out of date, and against hosts that are counted twice because both
/// contain them.
#[test]
fn hosts_are_the_union_of_the_member_list_and_the_host_list() {
    let mut fixture = Fixture::new();
    let agents = ["h1", "h2", "h3"].map(|h| (h, fixture.start_agent(h, false).0));
    let members = agents[..2].iter().map(|(host, agent)| MemberHost {
        host: (*host).into(),
        zone: "z1".into(),
        agent: *agent,
        gate: *agent,
    });
    fixture.set_members(members.collect());
    let listed = agents[1..].iter().map(|(host, agent)| ListedHost {
        host: (*host).into(),
        zone: "z1".into(),
        agent: *agent,
        gate: *agent,
        leaving: false,
    });
    fixture.hosts.set_hosts(listed.collect());

    let applied = fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);

    assert!(applied.stdout.contains("revision 1 in force on 3 of 3"), "{}", applied.stdout);
}

/// Guards against hosts that are counted as up to date although they ignored the
/// push and hold an older revision, or do not answer.
#[test]
fn hosts_that_lag_behind_or_do_not_answer_are_listed() {
    let mut fixture = Fixture::new();
    let (lagging, _) = fixture.start_agent("lagging", true);
    let closed = "127.0.0.1:9".parse().unwrap();
    fixture.set_agents(&[lagging, closed]);

    let applied = fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);

    assert_eq!(applied.code, 0, "{}", applied.stderr);
    assert!(applied.stdout.contains("in force on 0 of 2"), "{}", applied.stdout);
    assert!(
        applied.stdout.contains(&format!("behind: {lagging} at revision 0")),
        "{}",
        applied.stdout
    );
    assert!(applied.stdout.contains("not reached: 127.0.0.1:9"), "{}", applied.stdout);
}

/// Guards against an override that the next sheet undoes: the sheet lists the zone
/// as in service, but an operator has taken it out.
#[test]
fn a_zone_override_survives_a_new_sheet_and_status_shows_both() {
    let fixture = Fixture::new();
    fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);

    let out = fixture.run(&["zone", "out", "z1"]);
    let again = fixture.run(&["apply", path(&fixture.write_sheet(7, 11))]);
    let status = fixture.run(&["status"]);
    let back = fixture.run(&["zone", "in", "z1"]);
    let after = fixture.run(&["status"]);

    assert_eq!((out.code, again.code, back.code), (0, 0, 0), "{}{}", out.stderr, again.stderr);
    let both = "zone z1: sheet says in, override says out since revision 2; out of service";
    assert!(status.stdout.contains(both), "{}", status.stdout);
    assert!(after.stdout.contains("override says nothing; in service"), "{}", after.stdout);
}

/// Guards against a refused change that exits with 0, or whose report does not
/// name the cause and the remedy.
#[test]
fn refusals_exit_with_1_and_name_the_remedy() {
    let fixture = Fixture::new();
    fixture.run(&["apply", path(&fixture.write_sheet(7, 10))]);

    let older = fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);
    let removal = fixture.run(&["apply", path(&fixture.write_sheet(8, 7))]);
    let unknown = fixture.run(&["drain", "nobody"]);
    let confirmed =
        fixture.run(&["apply", path(&fixture.write_sheet(8, 7)), "--confirm-removals", "3"]);

    assert_eq!((older.code, removal.code, unknown.code), (1, 1, 1));
    assert!(older.stdout.contains("exported at 2026-12-03T06:00:00Z"), "{}", older.stdout);
    assert!(removal.stdout.contains("--confirm-removals 3"), "{}", removal.stdout);
    assert!(unknown.stdout.contains("server \"nobody\" is not declared"), "{}", unknown.stdout);
    assert_eq!(confirmed.code, 0, "{}", confirmed.stdout);
}

/// Guards against a change that is reported as failed although it may have taken
/// effect, as its reply was lost, and against a repeated operation that makes the
/// change twice.
#[test]
fn repeating_an_operation_with_an_unknown_result_resolves_it() {
    let fixture = Fixture::new();
    fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);
    fixture.store.set_faults(Faults { lost_replies: 1, lost_requests: 9, ..Faults::default() });

    let unknown = fixture.run(&["--operation", "op7", "zone", "out", "z1"]);
    fixture.store.set_faults(Faults { lost_replies: 1, ..Faults::default() });
    let resolved = fixture.run(&["--operation", "op7", "zone", "out", "z1"]);
    let repeated = fixture.run(&["--operation", "op7", "zone", "out", "z1"]);
    let history = fixture.run(&["history"]);

    assert_eq!(unknown.code, 3, "{}{}", unknown.stdout, unknown.stderr);
    assert!(unknown.stdout.contains("--operation op7"), "{}", unknown.stdout);
    assert_eq!((resolved.code, repeated.code), (0, 0), "{}{}", resolved.stdout, resolved.stderr);
    assert_eq!(history.stdout.matches("zone z1 taken out").count(), 1, "{}", history.stdout);
}

/// Guards against a status that fails during an outage of the store, and against a
/// change that is not reported as failed then.
#[test]
fn without_the_store_changes_fail_and_the_status_comes_from_hosts() {
    let mut fixture = Fixture::new();
    let (address, _) = fixture.start_agent("h1", false);
    fixture.set_agents(&[address]);
    fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);
    fixture.write_settings("http://127.0.0.1:9", &[address]);

    let change = fixture.run(&["zone", "out", "z1"]);
    let status = fixture.run(&["status"]);

    assert_eq!(change.code, 1);
    assert!(change.stdout.contains("nothing changed"), "{}", change.stdout);
    assert_eq!(status.code, 0, "{}", status.stderr);
    assert!(
        status.stdout.contains("cannot be reached; this status comes from the hosts"),
        "{}",
        status.stdout
    );
    assert!(status.stdout.contains("revision 1 in force on 1 of 1"), "{}", status.stdout);
}

/// Guards against changes to a store that was restored with older data: their
/// revisions are lower than those of the hosts, which would ignore them.
#[test]
fn a_store_restored_with_older_data_is_recovered_from_a_host() {
    let mut fixture = Fixture::new();
    let (address, _) = fixture.start_agent("h1", false);
    fixture.set_agents(&[address]);
    fixture.run(&["apply", path(&fixture.write_sheet(6, 10))]);
    let old = fixture.store.dump();
    fixture.run(&["zone", "out", "z1"]);
    fixture.store.restore(old);

    let refused = fixture.run(&["zone", "out", "z2"]);
    let older = fixture.run(&["status"]);
    let recovered = fixture.run(&["recover"]);
    let accepted = fixture.run(&["zone", "out", "z2"]);
    let status = fixture.run(&["status"]);

    assert_eq!((refused.code, recovered.code, accepted.code), (1, 0, 0), "{}", recovered.stdout);
    assert!(refused.stdout.contains("chervilctl recover"), "{}", refused.stdout);
    assert!(older.stdout.contains("the store is older, at revision 1"), "{}", older.stdout);
    assert!(status.stdout.contains("revision 4 in force on 1 of 1"), "{}", status.stdout);
    assert_eq!(status.stdout.matches("out of service").count(), 2, "{}", status.stdout);
}

/// Guards the JSON output, which other programs read.
#[test]
fn json_is_printed_on_request() {
    let fixture = Fixture::new();
    let applied = fixture.run(&["--json", "apply", path(&fixture.write_sheet(6, 10))]);
    let status = fixture.run(&["status", "--json"]);
    let bad = fixture.write_file("bad.csv", &sheet_text(6, 2).replace(",2,50", ",0,50"));
    let refused = fixture.run(&["check", path(&bad), "--json"]);

    for text in [&applied.stdout, &status.stdout, &refused.stdout] {
        assert!(serde_json::from_str::<serde_json::Value>(text).is_ok(), "{text}");
    }
    assert!(applied.stdout.contains(r#""result":"accepted""#), "{}", applied.stdout);
    assert!(status.stdout.contains(r#""in_service":true"#), "{}", status.stdout);
    assert!(refused.stdout.contains(r#""heading":"slots","line":6"#), "{}", refused.stdout);
    assert_eq!(refused.code, 1);
}

/// Guards against wrong usage that does not exit with 2 or names no remedy.
#[test]
fn wrong_usage_exits_with_2() {
    let fixture = Fixture::new();

    let runs = [
        run(&[]),
        run(&["status"]),
        run(&["fly"]),
        run(&["check"]),
        fixture.run(&["zone", "up", "z1"]),
        fixture.run(&["drain", "l1", "l2"]),
        fixture.run(&["apply", "x.csv", "--confirm-removals", "many"]),
    ];

    for r in runs {
        assert_eq!(r.code, 2, "{}{}", r.stdout, r.stderr);
        assert!(r.stderr.contains("--help") || r.stderr.contains("--settings"), "{}", r.stderr);
    }
    assert_eq!(run(&["--help"]).code, 0);
}
