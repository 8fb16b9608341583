//! Decides what a change makes of the configuration. No I/O.

use std::time::Duration;

use chervil_base::catalog::CatalogSpec;
use chervil_base::digest::stable_hash;
use chervil_base::value;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::diff::Diff;
use chervil_sheet::sheet::Sheet;
use chervil_sheet::time::ExportTime;

use crate::adopted::Adopted;
use crate::head::Head;
use crate::head::KEPT_OPERATIONS;
use crate::head::MAX_OPERATIONS;
use crate::head::Operation;
use crate::head::Override;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::BASE_RECORD;
use crate::records::RecordBody;
use crate::records::may_hold;
use crate::records::record_key;
use crate::records::split;
use crate::result::ChangeResult;

/// Most overrides; with more, the head would grow beyond what hosts should
/// pull with each change.
const MAX_OVERRIDES: usize = 4096;

/// How far an export time may be ahead of the operator's clock.
const MAX_AHEAD: Duration = Duration::from_secs(86_400);

/// Interval between sweeps of old records.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

value! {
    /// Change that an operator asks for.
    pub enum Change {
        /// Replace the sheet in force.
        Sheet {
            /// New sheet.
            sheet: Sheet,
            /// Number of removed servers that the operator confirmed.
            confirmed: Option<usize>,
        },
        /// Take a zone or a server out of service until it is brought back.
        Out(Target),
        /// End that.
        In(Target),
        /// Write back what a host holds, after the store came back older.
        Recover(Adopted),
    }

    /// Who makes a change, and when.
    pub(crate) struct Author {
        /// Operation id.
        pub(crate) id: Box<str>,
        /// Name of the operator.
        pub(crate) operator: Box<str>,
        /// Wall-clock time, in milliseconds since 1970.
        pub(crate) now_ms: u64,
    }

    /// State that a change leads to.
    pub(crate) struct Draft {
        /// New head.
        pub(crate) head: Head,
        /// Records to write before it.
        pub(crate) records: Vec<ConfigRecord>,
        /// Operations that must be in the history before the head is written,
        /// because it no longer lists them.
        pub(crate) archive: Vec<Operation>,
        /// Whether old records are to be swept afterwards.
        pub(crate) sweeps: bool,
    }
}

impl Change {
    /// Id under which the head lists this change. It depends on the content,
    /// so that an id given twice by mistake does not hide another change.
    pub(crate) fn operation_id(&self, given: &str) -> Box<str> {
        format!("{given}.{:08x}", stable_hash(&format!("{self:?}")) as u32).into()
    }

    /// Whether another change touched what this one is about. A change that
    /// lost a race to an unrelated one is repeated on top of it.
    pub(crate) fn conflicts(&self, before: &Head, after: &Head) -> bool {
        match self {
            Change::Sheet { .. } => {
                before.exported != after.exported || before.records != after.records
            }
            Change::Out(target) | Change::In(target) => {
                before.override_of(target) != after.override_of(target)
            }
            Change::Recover(_) => before.revision != after.revision,
        }
    }

    /// Revision that the change must exceed.
    pub(crate) fn floor(&self, head: &Head) -> u64 {
        match self {
            Change::Recover(adopted) => head.revision.max(adopted.revision()),
            _ => head.revision,
        }
    }

    /// Records of the head that are needed to decide.
    pub(crate) fn needs(&self, head: &Head) -> Result<Vec<RecordRef>, ChangeResult> {
        let records = head.records.iter();
        Ok(match self {
            Change::Sheet { sheet, .. } => {
                let new = split_sheet(sheet, 0)?;
                records.filter(|r| same(&new, r).is_none()).cloned().collect()
            }
            Change::Out(Target::Zone(_)) | Change::In(Target::Zone(_)) => {
                records.filter(|r| &*r.name == BASE_RECORD).cloned().collect()
            }
            Change::Out(Target::Server(name)) | Change::In(Target::Server(name)) => {
                records.filter(|r| may_hold(&r.name, name)).cloned().collect()
            }
            Change::Recover(_) => Vec::new(),
        })
    }

