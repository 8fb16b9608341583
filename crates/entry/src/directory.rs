//! Directory of an entry: the view of the system and the index versions of
//! the services in use. An actor owns it.

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

/// Time after the last request at which a service's index is not refreshed
/// any more.
const IDLE: Duration = Duration::from_secs(60);

/// Time in which what servers told is gathered before a layout is rebuilt. When
/// a version disappears, each server of a large service tells so at once.
const REBUILD_DELAY: Duration = Duration::from_millis(5);

/// What a request needs of its service.
#[derive(Clone, Debug)]
pub struct ServiceHandle {
    /// Layout; changes with the view and the index.
    pub layouts: watch::Receiver<Arc<Topology>>,
    /// Policy shared by the service's requests.
    pub policy: SharedPolicy,
    /// Asks for a refresh of the index.
    pub refresh: Arc<Notify>,
}

/// Policy shared by a service's requests.
#[derive(Clone, Debug)]
pub struct SharedPolicy(Arc<Mutex<Policy>>);

impl SharedPolicy {
    /// Shares a policy.
    pub fn new(policy: Policy) -> SharedPolicy {
        SharedPolicy(Arc::new(Mutex::new(policy)))
    }

    /// Locks the policy; never held across an await.
    pub fn lock(&self) -> MutexGuard<'_, Policy> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a service cannot be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NoService {
    /// No catalog has been received.
    NoCatalog,
    /// The catalog does not list it.
    Unknown,
    /// It is out of service.
    OutOfService,
}

#[derive(Debug)]
struct Known {
    layouts: watch::Sender<Arc<Topology>>,
    policy: SharedPolicy,
    refresh: Arc<Notify>,
    held: HashMap<Box<str>, Vec<HeldVersion>>,
    used: Instant,
    refreshing: bool,
    /// Whether a rebuild of the layout is due.
    stale: bool,
}

/// Starts the refresh of a service's index.
pub type Refresher = Box<dyn Fn(Box<str>, ServiceHandle) + Send + Sync>;

/// The view of the system and the services in use.
#[derive(Actor)]
pub struct Directory {
    zone: Box<str>,
    tunables: Tunables,
    catalog: Option<Catalog>,
    hosts: Vec<Member>,
    services: HashMap<Box<str>, Known>,
    refresher: Refresher,
}

impl Directory {
    /// A directory without a view, for an entry in `zone`.
    pub fn new(zone: Box<str>, tunables: Tunables, refresher: Refresher) -> Directory {
        Directory {
            zone,
            tunables,
            catalog: None,
            hosts: Vec::new(),
            services: HashMap::default(),
            refresher,
        }
    }

    /// Runs the directory as an actor.
    pub fn spawn(self) -> xtra::Address<Directory> {
        xtra::spawn_tokio(self, Mailbox::unbounded())
    }

    fn rebuild(&mut self, service: &str) {
        let Some(catalog) = &self.catalog else { return };
        let Some(known) = self.services.get_mut(service) else { return };
        known.stale = false;
        let parts = build::parts(catalog, &self.hosts, service, &self.zone);
        known.held.retain(|name, _| catalog.server(name).is_some());
        known.policy.lock().health.retain(|name| catalog.server(name).is_some());
        let mut index = ServiceIndex::default();
        for (server, versions) in &known.held {
            index.update(ServerIndex { server: server.clone(), versions: versions.clone() });
        }
        known.layouts.send_replace(Arc::new(Topology::new(parts, index)));
    }

    fn check(&self, service: &str) -> Result<(), NoService> {
        let catalog = self.catalog.as_ref().ok_or(NoService::NoCatalog)?;
        let key = catalog.service(service).ok_or(NoService::Unknown)?;
        let usable = catalog.services[key].in_service;
        if usable { Ok(()) } else { Err(NoService::OutOfService) }
    }

    fn known(&mut self, service: &str) -> &mut Known {
        let tunables = &self.tunables;
        self.services.entry(service.into()).or_insert_with(|| Known {
            layouts: watch::Sender::new(Arc::new(Topology::default())),
            policy: SharedPolicy::new(Policy::new(tunables.clone())),
            refresh: Arc::default(),
            held: HashMap::default(),
            used: Instant::now(),
            refreshing: false,
            stale: false,
        })
    }
}

/// Takes in a view of the agent.
pub struct SetView(pub View);

impl Handler<SetView> for Directory {
    type Return = ();

    async fn handle(&mut self, SetView(view): SetView, _: &mut Context<Self>) {
        let same = view.catalog.is_none() && view.hosts == self.hosts;
        if same {
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

/// Finds a service for a request.
pub struct Find {
    /// Name of the service.
    pub service: Box<str>,
    /// Current time.
    pub now: Instant,
}

impl Handler<Find> for Directory {
    type Return = Result<ServiceHandle, NoService>;

    async fn handle(&mut self, find: Find, _: &mut Context<Self>) -> Self::Return {
        self.check(&find.service)?;
        let first = !self.services.contains_key(&find.service);
        let known = self.known(&find.service);
        known.used = find.now;
        let start = !known.refreshing;
        known.refreshing = true;
        let handle = ServiceHandle {
            layouts: known.layouts.subscribe(),
            policy: known.policy.clone(),
            refresh: known.refresh.clone(),
        };
        if first {
            self.rebuild(&find.service);
        }
        if start {
            (self.refresher)(find.service, handle.clone());
        }
        Ok(handle)
    }
}

/// Takes in what servers hold.
pub struct IndexUpdate {
    /// Name of the service.
    pub service: Box<str>,
    /// What its servers hold.
    pub updates: Vec<ServerIndex>,
}

impl Handler<IndexUpdate> for Directory {
    type Return = ();

    async fn handle(&mut self, update: IndexUpdate, context: &mut Context<Self>) {
        let Some(known) = self.services.get_mut(&update.service) else { return };
        let mut changed = false;
        for index in update.updates {
            if known.held.get(&index.server) != Some(&index.versions) {
                known.held.insert(index.server, index.versions);
                changed = true;
            }
        }
        if !changed || known.stale {
            return;
        }
        if known.layouts.borrow().preferred().is_none() {
            return self.rebuild(&update.service);
        }
        known.stale = true;
        let (address, service) = (context.mailbox().address(), update.service);
        tokio::spawn(async move {
            time::sleep(REBUILD_DELAY).await;
            // Without a directory the process is stopping.
            let _ = address.send(Rebuild { service }).await;
        });
    }
}

/// Builds the layout of a service anew after its servers told what they hold.
struct Rebuild {
    service: Box<str>,
}

impl Handler<Rebuild> for Directory {
    type Return = ();

    async fn handle(&mut self, rebuild: Rebuild, _: &mut Context<Self>) {
        self.rebuild(&rebuild.service);
    }
}

/// Asks whether a service's index is still to be refreshed.
pub struct StillUsed {
    /// Name of the service.
    pub service: Box<str>,
    /// Current time.
    pub now: Instant,
}

impl Handler<StillUsed> for Directory {
    type Return = bool;

    async fn handle(&mut self, asked: StillUsed, _: &mut Context<Self>) -> bool {
        let Some(known) = self.services.get_mut(&asked.service) else { return false };
        known.refreshing = asked.now.saturating_duration_since(known.used) < IDLE;
        known.refreshing
    }
}
