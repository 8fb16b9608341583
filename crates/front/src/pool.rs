//! Connections to backend servers that wait for the next request.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_route::fleet::BackendKey;

use crate::exchange::Connection;

/// Time before the end of a backend server's idle timeout at which a connection
/// is no longer used.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);

/// Idle time after which a connection is closed where the backend server states
/// no timeout.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// Time for which connections that were reset when new make the host wait
/// before it sends on new ones; backend servers forget connections of hosts that
/// lost power in about this time.
const RESET_MEMORY: Duration = Duration::from_secs(10);

/// Idle connections and the count of open ones, by backend server.
#[derive(Debug, Default)]
pub struct Pools {
    pools: HashMap<BackendKey, Pool>,
    resets_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct Pool {
    idle: Vec<Connection>,
    permit: Arc<()>,
}

impl Pools {
    /// Takes the connection that was used last, if it is idle for less than
    /// `limit`.
    pub fn take(&mut self, key: BackendKey, limit: Duration, now: Instant) -> Option<Connection> {
        let pool = self.pools.get_mut(&key)?;
        while let Some(mut connection) = pool.idle.pop() {
            if idle_left(&connection, now).is_some() && connection.is_clean() {
                if now.duration_since(connection.idle_since) < limit {
                    return Some(connection);
                }
                pool.idle.push(connection);
                return None;
            }
        }
        None
    }

    /// Whether a connection waits for a request.
    pub fn has_idle(&self, key: BackendKey) -> bool {
        self.pools.get(&key).is_some_and(|p| !p.idle.is_empty())
    }

    /// Takes in that a new connection was reset.
    pub fn record_reset(&mut self, now: Instant) {
        self.resets_until = Some(now + RESET_MEMORY);
    }

    /// Whether new connections were reset lately, so that others may be, too.
    pub fn has_recent_resets(&self, now: Instant) -> bool {
        self.resets_until.is_some_and(|c| c > now)
    }

    /// A permit for a new connection, if fewer than `limit` are open. An idle
    /// connection makes room.
    pub fn try_permit(&mut self, key: BackendKey, limit: usize) -> Option<Arc<()>> {
        let pool = self.pools.entry(key).or_default();
        if Arc::strong_count(&pool.permit) > limit && !pool.idle.is_empty() {
            pool.idle.remove(0);
        }
        (Arc::strong_count(&pool.permit) <= limit).then(|| pool.permit.clone())
    }

    /// Keeps a connection for the next request.
    pub fn put(&mut self, key: BackendKey, connection: Connection) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.idle.push(connection);
        }
    }

    /// Closes the idle connections of a backend server that has too many.
    pub fn close_idle(&mut self, key: BackendKey) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.idle.clear();
        }
    }

    /// Closes the idle connections of a backend server that is gone.
    pub fn remove(&mut self, key: BackendKey) {
        self.pools.remove(&key);
    }

    /// Closes connections that have been idle for too long.
    pub fn prune(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.idle.retain_mut(|c| idle_left(c, now).is_some() && c.is_clean());
        }
    }

    /// Number of idle connections.
    pub fn idle_count(&self) -> usize {
        self.pools.values().map(|p| p.idle.len()).sum()
    }
}

fn idle_left(connection: &Connection, now: Instant) -> Option<Duration> {
    let keep = connection
        .idle_timeout
        .map_or(DEFAULT_IDLE_TIMEOUT, |k| k.saturating_sub(IDLE_TIMEOUT_MARGIN));
    keep.checked_sub(now.duration_since(connection.idle_since)).filter(|left| !left.is_zero())
}
