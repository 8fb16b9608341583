//! Command line shared by the server binaries.

use std::ffi::OsString;
use std::path::PathBuf;
use std::process::ExitCode;

use snafu::ResultExt as _;
use snafu::Snafu;

/// Exit code when the program fails at run time.
pub const EXIT_FAILURE: u8 = 1;

/// Exit code when the arguments or the settings are invalid.
pub const EXIT_USAGE: u8 = 2;

/// Action that the command line of a server binary requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Command {
    /// Print the usage text.
    Help,
    /// Print the version.
    Version,
    /// Validate this settings file and exit.
    Check(PathBuf),
    /// Run with this settings file.
    Run(PathBuf),
}

/// Error of parsing the command line.
#[derive(Debug, Snafu)]
pub enum CliError {
    /// An argument is missing or malformed.
    #[snafu(display("{source}; see --help"))]
    Argument {
        /// Error of the argument parser.
        source: pico_args::Error,
    },
    /// An argument belongs to no option.
    #[snafu(display("unexpected argument {argument:?}; see --help"))]
    Unexpected {
        /// First unexpected argument.
        argument: OsString,
    },
}

/// Parses `--help`, `--version` and `--settings FILE [--check]`.
///
/// `--help` and `--version` take precedence over all other arguments.
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
    reject_unexpected(args)?;
    Ok(if check { Command::Check(path) } else { Command::Run(path) })
}

/// Returns an error if `args` still contains arguments after all options were
/// parsed.
pub fn reject_unexpected(args: pico_args::Arguments) -> Result<(), CliError> {
    match args.finish().into_iter().next() {
        Some(argument) => Err(CliError::Unexpected { argument }),
        None => Ok(()),
    }
}

/// Prints `error` to standard error, prefixed with the name of the binary, and
/// returns `code` as exit code.
pub fn fail<E>(binary: &str, code: u8, error: E) -> ExitCode
where
    E: std::fmt::Display,
{
    eprintln!("{binary}: {error}");
    ExitCode::from(code)
}
