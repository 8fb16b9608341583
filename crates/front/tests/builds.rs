//! Hosts of two builds side by side: what hosts say to each other is read by builds before and
//! after. The messages of earlier builds are as these sent them.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_front::client::Client;
use chervil_front::core::Core;
use chervil_front::core::Reports;
use chervil_front::packed::unpack_list;
use chervil_front::peers::SyncReply;
use chervil_front::registry::Event;
use chervil_front::relayed::RelayReply;
use chervil_front::relayed::RelayedRequest;
use chervil_route::attempts::Executions;
use chervil_route::crashes::CrashRecord;
use chervil_route::crashes::Loss;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use hyper::Method;
use serde_json::Value;
use serde_json::json;
use serde_json::value::RawValue;
use tokio::net::TcpListener;
use tokio::time;

use crate::support::ADDRESS;
use crate::support::ScriptedRegistry;
use crate::support::config;
use crate::support::configuration;
use crate::support::core;
use crate::support::entry;
use crate::support::journal;
use crate::support::peer;
use crate::support::read_message;
use crate::support::replica::ids;
use crate::support::replica::settings;
use crate::support::replica::start;
use crate::support::replica::start_upstream;
use crate::support::replica::unreachable;
use crate::support::server;
use crate::support::until;

/// Request for events of the build before the one that states eras and settled revisions.
const OLD_REQUEST: &str = r#"{"host":"old","cursor":{"boot":0,"serial":0,"revision":0},"wait_ms":1,"stale_ms":900,"age_ms":null}"#;

/// Registry entry of a host of that build.
const OLD_PEER: &str = r#"{"address":"10.0.0.7:81","power":170,"zone":"z","lease":7}"#;

/// Kinds of events that it knows.
const OLD_KINDS: [&str; 13] = [
    "Config",
    "ConfigDelta",
    "Evacuated",
    "Restored",
    "Server",
    "ServerGone",
    "Host",
    "HostGone",
    "Trouble",
    "Crowded",
    "ServerLimit",
    "ServerLimitEnded",
    "Unreadable",
];

/// Kinds of the uncompressed events of a reply.
fn kinds(reply: &Value) -> Vec<String> {
    let events = reply["events"].as_array().unwrap().iter();
    let kind = |e: &Value| e["Plain"].as_object().unwrap().keys().next().unwrap().clone();
    events.map(kind).collect()
}

/// Asks a host for events, as a host of an earlier build does.
async fn ask_as_old_host(address: SocketAddr, request: &str) -> Value {
    let request: Value = serde_json::from_str(request).unwrap();
    Client::new(address).call(Method::POST, "/news", Some(&request)).await.unwrap()
}

/// Marks a backend server as leaving, which earlier builds have no event for.
fn mark_leaving(core: &Core) {
    let now = core.now();
    core.state().fleet.mark_leaving("a", None, now);
}

/// Guards against hosts of an earlier build that cannot read the state of a later one, and
/// therefore ignore all of it.
#[tokio::test]
async fn host_of_an_earlier_build_gets_only_events_that_it_knows() {
    let registry = ScriptedRegistry::default();
    let first = vec![configuration(3), server("a"), server("b")];
    registry.lists.lock().unwrap().push(support::replica::changes(5, first));
    let leaving = Event::ServerLeaving { id: "a".into(), started_at_ms: None };
    let then = vec![leaving, server("c")];
    registry.changes.lock().unwrap().push(support::replica::changes(5, vec![]));
    registry.changes.lock().unwrap().push(support::replica::changes(6, then));
    registry.changes.lock().unwrap().push(support::replica::changes(6, vec![]));
    let (upstream, address) = start_upstream(registry).await;
    until(|| upstream.lifecycle.is_ready()).await;

    let state = ask_as_old_host(address, OLD_REQUEST).await;
    until(|| ids(&upstream.core).contains("c")).await;
    mark_leaving(&upstream.core);
    let request = OLD_REQUEST.replace(
        r#"{"boot":0,"serial":0,"revision":0}"#,
        &serde_json::to_string(&state["cursor"]).unwrap(),
    );
    let delta = ask_as_old_host(address, &request).await;
    time::sleep(Duration::from_millis(300)).await;
    let full = ask_as_old_host(address, OLD_REQUEST).await;

    for reply in [&state, &delta, &full] {
        let kinds = kinds(reply);
        assert!(kinds.iter().all(|k| OLD_KINDS.contains(&k.as_str())), "{kinds:?}");
    }
    assert!(kinds(&delta).contains(&"Server".to_string()), "{delta}");
    assert_eq!(full["full"], true);
}

