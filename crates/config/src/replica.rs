//! Replica of the configuration that each host keeps in memory.

use std::collections::BTreeMap;
use std::sync::Arc;

use chervil_base::HashSet;
use chervil_base::catalog::CatalogSpec;
use chervil_rpc::agent::ConfigRecord;
use chervil_rpc::agent::StateDelta;
use snafu::ResultExt as _;
use snafu::ensure;

use crate::error::ConfigError;
use crate::error::InvalidHeadSnafu;
use crate::error::InvalidRecordSnafu;
use crate::error::MissingRecordsSnafu;
use crate::head::Head;
use crate::head::RecordRef;
use crate::head::Target;
use crate::records::RecordBody;

/// Host's replica of the configuration. Its revision only increases: a received
/// state that is not newer or not complete leaves it unchanged. Clones are
/// cheap, since they share the parsed head and records.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct ConfigReplica {
    head: Option<Arc<ParsedHead>>,
    records: BTreeMap<Box<str>, Arc<ParsedRecord>>,
}

/// Head with the text that it was parsed from, which is passed on to others.
#[derive(Debug, PartialEq)]
struct ParsedHead {
    text: Box<str>,
    head: Head,
}

/// Record with the hash of its text and the parsed body.
#[derive(Debug, PartialEq)]
struct ParsedRecord {
    record: ConfigRecord,
    digest: u64,
    body: RecordBody,
}

impl ConfigReplica {
    /// Creates an empty replica, at revision 0.
    pub fn new() -> ConfigReplica {
        ConfigReplica::default()
    }

    /// Revision of the head; 0 before the first one.
    pub fn revision(&self) -> u64 {
        self.head().map_or(0, |h| h.revision)
    }

    /// Head in force; `None` before the first one.
    pub fn head(&self) -> Option<&Head> {
        self.head.as_ref().map(|h| &h.head)
    }

    /// Applies a received state if it is newer and, together with the records
    /// of the replica, complete. Returns whether the revision increased.
    ///
    /// # Errors
    ///
    /// Fails when the head or a record cannot be parsed or records are missing.
    /// The replica stays unchanged then.
    pub fn apply(&mut self, update: &StateDelta) -> Result<bool, ConfigError> {
        let Some(text) = &update.head else { return Ok(false) };
        let head: Head = serde_json::from_str(text).context(InvalidHeadSnafu)?;
        if head.revision <= self.revision() {
            return Ok(false);
        }
        self.records = self.resolve_records(&head, &update.records)?;
        self.head = Some(Arc::new(ParsedHead { text: text.clone(), head }));
        Ok(true)
    }

    /// Returns the head and the records that changed after `revision`; empty
    /// when the replica is not newer.
    pub fn delta_since(&self, revision: u64) -> StateDelta {
        let Some(newer) = self.head.as_ref().filter(|h| h.head.revision > revision) else {
            return StateDelta::default();
        };
        let changed = self.records.values().filter(|r| r.record.revision > revision);
        let records = changed.map(|r| r.record.clone()).collect();
        StateDelta { head: Some(newer.text.clone()), records, members: None }
    }

    /// Catalog of the sheet in force with the overrides applied.
    pub fn effective_catalog(&self) -> CatalogSpec {
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

    /// Catalog as declared by the sheet in force, without overrides.
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
        self.records.values().map(|r| &r.record)
    }

    /// Whether the replica has the referenced record with the same content.
    pub(crate) fn has_record(&self, reference: &RecordRef) -> bool {
        self.find_record(reference).is_some()
    }

    fn find_record(&self, reference: &RecordRef) -> Option<&Arc<ParsedRecord>> {
        let found = self.records.get(&reference.name);
        found.filter(|r| r.record.revision == reference.revision && r.digest == reference.digest)
    }

    /// Finds all records of `head`, in this replica or among those received.
    /// The digest is compared as well, because after a restore of the store a
    /// record of the same revision may have other content.
    fn resolve_records(
        &self,
        head: &Head,
        received: &[ConfigRecord],
    ) -> Result<BTreeMap<Box<str>, Arc<ParsedRecord>>, ConfigError> {
        let received: BTreeMap<&str, &ConfigRecord> =
            received.iter().map(|r| (&*r.name, r)).collect();
        let mut records = BTreeMap::new();
        let mut missing: Vec<&RecordRef> = Vec::new();
        for reference in &head.records {
            let new = received.get(&*reference.name).filter(|r| reference.matches(r));
            let record = match (self.find_record(reference), new) {
                (Some(present), _) => present.clone(),
                (None, Some(new)) => parse_record(new, reference.digest)?,
                (None, None) => {
                    missing.push(reference);
                    continue;
                }
            };
            records.insert(reference.name.clone(), record);
        }
        let first = missing.first().map_or("none", |r| &r.name);
        let revision = head.revision;
        ensure!(
            missing.is_empty(),
            MissingRecordsSnafu { revision, missing: missing.len(), first }
        );
        Ok(records)
    }
}

fn parse_record(record: &ConfigRecord, digest: u64) -> Result<Arc<ParsedRecord>, ConfigError> {
    let name = &record.name;
    let body =
        serde_json::from_str(&record.body).context(InvalidRecordSnafu { name: name.clone() })?;
    Ok(Arc::new(ParsedRecord { record: record.clone(), digest, body }))
}
