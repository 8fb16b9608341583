//! Construction of the HTTP responses sent to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use crate::names::HeaderNames;
use crate::reply::Reply;

/// HTTP response to a caller.
pub type Answer = Response<Full<Bytes>>;

/// A plain-text response that this host generates itself.
pub fn plain_text(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    answer
}

/// A 503 response for a request that was not executed and will not be. The
/// caller may retry after `retry_after`, sent as seconds with two decimals.
pub fn unavailable(text: &'static str, retry_after: Duration) -> Answer {
    let mut answer = plain_text(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.2}", retry_after.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// Forwards a backend server's status, end-to-end headers and body unchanged.
pub fn from_reply(reply: Reply) -> Answer {
    let headers = reply.headers();
    let mut answer = Response::new(Full::new(reply.body));
    // Cannot fail: the parser accepts the status codes of HTTP only.
    *answer.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = headers;
    answer
}

/// The merged result of a query over several shards: `body` holds the merged
/// records, `missing` counts the shards without a reply.
pub fn merged(
    body: Vec<u8>,
    stamps: &[HeaderValue],
    missing: usize,
    names: &HeaderNames,
) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let headers = answer.headers_mut();
    for stamp in stamps {
        headers.append(names.part_stamps.clone(), stamp.clone());
    }
    headers.insert(names.missing_parts.clone(), HeaderValue::from(missing));
    answer
}
