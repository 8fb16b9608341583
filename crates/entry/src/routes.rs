//! Handles the requests of callers.

use std::sync::Arc;

use chervil_base::digest::request_digest;
use chervil_node::trace;
use chervil_plan::query::Ending;
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

/// Answers `POST /query/<service>`.
pub async fn query(
    entry: Arc<Entry>,
    service: Box<str>,
    headers: HeaderMap,
    bytes: Vec<u8>,
) -> Reply {
    let _running = entry.lifecycle.enter();
    let span = info_span!("query", service = &*service);
    let reply = try_query(&entry, service, &headers, &bytes, &span);
    let reply = reply.instrument(span.clone()).await;
    finish(&entry, "query", reply)
}

/// Answers `POST /run/<service>`.
pub async fn run(
    entry: Arc<Entry>,
    service: Box<str>,
    headers: HeaderMap,
    bytes: Vec<u8>,
) -> Reply {
    let _running = entry.lifecycle.enter();
    let span = info_span!("run", service = &*service);
    let reply = try_run(&entry, service, &headers, &bytes, &span);
    let reply = reply.instrument(span.clone()).await;
    finish(&entry, "run", reply)
}

fn finish(entry: &Entry, kind: &str, reply: Result<Reply, CallerError>) -> Reply {
    let reply = reply.unwrap_or_else(|e| respond::invalid(&e));
    entry.metrics.count(&format!("{kind}.status.{}", reply.status().as_u16()), 1);
    reply
}

async fn try_query(
    entry: &Arc<Entry>,
    service: Box<str>,
    headers: &HeaderMap,
    bytes: &[u8],
    span: &Span,
) -> Result<Reply, CallerError> {
    let arrived = entry.clock.now();
    let asked = caller::headers(headers)?;
    let body = caller::body(bytes)?;
    trace::set_parent(span, asked.trace.as_deref());
    let handle = match admit(entry, &service).await? {
        Ok(handle) => handle,
        Err(refusal) => return Ok(refusal),
    };
    let digest = request_digest(&service, bytes);
    let trace = trace::context_of(span).or(asked.trace);
    let deadline = arrived + asked.timeout;
    let query = Asked { service, body, digest, deadline, trace };
    let ending = query::answer(entry.clone(), handle, query).await;
    count(entry, &ending);
    Ok(respond::query(&ending, asked.min_coverage))
}

async fn try_run(
    entry: &Arc<Entry>,
    service: Box<str>,
    headers: &HeaderMap,
    bytes: &[u8],
    span: &Span,
) -> Result<Reply, CallerError> {
    let arrived = entry.clock.now();
    let asked = caller::headers(headers)?;
    let key = caller::key(headers, entry.clock.wall())?;
    let body = caller::body(bytes)?;
    trace::set_parent(span, asked.trace.as_deref());
    let handle = match admit(entry, &service).await? {
        Ok(handle) => handle,
        Err(refusal) => return Ok(refusal),
    };
    let digest = request_digest(&service, bytes);
    let trace = trace::context_of(span).or(asked.trace);
    let deadline = arrived + asked.timeout;
    let work = Work { service, key, body, digest, deadline, trace };
    let end = once::run(entry.clone(), handle, work).await;
    Ok(respond::work(&end))
}

/// Finds the service and admits the request, or refuses it before any work.
async fn admit(entry: &Entry, service: &str) -> Result<Result<ServiceHandle, Reply>, CallerError> {
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
    let admitted = handle.policy.lock().limiter.enter();
    match admitted {
        Ok(()) => Ok(Ok(handle)),
        Err(full) => {
            entry.metrics.count("refused.overload", 1);
            refuse("overloaded", "resend after retry_ms", full.retry_ms)
        }
    }
}

fn count(entry: &Entry, ending: &Ending) {
    let name = match ending {
        Ending::Answer { coverage, .. } if coverage.is_whole() => "query.whole",
        Ending::Answer { .. } => "query.partial",
        Ending::Probed { .. } => "query.probed",
        Ending::NotRun { .. } => "query.not_run",
    };
    entry.metrics.count(name, 1);
}
