//! Entry point of `chervil-gate`.

use std::path::Path;
use std::process::ExitCode;

use chervil_gate::app;
use chervil_gate::settings::GateSettings;
use chervil_node::cli;
use chervil_node::cli::Command;
use chervil_node::settings;

const BINARY: &str = "chervil-gate";

const USAGE: &str = "\
chervil-gate: sends work to the backend servers that this host owns

usage:
  chervil-gate --settings FILE           run until SIGTERM or SIGINT
  chervil-gate --settings FILE --check   check the settings and exit
  chervil-gate --help
  chervil-gate --version

exit codes:
  0  stopped gracefully
  1  cannot run
  2  wrong arguments or settings
";

fn main() -> ExitCode {
    match cli::parse(pico_args::Arguments::from_env()) {
        Err(e) => cli::fail(BINARY, cli::EXIT_USAGE, e),
        Ok(Command::Help) => {
            print!("{USAGE}");
            ExitCode::SUCCESS
        }
        Ok(Command::Version) => {
            println!("{BINARY} {}", env!("CARGO_PKG_VERSION"));
            ExitCode::SUCCESS
        }
        Ok(Command::Check(path)) => match load(&path) {
            Ok(_) => ExitCode::SUCCESS,
            Err(code) => code,
        },
        Ok(Command::Run(path)) => run(&path),
    }
}

fn load(path: &Path) -> Result<GateSettings, ExitCode> {
    let settings: GateSettings =
        settings::load(path).map_err(|e| cli::fail(BINARY, cli::EXIT_USAGE, e))?;
    settings.check().map_err(|e| cli::fail(BINARY, cli::EXIT_USAGE, e))?;
    Ok(settings)
}

fn run(path: &Path) -> ExitCode {
    let settings = match load(path) {
        Ok(settings) => settings,
        Err(code) => return code,
    };
    let runtime = match tokio::runtime::Runtime::new() {
        Ok(runtime) => runtime,
        Err(e) => return cli::fail(BINARY, cli::EXIT_FAILURE, e),
    };
    match runtime.block_on(app::run(settings)) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => cli::fail(BINARY, cli::EXIT_FAILURE, e),
    }
}
