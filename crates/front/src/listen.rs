//! Accepts connections of callers, and drains them at shutdown.

use std::convert::Infallible;
use std::net::IpAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
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

/// Idle timeout of a connection before a configuration is known.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Largest request head, in bytes, before a configuration is known.
const DEFAULT_HEAD_BYTES: usize = 16 * 1024;

/// Smallest head limit, in bytes, that the HTTP library accepts.
const MIN_HEAD_BYTES: usize = 8 * 1024;

/// Factor on the configured idle timeout. Callers use the configured value; this
/// host waits longer, so that it does not close a connection that a caller is
/// about to use.
const IDLE_FACTOR: f64 = 1.1;

/// Time for which new connections still arrive after the host is no longer
/// ready: the load balancer probes once a second and needs two failed probes.
const LOAD_BALANCER_DELAY: Duration = Duration::from_millis(2_600);

/// Part of the grace period reserved for the exit of the process.
const EXIT_MARGIN: Duration = Duration::from_millis(500);

/// Part of that margin in which requests that are still running are answered, so that their
/// callers have the answers when the process ends.
const LAST_ANSWERS: Duration = Duration::from_millis(150);

/// Time for which a host that shuts down still reads the first request of a connection:
/// callers send it right after the connection is open.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(500);

/// Interval at which a host that shuts down checks for open connections.
const DRAIN_POLL: Duration = Duration::from_millis(50);

value! {
    /// Stage of the lifecycle of a host.
    #[derive(Copy, Eq, PartialOrd)]
    pub enum Stage {
        /// No configuration or backend server is known yet.
        Starting,
        /// Requests are accepted.
        Serving,
        /// Not ready. Requests are still answered, and each answer closes its
        /// connection.
        Stopping,
        /// Idle connections are closed too.
        Closing,
        /// Requests that are still running are answered as unknown.
        Ending,
    }
}

/// Stage of a host, and what a stop waits for.
#[derive(Debug)]
pub struct Lifecycle {
    stage: watch::Sender<Stage>,
    /// Time of [`Stage::Ending`] once the host is stopping.
    ends_at: OnceLock<time::Instant>,
    /// Open connections of callers.
    open: AtomicUsize,
    /// Queries in progress that other hosts have passed on.
    relayed: AtomicUsize,
}

/// Counts a query that another host has passed on for as long as it exists.
pub struct RelayedQuery(Arc<Lifecycle>);

impl Drop for RelayedQuery {
    fn drop(&mut self) {
        self.0.relayed.fetch_sub(1, Ordering::Relaxed);
    }
}

impl Default for Lifecycle {
    fn default() -> Lifecycle {
        let stage = watch::Sender::new(Stage::Starting);
        let ends_at = OnceLock::new();
        Lifecycle { stage, ends_at, open: AtomicUsize::new(0), relayed: AtomicUsize::new(0) }
    }
}

impl Lifecycle {
    /// Whether readiness probes succeed.
    pub fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving
    }

    /// Counts a query that another host has passed on as in progress.
    pub fn track_relayed(self: &Arc<Lifecycle>) -> RelayedQuery {
        self.relayed.fetch_add(1, Ordering::Relaxed);
        RelayedQuery(self.clone())
    }

    /// Number of queries in progress that other hosts have passed on.
    pub fn relayed(&self) -> usize {
        self.relayed.load(Ordering::Relaxed)
    }

    /// Number of open connections of callers.
    pub fn open_connections(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }

    /// Moves from [`Stage::Starting`] to [`Stage::Serving`]; no effect in any other
    /// stage.
    pub fn start_serving(&self) {
        self.stage.send_if_modified(|s| {
            let starting = *s == Stage::Starting;
            if starting {
                *s = Stage::Serving;
            }
            starting
        });
    }

    /// Time until requests that are still running are answered as unknown; `None` if the host
    /// is not stopping.
    fn time_left(&self) -> Option<Duration> {
        let ends_at = self.ends_at.get()?;
        Some(ends_at.saturating_duration_since(time::Instant::now()))
    }

    /// Makes readiness probes fail, drains the connections, and returns when all
    /// of them are closed or the grace period ends.
    pub async fn stop(&self, grace: Duration) {
        let deadline = time::Instant::now() + grace.saturating_sub(EXIT_MARGIN);
        let ends_at = *self.ends_at.get_or_init(|| deadline);
        self.stage.send_replace(Stage::Stopping);
        time::sleep(LOAD_BALANCER_DELAY.min(grace / 2)).await;
        self.stage.send_replace(Stage::Closing);
        // Twice in a row, since a connection may just have been accepted.
        let mut idle_polls = 0;
        while idle_polls < 2 && time::Instant::now() < ends_at + LAST_ANSWERS {
            time::sleep(DRAIN_POLL).await;
            if time::Instant::now() >= ends_at {
                self.stage.send_replace(Stage::Ending);
            }
            idle_polls = if self.is_busy() { 0 } else { idle_polls + 1 };
        }
    }
}

impl Lifecycle {
    fn is_busy(&self) -> bool {
        self.open_connections() > 0 || self.relayed() > 0
    }
}

