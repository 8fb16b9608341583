//! Command line of `chervil-agent`.
#![allow(clippy::unwrap_used, reason = "a fixture that fails should end its test")]

use std::fs;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;

mod common;

use common::free_address;
use common::until;

fn agent() -> Command {
    Command::new(env!("CARGO_BIN_EXE_chervil-agent"))
}

fn output(args: &[&str]) -> Output {
    agent().args(args).output().unwrap()
}

fn settings_file(name: &str, text: &str) -> PathBuf {
    let path = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    fs::write(&path, text).unwrap();
    path
}

fn valid_settings() -> String {
    format!(
        "listen = \"{}\"\ngate = \"127.0.0.1:1\"\nsecret = \"a-secret-for-tests-only\"\n\
         platform = \"http://127.0.0.1:1\"\n\
         [node]\nhost = \"h0\"\nzone = \"z1\"\nadmin = \"{}\"\n",
        free_address(),
        free_address(),
    )
}

/// Runs `--check` on settings; returns the exit code and the error output.
fn check(name: &str, text: &str) -> (Option<i32>, String) {
    let path = settings_file(name, text);
    let output = output(&["--settings", path.to_str().unwrap(), "--check"]);
    (output.status.code(), String::from_utf8(output.stderr).unwrap())
}

/// Guards against `--help` or `--version` without output or with an error code.
#[test]
fn help_and_version_are_printed() {
    let help = output(&["--help"]);
    let version = output(&["--version"]);

    assert_eq!((help.status.code(), version.status.code()), (Some(0), Some(0)));
    assert!(String::from_utf8_lossy(&help.stdout).contains("--settings FILE"));
    assert!(String::from_utf8_lossy(&version.stdout).starts_with("chervil-agent "));
}

/// Guards against invalid settings that are accepted, errors that do not name
/// the line, and errors that print the secret.
#[test]
fn invalid_settings_are_rejected_with_the_line() {
    let unknown = valid_settings().replace("[node]", "colour = 1\n[node]");
    let short = valid_settings().replace("a-secret-for-tests-only", "short");

    assert_eq!(check("valid.toml", &valid_settings()), (Some(0), String::new()));
    let (code, message) = check("unknown.toml", &unknown);
    assert_eq!(code, Some(2));
    assert!(message.contains("line 5") && message.contains("colour"), "{message}");
    let (code, message) = check("short.toml", &short);
    assert_eq!(code, Some(2));
    assert!(message.contains("at least 16") && !message.contains("\"short\""), "{message}");
    assert_eq!(output(&[]).status.code(), Some(2));
    assert_eq!(output(&["--settings", "absent.toml"]).status.code(), Some(2));
}

/// Child process that is killed when it is dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        // Fails if the process has ended already.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Guards against a planned shutdown that hangs or fails because the store is
/// unreachable.
#[tokio::test]
async fn an_agent_exits_with_0_after_sigterm() {
    let path = settings_file("run.toml", &valid_settings());
    let mut command = agent();
    command.arg("--settings").arg(path).stderr(Stdio::piped());
    let mut process = Process(command.spawn().unwrap());
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert!(process.0.try_wait().unwrap().is_none(), "the agent exited before the signal");

    let pid = process.0.id().to_string();
    assert!(Command::new("kill").args(["-TERM", &pid]).status().unwrap().success());

    until(async || process.0.try_wait().unwrap().is_some()).await;
    assert_eq!(process.0.wait().unwrap().code(), Some(0));
}
