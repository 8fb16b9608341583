//! Changes to the catalog, to ownership and to the quorum lease, and warm-up hints.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::catalog::BackendServer;
use chervil_base::catalog::Catalog;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::WarmupLevel;

use super::Scheduler;
use crate::ownership::OwnedGroup;
use crate::server::Drain;
use crate::server::Server;
use crate::types::ServerKey;

/// Age after which a warm-up level from a former owner is discarded.
const HINT_TTL: Duration = Duration::from_secs(600);

/// Maximum number of servers whose levels are kept without owning them.
const MAX_HINTS: usize = 65_536;

impl Scheduler {
    /// Applies a catalog and the groups that this host owns in it. Queued items of
    /// servers that may no longer get work are refused; running items go on.
    pub fn configure(&mut self, catalog: &Catalog, owned: &[OwnedGroup], now: Instant) {
        self.catalog_names = catalog.servers.values().map(|s| s.name.clone()).collect();
        let mut kept: HashSet<ServerKey> = HashSet::default();
        for o in owned {
            let group = &catalog.groups[o.group];
            for key in &group.servers {
                let spec = &catalog.servers[*key];
                let server = self.add_or_update(spec, &group.name, o, now);
                kept.insert(server);
                let in_service = catalog.is_in_service(*key);
                if in_service && !self.servers[server].in_service {
                    self.servers[server].drain = Drain::default();
                    // All servers of a zone that returns to service may be cold.
                    self.servers[server].warmup.reset();
                }
                self.servers[server].in_service = in_service;
            }
        }
        let all: Vec<ServerKey> = self.servers.keys().collect();
        for key in all {
            if !kept.contains(&key) {
                self.lose_ownership(key, now);
            } else if let Some(reason) = self.servers[key].refusal() {
                self.refuse_queue(key, reason);
            } else {
                self.dispatch(key, now);
            }
        }
    }

    /// Sets the end of the quorum lease. After a lapse, the status of each server is
    /// read before new items start.
    pub fn set_lease(&mut self, until: Instant, now: Instant) {
        let lapsed = !self.has_lease(now);
        self.lease_until = Some(until);
        if lapsed && self.has_lease(now) {
            // Another host may have owned the servers in the meantime.
            let keys: Vec<ServerKey> = self.servers.keys().collect();
            for key in keys {
                let server = &mut self.servers[key];
                server.status_known = false;
                server.next_probe = now;
                server.external.assume_full(server.slots, now);
                self.dispatch(key, now);
            }
        }
    }

    /// Applies warm-up levels from a former owner, or keeps them for a later gain of
    /// ownership. Ignored for owned servers whose level an item has already tested.
    pub fn add_hints(&mut self, levels: &[WarmupLevel], now: Instant) {
        self.hints.retain(|_, (_, at)| *at + HINT_TTL > now);
        for l in levels {
            let server = self.keys_by_name.get(&l.server).map(|k| &mut self.servers[*k]);
            if let Some(server) = server.filter(|s| s.owned) {
                if server.level_untested {
                    server.warmup.set_level(l.level.min(server.slots));
                    server.hinted_at = Some(now);
                }
            } else if self.hints.len() < MAX_HINTS {
                self.hints.insert(l.server.clone(), (l.level, now));
            }
        }
    }

    fn add_or_update(
        &mut self,
        spec: &BackendServer,
        group: &str,
        owned: &OwnedGroup,
        now: Instant,
    ) -> ServerKey {
        if let Some(&key) = self.keys_by_name.get(&spec.name) {
            if self.servers[key].address == spec.address {
                self.update_spec(key, spec, group, owned, now);
                return key;
            }
            // A server at a new address is treated as a new server.
            self.lose_ownership(key, now);
            self.keys_by_name.remove(&spec.name);
        }
        let (level, hinted) = self.initial_level(spec, owned, now);
        let mut server = Server::new(spec, group, level, self.settings.queue_capacity, now);
        server.hinted_at = hinted;
        if owned.unreleased {
            server.external.assume_full(spec.slots, now);
        }
        let key = self.servers.insert(server);
        self.keys_by_name.insert(spec.name.clone(), key);
        self.changed_groups.insert(group.into());
        key
    }

    fn update_spec(
        &mut self,
        key: ServerKey,
        spec: &BackendServer,
        group: &str,
        owned: &OwnedGroup,
        now: Instant,
    ) {
        if !self.servers[key].owned {
            let (level, hinted) = self.initial_level(spec, owned, now);
            let server = &mut self.servers[key];
            server.hinted_at = hinted;
            if owned.unreleased {
                server.external.assume_full(spec.slots, now);
            }
            server.owned = true;
            server.status_known = false;
            server.level_untested = true;
            server.warmup.set_level(level.min(spec.slots));
        }
        let server = &mut self.servers[key];
        server.group = group.into();
        server.slots = spec.slots;
        server.max_connections = spec.connections;
        server.connect_time = spec.connect_time;
    }

    /// Initial warm-up level of a newly owned server, and when the hint for it
    /// arrived: the hinted level, else half of the slots after a takeover, else 1.
    fn initial_level(
        &mut self,
        spec: &BackendServer,
        owned: &OwnedGroup,
        now: Instant,
    ) -> (u32, Option<Instant>) {
        let hint = self.hints.remove(&spec.name).filter(|(_, at)| *at + HINT_TTL > now);
        match hint {
            Some((level, at)) => (level, Some(at)),
            None if owned.takeover => (spec.slots / 2, None),
            None => (1, None),
        }
    }

    /// Handles the loss of ownership of a server: queued items are refused, idle
    /// connections are closed, and running items finish.
    pub(super) fn lose_ownership(&mut self, key: ServerKey, now: Instant) {
        let known = self.catalog_names.contains(&self.servers[key].name);
        let reason = if known { Refusal::NotOwner } else { Refusal::UnknownServer };
        let server = &mut self.servers[key];
        if server.owned && server.status_known {
            // This host may own the server again before a newer hint arrives.
            let level = server.warmup.level();
            self.hints.insert(server.name.clone(), (level, now));
        }
        server.owned = false;
        self.refuse_queue(key, reason);
        let idle: Vec<_> = self.servers[key].pool.idle(&self.conns).collect();
        for conn in idle {
            self.close_conn(conn, now);
        }
        self.remove_if_unused(key);
    }

    /// Removes a server that is not owned once it has no connections.
    pub(super) fn remove_if_unused(&mut self, key: ServerKey) {
        let server = &self.servers[key];
        if server.owned || !server.pool.is_empty() {
            return;
        }
        if self.keys_by_name.get(&server.name) == Some(&key) {
            let name = server.name.clone();
            self.keys_by_name.remove(&name);
        }
        self.servers.remove(key);
    }
}
