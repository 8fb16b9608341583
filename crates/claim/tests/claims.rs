//! Claims against a store with faults.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::clock::ManualClock;
use chervil_claim::ClaimSettings;
use chervil_claim::Claims;
use chervil_claim::bucket_of;
use chervil_claim::key::BUCKETS;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_platform::MAX_VALUE;
use chervil_platform::Store as _;
use chervil_platform::StoreError;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::agent::SettleRequest;
use futures::future::join_all;

const NOW: u64 = 1_800_000_000;
const KEY: &str = "1800000000-a";
const TIMEOUT_MS: u32 = 5_000;

struct World {
    store: Arc<FakeStore>,
    clock: Arc<ManualClock>,
}

fn world() -> World {
    let wall: SystemTime = UNIX_EPOCH + Duration::from_secs(NOW);
    World { store: Arc::new(FakeStore::new()), clock: Arc::new(ManualClock::new(wall)) }
}

impl World {
    fn host(&self, seed: u64) -> Claims {
        let settings = ClaimSettings { interval: Duration::ZERO, ..ClaimSettings::default() };
        Claims::new(self.store.clone(), self.clock.clone(), settings, seed)
    }
}

fn request(key: &str, nonce: u64) -> ClaimRequest {
    ClaimRequest { key: key.into(), digest: 1, nonce, timeout_ms: TIMEOUT_MS, forwarded: false }
}

fn settle(key: &str, nonce: u64, outcome: RecordedOutcome) -> SettleRequest {
    SettleRequest { key: key.into(), nonce, outcome, forwarded: false }
}

fn done(body: &str) -> RecordedOutcome {
    RecordedOutcome::Done { body: body.into() }
}

/// Keys of one bucket.
fn keys_of_one_bucket(count: usize) -> Vec<String> {
    let bucket = bucket_of(KEY).unwrap();
    let keys = (0u64..).map(|i| format!("{NOW}-k{i}"));
    keys.filter(|k| bucket_of(k).unwrap() == bucket).take(count).collect()
}

// Guards against two runs when a caller sends a request twice at once.
#[tokio::test(start_paused = true)]
async fn concurrent_duplicates_on_two_hosts_get_one_grant() {
    let world = world();
    world.store.set_faults(Faults { delay: Duration::from_millis(3), ..Faults::default() });
    let hosts = [world.host(1), world.host(2)];

    let claims = (0..8).map(|i| hosts[i % 2].claim(request(KEY, i as u64)));
    let replies = join_all(claims).await;

    let granted = replies.iter().filter(|r| **r == ClaimReply::Granted).count();
    let running = replies.iter().filter(|r| **r == ClaimReply::Running).count();
    assert_eq!((granted, running), (1, 7));
}

// Guards against a claim that is written but refused, or granted twice.
#[tokio::test(start_paused = true)]
async fn lost_reply_is_resolved_by_the_nonce() {
    let world = world();
    world.store.set_faults(Faults { lost_replies: 1, ..Faults::default() });
    let host = world.host(1);

    let first = host.claim(request(KEY, 1)).await;
    let other = world.host(2).claim(request(KEY, 2)).await;

    assert_eq!((first, other), (ClaimReply::Granted, ClaimReply::Running));
    assert_eq!(world.store.writes(), 1);
}

// Guards against a grant for a write that the store never saw.
#[tokio::test(start_paused = true)]
async fn lost_request_is_written_again() {
    let world = world();
    world.store.set_faults(Faults { lost_requests: 1, ..Faults::default() });

    let reply = world.host(1).claim(request(KEY, 1)).await;
    let other = world.host(2).claim(request(KEY, 2)).await;

    assert_eq!((reply, other), (ClaimReply::Granted, ClaimReply::Running));
}

// Guards against a read that hides the own claim after a lost reply.
#[tokio::test(start_paused = true)]
async fn stale_read_after_a_lost_reply_grants_once() {
    let world = world();
    world.store.set_faults(Faults { lost_replies: 1, stale_reads: 2, ..Faults::default() });

    let reply = world.host(1).claim(request(KEY, 1)).await;
    let other = world.host(2).claim(request(KEY, 2)).await;

    assert_eq!((reply, other), (ClaimReply::Granted, ClaimReply::Running));
}

// Guards against work that runs without a record.
#[tokio::test(start_paused = true)]
async fn outage_refuses_and_a_known_outcome_is_still_returned() {
    let world = world();
    let host = world.host(1);
    host.claim(request(KEY, 1)).await;
    host.settle(settle(KEY, 1, done("r"))).await.unwrap();
    world.store.set_faults(Faults { down: true, ..Faults::default() });

    let fresh = host.claim(request("1800000000-b", 2)).await;
    let settled = host.settle(settle("1800000000-b", 2, done("r"))).await;
    let known = host.claim(request(KEY, 3)).await;

    assert_eq!(fresh, ClaimReply::Unavailable);
    assert_eq!(settled, Err(StoreError::Unavailable));
    assert_eq!(known, ClaimReply::Done { body: "r".into() });
}

