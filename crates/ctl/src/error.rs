//! Errors of `chervilctl`.

use std::io;
use std::path::PathBuf;

use chervil_config::ChangeResult;
use chervil_config::ConfigError;
use chervil_node::cli::CliError;
use chervil_node::settings::SettingsError;
use chervil_platform::HttpError;
use chervil_platform::StoreError;
use chervil_sheet::problem::SheetError;
use snafu::Snafu;

use crate::report::Exit;

/// Why a command failed before it could print a report.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub(crate) enum CtlError {
    #[snafu(display("{source}"))]
    Cli { source: CliError },
    #[snafu(display("{given:?} is not a command; see --help"))]
    UnknownCommand { given: Box<str> },
    #[snafu(display("{what} is missing; see --help"))]
    MissingArgument { what: &'static str },
    #[snafu(display("the settings file is missing; add --settings FILE"))]
    MissingSettings,
    #[snafu(display("{source}"))]
    Settings { source: SettingsError },
    #[snafu(display("cannot start the runtime: {source}; check the host's limit on threads"))]
    Runtime { source: io::Error },
    #[snafu(display("cannot read {}: {source}; check the path and its permissions", path.display()))]
    ReadSheet { path: PathBuf, source: io::Error },
    #[snafu(display("{source}"))]
    Sheet { source: SheetError },
    #[snafu(display("{source}"))]
    Http { source: HttpError },
    #[snafu(display("{source}"))]
    Store { source: StoreError },
    #[snafu(display("{source}"))]
    Config { source: ConfigError },
    #[snafu(display("{result}"))]
    History { result: ChangeResult },
    #[snafu(display("no host can be reached; check `agents` in the settings"))]
    HostsUnreachable,
    #[snafu(display(
        "neither the platform's store nor any host can be reached; check `store` and `agents` in \
         the settings"
    ))]
    AllUnreachable,
}

impl CtlError {
    /// Exit code of the process.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            CtlError::Cli { .. }
            | CtlError::UnknownCommand { .. }
            | CtlError::MissingArgument { .. }
            | CtlError::MissingSettings
            | CtlError::Settings { .. }
            | CtlError::Http { .. } => Exit::Usage,
            _ => Exit::Failed,
        }
    }
}
