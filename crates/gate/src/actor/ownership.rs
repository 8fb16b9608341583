//! View and quorum lease from the agent, and the ownership that they determine.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::catalog::Catalog;
use chervil_base::index::ServerIndex;
use chervil_rpc::agent::QuorumLease;
use chervil_rpc::agent::View;
use chervil_slots::ownership;
use xtra::Context;
use xtra::Handler;

use super::GateActor;

/// How long the levels of a lost group are sent to its new owner. This is repeated
/// because a host that returns may not be seen as up at once.
const HANDOVER_HINT_PERIOD: Duration = Duration::from_secs(3);

/// Sets a newer view.
pub(crate) struct SetView(pub(crate) View);

/// Sets a newer quorum lease.
pub(crate) struct SetLease {
    /// Reply of the agent.
    pub(crate) lease: QuorumLease,
    /// When the lease expires, measured from when the request was sent.
    pub(crate) until: Instant,
}

/// Returns the index versions on the owned servers of a service that accept work;
/// `None` without a quorum lease.
pub(crate) struct GetIndex(pub(crate) Box<str>);

impl Handler<SetView> for GateActor {
    type Return = ();

    async fn handle(&mut self, SetView(mut view): SetView, _: &mut Context<Self>) {
        if let Some(spec) = view.catalog.take().filter(|s| s.revision >= self.catalog.revision) {
            self.catalog = Catalog::new(&spec);
        }
        self.view = Some(view);
        // The successor of a group may have changed, so all levels are sent again.
        self.full_hint_at = None;
        self.update_ownership();
        self.run_actions();
    }
}

impl Handler<SetLease> for GateActor {
    type Return = ();

    async fn handle(&mut self, SetLease { lease, until }: SetLease, _: &mut Context<Self>) {
        let now = self.now();
        let had_lease = self.scheduler.has_lease(now);
        self.scheduler.set_lease(until, now);
        if had_lease != self.scheduler.has_lease(now) {
            spdlog::info!("quorum lease gained or lost", kv: { held = !had_lease });
        }
        if !had_lease {
            self.held_groups.clear();
        }
        // An expired lease does not determine ownership.
        if lease.remaining_ms > 0 {
            let changed = self.lease.as_ref().is_none_or(|l| {
                l.epoch != lease.epoch || l.settled != lease.settled || l.down != lease.down
            });
            self.lease = Some(lease);
            if changed {
                self.update_ownership();
            }
        }
        // Extended only after the new ownership is applied; otherwise, tasks could send
        // to servers that this host has just lost.
        self.deps.fence.set_lease(until);
        self.run_actions();
    }
}

impl Handler<GetIndex> for GateActor {
    type Return = Option<Vec<ServerIndex>>;

    async fn handle(&mut self, GetIndex(service): GetIndex, _: &mut Context<Self>) -> Self::Return {
        if !self.scheduler.has_lease(self.now()) {
            return None;
        }
        let Some(key) = self.catalog.service(&service) else {
            return Some(Vec::new());
        };
        let servers = self.catalog.services[key].servers.iter();
        let names = servers.map(|s| &self.catalog.servers[*s].name);
        let accepting = names.filter(|n| self.scheduler.accepts_work(n));
        let index = accepting.filter_map(|n| {
            let versions = self.versions.get(n)?.versions().to_vec();
            Some(ServerIndex { server: n.clone(), versions })
        });
        Some(index.collect())
    }
}

impl GateActor {
    /// Computes the ownership from view, catalog and lease, and applies it.
    fn update_ownership(&mut self) {
        let (Some(view), Some(lease)) = (&self.view, &self.lease) else {
            return;
        };
        let now = self.deps.clock.now();
        // A lease is valid only for the member list of its epoch, so the current list
        // stays in use until the agent returns a lease for the next one.
        if view.members.epoch <= lease.epoch {
            self.members = view.members.clone();
        }
        let owned = ownership::owned_groups(
            &self.deps.host,
            &self.catalog,
            &self.members,
            lease,
            |group| self.held_groups.contains(group),
            |host| view.hosts.iter().any(|m| m.leaving && &*m.host.host == host),
        );
        let groups = owned.iter().map(|o| self.catalog.groups[o.group].name.clone());
        self.held_groups = groups.collect();
        // Tasks check the fence without the actor. It must lose servers before the
        // scheduler does, so that tasks that have already started send them nothing;
        // it may gain servers together with the scheduler.
        let names = owned.iter().flat_map(|o| &self.catalog.groups[o.group].servers);
        let names: HashSet<Box<str>> =
            names.map(|s| self.catalog.servers[*s].name.clone()).collect();
        self.versions.retain(|name, _| names.contains(name));
        self.health.retain(|name| names.contains(name));
        self.deps.fence.set_servers(names);
        let previous = self.scheduler.owned_groups();
        self.scheduler.configure(&self.catalog, &owned, now);
        for group in previous.into_iter().filter(|g| !self.held_groups.contains(g)) {
            self.lost_groups.insert(group, now + HANDOVER_HINT_PERIOD);
            (self.next_hint_at, self.handover_hint_at) = (now, now);
        }
        self.lost_groups.retain(|g, until| !self.held_groups.contains(g) && now < *until);
        spdlog::info!("ownership applied", kv: {
            revision = self.catalog.revision,
            epoch = self.members.epoch,
            groups = owned.len(),
        });
    }
}
