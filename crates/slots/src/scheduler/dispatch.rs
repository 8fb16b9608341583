//! Starting of queued items, and opening of connections for them.

use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_rpc::gate::Refusal;
use rand::RngExt as _;

use super::Scheduler;
use super::Stage;
use crate::pool::ConnState;
use crate::server::Running;
use crate::types::Action;
use crate::types::ConnKey;
use crate::types::Refused;
use crate::types::ServerKey;
use crate::types::WorkKey;

/// Delay after the first failed attempt to connect to a server, before jitter;
/// doubles with each further failure.
const MIN_BACKOFF: Duration = Duration::from_millis(50);

/// Interval between status requests to a server that is used without its status.
pub(super) const STATUS_RETRY_INTERVAL: Duration = Duration::from_secs(5);

/// Extra time, beyond twice the connect time of the server, after which a connection
/// that is still being opened no longer prevents opening another.
const OPEN_GRACE: Duration = Duration::from_millis(100);

value! {
    /// How to get a connection for the next item.
    #[derive(Copy, Eq)]
    enum ConnChoice {
        /// Use this idle connection.
        Use(ConnKey),
        /// Open a new connection.
        Dial,
        /// Close this idle connection and open a new one.
        Replace(ConnKey),
    }
}

impl Scheduler {
    /// Starts queued items up to the limit of the server, or opens connections for
    /// them. Requests the status first if it is not known.
    pub(super) fn dispatch(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if server.refusal().is_some() || !self.has_lease(now) {
            return;
        }
        // Do not wait for the status of a server that does not send it.
        if !server.status_known && server.status_retry_at.is_none() {
            self.request_status(key, now);
            return;
        }
        while let Some(work) = self.next_queued(key, now) {
            if self.servers[key].room() == 0 && !self.free_replaced_slot(key, work, now) {
                return;
            }
            // An abandoned attempt still counts as external load until the status
            // shows that the server ended it.
            if self.servers[key].room() == 0 {
                return;
            }
            match self.choose_conn(key, work, now) {
                ConnChoice::Use(conn) => self.start(key, work, conn, now),
                ConnChoice::Dial => return self.dial_for_queued(key, now),
                ConnChoice::Replace(conn) => {
                    self.close_conn(conn, now);
                    return self.dial_for_queued(key, now);
                }
            }
        }
    }

    /// Marks the connections of the attempts that an item replaces, so that they
    /// are not reused.
    pub(super) fn retire_replaced_conns(&mut self, key: ServerKey, work: WorkKey) {
        for stalled in self.replaced_attempts(key, work) {
            if let Stage::Running(conn) = self.items[stalled.work].stage {
                self.conns[conn].state = ConnState::Retiring(stalled.work);
            }
        }
    }

    /// Running attempts that an item with `fresh_conn` replaces, oldest first: those
    /// of the same query for the same shard.
    fn replaced_attempts(&self, key: ServerKey, work: WorkKey) -> Vec<Running> {
        let item = &self.items[work];
        let running = self.servers[key].running.iter().copied();
        let mut stalled: Vec<Running> = running
            .filter(|r| {
                let other = &self.items[r.work];
                item.fresh_conn && (other.flow, other.shard) == (item.flow, item.shard)
            })
            .collect();
        stalled.sort_by_key(|r| r.started);
        stalled
    }

    /// Opens a connection, unless the server is at its connection limit or in
    /// backoff.
    pub(super) fn dial(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        if now < server.reconnect_at || server.pool.occupied(now) >= server.max_connections as usize
        {
            return;
        }
        let conn = server.pool.add_opening(&mut self.conns, key, now);
        let address = server.address;
        // Items must not wait for a status that the server will probably not send.
        let open = if server.status_retry_at.is_some() {
            Action::OpenLazy { conn, address }
        } else {
            Action::Open { conn, address }
        };
        self.actions.push(open);
    }

    /// When due, requests the status of a server that is used without it, on a
    /// separate connection.
    pub(super) fn retry_status(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        if server.status_retry_at.is_none_or(|at| now < at) {
            return;
        }
        server.status_retry_at = Some(now + STATUS_RETRY_INTERVAL);
        if server.pool.occupied(now) < server.max_connections as usize {
            let conn = server.pool.add_opening(&mut self.conns, key, now);
            self.actions.push(Action::Open { conn, address: server.address });
        }
    }

