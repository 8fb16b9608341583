//! `apply SHEET [--confirm-removals N]`: replaces the sheet in force.

use std::path::PathBuf;

use chervil_config::Change;
use pico_args::Arguments;

use crate::commands::check;
use crate::error::CtlError;
use crate::options;
use crate::options::argument;
use crate::report::Report;
use crate::rollout;
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Args {
    sheet: PathBuf,
    /// Number of removed servers that the operator confirms.
    confirmed: Option<usize>,
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    let confirmed = args.opt_value_from_str("--confirm-removals").map_err(argument)?;
    Ok(Args { sheet: options::sheet_path(args)?, confirmed })
}

pub(crate) async fn run(args: &Args, session: &Session) -> Result<Report, CtlError> {
    let sheet = check::load(&args.sheet)?;
    let change = Change::ApplySheet { sheet, confirmed_removals: args.confirmed };
    Ok(rollout::change(session, &change).await)
}
