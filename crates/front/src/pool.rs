//! Pools of idle connections to backend servers, and limits on open ones.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::HashMap;
use chervil_route::fleet::BackendKey;
use chervil_route::watch::LinkState;

use crate::exchange::Connection;

/// A connection is no longer reused this long before the backend server's idle
/// timeout, so that a request does not race with the close.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_millis(800);

/// Idle timeout of connections to backend servers that state none.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(20);

/// For this long after a new connection was reset, the host checks new
/// connections for a reset before it sends on them. Backend servers take about
/// this long to drop the connections of hosts that lost power, which until then
/// count towards their connection limit.
const RESET_MEMORY: Duration = Duration::from_secs(10);

/// Idle connections and the number of open connections, by backend server.
#[derive(Debug, Default)]
pub struct Pools {
    pools: HashMap<BackendKey, Pool>,
    /// Time until which new connections are checked for a reset.
    resets_until: Option<Instant>,
}

#[derive(Debug, Default)]
struct Pool {
    /// Most recently used last.
    idle: Vec<Connection>,
    /// Cloned into each open connection; the pool holds one reference itself.
    permit: Arc<()>,
}

impl Pools {
    /// Removes and returns the most recently used connection, if it has been idle
    /// for less than `max_idle`. Connections that have expired or are no longer clean
    /// are closed on the way.
    pub fn take(
        &mut self,
        key: BackendKey,
        max_idle: Duration,
        now: Instant,
    ) -> Option<Connection> {
        let pool = self.pools.get_mut(&key)?;
        while let Some(mut connection) = pool.idle.pop() {
            if idle_left(&connection, now).is_some() && connection.is_clean() {
                if now.duration_since(connection.idle_since) < max_idle {
                    return Some(connection);
                }
                pool.idle.push(connection);
                return None;
            }
        }
        None
    }

    /// What the connections to a backend server show of it. Idle ones that are closed are removed.
    pub fn link_state(&mut self, key: BackendKey) -> LinkState {
        let Some(pool) = self.pools.get_mut(&key) else { return LinkState::Closed };
        while let Some(connection) = pool.idle.last_mut() {
            if connection.is_clean() {
                return LinkState::Open;
            }
            pool.idle.pop();
        }
        // The pool itself holds one reference.
        if Arc::strong_count(&pool.permit) > 1 { LinkState::Busy } else { LinkState::Closed }
    }

    /// Whether the backend server has an idle connection.
    pub fn has_idle(&self, key: BackendKey) -> bool {
        self.pools.get(&key).is_some_and(|p| !p.idle.is_empty())
    }

    /// Records that a backend server reset a new connection.
    pub fn record_reset(&mut self, now: Instant) {
        self.resets_until = Some(now + RESET_MEMORY);
    }

    /// Whether a backend server reset a new connection recently, so that other new
    /// connections may be reset as well.
    pub fn has_recent_resets(&self, now: Instant) -> bool {
        self.resets_until.is_some_and(|until| until > now)
    }

    /// Returns a permit for a new connection if fewer than `limit` are open. At the
    /// limit, the idle connection that was used least recently is closed to make
    /// room.
    pub fn try_permit(&mut self, key: BackendKey, limit: usize) -> Option<Arc<()>> {
        let pool = self.pools.entry(key).or_default();
        if Arc::strong_count(&pool.permit) > limit && !pool.idle.is_empty() {
            pool.idle.remove(0);
        }
        (Arc::strong_count(&pool.permit) <= limit).then(|| pool.permit.clone())
    }

    /// Whether fewer than `limit` connections are open, idle ones included.
    pub fn has_room(&self, key: BackendKey, limit: usize) -> bool {
        self.pools.get(&key).is_none_or(|pool| Arc::strong_count(&pool.permit) <= limit)
    }

    /// Returns a connection to the pool. It is closed if the pool was removed.
    pub fn put(&mut self, key: BackendKey, connection: Connection) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.idle.push(connection);
        }
    }

    /// Closes the idle connections to a backend server that is at its connection
    /// limit.
    pub fn close_idle(&mut self, key: BackendKey) {
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.idle.clear();
        }
    }

    /// Removes the pool of a backend server that was removed or replaced, closing
    /// its idle connections.
    pub fn remove(&mut self, key: BackendKey) {
        self.pools.remove(&key);
    }

    /// Closes idle connections that have expired, were closed by the backend server
    /// or have unread bytes.
    pub fn prune(&mut self, now: Instant) {
        for pool in self.pools.values_mut() {
            pool.idle.retain_mut(|c| idle_left(c, now).is_some() && c.is_clean());
        }
    }

    /// Number of idle connections to all backend servers.
    pub fn idle_count(&self) -> usize {
        self.pools.values().map(|p| p.idle.len()).sum()
    }
}

/// Time for which an idle connection may still be reused; `None` if it has
/// expired.
fn idle_left(connection: &Connection, now: Instant) -> Option<Duration> {
    let timeout = connection
        .idle_timeout
        .map_or(DEFAULT_IDLE_TIMEOUT, |t| t.saturating_sub(IDLE_TIMEOUT_MARGIN));
    timeout.checked_sub(now.duration_since(connection.idle_since)).filter(|left| !left.is_zero())
}