/// Request activity of one connection.
struct Activity {
    /// Requests in progress.
    in_flight: AtomicUsize,
    /// Requests since the connection was opened.
    requests: AtomicUsize,
    last_used: Mutex<Instant>,
}

impl Activity {
    /// Time since which the connection is idle; `None` while a request is in
    /// progress.
    fn idle_since(&self) -> Option<Instant> {
        let idle = self.in_flight.load(Ordering::Relaxed) == 0;
        idle.then(|| *self.last_used.lock().unwrap_or_else(PoisonError::into_inner))
    }

    fn touch(&self, now: Instant) {
        *self.last_used.lock().unwrap_or_else(PoisonError::into_inner) = now;
    }
}

/// Accepts connections of callers until the task is dropped.
pub async fn serve(listener: TcpListener, core: Arc<Core>, lifecycle: Arc<Lifecycle>) {
    loop {
        // Accepting fails when file descriptors run out; the next call waits for
        // a free one.
        let Ok((stream, caller)) = listener.accept().await else { continue };
        // Errors are ignored: a connection that is already broken fails at its
        // first read.
        let _ = stream.set_nodelay(true);
        tokio::spawn(track_connection(stream, caller.ip(), core.clone(), lifecycle.clone()));
    }
}

/// Serves a connection and counts it as open meanwhile.
async fn track_connection(
    stream: TcpStream,
    caller: IpAddr,
    core: Arc<Core>,
    lifecycle: Arc<Lifecycle>,
) {
    lifecycle.open.fetch_add(1, Ordering::Relaxed);
    let activity = Activity {
        in_flight: AtomicUsize::new(0),
        requests: AtomicUsize::new(0),
        last_used: Mutex::new(core.now()),
    };
    serve_connection(stream, caller, &core, &lifecycle, &Arc::new(activity)).await;
    lifecycle.open.fetch_sub(1, Ordering::Relaxed);
}

/// Serves a connection until it is closed, has been idle for too long, or the
/// host reaches [`Stage::Closing`].
async fn serve_connection(
    stream: TcpStream,
    caller: IpAddr,
    core: &Arc<Core>,
    lifecycle: &Arc<Lifecycle>,
    activity: &Arc<Activity>,
) {
    let service = service_fn(|request: Request<Incoming>| {
        let (core, lifecycle, activity) = (core.clone(), lifecycle.clone(), activity.clone());
        async move {
            activity.in_flight.fetch_add(1, Ordering::Relaxed);
            let is_first = activity.requests.fetch_add(1, Ordering::Relaxed) == 0;
            let time_left = lifecycle.time_left();
            let origin = Origin { caller, new_connection: is_first, time_left };
            let mut stage = lifecycle.stage.subscribe();
            let mut answer = tokio::select! {
                biased;
                answer = handle::handle(core.clone(), request, origin) => answer,
                Ok(_) = stage.wait_for(|s| *s == Stage::Ending) => handle::answer_unfinished(&core),
            };
            activity.touch(core.now());
            activity.in_flight.fetch_sub(1, Ordering::Relaxed);
            if *lifecycle.stage.borrow() >= Stage::Stopping {
                let close = HeaderValue::from_static("close");
                answer.headers_mut().insert(header::CONNECTION, close);
            }
            Ok::<_, Infallible>(answer)
        }
    });
    let mut builder = http1::Builder::new();
    builder.header_read_timeout(None).max_buf_size(head_limit(core));
    let mut connection = pin!(builder.serve_connection(TokioIo::new(stream), service));
    let mut stage = lifecycle.stage.subscribe();
    loop {
        let closing = *stage.borrow_and_update() >= Stage::Closing;
        let remaining = idle_left(core, activity);
        if closing {
            // Reads what the caller has sent before it noticed the shutdown. The answer
            // closes the connection.
            let is_new = activity.requests.load(Ordering::Relaxed) == 0;
            let wait = if is_new { FIRST_REQUEST_WAIT } else { DRAIN_POLL };
            if time::timeout(wait, connection.as_mut()).await.is_ok() {
                return;
            }
        }
        if closing || remaining.is_zero() {
            connection.as_mut().graceful_shutdown();
            // An error means that the caller broke the connection.
            let _ = connection.await;
            return;
        }
        tokio::select! {
            _ = connection.as_mut() => return,
            _ = stage.changed() => {}
            () = time::sleep(remaining) => {}
        }
    }
}

/// Largest request head in bytes; requests with a larger one are answered with
/// status 431.
fn head_limit(core: &Core) -> usize {
    let configured = core.state().config.as_ref().map(|c| c.limits.max_head_bytes);
    configured.unwrap_or(DEFAULT_HEAD_BYTES).max(MIN_HEAD_BYTES)
}

/// Time until the connection is closed for being idle; the full timeout while a
/// request is in progress.
fn idle_left(core: &Core, activity: &Activity) -> Duration {
    let configured = core.state().config.as_ref().map(|c| c.limits.idle_timeout);
    let timeout = configured.unwrap_or(DEFAULT_IDLE_TIMEOUT).mul_f64(IDLE_FACTOR);
    let idle = activity.idle_since().map(|s| core.now().duration_since(s));
    timeout.saturating_sub(idle.unwrap_or_default())
}
