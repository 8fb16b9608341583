//! Events from the gate: results of items, connection attempts and status requests.

use std::time::Instant;

use chervil_rpc::gate::Refusal;

use super::Item;
use super::Scheduler;
use super::Stage;
use super::dispatch::STATUS_RETRY_INTERVAL;
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
    /// Handles a connection that was opened, with the status that the server sent
    /// on it.
    pub fn opened(&mut self, conn: ConnKey, status: &StatusReport, now: Instant) {
        let Some(key) = self.conns.get(conn).map(|c| c.server) else {
            return;
        };
        self.servers[key].connect_failures = 0;
        self.servers[key].reconnect_at = now;
        self.mark_idle(conn, now);
        self.apply_status(key, status, now);
    }

    /// Handles the connection provided for an `Action::OpenLazy`;
    /// its first item opens it.
    pub fn lazy_conn_ready(&mut self, conn: ConnKey, now: Instant) {
        let Some(key) = self.conns.get(conn).map(|c| c.server) else {
            return;
        };
        self.mark_idle(conn, now);
        self.dispatch(key, now);
        self.remove_if_unused(key);
    }

    /// Handles a connection that was opened but on which the server sent no status.
    /// Returns whether the server is now used without its status, so that only items
    /// show whether it works.
    pub fn opened_without_status(&mut self, conn: ConnKey, now: Instant) -> bool {
        let Some((key, opened_at)) = self.conns.get(conn).map(|c| (c.server, c.verified_at)) else {
            return false;
        };
        self.close_conn(conn, now);
        let server = &mut self.servers[key];
        // One connection that went silent while being opened does not show that the
        // server sends no status. Without status requests, items that hang on other
        // silent connections would hold their slots until their deadlines.
        let no_prior_silence = server.status_silent_since.is_none_or(|at| opened_at < at);
        if server.status_known && server.status_retry_at.is_none() && no_prior_silence {
            server.status_silent_since.get_or_insert(now);
            self.probe_soon(key, now);
        } else {
            self.use_without_status(key, now);
        }
        let without_status = self.servers[key].status_retry_at.is_some();
        self.dispatch(key, now);
        self.remove_if_unused(key);
        without_status
    }

    /// Uses a server without its status until the next retry.
    fn use_without_status(&mut self, key: ServerKey, now: Instant) {
        let server = &mut self.servers[key];
        server.status_retry_at = Some(now + STATUS_RETRY_INTERVAL);
        if !server.status_known {
            server.status_known = true;
            // Without a status, the external load cannot be known.
            server.external = ExternalLoad::default();
            self.reset_level(key);
        }
    }

    /// Handles a failed attempt to open a connection. If the server has no other
    /// connection, queued items are refused as unreachable.
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
        self.remove_if_unused(key);
    }

    /// Handles the reply to a status request; `None` if the request failed.
    pub fn probe_finished(&mut self, conn: ConnKey, status: Option<&StatusReport>, now: Instant) {
        let Some(c) = self.conns.get(conn) else {
            return;
        };
        let (key, verified_at) = (c.server, c.verified_at);
        if let Some(status) = status {
            self.mark_idle(conn, now);
            return self.apply_status(key, status, now);
        }
        self.close_conn(conn, now);
        // Idle connections without a reply for at least as long are probably dead,
        // too.
        self.close_stale_idle(key, verified_at, now);
        self.servers[key].next_probe = now;
        self.dispatch(key, now);
        self.remove_if_unused(key);
    }

    /// Handles the completion of a started item; [`Disposition::Final`] if the
    /// scheduler no longer holds it.
    pub fn finished(
        &mut self,
        work: WorkKey,
        completion: &Completion,
        now: Instant,
    ) -> Disposition {
        let Some(Item { server: key, stage: Stage::Running(conn), .. }) = self.items.get(work)
        else {
            return Disposition::Final;
        };
        let (key, conn) = (*key, *conn);
        self.update_health(key, work, completion, now);
        let disposition = self.complete_or_requeue(key, work, completion, now);
        self.reuse_or_close(key, conn, completion, now);
        self.dispatch(key, now);
        if self.servers.contains_key(key) {
            self.remove_if_unused(key);
        }
        disposition
    }

    /// Updates warm-up level, external load and drain state of the server after an
    /// item ended.
    fn update_health(
        &mut self,
        key: ServerKey,
        work: WorkKey,
        completion: &Completion,
        now: Instant,
    ) {
        let server = &mut self.servers[key];
        let started = server.running.iter().find(|r| r.work == work).map(|r| r.started);
        let took = started.map(|s| now.saturating_duration_since(s)).unwrap_or_default();
        let before = server.warmup.level();
        match completion {
            Completion::Replied { report } => {
                server.level_untested = false;
                server.external.record_success(now);
                server.warmup.record_reply(took, true, server.slots);
                if let Some(report) = report {
                    server.observe(report, now);
                }
            }
            Completion::TimedOut => server.warmup.record_reply(took, false, server.slots),
            Completion::ConnectionLost | Completion::Refused { reason: Refusal::Cold } => {
                server.level_untested = false;
                server.warmup.reset();
            }
            Completion::Refused { reason: Refusal::Busy } => {
                let external = server.slots.saturating_sub(server.running.len() as u32 - 1);
                server.external.record_busy(external, now);
            }
            Completion::Refused { reason: Refusal::Draining } => server.drain.record_refusal(now),
            _ => {}
        }
        if server.warmup.level() != before {
            let group = server.group.clone();
            self.changed_groups.insert(group);
        }
        if self.servers[key].drain.is_draining() {
            self.refuse_queue(key, Refusal::Draining);
        }
    }

    /// Removes an item that ended, or queues it again, once at most, if its request
    /// was never written.
    fn complete_or_requeue(
        &mut self,
        key: ServerKey,
        work: WorkKey,
        completion: &Completion,
        now: Instant,
    ) -> Disposition {
        let server = &mut self.servers[key];
        match completion {
            Completion::TimedOut | Completion::ConnectionLost => server.abandon(work, now),
            _ => server.complete(work, now),
        };
        let item = &mut self.items[work];
        let requeue =
            *completion == Completion::NotWritten && !item.requeued && now < item.deadline;
        if requeue && server.refusal().is_none() && !server.queue.is_full() {
            item.requeued = true;
            item.stage = Stage::Queued;
            server.queue.push_front(item.flow, work);
            return Disposition::Requeued;
        }
        self.items.remove(work);
        Disposition::Final
    }

    fn close_stale_idle(&mut self, key: ServerKey, verified_at: Instant, now: Instant) {
        for conn in self.servers[key].pool.stale_idle(&self.conns, verified_at) {
            self.close_conn(conn, now);
        }
    }

    /// Makes the connection of an item that ended idle, or closes it. Requests the
    /// status soon if the server may be in trouble.
    fn reuse_or_close(
        &mut self,
        key: ServerKey,
        conn: ConnKey,
        completion: &Completion,
        now: Instant,
    ) {
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        let retiring = matches!(c.state, ConnState::Retiring(_));
        let verified_at = c.verified_at;
        match completion {
            Completion::Replied { .. } | Completion::WrongVersion | Completion::Refused { .. }
                if !retiring =>
            {
                self.mark_idle(conn, now);
            }
            Completion::OwnershipLost if !retiring && self.servers[key].owned => {
                c.state = ConnState::Idle
            }
            Completion::NotWritten => {
                self.close_conn(conn, now);
                self.close_stale_idle(key, verified_at, now);
            }
            _ => self.close_conn(conn, now),
        }
        match completion {
            Completion::TimedOut | Completion::ConnectionLost => self.probe_soon(key, now),
            Completion::Refused { .. } => {
                self.servers[key].next_probe = now + self.settings.urgent_probe_interval
            }
            _ => {}
        }
    }

    fn mark_idle(&mut self, conn: ConnKey, now: Instant) {
        let Some(c) = self.conns.get_mut(conn) else {
            return;
        };
        c.state = ConnState::Idle;
        c.verified_at = now;
        let key = c.server;
        let server = &self.servers[key];
        // One connection more than slots lets a replacement attempt avoid a stalled
        // connection.
        let surplus = server.pool.idle(&self.conns).count() > server.slots as usize + 1;
        if !server.owned {
            self.close_conn(conn, now);
        } else if let Some(oldest) = server.pool.oldest_idle(&self.conns).filter(|_| surplus) {
            self.close_conn(oldest, now);
        }
    }

    fn apply_status(&mut self, key: ServerKey, status: &StatusReport, now: Instant) {
        let Some(server) = self.servers.get_mut(key) else {
            return;
        };
        let report: &LoadReport = &status.load;
        let round_trip = now.saturating_duration_since(report.sent_at);
        server.external.record_round_trip(round_trip);
        let restarted = server.observe(report, now);
        let cold_start = server.is_cold_start(report);
        if cold_start {
            server.warmup.reset();
        }
        server.status_known = true;
        server.last_probe = now;
        server.status_retry_at = None;
        server.status_silent_since = None;
        server.drain.record_status(status.draining);
        let draining = server.drain.is_draining();
        self.abandon_lost_items(key, report, now);
        let server = &mut self.servers[key];
        if restarted || cold_start {
            let group = server.group.clone();
            self.changed_groups.insert(group);
        }
        if draining {
            self.refuse_queue(key, Refusal::Draining);
        }
        self.dispatch(key, now);
        self.remove_if_unused(key);
    }

    fn reset_level(&mut self, key: ServerKey) {
        let server = &mut self.servers[key];
        if server.warmup.level() != 1 {
            server.warmup.reset();
            let group = server.group.clone();
            self.changed_groups.insert(group);
        }
    }
}
