//! Following the registry through outages, and from other hosts.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_front::core::Core;
use chervil_front::follow::Follower;
use chervil_front::host::HostSettings;
use chervil_front::journal::Cursor;
use chervil_front::journal::Journal;
use chervil_front::listen::Lifecycle;
use chervil_front::packed::Packed;
use chervil_front::packed::pack;
use chervil_front::peers;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::RegistryError;
use chervil_route::config::Target;
use chervil_route::fleet::Entry;
use chervil_route::sources::Peer;
use tokio::net::TcpListener;

use crate::support::BOUNDS;
use crate::support::ScriptedRegistry;
use crate::support::config;
use crate::support::core;
use crate::support::entry;
use crate::support::journal;
use crate::support::route;
use crate::support::until;

const ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 9);

fn server(id: &str) -> Event {
    Event::Server(Box::new(entry(id, "quote", ADDRESS)))
}

fn configured(version: u64) -> Event {
    let routes = vec![route("/q/", Target::One("quote".into()), false)];
    Event::Config(Box::new(config(version, routes)))
}

fn changes(revision: u64, events: Vec<Event>) -> Result<Changes, RegistryError> {
    Ok(Changes { events, revision })
}

fn unreachable() -> Result<Changes, RegistryError> {
    Err(RegistryError::Unreachable { reason: "test".into() })
}

fn settings(name: &str, peer: SocketAddr, seeds: Vec<SocketAddr>) -> HostSettings {
    HostSettings {
        name: name.into(),
        zone: "north".into(),
        listen: ADDRESS,
        ready: ADDRESS,
        peer: Peer { address: peer, power: 10, lease: 0 },
        seeds,
        bootstrap: false,
        metrics: ADDRESS,
        change: Duration::from_millis(500),
        grace: Duration::from_secs(1),
        bounds: BOUNDS,
    }
}

struct Followed {
    core: Arc<Core>,
    lifecycle: Arc<Lifecycle>,
    registry: Arc<ScriptedRegistry>,
}

fn follow(
    registry: ScriptedRegistry,
    settings: &HostSettings,
    journal: Arc<Journal>,
    core: Arc<Core>,
) -> Followed {
    let lifecycle = Arc::new(Lifecycle::default());
    let registry = Arc::new(registry);
    let follower =
        Follower::new(core.clone(), registry.clone(), lifecycle.clone(), journal, settings, 12);
    tokio::spawn(follower.run());
    Followed { core, lifecycle, registry }
}

fn alone(registry: ScriptedRegistry) -> Followed {
    follow(registry, &settings("own", ADDRESS, Vec::new()), journal(), core())
}

fn ids(core: &Core) -> HashSet<Box<str>> {
    core.state().fleet.ids().map(Box::from).collect()
}

/// Guards against a host that takes requests before it knows where to.
#[tokio::test]
async fn host_is_ready_when_it_knows_configuration_and_servers() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(unreachable());
    registry.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a")]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = alone(registry);

    let early = host.lifecycle.is_ready();
    until(|| host.lifecycle.is_ready()).await;

    assert!(!early);
    assert_eq!(host.core.state().config.as_ref().unwrap().version, 3);
}

/// Guards against a return to an older configuration.
#[tokio::test]
async fn older_configuration_is_not_adopted() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a")]));
    registry.changes.lock().unwrap().push(changes(6, vec![configured(2), server("b")]));
    let host = alone(registry);

    until(|| ids(&host.core).contains("b")).await;

    assert_eq!(host.core.state().config.as_ref().unwrap().version, 3);
}

/// Guards against what is missed when the registry drops its history.
#[tokio::test]
async fn lost_history_is_made_up_by_a_list() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a"), server("b")]));
    registry.lists.lock().unwrap().push(changes(9, vec![configured(4), server("b")]));
    registry.changes.lock().unwrap().push(Err(RegistryError::HistoryLost));
    registry.changes.lock().unwrap().push(changes(9, vec![]));
    let host = alone(registry);

    until(|| host.core.state().config.as_ref().is_some_and(|c| c.version == 4)).await;

    assert_eq!(ids(&host.core), HashSet::from_iter(["b".into()]));
}

/// Guards against dropping live backend servers whose entries lapsed while the
/// registry was away, and against keeping those that do not come back.
#[tokio::test]
async fn entries_that_lapsed_in_an_outage_have_time_to_return() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a"), server("b")]));
    let gone = vec![Event::ServerGone("a".into()), Event::ServerGone("b".into())];
    let script =
        [unreachable(), changes(9, gone), changes(10, vec![server("b")]), changes(10, vec![])];
    registry.changes.lock().unwrap().extend(script);
    let host = alone(registry);

    until(|| registry_calls(&host) > 3).await;
    let held = ids(&host.core);
    until(|| !ids(&host.core).contains("a")).await;

    assert_eq!(held, HashSet::from_iter(["a".into(), "b".into()]));
    assert_eq!(ids(&host.core), HashSet::from_iter(["b".into()]));
}

fn registry_calls(host: &Followed) -> u32 {
    *host.registry.calls.lock().unwrap()
}

/// A host that other hosts can ask.
async fn leader(registry: ScriptedRegistry) -> (Followed, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (journal, core) = (journal(), core());
    tokio::spawn(peers::serve(listener, core.clone(), journal.clone()));
    (follow(registry, &settings("leader", address, Vec::new()), journal, core), address)
}

