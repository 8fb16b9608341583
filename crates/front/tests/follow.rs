//! Replication of the registry: from the registry, through its outages, and
//! from other hosts.

mod support;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_front::core::Core;
use chervil_front::host::HostSettings;
use chervil_front::journal::Cursor;
use chervil_front::packed::unpack_list;
use chervil_front::peers;
use chervil_front::peers::PeerClients;
use chervil_front::peers::SyncRequest;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::RegistryError;
use chervil_route::history::Position;
use chervil_route::peers::FORMAT;
use tokio::net::TcpListener;

use crate::support::ADDRESS;
use crate::support::ScriptedRegistry;
use crate::support::configuration;
use crate::support::core;
use crate::support::journal;
use crate::support::peer;
use crate::support::replica::ReplicaHost;
use crate::support::replica::changes;
use crate::support::replica::ids;
use crate::support::replica::registry_calls;
use crate::support::replica::settings;
use crate::support::replica::start;
use crate::support::replica::start_alone;
use crate::support::replica::start_upstream;
use crate::support::replica::start_upstream_with;
use crate::support::replica::unreachable;
use crate::support::server;
use crate::support::until;

/// Guards against a host that accepts requests before it can route them. Here
/// its first call to the registry fails.
#[tokio::test]
async fn host_is_ready_only_with_configuration_and_servers() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(unreachable());
    registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = start_alone(registry);

    let early = host.lifecycle.is_ready();
    until(|| host.lifecycle.is_ready()).await;

    assert!(!early);
    assert_eq!(host.core.state().config.as_ref().unwrap().version, 3);
}

/// Guards against falling back to an older configuration that the registry
/// delivers late.
#[tokio::test]
async fn older_configuration_is_not_adopted() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    registry.changes.lock().unwrap().push(changes(6, vec![configuration(2), server("b")]));
    let host = start_alone(registry);

    until(|| ids(&host.core).contains("b")).await;

    assert_eq!(host.core.state().config.as_ref().unwrap().version, 3);
}

/// Guards against changes that are missed because the registry has already
/// dropped them from its history, or sends too many of them at once: here the removal of a
/// backend server.
#[tokio::test]
async fn changes_that_cannot_be_read_trigger_a_full_list() {
    for error in [RegistryError::HistoryLost, RegistryError::TooLarge] {
        let registry = ScriptedRegistry::default();
        let before = changes(5, vec![configuration(3), server("a"), server("b")]);
        let after = changes(9, vec![configuration(4), server("b")]);
        registry.lists.lock().unwrap().extend([before, after]);
        registry.changes.lock().unwrap().extend([Err(error), changes(9, vec![])]);
        let host = start_alone(registry);

        until(|| host.core.state().config.as_ref().is_some_and(|c| c.version == 4)).await;

        assert_eq!(ids(&host.core), HashSet::from_iter(["b".into()]));
    }
}

/// Guards against removing live backend servers whose entries expired during an
/// outage of the registry, and against keeping those that do not register again.
#[tokio::test]
async fn removals_are_held_back_after_an_outage() {
    let registry = ScriptedRegistry::default();
    registry
        .lists
        .lock()
        .unwrap()
        .push(changes(5, vec![configuration(3), server("a"), server("b")]));
    let removals = vec![Event::ServerRemoved("a".into()), Event::ServerRemoved("b".into())];
    let script =
        [unreachable(), changes(9, removals), changes(10, vec![server("b")]), changes(10, vec![])];
    registry.changes.lock().unwrap().extend(script);
    let host = start_alone(registry);

    until(|| registry_calls(&host) > 3).await;
    let held = ids(&host.core);
    until(|| !ids(&host.core).contains("a")).await;

    assert_eq!(held, HashSet::from_iter(["a".into(), "b".into()]));
    assert_eq!(ids(&host.core), HashSet::from_iter(["b".into()]));
}

