//! Requests that crash backend servers, as counted by the hosts together.

use std::time::Duration;
use std::time::Instant;

use chervil_base::HashSet;
use chervil_route::crashes::CRASH_RETENTION;
use chervil_route::crashes::CrashRecord;
use chervil_route::crashes::CrashTracker;
use chervil_route::crashes::Evidence;
use chervil_route::crashes::Loss;
use chervil_route::crashes::MAX_CRASHES_PER_SEND;
use chervil_route::crashes::Sighting;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::SmallRng;

const DIGEST: u64 = 9;

/// A caller that sends a request which crashes every server it reaches, each time to a random
/// host, and hosts that learn from each other after a delay.
struct Fleet {
    hosts: Vec<CrashTracker>,
    /// Records on their way to all hosts.
    published: Vec<(Instant, CrashRecord)>,
    delay: Duration,
}

impl Fleet {
    fn new(hosts: usize, delay: Duration) -> Fleet {
        let hosts = (0..hosts).map(|_| CrashTracker::default()).collect();
        Fleet { hosts, published: Vec::new(), delay }
    }

    /// Sends the request to a host, which sends it to one server of each shard; `servers`
    /// numbers the servers that have crashed. Returns whether it reached any server.
    fn send(&mut self, host: usize, shards: u64, servers: &mut u64, now: Instant) -> bool {
        self.deliver(now);
        if self.hosts[host].is_blocked(DIGEST, now) {
            return false;
        }
        for shard in 0..shards {
            *servers += 1;
            if shard < u64::from(MAX_CRASHES_PER_SEND) {
                let host = &mut self.hosts[host];
                let record = host.record_crash(DIGEST, *servers, Sighting::Awaited, now);
                self.published.extend(record.map(|r| (now, r)));
            }
        }
        true
    }

    /// Delivers the records that are due to all hosts.
    fn deliver(&mut self, now: Instant) {
        let (due, waiting): (Vec<_>, Vec<_>) =
            self.published.iter().partition(|(at, _)| *at + self.delay <= now);
        self.published = waiting;
        for (_, record) in due {
            self.hosts.iter_mut().for_each(|h| {
                h.add(record, now);
            });
        }
    }
}

/// Guards against a request that takes down three servers for each host. Load pattern: a caller
/// that gets no answer sends it again every 100 ms to 1 s, each time to another host.
#[test]
fn crashing_request_is_bounded_over_all_hosts() {
    const DELAY: Duration = Duration::from_millis(1_500);
    for hosts in [1, 12, 138, 295] {
        for shards in [1, 2, 10, 90] {
            let mut rng = SmallRng::seed_from_u64(hosts as u64 + shards);
            let mut fleet = Fleet::new(hosts, DELAY);
            let (mut now, mut servers, mut third) = (Instant::now(), 0, None);
            let mut later = 0;

            for _ in 0..100 {
                now += Duration::from_millis(rng.random_range(100..1_000));
                let host = rng.random_range(0..hosts);
                let reached = fleet.send(host, shards, &mut servers, now);
                later += u32::from(reached && third.is_some_and(|at| now > at + DELAY));
                if servers >= 3 && third.is_none() {
                    third = Some(now);
                }
            }

            assert!(later <= 3, "{hosts} hosts, {shards} shards: reached {later} times more");
        }
    }
}

/// Guards against a request that is blocked because many servers crashed at once, for another
/// reason, while it was executed.
#[test]
fn one_send_does_not_block_a_request() {
    for shards in [1, 2, 10, 90] {
        let now = Instant::now();
        let mut fleet = Fleet::new(12, Duration::ZERO);

        fleet.send(0, shards, &mut 0, now);

        assert!(fleet.send(1, shards, &mut 100, now), "{shards} shards");
    }
}

