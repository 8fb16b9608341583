//! State machine of a gate's slots, queues and connections.
//!
//! The gate feeds it events and carries out the [`Action`]s that it returns.
//! Every started item ends with [`Scheduler::finished`] or [`Scheduler::cancel`].

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
    lane: Flow,
    shard: u32,
    idempotent: bool,
    fresh_conn: bool,
    deadline: Instant,
    stage: Stage,
    /// Whether it has been put back once because its connection was closed.
    requeued: bool,
}

/// State machine of one gate.
#[derive(Debug)]
pub struct Scheduler {
    settings: SchedulerSettings,
    servers: SlotMap<ServerKey, Server>,
    names: HashMap<Box<str>, ServerKey>,
    catalog: chervil_base::HashSet<Box<str>>,
    items: SlotMap<WorkKey, Item>,
    conns: Conns,
    hints: HashMap<Box<str>, (u32, Instant)>,
    changed: chervil_base::HashSet<Box<str>>,
    lease: Option<Instant>,
    stopping: bool,
    rng: SmallRng,
    actions: Vec<Action>,
}

impl Scheduler {
    /// A gate that owns nothing and holds no quorum lease.
    pub fn new(settings: SchedulerSettings) -> Scheduler {
        Scheduler {
            settings,
            servers: SlotMap::default(),
            names: HashMap::default(),
            catalog: Default::default(),
            items: SlotMap::default(),
            conns: Conns::default(),
            hints: HashMap::default(),
            changed: Default::default(),
            lease: None,
            stopping: false,
            rng: SmallRng::seed_from_u64(settings.seed),
            actions: Vec::new(),
        }
    }

    /// Takes the actions that the events since the last call led to.
    pub fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    /// Accepts or refuses an item. An accepted item starts, is refused or is
    /// abandoned by a later action.
    pub fn submit(&mut self, work: &Work, now: Instant) -> Result<WorkKey, Refused> {
        let server = self.admit(work, now)?;
        let lane = Flow { source: work.source, query: work.query };
        let key = self.items.insert(Item {
            server,
            lane,
            shard: work.shard,
            idempotent: work.idempotent,
            fresh_conn: work.fresh_conn,
            deadline: work.deadline,
            stage: Stage::Queued,
            requeued: false,
        });
        match self.servers[server].queue.push(lane, key) {
            PushResult::Added => {}
            PushResult::Evicted(other) => {
                let refused = self.servers[server].shed();
                self.refuse(other, refused);
            }
            PushResult::Full => {
                self.items.remove(key);
                return Err(self.servers[server].shed());
            }
        }
        if work.fresh_conn {
            self.set_aside(server, key);
        }
        self.dispatch(server, now);
        Ok(key)
    }

    /// Withdraws an item: a queued one leaves the queue, and the connection of
    /// a running one is closed.
    pub fn cancel(&mut self, work: WorkKey, now: Instant) {
        let Some(item) = self.items.remove(work) else {
            return;
        };
        match item.stage {
            Stage::Queued => self.servers[item.server].queue.remove(item.lane, work),
            Stage::Running(conn) => {
                self.servers[item.server].give_up(work, now);
                self.close(conn, now);
                self.probe_soon(item.server, now);
            }
        }
        self.dispatch(item.server, now);
        if self.servers.contains_key(item.server) {
            self.forget(item.server);
        }
    }

    /// Stops accepting items; accepted ones still run.
    pub fn stop(&mut self) {
        self.stopping = true;
    }

    /// Number of queued and running items.
    pub fn pending(&self) -> usize {
        self.items.len()
    }

    /// Current level of an owned server.
    pub fn warmup_level(&self, server: &str) -> Option<u32> {
        self.names.get(server).map(|k| self.servers[*k].warmup.level())
    }

    /// Whether an owned server gets new work, apart from the quorum lease.
    pub fn accepts_work(&self, server: &str) -> bool {
        self.names.get(server).is_some_and(|k| self.servers[*k].refusal().is_none())
    }

