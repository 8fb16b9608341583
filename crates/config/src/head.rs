//! Head of the configuration, the one value that a change replaces.

use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::time::ExportTime;
use snafu::OptionExt as _;
use snafu::Snafu;

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";

/// Operations that the head holds at most. Hosts pull the head with each
/// change, so that older ones move to the history.
pub(crate) const MAX_OPERATIONS: usize = 16;

/// Operations that stay in the head when the others move to the history.
pub(crate) const KEPT_OPERATIONS: usize = 8;

message! {
    /// Reference to a record; its text form is `NAME:REVISION:DIGEST`. There are
    /// several hundred in a head, which each change sends to all hosts.
    #[derive(Eq)]
    #[serde(try_from = "Box<str>", into = "Box<str>")]
    pub struct RecordRef {
        /// Name of the record.
        pub name: Box<str>,
        /// Revision that wrote it.
        pub revision: u64,
        /// Digest of its body.
        pub digest: u64,
    }

    /// What an override takes out of service.
    #[derive(Eq, PartialOrd, Ord)]
    #[serde(rename_all = "snake_case")]
    pub enum Target {
        /// Availability zone.
        Zone(Box<str>),
        /// Backend server.
        Server(Box<str>),
    }

    /// Operator's decision that something is out of service, whatever the
    /// sheet says.
    #[derive(Eq)]
    pub struct Override {
        /// What is out.
        pub target: Target,
        /// Revision that set it.
        pub revision: u64,
    }

    /// Accepted change.
    #[derive(Eq)]
    pub struct Operation {
        /// Chosen by the operator's tool, unique.
        pub id: Box<str>,
        /// Revision that it made.
        pub revision: u64,
        /// Wall-clock time, in milliseconds since 1970.
        pub time_ms: u64,
        /// Who made it.
        pub operator: Box<str>,
        /// What it changed, in one line.
        pub summary: Box<str>,
    }

    /// Head of the configuration.
    #[derive(Default, Eq)]
    pub struct Head {
        /// Grows with each change.
        pub revision: u64,
        /// Export time of the sheet in force.
        pub exported: Option<ExportTime>,
        /// Records, sorted by name.
        pub records: Vec<RecordRef>,
        /// Overrides, sorted by target.
        pub overrides: Vec<Override>,
        /// Last changes, oldest first.
        pub operations: Vec<Operation>,
        /// Wall-clock time of the last sweep of old records, in milliseconds
        /// since 1970.
        pub swept_ms: u64,
    }
}

/// The text is not a reference to a record.
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
    /// Reference to `record`.
    pub fn new(record: &ConfigRecord) -> RecordRef {
        let digest = stable_hash(&record.body);
        RecordRef { name: record.name.clone(), revision: record.revision, digest }
    }

    /// Whether `record` is the one meant.
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

    /// `zone` or `server`.
    pub fn kind(&self) -> &'static str {
        match self {
            Target::Zone(_) => "zone",
            Target::Server(_) => "server",
        }
    }
}

impl Head {
    /// Override of `target`.
    pub fn override_of(&self, target: &Target) -> Option<&Override> {
        self.overrides.iter().find(|o| o.target == *target)
    }

    /// Operation with this id.
    pub fn find_operation(&self, id: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| &*o.id == id)
    }
}
