//! Choice of an entry, as the platform's load balancer makes it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinHandle;
use tokio::time;

/// Interval of the readiness checks.
const CHECK: Duration = Duration::from_millis(250);

/// Hands out ready entries in turn.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    ready: Arc<Vec<AtomicBool>>,
    next: AtomicUsize,
    checks: Vec<JoinHandle<()>>,
}

impl Balancer {
    /// Balances over entries; without admin addresses all count as ready.
    pub fn new(entries: &[SocketAddr], admins: &[SocketAddr]) -> Balancer {
        let ready: Vec<AtomicBool> = entries.iter().map(|_| AtomicBool::new(true)).collect();
        let ready = Arc::new(ready);
        let client = Client::new();
        let watched = admins.iter().take(entries.len()).enumerate();
        let checks = watched
            .map(|(i, admin)| tokio::spawn(check(client.clone(), *admin, ready.clone(), i)))
            .collect();
        Balancer { entries: entries.to_vec(), ready, next: AtomicUsize::new(0), checks }
    }

    /// Entries for one request in the order of preference: a ready one first,
    /// the others for the case that no connection can be opened.
    pub fn preferred_order(&self) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let turn = (0..count).map(|i| (first + i) % count);
        let (ready, rest): (Vec<usize>, Vec<usize>) =
            turn.partition(|i| self.ready[*i].load(Ordering::Relaxed));
        ready.into_iter().chain(rest).map(|i| self.entries[i]).collect()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.checks.iter().for_each(|c| c.abort());
    }
}

async fn check(client: Client, admin: SocketAddr, ready: Arc<Vec<AtomicBool>>, i: usize) {
    loop {
        let request = client.get(format!("http://{admin}/ready")).timeout(CHECK);
        let ok = request.send().await.is_ok_and(|r| r.status().is_success());
        ready[i].store(ok, Ordering::Relaxed);
        time::sleep(CHECK).await;
    }
}
