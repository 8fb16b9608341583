//! The commands, one per module.

use chervil_config::Change;
use chervil_config::Target;
use pico_args::Arguments;

use crate::error::CtlError;
use crate::options::argument_error;
use crate::report::Report;
use crate::rollout;
use crate::session::Session;
use crate::settings::CtlSettings;

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod diff;
pub(crate) mod drain;
pub(crate) mod history;
pub(crate) mod recover;
pub(crate) mod status;
pub(crate) mod undrain;
pub(crate) mod zone;

/// Command with its parsed arguments.
#[derive(Debug)]
pub(crate) enum Command {
    Help,
    Version,
    CheckSettings,
    Check(check::Args),
    Diff(diff::Args),
    Apply(apply::Args),
    Status,
    History,
    Zone(zone::Args),
    Drain(drain::Args),
    Undrain(undrain::Args),
    Recover,
}

/// Parses the command and its arguments.
pub(crate) fn parse(args: &mut Arguments) -> Result<Command, CtlError> {
    let name = args.subcommand().map_err(argument_error)?;
    let name = name.ok_or(CtlError::MissingArgument { what: "the command" })?;
    Ok(match name.as_str() {
        "check" => Command::Check(check::parse(args)?),
        "diff" => Command::Diff(diff::parse(args)?),
        "apply" => Command::Apply(apply::parse(args)?),
        "status" => Command::Status,
        "history" => Command::History,
        "zone" => Command::Zone(zone::parse(args)?),
        "drain" => Command::Drain(drain::parse(args)?),
        "undrain" => Command::Undrain(undrain::parse(args)?),
        "recover" => Command::Recover,
        given => return Err(CtlError::UnknownCommand { given: given.into() }),
    })
}

/// Runs a command that needs the settings.
pub(crate) async fn run(
    command: Command,
    settings: CtlSettings,
    operation: Option<Box<str>>,
) -> Result<Report, CtlError> {
    let session = Session::new(settings, operation)?;
    match command {
        Command::Help | Command::Version => Ok(Report::text("")),
        Command::CheckSettings => Ok(Report::text("the settings are valid")),
        Command::Check(args) => check::run(&args),
        Command::Diff(args) => diff::run(&args, &session).await,
        Command::Apply(args) => apply::run(&args, &session).await,
        Command::Status => status::run(&session).await,
        Command::History => history::run(&session).await,
        Command::Zone(args) => zone::run(args, &session).await,
        Command::Drain(args) => drain::run(args, &session).await,
        Command::Undrain(args) => undrain::run(args, &session).await,
        Command::Recover => recover::run(&session).await,
    }
}

/// Takes a zone or server out of service with an override, or removes the
/// override.
async fn set_override(session: &Session, target: Target, out: bool) -> Result<Report, CtlError> {
    let change = if out { Change::SetOverride(target) } else { Change::ClearOverride(target) };
    Ok(rollout::apply_change(session, &change).await)
}
