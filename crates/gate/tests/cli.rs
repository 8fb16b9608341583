//! Command line of `chervil-gate`.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const SETTINGS: &str = "listen = \"127.0.0.1:0\"\nsecret = \"a-secret-for-tests-only\"\n\
    agent = \"127.0.0.1:1\"\n[node]\nhost = \"h1\"\nzone = \"z1\"\nadmin = \"127.0.0.1:0\"\n";

fn run_gate(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervil-gate")).args(args).output().unwrap()
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Guards against changes of exit codes and output that scripts rely on.
#[test]
fn help_version_and_unknown_argument() {
    let help = run_gate(&["--help"]);
    let version = run_gate(&["--version"]);
    let wrong = run_gate(&["--setings"]);

    assert!(help.status.success() && help.stdout.starts_with(b"chervil-gate:"));
    assert!(version.status.success() && version.stdout.starts_with(b"chervil-gate 0."));
    assert_eq!(wrong.status.code(), Some(2));
}

/// Guards against `--check` accepting an unknown key or a value out of range, and against
/// an error message without line and key.
#[test]
fn invalid_settings_are_rejected() {
    let good = write_file("good.toml", SETTINGS);
    let unknown_key = write_file("bad.toml", &format!("{SETTINGS}[tunables]\nqueu = 3\n"));
    let out_of_range =
        write_file("zero.toml", &format!("{SETTINGS}[tunables]\nlease_poll_ms = 0\n"));

    let accepted = run_gate(&["--check", "--settings", good.to_str().unwrap()]);
    let key_error = run_gate(&["--check", "--settings", unknown_key.to_str().unwrap()]);
    let range_error = run_gate(&["--check", "--settings", out_of_range.to_str().unwrap()]);

    assert!(accepted.status.success());
    assert_eq!(range_error.status.code(), Some(2));
    assert_eq!(key_error.status.code(), Some(2));
    let text = String::from_utf8(key_error.stderr).unwrap();
    assert!(text.contains("line 9") && text.contains("queu"), "{text}");
}

/// Guards against SIGTERM killing the process instead of stopping it with exit code 0.
#[test]
fn sigterm_stops_the_process_gracefully() {
    let path = write_file("run.toml", SETTINGS);
    let mut child = Command::new(env!("CARGO_BIN_EXE_chervil-gate"))
        .args(["--settings", path.to_str().unwrap()])
        .stderr(std::process::Stdio::piped())
        .spawn()
        .unwrap();
    let mut stderr = std::io::BufReader::new(child.stderr.take().unwrap());
    let mut line = String::new();
    std::io::BufRead::read_line(&mut stderr, &mut line).unwrap();
    assert!(line.contains("gate started"), "{line}");

    let killed = Command::new("kill").arg(child.id().to_string()).status().unwrap();

    assert!(killed.success());
    assert!(child.wait().unwrap().success());
}
