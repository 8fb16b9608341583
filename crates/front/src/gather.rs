//! A query over all shards of a route.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_route::config::Gather;
use chervil_route::config::Route;
use chervil_route::fleet::BackendKey;
use chervil_route::merge;
use futures::FutureExt as _;
use futures::StreamExt as _;
use futures::future::BoxFuture;
use futures::stream::FuturesUnordered;
use tokio::time;

use crate::attempt;
use crate::attempt::Failure;
use crate::attempt::RequestSpec;
use crate::core::Core;
use crate::reply::Reply;

/// Time that a late reply is still awaited after the answer, so that its
/// connection can be used again. It stays below the half second within which
/// backend servers must be free of work for a caller that has left.
const LATE_REPLY_WAIT: Duration = Duration::from_millis(350);

/// Time after which a part without a backend server first looks for one again;
/// it doubles each time.
const MIN_SEARCH_BACKOFF: Duration = Duration::from_millis(12);

/// Longest such time: half of a short latency target.
const MAX_SEARCH_BACKOFF: Duration = Duration::from_millis(50);

value! {
    /// How a query ended.
    pub enum GatherOutcome {
        /// Parts came in.
        Merged {
            /// Merged records.
            body: Vec<u8>,
            /// Proofs of the parts.
            stamps: Vec<hyper::header::HeaderValue>,
            /// Shards that are missing, each with the reason.
            missing: Vec<Box<str>>,
            /// Requests beyond the first of each shard.
            extra: u32,
        },
        /// Too few parts came in.
        TooFewParts {
            /// Whether a backend server may have run the request.
            may_have_run: bool,
            /// Whether time ran out.
            timed_out: bool,
            /// Backend server that broke a connection off, if one did.
            disconnected: Option<SocketAddr>,
            /// Shards that are missing, each with the reason.
            missing: Vec<Box<str>>,
        },
    }
}

struct Part {
    service: Box<str>,
    tried: Vec<BackendKey>,
    in_flight: u32,
    executed: u32,
    sent: u32,
    next_send: Option<Instant>,
    backoff: Duration,
    reply: Option<Reply>,
    exhausted: bool,
    unacknowledged: bool,
}

struct Completion {
    part: usize,
    started: Instant,
    result: Result<Reply, Failure>,
}

/// Attempts that run; they end when dropped.
type Attempts = FuturesUnordered<BoxFuture<'static, Completion>>;

struct Query<'a> {
    core: &'a Arc<Core>,
    route: &'a Route,
    spec: RequestSpec,
    parts: Vec<Part>,
    attempts: Attempts,
    hedge_delay: Duration,
    typical_latency: Duration,
    extra: u32,
    disconnected: Option<SocketAddr>,
}

/// Runs a query. From `soft_deadline` on it ends as soon as enough parts are in.
pub async fn run(
    core: &Arc<Core>,
    route: &Route,
    gather: &Gather,
    spec: RequestSpec,
    soft_deadline: Instant,
) -> GatherOutcome {
    let deadline = spec.deadline;
    let mut query = Query::new(core, route, gather, spec);
    for part in 0..query.parts.len() {
        query.send_first(part);
    }
    loop {
        let now = core.now();
        let answered = query.answered();
        let has_enough = answered >= gather.needed();
        let all_settled = query.parts.iter().all(|p| p.reply.is_some() || p.exhausted);
        if all_settled || now >= deadline || (has_enough && now >= soft_deadline) {
            break;
        }
        let wake = query.next_wakeup().min(if has_enough { soft_deadline } else { deadline });
        tokio::select! {
            Some(completion) = query.attempts.next() => query.on_completion(completion),
            () = time::sleep_until(wake.into()) => query.send_due(core.now()),
        }
    }
    query.finish(gather)
}