/// Guards against hosts of this build that miss an event because of the rule above.
#[tokio::test]
async fn host_of_this_build_gets_all_events() {
    let registry = ScriptedRegistry::default();
    registry
        .lists
        .lock()
        .unwrap()
        .push(support::replica::changes(5, vec![configuration(3), server("a")]));
    registry.changes.lock().unwrap().push(support::replica::changes(5, vec![]));
    let (upstream, address) = start_upstream(registry).await;
    until(|| upstream.lifecycle.is_ready()).await;
    mark_leaving(&upstream.core);
    let request = OLD_REQUEST.replace(r#""host""#, &format!(r#""format":{FORMAT},"host""#));

    let state = ask_as_old_host(address, &request).await;

    assert!(kinds(&state).contains(&"ServerLeaving".to_string()), "{state}");
}

/// Starts a host that answers each request for events with the next of these replies, and the
/// last one again.
async fn start_other_build(replies: Vec<Value>) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        let mut replies = replies;
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            while read_message(&mut stream).await.is_some() {
                let body = if replies.len() > 1 { replies.remove(0) } else { replies[0].clone() };
                let body = body.to_string();
                let text =
                    format!("HTTP/1.1 200 OK\r\ncontent-length: {}\r\n\r\n{body}", body.len());
                support::write(&mut stream, &text, "").await;
            }
        }
    });
    address
}

fn plain(event: &Event) -> Value {
    json!({ "Plain": event })
}

/// A host that can load its state only from the host at this address.
async fn start_with_seed(seed: SocketAddr) -> Arc<Core> {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(unreachable());
    registry.changes.lock().unwrap().push(unreachable());
    let core = core();
    start(registry, &settings("own", ADDRESS, vec![seed]), journal(), core.clone());
    core
}

/// Guards against a message that is ignored as a whole because a later build has added an
/// event, a field of an event or a field of the message.
#[tokio::test]
async fn unknown_events_and_fields_of_a_later_build_are_passed_over() {
    let mut server_event = plain(&server("a"));
    server_event["Plain"]["Server"]["new_field"] = json!({ "deep": [1, 2, 3] });
    let reply = json!({
        "cursor": { "boot": 3, "serial": 9, "revision": 5, "era": 0, "new_field": 1 },
        "settled": 5, "settled_era": 0, "age_ms": 10, "full": true, "new_field": "x",
        "events": [
            { "Plain": { "FutureEvent": { "id": "a", "rate": 4 } } },
            { "Plain": "FutureState" },
            { "FuturePacking": "abc" },
            plain(&configuration(3)),
            server_event,
        ],
    });

    let core = start_with_seed(start_other_build(vec![reply]).await).await;
    until(|| core.state().synced_at.is_some()).await;

    assert!(ids(&core).contains("a"));
    assert_eq!(core.state().config.as_ref().map(|c| c.version), Some(3));
    assert!(core.metrics.text().contains("events.unknown 1"));
}

/// Guards against a change that is lost because an event of a known kind is skipped as if its
/// kind were unknown.
#[test]
fn known_event_that_cannot_be_read_makes_the_list_unusable() {
    let raw = |value: &Value| RawValue::from_string(value.to_string()).unwrap();
    let unreadable = json!({ "Plain": { "Config": { "version": "three" } } });
    let unknown = json!({ "Plain": { "FutureEvent": 1 } });
    let good = plain(&server("a"));

    let with_unreadable = unpack_list(&[raw(&good), raw(&unreadable)]);
    let with_unknown = unpack_list(&[raw(&unknown), raw(&good)]).unwrap();

    assert!(with_unreadable.is_err());
    assert_eq!(with_unknown.events, [server("a")]);
    assert_eq!(with_unknown.skipped, ["FutureEvent".into()]);
}

