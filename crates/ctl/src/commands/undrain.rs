//! `undrain SERVER`: resumes sending new work to a drained backend server.

use chervil_config::Target;
use pico_args::Arguments;

use crate::commands;
use crate::error::CtlError;
use crate::options;
use crate::report::Report;
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Args {
    server: Box<str>,
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    Ok(Args { server: options::positional(args, "SERVER")? })
}

pub(crate) async fn run(args: Args, session: &Session) -> Result<Report, CtlError> {
    commands::set_override(session, Target::Server(args.server), false).await
}
