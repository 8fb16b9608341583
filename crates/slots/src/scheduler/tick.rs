//! Periodic work: deadlines, status requests and trials.

use std::time::Instant;

use chervil_rpc::gate::Refusal;

use super::Scheduler;
use crate::types::Refused;
use crate::types::ServerKey;
use crate::types::WorkKey;

impl Scheduler {
    /// Refuses expired items, abandons overdue ones, requests the status of servers
    /// when due, and starts queued items. The gate calls this at a short interval.
    pub fn tick(&mut self, now: Instant) {
        let lease = self.has_lease(now);
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            self.refuse_expired(key, now);
            self.abandon_overdue(key, now);
            self.servers[key].tick(now);
            if !lease {
                self.refuse_queue(key, Refusal::NotOwner);
            }
            self.probe_if_due(key, now);
            self.retry_status(key, now);
            if lease {
                self.dispatch(key, now);
            }
            self.remove_if_unused(key);
        }
    }

    fn refuse_expired(&mut self, key: ServerKey, now: Instant) {
        let queue = &self.servers[key].queue;
        let expired: Vec<WorkKey> =
            queue.iter().filter(|w| now >= self.items[*w].deadline).collect();
        for work in expired {
            let flow = self.items[work].flow;
            self.servers[key].queue.remove(flow, work);
            self.refuse(work, Refused { reason: Refusal::Expired, retry_after: None });
        }
    }

    fn probe_if_due(&mut self, key: ServerKey, now: Instant) {
        let server = &self.servers[key];
        if !server.owned || server.status_retry_at.is_some() || now < server.next_probe {
            return;
        }
        let blocked = server.external.count() > 0 && !server.queue.is_empty();
        let urgent = blocked || server.external.needs_frequent_probes(now);
        let interval = match (urgent, server.external.count()) {
            (true, _) => self.settings.urgent_probe_interval,
            (false, 0) => self.settings.probe_interval,
            (false, _) => self.settings.probe_interval / 5,
        };
        let stalled = server.stalled_since(now);
        let conn = match stalled {
            Some(_) => server.pool.newest_idle(&self.conns, stalled),
            None => server.pool.oldest_idle(&self.conns),
        };
        // Replies on busy connections show that the server is alive, so that no
        // connection is opened just for a status unless items are held up.
        let needs_status =
            (blocked || stalled.is_some()) && !server.pool.is_status_pending(&self.conns);
        let may_dial = server.pool.is_empty() || needs_status;
        let server = &mut self.servers[key];
        server.next_probe = now + interval;
        server.last_probe = now;
        match conn {
            Some(conn) => self.probe(conn),
            None if may_dial => self.dial(key, now),
            None => {}
        }
    }
}
