//! Checks what a caller sends before any work is started.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use snafu::ensure;
use warp::http::HeaderMap;
use warp::http::StatusCode;

/// Largest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// Largest sum of the headers of a request, in bytes.
pub const MAX_HEADERS_BYTES: usize = 16 * 1024;

/// Longest timeout of a request.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request that sets none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Age at which an idempotency key is refused: its record is deleted then.
pub const KEY_RETENTION: Duration = Duration::from_secs(3600);

/// How far in the future an idempotency key may be.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(60);

/// Bounds of the length of an idempotency key's random part.
const KEY_RANDOM_LEN: std::ops::RangeInclusive<usize> = 8..=64;

/// Why a request is refused as invalid.
#[derive(Debug, Snafu)]
pub enum RequestError {
    /// A header is not printable ASCII.
    #[snafu(display("header {name} is not readable; send printable ASCII"))]
    HeaderEncoding {
        /// Name of the header.
        name: &'static str,
        /// Cause.
        source: warp::http::header::ToStrError,
    },
    /// The timeout is not a number within the bounds.
    #[snafu(display("x-timeout-ms {value:?} is not usable; send a number from 1 to 10000"))]
    BadTimeout {
        /// Value sent.
        value: Box<str>,
    },
    /// The deadline has passed already.
    #[snafu(display("the deadline is already past; send x-timeout-ms of at least 1"))]
    DeadlinePassed,
    /// The coverage is not a ratio.
    #[snafu(display("x-min-coverage {value:?} is not usable; send a ratio from 0 to 1"))]
    BadMinCoverage {
        /// Value sent.
        value: Box<str>,
    },
    /// The key is missing.
    #[snafu(display("idempotency-key is missing; send <unix seconds>-<random>"))]
    MissingKey,
    /// The key is malformed.
    #[snafu(display(
        "idempotency-key is malformed; send <unix seconds>-<random> with 8 to 64 letters or digits"
    ))]
    MalformedKey,
    /// The key is too old.
    #[snafu(display("idempotency-key is older than an hour; send a request with a new key"))]
    ExpiredKey,
    /// The key lies in the future.
    #[snafu(display("idempotency-key lies over 60 s in the future; check the caller's clock"))]
    FutureKey,
    /// The body is too large.
    #[snafu(display("the body is too large; send at most 262144 bytes"))]
    BodyTooLarge,
    /// The body has no stated length.
    #[snafu(display("the length of the body is missing; send a content-length header"))]
    MissingLength,
    /// The body is not text.
    #[snafu(display("the body is not UTF-8; send text"))]
    BodyNotUtf8 {
        /// Cause.
        source: std::str::Utf8Error,
    },
    /// The headers are too large.
    #[snafu(display("the headers are too large; send at most 16384 bytes"))]
    HeadersTooLarge,
    /// The catalog does not list the service.
    #[snafu(display("service {service:?} is unknown; use a name from the configuration"))]
    UnknownService {
        /// Name sent.
        service: Box<str>,
    },
    /// The agent refused the key.
    #[snafu(display("idempotency-key is refused; {remedy}"))]
    RejectedKey {
        /// What to do.
        remedy: Box<str>,
    },
    /// The path is unknown.
    #[snafu(display("the path is unknown; use POST /query/<service> or POST /run/<service>"))]
    UnknownPath,
    /// The method is wrong.
    #[snafu(display("the method is not supported; use POST"))]
    UnsupportedMethod,
    /// The request cannot be read.
    #[snafu(display("the request cannot be read; check its headers and body"))]
    Malformed,
}

