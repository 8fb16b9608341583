//! Items that the server does not run although they were sent.
//!
//! A connection that went silent holds its item, and thereby a slot, until the
//! deadline. A status on another connection that counts fewer running requests
//! than were sent proves which slots are free.

use std::time::Duration;
use std::time::Instant;

use super::Item;
use super::Scheduler;
use super::Stage;
use crate::external_load::ORDER_MARGIN;
use crate::server::Running;
use crate::types::Action;
use crate::types::LoadReport;
use crate::types::ServerKey;
use crate::types::WorkKey;

/// Time between the two reports that prove an item dead. A single one may have
/// been made while the reply was on its way.
const PROOF_GAP: Duration = Duration::from_millis(5);

/// Time after its deadline in which the end of an item must come.
const OVERDUE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Gives up stalled items that two reports in a row did not count.
    pub(super) fn drop_dead(&mut self, key: ServerKey, report: &LoadReport, now: Instant) {
        for dead in self.uncounted(key, report) {
            let running = &mut self.servers[key].running;
            let Some(entry) = running.iter_mut().find(|r| r.work == dead.work) else {
                continue;
            };
            let missed = *entry.missed.get_or_insert(now);
            if now.saturating_duration_since(missed) < PROOF_GAP {
                self.servers[key].probe_at = now + self.settings.urgent_probe_interval;
                continue;
            }
            running.retain(|r| r.work != dead.work);
            self.abandon(dead.work, now);
        }
    }

    /// Closes the connection of an item and reports it as timed out.
    pub(super) fn abandon(&mut self, work: WorkKey, now: Instant) {
        if let Some(Item { stage: Stage::Running(conn), .. }) = self.items.remove(work) {
            self.close(conn, now);
        }
        self.actions.push(Action::Abandon { work });
    }

    /// Gives up items whose end did not come although their deadline is long
    /// past, so that no fault of a caller of this crate can hold a slot.
    pub(super) fn drop_overdue(&mut self, key: ServerKey, now: Instant) {
        let running = self.servers[key].running.iter();
        let overdue = running.filter(|r| self.items[r.work].deadline + OVERDUE < now);
        let overdue: Vec<Running> = overdue.copied().collect();
        for r in overdue {
            self.servers[key].give_up(r.work, now);
            self.abandon(r.work, now);
        }
    }

    /// Oldest stalled items, as many as the report counts too few.
    fn uncounted(&self, key: ServerKey, report: &LoadReport) -> Vec<Running> {
        let server = &self.servers[key];
        let patience = server.patience();
        let sent = server.running.iter().filter(|r| r.started + ORDER_MARGIN < report.sent_at);
        let missing = sent.count().saturating_sub(report.running as usize);
        let stalled = server
            .running
            .iter()
            .copied()
            .filter(|r| r.started + patience < report.sent_at && self.items[r.work].idempotent);
        let mut stalled: Vec<Running> = stalled.collect();
        stalled.sort_by_key(|r| r.started);
        stalled.truncate(missing);
        stalled
    }
}
