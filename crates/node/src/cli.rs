//! Command line common to the server binaries.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use snafu::ResultExt as _;
use snafu::Snafu;

/// Exit code of a run that failed.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code of wrong arguments or settings.
pub const EXIT_USAGE: u8 = 2;

/// What the command line asks a server binary to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
    /// Check the settings file and exit.
    Check(PathBuf),
    /// Run with the settings file.
    Run(PathBuf),
}

/// Wrong arguments.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// An argument is missing or malformed.
    #[snafu(display("{source}; see --help"))]
    Argument {
        /// Cause.
        source: pico_args::Error,
    },
    /// Arguments are left over.
    #[snafu(display("unexpected argument {argument:?}; see --help"))]
    Unexpected {
        /// First argument left over.
        argument: OsString,
    },
}

/// Parses `--help`, `--version` and `--settings FILE [--check]`.
pub fn parse(mut args: pico_args::Arguments) -> Result<Command, CliError> {
    if args.contains(["-h", "--help"]) {
        return Ok(Command::Help);
    }
    if args.contains(["-V", "--version"]) {
        return Ok(Command::Version);
    }
    let check = args.contains("--check");
    let path = args.value_from_os_str("--settings", |s| Ok::<_, CliError>(PathBuf::from(s)));
    let path = path.context(ArgumentSnafu)?;
    finish(args)?;
    Ok(if check { Command::Check(path) } else { Command::Run(path) })
}

/// Refuses arguments that no option took.
pub fn finish(args: pico_args::Arguments) -> Result<(), CliError> {
    match args.finish().into_iter().next() {
        Some(argument) => Err(CliError::Unexpected { argument }),
        None => Ok(()),
    }
}

/// Prints an error of a binary and returns its exit code.
pub fn fail<E>(binary: &str, code: u8, error: E) -> ExitCode
where
    E: std::fmt::Display,
{
    eprintln!("{binary}: {error}");
    ExitCode::from(code)
}