    /// State that the change leads to at `revision`; `found` are the records
    /// that [`Change::needs`] named.
    pub(crate) fn draft(
        &self,
        head: &Head,
        found: &[ConfigRecord],
        author: &Author,
        revision: u64,
    ) -> Result<Draft, ChangeResult> {
        match self {
            Change::Sheet { sheet, confirmed } => {
                sheet_draft(sheet, *confirmed, head, found, author, revision)
            }
            Change::Out(target) => override_draft(target, true, head, found, author, revision),
            Change::In(target) => override_draft(target, false, head, found, author, revision),
            Change::Recover(adopted) => recovery_draft(adopted, head, author, revision),
        }
    }
}

fn sheet_draft(
    sheet: &Sheet,
    confirmed: Option<usize>,
    head: &Head,
    found: &[ConfigRecord],
    author: &Author,
    revision: u64,
) -> Result<Draft, ChangeResult> {
    check_export(sheet.exported, head.exported, author.now_ms)?;
    let split = split_sheet(sheet, revision)?;
    let old = old_catalog(&split, head, found)?;
    let diff = Diff::new(&old, &sheet.catalog);
    if diff.is_empty() && head.exported == Some(sheet.exported) {
        return Err(ChangeResult::Unchanged { revision: head.revision });
    }
    check_removals(&diff, confirmed)?;
    let mut next = head.clone();
    next.exported = Some(sheet.exported);
    next.records = Vec::new();
    let mut records = Vec::new();
    for record in split {
        match head.records.iter().find(|r| is_same(&record, r)) {
            Some(kept) => next.records.push(kept.clone()),
            None => {
                next.records.push(RecordRef::new(&record));
                records.push(record);
            }
        }
    }
    let summary = format!("sheet of {}: {}", sheet.exported, diff.summary());
    Ok(finish(next, records, author, revision, &summary))
}

fn check_export(
    offered: ExportTime,
    current: Option<ExportTime>,
    now_ms: u64,
) -> Result<(), ChangeResult> {
    if offered.seconds() > now_ms / 1000 + MAX_AHEAD.as_secs() {
        return Err(ChangeResult::FutureExport { offered });
    }
    match current.filter(|c| *c > offered) {
        Some(current) => Err(ChangeResult::OlderExport { offered, current }),
        None => Ok(()),
    }
}

fn check_removals(diff: &Diff, confirmed: Option<usize>) -> Result<(), ChangeResult> {
    let removed = diff.removed_servers();
    let removals: Vec<_> = diff.removals.iter().filter(|r| r.is_large()).cloned().collect();
    if removals.is_empty() || confirmed == Some(removed) {
        return Ok(());
    }
    Err(ChangeResult::NeedsConfirmation { removed, removals })
}

/// Catalog before the change: records that the new sheet leaves as they are
/// need not be read.
fn old_catalog(
    new: &[ConfigRecord],
    head: &Head,
    found: &[ConfigRecord],
) -> Result<CatalogSpec, ChangeResult> {
    let kept = head.records.iter().filter_map(|r| same(new, r));
    let mut catalog = CatalogSpec::default();
    for record in kept.chain(found) {
        let body = parse(record)?;
        catalog.zones.extend(body.zones);
        catalog.services.extend(body.services);
        catalog.servers.extend(body.servers);
    }
    Ok(catalog)
}

