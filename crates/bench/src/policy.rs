//! The two policies that are compared: queries through entries, and the naive
//! baseline that asks each shard once.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::coverage::Coverage;
use chervil_base::coverage::MissingReason;
use chervil_base::coverage::MissingShard;
use chervil_base::shards::Shard;
use chervil_standin::control::ServerInfo;
use chervil_standin::rows::Row;
use chervil_standin::server::AskBody;
use futures::future::join_all;
use rand::RngExt as _;
use rand::SeedableRng as _;
use rand::rngs::StdRng;
use reqwest::Client;
use reqwest::Response;
use reqwest::StatusCode;
use serde_json::Value;

use crate::answer::Answer;
use crate::answer::AnswerBody;
use crate::balancer::Balancer;

/// How long to wait for a response after the deadline of its request.
const LATE_RESPONSE_WAIT: Duration = Duration::from_millis(500);

/// A way to answer queries.
#[async_trait]
pub trait Policy: Send + Sync {
    /// Name of the policy in reports.
    fn name(&self) -> &'static str;

    /// Sends one query and verifies its answer.
    async fn ask(&self, body: &str) -> Answer;
}

/// Sends queries to the entries, balanced over the ready ones.
pub struct Tier {
    client: Client,
    balancer: Balancer,
    service: Box<str>,
    timeout: Duration,
}

impl Tier {
    /// Sends queries for `service` with `timeout` as their deadline.
    pub fn new(balancer: Balancer, service: &str, timeout: Duration) -> Tier {
        Tier { client: Client::new(), balancer, service: service.into(), timeout }
    }

    /// Sends a non-idempotent request and returns the status of the response, or 0
    /// if there is none.
    pub async fn run(&self, key: &str, body: &str) -> u16 {
        let reply = self.send("run", body, Some(key)).await;
        reply.map_or(0, |r| r.status().as_u16())
    }

    /// Sends a request to the first entry to which a connection can be opened, in
    /// the balancer's order.
    async fn send(&self, path: &str, body: &str, key: Option<&str>) -> reqwest::Result<Response> {
        let mut entries = self.balancer.preferred_order().into_iter().peekable();
        loop {
            let entry = entries.next().unwrap_or_else(|| SocketAddr::from(([127, 0, 0, 1], 0)));
            let url = format!("http://{entry}/{path}/{}", self.service);
            let mut request = self.client.post(url).timeout(self.timeout + LATE_RESPONSE_WAIT);
            request = request.header("x-timeout-ms", self.timeout.as_millis().to_string());
            if let Some(key) = key {
                request = request.header("idempotency-key", key);
            }
            match request.body(body.to_owned()).send().await {
                Err(e) if e.is_connect() && entries.peek().is_some() => {}
                reply => return reply,
            }
        }
    }
}

#[async_trait]
impl Policy for Tier {
    fn name(&self) -> &'static str {
        "chervillink"
    }

    async fn ask(&self, body: &str) -> Answer {
        let reply = match self.send("query", body, None).await {
            Ok(reply) => reply,
            Err(e) if e.is_connect() => return Answer::Refused("entry unreachable".into()),
            Err(e) if e.is_timeout() => return Answer::Refused("entry timeout".into()),
            Err(_) => return Answer::Refused("entry connection lost".into()),
        };
        let status = reply.status();
        if status != StatusCode::OK && status != StatusCode::PARTIAL_CONTENT {
            let body: Value = reply.json().await.unwrap_or_default();
            let reason = body.get("reason").or_else(|| body.get("error"));
            let reason = reason.and_then(Value::as_str).unwrap_or("no reason");
            return Answer::Refused(format!("{} {reason}", status.as_u16()).into());
        }
        match reply.json().await {
            Ok(body) => Answer::verify(&self.service, status == StatusCode::OK, &body),
            Err(_) => Answer::Refused("unreadable answer".into()),
        }
    }
}

/// Asks one random replica of each shard, without retries or hedging.
pub struct Naive {
    client: Client,
    service: Box<str>,
    version: u64,
    /// Addresses of the servers that hold each shard.
    holders: Vec<Vec<SocketAddr>>,
    timeout: Duration,
    rng: Mutex<StdRng>,
}

impl Naive {
    /// Asks the servers of `service` that hold its newest version. Replicas are
    /// chosen at random from `seed`.
    pub fn new(servers: &[ServerInfo], service: &str, timeout: Duration, seed: u64) -> Naive {
        let members = || servers.iter().filter(|s| &*s.service == service);
        let newest = members().flat_map(|s| &s.versions).max_by_key(|v| v.version);
        let (version, shards) = newest.map_or((0, 0), |v| (v.version, v.shards));
        let holds = |s: &ServerInfo, shard: Shard| {
            s.versions.iter().any(|v| v.version == version && v.held.contains(shard))
        };
        let holders = (0..shards)
            .map(|shard| members().filter(|s| holds(s, shard)).map(|s| s.address).collect())
            .collect();
        let rng = Mutex::new(StdRng::seed_from_u64(seed));
        Naive { client: Client::new(), service: service.into(), version, holders, timeout, rng }
    }

    async fn ask_shard(&self, shard: Shard, body: &str) -> Option<AskBody> {
        let holders = &self.holders[shard as usize];
        if holders.is_empty() {
            return None;
        }
        let pick = {
            let mut rng = self.rng.lock().unwrap_or_else(PoisonError::into_inner);
            rng.random_range(0..holders.len())
        };
        let url = format!("http://{}/shard/{}/{shard}", holders[pick], self.service);
        let request = self.client.post(url).header("x-index-version", self.version);
        let reply = request.timeout(self.timeout).body(body.to_owned()).send().await.ok()?;
        let body: AskBody = reply.error_for_status().ok()?.json().await.ok()?;
        Some(body).filter(|b| !b.partial)
    }
}

#[async_trait]
impl Policy for Naive {
    fn name(&self) -> &'static str {
        "naive"
    }

    async fn ask(&self, body: &str) -> Answer {
        let total = self.holders.len() as u32;
        let replies = join_all((0..total).map(|shard| self.ask_shard(shard, body))).await;
        let mut rows: Vec<Row> = Vec::new();
        let mut missing = Vec::new();
        for (shard, reply) in replies.into_iter().enumerate() {
            match reply {
                Some(reply) => rows.extend(reply.rows),
                None => missing
                    .push(MissingShard { shard: shard as Shard, reason: MissingReason::Lost }),
            }
        }
        let answered = total - missing.len() as u32;
        let coverage = Coverage { version: Some(self.version), total, answered, missing };
        let complete = coverage.is_complete();
        Answer::verify(&self.service, complete, &AnswerBody { coverage, rows })
    }
}