/// Guards against using a server that has left for seconds because one call to the registry
/// failed shortly before: no entry can have expired in that time.
#[tokio::test]
async fn removals_are_not_held_back_after_one_failed_call() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    let removal = changes(9, vec![Event::ServerRemoved("a".into()), server("b")]);
    registry.changes.lock().unwrap().extend([unreachable(), removal, changes(9, vec![])]);
    let settings =
        HostSettings { heartbeat: Duration::from_secs(60), ..settings("own", ADDRESS, Vec::new()) };

    let host = start(registry, &settings, journal(), core());

    until(|| ids(&host.core).contains("b")).await;
    assert!(!ids(&host.core).contains("a"));
}

/// The state of the registry with the upstream at `address`.
fn full_list(address: SocketAddr, extra: Vec<Event>) -> Result<Changes, RegistryError> {
    let upstream = Event::Host("upstream".into(), peer(address, 500));
    let own = Event::Host("own".into(), peer(ADDRESS, 10));
    let mut events = vec![configuration(3), server("a"), upstream, own];
    events.extend(extra);
    changes(5, events)
}

/// A host whose registry lists, at `revision`, two hosts that read it, the first one ranking
/// higher, and fails from then on.
fn start_follower(
    revision: u64,
    first: (&str, SocketAddr),
    second: (&str, SocketAddr),
) -> ReplicaHost {
    let hosts = vec![
        configuration(3),
        server("a"),
        Event::Host(first.0.into(), peer(first.1, 500)),
        Event::Host(second.0.into(), peer(second.1, 499)),
        Event::Host("own".into(), peer(ADDRESS, 10)),
    ];
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(revision, hosts));
    registry.changes.lock().unwrap().push(unreachable());
    start_alone(registry)
}

/// A registry that lists server "a" at revision 5, fails, and returns with these changes.
fn registry_after_an_outage(later: Vec<Result<Changes, RegistryError>>) -> ScriptedRegistry {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    registry.changes.lock().unwrap().push(unreachable());
    registry.changes.lock().unwrap().extend(later);
    registry
}

