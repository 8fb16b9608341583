//! One process of a host.

use std::fs;
use std::fs::File;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;

/// A running process; it is killed when dropped.
pub struct Process {
    binary: &'static str,
    settings: PathBuf,
    /// Address of `/ready` and `/live`.
    pub admin: SocketAddr,
    child: Option<Child>,
}

impl Process {
    /// Writes the settings and starts the process.
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
        process.restart();
        process
    }

    /// Starts the process again with the same settings.
    pub fn restart(&mut self) {
        let log = File::options();
        let log = log.clone().create(true).append(true).open(self.settings.with_extension("log"));
        let mut command = Command::new(binary(self.binary));
        command.arg("--settings").arg(&self.settings).stderr(log.unwrap());
        self.child = Some(command.spawn().unwrap());
    }

    /// Sends a signal, such as `STOP`.
    pub fn signal(&self, signal: &str) {
        let pid = self.child.as_ref().unwrap().id().to_string();
        let status = Command::new("kill").args([&format!("-{signal}"), &pid]).status();
        assert!(status.unwrap().success());
    }

    /// Waits until the process has ended and returns its exit code.
    pub async fn ended(&mut self) -> Option<i32> {
        let mut child = self.child.take().unwrap();
        let wait = tokio::task::spawn_blocking(move || child.wait().unwrap().code());
        tokio::time::timeout(super::LIMIT, wait).await.expect("the process ends").unwrap()
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only when the process has ended already.
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

/// Path of a binary of this workspace, next to the running test.
pub fn binary(name: &str) -> PathBuf {
    let test = std::env::current_exe().unwrap();
    let dir = test.parent().and_then(Path::parent).unwrap();
    let path = dir.join(name);
    assert!(path.exists(), "{} is missing; run `cargo build --workspace`", path.display());
    path
}
