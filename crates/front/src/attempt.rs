//! A single attempt to have one backend server execute a request.

use std::io;
use std::net::SocketAddr;
use std::pin::pin;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_http::error::ExchangeError;
use chervil_route::attempts::End;
use chervil_route::attempts::Executions;
use chervil_route::health::Outcome;
use chervil_route::watch::Abandoned;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time;

use crate::core::Core;
use crate::crashes;
use crate::exchange::Connection;
use crate::exchange::USER_TIMEOUT;
use crate::logs::Category;
use crate::losses::Losses;
use crate::outgoing::Outgoing;
use crate::reply::LimitHeader;
use crate::reply::MISDIRECTED_REQUEST;
use crate::reply::Reply;
use crate::state::Choice;
use crate::watch;
use crate::watch::Watched;

/// Timeout for opening a connection: ten times the round trip and handshake between
/// availability zones.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time from which an attempt to open a connection puts the links to all backend servers in
/// doubt, unless one gives a sign.
const OVERDUE_CONNECT: Duration = Duration::from_millis(30);

/// Time reserved for returning the answer to the caller; subtracted from the
/// time left that is sent to the backend server.
const REPLY_RESERVE: Duration = Duration::from_millis(8);

/// A backend server resets a connection above its connection limit within one
/// round trip plus this time.
const RESET_MARGIN: Duration = Duration::from_millis(1);

/// Maximum idle time of a connection that is reused for a non-idempotent
/// request. A backend server may drop an idle connection without notice, after
/// which it is unknown whether the request ran.
const MAX_IDLE_NON_IDEMPOTENT: Duration = Duration::from_secs(2);

value! {
    /// Why an attempt produced no success reply.
    pub enum Failure {
        /// No connection could be opened; nothing was sent.
        Unreachable,
        /// The backend server reset the connection right after it was opened, as
        /// it does above its connection limit; nothing was sent.
        ConnectionLimit,
        /// This host's share of the connection limit is in use, or the backend
        /// server stopped accepting requests while the connection was opened;
        /// nothing was sent.
        NotSent,
        /// The request was sent and its bytes were never acknowledged: most likely
        /// it did not run, but it may have. Only reported for idempotent requests.
        Unacknowledged,
        /// The backend server reported that it did not execute the request, although it
        /// had a free slot.
        Refused,
        /// The backend server reported that it did not execute the request, and that all
        /// of its slots are in use.
        Full,
        /// The backend server did not execute the request, and asked for a pause.
        Paused,
        /// The request was sent, and it is unknown whether it ran: the connection
        /// failed, or the reply is invalid, unstamped or encoded.
        Lost,
        /// The connection was reset or closed before the reply, as happens when the
        /// backend server crashes. It is unknown whether the request ran.
        Disconnected,
        /// The backend server executed the request and replied with a status other
        /// than 2xx.
        ErrorReply(Box<Reply>),
    }
}

impl Failure {
    /// How the attempt ended, as far as the backend server is concerned.
    pub fn end(&self) -> End {
        match self {
            Failure::Unreachable | Failure::NotSent | Failure::ConnectionLimit => End::Unsent,
            Failure::Refused | Failure::Full | Failure::Paused => End::NotRun,
            Failure::Unacknowledged => End::Unconfirmed,
            Failure::Lost | Failure::Disconnected | Failure::ErrorReply(_) => End::MayHaveRun,
        }
    }
}

/// Number of attempts in progress.
#[derive(Debug, Default)]
pub struct RunningAttempts {
    count: AtomicUsize,
}

impl RunningAttempts {
    /// The number.
    pub fn running(&self) -> usize {
        self.count.load(Ordering::Relaxed)
    }
}

/// Counts an attempt until it is dropped.
struct Running(Arc<Core>);

