//! Validation errors of a sheet, with line, column and remedy.

use std::fmt;

use chervil_base::shards::ShardSetError;
use snafu::Snafu;

use crate::time::ExportTimeError;

/// Maximum number of problems that the text of a [`SheetError`] lists. It
/// states only the number of the others.
pub const MAX_LISTED_PROBLEMS: usize = 50;

/// What is wrong. Each message ends with the remedy.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ProblemKind {
    /// The file is not valid UTF-8.
    #[snafu(display("the text is not UTF-8; export the sheet as UTF-8"))]
    NotUtf8,
    /// The CSV parser failed.
    #[snafu(display("the text is not valid CSV: {reason}; export the sheet again"))]
    InvalidCsv {
        /// Message of the CSV parser.
        reason: Box<str>,
    },
    /// The header row is not the expected one.
    #[snafu(display("the header is {found:?}; it must be {expected:?}"))]
    WrongHeader {
        /// Header of the file.
        found: Box<str>,
        /// Header that a sheet must have.
        expected: &'static str,
    },
    /// The first row after the header is not the `sheet` row, which holds the
    /// export time.
    #[snafu(display(
        "the row with the export time is missing; start with `sheet,2026-12-04T06:00:00Z,,,,,,,,`"
    ))]
    MissingSheetRow,
    /// A `sheet` row appears after the first row.
    #[snafu(display("a second `sheet` row; keep only the one after the header"))]
    DuplicateSheetRow,
    /// The sheet has no server row, as after a truncated transfer.
    #[snafu(display(
        "no backend server is declared up to this line; add one, or export the sheet again if the \
         file is truncated here"
    ))]
    NoServers,
    /// The number of columns differs from that of the header, as in the last
    /// row of a truncated file.
    #[snafu(display(
        "the row has {found} columns instead of {expected}; correct it, or export the sheet again \
         if the file is truncated here"
    ))]
    ColumnCount {
        /// Columns of the row.
        found: usize,
        /// Columns of the header.
        expected: usize,
    },
    /// The `kind` cell is not one of the four kinds of row.
    #[snafu(display("kind {found:?} is unknown; use sheet, zone, service or server"))]
    UnknownKind {
        /// Content of the cell.
        found: Box<str>,
    },
    /// A cell has content although rows of this kind do not use its column.
    #[snafu(display("{found:?} has no meaning in a {kind} row; leave the cell empty"))]
    UnexpectedValue {
        /// Content of the cell.
        found: Box<str>,
        /// Kind of the row.
        kind: &'static str,
    },
    /// The name is empty, too long, only dots, or has characters that would
    /// need escaping in URLs and store keys.
    #[snafu(display(
        "{found:?} is not a name; use 1 to 64 letters, digits, dots, hyphens and underscores, not \
         only dots"
    ))]
    InvalidName {
        /// Content of the cell.
        found: Box<str>,
    },
    /// Two rows of the same kind have the same name.
    #[snafu(display("{kind} {name:?} is already on line {first}; rename or remove one of them"))]
    DuplicateName {
        /// Kind of the rows.
        kind: &'static str,
        /// Name of both rows.
        name: Box<str>,
        /// Line of the earlier row.
        first: u64,
    },
    /// Two servers have the same address.
    #[snafu(display("address {address} is already on line {first}; correct one of them"))]
    DuplicateAddress {
        /// Address of both servers.
        address: Box<str>,
        /// Line of the earlier row.
        first: u64,
    },
    /// A server refers to a zone or service that the sheet does not declare.
    #[snafu(display(
        "{kind} {name:?} is not in this sheet; add a `{kind}` row or correct the name"
    ))]
    Undeclared {
        /// `zone` or `service`.
        kind: &'static str,
        /// Name of the undeclared zone or service.
        name: Box<str>,
    },
    /// The cell is not an integer or out of bounds.
    #[snafu(display("{found:?} is not a number from {min} to {max}; correct it"))]
    InvalidNumber {
        /// Content of the cell.
        found: Box<str>,
        /// Smallest allowed value.
        min: u32,
        /// Largest allowed value.
        max: u32,
    },
    /// The cell is not a socket address that can be connected to; port 0 and
    /// the unspecified IP address are not.
    #[snafu(display("{found:?} is not an address; write IP:PORT, such as 127.0.0.1:9001"))]
    InvalidAddress {
        /// Content of the cell.
        found: Box<str>,
    },
    /// The state is neither `in` nor `out`.
    #[snafu(display("state {found:?} is unknown; use in or out"))]
    InvalidState {
        /// Content of the cell.
        found: Box<str>,
    },
    /// The cell is not a shard set.
    #[snafu(display("{source}"))]
    InvalidShards {
        /// Error of the shard set parser, which states the remedy.
        source: ShardSetError,
    },
    /// The shard set of a server is empty.
    #[snafu(display("no shards; list those that the server holds, such as 0-5;8"))]
    NoShards,
    /// A server lists a shard that its service does not have.
    #[snafu(display(
        "shard {shard} does not exist: service {service} has {count} shards, from 0; correct \
         either row"
    ))]
    ShardOutOfRange {
        /// Largest shard that the server lists.
        shard: u32,
        /// Name of the service.
        service: Box<str>,
        /// Number of shards that the service has.
        count: u32,
    },
    /// Shards of a service in service are on no server.
    #[snafu(display(
        "no server holds shards {missing} of service {service}; add them to a server of this sheet"
    ))]
    UncoveredShards {
        /// Shards without a server, in the text form of a shard set.
        missing: Box<str>,
        /// Name of the service.
        service: Box<str>,
    },
    /// The `name` cell of the `sheet` row is not an export time.
    #[snafu(display("{source}"))]
    InvalidExportTime {
        /// Error of the time parser, which states the remedy.
        source: ExportTimeError,
    },
}

/// Problem with its position in the file.
#[derive(Debug)]
pub struct Problem {
    /// Name of the sheet file, as given to [`crate::sheet::Sheet::parse`].
    pub file: Box<str>,
    /// Line number, from 1.
    pub line: u64,
    /// Column number, from 1; 0 when the problem concerns the whole line.
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

/// All problems of a rejected sheet.
#[derive(Debug)]
pub struct SheetError {
    /// Problems in file order; at least one.
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
