//! `zone out|in NAME`: takes a zone out of service or puts it back.

use chervil_config::Target;
use pico_args::Arguments;

use crate::commands;
use crate::error::CtlError;
use crate::options;
use crate::report::Report;
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Args {
    /// Whether the zone is taken out of service.
    out: bool,
    zone: Box<str>,
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    let out = match &*options::positional(args, "`out` or `in`")? {
        "out" => true,
        "in" => false,
        _ => return Err(CtlError::MissingArgument { what: "`out` or `in`" }),
    };
    Ok(Args { out, zone: options::positional(args, "the zone's NAME")? })
}

pub(crate) async fn run(args: Args, session: &Session) -> Result<Report, CtlError> {
    commands::set_override(session, Target::Zone(args.zone), args.out).await
}
