//! Binary `chervil-agent`.

use std::process::ExitCode;

use pico_args::Arguments;

fn main() -> ExitCode {
    chervil_agent::run::run(Arguments::from_env())
}
