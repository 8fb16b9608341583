//! The entry of a host in the registry.

mod support;

use std::sync::Arc;

use chervil_front::presence;
use chervil_route::sources::Peer;

use crate::support::ScriptedRegistry;
use crate::support::core;
use crate::support::until;

const LEASE: u64 = 77;

fn peer(lease: u64) -> Peer {
    Peer { address: "127.0.0.1:9".parse().unwrap(), power: 84, lease }
}

/// Runs the entry of the host "own", of which the registry's list holds `listed`.
async fn keep(listed: Option<Peer>) -> Arc<ScriptedRegistry> {
    let (core, registry) = (core(), Arc::new(ScriptedRegistry::default()));
    if let Some(listed) = listed {
        core.state().sources.insert("own".into(), listed);
    }
    core.state().confirmed = Some(core.now());
    let kept = registry.clone();
    tokio::spawn(presence::keep(core, kept, "own".into(), peer(0), false));
    until(|| {
        *registry.announced.lock().unwrap() > 0 || !registry.renewed.lock().unwrap().is_empty()
    })
    .await;
    registry
}

/// Guards against a new lease and entry at each restart, which the store counts.
#[tokio::test]
async fn restarted_host_takes_its_entry_over() {
    let registry = keep(Some(peer(LEASE))).await;

    assert_eq!(*registry.renewed.lock().unwrap(), [LEASE]);
    assert_eq!(*registry.announced.lock().unwrap(), 0);
}

/// Guards against keeping an entry that states another address or power.
#[tokio::test]
async fn changed_host_announces_itself() {
    let registry = keep(Some(Peer { power: 500, ..peer(LEASE) })).await;

    assert_eq!(*registry.announced.lock().unwrap(), 1);
}

/// Guards against a host without an entry that others never learn of.
#[tokio::test]
async fn unknown_host_announces_itself() {
    let registry = keep(None).await;

    assert_eq!(*registry.announced.lock().unwrap(), 1);
}