/// Guards against every host polling the registry, and against events that do
/// not reach the hosts that poll an upstream instead.
#[tokio::test]
async fn host_polls_its_upstream_instead_of_the_registry() {
    let upstream_registry = ScriptedRegistry::default();
    upstream_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    upstream_registry.changes.lock().unwrap().push(changes(5, vec![]));
    upstream_registry
        .changes
        .lock()
        .unwrap()
        .push(changes(7, vec![server("b"), Event::ServerRemoved("a".into())]));
    let (_upstream, address) = start_upstream(upstream_registry).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(full_list(address, vec![]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());

    until(|| ids(&host.core) == HashSet::from_iter(["b".into()])).await;

    assert_eq!(registry_calls(&host), 1);
}

/// Guards against hosts that keep idle connections to a backend server whose
/// connection limit leaves no room for another host.
#[tokio::test]
async fn connection_limit_is_propagated_to_other_hosts() {
    let upstream_registry = ScriptedRegistry::default();
    upstream_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    upstream_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (upstream, address) = start_upstream(upstream_registry).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(full_list(address, vec![]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());
    until(|| upstream.lifecycle.is_ready() && host.lifecycle.is_ready()).await;

    upstream.core.report_at_connection_limit("a");

    let at_limit = |core: &Core| core.state().fleet.iter().any(|b| b.at_limit_until.is_some());
    until(|| at_limit(&upstream.core) && at_limit(&host.core)).await;
}

/// Guards against using an upstream whose data are stale because it no longer
/// reaches the registry.
#[tokio::test]
async fn stale_upstream_is_avoided() {
    let upstream_registry = ScriptedRegistry::default();
    upstream_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    upstream_registry.changes.lock().unwrap().push(unreachable());
    let (_upstream, address) = start_upstream(upstream_registry).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(full_list(address, vec![]));
    registry.changes.lock().unwrap().push(changes(8, vec![server("c")]));
    let host = start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());

    until(|| ids(&host.core).contains("c")).await;

    assert!(registry_calls(&host) > 1);
}

/// Guards against a host that stays without state while the registry is down,
/// although other hosts have it.
#[tokio::test]
async fn state_is_loaded_from_a_seed_while_the_registry_is_down() {
    let seed_registry = ScriptedRegistry::default();
    seed_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    seed_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (_seed, address) = start_upstream(seed_registry).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(unreachable());
    registry.changes.lock().unwrap().push(unreachable());
    let host = start(registry, &settings("own", ADDRESS, vec![address]), journal(), core());

    until(|| host.lifecycle.is_ready()).await;

    assert_eq!(ids(&host.core), HashSet::from_iter(["a".into()]));
}

/// A poll of a host that has no data of its own to compare.
fn poll(cursor: Cursor, wait_ms: u64) -> SyncRequest {
    let host = "polling".into();
    SyncRequest { host, cursor, wait_ms, stale_ms: 60_000, age_ms: None, format: FORMAT }
}

/// Guards against a server that a host misses for good, since its new source has read it with a
/// later page of a list, and takes it for older than the host's position.
#[tokio::test]
async fn host_that_is_inside_of_a_list_in_pages_gets_the_full_state() {
    let registry = ScriptedRegistry::default();
    let list = changes(5, vec![configuration(3), server("a"), server("b")]).unwrap();
    let read_until = Position { era: 0, revision: 8 };
    registry.lists.lock().unwrap().push(Ok(Changes { read_until, ..list }));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (source, address) = start_upstream(registry).await;
    until(|| source.lifecycle.is_ready()).await;
    let mut client = PeerClients::new(&core());
    client.sync(address, &poll(Cursor::default(), 1)).await.unwrap();
    source.registry.changes.lock().unwrap().push(changes(9, vec![server("b"), server("c")]));
    until(|| ids(&source.core).contains("c")).await;
    let at =
        |revision| poll(Cursor { boot: 0, serial: 0, position: Position { era: 0, revision } }, 1);

    let inside = client.sync(address, &at(7)).await.unwrap();
    let after = client.sync(address, &at(8)).await.unwrap();

    assert_eq!([inside.full, after.full], [true, false]);
}

/// Guards against a configuration that a host misses for good: the seed that gave it its full
/// state applied the configuration while no host polled it.
#[tokio::test]
async fn changes_between_the_state_of_a_seed_and_the_first_poll_are_sent() {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (seed, address) = start_upstream(registry).await;
    until(|| seed.lifecycle.is_ready()).await;
    let mut client = PeerClients::new(&core());
    let seeded = client.sync(address, &poll(Cursor::default(), 0)).await.unwrap();
    seed.registry.changes.lock().unwrap().push(changes(7, vec![configuration(4)]));
    until(|| seed.core.state().config.as_ref().is_some_and(|c| c.version == 4)).await;

    let reply = client.sync(address, &poll(seeded.cursor, 1)).await.unwrap();

    let events = unpack_list(&reply.events).unwrap().events;
    assert!(events.iter().any(|e| matches!(e, Event::Config(c) if c.version == 4)));
}

/// Guards against a host that is polled by more others than its link can carry: it
/// turns them away, and they find another source.
#[tokio::test]
async fn upstream_with_too_many_followers_turns_others_away() {
    let upstream_registry = ScriptedRegistry::default();
    upstream_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    upstream_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (listener, journal) = (TcpListener::bind("127.0.0.1:0").await.unwrap(), journal());
    let address = listener.local_addr().unwrap();
    let upstream = core();
    tokio::spawn(peers::serve(listener, upstream.clone(), journal.clone(), Arc::default()));
    start(upstream_registry, &settings("upstream", address, Vec::new()), journal.clone(), upstream);
    while journal.admit(&format!("other-{}", rand::random::<u64>()), Instant::now()) {}
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(full_list(address, vec![]));
    registry.changes.lock().unwrap().push(changes(8, vec![server("c")]));

    let host = start(registry, &settings("own", ADDRESS, Vec::new()), self::journal(), core());

    until(|| ids(&host.core).contains("c")).await;
    assert!(registry_calls(&host) > 1);
}

/// Guards against a removed backend server that comes back with the full state of a
/// host that is behind: revision 9 has removed "a", the seed still lists it.
#[tokio::test]
async fn older_full_state_does_not_bring_back_a_removed_server() {
    let upstream_registry = ScriptedRegistry::default();
    upstream_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    upstream_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (_upstream, address) = start_upstream(upstream_registry).await;
    let upstream = Event::Host("upstream".into(), peer(address, 500));
    let registry = ScriptedRegistry::default();
    let list =
        vec![configuration(3), server("b"), upstream, Event::Host("own".into(), peer(ADDRESS, 10))];
    registry.lists.lock().unwrap().push(changes(9, list));
    registry.changes.lock().unwrap().push(changes(10, vec![server("c")]));

    let host = start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());

    until(|| ids(&host.core).contains("c")).await;
    assert!(!ids(&host.core).contains("a"));
}

