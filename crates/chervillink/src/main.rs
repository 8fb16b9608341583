//! Entry point of the `chervillink` binary, which runs one host.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::sync::Arc;
use std::time::Duration;

use chervil_adapter::headers;
use chervil_adapter::settings;
use chervil_adapter::settings::Settings;
use chervil_adapter::store::StoreRegistry;
use chervil_base::clock::SystemClock;
use chervil_front::host;
use chervil_front::host::Signals;
use chervil_node::cli::EXIT_FAILURE;
use chervil_node::cli::EXIT_USAGE;
use chervil_node::cli::fail;
use chervil_node::cli::reject_unexpected;
use chervil_node::logs;
use pico_args::Arguments;
use tokio::runtime;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;

const BINARY: &str = "chervillink";

/// Largest value of `--max-pause`.
const MAX_PAUSE_SETTING: Duration = Duration::from_secs(24 * 60 * 60);

const USAGE: &str = "
Runs one chervillink host, which forwards the requests of callers to backend
servers.

Usage:
    chervillink [--settings FILE] [--metrics ADDRESS] [--log-level LEVEL]
                [--max-pause SECONDS] [--check]
    chervillink --help | --version

Options:
    --settings FILE    Settings file of the platform [default: the path in the
                       environment variable CHERVILLINK_SETTINGS].
    --metrics ADDRESS  Address to serve metrics on, IP:PORT [default: port 9464
                       on the host's IP address].
    --log-level LEVEL  Least severe level to log: critical, error, warn, info,
                       debug or trace [default: info].
    --max-pause SECONDS
                       Longest pause that a backend server may ask for
                       [default: 60].
    --check            Check the settings and exit.
";

struct Args {
    settings: Option<PathBuf>,
    metrics: Option<SocketAddr>,
    log_level: Option<String>,
    max_pause: Option<Duration>,
    check: bool,
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("{BINARY} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    match parse(args) {
        Ok(args) => run(args),
        Err(error) => fail(BINARY, EXIT_USAGE, error),
    }
}

fn parse(mut args: Arguments) -> Result<Args, String> {
    let settings = args.opt_value_from_os_str("--settings", |s| Ok::<_, String>(PathBuf::from(s)));
    let metrics = args.opt_value_from_str("--metrics");
    let log_level = args.opt_value_from_str("--log-level");
    let max_pause = args.opt_value_from_fn("--max-pause", parse_seconds);
    let parsed = Args {
        check: args.contains("--check"),
        settings: settings.map_err(|e| format!("{e}; see --help"))?,
        metrics: metrics.map_err(|e| format!("{e}; see --help"))?,
        log_level: log_level.map_err(|e| format!("{e}; see --help"))?,
        max_pause: max_pause.map_err(|e| format!("{e}; see --help"))?,
    };
    reject_unexpected(args).map_err(|e| e.to_string())?;
    Ok(parsed)
}

/// Parses a time of up to a day.
fn parse_seconds(text: &str) -> Result<Duration, String> {
    let seconds = text.parse::<f64>().ok().and_then(|s| Duration::try_from_secs_f64(s).ok());
    let time = seconds.filter(|time| *time <= MAX_PAUSE_SETTING);
    time.ok_or_else(|| format!("{text} is not a number of seconds from 0 to 86400"))
}

fn run(args: Args) -> ExitCode {
    let Some(path) = args.settings.or_else(settings::path_from_env) else {
        return fail(
            BINARY,
            EXIT_USAGE,
            "no settings file given; use --settings FILE or set CHERVILLINK_SETTINGS",
        );
    };
    let mut settings = match settings::read(&path) {
        Ok(settings) => settings,
        Err(error) => return fail(BINARY, EXIT_USAGE, error),
    };
    settings.host.metrics = args.metrics.unwrap_or(settings.host.metrics);
    settings.host.bounds.max_pause = args.max_pause.unwrap_or(settings.host.bounds.max_pause);
    if args.check {
        println!("{} is valid", path.display());
        return ExitCode::SUCCESS;
    }
    if let Err(error) = logs::init_stdout(args.log_level.as_deref().unwrap_or("info")) {
        return fail(BINARY, EXIT_USAGE, error);
    }
    match serve(settings) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => fail(BINARY, EXIT_FAILURE, error),
    }
}

fn serve(settings: Settings) -> Result<(), Box<dyn std::error::Error>> {
    // A host gets a fraction of one core, which a single thread uses most
    // efficiently.
    let runtime = runtime::Builder::new_current_thread().enable_all().build()?;
    runtime.block_on(async {
        let signals = Signals {
            stop: signal(SignalKind::terminate())?,
            reload: signal(SignalKind::hangup())?,
        };
        let registry = Arc::new(StoreRegistry::new(settings.store_address));
        let clock = Arc::new(SystemClock);
        host::run(settings.host, headers::names(), registry, clock, signals).await?;
        Ok(())
    })
}
