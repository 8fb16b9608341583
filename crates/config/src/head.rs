//! Head of the configuration, the one value that a change replaces.

use chervil_base::digest::stable_hash;
use chervil_base::message;
use chervil_rpc::agent::ConfigRecord;
use chervil_sheet::time::ExportTime;

/// Key of the head in the store.
pub const HEAD_KEY: &str = "config/head";

/// Operations that the head holds at most. Hosts pull the head with each
/// change, so that older ones move to the history.
pub(crate) const MAX_OPERATIONS: usize = 16;

/// Operations that stay in the head when the others move to the history.
pub(crate) const KEPT_OPERATIONS: usize = 8;

message! {
    /// Reference to a record.
    #[derive(Eq)]
    pub struct RecordRef {
        /// Name of the record.
        #[serde(rename = "n")]
        pub name: Box<str>,
        /// Revision that wrote it.
        #[serde(rename = "r")]
        pub revision: u64,
        /// Digest of its body.
        #[serde(rename = "d")]
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
    pub fn operation(&self, id: &str) -> Option<&Operation> {
        self.operations.iter().find(|o| &*o.id == id)
    }
}