/// Guards against counting a crash once for each request, host or full list that reports it.
#[test]
fn same_crash_counts_once() {
    let now = Instant::now();
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());

    let seen = first.record_crash(DIGEST, 7, Sighting::Awaited, now).unwrap();
    let again = first.record_crash(DIGEST, 7, Sighting::Awaited, now + Duration::from_millis(400));
    let elsewhere = second.record_crash(DIGEST, 7, Sighting::Awaited, now).unwrap();
    let repeated = second.add(seen, now);

    assert_eq!((again, elsewhere, repeated), (None, seen, false));
    assert_eq!([first.count(DIGEST), second.count(DIGEST)], [1, 1]);
}

/// Guards against an instance without a start time whose further crashes look like the first.
#[test]
fn instance_that_crashes_again_counts_again() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();

    for second in 0..3 {
        tracker.record_crash(DIGEST, 7, Sighting::Awaited, start + Duration::from_secs(second * 2));
    }

    assert!(tracker.is_blocked(DIGEST, start + Duration::from_secs(5)));
}

/// Guards against a request that is refused because its callers left early while many servers
/// crashed for another reason. Load pattern: a popular request with copies at all servers, whose
/// callers have left when one moment takes down the servers, as hosts see within two seconds.
#[test]
fn crashes_of_one_moment_do_not_block_an_abandoned_request() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();

    for server in 0..40 {
        let sent_at = start - Duration::from_millis(server * 100);
        let seen_at = start + Duration::from_millis(server * 50);
        tracker.record_crash(DIGEST, server, Sighting::AbandonedSince(sent_at), seen_at);
    }

    assert!(!tracker.is_blocked(DIGEST, start + Duration::from_secs(2)));
}

/// Guards against a request that crashes servers after its callers have left, and is never
/// refused: it does so again when it is sent again.
#[test]
fn abandoned_request_that_crashes_servers_again_is_blocked() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    let at = |ms| start + Duration::from_millis(ms);

    let kinds = [(1, 0, 500), (2, 100, 600), (3, 900, 1_400)].map(|(server, sent, seen)| {
        let sighting = Sighting::AbandonedSince(at(sent));
        tracker.record_crash(DIGEST, server, sighting, at(seen)).map(|r| r.loss)
    });

    let expected = [Loss::Abandoned, Loss::Abandoned, Loss::Repeated];
    assert_eq!(kinds, expected.map(Some));
    assert!(tracker.is_blocked(DIGEST, at(1_400)));
}

/// Guards against a request whose repeated crash is forgotten since those of its first moment take
/// all the room.
#[test]
fn repeated_crash_counts_beside_many_of_one_moment() {
    let start = Instant::now();
    let mut tracker = CrashTracker::default();
    for server in 0..100 {
        tracker.record_crash(DIGEST, server, Sighting::AbandonedSince(start), start);
    }

    let (sent_at, seen_at) = (start + Duration::from_secs(1), start + Duration::from_secs(2));
    tracker.record_crash(DIGEST, 200, Sighting::AbandonedSince(sent_at), seen_at);

    assert!(tracker.is_blocked(DIGEST, seen_at));
    assert!(tracker.count(DIGEST) <= 16);
}

/// Guards against a crash that counts for less since a host that did not wait for the answer saw
/// it first, and against one that counts twice.
#[test]
fn awaited_loss_replaces_an_abandoned_one_of_the_same_crash() {
    let now = Instant::now();
    let (mut first, mut second) = (CrashTracker::default(), CrashTracker::default());
    let abandoned = first.record_crash(DIGEST, 7, Sighting::AbandonedSince(now), now).unwrap();
    let awaited = second.record_crash(DIGEST, 7, Sighting::Awaited, now).unwrap();

    let news = [first.add(awaited, now), first.add(awaited, now), second.add(abandoned, now)];

    assert_eq!(news, [true, false, false]);
    assert_eq!([first.records(now), second.records(now)], [[awaited], [awaited]]);
}

