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
use crate::attempt::Plan;
use crate::core::Core;
use crate::reply::Reply;

/// Backend servers without a connection that are tried for one request.
const SEARCH_LIMIT: u32 = 6;

/// Time after which a request that no backend server takes looks for one again.
const SEARCH_PAUSE: Duration = Duration::from_millis(20);

/// Part of the latency target that the search for a backend server may take;
/// a refusal within a quarter of it lets the caller come back in time.
const SEARCH_SHARE: f64 = 0.2;

value! {
    /// How a request ended.
    pub enum Single {
        /// A backend server answered, perhaps with a failure of its own.
        Answered(Box<Reply>),
        /// No backend server ran it.
        NotRun,
        /// A backend server may have run it.
        Unknown {
            /// Whether time ran out.
            late: bool,
            /// Backend server that broke a connection off, if one did.
            broken: Option<SocketAddr>,
        },
    }
}

value! {
    /// The end of a request and the backend servers that were asked.
    pub struct Ended {
        /// How it ended.
        pub single: Single,
        /// Ids of the backend servers, in order.
        pub asked: Vec<Box<str>>,
    }
}

type Finished = Option<Result<(Instant, Result<Reply, Failure>), JoinError>>;

struct Call<'a> {
    core: &'a Arc<Core>,
    route: &'a Route,
    service: &'a str,
    plan: Plan,
    tried: Vec<BackendKey>,
    asked: Vec<Box<str>>,
    tasks: JoinSet<(Instant, Result<Reply, Failure>)>,
    sent: u32,
    ran: u32,
    silent: bool,
    broken: Option<SocketAddr>,
    failed: Option<Box<Reply>>,
    expected: Duration,
}

/// Runs a request; dropping the future ends its attempts.
pub async fn run(core: &Arc<Core>, route: &Route, service: &str, plan: Plan) -> Ended {
    let (delay, expected) = {
        let mut state = core.state();
        state.earn_retry(service, core.now());
        let pace = state.latency(route);
        (pace.hedge_delay(), pace.median())
    };
    let search = core.now() + route.latency_target.mul_f64(SEARCH_SHARE);
    let hedge = (plan.idempotent).then(|| core.now() + delay);
    let mut call = Call::new(core, route, service, plan, expected);
    let single = call.run(search, hedge).await;
    Ended { single, asked: call.asked }
}

impl<'a> Call<'a> {
    fn new(
        core: &'a Arc<Core>,
        route: &'a Route,
        service: &'a str,
        plan: Plan,
        expected: Duration,
    ) -> Call<'a> {
        Call {
            core,
            route,
            service,
            plan,
            tried: Vec::new(),
            asked: Vec::new(),
            tasks: JoinSet::new(),
            sent: 0,
            ran: 0,
            silent: false,
            broken: None,
            failed: None,
            expected,
        }
    }

    async fn run(&mut self, search: Instant, mut hedge: Option<Instant>) -> Single {
        let mut misses = 0;
        while !self.send() {
            if self.core.now() >= search {
                return Single::NotRun;
            }
            time::sleep(SEARCH_PAUSE).await;
        }
        loop {
            let timer = hedge.unwrap_or(self.plan.deadline).min(self.plan.deadline);
            let finished = tokio::select! {
                finished = next(&mut self.tasks) => finished,
                () = time::sleep_until(timer.into()) => {
                    if self.core.now() >= self.plan.deadline {
                        return self.end(true);
                    }
                    hedge = None;
                    self.extend();
                    continue;
                }
            };
            let Some(Ok((started, result))) = finished else {
                return self.end(false);
            };
            match result {
                Ok(reply) => {
                    let latency = self.core.now().duration_since(started);
                    self.core.state().latency(self.route).record(latency);
                    return Single::Answered(Box::new(reply));
                }
                Err(
                    failure @ (Failure::Unreachable
                    | Failure::NotSent
                    | Failure::Crowded
                    | Failure::Silent),
                ) => {
                    self.silent |= failure == Failure::Silent;
                    misses += 1;
                    self.sent -= 1;
                    if self.tasks.is_empty() && (misses >= SEARCH_LIMIT || !self.send()) {
                        return self.end(false);
                    }
                }
                Err(Failure::Refused) => {
                    if !self.extend() && self.tasks.is_empty() {
                        return self.end(false);
                    }
                }
                Err(failure @ (Failure::Lost | Failure::Broken(_))) => {
                    if let Failure::Broken(address) = failure {
                        self.broken = Some(address);
                    }
                    self.ran += 1;
                    if !self.plan.idempotent || (!self.extend() && self.tasks.is_empty()) {
                        return self.end(false);
                    }
                }
                Err(Failure::Failed(reply)) => {
                    self.ran += 1;
                    self.failed = Some(reply);
                    if !self.plan.idempotent || (!self.extend() && self.tasks.is_empty()) {
                        return self.end(false);
                    }
                }
            }
        }
    }

    fn send(&mut self) -> bool {
        let now = self.core.now();
        let choice = self.core.choose(self.service, &self.tried, self.expected);
        let Some(choice) = choice else {
            self.tried.clear();
            return false;
        };
        self.tried.push(choice.key);
        self.asked.push(choice.id.clone());
        self.sent += 1;
        let attempt = attempt::run(self.core.clone(), choice, self.plan.clone());
        self.tasks.spawn(async move { (now, attempt.await) });
        true
    }

    /// Sends one more request, if attempts and budget allow it.
    fn extend(&mut self) -> bool {
        let running = self.tasks.len() as u32;
        if self.ran + running >= self.route.max_attempts {
            return false;
        }
        if self.sent > 0 && !self.core.state().spend_retry(self.service, self.core.now()) {
            return false;
        }
        self.send()
    }

    fn end(&mut self, late: bool) -> Single {
        match self.failed.take() {
            Some(reply) => Single::Answered(reply),
            None if self.ran == 0 && !self.silent && self.tasks.is_empty() => Single::NotRun,
            None => Single::Unknown { late, broken: self.broken },
        }
    }
}

/// The next attempt that ends; pending while none runs.
async fn next(tasks: &mut JoinSet<(Instant, Result<Reply, Failure>)>) -> Finished {
    if tasks.is_empty() {
        return future::pending().await;
    }
    tasks.join_next().await
}
