//! Answers to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Response;
use hyper::StatusCode;
use hyper::header;
use hyper::header::HeaderValue;

use crate::names::HeaderNames;
use crate::reply::Reply;

/// Answer to a caller.
pub type Answer = Response<Full<Bytes>>;

/// An answer of this host's own.
pub fn own(status: StatusCode, text: &'static str) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *answer.status_mut() = status;
    let plain = HeaderValue::from_static("text/plain");
    answer.headers_mut().insert(header::CONTENT_TYPE, plain);
    answer
}

/// A refusal of a request that has not run and will not run; the caller may
/// come back after `pause`.
pub fn refusal(text: &'static str, pause: Duration) -> Answer {
    let mut answer = own(StatusCode::SERVICE_UNAVAILABLE, text);
    let seconds = format!("{:.2}", pause.as_secs_f64());
    if let Ok(value) = HeaderValue::try_from(seconds) {
        answer.headers_mut().insert(header::RETRY_AFTER, value);
    }
    answer
}

/// A backend server's reply, passed on unchanged.
pub fn passed_on(reply: Reply) -> Answer {
    let headers = reply.headers();
    let mut answer = Response::new(Full::new(reply.body));
    // The parser accepts codes of three digits only.
    *answer.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::BAD_GATEWAY);
    *answer.headers_mut() = headers;
    answer
}

/// The answer made of the parts of several shards.
pub fn gathered(
    body: Vec<u8>,
    stamps: &[HeaderValue],
    missing: usize,
    names: &HeaderNames,
) -> Answer {
    let mut answer = Response::new(Full::new(Bytes::from(body)));
    let headers = answer.headers_mut();
    for stamp in stamps {
        headers.append(names.parts.clone(), stamp.clone());
    }
    headers.insert(names.missing.clone(), HeaderValue::from(missing));
    answer
}