impl RequestError {
    /// Stable name of the kind, for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            RequestError::HeaderEncoding { .. } => "header_encoding",
            RequestError::BadTimeout { .. } => "bad_timeout",
            RequestError::DeadlinePassed => "deadline_past",
            RequestError::BadMinCoverage { .. } => "bad_min_coverage",
            RequestError::MissingKey => "key_missing",
            RequestError::MalformedKey => "key_malformed",
            RequestError::ExpiredKey => "key_too_old",
            RequestError::FutureKey => "key_in_future",
            RequestError::BodyTooLarge => "body_too_large",
            RequestError::MissingLength => "length_missing",
            RequestError::BodyNotUtf8 { .. } => "body_not_text",
            RequestError::HeadersTooLarge => "headers_too_large",
            RequestError::UnknownService { .. } => "unknown_service",
            RequestError::RejectedKey { .. } => "key_refused",
            RequestError::UnknownPath => "unknown_path",
            RequestError::UnsupportedMethod => "wrong_method",
            RequestError::Malformed => "malformed",
        }
    }

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            RequestError::BodyTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            RequestError::MissingLength => StatusCode::LENGTH_REQUIRED,
            RequestError::HeadersTooLarge => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            RequestError::UnknownService { .. } | RequestError::UnknownPath => {
                StatusCode::NOT_FOUND
            }
            RequestError::UnsupportedMethod => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Headers of a request, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHeaders {
    /// How long the caller waits.
    pub timeout: Duration,
    /// Coverage below which the caller wants no answer.
    pub min_coverage: f64,
    /// W3C trace context.
    pub trace: Option<Box<str>>,
}

/// Checks the headers that all requests share.
pub fn headers(headers: &HeaderMap) -> Result<RequestHeaders, RequestError> {
    let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    ensure!(size <= MAX_HEADERS_BYTES, HeadersTooLargeSnafu);
    let timeout = text(headers, "x-timeout-ms")?.map(timeout).transpose()?;
    let min_coverage = text(headers, "x-min-coverage")?.map(min_coverage).transpose()?;
    // A malformed trace context is ignored, as its specification asks.
    let trace = headers.get("traceparent").and_then(|v| v.to_str().ok()).map(Box::from);
    Ok(RequestHeaders {
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        min_coverage: min_coverage.unwrap_or(0.0),
        trace,
    })
}

/// Checks the idempotency key against the wall clock.
pub fn idempotency_key(headers: &HeaderMap, wall: SystemTime) -> Result<Box<str>, RequestError> {
    let key = text(headers, "idempotency-key")?.context(MissingKeySnafu)?;
    let (seconds, random) = key.split_once('-').context(MalformedKeySnafu)?;
    let digits = !seconds.is_empty() && seconds.bytes().all(|b| b.is_ascii_digit());
    let plain = random.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    ensure!(digits && plain && KEY_RANDOM_LEN.contains(&random.len()), MalformedKeySnafu);
    let seconds: u64 = seconds.parse().ok().context(MalformedKeySnafu)?;
    let now = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    ensure!(seconds.saturating_add(KEY_RETENTION.as_secs()) >= now, ExpiredKeySnafu);
    ensure!(seconds <= now + MAX_KEY_SKEW.as_secs(), FutureKeySnafu);
    Ok(key.into())
}

/// Checks a body.
pub fn body(bytes: &[u8]) -> Result<Box<str>, RequestError> {
    ensure!(bytes.len() <= MAX_BODY_BYTES, BodyTooLargeSnafu);
    Ok(std::str::from_utf8(bytes).context(BodyNotUtf8Snafu)?.into())
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    headers.get(name).map(|v| v.to_str().context(HeaderEncodingSnafu { name })).transpose()
}

fn timeout(value: &str) -> Result<Duration, RequestError> {
    let millis: u64 = value.trim().parse().ok().context(BadTimeoutSnafu { value })?;
    ensure!(millis > 0, DeadlinePassedSnafu);
    let timeout = Duration::from_millis(millis);
    ensure!(timeout <= MAX_TIMEOUT, BadTimeoutSnafu { value });
    Ok(timeout)
}

fn min_coverage(value: &str) -> Result<f64, RequestError> {
    let ratio: f64 = value.trim().parse().ok().context(BadMinCoverageSnafu { value })?;
    ensure!((0.0..=1.0).contains(&ratio), BadMinCoverageSnafu { value });
    Ok(ratio)
}
