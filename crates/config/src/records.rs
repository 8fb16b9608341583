//! Partitioning of a catalog into records with a bounded number of servers.

use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_rpc::agent::ConfigRecord;

use crate::head::RecordRef;

/// Maximum number of servers in one record. Servers whose names have the same
/// 64-bit hash stay in one record even beyond this number.
pub const MAX_SERVERS_PER_RECORD: usize = 64;

/// Prefix of the store keys of all records.
pub const RECORD_PREFIX: &str = "config/record/";

/// Name of the record with all zones and services.
pub(crate) const BASE_RECORD: &str = "base";

/// Prefix of the names of server records. It is followed by the leading bits
/// that the hashes of the servers' names have in common.
const SERVER_RECORD_PREFIX: &str = "s";

/// Number of bits in the hash of a server's name.
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

/// Records of a new sheet. Their revision is 0 until the sheet is applied.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct SheetRecords {
    records: Vec<ConfigRecord>,
    /// A reference to each of `records`, in the same order.
    references: Vec<RecordRef>,
}

impl SheetRecords {
    pub(crate) fn new(catalog: &CatalogSpec) -> Result<SheetRecords, serde_json::Error> {
        let records = split_catalog(catalog, 0)?;
        let references = records.iter().map(RecordRef::new).collect();
        Ok(SheetRecords { records, references })
    }

    /// Records and their references, sorted by name.
    pub(crate) fn iter(&self) -> impl Iterator<Item = (&ConfigRecord, &RecordRef)> {
        self.records.iter().zip(&self.references)
    }

    /// Returns the record with the same name and content as `other`, which may
    /// have another revision.
    pub(crate) fn find_identical(&self, other: &RecordRef) -> Option<&ConfigRecord> {
        let index = self.references.binary_search_by(|r| r.name.cmp(&other.name)).ok()?;
        (self.references[index].digest == other.digest).then(|| &self.records[index])
    }
}

/// Store key of a record. It is written only once, so its value never changes.
pub fn record_key(name: &str, revision: u64) -> Box<str> {
    format!("{RECORD_PREFIX}{name}/{revision}").into()
}

/// Parses the name and revision of a record from its store key.
pub(crate) fn parse_key(key: &str) -> Option<(&str, u64)> {
    let (name, revision) = key.strip_prefix(RECORD_PREFIX)?.rsplit_once('/')?;
    Some((name, revision.parse().ok()?))
}

/// Splits a catalog into records at `revision`, sorted by name.
///
/// Servers are partitioned by the leading bits of a stable hash of their names,
/// with as many bits as are needed to have at most [`MAX_SERVERS_PER_RECORD`]
/// in each record. As a result, changing a server changes only one record, and
/// adding one changes or splits only one.
///
/// # Errors
///
/// Returns the error of the JSON serialiser.
pub fn split_catalog(
    catalog: &CatalogSpec,
    revision: u64,
) -> Result<Vec<ConfigRecord>, serde_json::Error> {
    let base = RecordBody {
        zones: catalog.zones.clone(),
        services: catalog.services.clone(),
        servers: Vec::new(),
    };
    let mut records = vec![new_record(BASE_RECORD, revision, &base)?];
    let mut hashed: Vec<(u64, &BackendServerSpec)> =
        catalog.servers.iter().map(|s| (stable_hash(&s.name), s)).collect();
    hashed.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.name.cmp(&b.1.name)));
    let mut parts = Vec::new();
    partition(&hashed, 0, &mut parts);
    for (bits, part) in parts {
        let mut servers: Vec<BackendServerSpec> = part.iter().map(|(_, s)| (*s).clone()).collect();
        servers.sort_by(|a, b| a.name.cmp(&b.name));
        let name = server_record_name(part[0].0, bits);
        records.push(new_record(
            &name,
            revision,
            &RecordBody { servers, ..RecordBody::default() },
        )?);
    }
    records.sort_by(|a, b| a.name.cmp(&b.name));
    Ok(records)
}

/// Server with the hash of its name.
type Hashed<'a> = (u64, &'a BackendServerSpec);

/// Appends the partitions of `sorted`, whose hashes have the first `bits` bits
/// in common, with the number of bits that each partition has in common.
fn partition<'a>(
    sorted: &'a [Hashed<'a>],
    bits: usize,
    parts: &mut Vec<(usize, &'a [Hashed<'a>])>,
) {
    if sorted.is_empty() {
        return;
    }
    if sorted.len() <= MAX_SERVERS_PER_RECORD || bits == HASH_BITS {
        parts.push((bits, sorted));
        return;
    }
    let mask = 1u64 << (HASH_BITS - 1 - bits);
    let (low, high) = sorted.split_at(sorted.partition_point(|(h, _)| h & mask == 0));
    partition(low, bits + 1, parts);
    partition(high, bits + 1, parts);
}

fn server_record_name(hash: u64, bits: usize) -> Box<str> {
    let text = format!("{hash:064b}");
    format!("{SERVER_RECORD_PREFIX}{}", &text[..bits]).into()
}

/// Whether the record with this name is the one that contains `server`, if the
/// catalog declares it.
pub(crate) fn may_contain_server(record: &str, server: &str) -> bool {
    let hash = format!("{:064b}", stable_hash(server));
    record.strip_prefix(SERVER_RECORD_PREFIX).is_some_and(|bits| hash.starts_with(bits))
}

fn new_record(
    name: &str,
    revision: u64,
    body: &RecordBody,
) -> Result<ConfigRecord, serde_json::Error> {
    let body = serde_json::to_string(body)?.into();
    Ok(ConfigRecord { name: name.into(), revision, body })
}
