//! Stand-in of the platform's operator, which writes configurations, and of the
//! heartbeats with which backend servers renew their registry entries.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use crate::backend::Backend;
use crate::platform;
use crate::proxy::Proxy;
use crate::recorder::Recorder;
use crate::store::Store;

/// Interval at which backend servers rewrite their registry entries.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(600);

/// Number of backend servers of each service.
pub const REPLICAS_PER_SERVICE: usize = 3;

/// A backend server, the link to it, and its state in the registry.
#[derive(Clone, Debug)]
pub struct Replica {
    /// The backend server.
    pub backend: Backend,
    /// Proxy through which all hosts connect to it.
    pub proxy: Proxy,
    state: Arc<Mutex<RegistryState>>,
    /// Number of the instance in its registry entry; 0 if it states none.
    instance: Arc<AtomicU64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RegistryState {
    Ready,
    Draining,
    Removed,
}

/// Handle on the operator; clones share its state.
#[derive(Clone, Debug)]
pub struct Operator {
    store: Store,
    /// Backend servers of all services.
    pub replicas: Vec<Replica>,
    config_version: Arc<Mutex<u64>>,
}

impl Operator {
    /// Starts the backend servers of all services, writes the first
    /// configuration and registers them.
    pub async fn start(store: Store, recorder: &Recorder) -> io::Result<Operator> {
        let mut services: Vec<String> =
            (0..platform::SHARD_COUNT).map(platform::shard_service).collect();
        services.extend(["quote-a".into(), "quote-b".into()]);
        let mut replicas = Vec::new();
        for service in services {
            for replica in 0..REPLICAS_PER_SERVICE {
                let id = format!("{service}-{replica}");
                let backend = Backend::start(id, service.clone(), recorder.clone()).await?;
                let proxy = Proxy::start(backend.address).await?;
                let state = Arc::new(Mutex::new(RegistryState::Ready));
                replicas.push(Replica { backend, proxy, state, instance: Arc::default() });
            }
        }
        let operator = Operator { store, replicas, config_version: Arc::new(Mutex::new(0)) };
        operator.write_config();
        operator.replicas.iter().for_each(|r| operator.write_entry(r, 0));
        tokio::spawn(operator.clone().send_heartbeats());
        Ok(operator)
    }

    /// Writes the next configuration. The version rises by an odd number, so that
    /// quotes move to the other service each time.
    pub fn write_config(&self) {
        let mut version = self.config_version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        let quote_service = if version.is_multiple_of(2) { "quote-a" } else { "quote-b" };
        self.store.put("op/config", &platform::config(*version, quote_service));
    }

    /// Marks a backend server as draining in the registry, so that the hosts stop
    /// using it.
    pub fn drain(&self, replica: &Replica) {
        replica.set_state(RegistryState::Draining);
        self.write_entry(replica, 1);
        replica.backend.set_withdrawn(Some(Instant::now()));
    }

    /// Deletes the registry entry of a backend server without draining it first.
    pub fn remove(&self, replica: &Replica) {
        replica.set_state(RegistryState::Removed);
        self.store.delete(&format!("servers/{}", replica.backend.id));
        replica.backend.set_withdrawn(Some(Instant::now()));
    }

    /// Replaces a backend server that leaves by a new instance at the same address.
    pub fn replace(&self, replica: &Replica) {
        replica.backend.set_announcement(None);
        replica.instance.fetch_add(1, Ordering::Relaxed);
        self.write_entry(replica, 3);
    }

    /// Registers a backend server as ready again after a drain or removal.
    pub fn restore(&self, replica: &Replica) {
        replica.backend.set_withdrawn(None);
        replica.set_state(RegistryState::Ready);
        self.write_entry(replica, 2);
    }

    async fn send_heartbeats(self) {
        let mut sequence = 10;
        loop {
            time::sleep(HEARTBEAT_INTERVAL).await;
            sequence += 1;
            self.replicas.iter().for_each(|r| self.write_entry(r, sequence));
        }
    }

    fn write_entry(&self, replica: &Replica, sequence: u64) {
        let state = *replica.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state == RegistryState::Removed {
            return;
        }
        let draining = state == RegistryState::Draining;
        let backend = &replica.backend;
        let instance = replica.instance.load(Ordering::Relaxed);
        let born = (instance > 0).then_some(instance);
        let entry = platform::registry_entry(
            &backend.service,
            replica.proxy.address,
            draining,
            sequence,
            born,
        );
        self.store.put(&format!("servers/{}", backend.id), &entry);
    }
}

impl Replica {
    fn set_state(&self, state: RegistryState) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}
