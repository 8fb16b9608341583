//! One attempt at one backend server.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_route::fleet::BackendKey;
use chervil_route::health::Outcome;
use socket2::SockRef;
use tokio::net::TcpStream;
use tokio::time;

use crate::core::Core;
use crate::exchange::Connection;
use crate::exchange::ExchangeError;
use crate::outgoing::Outgoing;
use crate::reply::MISDIRECTED_REQUEST;
use crate::reply::Reply;
use crate::state::Choice;

/// Longest time that opening a connection takes; a hop between zones and a
/// handshake take a tenth of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which unacknowledged bytes end a connection; a round trip
/// between zones takes a hundredth of it.
const TCP_USER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an answer takes back to the caller, kept off the deadline that a
/// backend server gets.
const REPLY_RESERVE: Duration = Duration::from_millis(8);

/// Time besides a round trip within which a backend server resets a connection
/// beyond its limit.
const RESET_MARGIN: Duration = Duration::from_millis(1);

/// Idle time up to which a connection carries a request that must not be
/// repeated: a backend server may drop an idle connection without notice.
const MAX_IDLE_UNREPEATABLE: Duration = Duration::from_secs(2);

value! {
    /// Why an attempt brought no reply that counts.
    pub enum Failure {
        /// No connection came about; nothing was sent.
        Unreachable,
        /// The backend server reset the connection as soon as it was open, as it
        /// does beyond its limit; nothing was sent.
        ConnectionLimit,
        /// No connection was free, or the backend server left meanwhile;
        /// nothing was sent.
        NotSent,
        /// The request was sent and nothing was acknowledged: most likely it did
        /// not run, but it may have.
        Unacknowledged,
        /// The backend server states that it did not run the request.
        Refused,
        /// The request was sent, and it is unknown whether it ran.
        Lost,
        /// The connection broke before a reply came, as it does when the backend
        /// server at this address crashes.
        Disconnected(SocketAddr),
        /// The backend server ran the request and answered with a failure.
        ErrorReply(Box<Reply>),
    }
}

/// Records the outcome of an attempt, also when its task is dropped.
struct OutcomeGuard {
    core: Arc<Core>,
    choice: Choice,
    outcome: Outcome,
}

impl Drop for OutcomeGuard {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut state = self.core.state();
        let Some(backend) = state.fleet.get_mut(self.choice.key) else { return };
        let slots = backend.entry.slots;
        if backend.health.finish(self.choice.attempt, self.outcome, slots, now) {
            self.core.report_trouble(&self.choice.id);
        }
    }
}

/// What an attempt sends and until when.
#[derive(Clone)]
pub struct RequestSpec {
    /// Request.
    pub request: Arc<Outgoing>,
    /// End of the caller's patience.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Sends a request to the chosen backend server. The caller of this function
/// drops the future when the request ends, at its deadline at the latest.
pub async fn run(core: Arc<Core>, choice: Choice, spec: RequestSpec) -> Result<Reply, Failure> {
    let mut guard = OutcomeGuard { core: core.clone(), choice, outcome: Outcome::Abandoned };
    let result = send(&core, &guard.choice, &spec).await;
    guard.outcome = outcome(&result);
    result
}

fn outcome(result: &Result<Reply, Failure>) -> Outcome {
    match result {
        Ok(_) => Outcome::Answered,
        Err(Failure::NotSent) => Outcome::Canceled,
        Err(Failure::ConnectionLimit) => Outcome::Crowded,
        Err(
            Failure::Unreachable
            | Failure::Unacknowledged
            | Failure::Lost
            | Failure::Disconnected(_),
        ) => Outcome::Unreachable,
        Err(Failure::Refused) => Outcome::Refused,
        Err(Failure::ErrorReply(_)) => Outcome::Failed,
    }
}

async fn send(core: &Arc<Core>, choice: &Choice, spec: &RequestSpec) -> Result<Reply, Failure> {
    let mut connection = acquire_connection(core, choice, spec.idempotent).await?;
    // The choice may have been overtaken while the connection was opened.
    if !core.state().fleet.is_open(choice.key) {
        core.pools().put(choice.key, connection);
        return Err(Failure::NotSent);
    }
    let now = core.now();
    let left = spec.deadline.saturating_duration_since(now).saturating_sub(REPLY_RESERVE);
    let message = spec.request.encode(&choice.id, left, &core.names);
    core.metrics.sent();
    let result = connection.exchange(&message, &spec.request, &core.names).await;
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => {
            core.metrics.broken(matches!(error, ExchangeError::InvalidReply { .. }));
            if connection.is_new && error.is_reset() {
                core.pools().record_reset(core.now());
                core.report_crowded(&choice.id);
            }
            return Err(match error {
                error if spec.idempotent && error.is_unacknowledged() => Failure::Unacknowledged,
                error if error.is_disconnect() => Failure::Disconnected(choice.address),
                _ => Failure::Lost,
            });
        }
    };
    connection.is_new = false;
    apply_reply_headers(core, choice.key, &reply);
    let now = core.now();
    let keeps = !reply.closes && !core.state().fleet.is_crowded(choice.key, now);
    if keeps && connection.is_clean() {
        connection.idle_since = now;
        connection.idle_timeout = reply.idle_timeout.or(connection.idle_timeout);
        core.pools().put(choice.key, connection);
    }
    classify(reply)
}

fn classify(reply: Reply) -> Result<Reply, Failure> {
    if reply.is_success() {
        Ok(reply)
    } else if reply.is_not_run() {
        Err(Failure::Refused)
    } else if reply.is_forwardable() {
        Err(Failure::ErrorReply(Box::new(reply)))
    } else {
        Err(Failure::Lost)
    }
}

fn apply_reply_headers(core: &Core, key: BackendKey, reply: &Reply) {
    let now = core.now();
    let mut state = core.state();
    let Some(backend) = state.fleet.get_mut(key) else { return };
    if let Some(load) = reply.load {
        backend.health.report(load, now);
    }
    if let Some(left) = reply.warmup_left {
        backend.warmup.set(left, now);
    }
    if reply.status == MISDIRECTED_REQUEST {
        backend.replaced = true;
    }
}

async fn acquire_connection(
    core: &Arc<Core>,
    choice: &Choice,
    idempotent: bool,
) -> Result<Connection, Failure> {
    let idle = if idempotent { Duration::MAX } else { MAX_IDLE_UNREPEATABLE };
    let kept = core.pools().take(choice.key, idle, core.now());
    if let Some(connection) = kept {
        return Ok(connection);
    }
    let permit = core.pools().try_permit(choice.key, choice.connections);
    let Some(permit) = permit else {
        core.metrics.crowded();
        return Err(Failure::NotSent);
    };
    core.metrics.connected();
    let start = core.now();
    let opened = time::timeout(CONNECT_TIMEOUT, connect(choice)).await;
    let Ok(Ok(stream)) = opened else { return Err(Failure::Unreachable) };
    let opening = core.now().duration_since(start);
    let mut connection = Connection::new(stream, permit, core.now());
    if idempotent && !core.pools().has_recent_resets(core.now()) {
        return Ok(connection);
    }
    // What is reset after the request was sent may have run.
    time::sleep(opening + RESET_MARGIN).await;
    if connection.is_clean() {
        return Ok(connection);
    }
    core.pools().record_reset(core.now());
    core.report_crowded(&choice.id);
    Err(Failure::ConnectionLimit)
}

async fn connect(choice: &Choice) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(choice.address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    Ok(stream)
}
