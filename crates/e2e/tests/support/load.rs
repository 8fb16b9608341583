//! Load generator: callers that query only entries that report ready.

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
use super::read_reply;

/// Listeners of one entry.
#[derive(Clone, Copy)]
struct EntryAddrs {
    callers: SocketAddr,
    admin: SocketAddr,
}

/// Replies that all callers received; `None` for a failed connection.
#[derive(Clone, Default)]
pub struct Replies(Arc<Mutex<Vec<Option<Reply>>>>);

impl Replies {
    /// Number of replies that match a predicate.
    pub fn count<F>(&self, predicate: F) -> usize
    where
        F: Fn(&Option<Reply>) -> bool,
    {
        self.0.lock().unwrap().iter().filter(|r| predicate(r)).count()
    }

    /// First reply that matches a predicate.
    pub fn find<F>(&self, predicate: F) -> Option<Option<Reply>>
    where
        F: Fn(&Option<Reply>) -> bool,
    {
        self.0.lock().unwrap().iter().find(|r| predicate(r)).cloned()
    }
}

/// Concurrent callers that send queries until [`Load::finish`].
pub struct Load {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<()>>,
    pub replies: Replies,
}

impl Load {
    /// Starts `callers` callers, each with one request in flight. They use the
    /// entries in round-robin order and check `/ready` before each request, as
    /// a load balancer does.
    pub fn start(system: &System, callers: usize) -> Load {
        let stop = Arc::new(AtomicBool::new(false));
        let replies = Replies::default();
        let entries: Vec<EntryAddrs> = system
            .hosts
            .iter()
            .map(|h| EntryAddrs { callers: h.callers, admin: h.entry.admin })
            .collect();
        let caller = |n: usize| {
            let (http, entries) = (system.http.clone(), entries.clone());
            let (stop, replies) = (stop.clone(), replies.clone());
            tokio::spawn(async move {
                let mut attempt = n;
                while !stop.load(Ordering::Relaxed) {
                    attempt += 1;
                    let entry = entries[attempt % entries.len()];
                    if is_ready(&http, entry).await {
                        let reply = query(&http, entry, attempt % 7).await;
                        replies.0.lock().unwrap().push(reply);
                    }
                    time::sleep(Duration::from_millis(10)).await;
                }
            })
        };
        let tasks = (0..callers).map(caller).collect();
        Load { stop, tasks, replies }
    }

    /// Stops the callers, waits for the requests in flight and returns all
    /// replies.
    pub async fn finish(self) -> Replies {
        self.stop.store(true, Ordering::Relaxed);
        for task in self.tasks {
            task.await.unwrap();
        }
        self.replies
    }
}

async fn is_ready(http: &Client, entry: EntryAddrs) -> bool {
    let url = format!("http://{}/ready", entry.admin);
    let check = http.get(url).timeout(Duration::from_millis(500)).send().await;
    check.is_ok_and(|r| r.status().is_success())
}

async fn query(http: &Client, entry: EntryAddrs, term: usize) -> Option<Reply> {
    let url = format!("http://{}/query/{SERVICE}", entry.callers);
    let request = http.post(url).header("x-timeout-ms", "2000");
    let response = request.body(format!("{{\"match\":{term}}}")).send().await;
    read_reply(response.ok()?).await
}
