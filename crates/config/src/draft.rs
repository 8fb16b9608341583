//! Computes the configuration that results from a change. No I/O.

use std::time::Duration;

use chervil_base::catalog::CatalogSpec;
use chervil_base::value;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::diff::Diff;
use chervil_sheet::sheet::Sheet;
use chervil_sheet::time::ExportTime;

use crate::head::Head;
use crate::head::MAX_HEAD_OPERATIONS;
use crate::head::Operation;
use crate::head::Override;
use crate::head::RETAINED_HEAD_OPERATIONS;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::RecordBody;
use crate::records::SheetRecords;
use crate::records::record_key;
use crate::replica::ConfigReplica;
use crate::result::ChangeResult;

/// Maximum number of overrides. More would make the head too large, which every
/// host pulls with each change.
const MAX_OVERRIDES: usize = 4096;

/// How far the export time of a sheet may be ahead of the operator's clock.
const MAX_EXPORT_AHEAD: Duration = Duration::from_secs(86_400);

/// Minimum interval between sweeps of unreferenced records.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

value! {
    /// Id, author and time of a change.
    pub(crate) struct OperationInfo {
        /// Operation id, including the hash of the change.
        pub(crate) id: Box<str>,
        /// Name of the operator.
        pub(crate) operator: Box<str>,
        /// Wall-clock time, in milliseconds since 1970.
        pub(crate) now_ms: u64,
    }

    /// What a draft is based on.
    pub(crate) struct DraftContext<'a> {
        /// Head before the change.
        pub(crate) head: &'a Head,
        /// Id, author and time of the change.
        pub(crate) operation: &'a OperationInfo,
        /// Revision of the new head and records.
        pub(crate) revision: u64,
    }

    /// State that results from a change.
    pub(crate) struct Draft {
        /// New head.
        pub(crate) head: Head,
        /// New records, to be written before the head that refers to them.
        pub(crate) records: Vec<ConfigRecord>,
        /// Operations to be added to the history before the head is written,
        /// because the new head no longer lists them.
        pub(crate) archive: Vec<Operation>,
        /// Whether unreferenced records are to be swept afterwards.
        pub(crate) sweep_due: bool,
    }
}

/// Replaces the sheet in force. `sheet_records` are the records of the new
/// sheet, and `fetched` those of the head that differ from them.
pub(crate) fn sheet_draft(
    sheet: &Sheet,
    confirmed_removals: Option<usize>,
    sheet_records: &SheetRecords,
    fetched: &[ConfigRecord],
    ctx: &DraftContext<'_>,
) -> Result<Draft, ChangeResult> {
    let head = ctx.head;
    check_export(sheet.exported, head.exported, ctx.operation.now_ms)?;
    let old = current_catalog(sheet_records, head, fetched)?;
    let diff = Diff::new(&old, &sheet.catalog);
    if diff.is_empty() && head.exported == Some(sheet.exported) {
        return Err(ChangeResult::Unchanged { revision: head.revision });
    }
    check_removals(&diff, confirmed_removals)?;
    let mut next = head.clone();
    next.exported = Some(sheet.exported);
    next.records = Vec::new();
    let mut records = Vec::new();
    for (record, reference) in sheet_records.iter() {
        let identical = |r: &&RecordRef| r.name == reference.name && r.digest == reference.digest;
        match head.records.iter().find(identical) {
            Some(kept) => next.records.push(kept.clone()),
            None => {
                let revision = ctx.revision;
                next.records.push(RecordRef { revision, ..reference.clone() });
                records.push(ConfigRecord { revision, ..record.clone() });
            }
        }
    }
    let summary = format!("sheet of {}: {}", sheet.exported, diff.summary());
    Ok(finish_draft(next, records, ctx, &summary))
}

fn check_export(
    offered: ExportTime,
    current: Option<ExportTime>,
    now_ms: u64,
) -> Result<(), ChangeResult> {
    if offered.unix_secs() > now_ms / 1000 + MAX_EXPORT_AHEAD.as_secs() {
        return Err(ChangeResult::FutureExport { offered });
    }
    match current.filter(|c| *c > offered) {
        Some(current) => Err(ChangeResult::OlderExport { offered, current }),
        None => Ok(()),
    }
}

fn check_removals(diff: &Diff, confirmed_removals: Option<usize>) -> Result<(), ChangeResult> {
    let removed = diff.removed_servers();
    let removals: Vec<_> = diff.removals.iter().filter(|r| r.is_large()).cloned().collect();
    if removals.is_empty() || confirmed_removals == Some(removed) {
        return Ok(());
    }
    Err(ChangeResult::NeedsConfirmation { removed, removals })
}

