//! Round-robin choice among ready entries, like the platform's load balancer.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinHandle;
use tokio::time;

/// Interval and timeout of the readiness checks.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);

/// Distributes requests round-robin over the ready entries.
#[derive(Debug)]
pub struct Balancer {
    entries: Vec<SocketAddr>,
    ready: Arc<Vec<AtomicBool>>,
    next: AtomicUsize,
    check_tasks: Vec<JoinHandle<()>>,
}

impl Balancer {
    /// Starts a readiness check for each entry that has an address in `admins`, in
    /// the same order. Entries without one always count as ready.
    pub fn new(entries: &[SocketAddr], admins: &[SocketAddr]) -> Balancer {
        let ready: Vec<AtomicBool> = entries.iter().map(|_| AtomicBool::new(true)).collect();
        let ready = Arc::new(ready);
        let client = Client::new();
        let checked = admins.iter().take(entries.len()).enumerate();
        let check_tasks = checked
            .map(|(i, admin)| {
                tokio::spawn(check_readiness(client.clone(), *admin, ready.clone(), i))
            })
            .collect();
        Balancer { entries: entries.to_vec(), ready, next: AtomicUsize::new(0), check_tasks }
    }

    /// Entries for one request in the order of preference: ready ones first. The
    /// later ones are for the case that no connection can be opened.
    pub fn preferred_order(&self) -> Vec<SocketAddr> {
        let count = self.entries.len();
        let first = self.next.fetch_add(1, Ordering::Relaxed);
        let rotated = (0..count).map(|i| (first + i) % count);
        let (ready, rest): (Vec<usize>, Vec<usize>) =
            rotated.partition(|i| self.ready[*i].load(Ordering::Relaxed));
        ready.into_iter().chain(rest).map(|i| self.entries[i]).collect()
    }
}

impl Drop for Balancer {
    fn drop(&mut self) {
        self.check_tasks.iter().for_each(|c| c.abort());
    }
}

async fn check_readiness(client: Client, admin: SocketAddr, ready: Arc<Vec<AtomicBool>>, i: usize) {
    loop {
        let request = client.get(format!("http://{admin}/ready")).timeout(CHECK_INTERVAL);
        let ok = request.send().await.is_ok_and(|r| r.status().is_success());
        ready[i].store(ok, Ordering::Relaxed);
        time::sleep(CHECK_INTERVAL).await;
    }
}
