//! Claims, outcomes and the sweep against an in-memory store with faults.

#![allow(clippy::unwrap_used)]

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::clock::ManualClock;
use chervil_claim::ClaimSettings;
use chervil_claim::Claims;
use chervil_claim::bucket_of;
use chervil_claim::key::BUCKETS_PER_HOUR;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_platform::MAX_VALUE_BYTES;
use chervil_platform::Store as _;
use chervil_platform::StoreError;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::agent::SettleRequest;
use futures::future::join_all;

/// Wall-clock time at the start of a test, in seconds since the Unix epoch.
const NOW: u64 = 1_800_000_000;

/// Key whose time is [`NOW`].
const KEY: &str = "1800000000-a";

const TIMEOUT_MS: u32 = 5_000;

/// Store and clock that all hosts of a test share.
struct Cluster {
    store: Arc<FakeStore>,
    clock: Arc<ManualClock>,
}

fn cluster() -> Cluster {
    let wall: SystemTime = UNIX_EPOCH + Duration::from_secs(NOW);
    Cluster { store: Arc::new(FakeStore::new()), clock: Arc::new(ManualClock::new(wall)) }
}

impl Cluster {
    fn host(&self, seed: u64) -> Claims {
        let settings = ClaimSettings { write_interval: Duration::ZERO, ..ClaimSettings::default() };
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

/// `count` keys that belong to the same bucket as [`KEY`].
fn keys_of_one_bucket(count: usize) -> Vec<String> {
    let bucket = bucket_of(KEY).unwrap();
    let keys = (0u64..).map(|i| format!("{NOW}-k{i}"));
    keys.filter(|k| bucket_of(k).unwrap() == bucket).take(count).collect()
}

// Guards against two runs of the same work when a caller sends a request to two
// hosts at the same time.
#[tokio::test(start_paused = true)]
async fn concurrent_duplicates_on_two_hosts_get_one_grant() {
    let cluster = cluster();
    cluster.store.set_faults(Faults { delay: Duration::from_millis(3), ..Faults::default() });
    let hosts = [cluster.host(1), cluster.host(2)];

    let claims = (0..8).map(|i| hosts[i % 2].claim(request(KEY, i as u64)));
    let replies = join_all(claims).await;

    let granted = replies.iter().filter(|r| **r == ClaimReply::Granted).count();
    let running = replies.iter().filter(|r| **r == ClaimReply::Running).count();
    assert_eq!((granted, running), (1, 7));
}

// Guards against a claim that is refused although it was written, or that is
// granted to a second attempt, when the reply to the write is lost.
#[tokio::test(start_paused = true)]
async fn lost_write_reply_is_resolved_by_the_nonce() {
    let cluster = cluster();
    cluster.store.set_faults(Faults { lost_replies: 1, ..Faults::default() });
    let host = cluster.host(1);

    let first = host.claim(request(KEY, 1)).await;
    let other = cluster.host(2).claim(request(KEY, 2)).await;

    assert_eq!((first, other), (ClaimReply::Granted, ClaimReply::Running));
    assert_eq!(cluster.store.writes(), 1);
}

// Guards against a grant without a record when the store never received the
// write.
#[tokio::test(start_paused = true)]
async fn lost_write_request_is_retried() {
    let cluster = cluster();
    cluster.store.set_faults(Faults { lost_requests: 1, ..Faults::default() });

    let reply = cluster.host(1).claim(request(KEY, 1)).await;
    let other = cluster.host(2).claim(request(KEY, 2)).await;

    assert_eq!((reply, other), (ClaimReply::Granted, ClaimReply::Running));
}

// Guards against two grants when the reply to a write is lost and the read that
// follows is stale, so that it does not show the written claim.
#[tokio::test(start_paused = true)]
async fn stale_read_after_a_lost_reply_grants_once() {
    let cluster = cluster();
    cluster.store.set_faults(Faults { lost_replies: 1, stale_reads: 2, ..Faults::default() });

    let reply = cluster.host(1).claim(request(KEY, 1)).await;
    let other = cluster.host(2).claim(request(KEY, 2)).await;

    assert_eq!((reply, other), (ClaimReply::Granted, ClaimReply::Running));
}

// Guards against work that is run without a recorded claim while the store is
// down, and against refusing an outcome that the host has cached.
#[tokio::test(start_paused = true)]
async fn store_outage_refuses_new_claims_and_returns_cached_outcomes() {
    let cluster = cluster();
    let host = cluster.host(1);
    host.claim(request(KEY, 1)).await;
    host.settle(settle(KEY, 1, done("r"))).await.unwrap();
    cluster.store.set_faults(Faults { down: true, ..Faults::default() });

    let fresh = host.claim(request("1800000000-b", 2)).await;
    let settled = host.settle(settle("1800000000-b", 2, done("r"))).await;
    let known = host.claim(request(KEY, 3)).await;

    assert_eq!(fresh, ClaimReply::Unavailable);
    assert_eq!(settled, Err(StoreError::Unavailable));
    assert_eq!(known, ClaimReply::Done { body: "r".into() });
}

// Guards against an outcome that is lost because the store was down when it was
// settled.
#[tokio::test(start_paused = true)]
async fn outcome_settled_during_an_outage_is_recorded_by_the_sweep() {
    let cluster = cluster();
    let host = cluster.host(1);
    host.claim(request(KEY, 1)).await;
    cluster.store.set_faults(Faults { down: true, ..Faults::default() });
    let during = host.settle(settle(KEY, 1, done("r"))).await;
    cluster.store.set_faults(Faults::default());

    host.sweep().await.unwrap();
    let reply = cluster.host(2).claim(request(KEY, 2)).await;

    assert_eq!(during, Err(StoreError::Unavailable));
    assert_eq!(reply, ClaimReply::Done { body: "r".into() });
}

// Guards against a hanging store that makes a claim wait beyond its timeout.
#[tokio::test(start_paused = true)]
async fn claim_on_a_hanging_store_is_refused_at_its_timeout() {
    let cluster = cluster();
    cluster.store.set_faults(Faults { delay: Duration::from_secs(60), ..Faults::default() });

    let reply = cluster.host(1).claim(request(KEY, 1)).await;

    assert_eq!(reply, ClaimReply::Unavailable);
}

// Guards against a second run when a claimant is paused beyond its deadline, and
// against losing the outcome that it records after it resumes.
#[tokio::test(start_paused = true)]
async fn claimant_paused_beyond_its_deadline_keeps_its_key() {
    let cluster = cluster();
    let (a, b) = (cluster.host(1), cluster.host(2));
    a.claim(request(KEY, 1)).await;

    let before = b.claim(request(KEY, 2)).await;
    cluster.clock.advance(Duration::from_millis(u64::from(TIMEOUT_MS) + 1));
    let after = b.claim(request(KEY, 3)).await;
    a.settle(settle(KEY, 1, done("late"))).await.unwrap();
    let resumed = b.claim(request(KEY, 4)).await;

    assert_eq!((before, after), (ClaimReply::Running, ClaimReply::Unknown));
    assert_eq!(resumed, ClaimReply::Done { body: "late".into() });
}

// Guards against a key that is refused although its work was never started, and
// against a delayed duplicate of the settled claim that blocks the key again.
#[tokio::test(start_paused = true)]
async fn work_that_did_not_run_can_be_claimed_again() {
    let cluster = cluster();
    let (a, b) = (cluster.host(1), cluster.host(2));
    a.claim(request(KEY, 1)).await;
    a.settle(settle(KEY, 1, RecordedOutcome::NotRun)).await.unwrap();

    let duplicate = b.claim(request(KEY, 1)).await;
    let again = b.claim(request(KEY, 2)).await;
    let third = a.claim(request(KEY, 3)).await;

    assert_eq!((duplicate, again), (ClaimReply::Unavailable, ClaimReply::Granted));
    assert_eq!(third, ClaimReply::Running);
}

// Guards against a recorded outcome that is replaced by a later settlement or by
// one of another attempt.
#[tokio::test(start_paused = true)]
async fn recorded_outcome_is_final() {
    let cluster = cluster();
    let host = cluster.host(1);
    host.claim(request(KEY, 1)).await;

    host.settle(settle(KEY, 9, RecordedOutcome::NotRun)).await.unwrap();
    host.settle(settle(KEY, 1, done("r"))).await.unwrap();
    host.settle(settle(KEY, 1, RecordedOutcome::NotRun)).await.unwrap();
    let reply = host.claim(request(KEY, 2)).await;

    assert_eq!(reply, ClaimReply::Done { body: "r".into() });
}

// Guards against the reuse of a key for a different request, which would get the
// outcome of the first one.
#[tokio::test(start_paused = true)]
async fn key_reused_for_another_request_is_refused() {
    let cluster = cluster();
    let host = cluster.host(1);
    host.claim(request(KEY, 1)).await;
    host.settle(settle(KEY, 1, RecordedOutcome::NotRun)).await.unwrap();

    let reply = host.claim(ClaimRequest { digest: 2, ..request(KEY, 2) }).await;

    assert_eq!(reply, ClaimReply::Mismatch);
}

// Guards against claims of keys that are malformed, so old that their buckets may
// have been deleted, or so far in the future that theirs are not written yet.
#[tokio::test(start_paused = true)]
async fn invalid_keys_are_refused_without_a_store_call() {
    let cluster = cluster();
    let host = cluster.host(1);
    let keys = ["1799996399-old", "1800000061-ahead", "1800000000", "x-a", "01800000000-a", "1-"];

    for key in keys {
        let reply = host.claim(request(key, 1)).await;
        assert!(matches!(reply, ClaimReply::Invalid { .. }), "{key}: {reply:?}");
    }

    assert_eq!(cluster.store.reads() + cluster.store.writes(), 0);
    assert_eq!(host.claim(request("1799996400-a", 1)).await, ClaimReply::Granted);
    assert_eq!(host.claim(request("1800000060-a", 1)).await, ClaimReply::Granted);
}

// Guards against a claim that waits until its key has expired and then creates
// the deleted bucket again.
#[tokio::test(start_paused = true)]
async fn claim_whose_key_expires_while_it_waits_is_refused() {
    let cluster = cluster();
    let host = cluster.host(1);
    cluster.store.set_faults(Faults { delay: Duration::from_millis(10), ..Faults::default() });
    let claim = host.claim(request("1799996400-a", 1));
    let expire = async { cluster.clock.advance(Duration::from_secs(1)) };

    let (reply, ()) = tokio::join!(claim, expire);

    assert!(matches!(reply, ClaimReply::Invalid { .. }), "{reply:?}");
    assert_eq!(cluster.store.writes(), 0);
}

// Guards against one write per claim, a rate that the store could not sustain.
#[tokio::test(start_paused = true)]
async fn waiting_claims_share_a_write() {
    let cluster = cluster();
    let host = cluster.host(1);
    cluster.store.set_faults(Faults { delay: Duration::from_millis(5), ..Faults::default() });
    let keys = keys_of_one_bucket(50);

    let replies = join_all(keys.iter().map(|k| host.claim(request(k, 1)))).await;
    let settled = join_all(keys.iter().map(|k| host.settle(settle(k, 1, done("r"))))).await;

    assert!(replies.iter().all(|r| *r == ClaimReply::Granted));
    assert!(settled.iter().all(Result::is_ok));
    assert!(cluster.store.writes() <= 4, "{}", cluster.store.writes());
}

// Guards against operations that are never answered because the task that wrote
// them was cancelled.
#[tokio::test(start_paused = true)]
async fn operations_of_a_cancelled_writer_are_still_served() {
    let cluster = cluster();
    let host = cluster.host(1);
    cluster.store.set_faults(Faults { delay: Duration::from_millis(50), ..Faults::default() });
    let keys = keys_of_one_bucket(3);
    let writer = tokio::time::timeout(Duration::from_millis(60), host.claim(request(&keys[0], 1)));

    let others = keys[1..].iter().map(|k| host.claim(request(k, 1)));
    let (dropped, replies) = tokio::join!(writer, join_all(others));

    assert!(dropped.is_err());
    assert_eq!(replies, [ClaimReply::Granted, ClaimReply::Granted]);
}

// Guards against a bucket that exceeds the value size limit of the store, and
// against granted claims that cannot be settled because their bucket is full.
#[tokio::test(start_paused = true)]
async fn full_bucket_refuses_claims_and_records_outcomes() {
    let cluster = cluster();
    let host = cluster.host(1);
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
    let refused = host.claim(request(KEY, 2)).await;
    let reply = host.claim(request(granted[granted.len() - 1], 2)).await;

    assert!(settled.iter().all(Result::is_ok));
    assert!(granted.len() > 4_000, "{}", granted.len());
    assert_eq!(refused, ClaimReply::Unavailable);
    assert!(matches!(reply, ClaimReply::Done { .. }), "{reply:?}");
    let size = cluster.store.get(&bucket).await.unwrap().unwrap().value.len();
    assert!(size < MAX_VALUE_BYTES, "{size}");
}

// Guards against a bucket that is deleted too early, so that a key in it can be
// claimed twice, and against buckets that are never deleted.
#[tokio::test(start_paused = true)]
async fn sweep_deletes_only_expired_buckets() {
    let cluster = cluster();
    let host = cluster.host(1);
    host.claim(request(KEY, 1)).await;

    cluster.clock.advance(Duration::from_secs(3_600));
    let early = host.sweep().await.unwrap();
    let held = host.claim(request(KEY, 2)).await;
    cluster.clock.advance(Duration::from_secs(4_300));
    let late = host.sweep().await.unwrap();

    assert_eq!((early, held), (0, ClaimReply::Unknown));
    assert_eq!(late, 1);
    assert!(cluster.store.dump().is_empty());
}

// Guards against a grant from a bucket whose content is damaged: it may hold a
// claim for the key.
#[tokio::test(start_paused = true)]
async fn damaged_bucket_grants_nothing() {
    let cluster = cluster();
    let bucket = bucket_of(KEY).unwrap();
    cluster.store.put_if(&bucket, 0, "damaged").await.unwrap();

    let reply = cluster.host(1).claim(request(KEY, 1)).await;

    assert_eq!(reply, ClaimReply::Unavailable);
}

// Guards against a skewed distribution of keys, which would fill some buckets
// early.
#[test]
fn keys_are_spread_over_all_buckets() {
    let keys = (0..BUCKETS_PER_HOUR * 20).map(|i| bucket_of(&format!("{NOW}-{i}")).unwrap());

    let used: std::collections::BTreeSet<Box<str>> = keys.collect();

    assert_eq!(used.len() as u64, BUCKETS_PER_HOUR);
}
