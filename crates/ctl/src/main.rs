//! Entry point of `chervilctl`.

use std::process::ExitCode;

fn main() -> ExitCode {
    chervil_ctl::run(pico_args::Arguments::from_env())
}