fn override_draft(
    target: &Target,
    out: bool,
    head: &Head,
    found: &[ConfigRecord],
    author: &Author,
    revision: u64,
) -> Result<Draft, ChangeResult> {
    let is_set = head.override_of(target).is_some();
    if !is_set && !is_declared(target, found)? {
        return Err(ChangeResult::NotDeclared { target: target.clone() });
    }
    if is_set == out {
        return Err(ChangeResult::Unchanged { revision: head.revision });
    }
    let mut next = head.clone();
    if out {
        let count = head.overrides.len();
        if count >= MAX_OVERRIDES {
            return Err(ChangeResult::TooManyOverrides { count });
        }
        next.overrides.push(Override { target: target.clone(), revision });
        next.overrides.sort_by(|a, b| a.target.cmp(&b.target));
    } else {
        next.overrides.retain(|o| o.target != *target);
    }
    let action = match (target, out) {
        (Target::Zone(_), true) => "taken out",
        (Target::Zone(_), false) => "brought back",
        (Target::Server(_), true) => "drained",
        (Target::Server(_), false) => "undrained",
    };
    let summary = format!("{} {} {action}", target.kind(), target.name());
    Ok(finish(next, Vec::new(), author, revision, &summary))
}

/// Keeps the content that hosts hold, under a revision that is new to both
/// sides. Records get new keys: those of the hosts may hold something else in
/// the store.
fn recovery_draft(
    adopted: &Adopted,
    head: &Head,
    author: &Author,
    revision: u64,
) -> Result<Draft, ChangeResult> {
    let held = adopted.head().filter(|h| h.revision > head.revision);
    let held = held.ok_or(ChangeResult::Unchanged { revision: head.revision })?;
    let rekeyed = adopted.records().map(|r| ConfigRecord { revision, ..r.clone() });
    let records: Vec<ConfigRecord> = rekeyed.collect();
    let refs = records.iter().map(RecordRef::new).collect();
    let next = Head { records: refs, ..held.clone() };
    let summary = format!("revision {} written back from a host", held.revision);
    let mut draft = finish(next, records, author, revision, &summary);
    draft.archive = held.operations.clone();
    Ok(draft)
}

fn is_declared(target: &Target, found: &[ConfigRecord]) -> Result<bool, ChangeResult> {
    for record in found {
        let body = parse(record)?;
        let known = match target {
            Target::Zone(name) => body.zones.iter().any(|z| z.name == *name),
            Target::Server(name) => body.servers.iter().any(|s| s.name == *name),
        };
        if known {
            return Ok(true);
        }
    }
    Ok(false)
}

fn finish(
    mut head: Head,
    records: Vec<ConfigRecord>,
    author: &Author,
    revision: u64,
    summary: &str,
) -> Draft {
    head.revision = revision;
    let mut archive = Vec::new();
    if head.operations.len() >= MAX_OPERATIONS {
        archive = head.operations.clone();
        head.operations.drain(..head.operations.len() - KEPT_OPERATIONS);
    }
    head.operations.push(Operation {
        id: author.id.clone(),
        revision,
        time_ms: author.now_ms,
        operator: author.operator.clone(),
        summary: summary.into(),
    });
    let age = author.now_ms.saturating_sub(head.swept_ms);
    let sweeps = u128::from(age) >= SWEEP_INTERVAL.as_millis();
    if sweeps {
        head.swept_ms = author.now_ms;
    }
    Draft { head, records, archive, sweeps }
}

/// The new record that has the name and content of an old one.
fn same<'a>(new: &'a [ConfigRecord], old: &RecordRef) -> Option<&'a ConfigRecord> {
    new.iter().find(|n| is_same(n, old))
}

fn is_same(new: &ConfigRecord, old: &RecordRef) -> bool {
    new.name == old.name && RecordRef::new(new).digest == old.digest
}

fn split_sheet(sheet: &Sheet, revision: u64) -> Result<Vec<ConfigRecord>, ChangeResult> {
    split(&sheet.catalog, revision).map_err(|e| damaged("sheet", &e))
}

fn parse(record: &ConfigRecord) -> Result<RecordBody, ChangeResult> {
    let key = record_key(&record.name, record.revision);
    serde_json::from_str(&record.body).map_err(|e| damaged(&key, &e))
}

pub(crate) fn damaged(key: &str, error: &serde_json::Error) -> ChangeResult {
    ChangeResult::Damaged { key: key.into(), reason: error.to_string().into() }
}
