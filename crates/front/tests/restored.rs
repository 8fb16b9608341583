//! A registry that is restored from an older copy: it gives out revisions a second time, and
//! what was written since the copy is lost until it is written again.

mod support;

use std::time::Duration;

use chervil_front::core::Core;
use chervil_front::registry::Changes;
use chervil_front::registry::Event;
use chervil_front::registry::RegistryError;
use chervil_route::history::Position;
use tokio::time;

use crate::support::ADDRESS;
use crate::support::ScriptedRegistry;
use crate::support::configuration;
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
    Ok(Changes { events, position: Position { era: 1, revision } })
}

/// Events of the registry up to a revision of the history after the restore.
fn after(revision: u64, events: Vec<Event>) -> Result<Changes, RegistryError> {
    Ok(Changes { events, position: Position { era: 2, revision } })
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
