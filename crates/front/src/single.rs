//! A request to one backend server of a service.

use std::future;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_route::config::Route;
use chervil_route::fleet::BackendKey;
use tokio::task::JoinError;
use tokio::task::JoinSet;
use tokio::time;

use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::RequestSpec;
use crate::core::Core;
use crate::reply::Reply;

/// Backend servers without a connection that are tried for one request.
const MAX_UNSENT_ATTEMPTS: u32 = 6;

/// Time after which a request that no backend server takes looks for one again.
const SEARCH_INTERVAL: Duration = Duration::from_millis(20);

/// Part of the latency target that the search for a backend server may take;
/// a refusal within a quarter of it lets the caller come back in time.
const SEARCH_LATENCY_SHARE: f64 = 0.2;

value! {
    /// How a request ended.
    pub enum SingleOutcome {
        /// A backend server answered, perhaps with a failure of its own.
        Answered(Box<Reply>),
        /// No backend server ran it.
        NotRun,
        /// A backend server may have run it.
        Unknown {
            /// Whether time ran out.
            timed_out: bool,
            /// Backend server that broke a connection off, if one did.
            disconnected: Option<SocketAddr>,
        },
    }
}

value! {
    /// The end of a request and the backend servers that were asked.
    pub struct SingleResult {
        /// How it ended.
        pub outcome: SingleOutcome,
        /// Ids of the backend servers, in order.
        pub asked: Vec<Box<str>>,
    }
}

type JoinedAttempt = Option<Result<(Instant, Result<Reply, Failure>), JoinError>>;

struct SingleRequest<'a> {
    core: &'a Arc<Core>,
    route: &'a Route,
    service: &'a str,
    spec: RequestSpec,
    tried: Vec<BackendKey>,
    asked: Vec<Box<str>>,
    tasks: JoinSet<(Instant, Result<Reply, Failure>)>,
    sent: u32,
    executed: u32,
    unacknowledged: bool,
    disconnected: Option<SocketAddr>,
    error_reply: Option<Box<Reply>>,
    typical_latency: Duration,
}

/// Runs a request; dropping the future ends its attempts.
pub async fn run(
    core: &Arc<Core>,
    route: &Route,
    service: &str,
    spec: RequestSpec,
) -> SingleResult {
    let (hedge_delay, typical_latency) = {
        let mut state = core.state();
        state.earn(service, core.now());
        let pace = state.pace(route);
        (pace.hedge_delay(), pace.median())
    };
    let search_deadline = core.now() + route.aim.mul_f64(SEARCH_LATENCY_SHARE);
    let hedge_at = (spec.idempotent).then(|| core.now() + hedge_delay);
    let mut request = SingleRequest::new(core, route, service, spec, typical_latency);
    let outcome = request.run(search_deadline, hedge_at).await;
    SingleResult { outcome, asked: request.asked }
}

impl<'a> SingleRequest<'a> {
    fn new(
        core: &'a Arc<Core>,
        route: &'a Route,
        service: &'a str,
        spec: RequestSpec,
        typical_latency: Duration,
    ) -> SingleRequest<'a> {
        SingleRequest {
            core,
            route,
            service,
            spec,
            tried: Vec::new(),
            asked: Vec::new(),
            tasks: JoinSet::new(),
            sent: 0,
            executed: 0,
            unacknowledged: false,
            disconnected: None,
            error_reply: None,
            typical_latency,
        }
    }

    async fn run(
        &mut self,
        search_deadline: Instant,
        mut hedge_at: Option<Instant>,
    ) -> SingleOutcome {
        let mut unsent = 0;
        while !self.send() {
            if self.core.now() >= search_deadline {
                return SingleOutcome::NotRun;
            }
            time::sleep(SEARCH_INTERVAL).await;
        }
        loop {
            let timer = hedge_at.unwrap_or(self.spec.deadline).min(self.spec.deadline);
            let finished = tokio::select! {
                finished = next_finished(&mut self.tasks) => finished,
                () = time::sleep_until(timer.into()) => {
                    if self.core.now() >= self.spec.deadline {
                        return self.conclude(true);
                    }
                    hedge_at = None;
                    self.send_another();
                    continue;
                }
            };
            let Some(Ok((started, result))) = finished else {
                return self.conclude(false);
            };
            match result {
                Ok(reply) => {
                    let latency = self.core.now().duration_since(started);
                    self.core.state().pace(self.route).record(latency);
                    return SingleOutcome::Answered(Box::new(reply));
                }
                Err(
                    failure @ (Failure::Unreachable
                    | Failure::NotSent
                    | Failure::ConnectionLimit
                    | Failure::Unacknowledged),
                ) => {
                    self.unacknowledged |= failure == Failure::Unacknowledged;
                    unsent += 1;
                    self.sent -= 1;
                    if self.tasks.is_empty() && (unsent >= MAX_UNSENT_ATTEMPTS || !self.send()) {
                        return self.conclude(false);
                    }
                }
                Err(Failure::Refused) => {
                    if !self.send_another() && self.tasks.is_empty() {
                        return self.conclude(false);
                    }
                }
                Err(failure @ (Failure::Lost | Failure::Disconnected(_))) => {
                    if let Failure::Disconnected(address) = failure {
                        self.disconnected = Some(address);
                    }
                    self.executed += 1;
                    if !self.spec.idempotent || (!self.send_another() && self.tasks.is_empty()) {
                        return self.conclude(false);
                    }
                }
                Err(Failure::ErrorReply(reply)) => {
                    self.executed += 1;
                    self.error_reply = Some(reply);
                    if !self.spec.idempotent || (!self.send_another() && self.tasks.is_empty()) {
                        return self.conclude(false);
                    }
                }
            }
        }
    }

    fn send(&mut self) -> bool {
        let now = self.core.now();
        let choice = self.core.choose(self.service, &self.tried, self.typical_latency);
        let Some(choice) = choice else {
            self.tried.clear();
            return false;
        };
        self.tried.push(choice.key);
        self.asked.push(choice.id.clone());
        self.sent += 1;
        let attempt = attempt::run(self.core.clone(), choice, self.spec.clone());
        self.tasks.spawn(async move { (now, attempt.await) });
        true
    }

    /// Sends one more request, if attempts and budget allow it.
    fn send_another(&mut self) -> bool {
        let running = self.tasks.len() as u32;
        if self.executed + running >= self.route.attempts {
            return false;
        }
        if self.sent > 0 && !self.core.state().spend(self.service, self.core.now()) {
            return false;
        }
        self.send()
    }

    fn conclude(&mut self, timed_out: bool) -> SingleOutcome {
        match self.error_reply.take() {
            Some(reply) => SingleOutcome::Answered(reply),
            None if self.executed == 0 && !self.unacknowledged && self.tasks.is_empty() => {
                SingleOutcome::NotRun
            }
            None => SingleOutcome::Unknown { timed_out, disconnected: self.disconnected },
        }
    }
}

/// The next attempt that ends; pending while none runs.
async fn next_finished(tasks: &mut JoinSet<(Instant, Result<Reply, Failure>)>) -> JoinedAttempt {
    if tasks.is_empty() {
        return future::pending().await;
    }
    tasks.join_next().await
}