impl<'a> Query<'a> {
    fn new(core: &'a Arc<Core>, route: &'a Route, gather: &Gather, spec: RequestSpec) -> Query<'a> {
        let mut state = core.state();
        let pace = state.pace(route);
        let (hedge_delay, typical_latency) = (pace.hedge_delay(), pace.median());
        drop(state);
        let parts = gather.shards.iter().map(|s| Part::new(s.clone())).collect();
        let attempts = Attempts::new();
        Query {
            core,
            route,
            spec,
            parts,
            attempts,
            hedge_delay,
            typical_latency,
            extra: 0,
            disconnected: None,
        }
    }

    fn answered(&self) -> usize {
        self.parts.iter().filter(|p| p.reply.is_some()).count()
    }

    /// Time at which a part needs attention.
    fn next_wakeup(&self) -> Instant {
        let waiting = self.parts.iter().filter(|p| p.reply.is_none());
        let soonest = waiting.filter_map(|p| p.next_send).min();
        soonest.unwrap_or(self.spec.deadline)
    }

    fn send_first(&mut self, part: usize) {
        self.core.state().earn(&self.parts[part].service, self.core.now());
        self.send(part);
    }

    /// Starts an attempt at the best backend server that is left.
    fn send(&mut self, index: usize) -> bool {
        let now = self.core.now();
        let part = &mut self.parts[index];
        let choice = self.core.choose(&part.service, &part.tried, self.typical_latency);
        let Some(choice) = choice else {
            part.tried.clear();
            part.next_send = Some(now + part.backoff);
            part.backoff = (part.backoff * 2).min(MAX_SEARCH_BACKOFF);
            return false;
        };
        part.tried.push(choice.key);
        part.in_flight += 1;
        part.sent += 1;
        part.next_send = Some(now + self.hedge_delay);
        let attempt = attempt::run(self.core.clone(), choice, self.spec.clone());
        let completion =
            async move { Completion { part: index, started: now, result: attempt.await } };
        self.attempts.push(completion.boxed());
        true
    }

    /// Sends late parts a second time, and parts without a backend server a
    /// first time.
    fn send_due(&mut self, now: Instant) {
        for index in 0..self.parts.len() {
            let part = &self.parts[index];
            if part.reply.is_some() || part.exhausted || part.next_send.is_none_or(|a| a > now) {
                continue;
            }
            self.send_another(index);
        }
    }

    /// Sends one more request for a part, if attempts and budget allow it.
    fn send_another(&mut self, index: usize) {
        let part = &mut self.parts[index];
        part.next_send = None;
        if part.sent == 0 {
            self.send(index);
            return;
        }
        let allowed = part.executed + part.in_flight < self.route.attempts;
        if allowed && self.core.state().spend(&part.service, self.core.now()) {
            if self.send(index) {
                self.extra += 1;
            }
        } else if part.in_flight == 0 {
            part.exhausted = true;
        }
    }

    fn on_completion(&mut self, completion: Completion) {
        let now = self.core.now();
        let part = &mut self.parts[completion.part];
        part.in_flight -= 1;
        match completion.result {
            Ok(reply) => {
                part.executed += 1;
                part.reply.get_or_insert(reply);
                let latency = now.duration_since(completion.started);
                self.core.state().pace(self.route).record(latency);
            }
            Err(Failure::Unreachable | Failure::NotSent | Failure::ConnectionLimit) => {
                part.sent -= 1;
                self.retry_unanswered(completion.part);
            }
            Err(Failure::Unacknowledged) => {
                part.unacknowledged = true;
                part.sent -= 1;
                self.retry_unanswered(completion.part);
            }
            Err(Failure::Refused) => self.retry_unanswered(completion.part),
            Err(failure @ (Failure::Lost | Failure::Disconnected(_) | Failure::ErrorReply(_))) => {
                part.executed += 1;
                if let Failure::Disconnected(address) = failure {
                    self.disconnected = Some(address);
                }
                self.retry_unanswered(completion.part);
            }
        }
    }

    fn retry_unanswered(&mut self, index: usize) {
        if self.parts[index].reply.is_none() {
            self.send_another(index);
        }
    }

    /// Why a part is missing, and which backend servers were asked for it.
    fn describe_missing(&self, part: &Part) -> Box<str> {
        let reason = match part {
            Part { sent: 0, .. } => "no_server",
            Part { in_flight: 0, .. } => "failed",
            Part { .. } => "late",
        };
        let state = self.core.state();
        let tried = part.tried.iter().filter_map(|k| state.fleet.get(*k));
        let ids: Vec<&str> = tried.map(|b| &*b.entry.id).collect();
        format!("{}:{reason}({})", part.service, ids.join(" ")).into()
    }

    fn finish(mut self, gather: &Gather) -> GatherOutcome {
        let unanswered = self.parts.iter().filter(|p| p.reply.is_none());
        let missing: Vec<Box<str>> = unanswered.map(|p| self.describe_missing(p)).collect();
        if self.parts.len() - missing.len() < gather.needed() {
            let may_have_run =
                self.parts.iter().any(|p| p.unacknowledged || p.executed + p.in_flight > 0);
            let timed_out = self.core.now() >= self.spec.deadline;
            return GatherOutcome::TooFewParts {
                may_have_run,
                timed_out,
                disconnected: self.disconnected,
                missing,
            };
        }
        drain_late_replies(std::mem::take(&mut self.attempts));
        let replies: Vec<&Reply> = self.parts.iter().filter_map(|p| p.reply.as_ref()).collect();
        let stamps = replies.iter().filter_map(|r| r.stamp.clone()).collect();
        let body = merge::merge(replies.iter().map(|r| &*r.body), gather.top);
        GatherOutcome::Merged { body, stamps, missing, extra: self.extra }
    }
}

/// Awaits late replies for a while.
fn drain_late_replies(mut attempts: Attempts) {
    if attempts.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let rest = async { while attempts.next().await.is_some() {} };
        // What has not come by then is dropped.
        let _ = time::timeout(LATE_REPLY_WAIT, rest).await;
    });
}

impl Part {
    fn new(service: Box<str>) -> Part {
        Part {
            service,
            tried: Vec::new(),
            in_flight: 0,
            executed: 0,
            sent: 0,
            next_send: None,
            backoff: MIN_SEARCH_BACKOFF,
            reply: None,
            exhausted: false,
            unacknowledged: false,
        }
    }
}
