//! Errors of a host's copy of the configuration.

use snafu::Snafu;

/// Why an offered configuration cannot be adopted. The copy stays as it was.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The head is not valid JSON of this version.
    #[snafu(display(
        "the head of the configuration is not readable: {source}; apply the sheet with a \
         chervilctl of the hosts' version"
    ))]
    InvalidHead {
        /// Cause.
        source: serde_json::Error,
    },
    /// A record is not valid JSON of this version.
    #[snafu(display(
        "record {name} of the configuration is not readable: {source}; apply the sheet with a \
         chervilctl of the hosts' version"
    ))]
    InvalidRecord {
        /// Name of the record.
        name: Box<str>,
        /// Cause.
        source: serde_json::Error,
    },
    /// Records that the head lists are missing or differ from it.
    #[snafu(display(
        "{missing} record(s) of revision {revision} are missing, {first} first; pull again from \
         revision 0 or read the store"
    ))]
    MissingRecords {
        /// Revision offered.
        revision: u64,
        /// Number of missing records.
        missing: usize,
        /// Name of the first one.
        first: Box<str>,
    },
}
