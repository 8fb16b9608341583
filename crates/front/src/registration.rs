//! Keeps this host registered. Hosts discover each other by their entries in
//! the registry.

use std::sync::Arc;
use std::time::Duration;

use chervil_route::peers::Peer;
use rand::RngExt as _;
use tokio::time;

use crate::core::Core;
use crate::registry;
use crate::registry::Registration;
use crate::registry::Registry;
use crate::registry::RegistryError;

/// Lifetime of the lease without renewal.
const LEASE_TTL: Duration = Duration::from_secs(30);

/// Interval at which the lease is renewed.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(10);

/// Time after which a call counts as failed: its connection may be silent for good.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Delay before a failed registration or renewal is retried.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Longest time for which a restarted host waits for the first state of the
/// registry, in which it looks for the entry of its previous process.
const FIRST_SYNC_TIMEOUT: Duration = Duration::from_secs(3);

/// Time over which hosts spread their registrations after a restore, in which all may have
/// lost their entries.
const RESTORED_SPREAD: Duration = Duration::from_secs(1);

/// Interval at which it checks whether that state has arrived.
const FIRST_SYNC_POLL: Duration = Duration::from_millis(100);

/// Registers this host and renews its lease until the task is dropped.
///
/// Unless the deployment starts for the first time (`bootstrap`), the host
/// continues with the lease of its previous process if that is still valid.
pub async fn maintain(
    core: Arc<Core>,
    registry: Arc<dyn Registry>,
    host: Box<str>,
    peer: Peer,
    bootstrap: bool,
) {
    let mut restores = core.subscribe_restores();
    let mut registration = if bootstrap { None } else { previous_registration(&core, &peer).await };
    loop {
        let result = match registration {
            Some(current) => registry::within(CALL_TIMEOUT, registry.renew(current)).await,
            None => {
                let call = registry.register(&host, &peer, LEASE_TTL);
                registry::within(CALL_TIMEOUT, call).await.map(|new| registration = Some(new))
            }
        };
        match result {
            Ok(()) => {
                tokio::select! {
                    () = time::sleep(RENEWAL_INTERVAL) => {}
                    Ok(()) = restores.changed() => {
                        // The lease may be another host's now, so that renewing it would
                        // show nothing.
                        let listed = core.state().peers.own_lease(&peer);
                        if listed != registration.map(|r| r.lease) {
                            let delay = RESTORED_SPREAD.mul_f64(rand::rng().random());
                            time::sleep(delay).await;
                            registration = None;
                        }
                    }
                }
            }
            Err(error) => {
                if error == RegistryError::LeaseExpired {
                    registration = None;
                }
                let error = error.to_string();
                spdlog::warn!(
                    "cannot register this host or renew its lease; retrying in {RETRY_DELAY:?}",
                    kv: { error = error.as_str() }
                );
                time::sleep(RETRY_DELAY).await;
            }
        }
    }
}

/// The registration of this host's previous process, if the registry still
/// holds it with the same address and CPU limit.
async fn previous_registration(core: &Core, peer: &Peer) -> Option<Registration> {
    let deadline = core.now() + FIRST_SYNC_TIMEOUT;
    while core.state().synced_at.is_none() && core.now() < deadline {
        time::sleep(FIRST_SYNC_POLL).await;
    }
    let lease = core.state().peers.own_lease(peer)?;
    spdlog::info!("reusing the lease of this host's previous process", kv: { lease });
    Some(Registration { lease })
}
