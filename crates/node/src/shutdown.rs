//! Graceful shutdown: not ready first, then no new work, then the running
//! work ends, then the process exits.

use std::io;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::sync::watch;
use tokio::time;

/// State of a process that its admin endpoints and its request handlers share.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ready: AtomicBool,
    running: AtomicUsize,
    stopping: watch::Sender<bool>,
}

/// Counts one running request until it is dropped.
#[derive(Debug)]
pub struct Running(Arc<Inner>);

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle::new()
    }
}

impl Lifecycle {
    /// A process that is not ready yet.
    pub fn new() -> Lifecycle {
        let (stopping, _) = watch::channel(false);
        let inner = Inner { ready: false.into(), running: 0.into(), stopping };
        Lifecycle { inner: Arc::new(inner) }
    }

    /// Says whether the process can accept new work.
    pub fn set_ready(&self, ready: bool) {
        self.inner.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process accepts new work.
    pub fn is_ready(&self) -> bool {
        self.inner.ready.load(Ordering::Relaxed) && !self.is_stopping()
    }

    /// Whether a stop has begun.
    pub fn is_stopping(&self) -> bool {
        *self.inner.stopping.borrow()
    }

    /// Begins a stop: from now on the process is not ready.
    pub fn stop(&self) {
        self.inner.stopping.send_replace(true);
    }

    /// Waits until a stop begins.
    pub async fn stopped(&self) {
        let mut stopping = self.inner.stopping.subscribe();
        // The sender lives as long as `self`, so that waiting cannot fail.
        let _ = stopping.wait_for(|s| *s).await;
    }

    /// Counts a request as running until the result is dropped.
    pub fn enter(&self) -> Running {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        Running(self.inner.clone())
    }

    /// Number of running requests.
    pub fn running(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Waits until no request has run for `quiet`, or until `limit` has passed.
    /// Returns whether all requests ended.
    pub async fn drained(&self, quiet: Duration, limit: Duration) -> bool {
        const STEP: Duration = Duration::from_millis(10);
        let end = time::Instant::now() + limit;
        let mut idle = Duration::ZERO;
        while time::Instant::now() < end {
            if self.running() > 0 {
                idle = Duration::ZERO;
            } else if idle >= quiet {
                return true;
            }
            time::sleep(STEP).await;
            idle += STEP;
        }
        self.running() == 0
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Signals that ask a process to stop.
#[derive(Debug)]
pub struct StopSignals {
    term: Signal,
    int: Signal,
}

impl StopSignals {
    /// Installs the handlers; a process does so before it starts, so that a
    /// signal during the start is not missed.
    pub fn install() -> io::Result<StopSignals> {
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        Ok(StopSignals { term, int })
    }

    /// Waits for SIGTERM or SIGINT, if none has come since the installation.
    pub async fn received(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
