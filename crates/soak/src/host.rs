//! Starts, signals and kills the chervillink processes under test.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;

use rustix::process::Pid;
use rustix::process::Signal;

/// A chervillink process; it is killed on drop.
#[derive(Debug)]
pub struct Host {
    /// Node name in its settings, also the stem of its settings and log files.
    pub name: String,
    /// Port on which it accepts callers.
    pub port: u16,
    binary: PathBuf,
    settings_path: PathBuf,
    log_path: PathBuf,
    child: Option<Child>,
    /// Number of times that the process was started; tells whether it was
    /// restarted in the meantime.
    pub starts: u32,
}

impl Host {
    /// Writes the settings file into `dir` and starts the process.
    pub fn start(
        name: String,
        port: u16,
        binary: &Path,
        dir: &Path,
        settings: &str,
    ) -> io::Result<Host> {
        let settings_path = dir.join(format!("{name}.toml"));
        fs::write(&settings_path, settings)?;
        let log_path = dir.join(format!("{name}.log"));
        let binary = binary.to_path_buf();
        let mut host = Host { name, port, binary, settings_path, log_path, child: None, starts: 0 };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process; its log is appended to that of earlier starts.
    pub fn spawn(&mut self) -> io::Result<()> {
        let log = fs::OpenOptions::new().create(true).append(true).open(&self.log_path)?;
        let mut command = Command::new(&self.binary);
        command.arg("--settings").arg(&self.settings_path).arg("--metrics").arg("127.0.0.1:0");
        self.child = Some(command.stdout(Stdio::from(log)).stderr(Stdio::inherit()).spawn()?);
        self.starts += 1;
        Ok(())
    }

    /// Sets the program that the next start runs.
    pub fn set_binary(&mut self, binary: &Path) {
        self.binary = binary.to_path_buf();
    }

    /// The log of all starts so far.
    pub fn log(&self) -> io::Result<String> {
        fs::read_to_string(&self.log_path)
    }

    /// Sends a signal; does nothing if the process has been reaped.
    pub fn signal(&self, signal: Signal) -> io::Result<()> {
        let Some(child) = &self.child else { return Ok(()) };
        rustix::process::kill_process(Pid::from_child(child), signal)?;
        Ok(())
    }

    /// Whether the process has exited. Reaps it if so.
    pub fn has_exited(&mut self) -> io::Result<bool> {
        let Some(child) = &mut self.child else { return Ok(true) };
        let exited = child.try_wait()?.is_some();
        if exited {
            self.child = None;
        }
        Ok(exited)
    }

    /// Kills the process with SIGKILL and reaps it.
    pub fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Errors are ignored, as the process may have exited by itself.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}
