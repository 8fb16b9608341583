//! `apply SHEET [--confirm-removals N]`: replaces the sheet in force.

use std::path::PathBuf;

use chervil_config::Change;
use pico_args::Arguments;

use crate::commands::check;
use crate::error::CtlError;
use crate::options;
use crate::options::argument_error;
use crate::report::Report;
use crate::rollout;
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Args {
    sheet: PathBuf,
    /// Number of server removals that the operator confirms.
    confirmed_removals: Option<usize>,
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    let confirmed_removals =
        args.opt_value_from_str("--confirm-removals").map_err(argument_error)?;
    Ok(Args { sheet: options::sheet_path(args)?, confirmed_removals })
}

pub(crate) async fn run(args: &Args, session: &Session) -> Result<Report, CtlError> {
    let sheet = check::load_sheet(&args.sheet)?;
    let change = Change::ApplySheet { sheet, confirmed_removals: args.confirmed_removals };
    Ok(rollout::apply_change(session, &change).await)
}