/// Guards against an event of this build that it takes for one of a later build, and against a
/// new event that is sent to hosts of earlier builds.
#[test]
fn each_event_is_known_and_states_its_format() {
    let config = Box::new(config(1, Vec::new()));
    let delta = config.delta_from(&config).unwrap();
    let id = || Box::from("a");
    let events = [
        Event::Config(config),
        Event::ConfigDelta(Box::new(delta)),
        Event::Evacuated(id()),
        Event::Restored(id()),
        Event::Server(Box::new(entry("a", "quote", ADDRESS))),
        Event::ServerRemoved(id()),
        Event::Host(id(), peer(ADDRESS, 1)),
        Event::HostRemoved(id()),
        Event::Degraded(id()),
        Event::AtConnectionLimit(id()),
        Event::ServerLimit { id: id(), rate: 1.0 },
        Event::ServerLimitEnded(id()),
        Event::ServerLeaving { id: id(), started_at_ms: None },
        Event::RequestCrash(CrashRecord { digest: 1, crash: 2, loss: Loss::Awaited }),
        Event::Unreadable { key: id(), reason: id() },
    ];
    for event in events {
        let json = serde_json::to_value(&event).unwrap();
        let kind = json.as_object().unwrap().keys().next().unwrap();

        assert!(Event::is_known(kind), "{kind}");
        assert_eq!(event.format() == 0, OLD_KINDS.contains(&kind.as_str()), "{kind}");
        assert!(event.format() <= FORMAT);
    }
}

/// Guards against hosts that cannot follow one of an earlier build.
#[tokio::test]
async fn state_of_an_earlier_build_is_applied() {
    let reply = json!({
        "cursor": { "boot": 3, "serial": 9, "revision": 5 },
        "age_ms": 10, "full": true,
        "events": [
            plain(&configuration(3)),
            plain(&server("a")),
            { "Plain": { "Host": ["old", serde_json::from_str::<Value>(OLD_PEER).unwrap()] } },
        ],
    });

    let core = start_with_seed(start_other_build(vec![reply]).await).await;
    until(|| core.state().synced_at.is_some()).await;

    assert!(ids(&core).contains("a"));
    let peer = core.state().peers.listed().find(|(h, _)| *h == "old").map(|(_, p)| p.format);
    assert_eq!(peer, Some(0));
}

/// Guards against reports, passed requests and their outcomes that a host of the other build
/// cannot read. The literals are what the builds send.
#[test]
fn messages_between_builds_can_be_read() {
    let old_report = r#"{"trouble":["a"],"crowded":[],"limits":{"a":4.0},"ended_limits":[]}"#;
    let later_report = r#"{"trouble":[],"crowded":[],"later_field":{"a":[1]}}"#;
    let old_request = r#"{"offer":{"route":"r","digest":7},"head":"R0VU","body":"","id":"aQ==","no_body":false,"deadline_ms":900,"soft_deadline_ms":90}"#;
    let old_outcome = r#"{"TooFewShards":{"may_have_run":true,"timed_out":false,"disconnected":"10.0.0.1:80","missing":[]}}"#;

    let report: Reports = serde_json::from_str(old_report).unwrap();
    let later = serde_json::from_str::<Reports>(later_report).unwrap();
    let request: RelayedRequest = serde_json::from_str(old_request).unwrap();
    let outcome = serde_json::from_str::<RelayReply>(old_outcome);
    let peer: Peer = serde_json::from_str(OLD_PEER).unwrap();
    let reply: SyncReply = serde_json::from_str(
        r#"{"cursor":{"boot":1,"serial":2,"revision":3},"age_ms":null,"full":false,"events":[]}"#,
    )
    .unwrap();

    assert!(report.degraded.contains("a"));
    assert_eq!(later, Reports::default());
    assert_eq!((request.format, request.repeated), (0, false));
    assert_eq!(request.executed, None);
    assert!(outcome.is_ok());
    assert_eq!(peer.format, 0);
    assert_eq!(reply.settled_position().revision, 3);
}