// Guards against an outcome that is lost because the store is away for a
// moment.
#[tokio::test(start_paused = true)]
async fn outcome_is_recorded_after_an_outage() {
    let world = world();
    let host = world.host(1);
    host.claim(request(KEY, 1)).await;
    world.store.set_faults(Faults { down: true, ..Faults::default() });
    let during = host.settle(settle(KEY, 1, done("r"))).await;
    world.store.set_faults(Faults::default());

    host.sweep().await.unwrap();
    let reply = world.host(2).claim(request(KEY, 2)).await;

    assert_eq!(during, Err(StoreError::Unavailable));
    assert_eq!(reply, ClaimReply::Done { body: "r".into() });
}

// Guards against a store that hangs and holds the caller beyond its deadline.
#[tokio::test(start_paused = true)]
async fn slow_store_refuses_at_the_timeout() {
    let world = world();
    world.store.set_faults(Faults { delay: Duration::from_secs(60), ..Faults::default() });

    let reply = world.host(1).claim(request(KEY, 1)).await;

    assert_eq!(reply, ClaimReply::Unavailable);
}

// Guards against a second run after the claimant was paused, and against
// losing the outcome that it records after it wakes.
#[tokio::test(start_paused = true)]
async fn paused_claimant_keeps_its_key() {
    let world = world();
    let (a, b) = (world.host(1), world.host(2));
    a.claim(request(KEY, 1)).await;

    let before = b.claim(request(KEY, 2)).await;
    world.clock.advance(Duration::from_millis(u64::from(TIMEOUT_MS) + 1));
    let after = b.claim(request(KEY, 3)).await;
    a.settle(settle(KEY, 1, done("late"))).await.unwrap();
    let woken = b.claim(request(KEY, 4)).await;

    assert_eq!((before, after), (ClaimReply::Running, ClaimReply::Unknown));
    assert_eq!(woken, ClaimReply::Done { body: "late".into() });
}

// Guards against a key that is refused although its work was never started,
// and against a late copy of the settled claim that blocks it again.
#[tokio::test(start_paused = true)]
async fn work_that_did_not_run_can_be_claimed_again() {
    let world = world();
    let (a, b) = (world.host(1), world.host(2));
    a.claim(request(KEY, 1)).await;
    a.settle(settle(KEY, 1, RecordedOutcome::NotRun)).await.unwrap();

    let late = b.claim(request(KEY, 1)).await;
    let again = b.claim(request(KEY, 2)).await;
    let third = a.claim(request(KEY, 3)).await;

    assert_eq!((late, again), (ClaimReply::Unavailable, ClaimReply::Granted));
    assert_eq!(third, ClaimReply::Running);
}

// Guards against an outcome that a late or foreign settlement replaces.
#[tokio::test(start_paused = true)]
async fn recorded_outcome_is_final() {
    let world = world();
    let host = world.host(1);
    host.claim(request(KEY, 1)).await;

    host.settle(settle(KEY, 9, RecordedOutcome::NotRun)).await.unwrap();
    host.settle(settle(KEY, 1, done("r"))).await.unwrap();
    host.settle(settle(KEY, 1, RecordedOutcome::NotRun)).await.unwrap();
    let reply = host.claim(request(KEY, 2)).await;

    assert_eq!(reply, ClaimReply::Done { body: "r".into() });
}

// Guards against one key that stands for two requests.
#[tokio::test(start_paused = true)]
async fn key_with_another_request_is_refused() {
    let world = world();
    let host = world.host(1);
    host.claim(request(KEY, 1)).await;
    host.settle(settle(KEY, 1, RecordedOutcome::NotRun)).await.unwrap();

    let reply = host.claim(ClaimRequest { digest: 2, ..request(KEY, 2) }).await;

    assert_eq!(reply, ClaimReply::Mismatch);
}

// Guards against keys whose buckets may be deleted, or are not written yet.
#[tokio::test(start_paused = true)]
async fn keys_out_of_bounds_are_refused_without_a_store_call() {
    let world = world();
    let host = world.host(1);
    let keys = ["1799996399-old", "1800000061-ahead", "1800000000", "x-a", "01800000000-a", "1-"];

    for key in keys {
        let reply = host.claim(request(key, 1)).await;
        assert!(matches!(reply, ClaimReply::Invalid { .. }), "{key}: {reply:?}");
    }

    assert_eq!(world.store.reads() + world.store.writes(), 0);
    assert_eq!(host.claim(request("1799996400-a", 1)).await, ClaimReply::Granted);
    assert_eq!(host.claim(request("1800000060-a", 1)).await, ClaimReply::Granted);
}

