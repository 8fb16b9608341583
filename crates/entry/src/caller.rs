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
pub const MAX_BODY: usize = 256 * 1024;

/// Largest sum of the headers of a request, in bytes.
pub const MAX_HEADERS: usize = 16 * 1024;

/// Longest timeout of a request.
pub const MAX_TIMEOUT: Duration = Duration::from_secs(10);

/// Timeout of a request that sets none.
pub const DEFAULT_TIMEOUT: Duration = Duration::from_secs(1);

/// Age at which an idempotency key is refused: its record is deleted then.
pub const KEY_RETENTION: Duration = Duration::from_secs(3600);

/// How far in the future an idempotency key may be.
pub const KEY_SKEW: Duration = Duration::from_secs(60);

/// Bounds of the length of an idempotency key's random part.
const KEY_RANDOM: std::ops::RangeInclusive<usize> = 8..=64;

/// Why a request is refused as invalid.
#[derive(Debug, Snafu)]
pub enum CallerError {
    /// A header is not printable ASCII.
    #[snafu(display("header {name} is not readable; send printable ASCII"))]
    Encoding {
        /// Name of the header.
        name: &'static str,
        /// Cause.
        source: warp::http::header::ToStrError,
    },
    /// The timeout is not a number within the bounds.
    #[snafu(display("x-timeout-ms {value:?} is not usable; send a number from 1 to 10000"))]
    Timeout {
        /// Value sent.
        value: Box<str>,
    },
    /// The deadline has passed already.
    #[snafu(display("the deadline is already past; send x-timeout-ms of at least 1"))]
    Past,
    /// The coverage is not a ratio.
    #[snafu(display("x-min-coverage {value:?} is not usable; send a ratio from 0 to 1"))]
    MinCoverage {
        /// Value sent.
        value: Box<str>,
    },
    /// The key is missing.
    #[snafu(display("idempotency-key is missing; send <unix seconds>-<random>"))]
    NoKey,
    /// The key is malformed.
    #[snafu(display(
        "idempotency-key is malformed; send <unix seconds>-<random> with 8 to 64 letters or digits"
    ))]
    Key,
    /// The key is too old.
    #[snafu(display("idempotency-key is older than an hour; send a request with a new key"))]
    OldKey,
    /// The key lies in the future.
    #[snafu(display("idempotency-key lies over 60 s in the future; check the caller's clock"))]
    FutureKey,
    /// The body is too large.
    #[snafu(display("the body is too large; send at most 262144 bytes"))]
    Body,
    /// The body has no stated length.
    #[snafu(display("the length of the body is missing; send a content-length header"))]
    Length,
    /// The body is not text.
    #[snafu(display("the body is not UTF-8; send text"))]
    Text {
        /// Cause.
        source: std::str::Utf8Error,
    },
    /// The headers are too large.
    #[snafu(display("the headers are too large; send at most 16384 bytes"))]
    Headers,
    /// The catalog does not list the service.
    #[snafu(display("service {service:?} is unknown; use a name from the configuration"))]
    Service {
        /// Name sent.
        service: Box<str>,
    },
    /// The agent refused the key.
    #[snafu(display("idempotency-key is refused; {remedy}"))]
    Refused {
        /// What to do.
        remedy: Box<str>,
    },
    /// The path is unknown.
    #[snafu(display("the path is unknown; use POST /query/<service> or POST /run/<service>"))]
    Path,
    /// The method is wrong.
    #[snafu(display("the method is not supported; use POST"))]
    Method,
    /// The request cannot be read.
    #[snafu(display("the request cannot be read; check its headers and body"))]
    Malformed,
}

