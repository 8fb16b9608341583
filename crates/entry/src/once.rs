//! Carries out non-idempotent work: claim, run once, record the outcome.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::digest::Digest;
use chervil_base::digest::stable_hash;
use chervil_plan::run::Attempt;
use chervil_plan::run::AttemptResult;
use chervil_plan::run::Run;
use chervil_plan::run::Step;
use chervil_plan::topology::Topology;
use chervil_rpc::agent::AgentRpcClient as _;
use chervil_rpc::agent::ClaimReply;
use chervil_rpc::agent::ClaimRequest;
use chervil_rpc::agent::Recorded;
use chervil_rpc::agent::SettleRequest;
use chervil_rpc::gate::GateRpcClient as _;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunRequest;
use tokio::sync::oneshot;
use tokio::time;

use crate::directory::ServiceHandle;
use crate::entry::Entry;

/// Time kept back for the way back of a reply.
const WAY_BACK: Duration = Duration::from_millis(5);

/// How long after the caller's deadline a reply is still awaited, so that the
/// outcome can be recorded.
const GRACE: Duration = Duration::from_secs(2);

/// Longest wait for the agent to record an outcome.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Further tries to record an outcome, after the caller has been answered.
const SETTLE_RETRIES: u32 = 10;

/// Wait between tries to record an outcome.
const SETTLE_WAIT: Duration = Duration::from_secs(1);

/// Request of a caller, checked.
#[derive(Clone, Debug)]
pub struct Work {
    /// Service that runs it.
    pub service: Box<str>,
    /// Idempotency key.
    pub key: Box<str>,
    /// The caller's request.
    pub body: Box<str>,
    /// Digest of service and body.
    pub digest: Digest,
    /// Time at which the caller stops waiting.
    pub deadline: Instant,
    /// W3C trace context.
    pub trace: Option<Box<str>>,
}

/// How the work ended, for the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkEnd {
    /// Done, now or at an earlier request with the same key.
    Done(Box<str>),
    /// Another request with the same key is still running.
    Running,
    /// The key was used with another request.
    Mismatch,
    /// The key is malformed or out of bounds.
    Invalid(Box<str>),
    /// Nothing was started: the store cannot be reached.
    Unavailable,
    /// Nothing was started: every backend server refused or is unreachable.
    NotRun(Option<Refusal>),
    /// It cannot be known.
    Unknown,
}

/// Runs the work in a task of its own, which continues when the caller leaves.
pub async fn run(entry: Arc<Entry>, service: ServiceHandle, work: Work) -> WorkEnd {
    let (answer, answered) = oneshot::channel();
    let left = work.deadline.saturating_duration_since(entry.clock.now());
    let left = left.saturating_sub(WAY_BACK);
    let running = entry.lifecycle.begin_request();
    tokio::spawn(async move {
        carry_out(&entry, &service, &work, answer).await;
        drop(running);
    });
    match time::timeout(left, answered).await {
        Ok(Ok(end)) => end,
        // The task continues, and the caller learns the end with the same key.
        Ok(Err(_)) | Err(_) => WorkEnd::Unknown,
    }
}

async fn carry_out(
    entry: &Entry,
    service: &ServiceHandle,
    work: &Work,
    answer: oneshot::Sender<WorkEnd>,
) {
    let started = entry.clock.now();
    let nonce = stable_hash(&format!("{}/{}", entry.incarnation, entry.next_query()));
    let end = match claim(entry, work, nonce).await {
        ClaimReply::Granted => None,
        ClaimReply::Done { body } => Some(WorkEnd::Done(body)),
        ClaimReply::Running => Some(WorkEnd::Running),
        ClaimReply::Unknown => Some(WorkEnd::Unknown),
        ClaimReply::Mismatch => Some(WorkEnd::Mismatch),
        ClaimReply::Invalid { remedy } => Some(WorkEnd::Invalid(remedy)),
        ClaimReply::Unavailable => Some(WorkEnd::Unavailable),
    };
    if let Some(end) = end {
        leave(entry, service, started, false);
        let unavailable = end == WorkEnd::Unavailable;
        // Without a receiver the caller is gone.
        let _ = answer.send(end);
        if unavailable {
            // The claim may have been written all the same; the key is set free.
            let outcome = Recorded::NotRun;
            let key = work.key.clone();
            settle(entry, &SettleRequest { key, nonce, outcome, forwarded: false }, SETTLE_TIMEOUT)
                .await;
        }
        return;
    }
    let end = execute(entry, service, work).await;
    let busy = matches!(end, WorkEnd::NotRun(Some(Refusal::Busy | Refusal::Expired)));
    leave(entry, service, started, busy);
    let request =
        SettleRequest { key: work.key.clone(), nonce, outcome: record(&end), forwarded: false };
    let left = work.deadline.saturating_duration_since(entry.clock.now());
    let wait = left.saturating_sub(WAY_BACK * 2).min(SETTLE_TIMEOUT);
    let settled = settle(entry, &request, wait).await;
    let _ = answer.send(end);
    if !settled {
        settle_later(entry, &request).await;
    }
}

