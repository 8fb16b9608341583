//! Starts, signals and stops one process of a host.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;

/// Child process of the test; it is killed when dropped.
pub struct Process {
    binary: &'static str,
    settings: PathBuf,
    /// Listener that serves `/ready` and `/live`.
    pub admin: SocketAddr,
    /// `None` once the process was killed or its exit was awaited.
    child: Option<Child>,
}

impl Process {
    /// Writes the settings file of the process to `dir` and spawns it.
    pub fn start(
        binary: &'static str,
        dir: &Path,
        host: usize,
        settings: &str,
        admin: SocketAddr,
    ) -> Process {
        let path = dir.join(format!("{binary}-{host}.toml"));
        fs::write(&path, settings).unwrap();
        let mut process = Process { binary, settings: path, admin, child: None };
        process.spawn();
        process
    }

    /// Spawns the process with its settings file and appends its log to the
    /// same file as earlier runs; the earlier run must have ended.
    pub fn spawn(&mut self) {
        let log = File::options();
        let log = log.clone().create(true).append(true).open(self.settings.with_extension("log"));
        let mut command = Command::new(binary_path(self.binary));
        command.arg("--settings").arg(&self.settings).stderr(log.unwrap());
        self.child = Some(command.spawn().unwrap());
    }

    /// Sends a signal, named without its `SIG` prefix.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        assert!(status.unwrap().success(), "cannot send SIG{signal} to {} ({pid})", self.binary);
    }

    /// Waits until the process exits and returns its exit code, or `None` when a
    /// signal ended it.
    pub async fn wait_exit(&mut self) -> Option<i32> {
        let mut child = self.child.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || child.wait().unwrap().code());
        let exit = tokio::time::timeout(super::WAIT_TIMEOUT, wait).await;
        exit.expect("the process should exit within the timeout").unwrap()
    }

    /// Sends SIGKILL and reaps the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only if the process has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Path of a binary of this workspace, in the target directory of the running
/// test.
pub fn binary_path(name: &str) -> PathBuf {
    let test_binary = std::env::current_exe().unwrap();
    let dir = test_binary.parent().and_then(Path::parent).unwrap();
    let path = dir.join(name);
    assert!(path.exists(), "{} is missing; run `cargo build --workspace`", path.display());
    path
}
