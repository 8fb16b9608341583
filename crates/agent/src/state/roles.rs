//! Roles of hosts: watchers of the store, owners of items, and the coordinator
//! of the member list.
//!
//! An item is a bucket of claims, the digest of a canary request or a periodic
//! task. Its owner is the first live host in the item's rendezvous order.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_members::DOWN_AFTER;
use chervil_members::rendezvous::highest_ranked;
use chervil_members::rendezvous::rank;
use chervil_rpc::agent::MemberHost;

use super::Peer;
use super::State;
use crate::actor::MembershipSnapshot;

/// Number of hosts that watch the configuration's head in the store.
const WATCHERS: usize = 3;

/// Each time the staleness grows by this much, the number of watchers doubles,
/// because the current ones may be cut off from the store.
const WATCHERS_DOUBLING_INTERVAL: Duration = Duration::from_secs(2);

/// Most watchers, so that a store that becomes reachable again is not
/// overloaded.
const MAX_WATCHERS: usize = 12;

impl State {
    /// Whether this host watches the configuration's head in the store.
    ///
    /// The first live hosts in the rendezvous order of "config" do, and a host
    /// without a configuration that knows of no read of the head.
    pub(crate) fn is_watcher(&self, now: Instant) -> bool {
        let order = rank(&self.members.hosts, "config", None);
        let live = order.into_iter().filter(|h| self.is_live(h, now));
        let age = self.staleness(now).unwrap_or(self.uptime(now));
        let steps = (age.as_millis() / WATCHERS_DOUBLING_INTERVAL.as_millis()).min(2);
        let watchers = (WATCHERS << steps).min(MAX_WATCHERS);
        let watches = live.take(watchers).any(|h| h.host == self.me.host);
        watches || (self.revision() == 0 && self.last_head_read.is_none())
    }

    /// Agent of the owner of `item`; `None` when this host is the owner or no
    /// host is live.
    pub(crate) fn remote_owner(&self, item: &str, now: Instant) -> Option<SocketAddr> {
        let owner = highest_ranked(&self.members.hosts, item, None, |h| self.is_live(h, now));
        owner.filter(|h| h.host != self.me.host).map(|h| h.agent)
    }

    /// Agent of the host that would own `item` after this host's death; `None`
    /// when this host is not the owner or no other host is live.
    pub(crate) fn successor(&self, item: &str, now: Instant) -> Option<SocketAddr> {
        if self.remote_owner(item, now).is_some() {
            return None;
        }
        let live = |h: &MemberHost| h.host != self.me.host && self.is_live(h, now);
        highest_ranked(&self.members.hosts, item, None, live).map(|h| h.agent)
    }

    /// Whether a host replies to heartbeats and is not shutting down.
    fn is_live(&self, host: &MemberHost, now: Instant) -> bool {
        if host.host == self.me.host {
            return !self.leaving;
        }
        self.peers
            .get(&host.host)
            .is_some_and(|p| !p.leaving && p.last_reply.is_some_and(|at| now < at + DOWN_AFTER))
    }

    /// Hosts to be added to the member list: those that recently asked for it,
    /// and this host unless it is shutting down.
    fn joining(&self, now: Instant) -> Vec<MemberHost> {
        let recent = |p: &Peer| {
            let (host, at) = p.join.as_ref()?;
            (now < *at + DOWN_AFTER).then(|| host.clone())
        };
        let mut joining: Vec<MemberHost> = self.peers.values().filter_map(recent).collect();
        if !self.leaving {
            joining.push(self.me.clone());
        }
        joining.retain(|h| !self.members.hosts.contains(h));
        joining
    }

    /// Snapshot for the reconciliation of the member list. `remove` and
    /// `delisted` are the times for which hosts must be down to become
    /// removable, the latter if the platform no longer lists them.
    pub(crate) fn membership_snapshot(
        &mut self,
        remove: Duration,
        delisted: Duration,
        now: Instant,
    ) -> MembershipSnapshot {
        let coordinator =
            highest_ranked(&self.members.hosts, "members", None, |h| self.is_live(h, now));
        let coordinator = coordinator.is_some_and(|h| h.host == self.me.host);
        MembershipSnapshot {
            me: self.me.clone(),
            list: self.members.clone(),
            is_member: self.membership.is_member(),
            confirmed: self.membership.is_list_confirmed(),
            settled: self.membership.is_settled(now),
            is_coordinator: coordinator,
            joining: self.joining(now),
            removable: self.membership.denied_for(remove, now),
            removable_if_delisted: self.membership.denied_for(delisted, now),
            uptime: self.uptime(now),
        }
    }
}
