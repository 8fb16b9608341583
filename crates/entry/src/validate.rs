//! Validates the headers and body of a request before any work is started.

use std::time::Duration;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;
use snafu::ensure;
use warp::http::HeaderMap;
use warp::http::StatusCode;

/// Maximum size of a request body.
pub const MAX_BODY_BYTES: usize = 256 * 1024;

/// Maximum total size of the header names and values of a request.
pub const MAX_HEADERS_BYTES: usize = 16 * 1024;

/// Maximum timeout that a request may set.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request without an `x-timeout-ms` header.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Maximum age of an idempotency key. Records of older keys are deleted, so a
/// repeated run could no longer be detected.
pub const KEY_RETENTION: Duration = Duration::from_secs(3600);

/// Maximum time by which an idempotency key may lie in the future, which allows
/// for clock skew between caller and host.
pub const MAX_KEY_SKEW: Duration = Duration::from_secs(60);

/// Length of the random part of an idempotency key, in characters.
const KEY_RANDOM_LEN: std::ops::RangeInclusive<usize> = 8..=64;

/// Why a request is invalid.
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
    /// The timeout is not an integer from 1 to [`MAX_TIMEOUT`].
    #[snafu(display("x-timeout-ms {value:?} is not usable; send a number from 1 to 10000"))]
    BadTimeout {
        /// Value sent.
        value: Box<str>,
    },
    /// The timeout is 0, so the deadline has passed already.
    #[snafu(display("the deadline is already past; send x-timeout-ms of at least 1"))]
    DeadlinePassed,
    /// The minimum coverage is not a ratio from 0 to 1.
    #[snafu(display("x-min-coverage {value:?} is not usable; send a ratio from 0 to 1"))]
    BadMinCoverage {
        /// Value sent.
        value: Box<str>,
    },
    /// A run request has no idempotency key.
    #[snafu(display("idempotency-key is missing; send <unix seconds>-<random>"))]
    MissingKey,
    /// The idempotency key is not `<unix seconds>-<random>`.
    #[snafu(display(
        "idempotency-key is malformed; send <unix seconds>-<random> with 8 to 64 letters or digits"
    ))]
    MalformedKey,
    /// The idempotency key is older than [`KEY_RETENTION`].
    #[snafu(display("idempotency-key is older than an hour; send a request with a new key"))]
    ExpiredKey,
    /// The idempotency key lies more than [`MAX_KEY_SKEW`] in the future.
    #[snafu(display("idempotency-key lies over 60 s in the future; check the caller's clock"))]
    FutureKey,
    /// The body exceeds [`MAX_BODY_BYTES`].
    #[snafu(display("the body is too large; send at most 262144 bytes"))]
    BodyTooLarge,
    /// The request has no content length.
    #[snafu(display("the length of the body is missing; send a content-length header"))]
    MissingLength,
    /// The body is not UTF-8.
    #[snafu(display("the body is not UTF-8; send text"))]
    BodyNotUtf8 {
        /// Cause.
        source: std::str::Utf8Error,
    },
    /// The headers exceed [`MAX_HEADERS_BYTES`].
    #[snafu(display("the headers are too large; send at most 16384 bytes"))]
    HeadersTooLarge,
    /// The catalog does not list the service.
    #[snafu(display("service {service:?} is unknown; use a name from the configuration"))]
    UnknownService {
        /// Name sent.
        service: Box<str>,
    },
    /// The agent rejected the idempotency key.
    #[snafu(display("idempotency-key is refused; {remedy}"))]
    RejectedKey {
        /// What the caller can do about it.
        remedy: Box<str>,
    },
    /// No endpoint has this path.
    #[snafu(display("the path is unknown; use POST /query/<service> or POST /run/<service>"))]
    UnknownPath,
    /// The method is not POST.
    #[snafu(display("the method is not supported; use POST"))]
    UnsupportedMethod,
    /// The request could not be read for another reason.
    #[snafu(display("the request cannot be read; check its headers and body"))]
    Malformed,
}

impl RequestError {
    /// Stable name of the error, which callers' programs can match on.
    pub fn code(&self) -> &'static str {
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

    /// HTTP status of the response.
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

/// Validated headers of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHeaders {
    /// How long the caller waits for the response.
    pub timeout: Duration,
    /// Share of answered shards below which the caller wants no rows, from 0 to 1.
    pub min_coverage: f64,
    /// W3C trace context, if the caller sent one.
    pub trace: Option<Box<str>>,
}

/// Validates the headers that queries and runs have in common.
pub fn headers(headers: &HeaderMap) -> Result<RequestHeaders, RequestError> {
    let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    ensure!(size <= MAX_HEADERS_BYTES, HeadersTooLargeSnafu);
    let timeout = header(headers, "x-timeout-ms")?.map(parse_timeout).transpose()?;
    let min_coverage = header(headers, "x-min-coverage")?.map(parse_min_coverage).transpose()?;
    // The W3C specification asks for a malformed trace context to be ignored.
    let trace = headers.get("traceparent").and_then(|v| v.to_str().ok()).map(Box::from);
    Ok(RequestHeaders {
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        min_coverage: min_coverage.unwrap_or(0.0),
        trace,
    })
}

/// Validates the idempotency key; its timestamp is compared with `wall_time`.
pub fn idempotency_key(
    headers: &HeaderMap,
    wall_time: SystemTime,
) -> Result<Box<str>, RequestError> {
    let key = header(headers, "idempotency-key")?.context(MissingKeySnafu)?;
    let (seconds, random) = key.split_once('-').context(MalformedKeySnafu)?;
    let digits = !seconds.is_empty() && seconds.bytes().all(|b| b.is_ascii_digit());
    let valid_chars = random.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    ensure!(digits && valid_chars && KEY_RANDOM_LEN.contains(&random.len()), MalformedKeySnafu);
    let seconds: u64 = seconds.parse().ok().context(MalformedKeySnafu)?;
    let now = wall_time.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    ensure!(seconds.saturating_add(KEY_RETENTION.as_secs()) >= now, ExpiredKeySnafu);
    ensure!(seconds <= now + MAX_KEY_SKEW.as_secs(), FutureKeySnafu);
    Ok(key.into())
}

/// Validates the size and encoding of a body.
pub fn body(bytes: &[u8]) -> Result<Box<str>, RequestError> {
    ensure!(bytes.len() <= MAX_BODY_BYTES, BodyTooLargeSnafu);
    Ok(std::str::from_utf8(bytes).context(BodyNotUtf8Snafu)?.into())
}

fn header<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, RequestError> {
    headers.get(name).map(|v| v.to_str().context(HeaderEncodingSnafu { name })).transpose()
}

fn parse_timeout(value: &str) -> Result<Duration, RequestError> {
    let millis: u64 = value.trim().parse().ok().context(BadTimeoutSnafu { value })?;
    ensure!(millis > 0, DeadlinePassedSnafu);
    let timeout = Duration::from_millis(millis);
    ensure!(timeout <= MAX_TIMEOUT, BadTimeoutSnafu { value });
    Ok(timeout)
}

fn parse_min_coverage(value: &str) -> Result<f64, RequestError> {
    let ratio: f64 = value.trim().parse().ok().context(BadMinCoverageSnafu { value })?;
    ensure!((0.0..=1.0).contains(&ratio), BadMinCoverageSnafu { value });
    Ok(ratio)
}
