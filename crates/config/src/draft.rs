//! Decides what a change makes of the configuration. No I/O.

use std::time::Duration;

use chervil_base::catalog::CatalogSpec;
use chervil_base::value;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::diff::Diff;
use chervil_sheet::sheet::Sheet;
use chervil_sheet::time::ExportTime;

use crate::head::Head;
use crate::head::KEPT_OPERATIONS;
use crate::head::MAX_OPERATIONS;
use crate::head::Operation;
use crate::head::Override;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::RecordBody;
use crate::records::Split;
use crate::records::record_key;
use crate::replica::ConfigReplica;
use crate::result::ChangeResult;

/// Most overrides; with more, the head would grow beyond what hosts should
/// pull with each change.
const MAX_OVERRIDES: usize = 4096;

/// How far an export time may be ahead of the operator's clock.
const MAX_AHEAD: Duration = Duration::from_secs(86_400);

/// Interval between sweeps of old records.
pub(crate) const SWEEP_INTERVAL: Duration = Duration::from_secs(600);

value! {
    /// Who makes a change, and when.
    pub(crate) struct Author {
        /// Operation id.
        pub(crate) id: Box<str>,
        /// Name of the operator.
        pub(crate) operator: Box<str>,
        /// Wall-clock time, in milliseconds since 1970.
        pub(crate) now_ms: u64,
    }

    /// What a draft is based on.
    pub(crate) struct Step<'a> {
        /// Head before the change.
        pub(crate) head: &'a Head,
        /// Who makes it.
        pub(crate) author: &'a Author,
        /// Revision of the new head and records.
        pub(crate) revision: u64,
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

/// State after the sheet replaces the one in force; `split` are its records,
/// and `found` those of the head that differ from them.
pub(crate) fn sheet_draft(
    sheet: &Sheet,
    confirmed_removals: Option<usize>,
    split: &Split,
    found: &[ConfigRecord],
    base: &Step<'_>,
) -> Result<Draft, ChangeResult> {
    let head = base.head;
    check_export(sheet.exported, head.exported, base.author.now_ms)?;
    let old = old_catalog(split, head, found)?;
    let diff = Diff::new(&old, &sheet.catalog);
    if diff.is_empty() && head.exported == Some(sheet.exported) {
        return Err(ChangeResult::Unchanged { revision: head.revision });
    }
    check_removals(&diff, confirmed_removals)?;
    let mut next = head.clone();
    next.exported = Some(sheet.exported);
    next.records = Vec::new();
    let mut records = Vec::new();
    for (record, reference) in split.iter() {
        let same = |r: &&RecordRef| r.name == reference.name && r.digest == reference.digest;
        match head.records.iter().find(same) {
            Some(kept) => next.records.push(kept.clone()),
            None => {
                let revision = base.revision;
                next.records.push(RecordRef { revision, ..reference.clone() });
                records.push(ConfigRecord { revision, ..record.clone() });
            }
        }
    }
    let summary = format!("sheet of {}: {}", sheet.exported, diff.summary());
    Ok(finish(next, records, base, &summary))
}

fn check_export(
    offered: ExportTime,
    current: Option<ExportTime>,
    now_ms: u64,
) -> Result<(), ChangeResult> {
    if offered.unix_secs() > now_ms / 1000 + MAX_AHEAD.as_secs() {
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

/// Catalog before the change: records that the new sheet leaves as they are
/// need not be read.
fn old_catalog(
    split: &Split,
    head: &Head,
    found: &[ConfigRecord],
) -> Result<CatalogSpec, ChangeResult> {
    let kept = head.records.iter().filter_map(|r| split.same(r));
    let mut catalog = CatalogSpec::default();
    for record in kept.chain(found) {
        let body = parse(record)?;
        catalog.zones.extend(body.zones);
        catalog.services.extend(body.services);
        catalog.servers.extend(body.servers);
    }
    Ok(catalog)
}

/// State after an operator decided about `target`; `found` are the records
/// that may declare it.
pub(crate) fn override_draft(
    target: &Target,
    out: bool,
    found: &[ConfigRecord],
    base: &Step<'_>,
) -> Result<Draft, ChangeResult> {
    let head = base.head;
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
        next.overrides.push(Override { target: target.clone(), revision: base.revision });
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
    Ok(finish(next, Vec::new(), base, &summary))
}

/// Keeps the content that hosts hold, under a revision that is new to both
/// sides. Records get new keys: those of the hosts may hold something else in
/// the store.
pub(crate) fn recovery_draft(
    adopted: &ConfigReplica,
    base: &Step<'_>,
) -> Result<Draft, ChangeResult> {
    let (head, revision) = (base.head, base.revision);
    let held = adopted.head().filter(|h| h.revision > head.revision);
    let held = held.ok_or(ChangeResult::Unchanged { revision: head.revision })?;
    let rekeyed = adopted.records().map(|r| ConfigRecord { revision, ..r.clone() });
    let records: Vec<ConfigRecord> = rekeyed.collect();
    let refs = records.iter().map(RecordRef::new).collect();
    let next = Head { records: refs, ..held.clone() };
    let summary = format!("revision {} written back from a host", held.revision);
    let mut draft = finish(next, records, base, &summary);
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

fn finish(mut head: Head, records: Vec<ConfigRecord>, base: &Step<'_>, summary: &str) -> Draft {
    let (author, revision) = (base.author, base.revision);
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

fn parse(record: &ConfigRecord) -> Result<RecordBody, ChangeResult> {
    let key = record_key(&record.name, record.revision);
    serde_json::from_str(&record.body).map_err(|e| damaged(&key, &e))
}

pub(crate) fn damaged(key: &str, error: &serde_json::Error) -> ChangeResult {
    ChangeResult::Damaged { key: key.into(), reason: error.to_string().into() }
}