impl Running {
    fn new(core: Arc<Core>) -> Running {
        core.attempts.count.fetch_add(1, Ordering::Relaxed);
        Running(core)
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        self.0.attempts.count.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Records the outcome of an attempt on drop, so that an attempt whose future is
/// cancelled is recorded as well.
struct OutcomeGuard {
    core: Arc<Core>,
    choice: Choice,
    outcome: Outcome,
    start: Instant,
    /// The request once it is sent, until the backend server has answered it.
    unanswered: Option<Abandoned<Watched>>,
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        if let Some(abandoned) = self.unanswered.take() {
            watch::add(&self.core, &self.choice, abandoned);
        }
        let now = self.core.now();
        if self.outcome == Outcome::NoReply {
            self.core.record_failed_attempt(self.start);
        }
        let is_silent = matches!(self.outcome, Outcome::NoReply | Outcome::Abandoned);
        let mut state = self.core.state();
        let Some(backend) = state.fleet.get_mut(self.choice.key) else { return };
        if is_silent && self.core.has_links_in_doubt() {
            backend.health.forget_attempt(self.choice.attempt);
            return;
        }
        let slots = backend.entry.slots;
        if matches!(self.outcome, Outcome::NotSent | Outcome::ConnectionLimit) {
            backend.limit.refund();
        }
        if backend.health.finish_attempt(self.choice.attempt, self.outcome, slots, now) {
            self.core.report_degraded(&self.choice.id);
        }
    }
}

/// A request to forward, shared by all of its attempts.
#[derive(Clone, Debug)]
pub struct RequestSpec {
    /// Encoded request.
    pub request: Arc<Outgoing>,
    /// Time at which the caller stops waiting, less the time reserved for returning
    /// the answer.
    pub deadline: Instant,
    /// The same as time since the machine was started, which goes on while the machine
    /// is suspended.
    pub boot_deadline: Duration,
    /// Whether the request may be executed more than once.
    pub idempotent: bool,
    /// Whether another host has counted the request in its retry budget.
    pub is_repeat: bool,
    /// Identifies repetitions of the request by its caller.
    pub digest: u64,
    /// Executions for the hosts that had the request before, or gave it back.
    pub executed: Executions,
    /// Attempts of this host that have sent the request.
    sends: Arc<AtomicU32>,
    /// Shared by all attempts.
    pub losses: Arc<Losses>,
}

impl RequestSpec {
    /// A request that ends after `timeout`.
    pub fn new(
        core: &Core,
        request: Outgoing,
        digest: u64,
        timeout: Duration,
        idempotent: bool,
    ) -> RequestSpec {
        RequestSpec {
            request: Arc::new(request),
            deadline: core.now() + timeout,
            boot_deadline: core.boot_time() + timeout,
            idempotent,
            is_repeat: false,
            digest,
            executed: Executions::default(),
            sends: Arc::default(),
            losses: Arc::default(),
        }
    }

    /// Whether a backend server disconnected while it executed the request.
    pub fn was_disconnected(&self) -> bool {
        self.losses.was_disconnected()
    }

    /// The same request for one shard of a query. Its attempts are counted for each shard.
    pub fn for_shard(&self) -> RequestSpec {
        RequestSpec { sends: Arc::default(), ..self.clone() }
    }

    /// Attempts of this host that have sent the request.
    pub fn sends(&self) -> u32 {
        self.sends.load(Ordering::Relaxed)
    }

    /// Whether an attempt of this host has sent the request.
    pub fn was_sent(&self) -> bool {
        self.sends() > 0
    }

