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
use crate::attempt::Plan;
use crate::core::Core;
use crate::reply::Reply;

/// Time that a late reply is still awaited after the answer, so that its
/// connection can be used again. It stays below the half second within which
/// backend servers must be free of work for a caller that has left.
const LINGER: Duration = Duration::from_millis(350);

/// Time after which a part without a backend server first looks for one again;
/// it doubles each time.
const SEARCH_PAUSE: Duration = Duration::from_millis(12);

/// Longest such time: half of a short latency target.
const LONGEST_SEARCH_PAUSE: Duration = Duration::from_millis(50);

value! {
    /// How a query ended.
    pub enum Gathered {
        /// Parts came in.
        Parts {
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
        TooFew {
            /// Whether a backend server may have run the request.
            ran: bool,
            /// Whether time ran out.
            late: bool,
            /// Backend server that broke a connection off, if one did.
            broken: Option<SocketAddr>,
            /// Shards that are missing, each with the reason.
            missing: Vec<Box<str>>,
        },
    }
}

struct Part {
    service: Box<str>,
    tried: Vec<BackendKey>,
    live: u32,
    ran: u32,
    sent: u32,
    again: Option<Instant>,
    pause: Duration,
    reply: Option<Reply>,
    lost: bool,
    silent: bool,
}

struct Event {
    part: usize,
    started: Instant,
    result: Result<Reply, Failure>,
}

/// Attempts that run; they end when dropped.
type Attempts = FuturesUnordered<BoxFuture<'static, Event>>;

struct Query<'a> {
    core: &'a Arc<Core>,
    route: &'a Route,
    plan: Plan,
    parts: Vec<Part>,
    attempts: Attempts,
    delay: Duration,
    expected: Duration,
    extra: u32,
    broken: Option<SocketAddr>,
}

/// Runs a query. From `soft` on it ends as soon as enough parts are in.
pub async fn run(
    core: &Arc<Core>,
    route: &Route,
    gather: &Gather,
    plan: Plan,
    soft: Instant,
) -> Gathered {
    let hard = plan.deadline;
    let mut query = Query::new(core, route, gather, plan);
    for part in 0..query.parts.len() {
        query.first(part);
    }
    loop {
        let now = core.now();
        let done = query.done();
        let enough = done >= gather.required_parts();
        let settled = query.parts.iter().all(|p| p.reply.is_some() || p.lost);
        if settled || now >= hard || (enough && now >= soft) {
            break;
        }
        let wake = query.wake().min(if enough { soft } else { hard });
        tokio::select! {
            Some(event) = query.attempts.next() => query.take_in(event),
            () = time::sleep_until(wake.into()) => query.search(core.now()),
        }
    }
    query.finish(gather)
}

