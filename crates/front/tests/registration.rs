//! Registration of a host: new, or with the lease of its previous process.

mod support;

use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use async_trait::async_trait;
use chervil_front::registration;
use chervil_front::registry::Changes;
use chervil_front::registry::Registration;
use chervil_front::registry::Registry;
use chervil_front::registry::RegistryError;
use chervil_route::crashes::CrashRecord;
use chervil_route::peers::FORMAT;
use chervil_route::peers::Peer;
use tokio::time;

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

/// A registry whose first renewal gets no reply.
#[derive(Default)]
struct SilentRegistry {
    renewals: AtomicU32,
}

#[async_trait]
impl Registry for SilentRegistry {
    async fn list(&self) -> Result<Changes, RegistryError> {
        Err(RegistryError::HistoryLost)
    }

    async fn changes(&self, _revision: u64, _wait: Duration) -> Result<Changes, RegistryError> {
        Err(RegistryError::HistoryLost)
    }

    async fn register(
        &self,
        _host: &str,
        _peer: &Peer,
        _ttl: Duration,
    ) -> Result<Registration, RegistryError> {
        Ok(Registration { lease: LEASE })
    }

    async fn record_crashes(
        &self,
        _records: &[CrashRecord],
        _ttl: Duration,
    ) -> Result<(), RegistryError> {
        Ok(())
    }

    async fn renew(&self, _registration: Registration) -> Result<(), RegistryError> {
        if self.renewals.fetch_add(1, Ordering::Relaxed) == 0 {
            std::future::pending::<()>().await;
        }
        Ok(())
    }
}

/// Guards against a host whose entry expires because a renewal waits for good, on a connection
/// to the registry that has gone silent.
#[tokio::test(start_paused = true)]
async fn renewal_without_a_reply_is_made_again() {
    let (core, registry) = (core(), Arc::new(SilentRegistry::default()));
    let calls = registry.clone();
    tokio::spawn(registration::maintain(core, calls, "own".into(), peer(0), true));

    time::sleep(Duration::from_secs(28)).await;

    assert!(registry.renewals.load(Ordering::Relaxed) >= 2);
}
