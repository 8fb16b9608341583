//! A host's copy of the configuration.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervil_base::HashSet;
use chervil_base::catalog::CatalogSpec;
use chervil_rpc::agent::ConfigRecord;
use chervil_rpc::agent::StateDelta;
use snafu::ResultExt as _;
use snafu::ensure;

use crate::error::ConfigError;
use crate::error::HeadSnafu;
use crate::error::IncompleteSnafu;
use crate::error::RecordSnafu;
use crate::head::Head;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::RecordBody;

/// Configuration that a host has adopted. Its revision only grows: a state
/// that is not newer, or that is not complete, changes nothing. Clones share
/// their content.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Adopted {
    head: Option<Arc<HeldHead>>,
    records: BTreeMap<Box<str>, Arc<HeldRecord>>,
}

#[derive(Debug, PartialEq)]
struct HeldHead {
    text: Box<str>,
    head: Head,
}

#[derive(Debug, PartialEq)]
struct HeldRecord {
    record: ConfigRecord,
    digest: u64,
    body: RecordBody,
}

impl Adopted {
    /// A copy without any configuration, at revision 0.
    pub fn new() -> Adopted {
        Adopted::default()
    }

    /// Revision in force.
    pub fn revision(&self) -> u64 {
        self.head().map_or(0, |h| h.revision)
    }

    /// Head in force.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref().map(|h| &h.head)
    }

    /// Adopts an offered state if it is newer and, together with what is held,
    /// complete. Returns whether the revision grew.
    pub fn apply(&mut self, offer: &StateDelta) -> Result<bool, ConfigError> {
        let Some(text) = &offer.head else { return Ok(false) };
        let head: Head = serde_json::from_str(text).context(HeadSnafu)?;
        if head.revision <= self.revision() {
            return Ok(false);
        }
        self.records = self.assemble(&head, &offer.records)?;
        self.head = Some(Arc::new(HeldHead { text: text.clone(), head }));
        Ok(true)
    }

    /// What a host at `revision` lacks; empty when it lacks nothing.
    pub fn newer_than(&self, revision: u64) -> StateDelta {
        let Some(held) = self.head.as_ref().filter(|h| h.head.revision > revision) else {
            return StateDelta::default();
        };
        let newer = self.records.values().filter(|r| r.record.revision > revision);
        let records = newer.map(|r| r.record.clone()).collect();
        StateDelta { head: Some(held.text.clone()), records, members: None }
    }

    /// Catalog in force, with overrides applied.
    pub fn catalog(&self) -> CatalogSpec {
        let mut catalog = self.sheet_catalog();
        let overrides = self.head().into_iter().flat_map(|h| &h.overrides);
        let mut zones: HashSet<&str> = HashSet::default();
        let mut servers: HashSet<&str> = HashSet::default();
        for o in overrides {
            match &o.target {
                Target::Zone(name) => zones.insert(name),
                Target::Server(name) => servers.insert(name),
            };
        }
        for z in &mut catalog.zones {
            z.in_service &= !zones.contains(&*z.name);
        }
        for s in &mut catalog.servers {
            s.in_service &= !servers.contains(&*s.name);
        }
        catalog
    }

    /// Catalog as the sheet declares it, without overrides.
    pub fn sheet_catalog(&self) -> CatalogSpec {
        let mut catalog = CatalogSpec { revision: self.revision(), ..CatalogSpec::default() };
        for r in self.records.values() {
            catalog.zones.extend_from_slice(&r.body.zones);
            catalog.services.extend_from_slice(&r.body.services);
            catalog.servers.extend_from_slice(&r.body.servers);
        }
        catalog.servers.sort_by(|a, b| a.name.cmp(&b.name));
        catalog
    }

    /// Records in force, sorted by name.
    pub(crate) fn records(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.records.values().map(|h| &h.record)
    }

    /// Whether the record that `reference` means is held.
    pub(crate) fn holds(&self, reference: &RecordRef) -> bool {
        self.held(reference).is_some()
    }

    fn held(&self, reference: &RecordRef) -> Option<&Arc<HeldRecord>> {
        let held = self.records.get(&reference.name);
        held.filter(|h| h.record.revision == reference.revision && h.digest == reference.digest)
    }

    fn assemble(
        &self,
        head: &Head,
        offered: &[ConfigRecord],
    ) -> Result<BTreeMap<Box<str>, Arc<HeldRecord>>, ConfigError> {
        let offered: BTreeMap<&str, &ConfigRecord> =
            offered.iter().map(|r| (&*r.name, r)).collect();
        let mut records = BTreeMap::new();
        let mut missing: Vec<&RecordRef> = Vec::new();
        for reference in &head.records {
            let new = offered.get(&*reference.name).filter(|r| reference.matches(r));
            let record = match (self.held(reference), new) {
                (Some(held), _) => held.clone(),
                (None, Some(new)) => parse(new, reference.digest)?,
                (None, None) => {
                    missing.push(reference);
                    continue;
                }
            };
            records.insert(reference.name.clone(), record);
        }
        let first = missing.first().map_or("none", |r| &r.name);
        let revision = head.revision;
        ensure!(missing.is_empty(), IncompleteSnafu { revision, missing: missing.len(), first });
        Ok(records)
    }
}

fn parse(record: &ConfigRecord, digest: u64) -> Result<Arc<HeldRecord>, ConfigError> {
    let name = &record.name;
    let body = serde_json::from_str(&record.body).context(RecordSnafu { name: name.clone() })?;
    Ok(Arc::new(HeldRecord { record: record.clone(), digest, body }))
}
