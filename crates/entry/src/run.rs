//! Executes run requests, which are not idempotent: claims the idempotency key,
//! runs the work on one backend server and records the outcome.

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
use chervil_rpc::agent::RecordedOutcome;
use chervil_rpc::agent::SettleRequest;
use chervil_rpc::gate::GateRpcClient as _;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::RunRequest;
use tokio::sync::oneshot;
use tokio::time;

use crate::directory::ServiceHandle;
use crate::entry::Entry;

/// Time reserved for returning a reply before the caller's deadline.
const REPLY_MARGIN: Duration = Duration::from_millis(5);

/// How long after the caller's deadline a gate's reply is still awaited, so that
/// the outcome can be recorded.
const GRACE_PERIOD: Duration = Duration::from_secs(2);

/// Timeout of a call that records an outcome.
const SETTLE_TIMEOUT: Duration = Duration::from_secs(2);

/// Further attempts to record an outcome after the caller was answered.
const SETTLE_RETRIES: u32 = 10;

/// Delay between attempts to record an outcome.
const SETTLE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Validated run request of a caller.
#[derive(Clone, Debug)]
pub struct RunJob {
    /// Service whose backend servers run the work.
    pub service: Box<str>,
    /// Idempotency key.
    pub key: Box<str>,
    /// Body of the request, passed on as it is.
    pub body: Box<str>,
    /// Digest of service and body, which tells whether a key was reused.
    pub digest: Digest,
    /// When the caller stops waiting.
    pub deadline: Instant,
    /// W3C trace context for the gates.
    pub trace: Option<Box<str>>,
}

/// Result of a run request, as reported to the caller.
#[derive(Clone, Debug, PartialEq)]
pub enum RunResult {
    /// Done, by this request or by an earlier one with the same key.
    Done(Box<str>),
    /// Another request with the same key is still running.
    StillRunning,
    /// The key was used with another service or body.
    KeyReused,
    /// The agent rejected the key as malformed or its time as out of bounds; the
    /// text is the remedy.
    RejectedKey(Box<str>),
    /// Nothing was started: the key could not be claimed, because the agent or the
    /// store is unreachable.
    StoreUnavailable,
    /// Nothing was started: every backend server refused or is unreachable. Holds
    /// the last refusal.
    NotRun(Option<Refusal>),
    /// It is not known whether the work was done.
    Unknown,
}

/// Runs the work in a separate task, which continues when the caller disconnects
/// or its deadline passes.
pub async fn execute(entry: Arc<Entry>, service: ServiceHandle, job: RunJob) -> RunResult {
    let (result_tx, result_rx) = oneshot::channel();
    let left = job.deadline.saturating_duration_since(entry.clock.now());
    let left = left.saturating_sub(REPLY_MARGIN);
    let running = entry.lifecycle.begin_request();
    tokio::spawn(async move {
        claim_and_run(&entry, &service, &job, result_tx).await;
        drop(running);
    });
    match time::timeout(left, result_rx).await {
        Ok(Ok(result)) => result,
        // The task continues; the caller learns the result by resending with the
        // same key.
        Ok(Err(_)) | Err(_) => RunResult::Unknown,
    }
}

async fn claim_and_run(
    entry: &Entry,
    service: &ServiceHandle,
    job: &RunJob,
    result_tx: oneshot::Sender<RunResult>,
) {
    let started = entry.clock.now();
    let nonce = stable_hash(&format!("{}/{}", entry.incarnation, entry.next_query_id()));
    let claimed = match claim(entry, job, nonce).await {
        ClaimReply::Granted => None,
        ClaimReply::Done { body } => Some(RunResult::Done(body)),
        ClaimReply::Running => Some(RunResult::StillRunning),
        ClaimReply::Unknown => Some(RunResult::Unknown),
        ClaimReply::Mismatch => Some(RunResult::KeyReused),
        ClaimReply::Invalid { remedy } => Some(RunResult::RejectedKey(remedy)),
        ClaimReply::Unavailable => Some(RunResult::StoreUnavailable),
    };
    if let Some(result) = claimed {
        release_limiter(entry, service, started, false);
        let unavailable = result == RunResult::StoreUnavailable;
        // The receiver is gone when the caller has disconnected or timed out.
        let _ = result_tx.send(result);
        if unavailable {
            // The claim may have been written although no reply came; this frees
            // the key again.
            let outcome = RecordedOutcome::NotRun;
            let key = job.key.clone();
            settle(entry, &SettleRequest { key, nonce, outcome, forwarded: false }, SETTLE_TIMEOUT)
                .await;
        }
        return;
    }
    let result = run_claimed(entry, service, job).await;
    let overloaded = matches!(result, RunResult::NotRun(Some(Refusal::Busy | Refusal::Expired)));
    release_limiter(entry, service, started, overloaded);
    let request =
        SettleRequest { key: job.key.clone(), nonce, outcome: outcome(&result), forwarded: false };
    let left = job.deadline.saturating_duration_since(entry.clock.now());
    let timeout = left.saturating_sub(REPLY_MARGIN * 2).min(SETTLE_TIMEOUT);
    let settled = settle(entry, &request, timeout).await;
    let _ = result_tx.send(result);
    if !settled {
        retry_settle(entry, &request).await;
    }
}