impl<'a> Query<'a> {
    fn new(core: &'a Arc<Core>, route: &'a Route, gather: &Gather, plan: Plan) -> Query<'a> {
        let mut state = core.state();
        let pace = state.latency(route);
        let (delay, expected) = (pace.hedge_delay(), pace.median());
        drop(state);
        let parts = gather.shards.iter().map(|s| Part::new(s.clone())).collect();
        let attempts = Attempts::new();
        Query { core, route, plan, parts, attempts, delay, expected, extra: 0, broken: None }
    }

    fn done(&self) -> usize {
        self.parts.iter().filter(|p| p.reply.is_some()).count()
    }

    /// Time at which a part needs attention.
    fn wake(&self) -> Instant {
        let waiting = self.parts.iter().filter(|p| p.reply.is_none());
        let soonest = waiting.filter_map(|p| p.again).min();
        soonest.unwrap_or(self.plan.deadline)
    }

    fn first(&mut self, part: usize) {
        self.core.state().earn_retry(&self.parts[part].service, self.core.now());
        self.send(part);
    }

    /// Starts an attempt at the best backend server that is left.
    fn send(&mut self, index: usize) -> bool {
        let now = self.core.now();
        let part = &mut self.parts[index];
        let choice = self.core.choose(&part.service, &part.tried, self.expected);
        let Some(choice) = choice else {
            part.tried.clear();
            part.again = Some(now + part.pause);
            part.pause = (part.pause * 2).min(LONGEST_SEARCH_PAUSE);
            return false;
        };
        part.tried.push(choice.key);
        part.live += 1;
        part.sent += 1;
        part.again = Some(now + self.delay);
        let attempt = attempt::run(self.core.clone(), choice, self.plan.clone());
        let event = async move { Event { part: index, started: now, result: attempt.await } };
        self.attempts.push(event.boxed());
        true
    }

    /// Sends late parts a second time, and parts without a backend server a
    /// first time.
    fn search(&mut self, now: Instant) {
        for index in 0..self.parts.len() {
            let part = &self.parts[index];
            if part.reply.is_some() || part.lost || part.again.is_none_or(|a| a > now) {
                continue;
            }
            self.extend(index);
        }
    }

    /// Sends one more request for a part, if attempts and budget allow it.
    fn extend(&mut self, index: usize) {
        let part = &mut self.parts[index];
        part.again = None;
        if part.sent == 0 {
            self.send(index);
            return;
        }
        let allowed = part.ran + part.live < self.route.max_attempts;
        if allowed && self.core.state().spend_retry(&part.service, self.core.now()) {
            if self.send(index) {
                self.extra += 1;
            }
        } else if part.live == 0 {
            part.lost = true;
        }
    }

    fn take_in(&mut self, event: Event) {
        let now = self.core.now();
        let part = &mut self.parts[event.part];
        part.live -= 1;
        match event.result {
            Ok(reply) => {
                part.ran += 1;
                part.reply.get_or_insert(reply);
                let latency = now.duration_since(event.started);
                self.core.state().latency(self.route).record(latency);
            }
            Err(Failure::Unreachable | Failure::NotSent | Failure::Crowded) => {
                part.sent -= 1;
                self.again(event.part);
            }
            Err(Failure::Silent) => {
                part.silent = true;
                part.sent -= 1;
                self.again(event.part);
            }
            Err(Failure::Refused) => self.again(event.part),
            Err(failure @ (Failure::Lost | Failure::Broken(_) | Failure::Failed(_))) => {
                part.ran += 1;
                if let Failure::Broken(address) = failure {
                    self.broken = Some(address);
                }
                self.again(event.part);
            }
        }
    }

    fn again(&mut self, index: usize) {
        if self.parts[index].reply.is_none() {
            self.extend(index);
        }
    }

    /// Why a part is missing, and which backend servers were asked for it.
    fn describe(&self, part: &Part) -> Box<str> {
        let reason = match part {
            Part { sent: 0, .. } => "no_server",
            Part { live: 0, .. } => "failed",
            Part { .. } => "late",
        };
        let state = self.core.state();
        let tried = part.tried.iter().filter_map(|k| state.fleet.get(*k));
        let ids: Vec<&str> = tried.map(|b| &*b.entry.id).collect();
        format!("{}:{reason}({})", part.service, ids.join(" ")).into()
    }

    fn finish(mut self, gather: &Gather) -> Gathered {
        let unanswered = self.parts.iter().filter(|p| p.reply.is_none());
        let missing: Vec<Box<str>> = unanswered.map(|p| self.describe(p)).collect();
        if self.parts.len() - missing.len() < gather.required_parts() {
            let ran = self.parts.iter().any(|p| p.silent || p.ran + p.live > 0);
            let late = self.core.now() >= self.plan.deadline;
            return Gathered::TooFew { ran, late, broken: self.broken, missing };
        }
        linger(std::mem::take(&mut self.attempts));
        let replies: Vec<&Reply> = self.parts.iter().filter_map(|p| p.reply.as_ref()).collect();
        let stamps = replies.iter().filter_map(|r| r.stamp.clone()).collect();
        let body = merge::merge_top_k(replies.iter().map(|r| &*r.body), gather.top_k);
        Gathered::Parts { body, stamps, missing, extra: self.extra }
    }
}

/// Awaits late replies for a while.
fn linger(mut attempts: Attempts) {
    if attempts.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let rest = async { while attempts.next().await.is_some() {} };
        // What has not come by then is dropped.
        let _ = time::timeout(LINGER, rest).await;
    });
}

impl Part {
    fn new(service: Box<str>) -> Part {
        Part {
            service,
            tried: Vec::new(),
            live: 0,
            ran: 0,
            sent: 0,
            again: None,
            pause: SEARCH_PAUSE,
            reply: None,
            lost: false,
            silent: false,
        }
    }
}
