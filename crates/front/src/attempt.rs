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
use crate::reply::MISDIRECTED;
use crate::reply::Reply;
use crate::state::Choice;

/// Longest time that opening a connection takes; a hop between zones and a
/// handshake take a tenth of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Time after which unacknowledged bytes end a connection; a round trip
/// between zones takes a hundredth of it.
const USER_TIMEOUT: Duration = Duration::from_millis(500);

/// Time that an answer takes back to the caller, kept off the deadline that a
/// backend server gets.
const RETURN_TIME: Duration = Duration::from_millis(8);

/// Time besides a round trip within which a backend server resets a connection
/// beyond its limit.
const RESET_MARGIN: Duration = Duration::from_millis(1);

/// Idle time up to which a connection carries a request that must not be
/// repeated: a backend server may drop an idle connection without notice.
const FRESH_IDLE: Duration = Duration::from_secs(2);

value! {
    /// Why an attempt brought no reply that counts.
    pub enum Failure {
        /// No connection came about; nothing was sent.
        Unreachable,
        /// The backend server reset the connection as soon as it was open, as it
        /// does beyond its limit; nothing was sent.
        Crowded,
        /// No connection was free, or the backend server left meanwhile;
        /// nothing was sent.
        NotSent,
        /// The request was sent and nothing was acknowledged: most likely it did
        /// not run, but it may have.
        Silent,
        /// The backend server states that it did not run the request.
        Refused,
        /// The request was sent, and it is unknown whether it ran.
        Lost,
        /// The connection broke before a reply came, as it does when the backend
        /// server at this address crashes.
        Broken(SocketAddr),
        /// The backend server ran the request and answered with a failure.
        Failed(Box<Reply>),
    }
}

/// Records the outcome of an attempt, also when its task is dropped.
struct Guard {
    core: Arc<Core>,
    choice: Choice,
    outcome: Outcome,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let now = self.core.now();
        let mut state = self.core.state();
        let Some(backend) = state.fleet.get_mut(self.choice.key) else { return };
        let slots = backend.entry.slots;
        if backend.health.finish_attempt(self.choice.attempt, self.outcome, slots, now) {
            self.core.report_unhealthy(&self.choice.id);
        }
    }
}

/// What an attempt sends and until when.
#[derive(Clone)]
pub struct Plan {
    /// Request.
    pub request: Arc<Outgoing>,
    /// End of the caller's patience.
    pub deadline: Instant,
    /// Whether the request may run more than once.
    pub idempotent: bool,
}

/// Sends a request to the chosen backend server. The caller of this function
/// drops the future when the request ends, at its deadline at the latest.
pub async fn run(core: Arc<Core>, choice: Choice, plan: Plan) -> Result<Reply, Failure> {
    let mut guard = Guard { core: core.clone(), choice, outcome: Outcome::Abandoned };
    let result = attempt(&core, &guard.choice, &plan).await;
    guard.outcome = outcome(&result);
    result
}

fn outcome(result: &Result<Reply, Failure>) -> Outcome {
    match result {
        Ok(_) => Outcome::Answered,
        Err(Failure::NotSent) => Outcome::NotSent,
        Err(Failure::Crowded) => Outcome::ConnectionLimit,
        Err(Failure::Unreachable | Failure::Silent | Failure::Lost | Failure::Broken(_)) => {
            Outcome::Unreachable
        }
        Err(Failure::Refused) => Outcome::Refused,
        Err(Failure::Failed(_)) => Outcome::Failed,
    }
}

async fn attempt(core: &Arc<Core>, choice: &Choice, plan: &Plan) -> Result<Reply, Failure> {
    let mut connection = connection(core, choice, plan.idempotent).await?;
    // The choice may have been overtaken while the connection was opened.
    if !core.state().fleet.is_eligible(choice.key) {
        core.pools().put(choice.key, connection);
        return Err(Failure::NotSent);
    }
    let now = core.now();
    let left = plan.deadline.saturating_duration_since(now).saturating_sub(RETURN_TIME);
    let message = plan.request.message(&choice.id, left, &core.names);
    core.metrics.attempt_sent();
    let result = connection.exchange(&message, &plan.request, &core.names).await;
    let reply = match result {
        Ok(reply) => reply,
        Err(error) => {
            core.metrics.attempt_broken(matches!(error, ExchangeError::Spoilt { .. }));
            if connection.is_new && error.is_reset() {
                core.pools().crowded(core.now());
                core.report_at_limit(&choice.id);
            }
            return Err(match error {
                error if plan.idempotent && error.is_silence() => Failure::Silent,
                error if error.is_break() => Failure::Broken(choice.address),
                _ => Failure::Lost,
            });
        }
    };
    connection.is_new = false;
    take_in(core, choice.key, &reply);
    let now = core.now();
    let keeps = !reply.closing && !core.state().fleet.is_at_connection_limit(choice.key, now);
    if keeps && connection.is_clean() {
        connection.idle = now;
        connection.keep = reply.keep.or(connection.keep);
        core.pools().put(choice.key, connection);
    }
    judge(reply)
}

fn judge(reply: Reply) -> Result<Reply, Failure> {
    if reply.is_success() {
        Ok(reply)
    } else if reply.not_run() {
        Err(Failure::Refused)
    } else if reply.is_genuine() {
        Err(Failure::Failed(Box::new(reply)))
    } else {
        Err(Failure::Lost)
    }
}

fn take_in(core: &Core, key: BackendKey, reply: &Reply) {
    let now = core.now();
    let mut state = core.state();
    let Some(backend) = state.fleet.get_mut(key) else { return };
    if let Some(load) = reply.load {
        backend.health.report_load(load, now);
    }
    if let Some(left) = reply.warmup {
        backend.warmup.set_remaining(left, now);
    }
    if reply.status == MISDIRECTED {
        backend.replaced = true;
    }
}

async fn connection(
    core: &Arc<Core>,
    choice: &Choice,
    idempotent: bool,
) -> Result<Connection, Failure> {
    let idle = if idempotent { Duration::MAX } else { FRESH_IDLE };
    let kept = core.pools().take(choice.key, idle, core.now());
    if let Some(connection) = kept {
        return Ok(connection);
    }
    let permit = core.pools().permit(choice.key, choice.max_connections);
    let Some(permit) = permit else {
        core.metrics.no_free_connection();
        return Err(Failure::NotSent);
    };
    core.metrics.connection_opened();
    let start = core.now();
    let opened = time::timeout(CONNECT_TIMEOUT, open(choice)).await;
    let Ok(Ok(stream)) = opened else { return Err(Failure::Unreachable) };
    let opening = core.now().duration_since(start);
    let mut connection = Connection::new(stream, permit, core.now());
    if idempotent && !core.pools().is_crowded(core.now()) {
        return Ok(connection);
    }
    // What is reset after the request was sent may have run.
    time::sleep(opening + RESET_MARGIN).await;
    if connection.is_clean() {
        return Ok(connection);
    }
    core.pools().crowded(core.now());
    core.report_at_limit(&choice.id);
    Err(Failure::Crowded)
}

async fn open(choice: &Choice) -> io::Result<TcpStream> {
    let stream = TcpStream::connect(choice.address).await?;
    stream.set_nodelay(true)?;
    SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT))?;
    Ok(stream)
}
