//! Scheduler of a gate: a state machine over the slots, queues and connections of
//! the backend servers that the gate owns.
//!
//! The gate calls it with events and carries out the [`Action`]s that
//! [`Scheduler::take_actions`] returns. For every started item, the gate must call
//! [`Scheduler::finished`] or [`Scheduler::cancel`].

use std::time::Instant;

use chervil_base::HashMap;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::WarmupLevel;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;
use slotmap::SlotMap;

use crate::pool::Conns;
use crate::queue::Flow;
use crate::queue::PushResult;
use crate::server::Server;
use crate::types::Action;
use crate::types::ConnKey;
use crate::types::Refused;
use crate::types::SchedulerSettings;
use crate::types::ServerKey;
use crate::types::Work;
use crate::types::WorkKey;

mod configure;
mod dispatch;
mod events;
mod stall;
mod tick;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Queued,
    Running(ConnKey),
}

#[derive(Clone, Debug)]
struct Item {
    server: ServerKey,
    flow: Flow,
    shard: u32,
    idempotent: bool,
    fresh_conn: bool,
    deadline: Instant,
    stage: Stage,
    /// Whether the item was queued again once because its connection was closed.
    requeued: bool,
}

/// Scheduler of one gate; see the module documentation.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    servers: SlotMap<ServerKey, Server>,
    /// Owned servers, and former ones until their last connection is gone.
    keys_by_name: HashMap<Box<str>, ServerKey>,
    /// Names of all servers in the catalog, whoever owns them.
    catalog_names: chervil_base::HashSet<Box<str>>,
    items: SlotMap<WorkKey, Item>,
    conns: Conns,
    /// Warm-up levels of servers that this host does not own, and when they were
    /// learned.
    hints: HashMap<Box<str>, (u32, Instant)>,
    /// Names of groups whose levels changed since they were last taken.
    changed_groups: chervil_base::HashSet<Box<str>>,
    lease_until: Option<Instant>,
    stopping: bool,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler that owns no servers and holds no quorum lease.
    pub fn new(settings: SchedulerSettings) -> Scheduler {
        Scheduler {
            settings,
            servers: SlotMap::default(),
            keys_by_name: HashMap::default(),
            catalog_names: Default::default(),
            items: SlotMap::default(),
            conns: Conns::default(),
            hints: HashMap::default(),
            changed_groups: Default::default(),
            lease_until: None,
            stopping: false,
            rng: SmallRng::seed_from_u64(settings.seed),
            actions: Vec::new(),
        }
    }

    /// Returns the actions caused by the events since the last call, in the order
    /// in which to carry them out.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Accepts or refuses an item. A later [`Action::Start`], [`Action::Refuse`] or
    /// [`Action::Abandon`] reports what becomes of an accepted item.
    pub fn submit(&mut self, work: &Work, now: Instant) -> Result<WorkKey, Refused> {
        let server = self.admit(work, now)?;
        let flow = Flow { source: work.source, query: work.query };
        let key = self.items.insert(Item {
            server,
            flow,
            shard: work.shard,
            idempotent: work.idempotent,
            fresh_conn: work.fresh_conn,
            deadline: work.deadline,
            stage: Stage::Queued,
            requeued: false,
        });
        match self.servers[server].queue.push(flow, key) {
            PushResult::Added => {}
            PushResult::Evicted(other) => {
                let refused = self.servers[server].overload_refusal();
                self.refuse(other, refused);
            }
            PushResult::Full => {
                self.items.remove(key);
                return Err(self.servers[server].overload_refusal());
            }
        }
        if work.fresh_conn {
            self.retire_replaced_conns(server, key);
        }
        self.dispatch(server, now);
        Ok(key)
    }

    /// Cancels an item: a queued item is removed from its queue, and the connection
    /// of a running item is closed. Causes no action that reports the item.
    pub fn cancel(&mut self, work: WorkKey, now: Instant) {
        let Some(item) = self.items.remove(work) else {
            return;
        };
        match item.stage {
            Stage::Queued => self.servers[item.server].queue.remove(item.flow, work),
            Stage::Running(conn) => {
                self.servers[item.server].abandon(work, now);
                self.close_conn(conn, now);
                self.probe_soon(item.server, now);
            }
        }
        self.dispatch(item.server, now);
        if self.servers.contains_key(item.server) {
            self.remove_if_unused(item.server);
        }
    }

    /// Refuses new items from now on; items accepted earlier still run.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Number of queued and running items.
    pub fn pending(&self) -> usize {
        self.items.len()
    }

    /// Warm-up level of a server; `None` if the scheduler does not hold it.
    pub fn warmup_level(&self, server: &str) -> Option<u32> {
        self.keys_by_name.get(server).map(|k| self.servers[*k].warmup.level())
    }

    /// Whether a server may get new work, apart from the quorum lease: this host
    /// owns it, it is in service and it is not draining.
    pub fn accepts_work(&self, server: &str) -> bool {
        self.keys_by_name.get(server).is_some_and(|k| self.servers[*k].refusal().is_none())
    }

    /// Names of the servers that this host owns.
    pub fn owned_servers(&self) -> impl Iterator<Item = &str> + '_ {
        self.servers.values().filter(|s| s.owned).map(|s| &*s.name)
    }

    /// Load of a server, for metrics and tests; `None` if the scheduler does not hold
    /// it.
    pub fn load(&self, server: &str) -> Option<ServerLoad> {
        let s = &self.servers[*self.keys_by_name.get(server)?];
        Some(ServerLoad {
            queued: s.queue.len(),
            running: s.running.len(),
            external: s.external.count(),
            connections: s.pool.keys().len(),
        })
    }

    /// Name of the server of a connection; `None` if the connection was closed.
    pub fn server_of(&self, conn: ConnKey) -> Option<&str> {
        self.conns.get(conn).map(|c| &*self.servers[c.server].name)
    }

    /// Returns the names of the groups with a warm-up level that changed since the
    /// last call.
    pub fn take_changed_groups(&mut self) -> Vec<Box<str>> {
        self.changed_groups.drain().collect()
    }

    /// Warm-up levels of the owned servers of a group, except those whose status is
    /// not known yet.
    pub fn levels(&self, group: &str) -> Vec<WarmupLevel> {
        let servers =
            self.servers.values().filter(|s| s.owned && s.status_known && &*s.group == group);
        servers.map(|s| WarmupLevel { server: s.name.clone(), level: s.warmup.level() }).collect()
    }

    /// Last known warm-up level of a server that this host does not own.
    pub fn remembered_level(&self, server: &str) -> Option<WarmupLevel> {
        let (level, _) = self.hints.get(server)?;
        Some(WarmupLevel { server: server.into(), level: *level })
    }

    /// Names of the owned groups, sorted.
    pub fn owned_groups(&self) -> Vec<Box<str>> {
        let groups = self.servers.values().filter(|s| s.owned).map(|s| s.group.clone());
        let mut groups: Vec<Box<str>> = groups.collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    /// Whether the quorum lease is valid at `now`.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease_until.is_some_and(|until| now < until)
    }

    fn admit(&self, work: &Work, now: Instant) -> Result<ServerKey, Refused> {
        let refuse = |reason| Err(Refused { reason, retry_after: None });
        if self.stopping {
            return refuse(Refusal::Stopping);
        }
        if now >= work.deadline {
            return refuse(Refusal::Expired);
        }
        let Some(&key) = self.keys_by_name.get(&work.server) else {
            // The host has only just started when it has no catalog yet.
            let known = self.catalog_names.is_empty() || self.catalog_names.contains(&work.server);
            return refuse(if known { Refusal::NotOwner } else { Refusal::UnknownServer });
        };
        let server = &self.servers[key];
        if let Some(reason) = server.refusal() {
            return refuse(reason);
        }
        if !self.has_lease(now) {
            return refuse(Refusal::NotOwner);
        }
        if server.pool.is_empty() && now < server.reconnect_at {
            let retry_after = Some(server.reconnect_at - now);
            return Err(Refused { reason: Refusal::Unreachable, retry_after });
        }
        if server.room() == 0 && now + server.expected_wait() >= work.deadline {
            return Err(server.overload_refusal());
        }
        Ok(key)
    }

    fn refuse(&mut self, work: WorkKey, refused: Refused) {
        if self.items.remove(work).is_some() {
            self.actions.push(Action::Refuse { work, refused });
        }
    }

    fn refuse_queue(&mut self, server: ServerKey, reason: Refusal) {
        let queued: Vec<WorkKey> = self.servers[server].queue.iter().collect();
        self.servers[server].queue = crate::queue::FairQueue::new(self.settings.queue_capacity);
        for work in queued {
            self.refuse(work, Refused { reason, retry_after: None });
        }
    }

    fn close_conn(&mut self, conn: ConnKey, now: Instant) {
        if let Some(c) = self.conns.get(conn) {
            let server = c.server;
            self.servers[server].pool.remove(&mut self.conns, conn, now);
            self.actions.push(Action::Close { conn });
        }
    }
}

chervil_base::value! {
    /// Load of one backend server as the scheduler tracks it.
    #[derive(Copy, Eq)]
    pub struct ServerLoad {
        /// Number of queued items.
        pub queued: usize,
        /// Number of running items.
        pub running: usize,
        /// Estimated number of requests that the server runs besides these: work of
        /// another owner, and abandoned items that may still run.
        pub external: u32,
        /// Number of connections, including those being opened.
        pub connections: usize,
    }
}
