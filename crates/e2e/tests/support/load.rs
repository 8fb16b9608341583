//! Callers that query through entries that report ready.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Client;
use tokio::task::JoinHandle;
use tokio::time;

use super::Reply;
use super::SERVICE;
use super::System;
use super::reply;

/// Addresses of one entry.
#[derive(Clone, Copy)]
struct Target {
    callers: SocketAddr,
    admin: SocketAddr,
}

/// Replies of all callers; `None` for a failed connection.
#[derive(Clone, Default)]
pub struct Replies(Arc<Mutex<Vec<Option<Reply>>>>);

impl Replies {
    /// Number of replies for which `test` holds.
    pub fn count<F>(&self, test: F) -> usize
    where
        F: Fn(&Option<Reply>) -> bool,
    {
        self.0.lock().unwrap().iter().filter(|r| test(r)).count()
    }

    /// First reply for which `test` holds.
    pub fn find<F>(&self, test: F) -> Option<Option<Reply>>
    where
        F: Fn(&Option<Reply>) -> bool,
    {
        self.0.lock().unwrap().iter().find(|r| test(r)).cloned()
    }
}

/// Running callers.
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    pub replies: Replies,
}

impl Load {
    /// Starts `callers` callers that each query one entry after the other, as
    /// a load balancer that checks `/ready` before each request does.
    pub fn start(system: &System, callers: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let replies = Replies::default();
        let targets: Vec<Target> = system
            .hosts
            .iter()
            .map(|h| Target { callers: h.callers, admin: h.entry.admin })
            .collect();
        let caller = |n: usize| {
            let (http, targets) = (system.http.clone(), targets.clone());
            let (stop, replies) = (stop.clone(), replies.clone());
            tokio::spawn(async move {
                let mut turn = n;
                while !stop.load(Ordering::Relaxed) {
                    turn += 1;
                    let target = targets[turn % targets.len()];
                    if is_ready(&http, target).await {
                        let reply = query(&http, target, turn % 7).await;
                        replies.0.lock().unwrap().push(reply);
                    }
                    time::sleep(Duration::from_millis(10)).await;
                }
            })
        };
        let tasks = (0..callers).map(caller).collect();
        Load { stop, tasks, replies }
    }

    /// Lets the running requests end and returns all replies.
    pub async fn finish(self) -> Replies {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.replies
    }
}

async fn is_ready(http: &Client, target: Target) -> bool {
    let url = format!("http://{}/ready", target.admin);
    let check = http.get(url).timeout(Duration::from_millis(500)).send().await;
    check.is_ok_and(|r| r.status().is_success())
}

async fn query(http: &Client, target: Target, body: usize) -> Option<Reply> {
    let url = format!("http://{}/query/{SERVICE}", target.callers);
    let request = http.post(url).header("x-timeout-ms", "2000");
    let sent = request.body(format!("{{\"match\":{body}}}")).send().await;
    reply(sent.ok()?).await
}
