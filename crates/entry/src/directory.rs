//! Directory of an entry: the catalog and the live hosts, and for each service
//! in use its index versions, topology and policy. It runs as an actor.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_base::catalog::Catalog;
use chervil_base::index::HeldVersion;
use chervil_base::index::ServerIndex;
use chervil_base::index::ServiceIndex;
use chervil_plan::policy::Policy;
use chervil_plan::topology::Topology;
use chervil_plan::tunables::Tunables;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::View;
use tokio::sync::Notify;
use tokio::sync::watch;
use tokio::time;
use xtra::Actor;
use xtra::Context;
use xtra::Handler;
use xtra::Mailbox;

mod build;

/// A service's index is no longer refreshed after this time without a request.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time for which index updates are batched before a topology is rebuilt. When a
/// version disappears, all servers of a large service report it at once.
const REBUILD_DELAY: Duration = Duration::from_millis(5);

/// A service as its requests see it.
#[derive(Clone, Debug)]
pub struct ServiceHandle {
    /// Latest topology; it changes with the view and with the index.
    pub topology: watch::Receiver<Arc<Topology>>,
    /// Limits and statistics, shared by all requests of the service.
    pub policy: SharedPolicy,
    /// Wakes the refresh task before its interval has passed.
    pub refresh: Arc<Notify>,
}

/// Policy shared by all requests of a service.
#[derive(Clone, Debug)]
pub struct SharedPolicy(Arc<Mutex<Policy>>);

impl SharedPolicy {
    /// Wraps a policy for sharing.
    pub fn new(policy: Policy) -> SharedPolicy {
        SharedPolicy(Arc::new(Mutex::new(policy)))
    }

    /// Locks the policy. The guard must not be held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Policy> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a service cannot take requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LookupError {
    /// The agent has not sent a catalog yet.
    NoCatalog,
    /// The catalog does not list the service.
    Unknown,
    /// The service is out of service.
    OutOfService,
}

/// State of a service that has had a request.
#[derive(Debug)]
struct ServiceState {
    topology: watch::Sender<Arc<Topology>>,
    policy: SharedPolicy,
    refresh: Arc<Notify>,
    /// Index versions that each server holds, by its name.
    held: HashMap<Box<str>, Vec<HeldVersion>>,
    /// Time of the latest request.
    last_used: Instant,
    /// Whether a refresh task runs.
    refreshing: bool,
    /// Whether a rebuild of the topology is scheduled.
    rebuild_pending: bool,
}

/// Spawns the task that refreshes a service's index.
pub type SpawnRefresh = Box<dyn Fn(Box<str>, ServiceHandle) + Send + Sync>;

/// Actor that owns the catalog, the live hosts and the services in use.
#[derive(Actor)]
pub struct Directory {
    zone: Box<str>,
    tunables: Tunables,
    catalog: Option<Catalog>,
    hosts: Vec<Member>,
    services: HashMap<Box<str>, ServiceState>,
    spawn_refresh: SpawnRefresh,
}

impl Directory {
    /// A directory that has not received a view yet, for an entry in `zone`.
    pub fn new(zone: Box<str>, tunables: Tunables, spawn_refresh: SpawnRefresh) -> Directory {
        Directory {
            zone,
            tunables,
            catalog: None,
            hosts: Vec::new(),
            services: HashMap::default(),
            spawn_refresh,
        }
    }

    /// Spawns the actor and returns its address.
    pub fn spawn(self) -> xtra::Address<Directory> {
        xtra::spawn_tokio(self, Mailbox::unbounded())
    }

    fn rebuild(&mut self, service: &str) {
        let Some(catalog) = &self.catalog else { return };
        let Some(state) = self.services.get_mut(service) else { return };
        state.rebuild_pending = false;
        let parts = build::parts(catalog, &self.hosts, service, &self.zone);
        state.held.retain(|name, _| catalog.server(name).is_some());
        state.policy.lock().health.retain(|name| catalog.server(name).is_some());
        let mut index = ServiceIndex::default();
        for (server, versions) in &state.held {
            index.update(ServerIndex { server: server.clone(), versions: versions.clone() });
        }
        state.topology.send_replace(Arc::new(Topology::new(parts, index)));
    }

    fn check_in_service(&self, service: &str) -> Result<(), LookupError> {
        let catalog = self.catalog.as_ref().ok_or(LookupError::NoCatalog)?;
        let key = catalog.service(service).ok_or(LookupError::Unknown)?;
        let in_service = catalog.services[key].in_service;
        if in_service { Ok(()) } else { Err(LookupError::OutOfService) }
    }

