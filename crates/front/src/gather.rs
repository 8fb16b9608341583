//! Scatter-gather: sends a query to all shards of a route and merges the replies.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::value;
use chervil_route::admission;
use chervil_route::admission::Signal;
use chervil_route::attempts::Attempts;
use chervil_route::attempts::End;
use chervil_route::attempts::Executions;
use chervil_route::config::Gather;
use chervil_route::config::Route;
use chervil_route::fleet::BackendKey;
use chervil_route::merge;
use chervil_route::progress::Progress;
use chervil_route::progress::Verdict;
use chervil_route::server_limit;
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

/// Time for which late replies are still read after the answer, so that their
/// connections can be reused. Must stay below 500 ms: by then, backend servers must
/// have stopped working for a caller that disconnected.
const LATE_REPLY_WAIT: Duration = Duration::from_millis(350);

/// First delay before a shard for which no backend server was available looks for
/// one again; doubles with each further try.
const MIN_SEARCH_BACKOFF: Duration = Duration::from_millis(12);

/// Upper bound of that delay: half of a short latency target.
const MAX_SEARCH_BACKOFF: Duration = Duration::from_millis(50);

value! {
    /// Result of a query. Missing shards are described as `SERVICE:REASON(IDS)`,
    /// with the ids of the backend servers that were tried last.
    pub enum GatherOutcome {
        /// Enough shards replied.
        Merged {
            /// Merged records.
            body: Vec<u8>,
            /// Response stamps of the merged replies.
            stamps: Vec<hyper::header::HeaderValue>,
            /// Descriptions of the missing shards.
            missing: Vec<Box<str>>,
            /// Hedged and repeated requests, beyond the first of each shard.
            extra: u32,
        },
        /// Refused before anything was sent.
        Refused {
            /// Reason, for the log.
            reason: Box<str>,
            /// Time after which the caller may come back.
            retry_after: Duration,
        },
        /// The backend servers are out of reach of this host.
        OutOfReach {
            /// Whether this host has sent the query to a backend server.
            sent: bool,
            /// Executions by now, over all hosts.
            executed: Executions,
        },
        /// Fewer shards replied than the route requires.
        TooFewShards {
            /// Whether a backend server may have executed the request.
            may_have_run: bool,
            /// Whether the deadline has passed.
            timed_out: bool,
            /// Descriptions of the missing shards.
            missing: Vec<Box<str>>,
        },
    }
}

impl GatherOutcome {
    /// The outcome of a query that servers have executed for other hosts and that this host does
    /// not send. It is no refusal, which would state that the query has not run.
    pub fn executed_elsewhere() -> GatherOutcome {
        GatherOutcome::TooFewShards { may_have_run: true, timed_out: false, missing: Vec::new() }
    }
}

/// Progress of one shard.
struct ShardState {
    service: Box<str>,
    /// The query, as sent to this shard.
    spec: RequestSpec,
    /// Backend servers to leave out of the next choice.
    tried: Vec<BackendKey>,
    attempts: Attempts,
    /// Time of the next hedge, or of the next search for a backend server; `None`
    /// if neither is due.
    next_send: Option<Instant>,
    backoff: Duration,
    reply: Option<Reply>,
    /// Whether all attempts have failed and no further one is allowed.
    exhausted: bool,
    /// Whether a full backend server refused an attempt.
    met_full: bool,
}

/// Ends an admitted query on drop, so that a cancelled one is counted as well.
struct AdmittedQuery<'a> {
    core: &'a Core,
    gather: &'a Gather,
    start: Instant,
    signal: Signal,
}

impl Drop for AdmittedQuery<'_> {
    fn drop(&mut self) {
        let now = self.core.now();
        self.core.state().finish_query(self.gather, self.signal, self.start, now);
    }
}

/// End of one attempt.
struct Completion {
    /// Index in `Query::shards`.
    shard: usize,
    started: Instant,
    result: Result<Reply, Failure>,
}

/// Attempts in flight; dropping them cancels them.
type RunningAttempts = FuturesUnordered<BoxFuture<'static, Completion>>;

