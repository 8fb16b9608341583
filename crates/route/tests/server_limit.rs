//! Rate limits that backend servers name: the sum over hosts, how a limit ends, and which
//! servers take the load.

mod support;

use std::time::Duration;
use std::time::Instant;

use chervil_route::fleet::Criteria;
use chervil_route::fleet::Fleet;
use chervil_route::relay::Division;
use chervil_route::relay::Role;
use chervil_route::server_limit::Announcements;
use chervil_route::server_limit::ServerLimit;
use chervil_route::server_limit::gives_up_shard;
use chervil_route::server_limit::wait_for_shards;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

use crate::support::criteria;
use crate::support::entry;
use crate::support::fleet;

/// Length of the window over which the platform counts requests.
const WINDOW: Duration = Duration::from_secs(4);

/// Time after the first naming from which the platform counts.
const CONTACT: Duration = Duration::from_secs(4);

/// Time from a request to its answer.
const ANSWER_TIME: Duration = Duration::from_millis(30);

/// Time from an answer that names a limit until all other hosts have heard of it.
const ANNOUNCEMENT: Duration = Duration::from_millis(1_200);

/// Requests that a window may contain.
fn allowed(rate: f64) -> f64 {
    1.5 * rate * WINDOW.as_secs_f64() + 5.0
}

/// Most requests in any window.
fn fullest_window(sent: &[Instant]) -> usize {
    let end = |first: Instant| sent.partition_point(|t| *t < first + WINDOW);
    sent.iter().enumerate().map(|(i, first)| end(*first) - i).max().unwrap_or(0)
}

/// A deployment whose hosts send to one limited backend server, with a demand of `demand`
/// times the limit that is spread unevenly over hosts and comes in waves.
struct Scenario {
    hosts: usize,
    rate: f64,
    demand: f64,
    /// Interval at which a process ends and another takes its place, if any does.
    restarts: Option<Duration>,
    seed: u64,
}

/// Times at which requests were sent once the platform counts, and how long it counted.
struct Played {
    sent: Vec<Instant>,
    length: Duration,
}

fn play(scenario: &Scenario) -> Played {
    const STEP: Duration = Duration::from_millis(5);
    const LENGTH: Duration = Duration::from_secs(40);
    const WAVE_S: f64 = 11.0;
    let Scenario { hosts, rate, demand, restarts, seed } = *scenario;
    let mut rng = SmallRng::seed_from_u64(seed);
    let start = Instant::now();
    let share = 1.0 / hosts as f64;
    let mut limits: Vec<ServerLimit> =
        (0..hosts).map(|_| ServerLimit::none(rng.random(), start)).collect();
    let weights: Vec<f64> = (0..hosts).map(|_| rng.random_range(0.4..1.6)).collect();
    let total: f64 = weights.iter().sum();
    let mut answers: Vec<(Instant, usize)> = Vec::new();
    let mut announce_at = None;
    let mut sent = Vec::new();
    let mut now = start;
    let mut restart_at = restarts.map(|interval| start + interval);
    while now < start + LENGTH {
        now += STEP;
        answers.retain(|(at, host)| {
            if *at <= now {
                limits[*host].name(rate, share, now);
                announce_at.get_or_insert(now + ANNOUNCEMENT);
            }
            *at > now
        });
        if announce_at.is_some_and(|at| at <= now) {
            limits.iter_mut().for_each(|limit| _ = limit.name(rate, share, now));
            announce_at = None;
        }
        if restart_at.is_some_and(|at| at <= now) {
            limits[rng.random_range(0..hosts)] = ServerLimit::none(rng.random(), now);
            restart_at = restarts.map(|interval| now + interval);
        }
        let elapsed = now.duration_since(start).as_secs_f64();
        let wave = 1.0 + 0.3 * (elapsed * std::f64::consts::TAU / WAVE_S).sin();
        for host in 0..hosts {
            let wanted = rate * demand * wave * weights[host] / total * STEP.as_secs_f64();
            if rng.random::<f64>() < wanted && limits[host].may_send(share, now) {
                limits[host].record_sent(share, now);
                answers.push((now + ANSWER_TIME, host));
                if now >= start + CONTACT {
                    sent.push(now);
                }
            }
        }
    }
    Played { sent, length: LENGTH - CONTACT }
}

