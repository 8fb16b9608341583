//! Starting queued items and opening connections for them.

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

/// First pause after a failed attempt to reach a server.
const BACKOFF_START: Duration = Duration::from_millis(50);

/// Time for which the status of a server that does not send it is not requested.
pub(super) const NO_STATUS_RETRY: Duration = Duration::from_secs(5);

/// Time after which a connection that is being opened, beyond twice its usual
/// cost, no longer keeps another one from being opened.
const OPEN_PATIENCE: Duration = Duration::from_millis(100);

value! {
    /// Choice of a connection for the next item.
    #[derive(Copy, Eq)]
    enum Choice {
        Use(ConnKey),
        /// Open a new one.
        Dial,
        /// Close this idle one and open a new one.
        Replace(ConnKey),
    }
}

impl Scheduler {
    /// Starts as many queued items as the limit allows.
    pub(super) fn dispatch(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get(key) else {
            return;
        };
        if server.refusal().is_some() || !self.has_lease(now) {
            return;
        }
        // A status that cannot be read is not waited for.
        if !server.known && server.no_status.is_none() {
            self.learn_status(key, now);
            return;
        }
        while let Some(work) = self.next(key, now) {
            if self.servers[key].room() == 0 && !self.free_slot(key, work, now) {
                return;
            }
            // Giving up a stalled attempt leaves no room until the server's
            // status shows that it ended.
            if self.servers[key].room() == 0 {
                return;
            }
            match self.choose(key, work, now) {
                Choice::Use(conn) => self.start(key, work, conn, now),
                Choice::Dial => return self.dial_for_queue(key, now),
                Choice::Replace(conn) => {
                    self.close(conn, now);
                    return self.dial_for_queue(key, now);
                }
            }
        }
    }

    /// Sets the connections of an item's earlier attempts aside.
    pub(super) fn set_aside(&mut self, key: ServerKey, work: WorkKey) {
        for stalled in self.stalled(key, work) {
            if let Stage::Running(conn) = self.items[stalled.work].stage {
                self.conns[conn].state = ConnState::Aside(stalled.work);
            }
        }
    }

    /// Running attempts that a fresh item replaces, oldest first.
    fn stalled(&self, key: ServerKey, work: WorkKey) -> Vec<Running> {
        let item = &self.items[work];
        let running = self.servers[key].running.iter().copied();
        let mut stalled: Vec<Running> = running
            .filter(|r| {
                let other = &self.items[r.work];
                item.fresh_conn && (other.lane, other.shard) == (item.lane, item.shard)
            })
            .collect();
        stalled.sort_by_key(|r| r.started);
        stalled
    }

    /// Opens a connection, if the server's limit allows.
    pub(super) fn dial(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        if now < server.retry_at || server.pool.used(now) >= server.connections as usize {
            return;
        }
        let conn = server.pool.open(&mut self.conns, key, now);
        let address = server.address;
        // Items do not wait for a status that will probably not come.
        let open = if server.no_status.is_some() {
            Action::OpenLazy { conn, address }
        } else {
            Action::Open { conn, address }
        };
        self.actions.push(open);
    }

    /// Requests again the status of a server that did not send it, on a
    /// connection of its own.
    pub(super) fn retry_status(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        if server.no_status.is_none_or(|at| now < at) {
            return;
        }
        server.no_status = Some(now + NO_STATUS_RETRY);
        if server.pool.used(now) < server.connections as usize {
            let conn = server.pool.open(&mut self.conns, key, now);
            self.actions.push(Action::Open { conn, address: server.address });
        }
    }

    /// Requests the status at once, as the load of the server is in doubt.
    pub(super) fn probe_soon(&mut self, key: ServerKey, now: Instant) {
        let Some(server) = self.servers.get_mut(key).filter(|s| s.owned) else {
            return;
        };
        server.probe_at = now + self.settings.urgent_probe_interval;
        if server.no_status.is_some() || server.pool.is_asking(&self.conns) {
            return;
        }
        let after = server.stalled_since(now);
        match server.pool.newest(&self.conns, after) {
            Some(conn) => self.probe(conn),
            None => self.dial(key, now),
        }
    }

    pub(super) fn probe(&mut self, conn: ConnKey) {
        self.conns[conn].state = ConnState::Probing;
        self.actions.push(Action::Probe { conn });
    }

    /// Notes that a server could not be reached; returns when to try again.
    pub(super) fn back_off(&mut self, key: ServerKey, now: Instant) {
        let jitter = self.rng.random_range(0.5..1.0);
        let server = &mut self.servers[key];
        let pause = BACKOFF_START * 2_u32.saturating_pow(server.failures.min(8));
        server.failures = server.failures.saturating_add(1);
        server.retry_at = now + pause.min(self.settings.max_backoff).mul_f64(jitter);
        server.probe_at = server.retry_at;
    }

    fn learn_status(&mut self, key: ServerKey, now: Instant) {
        if !self.servers[key].pool.is_asking(&self.conns) {
            self.probe_soon(key, now);
        }
    }

    /// First queued item that has not expired.
    fn next(&mut self, key: ServerKey, now: Instant) -> Option<WorkKey> {
        loop {
            let work = self.servers[key].queue.peek()?;
            if now < self.items[work].deadline {
                return Some(work);
            }
            self.servers[key].queue.pop();
            self.refuse(work, Refused { reason: Refusal::Expired, retry_after: None });
        }
    }

    /// Gives up the stalled attempt that a fresh one replaces, as the server
    /// has no slot for both.
    fn free_slot(&mut self, key: ServerKey, work: WorkKey, now: Instant) -> bool {
        if self.servers[key].limit() == 0 {
            return false;
        }
        let Some(stalled) = self.stalled(key, work).first().map(|r| r.work) else {
            return false;
        };
        self.servers[key].give_up(stalled, now);
        self.abandon(stalled, now);
        self.probe_soon(key, now);
        true
    }

    fn choose(&self, key: ServerKey, work: WorkKey, now: Instant) -> Choice {
        let server = &self.servers[key];
        let replaced = self.stalled(key, work).last().map(|r| r.started);
        let after = replaced.max(server.stalled_since(now));
        if let Some(conn) = server.pool.newest(&self.conns, after) {
            return Choice::Use(conn);
        }
        let full = server.pool.keys().len() >= server.connections as usize;
        let oldest = server.pool.oldest(&self.conns);
        // A doubtful connection is better than none.
        let doubtful = server.pool.newest(&self.conns, None).filter(|_| replaced.is_none());
        match (doubtful, oldest) {
            (Some(conn), _) if full || now < server.retry_at => Choice::Use(conn),
            (None, Some(conn)) if full => Choice::Replace(conn),
            _ => Choice::Dial,
        }
    }

    fn start(&mut self, key: ServerKey, work: WorkKey, conn: ConnKey, now: Instant) {
        let server = &mut self.servers[key];
        server.queue.pop();
        server.running.push(Running { work, started: now, missed: None });
        self.conns[conn].state = ConnState::Busy(work);
        self.items[work].stage = Stage::Running(conn);
        self.actions.push(Action::Start { work, conn });
    }

    fn dial_for_queue(&mut self, key: ServerKey, now: Instant) {
        let server = &self.servers[key];
        let wanted = server.queue.len().min(server.room());
        let since = now.checked_sub(server.connect_cost * 2 + OPEN_PATIENCE);
        let opening = server.pool.opening(&self.conns, since);
        for _ in opening..wanted {
            self.dial(key, now);
        }
    }
}