    /// State of a service, created at its first request.
    fn state_mut(&mut self, service: &str) -> &mut ServiceState {
        let tunables = &self.tunables;
        self.services.entry(service.into()).or_insert_with(|| ServiceState {
            topology: watch::Sender::new(Arc::new(Topology::default())),
            policy: SharedPolicy::new(Policy::new(tunables.clone())),
            refresh: Arc::default(),
            held: HashMap::default(),
            last_used: Instant::now(),
            refreshing: false,
            rebuild_pending: false,
        })
    }
}

/// Replaces the view by a newer one of the agent.
pub struct SetView(pub View);

impl Handler<SetView> for Directory {
    type Return = ();

    async fn handle(&mut self, SetView(view): SetView, _: &mut Context<Self>) {
        let unchanged = view.catalog.is_none() && view.hosts == self.hosts;
        if unchanged {
            return;
        }
        if let Some(spec) = &view.catalog {
            self.catalog = Some(Catalog::new(spec));
        }
        self.hosts = view.hosts;
        let names: Vec<Box<str>> = self.services.keys().cloned().collect();
        for name in names {
            self.rebuild(&name);
        }
    }
}

/// Looks a service up for a request and marks it as in use.
pub struct LookupService {
    /// Name of the service.
    pub service: Box<str>,
    /// Time of the request.
    pub now: Instant,
}

impl Handler<LookupService> for Directory {
    type Return = Result<ServiceHandle, LookupError>;

    async fn handle(&mut self, lookup: LookupService, _: &mut Context<Self>) -> Self::Return {
        self.check_in_service(&lookup.service)?;
        let first_use = !self.services.contains_key(&lookup.service);
        let state = self.state_mut(&lookup.service);
        state.last_used = lookup.now;
        let start_refresh = !state.refreshing;
        state.refreshing = true;
        let handle = ServiceHandle {
            topology: state.topology.subscribe(),
            policy: state.policy.clone(),
            refresh: state.refresh.clone(),
        };
        if first_use {
            self.rebuild(&lookup.service);
        }
        if start_refresh {
            (self.spawn_refresh)(lookup.service, handle.clone());
        }
        Ok(handle)
    }
}

/// Updates the index of a service with what its servers hold.
pub struct IndexUpdate {
    /// Name of the service.
    pub service: Box<str>,
    /// Index versions that servers hold now, by server.
    pub updates: Vec<ServerIndex>,
}

impl Handler<IndexUpdate> for Directory {
    type Return = ();

    async fn handle(&mut self, update: IndexUpdate, context: &mut Context<Self>) {
        let Some(state) = self.services.get_mut(&update.service) else { return };
        let mut changed = false;
        for index in update.updates {
            if state.held.get(&index.server) != Some(&index.versions) {
                state.held.insert(index.server, index.versions);
                changed = true;
            }
        }
        if !changed || state.rebuild_pending {
            return;
        }
        // Queries wait for the first index, so it is not delayed for batching.
        if state.topology.borrow().preferred().is_none() {
            return self.rebuild(&update.service);
        }
        state.rebuild_pending = true;
        let (address, service) = (context.mailbox().address(), update.service);
        tokio::spawn(async move {
            time::sleep(REBUILD_DELAY).await;
            // The directory is gone only when the process shuts down.
            let _ = address.send(Rebuild { service }).await;
        });
    }
}

/// Rebuilds the topology of a service from its updated index.
struct Rebuild {
    service: Box<str>,
}

impl Handler<Rebuild> for Directory {
    type Return = ();

    async fn handle(&mut self, rebuild: Rebuild, _: &mut Context<Self>) {
        self.rebuild(&rebuild.service);
    }
}

/// Asks whether the refresh task of a service should go on; it should not when
/// the service is idle.
pub struct ContinueRefresh {
    /// Name of the service.
    pub service: Box<str>,
    /// Current time.
    pub now: Instant,
}

impl Handler<ContinueRefresh> for Directory {
    type Return = bool;

    async fn handle(&mut self, check: ContinueRefresh, _: &mut Context<Self>) -> bool {
        let Some(state) = self.services.get_mut(&check.service) else { return false };
        let idle = check.now.saturating_duration_since(state.last_used);
        state.refreshing = idle < IDLE_TIMEOUT;
        state.refreshing
    }
}
