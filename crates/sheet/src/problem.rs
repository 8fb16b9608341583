//! What is wrong with a sheet, with its place and the remedy.

use std::fmt;

use chervil_base::shards::ShardSetError;
use snafu::Snafu;

use crate::time::ExportTimeError;

/// Most problems that one error lists; the rest are counted.
pub const MAX_LISTED_PROBLEMS: usize = 50;

/// Kind of a problem; each message names the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProblemKind {
    /// The text is not UTF-8.
    #[snafu(display("the text is not UTF-8; export the sheet as UTF-8"))]
    NotUtf8,
    /// The text is not CSV.
    #[snafu(display("the text is not CSV: {reason}; export the sheet again"))]
    InvalidCsv {
        /// Message of the CSV parser.
        reason: Box<str>,
    },
    /// The header row differs.
    #[snafu(display("the header is {found:?}; it must be {expected:?}"))]
    WrongHeader {
        /// Header found.
        found: Box<str>,
        /// Header required.
        expected: &'static str,
    },
    /// The first row after the header is not the sheet row.
    #[snafu(display(
        "the row with the export time is missing; start with `sheet,2026-12-04T06:00:00Z,,,,,,,,`"
    ))]
    MissingSheetRow,
    /// There is another sheet row.
    #[snafu(display("a second `sheet` row; keep only the one after the header"))]
    DuplicateSheetRow,
    /// There is no server row.
    #[snafu(display(
        "no backend server is declared up to here; if the file ends here it was cut short: export \
         it again"
    ))]
    NoServers,
    /// The row has another number of columns than the header.
    #[snafu(display(
        "the row has {found} columns instead of {expected}; if the file ends here it was cut \
         short: export it again"
    ))]
    ColumnCount {
        /// Columns found.
        found: usize,
        /// Columns required.
        expected: usize,
    },
    /// The kind is not known.
    #[snafu(display("kind {found:?} is unknown; use sheet, zone, service or server"))]
    UnknownKind {
        /// Kind found.
        found: Box<str>,
    },
    /// A cell that does not belong to this kind of row has content.
    #[snafu(display("{found:?} has no meaning in a {kind} row; leave the cell empty"))]
    UnexpectedValue {
        /// Content found.
        found: Box<str>,
        /// Kind of the row.
        kind: &'static str,
    },
    /// The name has characters that do not travel in URLs and keys.
    #[snafu(display(
        "{found:?} is not a name; use 1 to 64 letters, digits, dots, hyphens and underscores"
    ))]
    InvalidName {
        /// Name found.
        found: Box<str>,
    },
    /// Two rows of one kind have one name.
    #[snafu(display("{kind} {name:?} is already on line {first}; rename or remove one of them"))]
    DuplicateName {
        /// Kind of the row.
        kind: &'static str,
        /// The name.
        name: Box<str>,
        /// Line of the first row.
        first: u64,
    },
    /// Two servers have one address.
    #[snafu(display("address {address} is already on line {first}; correct one of them"))]
    DuplicateAddress {
        /// The address.
        address: Box<str>,
        /// Line of the first row.
        first: u64,
    },
    /// A server names an undeclared zone or service.
    #[snafu(display(
        "{kind} {name:?} is not in this sheet; add a `{kind}` row or correct the name"
    ))]
    Undeclared {
        /// `zone` or `service`.
        kind: &'static str,
        /// Name found.
        name: Box<str>,
    },
    /// Not a number within bounds.
    #[snafu(display("{found:?} is not a number from {low} to {high}; correct it"))]
    InvalidNumber {
        /// Text found.
        found: Box<str>,
        /// Smallest number allowed.
        low: u32,
        /// Largest number allowed.
        high: u32,
    },
    /// Not an address.
    #[snafu(display("{found:?} is not an address; write IP:PORT, such as 127.0.0.1:9001"))]
    InvalidAddress {
        /// Text found.
        found: Box<str>,
    },
    /// Not a state.
    #[snafu(display("state {found:?} is unknown; use in or out"))]
    InvalidState {
        /// Text found.
        found: Box<str>,
    },
    /// Not a shard set.
    #[snafu(display("{source}"))]
    InvalidShards {
        /// Cause.
        source: ShardSetError,
    },
    /// The set of shards is empty.
    #[snafu(display("no shards; list those that the server holds, such as 0-5;8"))]
    NoShards,
    /// A shard is outside of its service.
    #[snafu(display(
        "shard {shard} does not exist: service {service} has {count} shards, from 0; correct \
         either row"
    ))]
    ShardOutOfRange {
        /// Largest shard of the server.
        shard: u32,
        /// Service of the server.
        service: Box<str>,
        /// Shards of the service.
        count: u32,
    },
    /// No server holds some shards of a service.
    #[snafu(display(
        "no server holds shards {missing} of service {service}; add them to a server of this sheet"
    ))]
    UncoveredShards {
        /// Shards without a server, as a set.
        missing: Box<str>,
        /// The service.
        service: Box<str>,
    },
    /// Not an export time.
    #[snafu(display("{source}"))]
    InvalidExportTime {
        /// Cause.
        source: ExportTimeError,
    },
}

/// A problem and its place.
#[derive(Debug)]
pub struct Problem {
    /// Name of the sheet file.
    pub file: Box<str>,
    /// Line, from 1.
    pub line: u64,
    /// Column, from 1; 0 when the problem concerns the whole line.
    pub column: usize,
    /// Name of the column; empty when the problem concerns the whole line.
    pub heading: &'static str,
    /// What is wrong.
    pub kind: ProblemKind,
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}", self.file, self.line)?;
        if self.column > 0 {
            write!(f, ":{} ({})", self.column, self.heading)?;
        }
        write!(f, ": {}", self.kind)
    }
}

/// All problems of a sheet, in file order. The sheet has no effect.
#[derive(Debug)]
pub struct SheetError {
    /// The problems; at least one.
    pub problems: Vec<Problem>,
}

impl std::error::Error for SheetError {}

impl fmt::Display for SheetError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, p) in self.problems.iter().take(MAX_LISTED_PROBLEMS).enumerate() {
            let sep = if i == 0 { "" } else { "\n" };
            write!(f, "{sep}{p}")?;
        }
        match self.problems.len().saturating_sub(MAX_LISTED_PROBLEMS) {
            0 => Ok(()),
            more => write!(f, "\n{more} more problems; correct the listed ones first"),
        }
    }
}
