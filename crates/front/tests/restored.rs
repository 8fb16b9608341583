//! A registry that is restored from an older copy: it gives out revisions a second time, and
//! what was written since the copy is lost until it is written again.

mod support;

use std::time::Duration;

use chervil_front::core::Core;
use chervil_front::registration;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::RegistryError;
use chervil_route::fleet::BackendEntry;
use chervil_route::history::Position;
use chervil_route::peers::Peer;
use tokio::time;

use crate::support::ADDRESS;
use crate::support::ScriptedRegistry;
use crate::support::configuration;
use crate::support::entry;
use crate::support::journal;
use crate::support::peer;
use crate::support::replica::ReplicaHost;
use crate::support::replica::ids;
use crate::support::replica::start_alone;
use crate::support::replica::start_upstream;
use crate::support::replica::start_upstream_with;
use crate::support::replica::unreachable;
use crate::support::server;
use crate::support::until;

/// Time within which a change must reach a host of the tests; a few of its polls.
const PROPAGATION_TIME: Duration = Duration::from_secs(3);

/// Events of the registry up to a revision of the history before the restore.
fn before(revision: u64, events: Vec<Event>) -> Result<Changes, RegistryError> {
    let position = Position { era: 1, revision };
    Ok(Changes { events, position, read_until: position })
}

/// Events of the registry up to a revision of the history after the restore.
fn after(revision: u64, events: Vec<Event>) -> Result<Changes, RegistryError> {
    let position = Position { era: 2, revision };
    Ok(Changes { events, position, read_until: position })
}

fn registry(
    lists: Vec<Result<Changes, RegistryError>>,
    changes: Vec<Result<Changes, RegistryError>>,
) -> ScriptedRegistry {
    let registry = ScriptedRegistry::default();
    registry.lists.lock().unwrap().extend(lists);
    registry.changes.lock().unwrap().extend(changes);
    registry
}

fn config_version(core: &Core) -> u64 {
    core.state().config.as_ref().map_or(0, |c| c.version)
}

/// Whether a host has adopted this version of the configuration in time.
async fn adopts(host: &ReplicaHost, version: u64) -> bool {
    let adopted = until(|| config_version(&host.core) == version);
    time::timeout(PROPAGATION_TIME, adopted).await.is_ok()
}

/// Guards against a change that takes no effect because it was made after the restore, at a
/// revision that the host has passed before: the registry has no reason to answer that it
/// lost the history.
#[tokio::test]
async fn change_at_a_revision_given_out_again_takes_effect() {
    let host = start_alone(registry(
        vec![
            before(58, vec![configuration(3), server("a")]),
            after(59, vec![configuration(4), server("a"), server("b")]),
        ],
        vec![unreachable(), after(59, vec![server("b")]), after(59, vec![])],
    ));

    assert!(adopts(&host, 4).await, "version {} in force", config_version(&host.core));
}

/// Guards against a host that changes its source after the restore and gets only the changes
/// above its own revision, which is one of the history before.
#[tokio::test]
async fn host_of_the_history_before_gets_the_full_state_of_a_restored_one() {
    let journal = journal();
    let script = registry(
        vec![after(50, vec![configuration(3), server("a")])],
        vec![
            after(50, vec![]),
            after(55, vec![configuration(4)]),
            after(60, vec![server("b")]),
            after(60, vec![]),
        ],
    );
    let (upstream, address) = start_upstream_with(script, journal.clone()).await;
    until(|| upstream.lifecycle.is_ready()).await;
    journal.admit("other", upstream.core.now());
    until(|| ids(&upstream.core).contains("b")).await;

    let listed = Event::Host("upstream".into(), peer(address, 500));
    let own = Event::Host("own".into(), peer(ADDRESS, 10));
    let host = start_alone(registry(
        vec![before(58, vec![configuration(3), server("a"), listed, own])],
        vec![unreachable()],
    ));

    assert!(adopts(&host, 4).await, "version {} in force", config_version(&host.core));
}

/// Guards against a host that has the state after the restore and goes back to that of a host
/// which has not noticed it: its revision is higher, but of the history before.
#[tokio::test]
async fn state_after_the_restore_is_not_replaced_by_one_from_before() {
    let script = registry(
        vec![before(58, vec![configuration(3), server("a"), server("gone")])],
        vec![before(58, vec![])],
    );
    let (behind, address) = start_upstream(script).await;
    until(|| behind.lifecycle.is_ready()).await;
    let listed = Event::Host("behind".into(), peer(address, 500));
    let own = Event::Host("own".into(), peer(ADDRESS, 10));
    let host = start_alone(registry(
        vec![after(50, vec![configuration(3), server("a"), listed, own])],
        vec![after(51, vec![server("b")]), after(51, vec![])],
    ));

    until(|| ids(&host.core).contains("b")).await;

    assert!(!ids(&host.core).contains("gone"));
}

