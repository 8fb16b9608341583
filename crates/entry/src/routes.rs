//! Handles the requests of callers.

use std::sync::Arc;
use std::time::Instant;

use chervil_base::digest::Digest;
use chervil_base::digest::request_digest;
use chervil_node::trace;
use chervil_plan::query::QueryOutcome;
use tracing::Instrument as _;
use tracing::Span;
use tracing::info_span;
use warp::http::HeaderMap;

use crate::caller;
use crate::caller::CallerError;
use crate::directory::Find;
use crate::directory::NoService;
use crate::directory::ServiceHandle;
use crate::entry::Entry;
use crate::once;
use crate::once::Work;
use crate::query;
use crate::query::Asked;
use crate::respond;
use crate::respond::Reply;

/// Request of a caller, as it arrived.
#[derive(Debug)]
pub struct Request {
    /// Service named in the path.
    pub service: Box<str>,
    /// Headers.
    pub headers: HeaderMap,
    /// Body.
    pub bytes: Vec<u8>,
}

/// Request that has been checked and admitted.
struct Admitted {
    handle: ServiceHandle,
    body: Box<str>,
    digest: Digest,
    deadline: Instant,
    /// Least share of answered shards that the caller takes.
    coverage: f64,
    trace: Option<Box<str>>,
}

/// Answers `POST /query/<service>`.
pub async fn query(entry: Arc<Entry>, request: Request) -> Reply {
    let span = info_span!("query", service = &*request.service);
    handle(&entry, "query", &span, try_query(&entry, request, &span)).await
}

/// Answers `POST /run/<service>`.
pub async fn run(entry: Arc<Entry>, request: Request) -> Reply {
    let span = info_span!("run", service = &*request.service);
    handle(&entry, "run", &span, try_run(&entry, request, &span)).await
}

async fn handle<F>(entry: &Entry, kind: &str, span: &Span, work: F) -> Reply
where
    F: Future<Output = Result<Reply, CallerError>>,
{
    let _running = entry.lifecycle.begin_request();
    let reply = work.instrument(span.clone()).await;
    let reply = reply.unwrap_or_else(|e| respond::invalid(&e));
    entry.metrics.count(&format!("{kind}.status.{}", reply.status().as_u16()), 1);
    reply
}

async fn try_query(
    entry: &Arc<Entry>,
    request: Request,
    span: &Span,
) -> Result<Reply, CallerError> {
    let admitted = match admit(entry, &request, span).await? {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(refusal),
    };
    let Admitted { handle, body, digest, deadline, coverage, trace } = admitted;
    let query = Asked { service: request.service, body, digest, deadline, trace };
    let ending = query::answer(entry.clone(), handle, query).await;
    count(entry, &ending);
    Ok(respond::query(&ending, coverage))
}

async fn try_run(entry: &Arc<Entry>, request: Request, span: &Span) -> Result<Reply, CallerError> {
    let key = caller::key(&request.headers, entry.clock.wall_time())?;
    let admitted = match admit(entry, &request, span).await? {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(refusal),
    };
    let Admitted { handle, body, digest, deadline, trace, .. } = admitted;
    let work = Work { service: request.service, key, body, digest, deadline, trace };
    let end = once::run(entry.clone(), handle, work).await;
    Ok(respond::work(&end))
}

/// Checks a request and admits it, or refuses it before any work.
async fn admit(
    entry: &Entry,
    request: &Request,
    span: &Span,
) -> Result<Result<Admitted, Reply>, CallerError> {
    let arrived = entry.clock.now();
    let asked = caller::headers(&request.headers)?;
    let body = caller::body(&request.bytes)?;
    trace::set_parent(span, asked.trace.as_deref());
    let handle = match find(entry, &request.service).await? {
        Ok(handle) => handle,
        Err(refusal) => return Ok(Err(refusal)),
    };
    Ok(Ok(Admitted {
        handle,
        body,
        digest: request_digest(&request.service, &request.bytes),
        deadline: arrived + asked.timeout,
        coverage: asked.min_coverage,
        trace: trace::traceparent(span).or(asked.trace),
    }))
}

/// Finds the service and admits the request, or refuses it before any work.
async fn find(entry: &Entry, service: &str) -> Result<Result<ServiceHandle, Reply>, CallerError> {
    let refuse = |reason, remedy, ms| Ok(Err(respond::not_run(reason, remedy, ms)));
    if !entry.is_accepting() {
        let remedy = "resend to another host; this one is not ready";
        return refuse("not_ready", remedy, respond::RETRY_MS);
    }
    let find = Find { service: service.into(), now: entry.clock.now() };
    let handle = match entry.directory.send(find).await {
        Ok(Ok(handle)) => handle,
        Ok(Err(NoService::Unknown)) => {
            return Err(CallerError::Service { service: service.into() });
        }
        Ok(Err(NoService::OutOfService)) => {
            let remedy = "resend when operators have put the service back";
            return refuse("out_of_service", remedy, respond::RETRY_MS);
        }
        Ok(Err(NoService::NoCatalog)) | Err(_) => {
            let remedy = "resend to another host; this one has no configuration";
            return refuse("no_catalog", remedy, respond::RETRY_MS);
        }
    };
    let admitted = handle.policy.lock().limiter.try_acquire();
    match admitted {
        Ok(()) => Ok(Ok(handle)),
        Err(full) => {
            entry.metrics.count("refused.overload", 1);
            refuse("overloaded", "resend after retry_ms", full.retry_ms)
        }
    }
}

fn count(entry: &Entry, ending: &QueryOutcome) {
    let name = match ending {
        QueryOutcome::Answer { coverage, .. } if coverage.is_complete() => "query.whole",
        QueryOutcome::Answer { .. } => "query.partial",
        QueryOutcome::RefusedAfterProbe { .. } => "query.probed",
        QueryOutcome::NotRun { .. } => "query.not_run",
    };
    entry.metrics.count(name, 1);
}
