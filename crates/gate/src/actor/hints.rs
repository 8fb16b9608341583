//! Hints: warm-up levels that the owner of a group sends to its successor, so that a
//! takeover does not look like a cold start.

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

use super::GateActor;

/// Minimum interval between hints; during a cold start, levels change often.
const MIN_HINT_INTERVAL: Duration = Duration::from_millis(200);

/// Interval at which the levels of all owned groups are sent again. It must be shorter
/// than the time for which receivers keep them.
const FULL_HINT_INTERVAL: Duration = Duration::from_secs(120);

/// Interval at which the levels of recently lost groups are sent again.
const HANDOVER_HINT_INTERVAL: Duration = Duration::from_millis(500);

/// Timeout for sending a hint.
const SEND_TIMEOUT: Duration = Duration::from_millis(500);

/// Applies warm-up levels that the current or a former owner sent.
pub(crate) struct AddHints(pub(crate) Vec<WarmupLevel>);

/// Sends the levels of all owned groups before a shutdown. Returns the tasks that send
/// them; each ends after the receiver's reply or a timeout.
pub(crate) struct SendAllHints;

impl Handler<AddHints> for GateActor {
    type Return = ();

    async fn handle(&mut self, AddHints(levels): AddHints, _: &mut Context<Self>) {
        let now = self.now();
        self.scheduler.add_hints(&levels, now);
        self.run_actions();
    }
}

impl Handler<SendAllHints> for GateActor {
    type Return = Vec<JoinHandle<()>>;

    async fn handle(&mut self, _: SendAllHints, _: &mut Context<Self>) -> Self::Return {
        let hints = self.levels_by_successor(self.scheduler.owned_groups());
        hints.into_iter().map(|(to, levels)| tokio::spawn(self.send_levels(to, levels))).collect()
    }
}

impl GateActor {
    /// Sends the hints that are due: levels that changed, those of lost groups, and those
    /// of all owned groups, periodically and after each change of the view.
    pub(super) fn send_hints(&mut self, now: Instant) {
        if now < self.next_hint_at {
            return;
        }
        self.next_hint_at = now + MIN_HINT_INTERVAL;
        let mut groups = self.scheduler.take_changed_groups();
        for level in groups.iter().flat_map(|g| self.scheduler.levels(g)) {
            self.health.log_level(&level);
        }
        if self.full_hint_at.is_none_or(|at| now >= at) {
            self.full_hint_at = Some(now + FULL_HINT_INTERVAL);
            groups = self.scheduler.owned_groups();
        }
        if now >= self.handover_hint_at {
            self.handover_hint_at = now + HANDOVER_HINT_INTERVAL;
            self.lost_groups.retain(|_, until| now < *until);
            groups.extend(self.lost_groups.keys().cloned());
        }
        for (to, levels) in self.levels_by_successor(groups) {
            tokio::spawn(self.send_levels(to, levels));
        }
    }

    /// Levels of these groups, by the gate address of each group's successor.
    fn levels_by_successor(&self, groups: Vec<Box<str>>) -> HashMap<SocketAddr, Vec<WarmupLevel>> {
        let mut hints: HashMap<SocketAddr, Vec<WarmupLevel>> = HashMap::default();
        for name in groups {
            if let Some(host) = self.successor(&name) {
                hints.entry(host.gate).or_default().extend(self.group_levels(&name));
            }
        }
        hints.retain(|_, levels| !levels.is_empty());
        hints
    }

    /// Levels of the servers of a group that is owned or was lost recently.
    fn group_levels(&self, name: &str) -> Vec<WarmupLevel> {
        if !self.lost_groups.contains_key(name) {
            return self.scheduler.levels(name);
        }
        let group = self.catalog.groups.values().find(|g| &*g.name == name);
        let servers = group.into_iter().flat_map(|g| &g.servers);
        let names = servers.map(|s| &self.catalog.servers[*s].name);
        names.filter_map(|n| self.scheduler.remembered_level(n)).collect()
    }

    /// Next owner of a group after this host; `None` if there is none.
    fn successor(&self, group: &str) -> Option<&MemberHost> {
        let view = self.view.as_ref()?;
        let group = self.catalog.groups.values().find(|g| &*g.name == group)?;
        let is_up = |host: &str| view.hosts.iter().any(|h| &*h.host.host == host && h.up);
        ownership::successor(&self.deps.host, &self.catalog, &view.members.hosts, group, is_up)
    }

    fn send_levels(
        &self,
        to: SocketAddr,
        levels: Vec<WarmupLevel>,
    ) -> impl Future<Output = ()> + Send + 'static {
        let peers = self.deps.peers.clone();
        async move {
            // Not retried: without the hint, the next owner only warms up more slowly.
            let call = async { peers.get(to).await.ok()?.hint(levels).await.ok() };
            let _ = time::timeout(SEND_TIMEOUT, call).await;
        }
    }
}