fn leave(entry: &Entry, service: &ServiceHandle, started: Instant, overloaded: bool) {
    let now = entry.clock.now();
    let took = now.saturating_duration_since(started);
    entry.metrics.time("run.time", took);
    service.policy.lock().limiter.release(took, overloaded, now);
}

fn record(end: &WorkEnd) -> Recorded {
    match end {
        WorkEnd::Done(body) => Recorded::Done { body: body.clone() },
        WorkEnd::NotRun(_) => Recorded::NotRun,
        _ => Recorded::Unknown,
    }
}

/// Claims the key. A lost reply is resolved by asking again with the same
/// nonce; whatever happens here, nothing has been run.
async fn claim(entry: &Entry, work: &Work, nonce: u64) -> ClaimReply {
    for _ in 0..2 {
        let left = work.deadline.saturating_duration_since(entry.clock.now());
        let left = left.saturating_sub(WAY_BACK);
        if left.is_zero() {
            break;
        }
        let request = ClaimRequest {
            key: work.key.clone(),
            digest: work.digest,
            nonce,
            timeout_ms: left.as_millis() as u32,
            forwarded: false,
        };
        let call = async { entry.peers.get(entry.agent).await.ok()?.claim(request).await.ok() };
        if let Ok(Some(reply)) = time::timeout(left, call).await {
            return reply;
        }
    }
    ClaimReply::Unavailable
}

async fn execute(entry: &Entry, service: &ServiceHandle, work: &Work) -> WorkEnd {
    let layout = service.layouts.borrow().clone();
    let mut once = Run::new(stable_hash(&work.key));
    let mut step = once.start(&layout, &service.policy.lock(), entry.clock.now());
    loop {
        match step {
            Step::Done(body) => return WorkEnd::Done(body),
            Step::NotRun(reason) => return WorkEnd::NotRun(reason),
            Step::Unknown => return WorkEnd::Unknown,
            Step::Send(attempt) => {
                let now = entry.clock.now();
                if now + WAY_BACK >= work.deadline {
                    return WorkEnd::NotRun(Some(Refusal::Expired));
                }
                let end = ask(entry, &layout, work, attempt).await;
                let mut policy = service.policy.lock();
                step = once.on_attempt_result(end, &layout, &mut policy, entry.clock.now());
            }
        }
    }
}

async fn ask(entry: &Entry, layout: &Topology, work: &Work, attempt: Attempt) -> AttemptResult {
    let gate = layout.gate(attempt.gate);
    let left = work.deadline.saturating_duration_since(entry.clock.now());
    let connect = time::timeout(left, entry.peers.get(gate.address)).await;
    let Ok(Ok(client)) = connect else { return AttemptResult::GateUnreachable };
    let left = work.deadline.saturating_duration_since(entry.clock.now());
    let request = RunRequest {
        service: work.service.clone(),
        server: layout.server(attempt.server).name.clone(),
        key: work.key.clone(),
        timeout_ms: left.saturating_sub(WAY_BACK).as_millis().max(1) as u32,
        body: work.body.clone(),
        trace: work.trace.clone(),
    };
    match time::timeout(left + GRACE, client.run(request)).await {
        Ok(Ok(reply)) => AttemptResult::Reply(reply),
        Ok(Err(e)) => {
            spdlog::warn!("the end of claimed work is unknown", kv: { host: = gate.host, error: = e });
            AttemptResult::NoReply
        }
        Err(_) => AttemptResult::NoReply,
    }
}

async fn settle(entry: &Entry, request: &SettleRequest, wait: Duration) -> bool {
    let request = request.clone();
    let call = async { entry.peers.get(entry.agent).await.ok()?.settle(request).await.ok() };
    matches!(time::timeout(wait, call).await, Ok(Some(())))
}

async fn settle_later(entry: &Entry, request: &SettleRequest) {
    for _ in 0..SETTLE_RETRIES {
        if settle(entry, request, SETTLE_TIMEOUT).await {
            return;
        }
        time::sleep(SETTLE_WAIT).await;
    }
    spdlog::error!("an outcome could not be recorded; a resend with this key reports unknown",
        kv: { key: = request.key });
}
