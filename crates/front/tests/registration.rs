//! Registration of a host: new, or with the lease of its previous process.

mod support;

use std::sync::Arc;

use chervil_front::registration;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;

use crate::support::ScriptedRegistry;
use crate::support::core;
use crate::support::until;

const LEASE: u64 = 77;

fn peer(lease: u64) -> Peer {
    Peer {
        address: "127.0.0.1:9".parse().unwrap(),
        cpu_millicores: 84,
        zone: "north".into(),
        lease,
        format: FORMAT,
    }
}

/// Runs the registration of the host "own", for which the registry holds the
/// entry `listed`, until the first call to register or renew.
async fn run(listed: Option<Peer>) -> Arc<ScriptedRegistry> {
    let (core, registry) = (core(), Arc::new(ScriptedRegistry::default()));
    if let Some(listed) = listed {
        core.state().peers.insert("own".into(), listed);
    }
    core.state().synced_at = Some(core.now());
    let calls = registry.clone();
    tokio::spawn(registration::maintain(core, calls, "own".into(), peer(0), false));
    until(|| {
        *registry.registered.lock().unwrap() > 0 || !registry.renewed.lock().unwrap().is_empty()
    })
    .await;
    registry
}

/// Guards against a new lease and entry at each restart: the store counts them,
/// and the lease of the previous process is still valid.
#[tokio::test]
async fn restarted_host_reuses_its_lease() {
    let registry = run(Some(peer(LEASE))).await;

    assert_eq!(*registry.renewed.lock().unwrap(), [LEASE]);
    assert_eq!(*registry.registered.lock().unwrap(), 0);
}

/// Guards against renewing an entry that states an outdated address or CPU
/// capacity after a restart with other settings.
#[tokio::test]
async fn host_with_changed_settings_registers_anew() {
    let registry = run(Some(Peer { cpu_millicores: 500, ..peer(LEASE) })).await;

    assert_eq!(*registry.registered.lock().unwrap(), 1);
}

/// Guards against a host that never registers, so that others cannot discover
/// it: it has no entry to continue with.
#[tokio::test]
async fn host_without_an_entry_registers() {
    let registry = run(None).await;

    assert_eq!(*registry.registered.lock().unwrap(), 1);
}
