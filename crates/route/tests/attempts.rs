//! Which attempts at a request are extra requests.

use std::time::Duration;
use std::time::Instant;

use chervil_route::attempts::Attempts;
use chervil_route::attempts::End;
use chervil_route::attempts::Executions;
use chervil_route::budget::RetryBudget;
use chervil_route::budget::RetryLimit;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const HOSTS: usize = 12;
const WINDOW: Duration = Duration::from_secs(10);
const LIMIT: RetryLimit = RetryLimit { ratio: 0.2, slack: 104.0, window: WINDOW };

/// Attempts that a route allows.
const MAX_ATTEMPTS: u32 = 3;

/// Interval of the requests for the service.
const REQUEST_INTERVAL: Duration = Duration::from_millis(5);

/// Time of a reply, a hedge, and the end of an attempt without an acknowledgement.
const REPLY_TIME: Duration = Duration::from_millis(10);
const HEDGE_DELAY: Duration = Duration::from_millis(20);
const UNCONFIRMED_TIME: Duration = Duration::from_millis(500);

struct Attempt {
    ends_at: Instant,
    /// `None` for a reply.
    failure: Option<End>,
}

struct Request {
    host: usize,
    attempts: Attempts,
    running: Vec<Attempt>,
    hedge_at: Option<Instant>,
}

/// Hosts that send requests for a service with three servers. One receives requests, and what
/// it sends is lost; the others shed a part of what they get.
struct Service {
    rng: SmallRng,
    budgets: Vec<RetryBudget>,
    /// How hosts take an attempt at the first server.
    unconfirmed_as: End,
    asked: Vec<Instant>,
    extra: Vec<Instant>,
}

impl Service {
    fn new(unconfirmed_as: End, now: Instant) -> Service {
        let budget = RetryBudget::new(LIMIT, 1.0 / HOSTS as f64, now);
        Service {
            rng: SmallRng::seed_from_u64(34),
            budgets: vec![budget; HOSTS],
            unconfirmed_as,
            asked: Vec::new(),
            extra: Vec::new(),
        }
    }

    /// Starts an attempt, at the cost of an extra request if it may be one.
    fn send(&mut self, request: &mut Request, arrived: bool, now: Instant) {
        let budget = &mut self.budgets[request.host];
        if !request.attempts.allow_another(MAX_ATTEMPTS)
            || (request.attempts.is_next_extra() && !budget.try_spend(now))
        {
            return;
        }
        if arrived {
            self.extra.push(now);
        }
        let (time, failure) = match self.rng.random_range(0..3) {
            0 => (UNCONFIRMED_TIME, Some(self.unconfirmed_as)),
            _ if self.rng.random_bool(0.5) => (REPLY_TIME, Some(End::NotRun)),
            _ => (REPLY_TIME, None),
        };
        request.attempts.start();
        request.running.push(Attempt { ends_at: now + time, failure });
    }

    /// Goes on with a request. Returns whether it has ended.
    fn advance(&mut self, request: &mut Request, now: Instant) -> bool {
        if request.hedge_at.is_some_and(|at| at <= now) {
            request.hedge_at = None;
            self.send(request, true, now);
        }
        while let Some(done) = request.running.iter().position(|a| a.ends_at <= now) {
            let Some(failure) = request.running.remove(done).failure else { return true };
            request.attempts.finish(failure);
            self.send(request, true, now);
        }
        request.running.is_empty()
    }

    /// Plays a minute, and returns by how much the extra requests of the worst window exceed
    /// the limit.
    fn play(&mut self, start: Instant) -> f64 {
        let mut running: Vec<Request> = Vec::new();
        for step in 0..12_000 {
            let now = start + REQUEST_INTERVAL * step;
            running.retain_mut(|request| !self.advance(request, now));
            let host = step as usize % HOSTS;
            self.asked.push(now);
            self.budgets[host].record_request(now);
            let hedge_at = Some(now + HEDGE_DELAY);
            let mut request =
                Request { host, attempts: Attempts::default(), running: Vec::new(), hedge_at };
            self.send(&mut request, false, now);
            running.push(request);
        }
        let count = |times: &[Instant], from: Instant| {
            let end = times.partition_point(|t| *t < from + WINDOW);
            (end - times.partition_point(|t| *t < from)) as f64
        };
        let over = self.extra.iter().map(|first| {
            let earlier = [Duration::ZERO, WINDOW / 2, WINDOW];
            let asked = earlier.map(|e| count(&self.asked, *first - e)).into_iter();
            count(&self.extra, *first) - (LIMIT.ratio * asked.fold(0.0, f64::max) + LIMIT.slack)
        });
        over.fold(f64::NEG_INFINITY, f64::max)
    }
}

