//! `diff SHEET`: shows what a sheet would change.

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
    #[derive(Eq)]
    struct Compared {
        /// Revision that the sheet is compared with.
        revision: u64,
        summary: Box<str>,
        #[serde(flatten)]
        diff: Diff,
    }
}

impl fmt::Display for Compared {
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
    let sheet = check::load(&args.sheet)?;
    let hosts = agents::list(session).await;
    let adopted = session.read(&hosts).await?.adopted;
    let diff = Diff::new(&adopted.sheet_catalog(), &sheet.catalog);
    let compared = Compared { revision: adopted.revision(), summary: diff.summary(), diff };
    Ok(Report::new(&compared, Exit::Done))
}