/// Guards against hosts that each take a named limit for themselves, at the sizes of the
/// deployments: few hosts, relays among many, and many hosts with a share of a request in
/// seconds.
#[test]
fn hosts_keep_to_a_limit_together() {
    for (hosts, rate) in
        [(12, 32.8), (12, 4.0), (19, 51.0), (14, 17.8), (138, 60.0), (138, 17.8), (295, 30.0)]
    {
        for demand in [1.2, 2.0, 4.0] {
            for seed in 0..8 {
                let scenario = Scenario { hosts, rate, demand, restarts: None, seed };

                let played = play(&scenario);

                let most = fullest_window(&played.sent);
                assert!(
                    most as f64 <= allowed(rate),
                    "{hosts} hosts, {rate}/s, {demand} times: {most} in a window"
                );
            }
        }
    }
}

/// Guards against processes that start with requests saved up, or without a limit for
/// longer than the first answer takes.
#[test]
fn restarts_keep_to_a_limit() {
    for (hosts, rate) in [(12, 32.8), (14, 17.8), (138, 60.0)] {
        for seed in 0..8 {
            let restarts = Some(Duration::from_millis(700));
            let scenario = Scenario { hosts, rate, demand: 2.0, restarts, seed };

            let played = play(&scenario);

            let most = fullest_window(&played.sent);
            assert!(most as f64 <= allowed(rate), "{hosts} hosts, {rate}/s: {most} in a window");
        }
    }
}

/// Guards against a limit that costs callers more than the server asks for: where a host's
/// share is a request a second or more, most of it is used.
#[test]
fn most_of_a_limit_is_used() {
    for (hosts, rate) in [(12, 32.8), (14, 17.8), (19, 51.0)] {
        let scenario = Scenario { hosts, rate, demand: 2.0, restarts: None, seed: 3 };

        let played = play(&scenario);

        let used = played.sent.len() as f64 / played.length.as_secs_f64() / rate;
        assert!(used >= 0.8, "{hosts} hosts use {used} of the limit");
    }
}

/// Guards against a limit that stays after the server has taken it back, and against one
/// that ends by an answer which was on its way before it was named.
#[test]
fn limit_ends_with_an_answer_that_does_not_name_it() {
    let start = Instant::now();
    let mut limit = ServerLimit::none(0.0, start);
    let named_at = start + Duration::from_millis(50);
    limit.name(10.0, 1.0, named_at);

    let ended_by_old = limit.lift(start, named_at + ANSWER_TIME);
    let ended_by_new = limit.lift(named_at + ANSWER_TIME, named_at + ANSWER_TIME * 2);

    assert!(!ended_by_old);
    assert!(ended_by_new);
    assert!(limit.may_send(0.0, named_at + ANSWER_TIME * 2));
}

/// Guards against a limit that nobody names any more and that holds for ever.
#[test]
fn limit_lapses_when_it_is_no_longer_named() {
    let start = Instant::now();
    let mut limit = ServerLimit::none(0.0, start);
    limit.name(10.0, 0.0, start);

    let early = limit.may_send(0.0, start + Duration::from_secs(2));
    let late = limit.may_send(0.0, start + Duration::from_secs(90));

    assert!(!early);
    assert!(late);
}

/// Guards against hosts that all forget the limit of a server which had no request for some
/// seconds, and send to it before its next answer names the limit again. Load pattern: many
/// servers with a low limit each, whose requests take 200 ms.
#[test]
fn idle_server_keeps_its_limit() {
    const HOSTS: u64 = 12;
    const IDLE: Duration = Duration::from_secs(20);
    let start = Instant::now();
    let mut limits: Vec<ServerLimit> =
        (0..HOSTS).map(|h| ServerLimit::none(h as f64 / HOSTS as f64, start)).collect();
    limits.iter_mut().for_each(|limit| _ = limit.name(1.0, 1.0 / HOSTS as f64, start));

    let at_once = limits.iter().filter(|l| l.may_send(1.0 / HOSTS as f64, start + IDLE)).count();

    assert!(at_once as f64 <= allowed(1.0), "{at_once} hosts may send at once");
    assert!(at_once < HOSTS as usize);
}

/// Guards against a server that takes nothing at all and still gets requests.
#[test]
fn limit_of_zero_allows_no_request() {
    let start = Instant::now();
    let mut limit = ServerLimit::none(0.9, start);
    limit.name(0.0, 1.0, start);

    let allowed = (0..40).filter(|t| limit.may_send(1.0, start + Duration::from_millis(t * 100)));

    assert_eq!(allowed.count(), 0);
}

/// A service of a limited and a free backend server, and the criteria of a host that has
/// the whole limit.
fn limited_fleet(now: Instant) -> (Fleet, Criteria<'static>) {
    let mut fleet = fleet(&[entry("limited", "north"), entry("free", "south")], now);
    let key = fleet.key("limited").unwrap();
    fleet.get_mut(key).unwrap().limit.name(1.0, 1.0, now);
    (fleet, Criteria { limit_share: 1.0, ..criteria(&[]) })
}

