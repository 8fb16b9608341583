//! Command line of the binary.

#![allow(clippy::unwrap_used)]

use std::fs;
use std::path::PathBuf;
use std::process::Command;
use std::process::Output;

const SETTINGS: &str = "listen = \"127.0.0.1:0\"\nsecret = \"a-secret-for-tests-only\"\n\
    agent = \"127.0.0.1:1\"\n[node]\nhost = \"h1\"\nzone = \"z1\"\nadmin = \"127.0.0.1:0\"\n";

fn gate(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_chervil-gate")).args(args).output().unwrap()
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

/// Guards against exit codes and texts that scripts rely on changing.
#[test]
fn help_version_and_wrong_arguments() {
    let help = gate(&["--help"]);
    let version = gate(&["--version"]);
    let wrong = gate(&["--setings"]);

    assert!(help.status.success() && help.stdout.starts_with(b"chervil-gate:"));
    assert!(version.status.success() && version.stdout.starts_with(b"chervil-gate 0."));
    assert_eq!(wrong.status.code(), Some(2));
}

/// Guards against a settings file with a mistake being accepted, and against
/// a message without the line.
#[test]
fn settings_are_checked() {
    let good = file("good.toml", SETTINGS);
    let bad = file("bad.toml", &format!("{SETTINGS}[tunables]\nqueu = 3\n"));
    let zero = file("zero.toml", &format!("{SETTINGS}[tunables]\nlease_poll_ms = 0\n"));

    let accepted = gate(&["--check", "--settings", good.to_str().unwrap()]);
    let refused = gate(&["--check", "--settings", bad.to_str().unwrap()]);
    let invalid = gate(&["--check", "--settings", zero.to_str().unwrap()]);

    assert!(accepted.status.success());
    assert_eq!(invalid.status.code(), Some(2));
    assert_eq!(refused.status.code(), Some(2));
    let text = String::from_utf8(refused.stderr).unwrap();
    assert!(text.contains("line 9") && text.contains("queu"), "{text}");
}

/// Guards against a stop by signal that does not end with exit code 0.
#[test]
fn a_signal_stops_the_process() {
    let path = file("run.toml", SETTINGS);
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
