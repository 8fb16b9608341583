//! `zone out|in NAME`: takes a zone out of service, or brings it back.

use chervil_config::Target;
use pico_args::Arguments;

use crate::commands;
use crate::error::CtlError;
use crate::options;
use crate::report::Report;
use crate::session::Session;

#[derive(Debug)]
pub(crate) struct Args {
    out: bool,
    zone: Box<str>,
}

pub(crate) fn parse(args: &mut Arguments) -> Result<Args, CtlError> {
    let out = match &*options::free(args, "`out` or `in`")? {
        "out" => true,
        "in" => false,
        _ => return Err(CtlError::Missing { what: "`out` or `in`" }),
    };
    Ok(Args { out, zone: options::free(args, "the zone's NAME")? })
}

pub(crate) async fn run(args: Args, session: &Session) -> Result<Report, CtlError> {
    commands::set_override(session, Target::Zone(args.zone), args.out).await
}
