//! Ends of items, connections and status requests.

use std::time::Instant;

use chervil_rpc::gate::Refusal;

use super::Item;
use super::Scheduler;
use super::Stage;
use super::dispatch::NO_STATUS_RETRY;
use crate::external_load::ExternalLoad;
use crate::pool::ConnState;
use crate::types::Completion;
use crate::types::ConnKey;
use crate::types::Disposition;
use crate::types::LoadReport;
use crate::types::ServerKey;
use crate::types::StatusReport;
use crate::types::WorkKey;

impl Scheduler {
    /// A connection was opened, and the server sent its status on it.
    pub fn opened(&mut self, conn: ConnKey, status: &StatusReport, now: Instant) {
        let Some(key) = self.conns.get(conn).map(|c| c.server) else {
            return;
        };
        self.servers[key].failures = 0;
        self.servers[key].retry_at = now;
        self.release(conn, now);
        self.take_status(key, status, now);
    }

    /// A connection was prepared that the first item on it opens.
    pub fn lazy_conn_ready(&mut self, conn: ConnKey, now: Instant) {
        let Some(key) = self.conns.get(conn).map(|c| c.server) else {
            return;
        };
        self.release(conn, now);
        self.dispatch(key, now);
        self.forget(key);
    }

    /// A connection was opened, and no status came on it; returns whether the
    /// server is now used without its status, so that items decide whether it
    /// works.
    pub fn opened_without_status(&mut self, conn: ConnKey, now: Instant) -> bool {
        let Some((key, opened)) = self.conns.get(conn).map(|c| (c.server, c.proven)) else {
            return false;
        };
        self.close(conn, now);
        let server = &mut self.servers[key];
        // A connection that went silent while it was opened says nothing of the
        // server. Without status requests, items that hang on other silent
        // connections would keep their slots until their deadlines.
        let first = server.silent_since.is_none_or(|at| opened < at);
        if server.known && server.no_status.is_none() && first {
            server.silent_since.get_or_insert(now);
            self.probe_soon(key, now);
        } else {
            self.use_without_status(key, now);
        }
        let without_status = self.servers[key].no_status.is_some();
        self.dispatch(key, now);
        self.forget(key);
        without_status
    }

    /// Uses a server without its status for a while.
    fn use_without_status(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        server.no_status = Some(now + NO_STATUS_RETRY);
        if !server.known {
            server.known = true;
            // Nothing can be known of the work of others.
            server.external = ExternalLoad::default();
            self.reset_level(key);
        }
    }

    /// A connection could not be opened.
    pub fn open_failed(&mut self, conn: ConnKey, now: Instant) {
        let Some(key) = self.conns.get(conn).map(|c| c.server) else {
            return;
        };
        self.servers[key].pool.remove(&mut self.conns, conn, now);
        self.back_off(key, now);
        if self.servers[key].pool.is_empty() {
            self.reset_level(key);
            self.refuse_queue(key, Refusal::Unreachable);
        }
        self.forget(key);
    }

    /// A status request ended; `None` when it failed.
    pub fn probe_finished(&mut self, conn: ConnKey, status: Option<&StatusReport>, now: Instant) {
        let Some(c) = self.conns.get(conn) else {
            return;
        };
        let (key, proven) = (c.server, c.proven);
        if let Some(status) = status {
            self.release(conn, now);
            return self.take_status(key, status, now);
        }
        self.close(conn, now);
        // Connections that were silent for longer are in greater doubt.
        self.close_doubtful(key, proven, now);
        self.servers[key].probe_at = now;
        self.dispatch(key, now);
        self.forget(key);
    }

    /// A started item ended.
    pub fn finished(&mut self, work: WorkKey, end: &Completion, now: Instant) -> Disposition {
        let Some(Item { server: key, stage: Stage::Running(conn), .. }) = self.items.get(work)
        else {
            return Disposition::Final;
        };
        let (key, conn) = (*key, *conn);
        self.judge(key, work, end, now);
        let fate = self.retire(key, work, end, now);
        self.settle(key, conn, end, now);
        self.dispatch(key, now);
        if self.servers.contains_key(key) {
            self.forget(key);
        }
        fate
    }

