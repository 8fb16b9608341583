//! Stand-in of the operator and of the backend servers' heartbeats.

use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::time;

use crate::backend::Backend;
use crate::ledger::Ledger;
use crate::proxy::Proxy;
use crate::store::Store;
use crate::wire;

/// Interval at which backend servers write their entries.
const HEARTBEAT: Duration = Duration::from_millis(600);

/// Backend servers of each service.
const REPLICAS: usize = 3;

/// A backend server, the link to it, and whether it is in the registry.
#[derive(Clone, Debug)]
pub struct Member {
    /// Backend server.
    pub backend: Backend,
    /// Link from all hosts to it.
    pub proxy: Proxy,
    state: Arc<Mutex<Presence>>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Presence {
    Ready,
    Draining,
    Absent,
}

/// The operator's side of the platform.
#[derive(Clone, Debug)]
pub struct Operator {
    store: Store,
    /// Backend servers.
    pub members: Vec<Member>,
    version: Arc<Mutex<u64>>,
}

impl Operator {
    /// Starts the backend servers of all services and writes the first
    /// configuration.
    pub async fn start(store: Store, ledger: &Ledger) -> io::Result<Operator> {
        let mut services: Vec<String> = (0..wire::SHARDS).map(wire::shard).collect();
        services.extend(["quote-a".into(), "quote-b".into()]);
        let mut members = Vec::new();
        for service in services {
            for replica in 0..REPLICAS {
                let id = format!("{service}-{replica}");
                let backend = Backend::start(id, service.clone(), ledger.clone()).await?;
                let proxy = Proxy::start(backend.address).await?;
                let state = Arc::new(Mutex::new(Presence::Ready));
                members.push(Member { backend, proxy, state });
            }
        }
        let operator = Operator { store, members, version: Arc::new(Mutex::new(0)) };
        operator.configure();
        operator.members.iter().for_each(|m| operator.enter(m, 0));
        tokio::spawn(operator.clone().beat());
        Ok(operator)
    }

    /// Writes the next configuration; quotes move to the other service.
    pub fn configure(&self) {
        let mut version = self.version.lock().unwrap_or_else(PoisonError::into_inner);
        *version += 3;
        let quotes = if version.is_multiple_of(2) { "quote-a" } else { "quote-b" };
        self.store.put("op/config", &wire::config(*version, quotes));
    }

    /// Lets a backend server drain and leave the registry.
    pub fn drain(&self, member: &Member) {
        member.set(Presence::Draining);
        self.enter(member, 1);
        member.backend.set_left(Some(Instant::now()));
    }

    /// Takes a backend server out of the registry without a word.
    pub fn remove(&self, member: &Member) {
        member.set(Presence::Absent);
        self.store.delete(&format!("servers/{}", member.backend.id));
        member.backend.set_left(Some(Instant::now()));
    }

    /// Brings a backend server back.
    pub fn admit(&self, member: &Member) {
        member.backend.set_left(None);
        member.set(Presence::Ready);
        self.enter(member, 2);
    }

    async fn beat(self) {
        let mut sequence = 10;
        loop {
            time::sleep(HEARTBEAT).await;
            sequence += 1;
            self.members.iter().for_each(|m| self.enter(m, sequence));
        }
    }

    fn enter(&self, member: &Member, sequence: u64) {
        let state = *member.state.lock().unwrap_or_else(PoisonError::into_inner);
        if state == Presence::Absent {
            return;
        }
        let draining = state == Presence::Draining;
        let backend = &member.backend;
        let entry = wire::entry(&backend.service, member.proxy.address, draining, sequence);
        self.store.put(&format!("servers/{}", backend.id), &entry);
    }
}

impl Member {
    fn set(&self, state: Presence) {
        *self.state.lock().unwrap_or_else(PoisonError::into_inner) = state;
    }
}
