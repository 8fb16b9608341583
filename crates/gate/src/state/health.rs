//! Log lines about the state of backend servers, one for each change.

use chervil_base::HashMap;
use chervil_rpc::gate::WarmupLevel;

/// What was last logged of each server.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthLog {
    servers: HashMap<Box<str>, Seen>,
}

#[derive(Clone, Debug, Default)]
struct Seen {
    unreachable: bool,
    silent: bool,
    draining: bool,
    level: u32,
}

impl HealthLog {
    /// A connection could not be opened.
    pub(crate) fn unreachable(&mut self, server: &str, cause: &str) {
        let seen = self.seen(server);
        if !seen.unreachable {
            seen.unreachable = true;
            spdlog::warn!("backend server unreachable", kv: { server, cause });
        }
    }

    /// A connection was opened, and the server did not send its status.
    pub(crate) fn silent(&mut self, server: &str) {
        let seen = self.seen(server);
        if !seen.silent {
            seen.silent = true;
            spdlog::warn!("backend server sends no status; it is used without", kv: { server });
        }
    }

    /// The server sent its status.
    pub(crate) fn status(&mut self, server: &str, draining: bool) {
        let seen = self.seen(server);
        if seen.unreachable || seen.silent {
            (seen.unreachable, seen.silent) = (false, false);
            spdlog::info!("backend server answers again", kv: { server });
        }
        if seen.draining != draining {
            seen.draining = draining;
            spdlog::info!("backend server drain changed", kv: { server, draining });
        }
    }

    /// The concurrency that a server bears changed; a fall is a cold start.
    pub(crate) fn level(&mut self, level: &WarmupLevel) {
        let seen = self.seen(&level.server);
        let (server, before, now) = (&*level.server, seen.level, level.level);
        seen.level = now;
        if now < before {
            spdlog::info!("backend server is cold", kv: { server, before, level = now });
        } else if now > before {
            spdlog::debug!("backend server warms up", kv: { server, before, level = now });
        }
    }

    /// Forgets the servers for which `keep` is false.
    pub(crate) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
    }

    fn seen(&mut self, server: &str) -> &mut Seen {
        self.servers.entry(server.into()).or_default()
    }
}