/// Builds the catalog before the change. Records that the new sheet leaves
/// unchanged are taken from it instead of being read from the store.
fn current_catalog(
    sheet_records: &SheetRecords,
    head: &Head,
    fetched: &[ConfigRecord],
) -> Result<CatalogSpec, ChangeResult> {
    let kept = head.records.iter().filter_map(|r| sheet_records.find_identical(r));
    let mut catalog = CatalogSpec::default();
    for record in kept.chain(fetched) {
        let body = parse_body(record)?;
        catalog.zones.extend(body.zones);
        catalog.services.extend(body.services);
        catalog.servers.extend(body.servers);
    }
    Ok(catalog)
}

/// Sets or clears the override of `target`. `fetched` are the records that may
/// declare it; an override that is set may be cleared although the sheet no
/// longer declares its target.
pub(crate) fn override_draft(
    target: &Target,
    set: bool,
    fetched: &[ConfigRecord],
    ctx: &DraftContext<'_>,
) -> Result<Draft, ChangeResult> {
    let head = ctx.head;
    let is_set = head.override_of(target).is_some();
    if !is_set && !is_declared(target, fetched)? {
        return Err(ChangeResult::NotDeclared { target: target.clone() });
    }
    if is_set == set {
        return Err(ChangeResult::Unchanged { revision: head.revision });
    }
    let mut next = head.clone();
    if set {
        let count = head.overrides.len();
        if count >= MAX_OVERRIDES {
            return Err(ChangeResult::TooManyOverrides { count });
        }
        next.overrides.push(Override { target: target.clone(), revision: ctx.revision });
        next.overrides.sort_by(|a, b| a.target.cmp(&b.target));
    } else {
        next.overrides.retain(|o| o.target != *target);
    }
    let action = match (target, set) {
        (Target::Zone(_), true) => "taken out",
        (Target::Zone(_), false) => "brought back",
        (Target::Server(_), true) => "drained",
        (Target::Server(_), false) => "undrained",
    };
    let summary = format!("{} {} {action}", target.kind(), target.name());
    Ok(finish_draft(next, Vec::new(), ctx, &summary))
}

/// Writes the content of a host's replica back under a revision that neither
/// the hosts nor the store have used. The records get new keys, because the
/// keys of the replica may have other content in the store.
pub(crate) fn recovery_draft(
    replica: &ConfigReplica,
    ctx: &DraftContext<'_>,
) -> Result<Draft, ChangeResult> {
    let (head, revision) = (ctx.head, ctx.revision);
    let newer = replica.head().filter(|h| h.revision > head.revision);
    let held = newer.ok_or(ChangeResult::Unchanged { revision: head.revision })?;
    let rekeyed = replica.records().map(|r| ConfigRecord { revision, ..r.clone() });
    let records: Vec<ConfigRecord> = rekeyed.collect();
    let refs = records.iter().map(RecordRef::new).collect();
    let next = Head { records: refs, ..held.clone() };
    let summary = format!("revision {} written back from a host", held.revision);
    let mut draft = finish_draft(next, records, ctx, &summary);
    draft.archive = held.operations.clone();
    Ok(draft)
}

fn is_declared(target: &Target, fetched: &[ConfigRecord]) -> Result<bool, ChangeResult> {
    for record in fetched {
        let body = parse_body(record)?;
        let declared = match target {
            Target::Zone(name) => body.zones.iter().any(|z| z.name == *name),
            Target::Server(name) => body.servers.iter().any(|s| s.name == *name),
        };
        if declared {
            return Ok(true);
        }
    }
    Ok(false)
}

/// Completes the new head with revision, operation and sweep time, and moves
/// operations to the archive when the head lists too many.
fn finish_draft(
    mut head: Head,
    records: Vec<ConfigRecord>,
    ctx: &DraftContext<'_>,
    summary: &str,
) -> Draft {
    let (operation, revision) = (ctx.operation, ctx.revision);
    head.revision = revision;
    let mut archive = Vec::new();
    if head.operations.len() >= MAX_HEAD_OPERATIONS {
        archive = head.operations.clone();
        head.operations.drain(..head.operations.len() - RETAINED_HEAD_OPERATIONS);
    }
    head.operations.push(Operation {
        id: operation.id.clone(),
        revision,
        time_ms: operation.now_ms,
        operator: operation.operator.clone(),
        summary: summary.into(),
    });
    let age = operation.now_ms.saturating_sub(head.swept_ms);
    let sweep_due = u128::from(age) >= SWEEP_INTERVAL.as_millis();
    if sweep_due {
        head.swept_ms = operation.now_ms;
    }
    Draft { head, records, archive, sweep_due }
}

fn parse_body(record: &ConfigRecord) -> Result<RecordBody, ChangeResult> {
    let key = record_key(&record.name, record.revision);
    serde_json::from_str(&record.body).map_err(|e| damaged(&key, &e))
}

pub(crate) fn damaged(key: &str, error: &serde_json::Error) -> ChangeResult {
    ChangeResult::Damaged { key: key.into(), reason: error.to_string().into() }
}