/// A running query and its attempts.
struct Query<'a> {
    core: &'a Arc<Core>,
    route: &'a Route,
    spec: RequestSpec,
    shards: Vec<ShardState>,
    running: RunningAttempts,
    hedge_delay: Duration,
    typical_latency: Duration,
    extra: u32,
}

/// Admits a query and runs it until its [`Progress`] says that it ends.
pub async fn run(
    core: &Arc<Core>,
    route: &Route,
    gather: &Gather,
    spec: RequestSpec,
    soft_deadline: Instant,
) -> GatherOutcome {
    let (start, deadline) = (core.now(), spec.deadline);
    if core.has_lost_links() {
        return GatherOutcome::OutOfReach { sent: false, executed: spec.executed };
    }
    if let Err(refusal) = core.state().admit(route, gather, start) {
        if spec.executed.any() {
            return GatherOutcome::executed_elsewhere();
        }
        let reason = refusal.reason.into();
        return GatherOutcome::Refused { reason, retry_after: refusal.retry_after };
    }
    let mut admitted = AdmittedQuery { core, gather, start, signal: Signal::Neutral };
    let mut query = Query::new(core, route, gather, spec);
    for shard in 0..query.shards.len() {
        query.send_first(shard);
    }
    let mut links_lost = core.subscribe_links();
    let mut may_hand_over = true;
    loop {
        let progress = query.progress(gather);
        let now = core.now();
        // The deadline may have passed while the machine was suspended.
        let deadline = deadline.min(now + query.spec.time_left(core));
        let Verdict::WaitUntil(end) = progress.verdict(now, soft_deadline, deadline) else {
            admitted.signal = query.signal(progress);
            break;
        };
        if may_hand_over
            && *links_lost.borrow_and_update()
            && !progress.has_enough()
            && query.allows_more(gather)
        {
            if query.spend_repeat() {
                return query.out_of_reach();
            }
            may_hand_over = false;
        }
        let wake = query.next_wakeup().min(end);
        tokio::select! {
            Ok(()) = links_lost.changed() => {}
            Some(completion) = query.running.next() => query.on_completion(completion),
            () = time::sleep_until(wake.into()) => query.send_due(core.now()),
        }
    }
    query.finish(gather)
}

