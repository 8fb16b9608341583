//! Random interleavings of claims on two hosts. Writes to the store may be lost,
//! take effect late, or get no reply.

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

/// Wall-clock time of the simulation, in seconds since the Unix epoch.
const NOW: u64 = 1_800_000_000;

/// Store with random call delays and randomly lost or late writes.
struct FaultyStore {
    inner: Arc<FakeStore>,
    rng: Mutex<StdRng>,
    /// Probability that a write gets no reply.
    loss: f64,
}

impl FaultyStore {
    /// Random number below `limit`.
    fn random_below(&self, limit: u64) -> u64 {
        self.rng.lock().unwrap().random_range(0..limit)
    }

    /// Sleeps for up to 5 ms.
    async fn random_delay(&self) {
        time::sleep(Duration::from_micros(self.random_below(5_000))).await;
    }
}

#[async_trait]
impl Store for FaultyStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        self.random_delay().await;
        let found = self.inner.get(key).await;
        self.random_delay().await;
        found
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        self.random_delay().await;
        if self.rng.lock().unwrap().random_bool(1.0 - self.loss) {
            let written = self.inner.put_if(key, expected, value).await;
            self.random_delay().await;
            return written;
        }
        // The write takes effect long after the writer has given up on it, or
        // never (in one of four cases).
        if self.random_below(4) > 0 {
            let delay = Duration::from_micros(self.random_below(60_000));
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

/// What a claimant does after its claim is granted.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Plan {
    /// Runs the work and settles it as done.
    Finish,
    /// Never settles.
    Crash,
    /// Settles without running the work.
    GiveUp,
}

#[derive(Clone, Debug)]
struct Attempt {
    key: u8,
    /// Which of the two hosts gets the claim.
    host: bool,
    /// Whether a claim that is not granted is repeated on the other host, as after
    /// a forwarded call without a reply.
    repeat: bool,
    start_us: u64,
    timeout_ms: u32,
    plan: Plan,
}

fn attempts() -> impl Strategy<Value = Vec<Attempt>> {
    let plan = prop_oneof![Just(Plan::Finish), Just(Plan::Crash), Just(Plan::GiveUp)];
    let one = (0..2u8, any::<bool>(), any::<bool>(), 0..80_000u64, 5..200u32, plan);
    let one = one.prop_map(|(key, host, repeat, start_us, timeout_ms, plan)| Attempt {
        key,
        host,
        repeat,
        start_us,
        timeout_ms,
        plan,
    });
    prop::collection::vec(one, 1..16)
}

/// Grants and runs of all attempts, by key.
#[derive(Default)]
struct History {
    /// Nonces that were granted the key and have not given it up.
    holders: BTreeMap<u8, BTreeSet<u64>>,
    runs: BTreeMap<u8, u32>,
    violations: Vec<String>,
}

async fn run_attempt(attempt: &Attempt, nonce: u64, hosts: &[Claims; 2], history: &Mutex<History>) {
    time::sleep(Duration::from_micros(attempt.start_us)).await;
    let key: Box<str> = format!("{NOW}-{}", attempt.key).into();
    let timeout_ms = attempt.timeout_ms;
    let request = ClaimRequest { key: key.clone(), digest: 1, nonce, timeout_ms, forwarded: false };
    let (own, other) = (&hosts[usize::from(attempt.host)], &hosts[usize::from(!attempt.host)]);
    let mut reply = own.claim(request.clone()).await;
    if attempt.repeat && reply != ClaimReply::Granted {
        reply = other.claim(request).await;
    }
    if reply != ClaimReply::Granted {
        return;
    }
    {
        let mut history = history.lock().unwrap();
        let holders = history.holders.entry(attempt.key).or_default();
        holders.insert(nonce);
        if holders.len() > 1 {
            let violation = format!("key {} is held by the nonces {holders:?}", attempt.key);
            history.violations.push(violation);
        }
    }
    let outcome = match attempt.plan {
        Plan::Crash => return,
        Plan::GiveUp => {
            history.lock().unwrap().holders.entry(attempt.key).or_default().remove(&nonce);
            RecordedOutcome::NotRun
        }
        Plan::Finish => {
            *history.lock().unwrap().runs.entry(attempt.key).or_default() += 1;
            RecordedOutcome::Done { body: "r".into() }
        }
    };
    let _ = other.settle(SettleRequest { key, nonce, outcome, forwarded: false }).await;
}

async fn simulate(attempts: &[Attempt], seed: u64, loss: f64) -> History {
    let inner = Arc::new(FakeStore::new());
    let clock = Arc::new(ManualClock::new(UNIX_EPOCH + Duration::from_secs(NOW)));
    let host = |seed| {
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        let store = Arc::new(FaultyStore { inner: inner.clone(), rng, loss });
        let settings = ClaimSettings { write_interval: Duration::ZERO, ..ClaimSettings::default() };
        Claims::new(store, clock.clone(), settings, seed)
    };
    let hosts = [host(seed), host(seed.wrapping_add(1))];
    let history = Mutex::default();
    let running =
        attempts.iter().zip(1..).map(|(a, nonce)| run_attempt(a, nonce, &hosts, &history));
    join_all(running).await;
    history.into_inner().unwrap()
}

fn simulate_blocking(attempts: &[Attempt], seed: u64, loss: f64) -> History {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    let runtime = runtime.enable_time().start_paused(true).build().unwrap();
    runtime.block_on(simulate(attempts, seed, loss))
}

proptest! {
    // Guards against two grants of one key, unless the former claimant has given it
    // up, and against two runs, under any order of calls and with lost or late
    // writes.
    #[test]
    fn key_is_held_by_at_most_one_attempt(
        attempts in attempts(),
        seed in any::<u64>(),
        loss in 0.0..0.6,
    ) {
        let history = simulate_blocking(&attempts, seed, loss);

        assert!(history.violations.is_empty(), "{:?}", history.violations);
        assert!(history.runs.values().all(|r| *r == 1), "{:?}", history.runs);
    }

    // Guards against keys that are granted to no attempt although the store loses no
    // writes and no claim times out.
    #[test]
    fn every_key_is_granted_without_faults(attempts in attempts(), seed in any::<u64>()) {
        let attempts: Vec<Attempt> = attempts
            .into_iter()
            .map(|a| Attempt { timeout_ms: 10_000, plan: Plan::Crash, ..a })
            .collect();
        let keys: BTreeSet<u8> = attempts.iter().map(|a| a.key).collect();

        let history = simulate_blocking(&attempts, seed, 0.0);

        let held: BTreeSet<u8> = history.holders.keys().copied().collect();
        assert_eq!(held, keys);
    }
}