    /// Names of the servers that this host owns.
    pub fn owned_servers(&self) -> impl Iterator<Item = &str> + '_ {
        self.servers.values().filter(|s| s.owned).map(|s| &*s.name)
    }

    /// Load of an owned server, for metrics and tests.
    pub fn load(&self, server: &str) -> Option<ServerLoad> {
        let s = &self.servers[*self.names.get(server)?];
        Some(ServerLoad {
            queued: s.queue.len(),
            running: s.running.len(),
            external: s.external.count(),
            connections: s.pool.keys().len(),
        })
    }

    /// Name of the server that a connection leads to.
    pub fn server_of(&self, conn: ConnKey) -> Option<&str> {
        self.conns.get(conn).map(|c| &*self.servers[c.server].name)
    }

    /// Groups whose levels changed since the last call.
    pub fn take_changed_groups(&mut self) -> Vec<Box<str>> {
        self.changed.drain().collect()
    }

    /// Levels of a group's servers.
    pub fn levels(&self, group: &str) -> Vec<WarmupLevel> {
        let servers = self.servers.values().filter(|s| s.owned && s.known && &*s.group == group);
        servers.map(|s| WarmupLevel { server: s.name.clone(), level: s.warmup.level() }).collect()
    }

    /// Level that is remembered of a server that is not owned any more.
    pub fn remembered_level(&self, server: &str) -> Option<WarmupLevel> {
        let (level, _) = self.hints.get(server)?;
        Some(WarmupLevel { server: server.into(), level: *level })
    }

    /// Names of the groups that are owned now.
    pub fn owned_groups(&self) -> Vec<Box<str>> {
        let groups = self.servers.values().filter(|s| s.owned).map(|s| s.group.clone());
        let mut groups: Vec<Box<str>> = groups.collect();
        groups.sort_unstable();
        groups.dedup();
        groups
    }

    /// Whether the quorum lease is valid.
    pub fn has_lease(&self, now: Instant) -> bool {
        self.lease.is_some_and(|until| now < until)
    }

    fn admit(&self, work: &Work, now: Instant) -> Result<ServerKey, Refused> {
        let refuse = |reason| Err(Refused { reason, retry_after: None });
        if self.stopping {
            return refuse(Refusal::Stopping);
        }
        if now >= work.deadline {
            return refuse(Refusal::Expired);
        }
        let Some(&key) = self.names.get(&work.server) else {
            // Without a catalog, the host has only just started.
            let known = self.catalog.is_empty() || self.catalog.contains(&work.server);
            return refuse(if known { Refusal::NotOwner } else { Refusal::UnknownServer });
        };
        let server = &self.servers[key];
        if let Some(reason) = server.refusal() {
            return refuse(reason);
        }
        if !self.has_lease(now) {
            return refuse(Refusal::NotOwner);
        }
        if server.pool.is_empty() && now < server.retry_at {
            let retry_after = Some(server.retry_at - now);
            return Err(Refused { reason: Refusal::Unreachable, retry_after });
        }
        if server.room() == 0 && now + server.wait() >= work.deadline {
            return Err(server.shed());
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

    fn close(&mut self, conn: ConnKey, now: Instant) {
        if let Some(c) = self.conns.get(conn) {
            let server = c.server;
            self.servers[server].pool.remove(&mut self.conns, conn, now);
            self.actions.push(Action::Close { conn });
        }
    }
}

chervil_base::value! {
    /// Load of one backend server as the state machine sees it.
    #[derive(Copy, Eq)]
    pub struct ServerLoad {
        /// Items that wait.
        pub queued: usize,
        /// Items that run.
        pub running: usize,
        /// Work of others, and work given up that may still run.
        pub external: u32,
        /// Connections, including those being opened.
        pub connections: usize,
    }
}