/// Guards against a query that is lost at a host of an earlier build because it cannot read the
/// outcome of a relay that is out of reach of the servers.
#[test]
fn outcome_for_an_earlier_build_is_one_that_it_knows() {
    for sent in [false, true] {
        let outcome = RelayReply::OutOfReach { sent, executed: None };

        let old = serde_json::to_value(outcome.clone().for_query_of(0)).unwrap();
        let current = outcome.clone().for_query_of(FORMAT);

        assert_eq!(old["TooFewShards"]["may_have_run"], sent);
        assert_eq!(current, outcome);
    }
}

/// Guards against hosts of an earlier build that pass a request on without its executions (BUDGET)
/// if the host to which they passed it gives it back.
#[test]
fn executed_request_is_not_given_back_to_a_host_of_an_earlier_build() {
    let given_back = |sent| RelayReply::OutOfReach { sent, executed: Some(Executions::default()) };
    let is_given_back = |reply| matches!(reply, RelayReply::OutOfReach { .. });

    for (format, sent, expected) in
        [(1, true, false), (1, false, true), (FORMAT, true, true), (FORMAT, false, true)]
    {
        assert_eq!(is_given_back(given_back(sent).for_query_of(format)), expected);
        assert_eq!(is_given_back(given_back(sent).for_single_of(format)), expected);
    }
}

/// Guards against executions that a host of the other build cannot read, or takes for none.
#[test]
fn executions_are_read_by_hosts_of_both_builds() {
    let executed = Executions::from_iter([0, 2]);
    let reply = RelayReply::OutOfReach { sent: true, executed: Some(executed.clone()) };

    let sent = serde_json::to_value(reply).unwrap();
    let old: RelayReply = serde_json::from_str(r#"{"OutOfReach":{"sent":true}}"#).unwrap();
    let current: RelayReply = serde_json::from_value(sent.clone()).unwrap();

    assert_eq!(sent, json!({ "OutOfReach": { "sent": true, "executed": [0, 2] } }));
    assert_eq!(old, RelayReply::OutOfReach { sent: true, executed: None });
    assert_eq!(current, RelayReply::OutOfReach { sent: true, executed: Some(executed) });
}

/// Guards against a host that takes what an earlier build sends for single changes: its events may
/// state what changed in sum, which it does not say.
#[test]
fn events_of_an_earlier_build_count_as_changes_in_sum() {
    let reply = |exact_from: Value| {
        let mut reply = json!({
            "cursor": { "boot": 1, "serial": 2, "era": 0, "revision": 9 },
            "age_ms": 5,
            "full": false,
            "events": [],
        });
        if !exact_from.is_null() {
            reply["exact_from"] = exact_from;
        }
        serde_json::from_str::<SyncReply>(&reply.to_string()).unwrap()
    };

    let earlier = reply(Value::Null);
    let present = reply(json!({ "era": 0, "revision": 4 }));

    assert_eq!([earlier.exact_from().revision, present.exact_from().revision], [9, 4]);
}

/// Guards against a crash seen by a host of another build that is not counted: an earlier one
/// does not say whether the answer was awaited, a later one may know other kinds.
#[test]
fn crashes_seen_by_other_builds_count_as_awaited() {
    let earlier = r#"{"RequestCrash":{"digest":1,"crash":2}}"#;
    let later = r#"{"RequestCrash":{"digest":1,"crash":2,"loss":"Later","seen":3}}"#;

    for text in [earlier, later] {
        let event: Event = serde_json::from_str(text).unwrap();

        let record = CrashRecord { digest: 1, crash: 2, loss: Loss::Awaited };
        assert_eq!(event, Event::RequestCrash(record));
    }
}
