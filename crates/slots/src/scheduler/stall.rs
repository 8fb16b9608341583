//! Detection of items that were sent but that the server does not run.
//!
//! A connection that went silent would hold its item, and with it a slot, until the
//! deadline. A status on another connection that counts fewer running requests
//! than were sent proves that some of the slots are free.

use std::time::Duration;
use std::time::Instant;

use super::Item;
use super::Scheduler;
use super::Stage;
use crate::external_load::REORDER_MARGIN;
use crate::server::Running;
use crate::types::Action;
use crate::types::LoadReport;
use crate::types::ServerKey;
use crate::types::WorkKey;

/// Shortest time between the two reports that prove that the server does not run
/// an item. A single report may have been made while the reply was in flight.
const MIN_REPORT_GAP: Duration = Duration::from_millis(5);

/// Time after the deadline of a running item at which the scheduler abandons it.
const OVERDUE_GRACE: Duration = Duration::from_secs(1);

impl Scheduler {
    /// Abandons stalled items that two reports, made at least
    /// [`MIN_REPORT_GAP`] apart, did not count.
    pub(super) fn abandon_lost_items(&mut self, key: ServerKey, report: &LoadReport, now: Instant) {
        for lost in self.uncounted_items(key, report) {
            let running = &mut self.servers[key].running;
            let Some(entry) = running.iter_mut().find(|r| r.work == lost.work) else {
                continue;
            };
            let since = *entry.uncounted_since.get_or_insert(now);
            if now.saturating_duration_since(since) < MIN_REPORT_GAP {
                self.servers[key].next_probe = now + self.settings.urgent_probe_interval;
                continue;
            }
            // On a busy host the request may still arrive. Counting it as external load
            // keeps its slot until a report shows that the server does not run it.
            self.servers[key].abandon(lost.work, now);
            self.abandon_item(lost.work, now);
        }
    }

    /// Closes the connection of a running item and reports the item as timed out.
    pub(super) fn abandon_item(&mut self, work: WorkKey, now: Instant) {
        if let Some(Item { stage: Stage::Running(conn), .. }) = self.items.remove(work) {
            self.close_conn(conn, now);
        }
        self.actions.push(Action::Abandon { work });
    }

    /// Abandons running items whose completion was not reported within
    /// [`OVERDUE_GRACE`] after their deadline, so that a fault in the code that uses
    /// this crate cannot hold a slot for good.
    pub(super) fn abandon_overdue(&mut self, key: ServerKey, now: Instant) {
        let running = self.servers[key].running.iter();
        let overdue = running.filter(|r| self.items[r.work].deadline + OVERDUE_GRACE < now);
        let overdue: Vec<Running> = overdue.copied().collect();
        for r in overdue {
            self.servers[key].abandon(r.work, now);
            self.abandon_item(r.work, now);
        }
    }

    /// The oldest stalled idempotent items, at most as many as the number of sent
    /// items that are missing from the report.
    fn uncounted_items(&self, key: ServerKey, report: &LoadReport) -> Vec<Running> {
        let server = &self.servers[key];
        let stall_timeout = server.stall_timeout();
        let sent = server.running.iter().filter(|r| r.started + REORDER_MARGIN < report.sent_at);
        let missing = sent.count().saturating_sub(report.running as usize);
        let stalled = server.running.iter().copied().filter(|r| {
            r.started + stall_timeout < report.sent_at && self.items[r.work].idempotent
        });
        let mut stalled: Vec<Running> = stalled.collect();
        stalled.sort_by_key(|r| r.started);
        stalled.truncate(missing);
        stalled
    }
}
