//! Changes of the catalog, of ownership and of the quorum lease.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_base::catalog::BackendServer;
use chervil_base::catalog::Catalog;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::WarmupLevel;

use super::Slots;
use crate::ownership::OwnedGroup;
use crate::server::Drain;
use crate::server::Server;
use crate::types::ServerKey;

/// Age after which a former owner's levels no longer hold.
const HINT_LIFE: Duration = Duration::from_secs(600);

/// Servers whose levels are kept for other owners.
const MAX_HINTS: usize = 65_536;

impl Slots {
    /// Adopts a catalog and the groups that this host owns in it.
    pub fn configure(&mut self, catalog: &Catalog, owned: &[OwnedGroup], now: Instant) {
        self.catalog = catalog.servers.values().map(|s| s.name.clone()).collect();
        let mut kept: HashSet<ServerKey> = HashSet::default();
        for o in owned {
            let group = &catalog.groups[o.group];
            for key in &group.servers {
                let spec = &catalog.servers[*key];
                let server = self.adopt(spec, &group.name, o, now);
                kept.insert(server);
                let usable = catalog.is_in_service(*key);
                if usable && !self.servers[server].usable {
                    self.servers[server].drain = Drain::default();
                    // A zone that returns may be cold everywhere at once.
                    self.servers[server].warmup.reset();
                }
                self.servers[server].usable = usable;
            }
        }
        let all: Vec<ServerKey> = self.servers.keys().collect();
        for key in all {
            if !kept.contains(&key) {
                self.disown(key, now);
            } else if let Some(reason) = self.servers[key].refusal() {
                self.refuse_queue(key, reason);
            } else {
                self.dispatch(key, now);
            }
        }
    }

    /// Adopts the end of the quorum lease.
    pub fn set_lease(&mut self, until: Instant, now: Instant) {
        let lapsed = !self.has_lease(now);
        self.lease = Some(until);
        if lapsed && self.has_lease(now) {
            // Another host may have owned the servers in the meantime.
            let keys: Vec<ServerKey> = self.servers.keys().collect();
            for key in keys {
                let server = &mut self.servers[key];
                server.known = false;
                server.probe_at = now;
                server.foreign.takeover(server.slots, now);
                self.dispatch(key, now);
            }
        }
    }

    /// Adopts levels that a former owner learned.
    pub fn hint(&mut self, levels: &[WarmupLevel], now: Instant) {
        self.hints.retain(|_, (_, at)| *at + HINT_LIFE > now);
        for l in levels {
            let server = self.names.get(&l.server).map(|k| &mut self.servers[*k]);
            if let Some(server) = server.filter(|s| s.owned) {
                if server.unused {
                    server.warmup.adopt(l.level.min(server.slots));
                    server.hinted = Some(now);
                }
            } else if self.hints.len() < MAX_HINTS {
                self.hints.insert(l.server.clone(), (l.level, now));
            }
        }
    }

    fn adopt(
        &mut self,
        spec: &BackendServer,
        group: &str,
        owned: &OwnedGroup,
        now: Instant,
    ) -> ServerKey {
        if let Some(&key) = self.names.get(&spec.name) {
            if self.servers[key].address == spec.address {
                self.update(key, spec, group, owned, now);
                return key;
            }
            // A server at another address is another server.
            self.disown(key, now);
            self.names.remove(&spec.name);
        }
        let (level, hinted) = self.start_level(spec, owned, now);
        let mut server = Server::new(spec, group, level, self.settings.queue, now);
        server.hinted = hinted;
        if owned.shared {
            server.foreign.takeover(spec.slots, now);
        }
        let key = self.servers.insert(server);
        self.names.insert(spec.name.clone(), key);
        self.changed.insert(group.into());
        key
    }

    fn update(
        &mut self,
        key: ServerKey,
        spec: &BackendServer,
        group: &str,
        owned: &OwnedGroup,
        now: Instant,
    ) {
        if !self.servers[key].owned {
            let (level, hinted) = self.start_level(spec, owned, now);
            let server = &mut self.servers[key];
            server.hinted = hinted;
            if owned.shared {
                server.foreign.takeover(spec.slots, now);
            }
            server.owned = true;
            server.known = false;
            server.unused = true;
            server.warmup.adopt(level.min(spec.slots));
        }
        let server = &mut self.servers[key];
        server.group = group.into();
        server.slots = spec.slots;
        server.connections = spec.connections;
        server.connect_cost = spec.connect_time;
    }

    /// Level of a newly owned server, and when the hint for it came.
    fn start_level(
        &mut self,
        spec: &BackendServer,
        owned: &OwnedGroup,
        now: Instant,
    ) -> (u32, Option<Instant>) {
        let hint = self.hints.remove(&spec.name).filter(|(_, at)| *at + HINT_LIFE > now);
        match hint {
            Some((level, at)) => (level, Some(at)),
            None if owned.takeover => (spec.slots / 2, None),
            None => (1, None),
        }
    }

    /// Gives up a server: queued items are refused, running ones end.
    pub(super) fn disown(&mut self, key: ServerKey, now: Instant) {
        let known = self.catalog.contains(&self.servers[key].name);
        let reason = if known { Refusal::NotOwner } else { Refusal::UnknownServer };
        let server = &mut self.servers[key];
        if server.owned && server.known {
            // The ownership may come back before a newer hint does.
            let level = server.warmup.level();
            self.hints.insert(server.name.clone(), (level, now));
        }
        server.owned = false;
        self.refuse_queue(key, reason);
        let idle: Vec<_> = self.servers[key].pool.idle(&self.conns).collect();
        for conn in idle {
            self.close(conn, now);
        }
        self.forget(key);
    }

    /// Removes a server that is not owned once nothing uses it.
    pub(super) fn forget(&mut self, key: ServerKey) {
        let server = &self.servers[key];
        if server.owned || !server.pool.is_empty() {
            return;
        }
        if self.names.get(&server.name) == Some(&key) {
            let name = server.name.clone();
            self.names.remove(&name);
        }
        self.servers.remove(key);
    }
}