/// Releases the concurrency limiter and records the run time.
fn release_limiter(entry: &Entry, service: &ServiceHandle, started: Instant, overloaded: bool) {
    let now = entry.clock.now();
    let took = now.saturating_duration_since(started);
    entry.metrics.time("run.time", took);
    service.policy.lock().limiter.release(took, overloaded, now);
}

/// Outcome to record for the key.
fn outcome(result: &RunResult) -> RecordedOutcome {
    match result {
        RunResult::Done(body) => RecordedOutcome::Done { body: body.clone() },
        RunResult::NotRun(_) => RecordedOutcome::NotRun,
        _ => RecordedOutcome::Unknown,
    }
}

/// Claims the key. When the reply is lost, the claim is repeated with the same
/// nonce, which the agent recognises. Whatever the reply, nothing has been run
/// yet.
async fn claim(entry: &Entry, job: &RunJob, nonce: u64) -> ClaimReply {
    for _ in 0..2 {
        let left = job.deadline.saturating_duration_since(entry.clock.now());
        let left = left.saturating_sub(REPLY_MARGIN);
        if left.is_zero() {
            break;
        }
        let request = ClaimRequest {
            key: job.key.clone(),
            digest: job.digest,
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

/// Sends the work to one backend server after the other until one may have
/// started it.
async fn run_claimed(entry: &Entry, service: &ServiceHandle, job: &RunJob) -> RunResult {
    let topology = service.topology.borrow().clone();
    let mut run = Run::new(stable_hash(&job.key));
    let mut step = run.start(&topology, &service.policy.lock(), entry.clock.now());
    loop {
        match step {
            Step::Done(body) => return RunResult::Done(body),
            Step::NotRun(reason) => return RunResult::NotRun(reason),
            Step::Unknown => return RunResult::Unknown,
            Step::Send(attempt) => {
                let now = entry.clock.now();
                if now + REPLY_MARGIN >= job.deadline {
                    return RunResult::NotRun(Some(Refusal::Expired));
                }
                let result = send_attempt(entry, &topology, job, attempt).await;
                let mut policy = service.policy.lock();
                step = run.on_attempt_result(result, &topology, &mut policy, entry.clock.now());
            }
        }
    }
}

async fn send_attempt(
    entry: &Entry,
    topology: &Topology,
    job: &RunJob,
    attempt: Attempt,
) -> AttemptResult {
    let gate = topology.gate(attempt.gate);
    let left = job.deadline.saturating_duration_since(entry.clock.now());
    let connect = time::timeout(left, entry.peers.get(gate.address)).await;
    let Ok(Ok(client)) = connect else { return AttemptResult::GateUnreachable };
    let left = job.deadline.saturating_duration_since(entry.clock.now());
    let request = RunRequest {
        service: job.service.clone(),
        server: topology.server(attempt.server).name.clone(),
        key: job.key.clone(),
        timeout_ms: left.saturating_sub(REPLY_MARGIN).as_millis().max(1) as u32,
        body: job.body.clone(),
        trace: job.trace.clone(),
    };
    match time::timeout(left + GRACE_PERIOD, client.run(request)).await {
        Ok(Ok(reply)) => AttemptResult::Reply(reply),
        Ok(Err(e)) => {
            spdlog::warn!(
                "a gate failed to reply to a run request; its outcome is unknown",
                kv: { host: = gate.host, error: = e }
            );
            AttemptResult::NoReply
        }
        Err(_) => AttemptResult::NoReply,
    }
}

/// Records an outcome. Returns whether the agent confirmed it within `timeout`.
async fn settle(entry: &Entry, request: &SettleRequest, timeout: Duration) -> bool {
    let request = request.clone();
    let call = async { entry.peers.get(entry.agent).await.ok()?.settle(request).await.ok() };
    matches!(time::timeout(timeout, call).await, Ok(Some(())))
}

async fn retry_settle(entry: &Entry, request: &SettleRequest) {
    for _ in 0..SETTLE_RETRIES {
        if settle(entry, request, SETTLE_TIMEOUT).await {
            return;
        }
        time::sleep(SETTLE_RETRY_DELAY).await;
    }
    spdlog::error!(
        "the outcome of a run could not be recorded; a resend with this key reports unknown",
        kv: { key: = request.key }
    );
}
