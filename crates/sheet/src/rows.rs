//! Splits the text of a sheet into rows that know their place.

use csv::ReaderBuilder;
use csv::StringRecord;
use csv::Trim;

use crate::columns::COLUMNS;
use crate::columns::Column;
use crate::columns::HEADER;
use crate::problem::Problem;
use crate::problem::ProblemKind;

/// Row of the right width.
#[derive(Debug)]
pub(crate) struct Row {
    /// Line, from 1.
    pub(crate) line: u64,
    cells: StringRecord,
}

impl Row {
    /// Content of a cell.
    pub(crate) fn cell(&self, column: Column) -> &str {
        self.cells.get(column.index()).unwrap_or_default()
    }
}

/// Problems found so far in one file.
#[derive(Debug)]
pub(crate) struct Findings<'a> {
    file: &'a str,
    problems: Vec<Problem>,
}

impl<'a> Findings<'a> {
    pub(crate) fn new(file: &'a str) -> Findings<'a> {
        Findings { file, problems: Vec::new() }
    }

    /// Adds a problem of one cell.
    pub(crate) fn cell(&mut self, line: u64, column: Column, kind: ProblemKind) {
        self.push(line, column.index() + 1, column.name(), kind);
    }

    /// Adds a problem of a whole line.
    pub(crate) fn line(&mut self, line: u64, kind: ProblemKind) {
        self.push(line, 0, "", kind);
    }

    /// Problems in file order.
    pub(crate) fn sorted(mut self) -> Vec<Problem> {
        self.problems.sort_by_key(|p| (p.line, p.column));
        self.problems
    }

    fn push(&mut self, line: u64, column: usize, heading: &'static str, kind: ProblemKind) {
        self.problems.push(Problem { file: self.file.into(), line, column, heading, kind });
    }
}

/// Decodes the text; a byte order mark, which spreadsheets add, is dropped.
pub(crate) fn decode<'a>(bytes: &'a [u8], findings: &mut Findings<'_>) -> Option<&'a str> {
    match std::str::from_utf8(bytes) {
        Ok(text) => Some(text.strip_prefix('\u{feff}').unwrap_or(text)),
        Err(e) => {
            let before = &bytes[..e.valid_up_to()];
            let line = 1 + before.iter().filter(|b| **b == b'\n').count() as u64;
            findings.line(line, ProblemKind::NotUtf8);
            None
        }
    }
}

/// Rows after the header, or nothing when the header is not that of a sheet.
pub(crate) fn split(text: &str, findings: &mut Findings<'_>) -> Option<Vec<Row>> {
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
        findings.line(line_of(&header, text), kind);
        return None;
    }
    let mut rows = Vec::new();
    for record in records {
        match record {
            Ok(cells) => {
                let line = line_of(&cells, text);
                if cells.len() == COLUMNS {
                    rows.push(Row { line, cells });
                } else {
                    let kind = ProblemKind::ColumnCount { found: cells.len(), expected: COLUMNS };
                    findings.line(line, kind);
                }
            }
            Err(e) => {
                let line = e.position().map_or(1, |p| p.line());
                findings.line(line, ProblemKind::InvalidCsv { reason: e.to_string().into() });
            }
        }
    }
    Some(rows)
}

/// Line of a record. The reader's position lies before the blank lines that
/// it skips.
fn line_of(record: &StringRecord, text: &str) -> u64 {
    let Some(position) = record.position() else { return 1 };
    let rest = text.as_bytes().get(position.byte() as usize..).unwrap_or_default();
    let blank = rest.iter().take_while(|b| matches!(b, b'\n' | b'\r'));
    position.line() + blank.filter(|b| **b == b'\n').count() as u64
}
