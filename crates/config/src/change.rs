//! Changes that operators ask for.

use chervil_base::digest::stable_hash;
use chervil_base::value;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::sheet::Sheet;

use crate::draft::Draft;
use crate::draft::Step;
use crate::draft::damaged;
use crate::draft::override_draft;
use crate::draft::recovery_draft;
use crate::draft::sheet_draft;
use crate::head::Head;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::BASE_RECORD;
use crate::records::Split;
use crate::records::may_hold;
use crate::replica::ConfigReplica;
use crate::result::ChangeResult;

value! {
    /// Change that an operator asks for.
    pub enum Change {
        /// Replace the sheet in force.
        ApplySheet {
            /// New sheet.
            sheet: Sheet,
            /// Number of removed servers that the operator confirmed.
            confirmed_removals: Option<usize>,
        },
        /// Take a zone or a server out of service until it is brought back.
        SetOverride(Target),
        /// End that.
        ClearOverride(Target),
        /// Write back what a host holds, after the store came back older.
        Recover(ConfigReplica),
    }

    /// Change with what is computed once for all attempts.
    pub(crate) struct Prepared<'a> {
        change: &'a Change,
        /// Records of a sheet; none for other changes.
        split: Split,
    }
}

impl Change {
    pub(crate) fn prepare(&self) -> Result<Prepared<'_>, ChangeResult> {
        let split = match self {
            Change::ApplySheet { sheet, .. } => Split::new(&sheet.catalog),
            _ => Ok(Split::default()),
        };
        Ok(Prepared { change: self, split: split.map_err(|e| damaged("sheet", &e))? })
    }
}

impl Prepared<'_> {
    /// Id under which the head lists this change. It depends on the content,
    /// so that an id given twice by mistake does not hide another change.
    pub(crate) fn operation_id(&self, given: &str) -> Box<str> {
        let content = match self.change {
            Change::ApplySheet { sheet, .. } => {
                let digests: Vec<u64> = self.split.iter().map(|(_, r)| r.digest).collect();
                format!("sheet {} {digests:?}", sheet.exported)
            }
            Change::SetOverride(target) => format!("out {} {}", target.kind(), target.name()),
            Change::ClearOverride(target) => format!("in {} {}", target.kind(), target.name()),
            Change::Recover(adopted) => format!("recover {}", adopted.revision()),
        };
        format!("{given}.{:08x}", stable_hash(&content) as u32).into()
    }

    /// Whether another change touched what this one is about. A change that
    /// lost a race to an unrelated one is repeated on top of it.
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

    /// Revision that the change must exceed.
    pub(crate) fn floor(&self, head: &Head) -> u64 {
        match self.change {
            Change::Recover(adopted) => head.revision.max(adopted.revision()),
            _ => head.revision,
        }
    }

    /// Records of the head that are needed to decide.
    pub(crate) fn needs(&self, head: &Head) -> Vec<RecordRef> {
        let records = head.records.iter();
        match self.change {
            Change::ApplySheet { .. } => {
                records.filter(|r| self.split.same(r).is_none()).cloned().collect()
            }
            Change::SetOverride(Target::Zone(_)) | Change::ClearOverride(Target::Zone(_)) => {
                records.filter(|r| &*r.name == BASE_RECORD).cloned().collect()
            }
            Change::SetOverride(Target::Server(name))
            | Change::ClearOverride(Target::Server(name)) => {
                records.filter(|r| may_hold(&r.name, name)).cloned().collect()
            }
            Change::Recover(_) => Vec::new(),
        }
    }

    /// State that the change leads to; `found` are the records that
    /// [`Prepared::needs`] named.
    pub(crate) fn draft(
        &self,
        found: &[ConfigRecord],
        base: &Step<'_>,
    ) -> Result<Draft, ChangeResult> {
        match self.change {
            Change::ApplySheet { sheet, confirmed_removals } => {
                sheet_draft(sheet, *confirmed_removals, &self.split, found, base)
            }
            Change::SetOverride(target) => override_draft(target, true, found, base),
            Change::ClearOverride(target) => override_draft(target, false, found, base),
            Change::Recover(adopted) => recovery_draft(adopted, base),
        }
    }
}
