//! Decodes a sheet and splits it into rows with line numbers.

use csv::ReaderBuilder;
use csv::StringRecord;
use csv::Trim;

use crate::columns::COLUMN_COUNT;
use crate::columns::Column;
use crate::columns::HEADER;
use crate::problem::Problem;
use crate::problem::ProblemKind;

/// Row with exactly one cell for each [`Column`].
#[derive(Debug)]
pub(crate) struct Row {
    /// Line number, from 1.
    pub(crate) line: u64,
    cells: StringRecord,
}

impl Row {
    /// Content of a cell, without surrounding white space.
    pub(crate) fn cell(&self, column: Column) -> &str {
        self.cells.get(column.index()).unwrap_or_default()
    }
}

/// Collects the problems of one file.
#[derive(Debug)]
pub(crate) struct Problems<'a> {
    file: &'a str,
    problems: Vec<Problem>,
}

impl<'a> Problems<'a> {
    pub(crate) fn new(file: &'a str) -> Problems<'a> {
        Problems { file, problems: Vec::new() }
    }

    /// Adds a problem that concerns a single cell.
    pub(crate) fn push_cell(&mut self, line: u64, column: Column, kind: ProblemKind) {
        self.push(line, column.index() + 1, column.name(), kind);
    }

    /// Adds a problem that concerns a whole line.
    pub(crate) fn push_line(&mut self, line: u64, kind: ProblemKind) {
        self.push(line, 0, "", kind);
    }

    /// Returns the problems by line, then column.
    pub(crate) fn into_sorted(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|p| (p.line, p.column));
        self.problems
    }

    fn push(&mut self, line: u64, column: usize, heading: &'static str, kind: ProblemKind) {
        self.problems.push(Problem { file: self.file.into(), line, column, heading, kind });
    }
}

/// Decodes UTF-8 and strips the byte order mark that spreadsheets prepend.
/// Invalid bytes are reported with the line of the first one.
pub(crate) fn decode_utf8<'a>(bytes: &'a [u8], problems: &mut Problems<'_>) -> Option<&'a str> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Some(text.strip_prefix('\u{feff}').unwrap_or(text)),
        Err(e) => {
            let before = &bytes[..e.valid_up_to()];
            let line = 1 + before.iter().filter(|b| **b == b'\n').count() as u64;
            problems.push_line(line, ProblemKind::NotUtf8);
            None
        }
    }
}

/// Parses the rows after the header. Rows that are not valid CSV or have the
/// wrong number of cells are reported and skipped. Returns `None` when the
/// header is wrong, since the cells then have no known meaning.
pub(crate) fn parse_rows(text: &str, problems: &mut Problems<'_>) -> Option<Vec<Row>> {
    let reader = ReaderBuilder::new()
        .has_headers(false)
        .flexible(true)
        .trim(Trim::All)
        .from_reader(text.as_bytes());
    let mut records = reader.into_records();
    let header = records.next().and_then(Result::ok).unwrap_or_default();
    let found = header.iter().collect::<Vec<_>>().join(",");
    if found != HEADER {
        let kind = ProblemKind::WrongHeader { found: found.into(), expected: HEADER };
        problems.push_line(line_number(&header, text), kind);
        return None;
    }
    let mut rows = Vec::new();
    for record in records {
        match record {
            Ok(cells) => {
                let line = line_number(&cells, text);
                if cells.len() == COLUMN_COUNT {
                    rows.push(Row { line, cells });
                } else {
                    let kind =
                        ProblemKind::ColumnCount { found: cells.len(), expected: COLUMN_COUNT };
                    problems.push_line(line, kind);
                }
            }
            Err(e) => {
                let line = e.position().map_or(1, |p| p.line());
                problems.push_line(line, ProblemKind::InvalidCsv { reason: e.to_string().into() });
            }
        }
    }
    Some(rows)
}

/// Line number of a record. The CSV reader skips blank lines, but reports the
/// position before them, so they are counted here.
fn line_number(record: &StringRecord, text: &str) -> u64 {
    let Some(position) = record.position() else { return 1 };
    let rest = text.as_bytes().get(position.byte() as usize..).unwrap_or_default();
    let blank = rest.iter().take_while(|b| matches!(b, b'\n' | b'\r'));
    position.line() + blank.filter(|b| **b == b'\n').count() as u64
}
