//! `chervil-standin`: simulates backend servers and the platform in one process.

use std::io;
use std::path::Path;
use std::process::ExitCode;

use chervil_node::cli;
use chervil_node::cli::Command;
use chervil_node::settings;
use chervil_node::settings::SettingsError;
use chervil_node::shutdown::ShutdownSignals;
use chervil_standin::cluster::Standin;
use chervil_standin::cluster::StartError;
use chervil_standin::settings::Settings;
use chervil_standin::sheet::render_sheet;
use snafu::ResultExt as _;
use snafu::Snafu;

const USAGE: &str = "\
Simulates backend servers and the platform for tests and measurements.

Usage:
    chervil-standin --settings FILE [--check]
    chervil-standin --settings FILE --sheet EXPORT_TIME

Options:
    --settings FILE      Settings file in TOML
    --check              Check the settings and exit
    --sheet EXPORT_TIME  Print the sheet that declares the simulated servers,
                         stamped with this time, and exit
    -h, --help           Print this text
    -V, --version        Print the version

Prints one line with its addresses to standard output once it accepts
connections.
";

const NAME: &str = "chervil-standin";

#[derive(Debug, Snafu)]
enum RunError {
    #[snafu(transparent)]
    Settings { source: SettingsError },
    #[snafu(transparent)]
    Start { source: StartError },
    #[snafu(display(
        "cannot start the async runtime: {source}; check the host's limits on threads and files"
    ))]
    Runtime { source: io::Error },
    #[snafu(display(
        "cannot install the signal handlers: {source}; check the host's limits on files"
    ))]
    Signal { source: io::Error },
}

fn main() -> ExitCode {
    let mut args = pico_args::Arguments::from_env();
    let exported: Option<String> = match args.opt_value_from_str("--sheet") {
        Ok(exported) => exported,
        Err(e) => return cli::fail(NAME, cli::EXIT_USAGE, e),
    };
    let result = match cli::parse(args) {
        Ok(Command::Help) => {
            print!("{USAGE}");
            Ok(())
        }
        Ok(Command::Version) => {
            println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Ok(Command::Check(path)) => settings::load::<Settings>(&path).map(drop).map_err(Into::into),
        Ok(Command::Run(path)) => match exported {
            Some(time) => print_sheet(&path, &time),
            None => run(&path),
        },
        Err(e) => return cli::fail(NAME, cli::EXIT_USAGE, e),
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(e @ RunError::Settings { .. }) => cli::fail(NAME, cli::EXIT_USAGE, e),
        Err(e) => cli::fail(NAME, cli::EXIT_FAILURE, e),
    }
}

fn print_sheet(path: &Path, exported: &str) -> Result<(), RunError> {
    let settings: Settings = settings::load(path)?;
    print!("{}", render_sheet(&settings, exported));
    Ok(())
}

fn run(path: &Path) -> Result<(), RunError> {
    let settings: Settings = settings::load(path)?;
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(async {
        let mut signals = ShutdownSignals::install().context(SignalSnafu)?;
        let standin = Standin::start(&settings).await?;
        let platform = standin.platform.map(|p| format!(" platform={p}")).unwrap_or_default();
        println!("control={}{platform} servers={}", standin.control, standin.servers.len());
        signals.recv().await;
        Ok(())
    })
}
