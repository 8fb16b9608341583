//! Parses the command line.

use std::convert::Infallible;
use std::path::PathBuf;

use chervil_node::cli;
use pico_args::Arguments;

use crate::commands;
use crate::commands::Command;
use crate::error::CtlError;

/// Parsed command line.
#[derive(Debug)]
pub(crate) struct Options {
    /// Whether to print JSON.
    pub(crate) json: bool,
    /// Path of the settings file.
    pub(crate) settings: Option<PathBuf>,
    /// Id of an earlier operation to repeat; `None` for a new one.
    pub(crate) operation: Option<Box<str>>,
    pub(crate) command: Command,
}

pub(crate) fn parse(mut args: Arguments) -> Result<Options, CtlError> {
    let help = args.contains(["-h", "--help"]);
    let version = args.contains(["-V", "--version"]);
    let json = args.contains("--json");
    let check = args.contains("--check");
    let to_path = |s: &std::ffi::OsStr| Ok::<_, Infallible>(PathBuf::from(s));
    let settings = args.opt_value_from_os_str("--settings", to_path).map_err(argument_error)?;
    let operation: Option<String> =
        args.opt_value_from_str("--operation").map_err(argument_error)?;
    let operation = operation.map(Into::into);
    let command = match (help, version, check) {
        (true, _, _) => Command::Help,
        (_, true, _) => Command::Version,
        (_, _, true) => Command::CheckSettings,
        _ => commands::parse(&mut args)?,
    };
    if !help && !version {
        cli::reject_unexpected(args).map_err(|source| CtlError::Cli { source })?;
    }
    Ok(Options { json, settings, operation, command })
}

/// Converts an error of the argument parser.
pub(crate) fn argument_error(source: pico_args::Error) -> CtlError {
    CtlError::Cli { source: cli::CliError::Argument { source } }
}

/// Takes the next positional argument; `what` names it in the error.
pub(crate) fn positional(args: &mut Arguments, what: &'static str) -> Result<Box<str>, CtlError> {
    let value: Option<String> = args.opt_free_from_str().map_err(argument_error)?;
    value.map(Into::into).ok_or(CtlError::MissingArgument { what })
}

/// Takes the next positional argument as the path of a sheet.
pub(crate) fn sheet_path(args: &mut Arguments) -> Result<PathBuf, CtlError> {
    let to_path = |s: &std::ffi::OsStr| Ok::<_, Infallible>(PathBuf::from(s));
    let path = args.opt_free_from_os_str(to_path).map_err(argument_error)?;
    path.ok_or(CtlError::MissingArgument { what: "SHEET" })
}
