//! Output and exit code of a command.

use std::fmt;
use std::fmt::Display;
use std::io;
use std::io::Write as _;
use std::process::ExitCode;

use chervil_base::message;
use serde::Serialize;
use serde_json::Value;

use crate::error::CtlError;

/// Exit code of `chervilctl`, as listed in the usage text.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Exit {
    Done = 0,
    Failed = 1,
    Usage = 2,
    Unknown = 3,
}

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> ExitCode {
        ExitCode::from(exit as u8)
    }
}

message! {
    /// Problem in a sheet with its position.
    #[derive(Eq)]
    struct SheetProblem {
        file: Box<str>,
        line: u64,
        /// Counted from 1; 0 when the problem concerns the whole line.
        column: usize,
        heading: Box<str>,
        problem: Box<str>,
    }

    /// JSON form of an error.
    #[derive(Eq)]
    struct Failure {
        error: Box<str>,
        problems: Vec<SheetProblem>,
    }
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}", self.error)
    }
}

/// Result of a command, as text and as JSON.
#[derive(Debug)]
pub(crate) struct Report {
    text: Box<str>,
    json: Value,
    exit: Exit,
}

impl Report {
    /// Report of a value that has a text form and a JSON form.
    pub(crate) fn new<T>(value: &T, exit: Exit) -> Report
    where
        T: Display + Serialize,
    {
        let json = serde_json::to_value(value).unwrap_or_else(|e| Value::String(e.to_string()));
        Report { text: value.to_string().into(), json, exit }
    }

    /// Report of plain text.
    pub(crate) fn text(text: &str) -> Report {
        Report { text: text.into(), json: Value::String(text.into()), exit: Exit::Done }
    }

    /// Prints the report. Write errors are ignored: a closed pipe means that the
    /// reader needs no more output.
    pub(crate) fn print(&self, json: bool) -> ExitCode {
        let mut out = io::stdout().lock();
        let _ = if json {
            writeln!(out, "{}", self.json)
        } else {
            writeln!(out, "{}", self.text.trim_end())
        };
        self.exit.into()
    }
}

/// Prints an error to stderr and returns the exit code.
pub(crate) fn fail<E>(binary: &str, exit: Exit, error: &E) -> ExitCode
where
    E: Display,
{
    chervil_node::cli::fail(binary, exit as u8, error)
}

/// Prints an error as JSON, with the line and column of each problem in a sheet.
pub(crate) fn fail_json(error: &CtlError) -> ExitCode {
    let problems = match error {
        CtlError::Sheet { source } => &source.problems[..],
        _ => &[],
    };
    let problems = problems.iter().map(|p| SheetProblem {
        file: p.file.clone(),
        line: p.line,
        column: p.column,
        heading: p.heading.into(),
        problem: p.kind.to_string().into(),
    });
    let failure = Failure { error: error.to_string().into(), problems: problems.collect() };
    Report::new(&failure, error.exit()).print(true)
}
