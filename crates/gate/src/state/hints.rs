//! Warm-up levels, passed to the host that would own a group next.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::gate::GateRpcClient as _;
use chervil_rpc::gate::WarmupLevel;
use chervil_slots::ownership;
use tokio::task::JoinHandle;
use tokio::time;
use xtra::Context;
use xtra::Handler;

use super::GateState;

/// Shortest interval between messages; levels change often in a cold start.
const INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which all levels are sent again; receivers forget them later.
const RESEND: Duration = Duration::from_secs(120);

/// Interval at which the levels of a lost group are sent again.
const HANDOVER_RESEND: Duration = Duration::from_millis(500);

/// Time allowed for a message with levels.
const SEND_LIMIT: Duration = Duration::from_millis(500);

/// Levels from a former owner.
pub(crate) struct Hint(pub(crate) Vec<WarmupLevel>);

/// Sends all levels, before a stop; the tasks end when they have arrived.
pub(crate) struct HintAll;

impl Handler<Hint> for GateState {
    type Return = ();

    async fn handle(&mut self, Hint(levels): Hint, _: &mut Context<Self>) {
        let now = self.now();
        self.slots.add_hints(&levels, now);
        self.act();
    }
}

impl Handler<HintAll> for GateState {
    type Return = Vec<JoinHandle<()>>;

    async fn handle(&mut self, _: HintAll, _: &mut Context<Self>) -> Self::Return {
        let messages = self.levels_by_host(self.slots.owned_groups());
        messages.into_iter().map(|(to, levels)| tokio::spawn(self.message(to, levels))).collect()
    }
}

impl GateState {
    /// Sends the levels of groups whose levels or successor changed.
    pub(super) fn send_hints(&mut self, now: Instant) {
        if now < self.hint_at {
            return;
        }
        self.hint_at = now + INTERVAL;
        let mut groups = self.slots.take_changed_groups();
        for level in groups.iter().flat_map(|g| self.slots.levels(g)) {
            self.health.level(&level);
        }
        if self.resend_at.is_none_or(|at| now >= at) {
            self.resend_at = Some(now + RESEND);
            groups = self.slots.owned_groups();
        }
        if now >= self.handover_at {
            self.handover_at = now + HANDOVER_RESEND;
            self.handover.retain(|_, until| now < *until);
            groups.extend(self.handover.keys().cloned());
        }
        for (to, levels) in self.levels_by_host(groups) {
            tokio::spawn(self.message(to, levels));
        }
    }

    fn levels_by_host(&self, groups: Vec<Box<str>>) -> HashMap<SocketAddr, Vec<WarmupLevel>> {
        let mut messages: HashMap<SocketAddr, Vec<WarmupLevel>> = HashMap::default();
        for name in groups {
            if let Some(host) = self.successor(&name) {
                messages.entry(host.gate).or_default().extend(self.levels(&name));
            }
        }
        messages.retain(|_, levels| !levels.is_empty());
        messages
    }

    /// Levels of an owned group, or of one that was lost a short time ago.
    fn levels(&self, name: &str) -> Vec<WarmupLevel> {
        if !self.handover.contains_key(name) {
            return self.slots.levels(name);
        }
        let group = self.catalog.groups.values().find(|g| &*g.name == name);
        let servers = group.into_iter().flat_map(|g| &g.servers);
        let names = servers.map(|s| &self.catalog.servers[*s].name);
        names.filter_map(|n| self.slots.remembered_level(n)).collect()
    }

    fn successor(&self, group: &str) -> Option<&MemberHost> {
        let view = self.view.as_ref()?;
        let group = self.catalog.groups.values().find(|g| &*g.name == group)?;
        let up = |host: &str| view.hosts.iter().any(|h| &*h.host.host == host && h.up);
        ownership::successor(&self.parts.host, &self.catalog, &view.members.hosts, group, up)
    }

    fn message(
        &self,
        to: SocketAddr,
        levels: Vec<WarmupLevel>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let peers = self.parts.peers.clone();
        async move {
            // A lost hint costs a slower start of the next owner only.
            let call = async { peers.get(to).await.ok()?.hint(levels).await.ok() };
            let _ = time::timeout(SEND_LIMIT, call).await;
        }
    }
}
