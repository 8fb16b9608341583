//! Head of the configuration: the value that a change replaces to take effect.

use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::time::ExportTime;
use snafu::OptionExt as _;
use snafu::Snafu;

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";

/// Maximum number of operations in the head. Older ones move to the history,
/// because hosts pull the whole head with each change.
pub(crate) const MAX_HEAD_OPERATIONS: usize = 16;

/// Number of operations that stay in the head when it is full and the older
/// ones move to the history.
pub(crate) const RETAINED_HEAD_OPERATIONS: usize = 8;

message! {
    /// Reference to a record. It is serialised as `NAME:REVISION:DIGEST`, which
    /// is shorter than an object: a head holds several hundred references, and
    /// each change sends the head to all hosts.
    #[derive(Eq)]
    #[serde(try_from = "Box<str>", into = "Box<str>")]
    pub struct RecordRef {
        /// Name of the record.
        pub name: Box<str>,
        /// Revision of the change that wrote the record.
        pub revision: u64,
        /// Hash of its body.
        pub digest: u64,
    }

    /// Zone or server that an override takes out of service.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Target {
        /// Availability zone with this name.
        Zone(Box<str>),
        /// Backend server with this name.
        Server(Box<str>),
    }

    /// Takes a zone or server out of service, whatever the sheet says.
    #[derive(Eq)]
    pub struct Override {
        /// Zone or server that is out of service.
        pub target: Target,
        /// Revision of the change that set the override.
        pub revision: u64,
    }

    /// Entry of the change log: one accepted change.
    #[derive(Eq)]
    pub struct Operation {
        /// Unique id: the one that the operator's tool chose, a dot and a hash
        /// of the change.
        pub id: Box<str>,
        /// Revision of the head that the change wrote.
        pub revision: u64,
        /// Wall-clock time of the change, in milliseconds since 1970.
        pub time_ms: u64,
        /// Name of the operator who made the change.
        pub operator: Box<str>,
        /// Description of the change in one line.
        pub summary: Box<str>,
    }

    /// Root of the configuration, from which all records are found.
    #[derive(Default, Eq)]
    pub struct Head {
        /// Revision of the configuration. It increases with each change,
        /// sometimes by more than 1.
        pub revision: u64,
        /// Export time of the sheet in force; `None` before the first sheet.
        pub exported: Option<ExportTime>,
        /// References to the records of the sheet in force, sorted by name.
        pub records: Vec<RecordRef>,
        /// Overrides, sorted by target.
        pub overrides: Vec<Override>,
        /// Most recent changes, oldest first.
        pub operations: Vec<Operation>,
        /// Wall-clock time of the last sweep of unreferenced records, in
        /// milliseconds since 1970.
        pub swept_ms: u64,
    }
}

/// Error of parsing a [`RecordRef`].
#[derive(Debug, Snafu)]
#[snafu(display("{text:?} is not a reference to a record; write NAME:REVISION:DIGEST"))]
pub struct RecordRefError {
    text: Box<str>,
}

impl TryFrom<Box<str>> for RecordRef {
    type Error = RecordRefError;

    fn try_from(text: Box<str>) -> Result<RecordRef, RecordRefError> {
        parse(&text).context(RecordRefSnafu { text })
    }
}

fn parse(text: &str) -> Option<RecordRef> {
    let (rest, digest) = text.rsplit_once(':')?;
    let (name, revision) = rest.rsplit_once(':')?;
    let digest = u64::from_str_radix(digest, 16).ok()?;
    Some(RecordRef { name: name.into(), revision: revision.parse().ok()?, digest })
}

impl From<RecordRef> for Box<str> {
    fn from(r: RecordRef) -> Box<str> {
        format!("{}:{}:{:x}", r.name, r.revision, r.digest).into()
    }
}

impl RecordRef {
    /// Creates a reference to `record`.
    pub fn new(record: &ConfigRecord) -> RecordRef {
        let digest = stable_hash(&record.body);
        RecordRef { name: record.name.clone(), revision: record.revision, digest }
    }

    /// Whether `record` has the name, revision and content of the reference.
    pub fn matches(&self, record: &ConfigRecord) -> bool {
        self.name == record.name
            && self.revision == record.revision
            && self.digest == stable_hash(&record.body)
    }
}

impl Target {
    /// Name of the zone or server.
    pub fn name(&self) -> &str {
        match self {
            Target::Zone(name) | Target::Server(name) => name,
        }
    }

    /// Kind as shown to operators: `zone` or `server`.
    pub fn kind(&self) -> &'static str {
        match self {
            Target::Zone(_) => "zone",
            Target::Server(_) => "server",
        }
    }
}

impl Head {
    /// Returns the override of `target`, if it is set.
    pub fn override_of(&self, target: &Target) -> Option<&Override> {
        self.overrides.iter().find(|o| o.target == *target)
    }

    /// Returns the operation with this id, if the head still lists it.
    pub fn find_operation(&self, id: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| &*o.id == id)
    }
}
