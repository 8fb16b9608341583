//! `diff SHEET`: shows what applying a sheet would change.

use std::fmt;
use std::path::PathBuf;

use chervil_base::message;
use chervil_sheet::diff::Diff;
use pico_args::Arguments;

use crate::agents;
use crate::commands::check;
use crate::error::CtlError;
use crate::options;
use crate::report::Exit;
use crate::report::Report;
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Args {
    sheet: PathBuf,
}

message! {
    /// Differences between a sheet and the configuration.
    #[derive(Eq)]
    struct Comparison {
        /// Configuration revision that the sheet is compared with.
        revision: u64,
        summary: Box<str>,
        #[serde(flatten)]
        diff: Diff,
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.diff.differences.iter().try_for_each(|d| writeln!(f, "{d}"))?;
        write!(f, "compared with revision {}: {}", self.revision, self.summary)?;
        if self.diff.removals.iter().any(|r| r.is_large()) {
            let removed = self.diff.removed_servers();
            write!(f, "\nto apply it, confirm with --confirm-removals {removed}")?;
        }
        Ok(())
    }
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    Ok(Args { sheet: options::sheet_path(args)? })
}

pub(crate) async fn run(args: &Args, session: &Session) -> Result<Report, CtlError> {
    let sheet = check::load_sheet(&args.sheet)?;
    let hosts = agents::list_hosts(session).await;
    let config = session.read(&hosts).await?.config;
    let diff = Diff::new(&config.sheet_catalog(), &sheet.catalog);
    let comparison = Comparison { revision: config.revision(), summary: diff.summary(), diff };
    Ok(Report::new(&comparison, Exit::Done))
}
