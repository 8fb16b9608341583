//! Items that the server does not run although they were sent.
//!
//! A connection that went silent holds its item, and thereby a slot, until the
//! deadline. A status on another connection that counts fewer running requests
//! than were sent proves which slots are free.

use std::time::Duration;
use std::time::Instant;

use super::Item;
use super::Slots;
use super::Stage;
use crate::foreign::ORDER_MARGIN;
use crate::server::Running;
use crate::types::Action;
use crate::types::Report;
use crate::types::ServerKey;

/// Time between the two reports that prove an item dead. A single one may have
/// been made while the reply was on its way.
const PROOF_GAP: Duration = Duration::from_millis(5);

impl Slots {
    /// Gives up stalled items that two reports in a row did not count.
    pub(super) fn drop_dead(&mut self, key: ServerKey, report: &Report, now: Instant) {
        for dead in self.uncounted(key, report) {
            let running = &mut self.servers[key].running;
            let Some(entry) = running.iter_mut().find(|r| r.work == dead.work) else {
                continue;
            };
            let missed = *entry.missed.get_or_insert(now);
            if now.saturating_duration_since(missed) < PROOF_GAP {
                self.servers[key].probe_at = now + self.settings.urgent;
                continue;
            }
            running.retain(|r| r.work != dead.work);
            if let Some(Item { stage: Stage::Running(conn), .. }) = self.items.remove(dead.work) {
                self.close(conn, now);
            }
            self.actions.push(Action::Abandon { work: dead.work });
        }
    }

    /// Oldest stalled items, as many as the report counts too few.
    fn uncounted(&self, key: ServerKey, report: &Report) -> Vec<Running> {
        let server = &self.servers[key];
        let patience = server.patience();
        let sent = server.running.iter().filter(|r| r.started + ORDER_MARGIN < report.sent);
        let missing = sent.count().saturating_sub(report.running as usize);
        let stalled = server
            .running
            .iter()
            .copied()
            .filter(|r| r.started + patience < report.sent && self.items[r.work].idempotent);
        let mut stalled: Vec<Running> = stalled.collect();
        stalled.sort_by_key(|r| r.started);
        stalled.truncate(missing);
        stalled
    }
}
