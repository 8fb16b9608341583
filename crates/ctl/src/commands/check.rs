//! `check SHEET`: validates a sheet without applying it.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use chervil_base::message;
use chervil_sheet::sheet::Sheet;
use pico_args::Arguments;
use snafu::ResultExt as _;

use crate::error::CtlError;
use crate::error::ReadSheetSnafu;
use crate::error::SheetSnafu;
use crate::options;
use crate::report::Exit;
use crate::report::Report;

#[derive(Debug)]
pub(crate) struct Args {
    sheet: PathBuf,
}

message! {
    /// Export time and size of a valid sheet.
    #[derive(Eq)]
    struct SheetSummary {
        exported: Box<str>,
        zones: usize,
        services: usize,
        servers: usize,
    }
}

impl fmt::Display for SheetSummary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let SheetSummary { exported, zones, services, servers } = self;
        write!(
            f,
            "valid sheet, exported at {exported}: {zones} zones, {services} services, {servers} \
             servers"
        )
    }
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    Ok(Args { sheet: options::sheet_path(args)? })
}

pub(crate) fn run(args: &Args) -> Result<Report, CtlError> {
    let sheet = load_sheet(&args.sheet)?;
    let summary = SheetSummary {
        exported: sheet.exported.to_string().into(),
        zones: sheet.catalog.zones.len(),
        services: sheet.catalog.services.len(),
        servers: sheet.catalog.servers.len(),
    };
    Ok(Report::new(&summary, Exit::Done))
}

/// Reads and validates a sheet.
pub(crate) fn load_sheet(path: &Path) -> Result<Sheet, CtlError> {
    let bytes = fs::read(path).context(ReadSheetSnafu { path })?;
    Sheet::parse(&path.display().to_string(), &bytes).context(SheetSnafu)
}