impl CallerError {
    /// Stable name of the kind, for programs.
    pub fn kind(&self) -> &'static str {
        match self {
            CallerError::Encoding { .. } => "header_encoding",
            CallerError::Timeout { .. } => "bad_timeout",
            CallerError::Past => "deadline_past",
            CallerError::MinCoverage { .. } => "bad_min_coverage",
            CallerError::NoKey => "key_missing",
            CallerError::Key => "key_malformed",
            CallerError::OldKey => "key_too_old",
            CallerError::FutureKey => "key_in_future",
            CallerError::Body => "body_too_large",
            CallerError::Length => "length_missing",
            CallerError::Text { .. } => "body_not_text",
            CallerError::Headers => "headers_too_large",
            CallerError::Service { .. } => "unknown_service",
            CallerError::Refused { .. } => "key_refused",
            CallerError::Path => "unknown_path",
            CallerError::Method => "wrong_method",
            CallerError::Malformed => "malformed",
        }
    }

    /// HTTP status.
    pub fn status(&self) -> StatusCode {
        match self {
            CallerError::Body => StatusCode::PAYLOAD_TOO_LARGE,
            CallerError::Length => StatusCode::LENGTH_REQUIRED,
            CallerError::Headers => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
            CallerError::Service { .. } | CallerError::Path => StatusCode::NOT_FOUND,
            CallerError::Method => StatusCode::METHOD_NOT_ALLOWED,
            _ => StatusCode::BAD_REQUEST,
        }
    }
}

/// Headers of a request, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerHeaders {
    /// How long the caller waits.
    pub timeout: Duration,
    /// Coverage below which the caller wants no answer.
    pub min_coverage: f64,
    /// W3C trace context.
    pub trace: Option<Box<str>>,
}

/// Checks the headers that all requests share.
pub fn headers(headers: &HeaderMap) -> Result<CallerHeaders, CallerError> {
    let size: usize = headers.iter().map(|(n, v)| n.as_str().len() + v.len()).sum();
    ensure!(size <= MAX_HEADERS, HeadersSnafu);
    let timeout = text(headers, "x-timeout-ms")?.map(timeout).transpose()?;
    let min_coverage = text(headers, "x-min-coverage")?.map(min_coverage).transpose()?;
    // A malformed trace context is ignored, as its specification asks.
    let trace = headers.get("traceparent").and_then(|v| v.to_str().ok()).map(Box::from);
    Ok(CallerHeaders {
        timeout: timeout.unwrap_or(DEFAULT_TIMEOUT),
        min_coverage: min_coverage.unwrap_or(0.0),
        trace,
    })
}

/// Checks the idempotency key against the wall clock.
pub fn key(headers: &HeaderMap, wall: SystemTime) -> Result<Box<str>, CallerError> {
    let key = text(headers, "idempotency-key")?.context(NoKeySnafu)?;
    let (seconds, random) = key.split_once('-').context(KeySnafu)?;
    let digits = !seconds.is_empty() && seconds.bytes().all(|b| b.is_ascii_digit());
    let plain = random.bytes().all(|b| b.is_ascii_alphanumeric() || b == b'-' || b == b'_');
    ensure!(digits && plain && KEY_RANDOM.contains(&random.len()), KeySnafu);
    let seconds: u64 = seconds.parse().ok().context(KeySnafu)?;
    let now = wall.duration_since(UNIX_EPOCH).unwrap_or_default().as_secs();
    ensure!(seconds.saturating_add(KEY_RETENTION.as_secs()) >= now, OldKeySnafu);
    ensure!(seconds <= now + KEY_SKEW.as_secs(), FutureKeySnafu);
    Ok(key.into())
}

/// Checks a body.
pub fn body(bytes: &[u8]) -> Result<Box<str>, CallerError> {
    ensure!(bytes.len() <= MAX_BODY, BodySnafu);
    Ok(std::str::from_utf8(bytes).context(TextSnafu)?.into())
}

fn text<'a>(headers: &'a HeaderMap, name: &'static str) -> Result<Option<&'a str>, CallerError> {
    headers.get(name).map(|v| v.to_str().context(EncodingSnafu { name })).transpose()
}

fn timeout(value: &str) -> Result<Duration, CallerError> {
    let millis: u64 = value.trim().parse().ok().context(TimeoutSnafu { value })?;
    ensure!(millis > 0, PastSnafu);
    let timeout = Duration::from_millis(millis);
    ensure!(timeout <= MAX_TIMEOUT, TimeoutSnafu { value });
    Ok(timeout)
}

fn min_coverage(value: &str) -> Result<f64, CallerError> {
    let ratio: f64 = value.trim().parse().ok().context(MinCoverageSnafu { value })?;
    ensure!((0.0..=1.0).contains(&ratio), MinCoverageSnafu { value });
    Ok(ratio)
}
