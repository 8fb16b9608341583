//! Command line and main loop of `chervil-agent`.

use std::io;
use std::process::ExitCode;
use std::sync::Arc;

use chervil_base::clock::SystemClock;
use chervil_node::admin;
use chervil_node::admin::AdminError;
use chervil_node::cli;
use chervil_node::cli::Command;
use chervil_node::cli::EXIT_FAILURE;
use chervil_node::cli::EXIT_USAGE;
use chervil_node::logs;
use chervil_node::logs::LogError;
use chervil_node::settings;
use chervil_node::shutdown::ShutdownSignals;
use chervil_node::trace;
use chervil_node::trace::TraceError;
use chervil_platform::HttpError;
use chervil_platform::HttpHosts;
use chervil_platform::HttpSettings;
use chervil_platform::HttpStore;
use pico_args::Arguments;
use snafu::ResultExt as _;
use snafu::Snafu;
use tokio::runtime::Runtime;

use crate::Agent;
use crate::Settings;
use crate::agent::StartError;

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

/// Why the agent could not run.
#[derive(Debug, Snafu)]
enum RunError {
    #[snafu(transparent)]
    Logs { source: LogError },
    #[snafu(transparent)]
    Traces { source: TraceError },
    #[snafu(transparent)]
    Platform { source: HttpError },
    #[snafu(transparent)]
    Admin { source: AdminError },
    #[snafu(transparent)]
    Start { source: StartError },
    #[snafu(display(
        "cannot install signal handlers: {source}; check the resource limits of the process"
    ))]
    Signals { source: io::Error },
}

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

async fn serve(settings: Settings) -> Result<(), RunError> {
    let node = settings.node.clone();
    logs::init_stderr(&node.log_level)?;
    let _traces = trace::init(BINARY, node.otlp.as_deref())?;
    let mut signals = ShutdownSignals::install().context(SignalsSnafu)?;
    let platform = HttpSettings {
        timeout: settings.tunables.store_timeout(),
        ..HttpSettings::new(&settings.platform)
    };
    let store = Arc::new(HttpStore::new(&platform)?);
    let hosts = Arc::new(HttpHosts::new(&platform)?);
    let agent = Agent::start(settings, store, hosts, Arc::new(SystemClock)).await?;
    let admin = admin::serve(node.admin, agent.lifecycle().clone()).await?;
    signals.recv().await;
    spdlog::info!("planned shutdown begins");
    agent.shutdown().await;
    admin.abort();
    spdlog::info!("planned shutdown ends");
    Ok(())
}
