//! Graceful shutdown: the process first reports that it is not ready, then
//! accepts no new requests, then waits for the running requests to finish, and
//! then exits.

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

/// Readiness and shutdown state of a process, shared by its admin endpoints and
/// request handlers. Clones refer to the same state.
#[derive(Clone, Debug)]
pub struct Lifecycle {
    inner: Arc<Inner>,
}

#[derive(Debug)]
struct Inner {
    ready: AtomicBool,
    /// Number of running requests.
    running: AtomicUsize,
    shutdown: watch::Sender<bool>,
}

/// Guard of a running request; the request counts as running until the guard is
/// dropped.
#[derive(Debug)]
pub struct RequestGuard(Arc<Inner>);

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle::new()
    }
}

impl Lifecycle {
    /// Creates the state of a process that is not ready yet.
    pub fn new() -> Lifecycle {
        let (shutdown, _) = watch::channel(false);
        let inner = Inner { ready: false.into(), running: 0.into(), shutdown };
        Lifecycle { inner: Arc::new(inner) }
    }

    /// Sets whether the process can serve requests. During a shutdown it is not
    /// ready, whatever is set here.
    pub fn set_ready(&self, ready: bool) {
        self.inner.ready.store(ready, Ordering::Relaxed);
    }

    /// Whether the process can serve requests and no shutdown has begun.
    pub fn is_ready(&self) -> bool {
        self.inner.ready.load(Ordering::Relaxed) && !self.is_shutting_down()
    }

    /// Whether a shutdown has begun.
    pub fn is_shutting_down(&self) -> bool {
        *self.inner.shutdown.borrow()
    }

    /// Begins a shutdown: from now on the process is not ready.
    pub fn begin_shutdown(&self) {
        self.inner.shutdown.send_replace(true);
    }

    /// Waits until a shutdown begins.
    pub async fn wait_for_shutdown(&self) {
        let mut shutdown = self.inner.shutdown.subscribe();
        // Waiting cannot fail, because `self` keeps the sender alive.
        let _ = shutdown.wait_for(|s| *s).await;
    }

    /// Counts a request as running until the returned guard is dropped.
    pub fn begin_request(&self) -> RequestGuard {
        self.inner.running.fetch_add(1, Ordering::SeqCst);
        RequestGuard(self.inner.clone())
    }

    /// Number of running requests.
    pub fn running_requests(&self) -> usize {
        self.inner.running.load(Ordering::SeqCst)
    }

    /// Waits until no request has been running for `quiet`, at most for `limit`.
    /// Returns whether all requests have finished.
    ///
    /// The state is polled, so a request that starts and ends between two polls
    /// does not restart the quiet period.
    pub async fn drain(&self, quiet: Duration, limit: Duration) -> bool {
        const POLL_INTERVAL: Duration = Duration::from_millis(10);
        let deadline = time::Instant::now() + limit;
        let mut idle = Duration::ZERO;
        while time::Instant::now() < deadline {
            if self.running_requests() > 0 {
                idle = Duration::ZERO;
            } else if idle >= quiet {
                return true;
            }
            time::sleep(POLL_INTERVAL).await;
            idle += POLL_INTERVAL;
        }
        self.running_requests() == 0
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.0.running.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Handlers of the signals that request a shutdown: SIGTERM and SIGINT.
#[derive(Debug)]
pub struct ShutdownSignals {
    term: Signal,
    int: Signal,
}

impl ShutdownSignals {
    /// Installs the handlers. A process must call this early in its startup, so
    /// that a signal that arrives meanwhile is not missed.
    pub fn install() -> io::Result<ShutdownSignals> {
        let term = signal(SignalKind::terminate())?;
        let int = signal(SignalKind::interrupt())?;
        Ok(ShutdownSignals { term, int })
    }

    /// Waits for SIGTERM or SIGINT. Returns at once if one has arrived since the
    /// handlers were installed.
    pub async fn recv(&mut self) {
        tokio::select! {
            _ = self.term.recv() => {}
            _ = self.int.recv() => {}
        }
    }
}
