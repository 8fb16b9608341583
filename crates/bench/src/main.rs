//! `chervil-bench`: measures entries and the naive baseline over loopback.

use std::fs;
use std::io;
use std::path::PathBuf;
use std::process::ExitCode;

use chervil_bench::phase::PhaseError;
use chervil_bench::run;
use chervil_bench::run::Policies;
use chervil_bench::scenario::Scenario;
use chervil_bench::settings::BenchSettings;
use chervil_node::cli;
use chervil_node::settings;
use chervil_node::settings::SettingsError;
use pico_args::Arguments;
use snafu::ResultExt as _;
use snafu::Snafu;

const USAGE: &str = "\
Measures a running installation over loopback, and a naive policy that asks
each shard once as the baseline.

Usage:
    chervil-bench --settings FILE [OPTIONS] [SCENARIO...]

Scenarios (all of them by default):
    steady stragglers zone cold crash silent store-down rolling

Options:
    --settings FILE   Settings file in TOML
    --only POLICY     Measure `naive` or `tier` only
    --json FILE       Also write the result as JSON
    --events FILE     Append a line when the hosts are to change: zone-out,
                      zone-in, rolling-restart
    --check           Check the settings and exit
    -h, --help        Print this text
    -V, --version     Print the version
";

const NAME: &str = "chervil-bench";

struct Args {
    settings: PathBuf,
    policies: Policies,
    json: Option<PathBuf>,
    events: Option<PathBuf>,
    check: bool,
    scenarios: Vec<Scenario>,
}

#[derive(Debug, Snafu)]
enum BenchError {
    #[snafu(transparent)]
    Settings { source: SettingsError },
    #[snafu(transparent)]
    Phase { source: PhaseError },
    #[snafu(display(
        "cannot start the async runtime: {source}; check the host's limits on threads and files"
    ))]
    Runtime { source: io::Error },
    #[snafu(display("cannot write {}: {source}; check `--json`", path.display()))]
    Write { path: PathBuf, source: io::Error },
}

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    if args.contains(["-V", "--version"]) {
        println!("{NAME} {}", env!("CARGO_PKG_VERSION"));
        return ExitCode::SUCCESS;
    }
    let args = match parse(args) {
        Ok(args) => args,
        Err(e) => return cli::fail(NAME, cli::EXIT_USAGE, format!("{e}; see --help")),
    };
    match run(&args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e @ BenchError::Settings { .. }) => cli::fail(NAME, cli::EXIT_USAGE, e),
        Err(e) => cli::fail(NAME, cli::EXIT_FAILURE, e),
    }
}

fn parse(mut args: Arguments) -> Result<Args, pico_args::Error> {
    let policies = |text: &str| match text {
        "naive" => Ok(Policies::Naive),
        "tier" => Ok(Policies::Tier),
        _ => Err("use naive or tier"),
    };
    let parsed = Args {
        settings: args.value_from_str("--settings")?,
        policies: args.opt_value_from_fn("--only", policies)?.unwrap_or(Policies::Both),
        json: args.opt_value_from_str("--json")?,
        events: args.opt_value_from_str("--events")?,
        check: args.contains("--check"),
        scenarios: Vec::new(),
    };
    let mut scenarios = Vec::new();
    while let Some(scenario) = args.opt_free_from_str()? {
        scenarios.push(scenario);
    }
    if scenarios.is_empty() {
        scenarios.extend(Scenario::ALL);
    }
    Ok(Args { scenarios, ..parsed })
}

fn run(args: &Args) -> Result<(), BenchError> {
    let settings: BenchSettings = settings::load(&args.settings)?;
    if args.check {
        return Ok(());
    }
    let runtime = tokio::runtime::Runtime::new().context(RuntimeSnafu)?;
    let events = args.events.as_deref();
    let report = runtime.block_on(run::run(&settings, &args.scenarios, args.policies, events))?;
    print!("{report}");
    if let Some(path) = &args.json {
        let text = serde_json::to_vec_pretty(&report).map_err(io::Error::from);
        text.and_then(|t| fs::write(path, t)).context(WriteSnafu { path })?;
    }
    Ok(())
}