    /// Requests the status at once because the load of the server is uncertain,
    /// unless a request is in flight already.
    pub(super) fn probe_soon(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key).filter(|s| s.owned) else {
            return;
        };
        server.next_probe = now + self.settings.urgent_probe_interval;
        if server.status_retry_at.is_some() || server.pool.is_status_pending(&self.conns) {
            return;
        }
        let after = server.stalled_since(now);
        match server.pool.newest_idle(&self.conns, after) {
            Some(conn) => self.probe(conn),
            None => self.dial(key, now),
        }
    }

    pub(super) fn probe(&mut self, conn: ConnKey) {
        self.conns[conn].state = ConnState::Probing;
        self.actions.push(Action::Probe { conn });
    }

    /// Records a failed connection attempt and sets the time of the next one, with
    /// exponential backoff and jitter.
    pub(super) fn back_off(&mut self, key: ServerKey, now: Instant) {
        let jitter = self.rng.random_range(0.5..1.0);
        let server = &mut self.servers[key];
        let pause = MIN_BACKOFF * 2_u32.saturating_pow(server.connect_failures.min(8));
        server.connect_failures = server.connect_failures.saturating_add(1);
        server.reconnect_at = now + pause.min(self.settings.max_backoff).mul_f64(jitter);
        server.next_probe = server.reconnect_at;
    }

    fn request_status(&mut self, key: ServerKey, now: Instant) {
        if !self.servers[key].pool.is_status_pending(&self.conns) {
            self.probe_soon(key, now);
        }
    }

    /// Returns the next queued item that has not expired; refuses expired ones on
    /// the way.
    fn next_queued(&mut self, key: ServerKey, now: Instant) -> Option<WorkKey> {
        loop {
            let work = self.servers[key].queue.peek()?;
            if now < self.items[work].deadline {
                return Some(work);
            }
            self.servers[key].queue.pop();
            self.refuse(work, Refused { reason: Refusal::Expired, retry_after: None });
        }
    }

    /// Abandons the oldest attempt that an item replaces, as the server has no slot
    /// for both; returns whether there was one.
    fn free_replaced_slot(&mut self, key: ServerKey, work: WorkKey, now: Instant) -> bool {
        if self.servers[key].limit() == 0 {
            return false;
        }
        let Some(stalled) = self.replaced_attempts(key, work).first().map(|r| r.work) else {
            return false;
        };
        self.servers[key].abandon(stalled, now);
        self.abandon_item(stalled, now);
        self.probe_soon(key, now);
        true
    }

    fn choose_conn(&self, key: ServerKey, work: WorkKey, now: Instant) -> ConnChoice {
        let server = &self.servers[key];
        let replaced = self.replaced_attempts(key, work).last().map(|r| r.started);
        let after = replaced.max(server.stalled_since(now));
        if let Some(conn) = server.pool.newest_idle(&self.conns, after) {
            return ConnChoice::Use(conn);
        }
        let full = server.pool.keys().len() >= server.max_connections as usize;
        let oldest = server.pool.oldest_idle(&self.conns);
        // A connection that may have stalled is better than none.
        let unverified = server.pool.newest_idle(&self.conns, None).filter(|_| replaced.is_none());
        match (unverified, oldest) {
            (Some(conn), _) if full || now < server.reconnect_at => ConnChoice::Use(conn),
            (None, Some(conn)) if full => ConnChoice::Replace(conn),
            _ => ConnChoice::Dial,
        }
    }

    fn start(&mut self, key: ServerKey, work: WorkKey, conn: ConnKey, now: Instant) {
        let server = &mut self.servers[key];
        server.queue.pop();
        server.running.push(Running { work, started: now, uncounted_since: None });
        self.conns[conn].state = ConnState::Busy(work);
        self.items[work].stage = Stage::Running(conn);
        self.actions.push(Action::Start { work, conn });
    }

    fn dial_for_queued(&mut self, key: ServerKey, now: Instant) {
        let server = &self.servers[key];
        let wanted = server.queue.len().min(server.room());
        let since = now.checked_sub(server.connect_time * 2 + OPEN_GRACE);
        let opening = server.pool.count_opening(&self.conns, since);
        for _ in opening..wanted {
            self.dial(key, now);
        }
    }
}
