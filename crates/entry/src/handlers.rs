//! Handlers of the endpoints for callers.

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

use crate::directory::LookupError;
use crate::directory::LookupService;
use crate::directory::ServiceHandle;
use crate::entry::Entry;
use crate::query;
use crate::query::QueryJob;
use crate::response;
use crate::response::HttpResponse;
use crate::run;
use crate::run::RunJob;
use crate::validate;
use crate::validate::RequestError;

/// HTTP request of a caller, not validated yet.
#[derive(Debug)]
pub struct Request {
    /// Name of the service, from the path.
    pub service: Box<str>,
    /// All request headers.
    pub headers: HeaderMap,
    /// Raw body.
    pub bytes: Vec<u8>,
}

/// Request that was validated and admitted by the concurrency limiter.
struct Admitted {
    service: ServiceHandle,
    body: Box<str>,
    digest: Digest,
    deadline: Instant,
    /// Share of answered shards below which the caller wants no rows.
    min_coverage: f64,
    trace: Option<Box<str>>,
}

/// Answers `POST /query/<service>`.
pub async fn query(entry: Arc<Entry>, request: Request) -> HttpResponse {
    let span = info_span!("query", service = &*request.service);
    serve(&entry, "query", &span, try_query(&entry, request, &span)).await
}

/// Answers `POST /run/<service>`.
pub async fn run(entry: Arc<Entry>, request: Request) -> HttpResponse {
    let span = info_span!("run", service = &*request.service);
    serve(&entry, "run", &span, try_run(&entry, request, &span)).await
}

/// Runs a handler within its span and counts it as a running request.
async fn serve<F>(entry: &Entry, kind: &str, span: &Span, handler: F) -> HttpResponse
where
    F: Future<Output = Result<HttpResponse, RequestError>>,
{
    let _running = entry.lifecycle.begin_request();
    let result = handler.instrument(span.clone()).await;
    let response = result.unwrap_or_else(|e| response::invalid(&e));
    entry.metrics.count(&format!("{kind}.status.{}", response.status().as_u16()), 1);
    response
}

async fn try_query(
    entry: &Arc<Entry>,
    request: Request,
    span: &Span,
) -> Result<HttpResponse, RequestError> {
    let admitted = match admit(entry, &request, span).await? {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(refusal),
    };
    let Admitted { service, body, digest, deadline, min_coverage, trace } = admitted;
    let job = QueryJob { service: request.service, body, digest, deadline, trace };
    let outcome = query::execute(entry.clone(), service, job).await;
    count_outcome(entry, &outcome);
    Ok(response::query(&outcome, min_coverage))
}

async fn try_run(
    entry: &Arc<Entry>,
    request: Request,
    span: &Span,
) -> Result<HttpResponse, RequestError> {
    let key = validate::idempotency_key(&request.headers, entry.clock.wall_time())?;
    let admitted = match admit(entry, &request, span).await? {
        Ok(admitted) => admitted,
        Err(refusal) => return Ok(refusal),
    };
    let Admitted { service, body, digest, deadline, trace, .. } = admitted;
    let job = RunJob { service: request.service, key, body, digest, deadline, trace };
    let result = run::execute(entry.clone(), service, job).await;
    Ok(response::run(&result))
}

/// Validates a request and admits it. The inner error is the response to a
/// valid request that is refused; no backend server has seen it.
async fn admit(
    entry: &Entry,
    request: &Request,
    span: &Span,
) -> Result<Result<Admitted, HttpResponse>, RequestError> {
    let received_at = entry.clock.now();
    let headers = validate::headers(&request.headers)?;
    let body = validate::body(&request.bytes)?;
    trace::set_parent(span, headers.trace.as_deref());
    let service = match admit_to_service(entry, &request.service).await? {
        Ok(service) => service,
        Err(refusal) => return Ok(Err(refusal)),
    };
    Ok(Ok(Admitted {
        service,
        body,
        digest: request_digest(&request.service, &request.bytes),
        deadline: received_at + headers.timeout,
        min_coverage: headers.min_coverage,
        trace: trace::traceparent(span).or(headers.trace),
    }))
}

/// Looks the service up and acquires its concurrency limiter. The inner error is the
/// response to a refused request.
async fn admit_to_service(
    entry: &Entry,
    service: &str,
) -> Result<Result<ServiceHandle, HttpResponse>, RequestError> {
    let refuse = |reason, remedy, ms| Ok(Err(response::not_run(reason, remedy, ms)));
    if !entry.is_accepting() {
        let remedy = "resend to another host; this one is not ready";
        return refuse("not_ready", remedy, response::DEFAULT_RETRY_MS);
    }
    let lookup = LookupService { service: service.into(), now: entry.clock.now() };
    let handle = match entry.directory.send(lookup).await {
        Ok(Ok(handle)) => handle,
        Ok(Err(LookupError::Unknown)) => {
            return Err(RequestError::UnknownService { service: service.into() });
        }
        Ok(Err(LookupError::OutOfService)) => {
            let remedy = "resend when operators have put the service back";
            return refuse("out_of_service", remedy, response::DEFAULT_RETRY_MS);
        }
        Ok(Err(LookupError::NoCatalog)) | Err(_) => {
            let remedy = "resend to another host; this one has no configuration";
            return refuse("no_catalog", remedy, response::DEFAULT_RETRY_MS);
        }
    };
    let admitted = handle.policy.lock().limiter.try_acquire();
    match admitted {
        Ok(()) => Ok(Ok(handle)),
        Err(limit_reached) => {
            entry.metrics.count("refused.overload", 1);
            refuse("overloaded", "resend after retry_ms", limit_reached.retry_ms)
        }
    }
}

fn count_outcome(entry: &Entry, outcome: &QueryOutcome) {
    let name = match outcome {
        QueryOutcome::Answer { coverage, .. } if coverage.is_complete() => "query.whole",
        QueryOutcome::Answer { .. } => "query.partial",
        QueryOutcome::RefusedAfterProbe { .. } => "query.probed",
        QueryOutcome::NotRun { .. } => "query.not_run",
    };
    entry.metrics.count(name, 1);
}
