//! Random interleavings of claims on two hosts over a store whose writes may
//! be lost, applied late, or answered by nothing.

#![allow(clippy::unwrap_used)]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;
use std::time::UNIX_EPOCH;

use async_trait::async_trait;
use chervil_base::clock::ManualClock;
use chervil_claim::ClaimSettings;
use chervil_claim::Claims;
use chervil_fakes::FakeStore;
use chervil_platform::Revision;
use chervil_platform::Store;
use chervil_platform::StoreError;
use chervil_platform::Versioned;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::agent::SettleRequest;
use futures::future::join_all;
use proptest::prelude::Just;
use proptest::prelude::Strategy;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::prelude::prop_oneof;
use proptest::proptest;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use tokio::time;

const NOW: u64 = 1_800_000_000;

/// Store whose calls take random time and whose writes have random fates.
struct RoughStore {
    inner: Arc<FakeStore>,
    rng: Mutex<StdRng>,
    /// Share of writes without a reply.
    loss: f64,
}

impl RoughStore {
    fn draw(&self, below: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..below)
    }

    async fn wait(&self) {
        time::sleep(Duration::from_micros(self.draw(5_000))).await;
    }
}

#[async_trait]
impl Store for RoughStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.wait().await;
        let found = self.inner.get(key).await;
        self.wait().await;
        found
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        self.wait().await;
        if self.rng.lock().unwrap().random_bool(1.0 - self.loss) {
            let written = self.inner.put_if(key, expected, value).await;
            self.wait().await;
            return written;
        }
        // The write takes effect long after the writer has given up on it, or
        // never.
        if self.draw(4) > 0 {
            let delay = Duration::from_micros(self.draw(60_000));
            let (inner, key, value) = (self.inner.clone(), key.to_owned(), value.to_owned());
            tokio::spawn(async move {
                time::sleep(delay).await;
                let _ = inner.put_if(&key, expected, &value).await;
            });
        }
        Err(StoreError::Unknown)
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        self.inner.delete_if(key, expected).await
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        self.inner.watch(key, after, wait).await
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        self.inner.list(prefix).await
    }
}

/// What a claimant does once it holds the claim.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plan {
    Finish,
    Die,
    GiveUp,
}

#[derive(Clone, Debug)]
struct Attempt {
    key: u8,
    host: bool,
    /// Also sends the claim to the other host, as after a forward without reply.
    twice: bool,
    start_us: u64,
    timeout_ms: u32,
    plan: Plan,
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let plan = prop_oneof![Just(Plan::Finish), Just(Plan::Die), Just(Plan::GiveUp)];
    let one = (0..2u8, any::<bool>(), any::<bool>(), 0..80_000u64, 5..200u32, plan);
    let one = one.prop_map(|(key, host, twice, start_us, timeout_ms, plan)| Attempt {
        key,
        host,
        twice,
        start_us,
        timeout_ms,
        plan,
    });
    prop::collection::vec(one, 1..16)
}

/// What has happened to the keys so far.
#[derive(Default)]
struct Record {
    /// Nonces that hold a grant and have not given it up.
    holders: BTreeMap<u8, BTreeSet<u64>>,
    runs: BTreeMap<u8, u32>,
    faults: Vec<String>,
}

async fn run(attempt: &Attempt, nonce: u64, hosts: &[Claims; 2], record: &Mutex<Record>) {
    time::sleep(Duration::from_micros(attempt.start_us)).await;
    let key: Box<str> = format!("{NOW}-{}", attempt.key).into();
    let timeout_ms = attempt.timeout_ms;
    let request = ClaimRequest { key: key.clone(), digest: 1, nonce, timeout_ms, forwarded: false };
    let (own, other) = (&hosts[usize::from(attempt.host)], &hosts[usize::from(!attempt.host)]);
    let mut reply = own.claim(request.clone()).await;
    if attempt.twice && reply != ClaimReply::Granted {
        reply = other.claim(request).await;
    }
    if reply != ClaimReply::Granted {
        return;
    }
    {
        let mut record = record.lock().unwrap();
        let holders = record.holders.entry(attempt.key).or_default();
        holders.insert(nonce);
        if holders.len() > 1 {
            let fault = format!("key {} is held by {holders:?}", attempt.key);
            record.faults.push(fault);
        }
    }
    let outcome = match attempt.plan {
        Plan::Die => return,
        Plan::GiveUp => {
            record.lock().unwrap().holders.entry(attempt.key).or_default().remove(&nonce);
            RecordedOutcome::NotRun
        }
        Plan::Finish => {
            *record.lock().unwrap().runs.entry(attempt.key).or_default() += 1;
            RecordedOutcome::Done { body: "r".into() }
        }
    };
    let _ = other.settle(SettleRequest { key, nonce, outcome, forwarded: false }).await;
}

async fn play(attempts: &[Attempt], seed: u64, loss: f64) -> Record {
    let inner = Arc::new(FakeStore::new());
    let clock = Arc::new(ManualClock::new(UNIX_EPOCH + Duration::from_secs(NOW)));
    let host = |seed| {
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        let store = Arc::new(RoughStore { inner: inner.clone(), rng, loss });
        let settings = ClaimSettings { interval: Duration::ZERO, ..ClaimSettings::default() };
        Claims::new(store, clock.clone(), settings, seed)
    };
    let hosts = [host(seed), host(seed.wrapping_add(1))];
    let record = Mutex::default();
    let running = attempts.iter().zip(1..).map(|(a, nonce)| run(a, nonce, &hosts, &record));
    join_all(running).await;
    record.into_inner().unwrap()
}

fn play_blocking(attempts: &[Attempt], seed: u64, loss: f64) -> Record {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(play(attempts, seed, loss))
}

proptest! {
    // Guards against two grants for one key, unless the former claimant has
    // given it up, under any order of calls and any loss of writes.
    #[test]
    fn key_is_held_by_one_attempt(attempts in attempts(), seed in any::<u64>(), loss in 0.0..0.6) {
        let record = play_blocking(&attempts, seed, loss);

        assert!(record.faults.is_empty(), "{:?}", record.faults);
        assert!(record.runs.values().all(|r| *r == 1), "{:?}", record.runs);
    }

    // Guards against keys that nobody gets although the store loses nothing.
    #[test]
    fn first_claims_are_granted_without_faults(attempts in attempts(), seed in any::<u64>()) {
        let patient: Vec<Attempt> =
            attempts.into_iter().map(|a| Attempt { timeout_ms: 10_000, plan: Plan::Die, ..a }).collect();
        let keys: BTreeSet<u8> = patient.iter().map(|a| a.key).collect();

        let record = play_blocking(&patient, seed, 0.0);

        let held: BTreeSet<u8> = record.holders.keys().copied().collect();
        assert_eq!(held, keys);
    }
}