/// Guards against a caller that crashes servers without end because it leaves before they crash.
/// Load pattern: as above, but no host awaits the answers.
#[test]
fn abandoned_crashing_request_is_bounded_over_all_hosts() {
    const DELAY: Duration = Duration::from_millis(1_500);
    const CONTACT: Duration = Duration::from_millis(4_000);
    for hosts in [1, 12, 138, 295] {
        for seed in 0..20 {
            let mut rng = SmallRng::seed_from_u64(seed);
            let mut fleet = Fleet::new(hosts, DELAY);
            let crash_after = Duration::from_millis(rng.random_range(50..2_000));
            let mut crashes: Vec<(Instant, usize, u64, Instant)> = Vec::new();
            let (mut now, mut third, mut later) = (Instant::now(), None, 0);

            for server in 0..200 {
                now += Duration::from_millis(rng.random_range(100..1_000));
                let (due, waiting): (Vec<_>, Vec<_>) =
                    crashes.into_iter().partition(|(at, ..)| *at <= now);
                crashes = waiting;
                for (at, host, server, sent_at) in due {
                    let sighting = Sighting::AbandonedSince(sent_at);
                    let record = fleet.hosts[host].record_crash(DIGEST, server, sighting, at);
                    fleet.published.extend(record.map(|r| (at, r)));
                    if server == 2 {
                        third = Some(at);
                    }
                }
                fleet.deliver(now);
                let host = rng.random_range(0..hosts);
                if !fleet.hosts[host].is_blocked(DIGEST, now) {
                    later += u32::from(third.is_some_and(|at| now > at + CONTACT));
                    crashes.push((now + crash_after, host, server, now));
                }
            }

            assert!(later <= 3, "{hosts} hosts, seed {seed}: {later} sends later than allowed");
        }
    }
}

/// Guards against crashes that come back with a full list although the request has been
/// answered since.
#[test]
fn acquitted_request_stays_acquitted() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    let records: Vec<CrashRecord> = (0..3)
        .filter_map(|server| tracker.record_crash(DIGEST, server, Sighting::Awaited, now))
        .collect();

    tracker.acquit(DIGEST);
    records.iter().for_each(|r| {
        tracker.add(*r, now);
    });

    assert!(!tracker.is_blocked(DIGEST, now));
    assert_eq!(tracker.records(now), []);
}

/// Guards against a host that has just started and sends what the others refuse.
#[test]
fn host_that_starts_learns_all_crashes() {
    let now = Instant::now();
    let (mut running, mut started) = (CrashTracker::default(), CrashTracker::default());
    (0..3).for_each(|server| {
        running.record_crash(DIGEST, server, Sighting::Awaited, now);
    });

    running.records(now).into_iter().for_each(|r| {
        started.add(r, now);
    });

    assert!(started.is_blocked(DIGEST, now));
    assert!(!started.is_blocked(DIGEST, now + CRASH_RETENTION));
}

/// Guards against memory that grows with the number of requests or crashes.
#[test]
fn tracked_requests_and_crashes_are_bounded() {
    let now = Instant::now();
    let mut tracker = CrashTracker::default();
    for digest in 0..10_000 {
        tracker.record_crash(digest, 1, Sighting::Awaited, now + Duration::from_micros(digest));
    }
    (0..100).for_each(|server| {
        tracker.record_crash(9_999, server, Sighting::Awaited, now);
    });

    let records = tracker.records(now);

    let digests: HashSet<u64> = records.iter().map(|r| r.digest).collect();
    assert!(digests.len() <= 4_096, "{}", digests.len());
    assert!(tracker.count(9_999) <= 16);
}

/// Guards against a crash that a cut host counts although the server runs, and against one that
/// does not count because it took down all servers that a host talks to.
#[test]
fn refused_connection_shows_a_crash_unless_the_links_are_the_cause() {
    for (refuses, links_lost, has_ended, shows_crash) in [
        (false, false, false, false),
        (false, false, true, false),
        (true, false, false, true),
        (true, true, false, false),
        (true, true, true, true),
    ] {
        let evidence = Evidence { refuses, links_lost, has_ended };

        assert_eq!(evidence.shows_crash(), shows_crash, "{evidence:?}");
    }
}
