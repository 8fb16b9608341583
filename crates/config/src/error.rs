//! Errors of a host's replica of the configuration.

use snafu::Snafu;

/// Why a received state cannot be applied. The replica stays unchanged.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ConfigError {
    /// The head is not valid JSON, or was written by an incompatible version.
    #[snafu(display(
        "cannot parse the head of the configuration: {source}; apply the sheet with a chervilctl \
         of the same version as the hosts"
    ))]
    InvalidHead {
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// A record is not valid JSON, or was written by an incompatible version.
    #[snafu(display(
        "cannot parse record {name} of the configuration: {source}; apply the sheet with a \
         chervilctl of the same version as the hosts"
    ))]
    InvalidRecord {
        /// Name of the record.
        name: Box<str>,
        /// Error of the JSON parser.
        source: serde_json::Error,
    },
    /// Records that the head refers to are missing or have another digest.
    #[snafu(display(
        "{missing} record(s) of revision {revision} are missing, the first is {first}; pull again \
         from revision 0, or read the store"
    ))]
    MissingRecords {
        /// Revision of the received head.
        revision: u64,
        /// Number of missing records.
        missing: usize,
        /// Name of the first missing record.
        first: Box<str>,
    },
}