fn listed(address: SocketAddr, extra: Vec<Event>) -> Result<Changes, RegistryError> {
    let leader = Event::Host("leader".into(), Peer { address, power: 500, lease: 0 });
    let own = Event::Host("own".into(), Peer { address: ADDRESS, power: 10, lease: 0 });
    let mut events = vec![configured(3), server("a"), leader, own];
    events.extend(extra);
    changes(5, events)
}

/// Guards against hosts that all read the registry, and against news that do
/// not reach those that don't.
#[tokio::test]
async fn host_follows_another_one_and_reads_for_itself_when_that_is_silent() {
    let source = ScriptedRegistry::default();
    source.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a")]));
    source.changes.lock().unwrap().push(changes(5, vec![]));
    source
        .changes
        .lock()
        .unwrap()
        .push(changes(7, vec![server("b"), Event::ServerGone("a".into())]));
    let (_leader, address) = leader(source).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(listed(address, vec![]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = follow(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());

    until(|| ids(&host.core) == HashSet::from_iter(["b".into()])).await;

    assert_eq!(registry_calls(&host), 1);
}

/// Guards against hosts that go on holding idle connections to a backend server
/// which has no room for those of another host.
#[tokio::test]
async fn crowded_server_is_told_to_the_other_hosts() {
    let source = ScriptedRegistry::default();
    source.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a")]));
    source.changes.lock().unwrap().push(changes(5, vec![]));
    let (leader, address) = leader(source).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(listed(address, vec![]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = follow(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());
    until(|| leader.lifecycle.is_ready() && host.lifecycle.is_ready()).await;

    leader.core.report_crowded("a");

    let crowded = |core: &Core| core.state().fleet.iter().any(|b| b.crowded.is_some());
    until(|| crowded(&leader.core) && crowded(&host.core)).await;
}

/// Guards against a host that trusts another one which no longer reaches the
/// registry.
#[tokio::test]
async fn old_news_are_not_trusted() {
    let source = ScriptedRegistry::default();
    source.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a")]));
    source.changes.lock().unwrap().push(unreachable());
    let (_leader, address) = leader(source).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(listed(address, vec![]));
    registry.changes.lock().unwrap().push(changes(8, vec![server("c")]));
    let host = follow(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());

    until(|| ids(&host.core).contains("c")).await;

    assert!(registry_calls(&host) > 1);
}

/// Guards against a host that knows nothing while the registry is down although
/// others know.
#[tokio::test]
async fn seed_helps_while_the_registry_is_down() {
    let source = ScriptedRegistry::default();
    source.lists.lock().unwrap().push(changes(5, vec![configured(3), server("a")]));
    source.changes.lock().unwrap().push(changes(5, vec![]));
    let (_leader, address) = leader(source).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(unreachable());
    registry.changes.lock().unwrap().push(unreachable());
    let host = follow(registry, &settings("own", ADDRESS, vec![address]), journal(), core());

    until(|| host.lifecycle.is_ready()).await;

    assert_eq!(ids(&host.core), HashSet::from_iter(["a".into()]));
}

/// Guards against events that a host misses when it changes its source.
#[test]
fn journal_tells_by_revision_what_another_source_did_not() {
    let (journal, now) = (Journal::new(7), Instant::now());
    journal.advance(10);
    journal.push(&server("a"));
    journal.advance(12);
    journal.push(&server("b"));

    let told = |cursor| journal.news(cursor, now).events.map(|e| e.len());

    let own = Cursor { boot: 7, serial: 1, revision: 10 };
    assert_eq!(told(own), Some(1));
    assert_eq!(told(Cursor { boot: 9, serial: 99, revision: 11 }), Some(1));
    assert_eq!(told(Cursor { boot: 9, serial: 99, revision: 12 }), Some(1));
    assert_eq!(told(Cursor { boot: 9, serial: 99, revision: 9 }), None);
    assert_eq!(told(Cursor::default()), None);
    journal.clear();
    assert_eq!(told(own), None);
}

/// Guards against large events that change on their way.
#[test]
fn large_event_survives_compression() {
    let routes = (0..200).map(|i| route(&format!("/{i}/"), Target::One("quote".into()), true));
    let event = Event::Config(Box::new(config(4, routes.collect())));

    let text = pack(&event).unwrap();
    let packed: Packed = serde_json::from_str(&text).unwrap();

    assert!(text.len() < serde_json::to_string(&event).unwrap().len() / 4);
    assert_eq!(packed.unpack().unwrap(), event);
}

/// Guards against a snapshot that lacks something.
#[test]
fn snapshot_holds_everything() {
    let core = core();
    let now = core.now();
    let cold = Entry { warmup: Duration::from_secs(9), ..entry("a", "quote", ADDRESS) };
    core.state().adopt(config(4, Vec::new()));
    core.state().fleet.upsert(cold, now);
    core.state().fleet.set_evacuated(HashSet::from_iter(["south".into()]));
    core.state().sources.insert("own".into(), Peer { address: ADDRESS, power: 1, lease: 0 });

    let texts = core.state().snapshot(now + Duration::from_secs(4));

    let unpack = |t: &Arc<str>| serde_json::from_str::<Packed>(t).unwrap().unpack().unwrap();
    let events: Vec<Event> = texts.iter().map(unpack).collect();
    assert!(matches!(&events[0], Event::Config(c) if c.version == 4));
    assert!(matches!(&events[1], Event::Evacuated(z) if &**z == "south"));
    assert!(matches!(&events[2], Event::Host(h, _) if &**h == "own"));
    assert!(matches!(&events[3], Event::Server(e) if e.warmup == Duration::from_secs(5)));
}