/// Guards against two hosts that both hold themselves for the reader of the registry: the
/// one that is behind must not take its followers back to an older configuration, or bring
/// back a zone that was evacuated.
#[tokio::test]
async fn follower_of_two_readers_never_goes_back() {
    let ahead = ScriptedRegistry::default();
    let state = vec![configuration(4), server("a"), Event::Evacuated("south".into())];
    ahead.lists.lock().unwrap().push(changes(9, state));
    ahead.changes.lock().unwrap().push(changes(9, vec![]));
    let behind = ScriptedRegistry::default();
    behind.lists.lock().unwrap().push(changes(7, vec![configuration(3), server("a")]));
    behind.changes.lock().unwrap().push(changes(7, vec![]));
    let (_ahead, first) = start_upstream(ahead).await;
    let (_behind, second) = start_upstream(behind).await;
    let host = start_follower(7, ("reader-1", first), ("reader-2", second));
    until(|| host.core.state().config.as_ref().is_some_and(|c| c.version == 4)).await;

    let now = host.core.now();
    host.core.state().peers.avoid("reader-1", now + Duration::from_secs(60));
    tokio::time::sleep(Duration::from_millis(800)).await;

    assert_eq!(host.core.state().config.as_ref().unwrap().version, 4);
    assert!(host.core.state().fleet.evacuated_zones().contains("south"));
}

/// Guards against a host that returns from an outage of its own and passes the entry of a
/// removed server on while it holds the removal back.
#[tokio::test]
async fn returning_host_does_not_bring_back_a_removed_server() {
    let returning = registry_after_an_outage(vec![
        changes(9, vec![server("gone"), Event::ServerRemoved("gone".into())]),
        changes(12, vec![server("later")]),
    ]);
    let steady = ScriptedRegistry::default();
    let state = vec![configuration(3), server("a"), server("steady")];
    steady.lists.lock().unwrap().push(changes(9, state));
    steady.changes.lock().unwrap().push(changes(9, vec![]));
    let (returning, first) = start_upstream(returning).await;
    let (_steady, second) = start_upstream(steady).await;
    let host = start_follower(5, ("returning", first), ("steady", second));
    until(|| host.core.state().synced_at.is_some()).await;
    let now = host.core.now();
    host.core.state().peers.avoid("returning", now + Duration::from_secs(60));
    until(|| registry_calls(&returning) > 4 && ids(&host.core).contains("steady")).await;

    host.core.state().peers.avoid("returning", now);

    let mut seen = HashSet::default();
    while !seen.contains("later") {
        seen.extend(ids(&host.core));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    assert!(!seen.contains("gone"));
}

/// Guards against a host that has lost its place in the changes and, while the registry is
/// down, takes up the older state of a seed.
#[tokio::test]
async fn seed_that_is_behind_does_not_bring_back_a_removed_server() {
    let seed_registry = ScriptedRegistry::default();
    seed_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("gone")]));
    seed_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (seed, address) = start_upstream(seed_registry).await;
    until(|| seed.lifecycle.is_ready()).await;
    let registry = ScriptedRegistry::default();
    let lists = [changes(9, vec![configuration(4), server("a")]), unreachable(), unreachable()];
    registry.lists.lock().unwrap().extend(lists);
    registry.lists.lock().unwrap().push(changes(12, vec![configuration(4), server("later")]));
    registry.changes.lock().unwrap().push(Err(RegistryError::HistoryLost));
    let host = start(registry, &settings("own", ADDRESS, vec![address]), journal(), core());

    let mut seen = HashSet::default();
    while !seen.contains("later") {
        seen.extend(ids(&host.core));
        tokio::time::sleep(Duration::from_millis(1)).await;
    }

    assert!(!seen.contains("gone"));
}

