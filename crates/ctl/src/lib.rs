//! `chervilctl`, the operators' command-line tool: checks sheets, changes the
//! configuration in the platform's store and shows which hosts it is in force on.

mod agents;
mod commands;
mod error;
mod options;
mod report;
mod rollout;
mod session;
mod settings;

use std::process::ExitCode;

use tokio::runtime::Builder;

use crate::commands::Command;
use crate::error::CtlError;
use crate::options::Options;
use crate::report::Exit;
use crate::report::Report;
use crate::settings::CtlSettings;

const BINARY: &str = "chervilctl";

const USAGE: &str = "\
Operates chervillink: checks sheets, changes the configuration and shows where
it is in force.

Usage: chervilctl [OPTIONS] COMMAND

Commands:
    check SHEET              check a sheet without using it
    diff SHEET               show what a sheet would change
    apply SHEET [--confirm-removals N]
                             replace the sheet in force
    status                   show the configuration and the hosts it is in force on
    history                  list the last 200 changes
    zone out|in NAME         take a zone out of service, or bring it back
    drain SERVER             send no new work to a backend server
    undrain SERVER           send new work to it again
    recover                  write the hosts' configuration back to a store that
                             was restored with older data

Options:
    --settings FILE          settings file; needed by all commands but `check`
    --check                  check the settings file and exit
    --operation ID           repeat the change with this id, whose result was
                             unknown
    --json                   print JSON
    -h, --help               print this text
    -V, --version            print the version

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 result unknown
";

/// Runs `chervilctl` and returns its exit code.
pub fn run(args: pico_args::Arguments) -> ExitCode {
    let options = match options::parse(args) {
        Ok(options) => options,
        Err(e) => return report::fail(BINARY, Exit::Usage, &e),
    };
    let json = options.json;
    match execute(options) {
        Ok(report) => report.print(json),
        Err(e) if json => report::fail_json(&e),
        Err(e) => report::fail(BINARY, e.exit(), &e),
    }
}

fn execute(options: Options) -> Result<Report, CtlError> {
    let command = match options.command {
        Command::Help => return Ok(Report::text(USAGE)),
        Command::Version => {
            return Ok(Report::text(&format!("{BINARY} {}\n", env!("CARGO_PKG_VERSION"))));
        }
        Command::Check(args) => return commands::check::run(&args),
        command => command,
    };
    let path = options.settings.ok_or(CtlError::MissingSettings)?;
    let settings: CtlSettings =
        chervil_node::settings::load(&path).map_err(|source| CtlError::Settings { source })?;
    let runtime = Builder::new_multi_thread().enable_all().build();
    let runtime = runtime.map_err(|source| CtlError::Runtime { source })?;
    runtime.block_on(commands::run(command, settings, options.operation))
}
