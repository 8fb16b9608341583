//! Logs changes in the state of backend servers, one line for each change.

use chervil_base::HashMap;
use chervil_rpc::gate::WarmupLevel;

/// State that was last logged for each server.
#[derive(Clone, Debug, Default)]
pub(crate) struct HealthLog {
    servers: HashMap<Box<str>, LoggedState>,
}

#[derive(Clone, Debug, Default)]
struct LoggedState {
    unreachable: bool,
    /// Whether the server accepts connections but sends no status.
    no_status: bool,
    draining: bool,
    /// Warm-up level; 0 before the first one.
    level: u32,
}

impl HealthLog {
    /// Logs that a connection could not be opened.
    pub(crate) fn log_unreachable(&mut self, server: &str, cause: &str) {
        let logged = self.logged(server);
        if !logged.unreachable {
            logged.unreachable = true;
            spdlog::warn!("backend server unreachable", kv: { server, cause });
        }
    }

    /// Logs that the server accepted a connection but sent no status.
    pub(crate) fn log_no_status(&mut self, server: &str) {
        let logged = self.logged(server);
        if !logged.no_status {
            logged.no_status = true;
            spdlog::warn!(
                "backend server does not reply to status requests; sending work without its load",
                kv: { server }
            );
        }
    }

    /// Logs that the server sent its status, if it was unreachable or silent before,
    /// and changes of its drain state.
    pub(crate) fn log_status(&mut self, server: &str, draining: bool) {
        let logged = self.logged(server);
        if logged.unreachable || logged.no_status {
            (logged.unreachable, logged.no_status) = (false, false);
            spdlog::info!("backend server replies to status requests again", kv: { server });
        }
        if logged.draining != draining {
            logged.draining = draining;
            spdlog::info!("backend server started or ended draining", kv: { server, draining });
        }
    }

    /// Logs a changed warm-up level; a decrease means a cold start.
    pub(crate) fn log_level(&mut self, level: &WarmupLevel) {
        let logged = self.logged(&level.server);
        let (server, before, now) = (&*level.server, logged.level, level.level);
        logged.level = now;
        if now < before {
            spdlog::info!(
                "backend server cold; concurrency reduced",
                kv: { server, before, level = now }
            );
        } else if now > before {
            spdlog::debug!(
                "backend server warming up; concurrency raised",
                kv: { server, before, level = now }
            );
        }
    }

    /// Removes the servers for which `keep` returns false.
    pub(crate) fn retain<F>(&mut self, keep: F)
    where
        F: Fn(&str) -> bool,
    {
        self.servers.retain(|name, _| keep(name));
    }

    fn logged(&mut self, server: &str) -> &mut LoggedState {
        self.servers.entry(server.into()).or_default()
    }
}