/// Guards against hosts that learn of a limit and of its end only from answers of their own,
/// which a host with few callers gets late.
#[tokio::test]
async fn limit_heard_by_one_host_and_its_end_reach_the_others() {
    let upstream_registry = ScriptedRegistry::default();
    upstream_registry.lists.lock().unwrap().push(changes(5, vec![configuration(3), server("a")]));
    upstream_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let (upstream, address) = start_upstream(upstream_registry).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(full_list(address, vec![]));
    registry.changes.lock().unwrap().push(changes(5, vec![]));
    let host = start(registry, &settings("own", ADDRESS, Vec::new()), journal(), core());
    until(|| upstream.lifecycle.is_ready() && host.lifecycle.is_ready()).await;

    upstream.core.name_limit("a", 12.5);

    let rate = |core: &Core| core.state().fleet.iter().find_map(|b| b.limit.rate(core.now()));
    until(|| rate(&host.core) == Some(12.5)).await;
    let key = upstream.core.state().fleet.key("a").unwrap();
    upstream.core.lift_limit(key, upstream.core.now());
    until(|| rate(&host.core).is_none()).await;
}

/// Guards against a host that has the state of one which holds removals back, and then
/// takes up the older full state of another.
#[tokio::test]
async fn state_of_a_host_that_holds_removals_is_not_replaced_by_an_older_one() {
    let returning = registry_after_an_outage(vec![
        changes(9, vec![server("new"), Event::ServerRemoved("a".into())]),
        changes(9, vec![]),
    ]);
    let behind = ScriptedRegistry::default();
    behind.lists.lock().unwrap().push(changes(7, vec![configuration(3), server("a")]));
    behind.changes.lock().unwrap().push(changes(7, vec![]));
    let (returning, first) = start_upstream(returning).await;
    let (behind, second) = start_upstream(behind).await;
    until(|| behind.lifecycle.is_ready() && ids(&returning.core).contains("new")).await;
    let host = start_follower(1, ("returning", first), ("behind", second));
    until(|| ids(&host.core).contains("new")).await;

    let now = host.core.now();
    host.core.state().peers.avoid("returning", now + Duration::from_secs(60));

    let avoided_at = Instant::now();
    while avoided_at.elapsed() < Duration::from_secs(1) {
        assert!(ids(&host.core).contains("new"));
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
}

/// Guards against removing live servers at once whose entries expired in an outage after
/// which the registry also no longer keeps the changes.
#[tokio::test]
async fn removals_are_held_back_after_an_outage_with_lost_history() {
    let registry = ScriptedRegistry::default();
    let lists = [
        changes(5, vec![configuration(3), server("a"), server("b")]),
        changes(9, vec![configuration(3), server("later")]),
    ];
    registry.lists.lock().unwrap().extend(lists);
    let script = [unreachable(), Err(RegistryError::HistoryLost), changes(9, vec![])];
    registry.changes.lock().unwrap().extend(script);
    let host = start_alone(registry);

    until(|| ids(&host.core).contains("later")).await;
    let held = ids(&host.core);
    until(|| !ids(&host.core).contains("a")).await;

    assert_eq!(held, HashSet::from_iter(["a".into(), "b".into(), "later".into()]));
}

/// A host that has servers "a" and "c", lost the registry, and now follows a host that reached
/// it again, which lists "a" and "b".
async fn start_follower_after_an_outage() -> ReplicaHost {
    let upstream_registry = ScriptedRegistry::default();
    let state = vec![configuration(3), server("a"), server("b")];
    upstream_registry.lists.lock().unwrap().push(changes(7, state));
    upstream_registry.changes.lock().unwrap().push(changes(7, vec![]));
    let (upstream, address) = start_upstream(upstream_registry).await;
    until(|| upstream.lifecycle.is_ready()).await;
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().push(full_list(ADDRESS, vec![server("c")]));
    registry.changes.lock().unwrap().push(unreachable());
    let host = start_alone(registry);
    // The upstream is at an address that does not answer until the calls have failed.
    until(|| registry_calls(&host) > 3).await;
    let now = host.core.now();
    host.core.state().peers.insert("upstream".into(), peer(address, 500));
    host.core.state().peers.avoid("upstream", now);
    // A last call to the registry may still be failing.
    until(|| host.core.state().synced_at > Some(now + Duration::from_millis(200))).await;
    host
}

/// Guards against a host that keeps sending to a server that has left, since it takes the loss
/// of the host that it follows for the end of an outage that is long over (DRAIN).
#[tokio::test]
async fn outage_that_is_over_does_not_hold_back_later_removals() {
    let host = start_follower_after_an_outage().await;
    until(|| !ids(&host.core).contains("c")).await;

    let removal = changes(9, vec![Event::ServerRemoved("a".into()), server("later")]);
    *host.registry.changes.lock().unwrap() = vec![removal, changes(9, vec![])];
    let now = host.core.now();
    host.core.state().peers.avoid("upstream", now + Duration::from_secs(60));

    until(|| ids(&host.core).contains("later")).await;
    assert!(!ids(&host.core).contains("a"));
}

/// A host that follows "returning", which is back from an outage and holds the removal of "a"
/// back; its registry and "other" have the state that follows, in which "a" is gone.
async fn start_follower_of_a_holding_host(other: SocketAddr) -> ReplicaHost {
    let removal = vec![server("new"), Event::ServerRemoved("a".into())];
    let returning = registry_after_an_outage(vec![changes(9, removal), changes(9, vec![])]);
    let (returning, address) = start_upstream(returning).await;
    until(|| ids(&returning.core).contains("new")).await;
    let registry = ScriptedRegistry::default();
    let other = Event::Host("other".into(), peer(other, 499));
    let first =
        full_list(ADDRESS, vec![Event::Host("returning".into(), peer(address, 500)), other]);
    let later = changes(9, vec![configuration(3), server("new")]);
    registry.lists.lock().unwrap().extend([first, later]);
    registry.changes.lock().unwrap().push(changes(9, vec![]));
    let host = start_alone(registry);
    until(|| ids(&host.core).contains("new")).await;
    assert!(ids(&host.core).contains("a"));
    host
}

/// Stops `host` from using these sources, and returns whether it removes server "a" then. The
/// time is several times that of a change of the source.
async fn removes_server_without(host: &ReplicaHost, sources: &[&str]) -> bool {
    let now = host.core.now();
    for source in sources {
        host.core.state().peers.avoid(source, now + Duration::from_secs(60));
    }
    let removed = until(|| !ids(&host.core).contains("a"));
    tokio::time::timeout(Duration::from_secs(10), removed).await.is_ok()
}

/// Guards against a server that is used for good after it has left, since the host that held its
/// removal back was lost before the end of the hold, and the registry is asked only for what came
/// later (DRAIN).
#[tokio::test]
async fn removal_held_back_by_a_lost_host_is_taken_from_the_registry() {
    let host = start_follower_of_a_holding_host(ADDRESS).await;

    assert!(removes_server_without(&host, &["returning", "other", "upstream"]).await);
}

/// Guards against the same when another host takes the place of the lost one.
#[tokio::test]
async fn removal_held_back_by_a_lost_host_is_taken_from_another_one() {
    let other_registry = ScriptedRegistry::default();
    let state = vec![configuration(3), server("a")];
    other_registry.lists.lock().unwrap().push(changes(5, state));
    other_registry.changes.lock().unwrap().push(changes(5, vec![]));
    let other_journal = journal();
    let (other, address) = start_upstream_with(other_registry, other_journal.clone()).await;
    until(|| other.lifecycle.is_ready()).await;
    other_journal.admit("follower", Instant::now());
    let removal = changes(8, vec![Event::ServerRemoved("a".into())]);
    let later = [removal, changes(9, vec![server("new")]), changes(9, vec![])];
    *other.registry.changes.lock().unwrap() = later.into();
    until(|| ids(&other.core).contains("new")).await;
    let host = start_follower_of_a_holding_host(address).await;

    assert!(removes_server_without(&host, &["returning", "upstream"]).await);
}
