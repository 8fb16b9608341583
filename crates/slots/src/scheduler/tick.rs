//! Work that time alone makes due.

use std::time::Instant;

use chervil_rpc::gate::Refusal;

use super::Scheduler;
use crate::types::Refused;
use crate::types::ServerKey;
use crate::types::WorkKey;

impl Scheduler {
    /// Drops expired items and requests the status of servers when due.
    pub fn tick(&mut self, now: Instant) {
        let lease = self.has_lease(now);
        let keys: Vec<ServerKey> = self.servers.keys().collect();
        for key in keys {
            self.expire(key, now);
            self.drop_overdue(key, now);
            self.servers[key].tick(now);
            if !lease {
                self.refuse_queue(key, Refusal::NotOwner);
            }
            self.probe_due(key, now);
            self.retry_status(key, now);
            if lease {
                self.dispatch(key, now);
            }
            self.forget(key);
        }
    }

    fn expire(&mut self, key: ServerKey, now: Instant) {
        let queue = &self.servers[key].queue;
        let expired: Vec<WorkKey> =
            queue.iter().filter(|w| now >= self.items[*w].deadline).collect();
        for work in expired {
            let lane = self.items[work].lane;
            self.servers[key].queue.remove(lane, work);
            self.refuse(work, Refused { reason: Refusal::Expired, retry_after: None });
        }
    }

    fn probe_due(&mut self, key: ServerKey, now: Instant) {
        let server = &self.servers[key];
        if !server.owned || server.no_status.is_some() || now < server.probe_at {
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
            Some(_) => server.pool.newest(&self.conns, stalled),
            None => server.pool.oldest(&self.conns),
        };
        // Busy connections prove themselves, unless something holds up items.
        let held_up = (blocked || stalled.is_some()) && !server.pool.is_asking(&self.conns);
        let dial = server.pool.is_empty() || held_up;
        let server = &mut self.servers[key];
        server.probe_at = now + interval;
        server.probed_at = now;
        match conn {
            Some(conn) => self.probe(conn),
            None if dial => self.dial(key, now),
            None => {}
        }
    }
}
