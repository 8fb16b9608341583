//! Connections of callers, and the graceful shutdown of a host.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio::time;

use crate::core::Core;
use crate::handle;
use crate::handle::Origin;

/// Idle time of a connection before a configuration is known.
const DEFAULT_IDLE: Duration = Duration::from_secs(15);

/// Bytes of the largest head before a configuration is known.
const DEFAULT_HEAD: usize = 16 * 1024;

/// Least bound that the HTTP library takes.
const LEAST_HEAD: usize = 8 * 1024;

/// Share of the configured idle time by which this host waits longer than the
/// callers, so that it does not close a connection that is about to be used.
const IDLE_SHARE: f64 = 1.1;

/// Time for which new connections still arrive after the host has stopped being
/// ready: the load balancer probes once a second and needs two misses.
const BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Time kept off the grace period for the exit itself.
const EXIT_TIME: Duration = Duration::from_millis(500);

/// Interval at which a stopping host looks whether its connections are closed.
const DRAIN_POLL: Duration = Duration::from_millis(50);

value! {
    /// Stage of a host's life.
    #[derive(Copy, Eq)]
    pub enum Stage {
        /// Nothing is known yet.
        Starting,
        /// Requests are taken.
        Serving,
        /// Requests are answered, and connections are closed after an answer.
        Stopping,
        /// Idle connections are closed.
        Closing,
    }
}

/// Stage of a host's life and its open connections.
#[derive(Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    open: AtomicUsize,
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        Lifecycle { stage: watch::Sender::new(Stage::Starting), open: AtomicUsize::new(0) }
    }
}

impl Lifecycle {
    /// Whether the host takes requests.
    pub fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving
    }

    /// Takes requests from now on.
    pub fn begin(&self) {
        self.stage.send_if_modified(|s| {
            let starting = *s == Stage::Starting;
            if starting {
                *s = Stage::Serving;
            }
            starting
        });
    }

    /// Stops being ready, answers what is running and returns when all
    /// connections are closed, or when the grace period ends.
    pub async fn stop(&self, grace: Duration) {
        let end = time::Instant::now() + grace.saturating_sub(EXIT_TIME);
        self.stage.send_replace(Stage::Stopping);
        time::sleep(BALANCER_DELAY.min(grace / 2)).await;
        self.stage.send_replace(Stage::Closing);
        while self.open.load(Ordering::Relaxed) > 0 && time::Instant::now() < end {
            time::sleep(DRAIN_POLL).await;
        }
    }
}

/// Activity of one connection.
struct Activity {
    running: AtomicUsize,
    served: AtomicUsize,
    last: Mutex<Instant>,
}

impl Activity {
    fn idle_since(&self) -> Option<Instant> {
        let idle = self.running.load(Ordering::Relaxed) == 0;
        idle.then(|| *self.last.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn touch(&self, now: Instant) {
        *self.last.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }
}

/// Accepts connections of callers.
pub async fn serve(listener: TcpListener, core: Arc<Core>, lifecycle: Arc<Lifecycle>) {
    loop {
        // Accepting fails when descriptors run out; the next call waits for one.
        let Ok((stream, caller)) = listener.accept().await else { continue };
        // A connection that is broken already fails at its first read.
        let _ = stream.set_nodelay(true);
        tokio::spawn(connection(stream, caller.ip(), core.clone(), lifecycle.clone()));
    }
}

async fn connection(stream: TcpStream, caller: IpAddr, core: Arc<Core>, lifecycle: Arc<Lifecycle>) {
    lifecycle.open.fetch_add(1, Ordering::Relaxed);
    let activity = Activity {
        running: AtomicUsize::new(0),
        served: AtomicUsize::new(0),
        last: Mutex::new(core.now()),
    };
    converse(stream, caller, &core, &lifecycle, &Arc::new(activity)).await;
    lifecycle.open.fetch_sub(1, Ordering::Relaxed);
}

async fn converse(
    stream: TcpStream,
    caller: IpAddr,
    core: &Arc<Core>,
    lifecycle: &Arc<Lifecycle>,
    activity: &Arc<Activity>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let (core, lifecycle, activity) = (core.clone(), lifecycle.clone(), activity.clone());
        async move {
            activity.running.fetch_add(1, Ordering::Relaxed);
            let opened = activity.served.fetch_add(1, Ordering::Relaxed) == 0;
            let mut answer =
                handle::handle(core.clone(), request, Origin { caller, new_connection: opened })
                    .await;
            activity.touch(core.now());
            activity.running.fetch_sub(1, Ordering::Relaxed);
            if matches!(*lifecycle.stage.borrow(), Stage::Stopping | Stage::Closing) {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).max_buf_size(head_limit(core));
    let mut running = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut stage = lifecycle.stage.subscribe();
    loop {
        let closing = *stage.borrow_and_update() == Stage::Closing;
        let left = idle_left(core, activity);
        if closing || left.is_zero() {
            running.as_mut().graceful_shutdown();
            // A connection that the caller breaks needs no answer.
            let _ = running.await;
            return;
        }
        tokio::select! {
            _ = running.as_mut() => return,
            _ = stage.changed() => {}
            () = time::sleep(left) => {}
        }
    }
}

/// Bytes that the head of a request may have; larger ones are answered 431.
fn head_limit(core: &Core) -> usize {
    let configured = core.state().config.as_ref().map(|c| c.limits.head);
    configured.unwrap_or(DEFAULT_HEAD).max(LEAST_HEAD)
}

/// Time until an idle connection is closed; the full time while a request
/// runs.
fn idle_left(core: &Core, activity: &Activity) -> Duration {
    let configured = core.state().config.as_ref().map(|c| c.limits.idle);
    let limit = configured.unwrap_or(DEFAULT_IDLE).mul_f64(IDLE_SHARE);
    let idle = activity.idle_since().map(|s| core.now().duration_since(s));
    limit.saturating_sub(idle.unwrap_or_default())
}
