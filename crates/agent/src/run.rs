//! Command `chervil-agent`.

use std::process::ExitCode;
use std::sync::Arc;

use chervil_base::clock::SystemClock;
use chervil_node::admin;
use chervil_node::cli;
use chervil_node::cli::Command;
use chervil_node::cli::EXIT_FAILURE;
use chervil_node::cli::EXIT_USAGE;
use chervil_node::logs;
use chervil_node::settings;
use chervil_node::shutdown;
use chervil_node::trace;
use pico_args::Arguments;
use tokio::runtime::Runtime;

use crate::Agent;
use crate::Settings;

const BINARY: &str = "chervil-agent";

const USAGE: &str = "\
Keeps a host's configuration, membership and link to the platform's store.

Usage:
    chervil-agent --settings FILE [--check]

Options:
    --settings FILE  TOML file with the settings
    --check          check the settings and exit
    -h, --help       print this text
    -V, --version    print the version

Exit codes: 0 after a planned shutdown, 1 after a failure, 2 for wrong
arguments or settings.
";

/// Runs the command.
pub fn run(args: Arguments) -> ExitCode {
    let (path, check) = match cli::parse(args) {
        Ok(Command::Help) => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Ok(Command::Version) => {
            println!("{BINARY} {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Ok(Command::Check(path)) => (path, true),
        Ok(Command::Run(path)) => (path, false),
        Err(e) => return cli::fail(BINARY, EXIT_USAGE, e),
    };
    let settings: Settings = match settings::load(&path) {
        Ok(settings) => settings,
        Err(e) => return cli::fail(BINARY, EXIT_USAGE, e),
    };
    if check {
        return ExitCode::SUCCESS;
    }
    let runtime = match Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return cli::fail(BINARY, EXIT_FAILURE, e),
    };
    match runtime.block_on(serve(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => cli::fail(BINARY, EXIT_FAILURE, e),
    }
}
