//! Command line of the `chervil-entry` binary.

use std::process::ExitCode;

use chervil_entry::settings::EntrySettings;
use chervil_entry::start;
use chervil_node::cli;
use chervil_node::cli::Command;
use chervil_node::settings;

const NAME: &str = "chervil-entry";

const USAGE: &str = "\
Serves queries and non-idempotent requests of callers over HTTP.

Usage:
    chervil-entry --settings FILE [--check]

Options:
    --settings FILE  settings in TOML
    --check          check the settings and exit
    -h, --help       print this text
    -V, --version    print the version

Exit codes: 0 success, 1 failure, 2 wrong arguments or settings.
";

fn main() -> ExitCode {
    match cli::parse(pico_args::Arguments::from_env()) {
        Ok(command) => run(command),
        Err(e) => cli::fail(NAME, cli::EXIT_USAGE, e),
    }
}

fn run(command: Command) -> ExitCode {
    let (path, check) = match command {
        Command::Help => {
            print!("{USAGE}");
            return ExitCode::SUCCESS;
        }
        Command::Version => {
            println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
            return ExitCode::SUCCESS;
        }
        Command::Check(path) => (path, true),
        Command::Run(path) => (path, false),
    };
    let loaded = settings::load::<EntrySettings>(&path);
    match loaded {
        Err(e) => cli::fail(NAME, cli::EXIT_USAGE, e),
        Ok(loaded) => match loaded.check() {
            Err(e) => cli::fail(NAME, cli::EXIT_USAGE, e),
            Ok(()) if check => ExitCode::SUCCESS,
            Ok(()) => serve(loaded),
        },
    }
}

fn serve(settings: EntrySettings) -> ExitCode {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    let result = match runtime {
        Ok(runtime) => runtime.block_on(start::run(settings)).map_err(|e| e.to_string()),
        Err(e) => Err(format!("cannot start the runtime: {e}; check the host's limit on threads")),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => cli::fail(NAME, cli::EXIT_FAILURE, e),
    }
}
