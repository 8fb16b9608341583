//! The agent's view, the quorum lease and the ownership that follows.

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

use super::GateState;

/// A newer view.
pub(crate) struct SetView(pub(crate) View);

/// A newer quorum lease.
pub(crate) struct SetLease {
    /// The agent's answer.
    pub(crate) lease: QuorumLease,
    /// When the lease ends, counted from the request.
    pub(crate) until: Instant,
}

/// Asks for the index versions of a service's owned servers; without a quorum
/// lease there is no answer.
pub(crate) struct Index(pub(crate) Box<str>);

impl Handler<SetView> for GateState {
    type Return = ();

    async fn handle(&mut self, SetView(mut view): SetView, _: &mut Context<Self>) {
        if let Some(spec) = view.catalog.take().filter(|s| s.revision >= self.catalog.revision) {
            self.catalog = Catalog::new(&spec);
        }
        self.view = Some(view);
        // Another host may come next in a group's order now.
        self.resend_at = None;
        self.reassign();
        self.act();
    }
}

impl Handler<SetLease> for GateState {
    type Return = ();

    async fn handle(&mut self, SetLease { lease, until }: SetLease, _: &mut Context<Self>) {
        let now = self.now();
        let held = self.slots.has_lease(now);
        self.slots.set_lease(until, now);
        if held != self.slots.has_lease(now) {
            spdlog::info!("quorum lease changed", kv: { held = !held });
        }
        if !held {
            self.held.clear();
        }
        // A lapsed lease says nothing about ownership.
        if lease.remaining_ms > 0 {
            let changed = self.lease.as_ref().is_none_or(|l| {
                l.epoch != lease.epoch || l.settled != lease.settled || l.down != lease.down
            });
            self.lease = Some(lease);
            if changed {
                self.reassign();
            }
        }
        // Not before the ownership that came with it is applied.
        self.parts.rights.set_lease(until);
        self.act();
    }
}

impl Handler<Index> for GateState {
    type Return = Option<Vec<ServerIndex>>;

    async fn handle(&mut self, Index(service): Index, _: &mut Context<Self>) -> Self::Return {
        if !self.slots.has_lease(self.now()) {
            return None;
        }
        let Some(key) = self.catalog.service(&service) else {
            return Some(Vec::new());
        };
        let servers = self.catalog.services[key].servers.iter();
        let names = servers.map(|s| &self.catalog.servers[*s].name);
        let usable = names.filter(|n| self.slots.accepts_work(n));
        let index = usable.filter_map(|n| {
            let versions = self.index.get(n)?.versions().to_vec();
            Some(ServerIndex { server: n.clone(), versions })
        });
        Some(index.collect())
    }
}

impl GateState {
    /// Applies the catalog and the ownership that view and lease give.
    fn reassign(&mut self) {
        let (Some(view), Some(lease)) = (&self.view, &self.lease) else {
            return;
        };
        let now = self.parts.clock.now();
        // A lease counts for its own list only: the list in use stays until
        // the agent grants a lease on the next one.
        if view.members.epoch <= lease.epoch {
            self.list = view.members.clone();
        }
        let owned = ownership::owned_groups(
            &self.parts.host,
            &self.catalog,
            &self.list,
            lease,
            |group| self.held.contains(group),
            |host| view.hosts.iter().any(|m| m.leaving && &*m.host.host == host),
        );
        let groups = owned.iter().map(|o| self.catalog.groups[o.group].name.clone());
        self.held = groups.collect();
        // The rights shrink before the state machine and grow with it, as
        // tasks check them without the actor.
        let names = owned.iter().flat_map(|o| &self.catalog.groups[o.group].servers);
        let names: HashSet<Box<str>> =
            names.map(|s| self.catalog.servers[*s].name.clone()).collect();
        self.index.retain(|name, _| names.contains(name));
        self.health.retain(|name| names.contains(name));
        self.parts.rights.set_servers(names);
        let before = self.slots.owned_groups();
        self.slots.configure(&self.catalog, &owned, now);
        for group in before.into_iter().filter(|g| !self.held.contains(g)) {
            self.handover.insert(group, now + HANDOVER);
            (self.hint_at, self.handover_at) = (now, now);
        }
        self.handover.retain(|g, until| !self.held.contains(g) && now < *until);
        spdlog::info!("ownership applied", kv: {
            revision = self.catalog.revision,
            epoch = self.list.epoch,
            groups = owned.len(),
        });
    }
}

/// Time after the loss of a group in which its levels are sent to the next
/// owner. A returning host may not be seen as up at once.
const HANDOVER: Duration = Duration::from_secs(3);

/// Interval of the actor's timer.
pub(crate) const TICK: Duration = Duration::from_millis(10);