fn draining_server(id: &str) -> Event {
    let entry = BackendEntry { draining: true, ..entry(id, "quote", ADDRESS) };
    Event::Server(Box::new(entry))
}

fn is_eligible(core: &Core, id: &str) -> bool {
    let state = core.state();
    state.fleet.key(id).is_some_and(|key| state.fleet.is_eligible(key))
}

/// Guards against requests to servers that are leaving or have left and to a zone that is
/// evacuated, and against removing servers that are new, because the copy does not show it
/// yet. What the registry still says after a while holds.
#[tokio::test]
async fn list_of_an_older_copy_takes_nothing_back() {
    let zone = || Event::Evacuated("south".into());
    let copy = vec![configuration(3), server("a"), server("leaving"), server("left")];
    let host = start_alone(registry(
        vec![
            before(57, [copy.clone(), vec![server("new")]].concat()),
            after(50, [copy, vec![server("later")]].concat()),
        ],
        vec![
            before(
                58,
                vec![draining_server("leaving"), Event::ServerRemoved("left".into()), zone()],
            ),
            unreachable(),
            after(50, vec![]),
        ],
    ));
    until(|| ids(&host.core).contains("later")).await;

    let (left, leaving) = (is_eligible(&host.core, "left"), is_eligible(&host.core, "leaving"));
    let (new, evacuated) =
        (is_eligible(&host.core, "new"), !host.core.state().fleet.evacuated_zones().is_empty());
    until(|| is_eligible(&host.core, "left") && is_eligible(&host.core, "leaving")).await;

    assert_eq!((left, leaving, new, evacuated), (false, false, true, true));
    assert!(host.core.state().fleet.evacuated_zones().is_empty());
    assert!(!ids(&host.core).contains("new"));
}

/// The entry of the host of the tests, which holds this lease.
fn own_entry(lease: u64) -> Event {
    Event::Host("own".into(), Peer { lease, ..peer(ADDRESS, 10) })
}

fn register(host: &ReplicaHost) {
    let (core, registry) = (host.core.clone(), host.registry.clone());
    tokio::spawn(registration::maintain(core, registry, "own".into(), peer(ADDRESS, 10), false));
}

/// Guards against a host that is missing in the registry for good: its lease was given out
/// after the copy, and once more to another host after the restore, so that it can be renewed.
#[tokio::test]
async fn host_whose_entry_the_copy_lacks_registers_again() {
    let state = vec![configuration(3), server("a")];
    let host = start_alone(registry(
        vec![before(58, [state.clone(), vec![own_entry(77)]].concat()), after(50, state)],
        vec![unreachable(), after(50, vec![])],
    ));
    register(&host);

    let registered = until(|| *host.registry.registered.lock().unwrap() > 0);

    assert!(time::timeout(PROPAGATION_TIME, registered).await.is_ok());
}

/// Guards against two calls for each host of a large deployment after every restore: the
/// entries that the copy holds have kept their leases.
#[tokio::test]
async fn host_whose_entry_the_copy_holds_keeps_its_lease() {
    let state = vec![configuration(3), server("a"), own_entry(77)];
    let host = start_alone(registry(
        vec![before(58, state.clone()), after(50, [state, vec![server("later")]].concat())],
        vec![unreachable(), after(50, vec![])],
    ));
    register(&host);
    until(|| ids(&host.core).contains("later")).await;

    time::sleep(PROPAGATION_TIME).await;

    assert_eq!(*host.registry.registered.lock().unwrap(), 0);
}

/// Guards against a host that goes on counting others that a full list no longer shows,
/// because it gets only changes from its upstream.
#[tokio::test]
async fn hosts_missing_in_a_full_list_lapse_at_the_followers() {
    let other = || Event::Host("other".into(), peer(ADDRESS, 9));
    let state = vec![configuration(3), server("a")];
    let (upstream, address) = start_upstream(registry(
        vec![
            before(5, [state.clone(), vec![other()]].concat()),
            before(9, [state.clone(), vec![server("later")]].concat()),
        ],
        vec![
            before(5, vec![]),
            before(5, vec![]),
            Err(RegistryError::HistoryLost),
            before(9, vec![]),
        ],
    ))
    .await;
    until(|| upstream.lifecycle.is_ready()).await;
    let listed = Event::Host("upstream".into(), peer(address, 500));
    let host = start_alone(registry(
        vec![before(5, [state, vec![other(), listed, own_entry(77)]].concat())],
        vec![unreachable()],
    ));
    until(|| ids(&host.core).contains("later")).await;

    let is_listed = host.core.state().peers.listed().any(|(name, _)| name == "other");

    assert!(!is_listed);
}
