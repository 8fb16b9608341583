//! Runs of the tool against a platform and agents.
#![allow(clippy::unwrap_used, reason = "a step that fails should end the test")]

use chervil_fakes::Faults;
use chervil_platform::ListedHost;
use chervil_rpc::agent::MemberHost;

mod common;

use common::Site;
use common::run;
use common::sheet_text;

fn path(path: &std::path::Path) -> &str {
    path.to_str().unwrap()
}

/// Guards against a bad sheet that is accepted, or reported without its place.
#[test]
fn check_names_the_place_of_each_problem() {
    let site = Site::new();
    let bad = sheet_text(6, 2).replace("z2,127", "z9,127").replace(",2,50,6", ",0,50,6");
    let bad = site.write("bad.csv", &bad);
    let good = site.sheet(6, 2);

    let refused = run(&["check", path(&bad)]);
    let valid = run(&["check", path(&good)]);

    assert_eq!(refused.code, 1);
    assert!(refused.err.contains("bad.csv:7:4 (zone): zone \"z9\""), "{}", refused.err);
    assert!(refused.err.contains("bad.csv:6:6 (slots): \"0\""), "{}", refused.err);
    assert_eq!(valid.code, 0, "{}", valid.err);
}

/// Guards the way of a change to the hosts, and the report about it.
#[test]
fn an_applied_sheet_is_in_force_on_all_hosts() {
    let mut site = Site::new();
    let (first, host) = site.agent("h1", false);
    let (second, _) = site.agent("h2", false);
    site.set_agents(&[first, second]);

    let applied = site.run(&["apply", path(&site.sheet(6, 100))]);

    assert_eq!(applied.code, 0, "{}{}", applied.out, applied.err);
    assert!(applied.out.contains("revision 1 in force on 2 of 2"), "{}", applied.out);
    assert_eq!(host.adopted.lock().unwrap().effective_catalog().servers.len(), 100);
}

/// Guards against hosts that are not followed because one of the two lists
/// lags, or that are counted twice.
#[test]
fn hosts_come_from_the_member_list_and_the_host_list() {
    let mut site = Site::new();
    let agents = ["h1", "h2", "h3"].map(|h| (h, site.agent(h, false).0));
    let members = agents[..2].iter().map(|(host, agent)| MemberHost {
        host: (*host).into(),
        zone: "z1".into(),
        agent: *agent,
        gate: *agent,
    });
    site.set_members(members.collect());
    let listed = agents[1..].iter().map(|(host, agent)| ListedHost {
        host: (*host).into(),
        zone: "z1".into(),
        agent: *agent,
        gate: *agent,
        leaving: false,
    });
    site.hosts.set_hosts(listed.collect());

    let applied = site.run(&["apply", path(&site.sheet(6, 10))]);

    assert!(applied.out.contains("revision 1 in force on 3 of 3"), "{}", applied.out);
}

/// Guards against hosts that are counted although they hold an older revision
/// or do not answer.
#[test]
fn hosts_behind_and_not_reached_are_listed() {
    let mut site = Site::new();
    let (deaf, _) = site.agent("deaf", true);
    let closed = "127.0.0.1:9".parse().unwrap();
    site.set_agents(&[deaf, closed]);

    let applied = site.run(&["apply", path(&site.sheet(6, 10))]);

    assert_eq!(applied.code, 0, "{}", applied.err);
    assert!(applied.out.contains("in force on 0 of 2"), "{}", applied.out);
    assert!(applied.out.contains(&format!("behind: {deaf} at revision 0")), "{}", applied.out);
    assert!(applied.out.contains("not reached: 127.0.0.1:9"), "{}", applied.out);
}

/// Guards against a short-notice decision that the next sheet undoes.
#[test]
fn a_zone_taken_out_survives_a_new_sheet_and_status_shows_both() {
    let site = Site::new();
    site.run(&["apply", path(&site.sheet(6, 10))]);

    let out = site.run(&["zone", "out", "z1"]);
    let again = site.run(&["apply", path(&site.sheet(7, 11))]);
    let status = site.run(&["status"]);
    let back = site.run(&["zone", "in", "z1"]);
    let after = site.run(&["status"]);

    assert_eq!((out.code, again.code, back.code), (0, 0, 0), "{}{}", out.err, again.err);
    let both = "zone z1: sheet says in, override says out since revision 2; out of service";
    assert!(status.out.contains(both), "{}", status.out);
    assert!(after.out.contains("override says nothing; in service"), "{}", after.out);
}

/// Guards the exit codes and remedies of refused changes.
#[test]
fn refusals_exit_with_1_and_name_the_remedy() {
    let site = Site::new();
    site.run(&["apply", path(&site.sheet(7, 10))]);

    let older = site.run(&["apply", path(&site.sheet(6, 10))]);
    let removal = site.run(&["apply", path(&site.sheet(8, 7))]);
    let unknown = site.run(&["drain", "nobody"]);
    let confirmed = site.run(&["apply", path(&site.sheet(8, 7)), "--confirm-removals", "3"]);

    assert_eq!((older.code, removal.code, unknown.code), (1, 1, 1));
    assert!(older.out.contains("exported at 2026-12-03T06:00:00Z"), "{}", older.out);
    assert!(removal.out.contains("--confirm-removals 3"), "{}", removal.out);
    assert!(unknown.out.contains("server \"nobody\" is not declared"), "{}", unknown.out);
    assert_eq!(confirmed.code, 0, "{}", confirmed.out);
}

