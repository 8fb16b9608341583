//! Accepts connections of callers, and drains them at shutdown.

use std::convert::Infallible;
use std::io;
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

/// Interval at which a host that shuts down checks whether it is drained.
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
        /// New connections of callers are refused, and requests of other hosts declined.
        Draining,
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
    /// Listeners for callers.
    listening: AtomicUsize,
    /// Open connections of callers.
    open: AtomicUsize,
    /// Those of them that were accepted before [`Stage::Closing`].
    early: AtomicUsize,
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
        Lifecycle {
            stage,
            ends_at,
            listening: AtomicUsize::new(0),
            open: AtomicUsize::new(0),
            early: AtomicUsize::new(0),
            relayed: AtomicUsize::new(0),
        }
    }
}

impl Lifecycle {
    /// Whether readiness probes succeed.
    pub fn is_ready(&self) -> bool {
        *self.stage.borrow() == Stage::Serving
    }

    /// Whether the host takes nothing new any more.
    pub fn is_draining(&self) -> bool {
        *self.stage.borrow() >= Stage::Draining
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
    ///
    /// New connections are accepted while the host has to wait for earlier ones anyway: if many
    /// hosts stop at once, the load balancer may have no other. From then on the operating system
    /// refuses them, so that callers can go to another host at once.
    pub async fn stop(&self, grace: Duration) {
        let deadline = time::Instant::now() + grace.saturating_sub(EXIT_MARGIN);
        let ends_at = *self.ends_at.get_or_init(|| deadline);
        self.stage.send_replace(Stage::Stopping);
        time::sleep(LOAD_BALANCER_DELAY.min(grace / 2)).await;
        self.stage.send_replace(Stage::Closing);
        while self.is_busy() && time::Instant::now() < ends_at + LAST_ANSWERS {
            time::sleep(DRAIN_POLL).await;
            if time::Instant::now() >= ends_at {
                self.stage.send_replace(Stage::Ending);
            } else if !self.has_early_requests() {
                self.stage.send_replace(Stage::Draining);
            }
        }
    }

    /// Whether connections from before [`Stage::Closing`] are open, or queries of other hosts run.
    fn has_early_requests(&self) -> bool {
        self.early.load(Ordering::Relaxed) > 0 || self.relayed() > 0
    }

    /// Whether callers or other hosts still wait for answers, or callers can still connect.
    fn is_busy(&self) -> bool {
        let listens = self.listening.load(Ordering::Relaxed) > 0;
        listens || self.open_connections() > 0 || self.relayed() > 0
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

/// Counts a connection of a caller as open for as long as it exists.
struct OpenConnection {
    lifecycle: Arc<Lifecycle>,
    is_early: bool,
}

impl OpenConnection {
    fn new(lifecycle: Arc<Lifecycle>) -> OpenConnection {
        let is_early = *lifecycle.stage.borrow() < Stage::Closing;
        lifecycle.open.fetch_add(1, Ordering::Relaxed);
        lifecycle.early.fetch_add(usize::from(is_early), Ordering::Relaxed);
        OpenConnection { lifecycle, is_early }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.lifecycle.open.fetch_sub(1, Ordering::Relaxed);
        self.lifecycle.early.fetch_sub(usize::from(self.is_early), Ordering::Relaxed);
    }
}

/// Accepts connections of callers until the host reaches [`Stage::Draining`], and closes the
/// listener then.
pub async fn serve(listener: TcpListener, core: Arc<Core>, lifecycle: Arc<Lifecycle>) {
    lifecycle.listening.fetch_add(1, Ordering::Relaxed);
    let mut stage = lifecycle.stage.subscribe();
    loop {
        tokio::select! {
            // Accepting fails when file descriptors run out; the next call waits for a free one.
            accepted = listener.accept() => if let Ok((stream, caller)) = accepted {
                spawn_connection(stream, caller.ip(), &core, &lifecycle);
            },
            _ = stage.wait_for(|s| *s >= Stage::Draining) => break,
        }
    }
    if let Err(error) = accept_waiting(listener, &core, &lifecycle) {
        let error = error.to_string();
        spdlog::warn!("cannot accept the last connections of callers", kv: { error = error.as_str() });
    }
    lifecycle.listening.fetch_sub(1, Ordering::Relaxed);
}

/// Accepts the connections that wait in the queue of a listener, and closes it. Callers may have
/// sent requests on them.
fn accept_waiting(
    listener: TcpListener,
    core: &Arc<Core>,
    lifecycle: &Arc<Lifecycle>,
) -> io::Result<()> {
    // Asks the operating system: the runtime may not have heard of the last ones yet.
    let listener = listener.into_std()?;
    loop {
        match listener.accept() {
            Ok((stream, caller)) => {
                stream.set_nonblocking(true)?;
                spawn_connection(TcpStream::from_std(stream)?, caller.ip(), core, lifecycle);
            }
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
            // The caller has broken this connection.
            Err(error) if error.kind() == io::ErrorKind::ConnectionAborted => {}
            Err(error) => return Err(error),
        }
    }
}

/// Serves a connection in a task of its own.
fn spawn_connection(
    stream: TcpStream,
    caller: IpAddr,
    core: &Arc<Core>,
    lifecycle: &Arc<Lifecycle>,
) {
    // Counted before the task runs, so that a stop waits for it.
    let open = OpenConnection::new(lifecycle.clone());
    let core = core.clone();
    tokio::spawn(async move {
        // Errors are ignored: a connection that is already broken fails at its first read.
        let _ = stream.set_nodelay(true);
        let activity = Arc::new(Activity {
            in_flight: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
            last_used: Mutex::new(core.now()),
        });
        serve_connection(stream, caller, &core, &open.lifecycle, &activity).await;
    });
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