impl<'a> Query<'a> {
    fn new(core: &'a Arc<Core>, route: &'a Route, gather: &Gather, spec: RequestSpec) -> Query<'a> {
        let mut state = core.state();
        let latency = state.latency(route);
        let (hedge_delay, typical_latency) = (latency.hedge_delay(), latency.median());
        drop(state);
        let shards = gather.shards.iter().enumerate().map(|(i, service)| {
            let attempts = Attempts::after(spec.executed.of(i));
            ShardState::new(service.clone(), spec.for_shard(), attempts, route.max_attempts)
        });
        let shards = shards.collect();
        let running = RunningAttempts::new();
        Query { core, route, spec, shards, running, hedge_delay, typical_latency, extra: 0 }
    }

    fn progress(&self, gather: &Gather) -> Progress {
        Progress {
            shards: self.shards.len(),
            answered: self.shards.iter().filter(|s| s.reply.is_some()).count(),
            exhausted: self.shards.iter().filter(|s| s.reply.is_none() && s.exhausted).count(),
            required: gather.required_shards(),
        }
    }

    /// Executions by now, over all hosts.
    fn executed(&self) -> Executions {
        self.shards.iter().map(|s| s.attempts.executions(s.spec.sends())).collect()
    }

    /// Whether the route allows another host to send the query to enough shards.
    fn allows_more(&self, gather: &Gather) -> bool {
        let (shards, required) = (self.shards.len(), gather.required_shards());
        self.executed().allow_more(self.route.max_attempts, shards, required)
    }

    /// Whether this host has sent the query to any backend server.
    fn was_sent(&self) -> bool {
        self.shards.iter().any(|s| s.spec.was_sent())
    }

    /// The outcome if another host may send the query.
    fn out_of_reach(&self) -> GatherOutcome {
        GatherOutcome::OutOfReach { sent: self.was_sent(), executed: self.executed() }
    }

    /// What the query says about the load of the backend servers.
    fn signal(&self, progress: Progress) -> Signal {
        let full = self.shards.iter().filter(|s| s.met_full).count();
        admission::signal(progress.has_enough(), full, progress.shards)
    }

    /// Earliest time at which a shard without a reply is due for another request.
    fn next_wakeup(&self) -> Instant {
        let waiting = self.shards.iter().filter(|s| s.reply.is_none());
        let soonest = waiting.filter_map(|s| s.next_send).min();
        soonest.unwrap_or(self.spec.deadline)
    }

    /// Sends the first request for a shard and credits the retry budget with it, unless it
    /// repeats that of another host. A shard that other hosts have asked as often as the route
    /// allows is not asked.
    fn send_first(&mut self, shard: usize) {
        if self.shards[shard].exhausted {
            return;
        }
        if !self.spec.is_repeat {
            self.core.state().credit_retry_budget(&self.shards[shard].service, self.core.now());
        }
        self.send(shard);
    }

    /// Spends an extra request of each shard to which the query was sent, so that another host
    /// may send it again. Returns false, and spends none, if a budget is exhausted.
    fn spend_repeat(&self) -> bool {
        let sent = self.shards.iter().filter(|s| s.spec.was_sent());
        let services: Vec<&str> = sent.map(|s| &*s.service).collect();
        let spent = services.iter().take_while(|s| self.core.try_spend_retry(s)).count();
        if spent < services.len() {
            services[..spent].iter().for_each(|s| self.core.state().refund_retry(s));
        }
        spent == services.len()
    }

    /// Starts an attempt at the best backend server that was not tried yet. If
    /// there is none, returns false and schedules another search among all, or gives the
    /// shard up if all are at the limits that they name.
    fn send(&mut self, index: usize) -> bool {
        let now = self.core.now();
        let shard = &mut self.shards[index];
        let choice = self.core.choose(&shard.service, &shard.tried, self.typical_latency);
        let Some(choice) = choice else {
            shard.tried.clear();
            let limit_wait = self.core.state().limit_wait(&shard.service, now);
            if server_limit::gives_up_shard(limit_wait, shard.attempts.in_flight()) {
                shard.next_send = None;
                shard.exhausted = true;
                return false;
            }
            shard.next_send = Some(now + shard.backoff);
            shard.backoff = (shard.backoff * 2).min(MAX_SEARCH_BACKOFF);
            return false;
        };
        shard.tried.push(choice.key);
        shard.attempts.start();
        shard.next_send = Some(now + self.hedge_delay);
        let attempt = attempt::run(self.core.clone(), choice, shard.spec.clone());
        let completion =
            async move { Completion { shard: index, started: now, result: attempt.await } };
        self.running.push(completion.boxed());
        true
    }

    /// Sends hedges for late shards, and requests for shards for which no backend
    /// server was available before.
    fn send_due(&mut self, now: Instant) {
        for index in 0..self.shards.len() {
            let shard = &mut self.shards[index];
            if shard.reply.is_some() || shard.exhausted || shard.next_send.is_none_or(|a| a > now) {
                continue;
            }
            if shard.attempts.in_flight() > 0 && self.core.record_overdue_reply(self.hedge_delay) {
                shard.next_send = Some(now + MIN_SEARCH_BACKOFF);
                continue;
            }
            self.send_another(index);
        }
    }

    /// Sends one more request for a shard, if its attempts and the retry budget
    /// allow it. Neither limits the first request that is actually sent. A query that has
    /// crashed too many backend servers meanwhile is sent to no further one.
    fn send_another(&mut self, index: usize) {
        let is_blocked = self.spec.was_disconnected() && self.core.is_blocked(self.spec.digest);
        let shard = &mut self.shards[index];
        shard.next_send = None;
        if is_blocked {
            shard.exhausted = shard.attempts.in_flight() == 0;
            return;
        }
        if !shard.attempts.is_next_extra() {
            self.send(index);
            return;
        }
        let allowed = shard.attempts.allow_another(self.route.max_attempts);
        if allowed && self.core.try_spend_retry(&shard.service) {
            if self.send(index) {
                self.extra += 1;
            } else {
                let service = &self.shards[index].service;
                self.core.state().refund_retry(service);
            }
        } else if shard.attempts.in_flight() == 0 {
            shard.exhausted = true;
        }
    }

    fn on_completion(&mut self, completion: Completion) {
        let now = self.core.now();
        let shard = &mut self.shards[completion.shard];
        match completion.result {
            Ok(reply) => {
                shard.attempts.finish(End::MayHaveRun);
                shard.reply.get_or_insert(reply);
                let latency = now.duration_since(completion.started);
                self.core.state().latency(self.route).record(latency);
            }
            Err(failure) => {
                shard.attempts.finish(failure.end());
                shard.met_full |= failure == Failure::Full;
                self.retry_unanswered(completion.shard);
            }
        }
    }

    /// Sends another request after a failed attempt, unless another attempt has
    /// brought the reply.
    fn retry_unanswered(&mut self, index: usize) {
        if self.shards[index].reply.is_none() {
            self.send_another(index);
        }
    }

    /// Describes a missing shard for the log: service, reason and the ids of the
    /// backend servers that were tried.
    fn describe_missing(&self, shard: &ShardState) -> Box<str> {
        let reason = match shard {
            shard if !shard.attempts.is_next_extra() && shard.exhausted => "attempts_used",
            shard if !shard.attempts.is_next_extra() => "no_server",
            shard if shard.attempts.in_flight() == 0 => "failed",
            _ => "late",
        };
        let state = self.core.state();
        let tried = shard.tried.iter().filter_map(|k| state.fleet.get(*k));
        let ids: Vec<&str> = tried.map(|b| &*b.entry.id).collect();
        format!("{}:{reason}({})", shard.service, ids.join(" ")).into()
    }

    fn finish(mut self, gather: &Gather) -> GatherOutcome {
        let unanswered = self.shards.iter().filter(|s| s.reply.is_none());
        let missing: Vec<Box<str>> = unanswered.map(|s| self.describe_missing(s)).collect();
        if self.shards.len() - missing.len() < gather.required_shards() {
            let may_have_run = self.shards.iter().any(|s| s.attempts.may_have_run());
            let gave_up = !may_have_run || !self.was_sent();
            if gave_up
                && self.core.has_lost_links()
                && self.allows_more(gather)
                && self.spend_repeat()
            {
                return GatherOutcome::OutOfReach { sent: false, executed: self.executed() };
            }
            let timed_out = self.core.now() >= self.spec.deadline;
            return GatherOutcome::TooFewShards { may_have_run, timed_out, missing };
        }
        if missing.is_empty() {
            self.spec.losses.record_answer(self.core, self.spec.digest);
        }
        drain_late_replies(std::mem::take(&mut self.running));
        let replies: Vec<&Reply> = self.shards.iter().filter_map(|s| s.reply.as_ref()).collect();
        let stamps = replies.iter().filter_map(|r| r.stamp.clone()).collect();
        let body = merge::merge_top_k(replies.iter().map(|r| &*r.body), gather.top_k);
        GatherOutcome::Merged { body, stamps, missing, extra: self.extra }
    }
}

/// Reads late replies in the background for up to `LATE_REPLY_WAIT`.
fn drain_late_replies(mut attempts: RunningAttempts) {
    if attempts.is_empty() {
        return;
    }
    tokio::spawn(async move {
        let rest = async { while attempts.next().await.is_some() {} };
        // Attempts that are still in flight after the timeout are cancelled.
        let _ = time::timeout(LATE_REPLY_WAIT, rest).await;
    });
}

impl ShardState {
    fn new(
        service: Box<str>,
        spec: RequestSpec,
        attempts: Attempts,
        max_attempts: u32,
    ) -> ShardState {
        ShardState {
            service,
            spec,
            tried: Vec::new(),
            exhausted: !attempts.allow_another(max_attempts),
            attempts,
            next_send: None,
            backoff: MIN_SEARCH_BACKOFF,
            reply: None,
            met_full: false,
        }
    }
}