/// Guards against a change that is reported as failed although it may have
/// taken effect, and against one that is made twice.
#[test]
fn a_silent_store_gives_unknown_and_the_repeated_operation_resolves_it() {
    let site = Site::new();
    site.run(&["apply", path(&site.sheet(6, 10))]);
    site.store.set_faults(Faults { lost_replies: 1, lost_requests: 9, ..Faults::default() });

    let unknown = site.run(&["--operation", "op7", "zone", "out", "z1"]);
    site.store.set_faults(Faults { lost_replies: 1, ..Faults::default() });
    let resolved = site.run(&["--operation", "op7", "zone", "out", "z1"]);
    let repeated = site.run(&["--operation", "op7", "zone", "out", "z1"]);
    let history = site.run(&["history"]);

    assert_eq!(unknown.code, 3, "{}{}", unknown.out, unknown.err);
    assert!(unknown.out.contains("--operation op7"), "{}", unknown.out);
    assert_eq!((resolved.code, repeated.code), (0, 0), "{}{}", resolved.out, resolved.err);
    assert_eq!(history.out.matches("zone z1 taken out").count(), 1, "{}", history.out);
}

/// Guards against a tool that is of no use during an outage of the store.
#[test]
fn without_the_store_changes_fail_and_a_host_tells_the_status() {
    let mut site = Site::new();
    let (address, _) = site.agent("h1", false);
    site.set_agents(&[address]);
    site.run(&["apply", path(&site.sheet(6, 10))]);
    site.settings("http://127.0.0.1:9", &[address]);

    let change = site.run(&["zone", "out", "z1"]);
    let status = site.run(&["status"]);

    assert_eq!(change.code, 1);
    assert!(change.out.contains("nothing changed"), "{}", change.out);
    assert_eq!(status.code, 0, "{}", status.err);
    assert!(status.out.contains("cannot be reached; a host told the rest"), "{}", status.out);
    assert!(status.out.contains("revision 1 in force on 1 of 1"), "{}", status.out);
}

/// Guards against changes on top of a store that came back older, which hosts
/// would ignore.
#[test]
fn a_store_that_came_back_older_is_recovered_from_a_host() {
    let mut site = Site::new();
    let (address, _) = site.agent("h1", false);
    site.set_agents(&[address]);
    site.run(&["apply", path(&site.sheet(6, 10))]);
    let old = site.store.dump();
    site.run(&["zone", "out", "z1"]);
    site.store.restore(old);

    let refused = site.run(&["zone", "out", "z2"]);
    let older = site.run(&["status"]);
    let recovered = site.run(&["recover"]);
    let accepted = site.run(&["zone", "out", "z2"]);
    let status = site.run(&["status"]);

    assert_eq!((refused.code, recovered.code, accepted.code), (1, 0, 0), "{}", recovered.out);
    assert!(refused.out.contains("chervilctl recover"), "{}", refused.out);
    assert!(older.out.contains("the store is older, at revision 1"), "{}", older.out);
    assert!(status.out.contains("revision 4 in force on 1 of 1"), "{}", status.out);
    assert_eq!(status.out.matches("out of service").count(), 2, "{}", status.out);
}

/// Guards the form that other programs read.
#[test]
fn json_is_printed_on_request() {
    let site = Site::new();
    let applied = site.run(&["--json", "apply", path(&site.sheet(6, 10))]);
    let status = site.run(&["status", "--json"]);
    let bad = site.write("bad.csv", &sheet_text(6, 2).replace(",2,50", ",0,50"));
    let refused = site.run(&["check", path(&bad), "--json"]);

    for text in [&applied.out, &status.out, &refused.out] {
        assert!(serde_json::from_str::<serde_json::Value>(text).is_ok(), "{text}");
    }
    assert!(applied.out.contains(r#""result":"accepted""#), "{}", applied.out);
    assert!(status.out.contains(r#""in_service":true"#), "{}", status.out);
    assert!(refused.out.contains(r#""heading":"slots","line":6"#), "{}", refused.out);
    assert_eq!(refused.code, 1);
}

/// Guards the exit code of wrong usage.
#[test]
fn wrong_usage_exits_with_2() {
    let site = Site::new();

    let runs = [
        run(&[]),
        run(&["status"]),
        run(&["fly"]),
        run(&["check"]),
        site.run(&["zone", "up", "z1"]),
        site.run(&["drain", "l1", "l2"]),
        site.run(&["apply", "x.csv", "--confirm-removals", "many"]),
    ];

    for r in runs {
        assert_eq!(r.code, 2, "{}{}", r.out, r.err);
        assert!(r.err.contains("--help") || r.err.contains("--settings"), "{}", r.err);
    }
    assert_eq!(run(&["--help"]).code, 0);
}
