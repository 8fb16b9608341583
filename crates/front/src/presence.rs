//! The entry of this host in the registry, by which the hosts know each other.

use std::sync::Arc;
use std::time::Duration;

use chervil_route::peers::Peer;
use tokio::time;

use crate::core::Core;
use crate::registry::Presence;
use crate::registry::Registry;
use crate::registry::RegistryError;

/// Time that the entry of a host lasts without renewal.
const TTL: Duration = Duration::from_secs(30);

/// Interval at which the entry of a host is renewed.
const RENEWAL: Duration = Duration::from_secs(10);

/// Pause before a failed entry or renewal is tried again.
const RETRY_PAUSE: Duration = Duration::from_secs(2);

/// Longest time for which a restarted host waits for the registry's list, to
/// find the entry of its former start.
const LIST_WAIT: Duration = Duration::from_secs(3);

/// Interval at which it looks for the list.
const LIST_POLL: Duration = Duration::from_millis(100);

/// Keeps the entry of this host in the registry. Unless the deployment starts
/// for the first time, an entry of the host's former start is taken over.
pub async fn keep(
    core: Arc<Core>,
    registry: Arc<dyn Registry>,
    host: Box<str>,
    peer: Peer,
    bootstrap: bool,
) {
    let mut presence = if bootstrap { None } else { former(&core, peer).await };
    loop {
        let result = match presence {
            Some(held) => registry.renew(held).await,
            None => registry.announce(&host, peer, TTL).await.map(|p| presence = Some(p)),
        };
        match result {
            Ok(()) => time::sleep(RENEWAL).await,
            Err(error) => {
                if error == RegistryError::Lapsed {
                    presence = None;
                }
                let error = error.to_string();
                spdlog::warn!("entry of this host not kept", kv: { error = error.as_str() });
                time::sleep(RETRY_PAUSE).await;
            }
        }
    }
}

/// The entry of this host's former start, once the registry was listed.
async fn former(core: &Core, peer: Peer) -> Option<Presence> {
    let end = core.now() + LIST_WAIT;
    while core.state().confirmed.is_none() && core.now() < end {
        time::sleep(LIST_POLL).await;
    }
    let lease = core.state().sources.own_lease(peer)?;
    spdlog::info!("entry of the former start taken over", kv: { lease });
    Some(Presence { lease })
}