/// Guards against extra requests that the retry budget does not see (BUDGET), as when an attempt
/// without a confirmation is taken for one that was not sent.
#[test]
fn unconfirmed_requests_keep_to_the_budget() {
    let start = Instant::now();

    let counted = Service::new(End::Unconfirmed, start).play(start);
    let taken_as_unsent = Service::new(End::Unsent, start).play(start);

    assert!(counted <= 0.0, "{counted} extra requests beyond the limit");
    // Otherwise the load pattern would not show the fault.
    assert!(taken_as_unsent > 50.0, "{taken_as_unsent}");
}

/// Guards against a first request that costs an extra one, and against a further one that costs
/// none.
#[test]
fn only_attempts_without_a_sent_byte_are_free() {
    for (end, is_extra) in [
        (End::Unsent, false),
        (End::NotRun, true),
        (End::Unconfirmed, true),
        (End::MayHaveRun, true),
    ] {
        let mut attempts = Attempts::default();
        let first = attempts.is_next_extra();
        attempts.start();
        attempts.finish(end);

        assert!(!first);
        assert_eq!(attempts.is_next_extra(), is_extra, "{end:?}");
    }
}

/// Guards against a refusal that calls a request not run which may have run.
#[test]
fn request_may_have_run_unless_each_attempt_shows_that_it_did_not() {
    for (end, may_have_run) in [
        (End::Unsent, false),
        (End::NotRun, false),
        (End::Unconfirmed, true),
        (End::MayHaveRun, true),
    ] {
        let mut attempts = Attempts::default();
        attempts.start();
        let in_flight = attempts.may_have_run();
        attempts.finish(end);

        assert!(in_flight);
        assert_eq!(attempts.may_have_run(), may_have_run, "{end:?}");
    }
}

/// Guards against a request that each host which has it executes as often as the route allows
/// (BUDGET).
#[test]
fn executions_for_other_hosts_count_towards_the_limit() {
    let mut attempts = Attempts::after(1);
    let first = attempts.allow_another(2);
    attempts.start();
    let second = attempts.allow_another(2);

    assert!(first && !second);
    assert!(!Attempts::after(2).allow_another(2));
    assert!(Attempts::after(1).may_have_run());
    // The host that passed the request has spent an extra one for it.
    assert!(!Attempts::after(1).is_next_extra());
}

/// Guards against an attempt in flight that is forgotten when the request is passed on, and
/// against one that was never sent and costs an execution.
#[test]
fn request_that_is_passed_on_states_what_may_be_executed() {
    let mut attempts = Attempts::after(1);
    for _ in 0..5 {
        attempts.start();
    }
    let ends = [End::Unsent, End::NotRun, End::MayHaveRun];
    ends.into_iter().for_each(|end| attempts.finish(end));

    // Of the two in flight, one has been sent.
    let executions = attempts.executions(3);

    assert_eq!(executions, 3);
    assert_eq!(Attempts::default().executions(0), 0);
}

/// Guards against a request that another host is asked to execute although too few shards may
/// be asked again.
#[test]
fn executions_of_too_many_shards_end_a_query() {
    let executed = Executions::from_iter([2, 0, 1]);

    assert!(executed.allow_more(2, 3, 2));
    assert!(!executed.allow_more(2, 3, 3));
    assert!(executed.allow_more(3, 3, 3));
    assert!(Executions::default().allow_more(1, 90, 90));
    assert!(executed.any() && !Executions::from_iter([0, 0]).any());
}
