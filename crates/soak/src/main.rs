//! Command-line interface of the soak.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use chervil_soak::run;
use chervil_soak::run::Options;
use pico_args::Arguments;

const USAGE: &str = "
Runs chervillink hosts under random faults and checks the guarantees from what
callers and backend servers observe. Exits with 1 if a guarantee was violated,
and with 2 if the arguments are wrong or a run cannot start.

Usage:
    chervil-soak --binary FILE [--seed N] [--count N] [--seconds S] [--hosts N]
                 [--previous FILE] [--stops-in-series]
    chervil-soak --help

Options:
    --binary FILE   Path of the chervillink program.
    --seed N        First seed [default: 1].
    --count N       Number of consecutive seeds, one run each [default: 1].
    --seconds S     Seconds during which new faults are injected [default: 12].
    --hosts N       Number of hosts [default: 4].
    --previous FILE Program of another build, which the hosts run first. They are replaced
                    one after the other.
    --stops-in-series  Stops all hosts in turn, again and again, beside the other faults.
";

struct Args {
    binary: PathBuf,
    seed: u64,
    count: u64,
    seconds: u64,
    hosts: usize,
    previous: Option<PathBuf>,
    stops_in_series: bool,
}

fn parse(mut args: Arguments) -> Result<Args, pico_args::Error> {
    let parsed = Args {
        binary: args.value_from_str("--binary")?,
        seed: args.opt_value_from_str("--seed")?.unwrap_or(1),
        count: args.opt_value_from_str("--count")?.unwrap_or(1),
        seconds: args.opt_value_from_str("--seconds")?.unwrap_or(12),
        hosts: args.opt_value_from_fn("--hosts", parse_hosts)?.unwrap_or(4),
        previous: args.opt_value_from_str("--previous")?,
        stops_in_series: args.contains("--stops-in-series"),
    };
    let unknown = args.finish();
    if let Some(option) = unknown.first() {
        let cause = format!("unknown argument {}", option.to_string_lossy());
        return Err(pico_args::Error::ArgumentParsingFailed { cause });
    }
    Ok(parsed)
}

fn parse_hosts(text: &str) -> Result<usize, String> {
    let hosts = text.parse::<usize>().map_err(|e| e.to_string())?;
    if hosts == 0 { Err("at least one host is needed".into()) } else { Ok(hosts) }
}

#[tokio::main]
async fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    let args = match parse(args) {
        Ok(args) => args,
        Err(error) => {
            eprintln!("chervil-soak: {error}; see --help");
            return ExitCode::from(2);
        }
    };
    let mut violations = 0;
    for seed in args.seed..args.seed + args.count {
        let dir = std::env::temp_dir().join(format!("chervil-soak-{}-{seed}", std::process::id()));
        let options = Options {
            seed,
            fault_time: Duration::from_secs(args.seconds),
            hosts: args.hosts,
            binary: args.binary.clone(),
            previous: args.previous.clone(),
            later_faults: true,
            stops_in_series: args.stops_in_series,
            dir: dir.clone(),
        };
        match run::run(&options).await {
            Ok(summary) => {
                let count = summary.violations.len();
                println!(
                    "seed {seed}: {} answered, {} not, {count} broken",
                    summary.answered, summary.failed
                );
                summary.violations.iter().for_each(|v| println!("    {v}"));
                violations += count;
                if count > 0 {
                    println!("    logs: {}", dir.display());
                    continue;
                }
            }
            Err(error) => {
                eprintln!("chervil-soak: {error}");
                return ExitCode::from(2);
            }
        }
        if let Err(error) = std::fs::remove_dir_all(&dir) {
            eprintln!("chervil-soak: cannot remove {}: {error}; remove it by hand", dir.display());
        }
    }
    ExitCode::from(u8::from(violations > 0))
}