    /// Time until the deadline.
    pub fn time_left(&self, core: &Core) -> Duration {
        let left = self.deadline.saturating_duration_since(core.now());
        left.min(self.boot_deadline.saturating_sub(core.boot_time()))
    }
}

/// Sends a request to the chosen backend server and records the outcome in its
/// health. Has no timeout of its own for the reply: drop the future when the
/// request ends, at its deadline at the latest.
pub async fn run(core: Arc<Core>, choice: Choice, spec: RequestSpec) -> Result<Reply, Failure> {
    // Dropped after the guard, which hands the request to the watch.
    let _running = Running::new(core.clone());
    let mut guard = OutcomeGuard {
        outcome: Outcome::Abandoned,
        start: core.now(),
        core: core.clone(),
        choice,
        unanswered: None,
    };
    let result = send(&core, &guard.choice, &spec, &mut guard.unanswered).await;
    guard.outcome = outcome(&result);
    if result == Err(Failure::Unacknowledged) {
        core.metrics.count("attempts.unconfirmed");
    }
    if result == Err(Failure::Disconnected) {
        spec.losses.record_disconnect();
        let lost = guard.unanswered.take();
        crashes::suspect(&core, &guard.choice, lost);
    }
    result
}

fn outcome(result: &Result<Reply, Failure>) -> Outcome {
    match result {
        Ok(_) => Outcome::Answered,
        Err(Failure::NotSent) => Outcome::NotSent,
        Err(Failure::ConnectionLimit) => Outcome::ConnectionLimit,
        Err(
            Failure::Unreachable | Failure::Unacknowledged | Failure::Lost | Failure::Disconnected,
        ) => Outcome::NoReply,
        Err(Failure::Refused) => Outcome::Refused,
        Err(Failure::Full) => Outcome::Full,
        Err(Failure::Paused) => Outcome::Paused,
        Err(Failure::ErrorReply(_)) => Outcome::Failed,
    }
}

/// Sends a request and reads its reply. The request is in `unanswered` from the time at which it
/// is sent until the reply has come.
async fn send(
    core: &Arc<Core>,
    choice: &Choice,
    spec: &RequestSpec,
    unanswered: &mut Option<Abandoned<Watched>>,
) -> Result<Reply, Failure> {
    let mut connection = acquire_connection(core, choice, spec.idempotent).await?;
    core.wait_for_fresh_data().await;
    // The backend server may have been drained or removed, and the deadline may have
    // passed, while the connection was opened or the process was paused.
    let left = spec.time_left(core);
    let obstacle = core.state().fleet.obstacle(choice.key, core.now());
    if let Some(obstacle) = obstacle {
        core.metrics.count(&format!("obstacles.{}", obstacle.name()));
    }
    if left.is_zero() || obstacle.is_some() {
        core.pools().put(choice.key, connection);
        return Err(Failure::NotSent);
    }
    let left = left.saturating_sub(REPLY_RESERVE);
    let sent_at = core.now();
    let message = spec.request.encode(&choice.id, left, &core.names);
    core.metrics.attempt_sent();
    spec.sends.fetch_add(1, Ordering::Relaxed);
    spec.losses.record_send();
    let watched = Watched { digest: spec.digest, losses: spec.losses.clone() };
    *unanswered = Some(Abandoned::new(watched, sent_at, left));
    let result = connection.exchange(&message, &spec.request, &core.names).await;
    if let Some(error) = connection.send_error() {
        log_unsent_rest(core, choice, spec, error, &result);
    }
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => {
            core.metrics.attempt_broken(matches!(error, ExchangeError::InvalidReply { .. }));
            if connection.is_new && error.is_reset() {
                core.pools().record_reset(core.now());
                core.report_at_connection_limit(&choice.id);
            }
            return Err(match error {
                error if spec.idempotent && error.is_unacknowledged() => Failure::Unacknowledged,
                error if error.is_disconnect() => Failure::Disconnected,
                _ => Failure::Lost,
            });
        }
    };
    *unanswered = None;
    spec.losses.record_survivor(core, spec.digest);
    core.record_sign();
    connection.is_new = false;
    apply_reply_headers(core, choice, &reply, sent_at);
    let now = core.now();
    let reusable = !reply.closes && !core.state().fleet.is_at_connection_limit(choice.key, now);
    if reusable && connection.is_clean() {
        connection.idle_since = now;
        connection.idle_timeout = reply.idle_timeout.or(connection.idle_timeout);
        core.pools().put(choice.key, connection);
    }
    classify(reply, choice.slots)
}

/// Logs that a backend server did not take a whole request, and what it replied all the same.
fn log_unsent_rest(
    core: &Core,
    choice: &Choice,
    spec: &RequestSpec,
    error: io::ErrorKind,
    result: &Result<Reply, ExchangeError>,
) {
    core.metrics.count("attempts.unsent_rest");
    if !core.log_limiter.allows(Category::Notable, core.now()) {
        return;
    }
    let (status, bytes, outcome) = match result {
        Ok(reply) => (reply.status, reply.body.len(), "replied".into()),
        Err(error) => (0, 0, error.to_string()),
    };
    let error = error.to_string();
    spdlog::info!("backend did not take a whole request", kv: {
        id = &*String::from_utf8_lossy(&spec.request.request_id),
        backend = &*choice.id,
        error = error.as_str(),
        outcome = outcome.as_str(),
        status,
        body = bytes,
    });
}