    /// Learns from the end of an item about the server's health.
    fn judge(&mut self, key: ServerKey, work: WorkKey, end: &Completion, now: Instant) {
        let server = &mut self.servers[key];
        let started = server.running.iter().find(|r| r.work == work).map(|r| r.started);
        let took = started.map(|s| now.saturating_duration_since(s)).unwrap_or_default();
        let before = server.warmup.level();
        match end {
            Completion::Replied { report } => {
                server.unused = false;
                server.external.record_success(now);
                server.warmup.record_reply(took, true, server.slots);
                if let Some(report) = report {
                    server.observe(report, now);
                }
            }
            Completion::TimedOut => server.warmup.record_reply(took, false, server.slots),
            Completion::ConnectionLost | Completion::Refused { reason: Refusal::Cold } => {
                server.unused = false;
                server.warmup.reset();
            }
            Completion::Refused { reason: Refusal::Busy } => {
                let others = server.slots.saturating_sub(server.running.len() as u32 - 1);
                server.external.record_busy(others, now);
            }
            Completion::Refused { reason: Refusal::Draining } => server.drain.refuse(now),
            _ => {}
        }
        if server.warmup.level() != before {
            let group = server.group.clone();
            self.changed.insert(group);
        }
        if self.servers[key].drain.is_draining() {
            self.refuse_queue(key, Refusal::Draining);
        }
    }

    /// Removes the item from the server, or puts it back into the queue.
    fn retire(
        &mut self,
        key: ServerKey,
        work: WorkKey,
        end: &Completion,
        now: Instant,
    ) -> Disposition {
        let server = &mut self.servers[key];
        match end {
            Completion::TimedOut | Completion::ConnectionLost => server.give_up(work, now),
            _ => server.end(work, now),
        };
        let item = &mut self.items[work];
        let again = *end == Completion::NotWritten && !item.requeued && now < item.deadline;
        if again && server.refusal().is_none() && !server.queue.is_full() {
            item.requeued = true;
            item.stage = Stage::Queued;
            server.queue.push_front(item.lane, work);
            return Disposition::Requeued;
        }
        self.items.remove(work);
        Disposition::Final
    }

    fn close_doubtful(&mut self, key: ServerKey, proven: Instant, now: Instant) {
        for conn in self.servers[key].pool.doubtful(&self.conns, proven) {
            self.close(conn, now);
        }
    }

    /// Reuses or closes the connection of an item that ended.
    fn settle(&mut self, key: ServerKey, conn: ConnKey, end: &Completion, now: Instant) {
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        let aside = matches!(c.state, ConnState::Aside(_));
        let proven = c.proven;
        match end {
            Completion::Replied { .. } | Completion::WrongVersion | Completion::Refused { .. }
                if !aside =>
            {
                self.release(conn, now);
            }
            Completion::OwnershipLost if !aside && self.servers[key].owned => {
                c.state = ConnState::Idle
            }
            Completion::NotWritten => {
                self.close(conn, now);
                self.close_doubtful(key, proven, now);
            }
            _ => self.close(conn, now),
        }
        match end {
            Completion::TimedOut | Completion::ConnectionLost => self.probe_soon(key, now),
            Completion::Refused { .. } => {
                self.servers[key].probe_at = now + self.settings.urgent_probe_interval
            }
            _ => {}
        }
    }

    fn release(&mut self, conn: ConnKey, now: Instant) {
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        c.state = ConnState::Idle;
        c.proven = now;
        let key = c.server;
        let server = &self.servers[key];
        // One spare connection lets a fresh attempt avoid a stalled one.
        let spare = server.pool.idle(&self.conns).count() > server.slots as usize + 1;
        if !server.owned {
            self.close(conn, now);
        } else if let Some(oldest) = server.pool.oldest(&self.conns).filter(|_| spare) {
            self.close(oldest, now);
        }
    }

    fn take_status(&mut self, key: ServerKey, status: &StatusReport, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let report: &LoadReport = &status.load;
        let restarted = server.observe(report, now);
        let young = server.is_young(report);
        if young {
            server.warmup.reset();
        }
        server.known = true;
        server.probed_at = now;
        server.no_status = None;
        server.silent_since = None;
        server.drain.status(status.draining);
        let draining = server.drain.is_draining();
        self.drop_dead(key, report, now);
        let server = &mut self.servers[key];
        if restarted || young {
            let group = server.group.clone();
            self.changed.insert(group);
        }
        if draining {
            self.refuse_queue(key, Refusal::Draining);
        }
        self.dispatch(key, now);
        self.forget(key);
    }

    fn reset_level(&mut self, key: ServerKey) {
        let server = &mut self.servers[key];
        if server.warmup.level() != 1 {
            server.warmup.reset();
            let group = server.group.clone();
            self.changed.insert(group);
        }
    }
}
