//! Changes that operators request: which records each of them needs, and which
//! concurrent changes it conflicts with.

use chervil_base::digest::stable_hash;
use chervil_base::value;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::sheet::Sheet;

use crate::draft::Draft;
use crate::draft::DraftContext;
use crate::draft::damaged;
use crate::draft::override_draft;
use crate::draft::recovery_draft;
use crate::draft::sheet_draft;
use crate::head::Head;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::BASE_RECORD;
use crate::records::SheetRecords;
use crate::records::may_contain_server;
use crate::replica::ConfigReplica;
use crate::result::ChangeResult;

value! {
    /// Change that an operator requests.
    pub enum Change {
        /// Replace the sheet in force.
        ApplySheet {
            /// New sheet.
            sheet: Sheet,
            /// Number of servers that the operator agreed to remove, which a
            /// large removal requires; `None` when nothing is confirmed.
            confirmed_removals: Option<usize>,
        },
        /// Take a zone or a server out of service, whatever the sheet says,
        /// until the override is cleared.
        SetOverride(Target),
        /// Put a zone or a server back under the control of the sheet.
        ClearOverride(Target),
        /// Write the configuration of a host back to a store that was restored
        /// from older data.
        Recover(ConfigReplica),
    }

    /// Change with the data that is computed once for all attempts.
    pub(crate) struct PreparedChange<'a> {
        change: &'a Change,
        /// Records of the new sheet; empty for other changes.
        sheet_records: SheetRecords,
    }
}

impl Change {
    pub(crate) fn prepare(&self) -> Result<PreparedChange<'_>, ChangeResult> {
        let sheet_records = match self {
            Change::ApplySheet { sheet, .. } => SheetRecords::new(&sheet.catalog),
            _ => Ok(SheetRecords::default()),
        };
        Ok(PreparedChange {
            change: self,
            sheet_records: sheet_records.map_err(|e| damaged("sheet", &e))?,
        })
    }
}

impl PreparedChange<'_> {
    /// Id under which the head and the history list this change. A hash of the
    /// content is appended to the requested id, so that a different change with
    /// the same id is not mistaken for a repetition of the first one.
    pub(crate) fn operation_id(&self, requested: &str) -> Box<str> {
        let content = match self.change {
            Change::ApplySheet { sheet, .. } => {
                let digests: Vec<u64> = self.sheet_records.iter().map(|(_, r)| r.digest).collect();
                format!("sheet {} {digests:?}", sheet.exported)
            }
            Change::SetOverride(target) => format!("out {} {}", target.kind(), target.name()),
            Change::ClearOverride(target) => format!("in {} {}", target.kind(), target.name()),
            Change::Recover(replica) => format!("recover {}", replica.revision()),
        };
        format!("{requested}.{:08x}", stable_hash(&content) as u32).into()
    }

    /// Whether the changes between two heads touched the same part of the
    /// configuration as this change. If they did not, this change is retried
    /// on top of them.
    pub(crate) fn conflicts(&self, before: &Head, after: &Head) -> bool {
        match self.change {
            Change::ApplySheet { .. } => {
                before.exported != after.exported || before.records != after.records
            }
            Change::SetOverride(target) | Change::ClearOverride(target) => {
                before.override_of(target) != after.override_of(target)
            }
            Change::Recover(_) => before.revision != after.revision,
        }
    }

    /// Revision that the new head must exceed: that of the current head and,
    /// for a recovery, also that of the hosts, which ignore lower ones.
    pub(crate) fn revision_floor(&self, head: &Head) -> u64 {
        match self.change {
            Change::Recover(replica) => head.revision.max(replica.revision()),
            _ => head.revision,
        }
    }

    /// Records of the head that must be read to draft this change.
    pub(crate) fn required_records(&self, head: &Head) -> Vec<RecordRef> {
        let records = head.records.iter();
        match self.change {
            Change::ApplySheet { .. } => records
                .filter(|r| self.sheet_records.find_identical(r).is_none())
                .cloned()
                .collect(),
            Change::SetOverride(Target::Zone(_)) | Change::ClearOverride(Target::Zone(_)) => {
                records.filter(|r| &*r.name == BASE_RECORD).cloned().collect()
            }
            Change::SetOverride(Target::Server(name))
            | Change::ClearOverride(Target::Server(name)) => {
                records.filter(|r| may_contain_server(&r.name, name)).cloned().collect()
            }
            Change::Recover(_) => Vec::new(),
        }
    }

    /// Computes the new state. `fetched` are the records that
    /// [`PreparedChange::required_records`] returned.
    pub(crate) fn draft(
        &self,
        fetched: &[ConfigRecord],
        ctx: &DraftContext<'_>,
    ) -> Result<Draft, ChangeResult> {
        match self.change {
            Change::ApplySheet { sheet, confirmed_removals } => {
                sheet_draft(sheet, *confirmed_removals, &self.sheet_records, fetched, ctx)
            }
            Change::SetOverride(target) => override_draft(target, true, fetched, ctx),
            Change::ClearOverride(target) => override_draft(target, false, fetched, ctx),
            Change::Recover(replica) => recovery_draft(replica, ctx),
        }
    }
}
