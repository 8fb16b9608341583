//! Division of a catalog into records that each hold few servers.

use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_rpc::agent::ConfigRecord;

use crate::head::RecordRef;

/// Most servers in one record.
pub const MAX_SERVERS_PER_RECORD: usize = 64;

/// Prefix of the keys of all records.
pub const RECORD_PREFIX: &str = "config/record/";

/// Name of the record of zones and services.
pub(crate) const BASE_RECORD: &str = "base";

/// Start of the names of server records; bits of the name's hash follow.
const SERVER_RECORD: &str = "s";

/// Bits of a hash that can tell servers apart.
const HASH_BITS: usize = 64;

message! {
    /// Content of a record.
    #[derive(Default, Eq)]
    #[serde(default)]
    pub struct RecordBody {
        /// Availability zones, sorted by name.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub zones: Vec<ZoneSpec>,
        /// Services, sorted by name.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub services: Vec<ServiceSpec>,
        /// Servers, sorted by name.
        #[serde(skip_serializing_if = "Vec::is_empty")]
        pub servers: Vec<BackendServerSpec>,
    }
}

/// Records of a sheet, at revision 0, with a reference to each.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct Split {
    records: Vec<ConfigRecord>,
    references: Vec<RecordRef>,
}

impl Split {
    pub(crate) fn new(catalog: &CatalogSpec) -> Result<Split, serde_json::Error> {
        let records = split_catalog(catalog, 0)?;
        let references = records.iter().map(RecordRef::new).collect();
        Ok(Split { records, references })
    }

    /// Records and their references, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ConfigRecord, &RecordRef)> {
        self.records.iter().zip(&self.references)
    }

    /// The record that has the name and content of another one.
    pub(crate) fn same(&self, other: &RecordRef) -> Option<&ConfigRecord> {
        let found = self.references.binary_search_by(|r| r.name.cmp(&other.name)).ok()?;
        (self.references[found].digest == other.digest).then(|| &self.records[found])
    }
}

/// Key of a record in the store. A key is written once.
pub fn record_key(name: &str, revision: u64) -> Box<str> {
    format!("{RECORD_PREFIX}{name}/{revision}").into()
}

/// Name and revision of the record that a key belongs to.
pub(crate) fn parse_key(key: &str) -> Option<(&str, u64)> {
    let (name, revision) = key.strip_prefix(RECORD_PREFIX)?.rsplit_once('/')?;
    Some((name, revision.parse().ok()?))
}

/// Records of a catalog at `revision`, sorted by name.
///
/// Servers are divided by the leading bits of a stable hash of their names,
/// with as many bits as it takes to get at most [`MAX_SERVERS_PER_RECORD`] in each
/// record. A changed server therefore changes one record, and an added one
/// splits at most one.
pub fn split_catalog(
    catalog: &CatalogSpec,
    revision: u64,
) -> Result<Vec<ConfigRecord>, serde_json::Error> {
    let base = RecordBody {
        zones: catalog.zones.clone(),
        services: catalog.services.clone(),
        servers: Vec::new(),
    };
    let mut records = vec![record(BASE_RECORD, revision, &base)?];
    let mut hashed: Vec<(u64, &BackendServerSpec)> =
        catalog.servers.iter().map(|s| (stable_hash(&s.name), s)).collect();
    hashed.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    let mut parts = Vec::new();
    divide(&hashed, 0, &mut parts);
    for (bits, part) in parts {
        let mut servers: Vec<BackendServerSpec> = part.iter().map(|(_, s)| (*s).clone()).collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        let name = server_record(part[0].0, bits);
        records.push(record(&name, revision, &RecordBody { servers, ..RecordBody::default() })?);
    }
    records.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(records)
}

type Hashed<'a> = (u64, &'a BackendServerSpec);

fn divide<'a>(sorted: &'a [Hashed<'a>], bits: usize, parts: &mut Vec<(usize, &'a [Hashed<'a>])>) {
    if sorted.is_empty() {
        return;
    }
    if sorted.len() <= MAX_SERVERS_PER_RECORD || bits == HASH_BITS {
        parts.push((bits, sorted));
        return;
    }
    let mask = 1u64 << (HASH_BITS - 1 - bits);
    let (low, high) = sorted.split_at(sorted.partition_point(|(h, _)| h & mask == 0));
    divide(low, bits + 1, parts);
    divide(high, bits + 1, parts);
}

fn server_record(hash: u64, bits: usize) -> Box<str> {
    let text = format!("{hash:064b}");
    format!("{SERVER_RECORD}{}", &text[..bits]).into()
}

/// Whether the record with this name would hold `server`.
pub(crate) fn may_hold(record: &str, server: &str) -> bool {
    let hash = format!("{:064b}", stable_hash(server));
    record.strip_prefix(SERVER_RECORD).is_some_and(|bits| hash.starts_with(bits))
}

fn record(name: &str, revision: u64, body: &RecordBody) -> Result<ConfigRecord, serde_json::Error> {
    let body = serde_json::to_string(body)?.into();
    Ok(ConfigRecord { name: name.into(), revision, body })
}
