//! Builds the HTTP responses to callers.

use chervil_base::coverage::Coverage;
use chervil_base::coverage::Outcome;
use chervil_plan::query::NotRunReason;
use chervil_plan::query::QueryOutcome;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::Row;
use serde::Serialize;
use warp::http::HeaderValue;
use warp::http::Response;
use warp::http::StatusCode;
use warp::http::header::CONTENT_TYPE;
use warp::http::header::RETRY_AFTER;

use crate::run::RunResult;
use crate::validate::RequestError;

/// HTTP response with its body in memory.
pub type HttpResponse = Response<Vec<u8>>;

/// Retry hint for refusals that come without one.
pub const DEFAULT_RETRY_MS: u32 = 1000;

#[derive(Serialize)]
struct AnswerBody<'a> {
    outcome: Outcome,
    version: Option<u64>,
    coverage: &'a Coverage,
    rows: &'a [Row],
}

#[derive(Serialize)]
struct CoverageNotReachedBody<'a> {
    outcome: Outcome,
    reason: &'a str,
    remedy: &'a str,
    version: Option<u64>,
    coverage: &'a Coverage,
}

#[derive(Serialize)]
struct RefusalBody<'a> {
    outcome: Outcome,
    reason: &'a str,
    remedy: &'a str,
    retry_ms: u32,
}

#[derive(Serialize)]
struct RunBody<'a> {
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    reply: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    reason: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    remedy: Option<&'a str>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    outcome: Outcome,
    error: &'a str,
    message: Box<str>,
}

/// Response to a query.
pub fn query(outcome: &QueryOutcome, min_coverage: f64) -> HttpResponse {
    match outcome {
        QueryOutcome::Answer { coverage, rows } => answer(coverage, rows, min_coverage),
        QueryOutcome::RefusedAfterProbe { reason, retry_ms } => {
            let (reason, remedy) = reason_and_remedy(*reason);
            refused_after_probe(reason, remedy, *retry_ms)
        }
        QueryOutcome::NotRun { reason, retry_ms } => {
            let (reason, remedy) = reason_and_remedy(*reason);
            not_run(reason, remedy, *retry_ms)
        }
    }
}

fn answer(coverage: &Coverage, rows: &[Row], min_coverage: f64) -> HttpResponse {
    let mut response = if !coverage.is_complete() && coverage.ratio() < min_coverage {
        let body = CoverageNotReachedBody {
            outcome: Outcome::Unknown,
            reason: "coverage_not_reached",
            remedy: "resend with a longer x-timeout-ms or a lower x-min-coverage",
            version: coverage.version,
            coverage,
        };
        json(StatusCode::GATEWAY_TIMEOUT, &body)
    } else {
        let complete = coverage.is_complete();
        let status = if complete { StatusCode::OK } else { StatusCode::PARTIAL_CONTENT };
        let outcome = Outcome::Done;
        json(status, &AnswerBody { outcome, version: coverage.version, coverage, rows })
    };
    let answered = format!("{}/{}", coverage.answered, coverage.total);
    set_header(&mut response, "x-coverage", &answered);
    if let Some(version) = coverage.version {
        set_header(&mut response, "x-index-version", &version.to_string());
    }
    response
}

/// Response to a request of which no backend server ran any part.
pub fn not_run(reason: &str, remedy: &str, retry_ms: u32) -> HttpResponse {
    let body = RefusalBody { outcome: Outcome::NotRun, reason, remedy, retry_ms };
    let mut response = json(StatusCode::SERVICE_UNAVAILABLE, &body);
    // Retry-After has a resolution of one second.
    let seconds = retry_ms.div_ceil(1000).max(1);
    response.headers_mut().insert(RETRY_AFTER, HeaderValue::from(seconds));
    response
}

/// Response to a query that was refused after a backend server may have run a
/// canary probe of it.
fn refused_after_probe(reason: &str, remedy: &str, retry_ms: u32) -> HttpResponse {
    let body = RefusalBody { outcome: Outcome::Unknown, reason, remedy, retry_ms };
    json(StatusCode::GATEWAY_TIMEOUT, &body)
}

/// Response to an invalid request.
pub fn invalid(error: &RequestError) -> HttpResponse {
    let message = error.to_string().into();
    let body = ErrorBody { outcome: Outcome::NotRun, error: error.code(), message };
    json(error.status(), &body)
}

/// Response to a run request.
pub fn run(result: &RunResult) -> HttpResponse {
    let conflict = |reason, remedy| {
        let (reason, remedy) = (Some(reason), Some(remedy));
        let body = RunBody { outcome: Outcome::Unknown, reply: None, reason, remedy };
        json(StatusCode::CONFLICT, &body)
    };
    match result {
        RunResult::Done(body) => {
            let (reason, remedy) = (None, None);
            let body = RunBody { outcome: Outcome::Done, reply: Some(body), reason, remedy };
            json(StatusCode::OK, &body)
        }
        RunResult::StillRunning => {
            conflict("still_running", "resend with the same key to learn the outcome")
        }
        RunResult::KeyReused => conflict("key_reused", "use a new key for another request"),
        RunResult::RejectedKey(remedy) => {
            invalid(&RequestError::RejectedKey { remedy: remedy.clone() })
        }
        RunResult::StoreUnavailable => {
            not_run("store_unavailable", "resend later with the same key", DEFAULT_RETRY_MS)
        }
        RunResult::NotRun(refusal) => {
            not_run(refusal_reason(*refusal), "resend later with the same key", DEFAULT_RETRY_MS)
        }
        RunResult::Unknown => {
            let (reason, remedy) = (
                Some("outcome_unknown"),
                Some("resend with the same key to learn the outcome; it runs no second time"),
            );
            let body = RunBody { outcome: Outcome::Unknown, reply: None, reason, remedy };
            json(StatusCode::GATEWAY_TIMEOUT, &body)
        }
    }
}

fn reason_and_remedy(reason: NotRunReason) -> (&'static str, &'static str) {
    match reason {
        NotRunReason::Suspect => {
            ("suspect", "do not resend this request for 10 minutes; it may end backend servers")
        }
        NotRunReason::NoIndex => ("no_index", "resend later; no index version is known yet"),
        NotRunReason::NoPermit => ("no_permit", "resend later or with a longer x-timeout-ms"),
        NotRunReason::Refused => ("refused", "resend later; every backend server refused"),
        NotRunReason::NoReplica => ("no_replica", "resend later; no backend server may get work"),
        NotRunReason::Late => ("late", "resend with a longer x-timeout-ms"),
    }
}

fn refusal_reason(refusal: Option<Refusal>) -> &'static str {
    match refusal {
        None => "no_replica",
        Some(Refusal::Busy) => "busy",
        Some(Refusal::Cold) => "cold",
        Some(Refusal::Expired) => "late",
        Some(Refusal::Unreachable) => "unreachable",
        Some(_) => "refused",
    }
}

fn set_header(response: &mut HttpResponse, name: &'static str, value: &str) {
    if let Ok(value) = HeaderValue::from_str(value) {
        response.headers_mut().insert(name, value);
    }
}

fn json<T>(status: StatusCode, body: &T) -> HttpResponse
where
    T: Serialize,
{
    let (status, bytes) = match serde_json::to_vec(body) {
        Ok(bytes) => (status, bytes),
        Err(_) => (StatusCode::INTERNAL_SERVER_ERROR, Vec::new()),
    };
    let mut response = Response::new(bytes);
    *response.status_mut() = status;
    response.headers_mut().insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
    response
}