// Guards against a key that expires while it waits and then makes its deleted
// bucket appear again.
#[tokio::test(start_paused = true)]
async fn key_that_expires_while_it_waits_is_refused() {
    let world = world();
    let host = world.host(1);
    world.store.set_faults(Faults { delay: Duration::from_millis(10), ..Faults::default() });
    let claim = host.claim(request("1799996400-a", 1));
    let expire = async { world.clock.advance(Duration::from_secs(1)) };

    let (reply, ()) = tokio::join!(claim, expire);

    assert!(matches!(reply, ClaimReply::Invalid { .. }), "{reply:?}");
    assert_eq!(world.store.writes(), 0);
}

// Guards against a write for each claim, which the store would not sustain.
#[tokio::test(start_paused = true)]
async fn claims_that_wait_share_a_write() {
    let world = world();
    let host = world.host(1);
    world.store.set_faults(Faults { delay: Duration::from_millis(5), ..Faults::default() });
    let keys = keys_of_one_bucket(50);

    let replies = join_all(keys.iter().map(|k| host.claim(request(k, 1)))).await;
    let settled = join_all(keys.iter().map(|k| host.settle(settle(k, 1, done("r"))))).await;

    assert!(replies.iter().all(|r| *r == ClaimReply::Granted));
    assert!(settled.iter().all(Result::is_ok));
    assert!(world.store.writes() <= 4, "{}", world.store.writes());
}

// Guards against waiters that depend on a writer whose caller went away.
#[tokio::test(start_paused = true)]
async fn dropped_writer_leaves_the_others_served() {
    let world = world();
    let host = world.host(1);
    world.store.set_faults(Faults { delay: Duration::from_millis(50), ..Faults::default() });
    let keys = keys_of_one_bucket(3);
    let writer = tokio::time::timeout(Duration::from_millis(60), host.claim(request(&keys[0], 1)));

    let others = keys[1..].iter().map(|k| host.claim(request(k, 1)));
    let (dropped, replies) = tokio::join!(writer, join_all(others));

    assert!(dropped.is_err());
    assert_eq!(replies, [ClaimReply::Granted, ClaimReply::Granted]);
}

// Guards against a bucket that outgrows the store's limit, and against claims
// in a full bucket that cannot be settled any more.
#[tokio::test(start_paused = true)]
async fn full_bucket_refuses_claims_and_still_settles() {
    let world = world();
    let host = world.host(1);
    let body = "\"".repeat(2_000);
    let keys = keys_of_one_bucket(4_500);
    let bucket = bucket_of(KEY).unwrap();

    let replies = join_all(keys.iter().map(|k| host.claim(request(k, 1)))).await;
    let granted: Vec<&String> = keys
        .iter()
        .zip(&replies)
        .filter(|(_, r)| **r == ClaimReply::Granted)
        .map(|p| p.0)
        .collect();
    let settled = join_all(granted.iter().map(|k| host.settle(settle(k, 1, done(&body))))).await;
    let late = host.claim(request(KEY, 2)).await;
    let reply = host.claim(request(granted[granted.len() - 1], 2)).await;

    assert!(settled.iter().all(Result::is_ok));
    assert!(granted.len() > 4_000, "{}", granted.len());
    assert_eq!(late, ClaimReply::Unavailable);
    assert!(matches!(reply, ClaimReply::Done { .. }), "{reply:?}");
    let size = world.store.get(&bucket).await.unwrap().unwrap().value.len();
    assert!(size < MAX_VALUE, "{size}");
}

// Guards against a deletion that makes a key claimable twice, and against
// buckets that are never deleted.
#[tokio::test(start_paused = true)]
async fn sweep_deletes_only_what_has_expired() {
    let world = world();
    let host = world.host(1);
    host.claim(request(KEY, 1)).await;

    world.clock.advance(Duration::from_secs(3_600));
    let early = host.sweep().await.unwrap();
    let held = host.claim(request(KEY, 2)).await;
    world.clock.advance(Duration::from_secs(4_300));
    let late = host.sweep().await.unwrap();

    assert_eq!((early, held), (0, ClaimReply::Unknown));
    assert_eq!(late, 1);
    assert!(world.store.dump().is_empty());
}

// Guards against a grant from a bucket whose content cannot be read.
#[tokio::test(start_paused = true)]
async fn unreadable_bucket_grants_nothing() {
    let world = world();
    let bucket = bucket_of(KEY).unwrap();
    world.store.put_if(&bucket, 0, "damaged").await.unwrap();

    let reply = world.host(1).claim(request(KEY, 1)).await;

    assert_eq!(reply, ClaimReply::Unavailable);
}

// Guards against buckets that are not spread, which would fill up early.
#[test]
fn keys_spread_over_the_buckets() {
    let keys = (0..BUCKETS * 20).map(|i| bucket_of(&format!("{NOW}-{i}")).unwrap());

    let used: std::collections::BTreeSet<Box<str>> = keys.collect();

    assert_eq!(used.len() as u64, BUCKETS);
}
