//! Which hosts do what: the watchers of the store, the homes of items, and the
//! coordinator of the member list.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_members::DOWN_AFTER;
use chervil_members::rendezvous::highest_ranked;
use chervil_members::rendezvous::rank;
use chervil_rpc::agent::MemberHost;

use super::Peer;
use super::State;
use crate::actor::Upkeep;

/// Hosts that watch the configuration's head in the store.
const WATCHERS: usize = 3;

/// Each time that the knowledge of the store has aged by this much, twice as
/// many hosts watch: the first ones may be cut off from the store.
const WATCHERS_STEP: Duration = Duration::from_secs(2);

/// Hosts that watch at most, so that a store that comes back is not flooded.
const MAX_WATCHERS: usize = 12;

impl State {
    /// Whether this host watches the configuration's head in the store: the
    /// first live hosts do, and a host that is not listed yet.
    pub(crate) fn is_watcher(&self, now: Instant) -> bool {
        let order = rank(&self.members.hosts, "config", None);
        let live = order.into_iter().filter(|h| self.is_live(h, now));
        let age = self.fresh_age(now).unwrap_or(self.uptime(now));
        let steps = (age.as_millis() / WATCHERS_STEP.as_millis()).min(2);
        let watchers = (WATCHERS << steps).min(MAX_WATCHERS);
        let watches = live.take(watchers).any(|h| h.host == self.me.host);
        watches || (self.revision() == 0 && self.fresh.is_none())
    }

    /// First live host in rendezvous order, unless it is this one.
    pub(crate) fn home(&self, item: &str, now: Instant) -> Option<SocketAddr> {
        let home = highest_ranked(&self.members.hosts, item, None, |h| self.is_live(h, now));
        home.filter(|h| h.host != self.me.host).map(|h| h.agent)
    }

    /// Host that becomes the home of `item` when this one, its home, dies.
    pub(crate) fn heir(&self, item: &str, now: Instant) -> Option<SocketAddr> {
        if self.home(item, now).is_some() {
            return None;
        }
        let live = |h: &MemberHost| h.host != self.me.host && self.is_live(h, now);
        highest_ranked(&self.members.hosts, item, None, live).map(|h| h.agent)
    }

    /// Whether a host answers heartbeats and is not leaving.
    fn is_live(&self, host: &MemberHost, now: Instant) -> bool {
        if host.host == self.me.host {
            return !self.leaving;
        }
        self.peers
            .get(&host.host)
            .is_some_and(|p| !p.leaving && p.answered.is_some_and(|at| now < at + DOWN_AFTER))
    }

    /// Hosts that ask to join, heard recently.
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

    /// What the upkeep of the member list needs to know.
    pub(crate) fn upkeep(&mut self, remove: Duration, delisted: Duration, now: Instant) -> Upkeep {
        let coordinator =
            highest_ranked(&self.members.hosts, "members", None, |h| self.is_live(h, now));
        let coordinator = coordinator.is_some_and(|h| h.host == self.me.host);
        Upkeep {
            me: self.me.clone(),
            list: self.members.clone(),
            member: self.membership.is_member(),
            learned: self.membership.is_list_confirmed(),
            settled: self.membership.is_settled(now),
            coordinator,
            joining: self.joining(now),
            denied: self.membership.denied_for(remove, now),
            delistable: self.membership.denied_for(delisted, now),
            uptime: self.uptime(now),
        }
    }
}
