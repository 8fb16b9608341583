//! Measures claims per store write and claim latency at several arrival rates.
//!
//!     cargo run -p chervil-claim --example claims_per_write

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use chervil_base::clock::SystemClock;
use chervil_claim::ClaimSettings;
use chervil_claim::Claims;
use chervil_fakes::FakeStore;
use chervil_fakes::Faults;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::agent::SettleRequest;
use tokio::task::JoinSet;
use tokio::time;

/// Arrival rates, in claims per second.
const RATES: [u32; 5] = [10, 100, 500, 2_000, 5_000];

/// Duration of the measurement at each rate.
const DURATION: Duration = Duration::from_secs(5);

/// Delay of each store call.
const STORE_DELAY: Duration = Duration::from_millis(3);

/// Time between the grant of a claim and its outcome.
const SERVICE_TIME: Duration = Duration::from_millis(20);

#[tokio::main]
async fn main() {
    println!("claims/s  granted  writes  writes/s  claims/write  claim p50  claim p99");
    for rate in RATES {
        measure(rate).await;
    }
}

async fn measure(rate: u32) {
    let store = Arc::new(FakeStore::new());
    store.set_faults(Faults { delay: STORE_DELAY, ..Faults::default() });
    let clock = Arc::new(SystemClock);
    let claims = Arc::new(Claims::new(store.clone(), clock, ClaimSettings::default(), 1));
    let start = Instant::now();
    let mut tasks = JoinSet::new();
    for i in 0..rate * DURATION.as_secs() as u32 {
        time::sleep_until((start + Duration::from_secs(1) * i / rate).into()).await;
        tasks.spawn(run_one(claims.clone(), i));
    }
    let mut latencies: Vec<Duration> = tasks.join_all().await.into_iter().flatten().collect();
    latencies.sort_unstable();
    let percentile = |share: f64| latencies.get((latencies.len() as f64 * share) as usize).copied();
    let (writes, granted) = (store.writes(), latencies.len());
    println!(
        "{rate:8}  {granted:7}  {writes:6}  {:8.0}  {:12.2}  {:>9.1?}  {:>9.1?}",
        writes as f64 / start.elapsed().as_secs_f64(),
        granted as f64 / writes as f64,
        percentile(0.5).unwrap_or_default(),
        percentile(0.99).unwrap_or_default(),
    );
}

/// Claims and settles one key; returns the latency of the claim, or `None` if it
/// was not granted.
async fn run_one(claims: Arc<Claims>, i: u32) -> Option<Duration> {
    let now = SystemTime::now().duration_since(UNIX_EPOCH).ok()?.as_secs();
    let key: Box<str> = format!("{now}-{i}").into();
    let nonce = u64::from(i);
    let request =
        ClaimRequest { key: key.clone(), digest: 1, nonce, timeout_ms: 10_000, forwarded: false };
    let start = Instant::now();
    let reply = claims.claim(request).await;
    let latency = start.elapsed();
    if reply != ClaimReply::Granted {
        return None;
    }
    time::sleep(SERVICE_TIME).await;
    let outcome = RecordedOutcome::Done { body: "{\"ran\":true}".into() };
    claims.settle(SettleRequest { key, nonce, outcome, forwarded: false }).await.ok()?;
    Some(latency)
}
