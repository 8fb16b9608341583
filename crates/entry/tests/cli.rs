//! Command line of `chervil-entry`.

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const VALID_SETTINGS: &str = "listen = '127.0.0.1:0'\nagent = '127.0.0.1:1'\nsecret = '0123456789abcdef'\n\
                    [node]\nhost = 'h1'\nzone = 'z1'\nadmin = '127.0.0.1:0'\n";

/// Runs the binary with these arguments.
fn run_entry(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervil-entry")).args(args).output().unwrap_or_else(|e| {
        panic!("cannot run chervil-entry: {e}");
    })
}

/// Exit code and stderr of `--check` for these settings.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap_or_else(|e| panic!("cannot write {}: {e}", path.display()));
    let output = run_entry(&["--settings", &path.to_string_lossy(), "--check"]);
    (output.status.code(), String::from_utf8_lossy(&output.stderr).into_owned())
}

#[test]
fn valid_settings_pass_the_check() {
    // Guards against required settings without a default, and defaults out of
    // bounds: these settings set only what has no default.
    assert_eq!(check("valid.toml", VALID_SETTINGS), (Some(0), String::new()));
}

#[test]
fn invalid_settings_fail_the_check_and_are_named() {
    // Guards against an entry that starts with a misspelt key, a value out of
    // bounds or a secret that is too short, and against printing the secret.
    let unknown = check("unknown.toml", &format!("lisen = 1\n{VALID_SETTINGS}"));
    let bounds = check("bounds.toml", &format!("{VALID_SETTINGS}[plan]\nquantile = 2.0\n"));
    let secret = check("secret.toml", &VALID_SETTINGS.replace("0123456789abcdef", "short"));

    assert_eq!((unknown.0, bounds.0, secret.0), (Some(2), Some(2), Some(2)));
    assert!(unknown.1.contains("line 1") && unknown.1.contains("lisen"), "{}", unknown.1);
    assert!(bounds.1.contains("plan.quantile"), "{}", bounds.1);
    assert!(secret.1.contains("at least 16"), "{}", secret.1);
    assert!(!secret.1.contains("0123456789abcdef"));
}

#[test]
fn help_and_version_exit_with_0_and_wrong_arguments_with_2() {
    // Guards the exit codes that scripts rely on.
    let (help, version) = (run_entry(&["--help"]), run_entry(&["--version"]));
    let wrong = run_entry(&["--setings", "x"]);

    assert_eq!(help.status.code(), Some(0));
    assert!(String::from_utf8_lossy(&help.stdout).contains("Usage:"));
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("chervil-entry "));
    assert_eq!(wrong.status.code(), Some(2));
}