/// Guards against requests beyond the limit because the limited server is the nearest and
/// answers fast: the other replica takes them.
#[test]
fn other_replica_takes_what_exceeds_the_limit() {
    let now = Instant::now() + Duration::from_secs(60);
    let (fleet, criteria) = limited_fleet(now);
    let mut rng = SmallRng::seed_from_u64(1);

    let chosen: Vec<_> =
        (0..20).filter_map(|_| fleet.choose(&criteria, |_| true, &mut rng, now)).collect();

    assert_eq!(chosen.len(), 20);
    assert!(chosen.iter().all(|k| *k == fleet.key("free").unwrap()));
    assert_eq!(fleet.limit_wait("lookup", 1.0, now), None);
}

/// Guards against requests that wait for a server which cannot take them: the time until one
/// can is known at once.
#[test]
fn service_with_all_servers_at_their_limits_states_the_wait() {
    let now = Instant::now() + Duration::from_secs(60);
    let (mut fleet, _) = limited_fleet(now);
    let key = fleet.key("free").unwrap();
    fleet.get_mut(key).unwrap().limit.name(20.0, 1.0, now);

    let wait = fleet.limit_wait("lookup", 1.0, now);

    assert!(wait.is_some_and(|w| w <= Duration::from_millis(60)), "{wait:?}");
}

/// Guards against shares that add up to more than the limit where relays gather the
/// queries.
#[test]
fn shares_of_a_limit_add_up_to_the_whole() {
    let share = |role| Division { role, relays: 14, hosts: 138 }.server_limit_share();

    let relays = share(Role::Relay) * 14.0 + share(Role::Entry) * 124.0;
    let singles = Division::equal(12).server_limit_share() * 12.0;

    assert!((relays - 1.0).abs() < 1e-9, "{relays}");
    assert!((singles - 1.0).abs() < 1e-9, "{singles}");
}

/// Guards against a report for each answer, and against a change of the limit that other
/// hosts hear late.
#[test]
fn limit_is_announced_when_it_is_new_changed_or_a_second_old() {
    let start = Instant::now();
    let mut announcements = Announcements::default();
    let mut due = |rate, ms| announcements.announce("a", rate, start + Duration::from_millis(ms));

    let announced = [due(10.0, 0), due(10.0, 200), due(8.0, 300), due(8.0, 900), due(8.0, 1_300)];

    assert_eq!(announced, [true, false, true, false, true]);
}

/// Guards against a query that is sent although too many of its shards get no request, and
/// against a time to come back that is too early for it.
#[test]
fn query_waits_for_the_shards_that_it_cannot_do_without() {
    let waits = [300, 20, 100].map(Duration::from_millis).to_vec();

    let by_spare: Vec<Option<u128>> = (0..4)
        .map(|spare| wait_for_shards(waits.clone(), spare).map(|wait| wait.as_millis()))
        .collect();

    assert_eq!(by_spare, [Some(300), Some(100), Some(20), None]);
}

/// Guards against a shard that is given up while a request for it is in flight, and against
/// one that is searched for although no server can take a request.
#[test]
fn limited_shard_is_given_up_unless_a_request_is_in_flight() {
    let wait = Some(Duration::from_millis(40));

    let given_up = [(wait, 0), (wait, 1), (None, 0)].map(|(wait, n)| gives_up_shard(wait, n));

    assert_eq!(given_up, [true, false, false]);
}

/// Guards against requests saved under a higher limit, or under a larger share before a
/// change of the configuration or of the hosts, that are sent under the lower one.
#[test]
fn lower_limit_or_share_takes_back_what_was_saved() {
    let start = Instant::now();
    let saved_at = start + Duration::from_secs(5);
    let (mut lowered, mut divided) = (ServerLimit::none(0.5, start), ServerLimit::none(0.5, start));
    lowered.name(400.0, 0.1, start);
    divided.name(400.0, 0.1, start);

    lowered.name(10.0, 0.1, saved_at);

    let count = |limit: &mut ServerLimit, share: f64| {
        let mut sent = 0;
        while limit.may_send(share, saved_at) && sent < 1_000 {
            limit.record_sent(share, saved_at);
            sent += 1;
        }
        sent
    };
    assert!(count(&mut lowered, 0.1) <= 1);
    assert!(count(&mut divided, 0.0025) <= 1);
}