fn classify(reply: Reply, slots: u32) -> Result<Reply, Failure> {
    if reply.is_success() {
        Ok(reply)
    } else if reply.is_not_run() && reply.pause_wish().is_some() {
        Err(Failure::Paused)
    } else if reply.is_not_run() {
        let full = reply.load.is_some_and(|l| l.queued > 0 || l.running >= slots);
        Err(if full { Failure::Full } else { Failure::Refused })
    } else if reply.is_forwardable() {
        Err(Failure::ErrorReply(Box::new(reply)))
    } else {
        Err(Failure::Lost)
    }
}

fn apply_reply_headers(core: &Core, choice: &Choice, reply: &Reply, sent_at: Instant) {
    let now = core.now();
    if reply.status == MISDIRECTED_REQUEST {
        // What another backend server says about its load does not concern this one.
        if let Some(backend) = core.state().fleet.get_mut(choice.key) {
            backend.address_reused = true;
        }
        return;
    }
    if reply.leaving {
        core.mark_leaving(choice.key);
    }
    if let Some(pause) = reply.pause_wish() {
        core.pause_server(choice.key, pause);
    }
    match reply.limit {
        // A refusal need not name the limit that it is due to.
        LimitHeader::Absent if reply.stamp.is_none() => {}
        LimitHeader::Absent => core.lift_limit(choice.key, sent_at),
        LimitHeader::Rate(rate) => core.name_limit(&choice.id, rate),
        LimitHeader::Malformed => {
            if core.log_limiter.allows(Category::Notable, now) {
                spdlog::warn!(
                    "cannot read the limit that a backend names; correct the header it sends",
                    kv: { id = &*choice.id }
                );
            }
        }
    }
    let mut state = core.state();
    let Some(backend) = state.fleet.get_mut(choice.key) else { return };
    if let Some(load) = reply.load {
        backend.health.report_load(load, now);
    }
    if let Some(left) = reply.warmup_left {
        backend.warmup.set_remaining(left, now);
    }
}

async fn acquire_connection(
    core: &Arc<Core>,
    choice: &Choice,
    idempotent: bool,
) -> Result<Connection, Failure> {
    let max_idle = if idempotent { Duration::MAX } else { MAX_IDLE_NON_IDEMPOTENT };
    let pooled = core.pools().take(choice.key, max_idle, core.now());
    if let Some(connection) = pooled {
        return Ok(connection);
    }
    let permit = core.pools().try_permit(choice.key, choice.max_connections);
    let Some(permit) = permit else {
        core.metrics.no_free_connection();
        return Err(Failure::NotSent);
    };
    core.metrics.connection_opened();
    let start = core.now();
    let Some(stream) = open(core, choice.address, start).await else {
        return Err(Failure::Unreachable);
    };
    core.record_sign();
    let opening = core.now().duration_since(start);
    let mut connection = Connection::new(stream, permit, core.reply_memory.clone(), core.now());
    if idempotent && !core.pools().has_recent_resets(core.now()) {
        return Ok(connection);
    }
    // A reset after the request was sent would leave unknown whether it ran, so
    // wait until the backend server would have reset the connection.
    time::sleep(opening + RESET_MARGIN).await;
    if connection.is_clean() {
        return Ok(connection);
    }
    core.pools().record_reset(core.now());
    core.report_at_connection_limit(&choice.id);
    Err(Failure::ConnectionLimit)
}

/// Opens a connection to a backend server; `None` if that fails, takes too long, or the links
/// to all of them turn out to be lost.
async fn open(core: &Core, address: SocketAddr, start: Instant) -> Option<TcpStream> {
    let mut opened = pin!(time::timeout(CONNECT_TIMEOUT, connect(address)));
    tokio::select! {
        opened = opened.as_mut() => return opened.ok()?.ok(),
        () = core.links_to_be_lost() => return None,
        () = time::sleep(OVERDUE_CONNECT) => core.record_failed_attempt(start),
    }
    tokio::select! {
        opened = opened => opened.ok()?.ok(),
        () = core.links_to_be_lost() => None,
    }
}

/// Opens a connection to a backend server.
pub async fn connect(address: SocketAddr) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}
