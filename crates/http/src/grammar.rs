//! Grammar of replies: their heads, and the lines between the chunks of their bodies.
//!
//! `httparse` accepts more than the grammar of HTTP/1.1 (RFC 9112). What goes beyond it is no
//! reply here: a faulty server may have sent it, and a guess at what it means
//! may give callers a body that is not that server's.

use std::ops::RangeInclusive;
use std::str;

use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::error::ExchangeError;

/// Maximum number of headers of a reply.
pub const MAX_HEADERS: usize = 64;

/// Status codes of HTTP (RFC 9110, section 15).
const STATUS_CODES: RangeInclusive<u16> = 100..=599;

/// HTTP status 101 Switching Protocols.
const SWITCHING_PROTOCOLS: u16 = 101;

/// HTTP status 204 No Content.
const NO_CONTENT: u16 = 204;

/// HTTP status 304 Not Modified, whose length is that of a body that it does not have.
const NOT_MODIFIED: u16 = 304;

/// How the end of a reply's body is determined.
#[derive(Clone, Copy, Debug)]
pub enum Framing {
    /// It has no body.
    NoBody,
    /// After this number of bytes.
    Length(usize),
    /// With the last chunk.
    Chunked,
    /// With the connection.
    UntilEof,
}

/// Head of a reply as the grammar allows it.
#[derive(Debug)]
pub struct MessageHead<'h, 'b> {
    /// Length in bytes, with the empty line at the end.
    pub size: usize,
    /// Status code.
    pub status: u16,
    /// Whether the connection ends after the reply, as it says or since it is of HTTP/1.0.
    pub closes: bool,
    /// How the end of the body is determined, unless the request was HEAD.
    pub framing: Framing,
    /// Headers.
    pub headers: &'h [httparse::Header<'b>],
}

impl MessageHead<'_, '_> {
    /// All headers.
    pub fn header_map(&self) -> HeaderMap {
        let mut all = HeaderMap::new();
        for header in self.headers {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                all.append(name, value);
            }
        }
        all
    }
}

/// Parses the head at the start of `buffer`; `None` if it is incomplete.
pub fn parse_head<'h, 'b>(
    buffer: &'b [u8],
    headers: &'h mut [httparse::Header<'b>; MAX_HEADERS],
) -> Result<Option<MessageHead<'h, 'b>>, ExchangeError> {
    let mut parsed = httparse::Response::new(headers);
    let size = match parsed.parse(buffer) {
        Ok(httparse::Status::Complete(size)) => {
            check_line_ends(&buffer[..size])?;
            check_status_line(&buffer[..size])?;
            size
        }
        Ok(httparse::Status::Partial) => {
            check_line_ends(buffer)?;
            return Ok(None);
        }
        Err(_) => return Err(invalid("malformed head, or more than 64 headers")),
    };
    let status = parsed.code.filter(|code| STATUS_CODES.contains(code));
    let status = status.ok_or(invalid("invalid status code"))?;
    if status == SWITCHING_PROTOCOLS {
        return Err(invalid("unsolicited switch of protocols"));
    }
    let is_http_1_0 = parsed.version == Some(0);
    let headers: &[httparse::Header<'_>] = parsed.headers;
    let framing = framing(status, is_http_1_0, headers)?;
    let closes = is_http_1_0 || headers.iter().any(closes_connection);
    Ok(Some(MessageHead { size, status, closes, framing, headers }))
}

fn invalid(reason: &'static str) -> ExchangeError {
    ExchangeError::InvalidReply { reason }
}

/// How the end of the body is determined that follows a head.
fn framing(
    status: u16,
    is_http_1_0: bool,
    headers: &[httparse::Header<'_>],
) -> Result<Framing, ExchangeError> {
    let (mut content_length, mut is_chunked) = (None, false);
    for header in headers {
        let is = |name: &HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        if is(&header::CONTENT_LENGTH) {
            let length = parse_length(header.value);
            if length.is_none() || content_length.is_some_and(|l| Some(l) != length) {
                return Err(invalid("content-length malformed or repeated with another value"));
            }
            content_length = length;
        } else if is(&header::TRANSFER_ENCODING) {
            // No request allows other codings, and a body is chunked once at most.
            if is_chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(invalid("unknown transfer coding"));
            }
            is_chunked = true;
        }
    }
    if is_chunked && (content_length.is_some() || is_http_1_0) {
        return Err(invalid("end of the body stated in two ways"));
    }
    let never_has_body = status < 200 || status == NO_CONTENT;
    if never_has_body && (is_chunked || content_length.is_some_and(|l| l > 0)) {
        return Err(invalid("body of a status that has none"));
    }
    Ok(match content_length {
        _ if never_has_body || status == NOT_MODIFIED => Framing::NoBody,
        _ if is_chunked => Framing::Chunked,
        Some(length) => Framing::Length(length),
        None => Framing::UntilEof,
    })
}

/// Parses a `content-length`, which consists of digits only; Rust's integers may have a sign.
fn parse_length(value: &[u8]) -> Option<usize> {
    let digits = value.iter().all(u8::is_ascii_digit).then_some(value)?;
    str::from_utf8(digits).ok()?.parse().ok()
}

/// Checks the parts of a status line that `httparse` leaves open: it skips empty lines before
/// it, and does not require the space after the status code.
fn check_status_line(head: &[u8]) -> Result<(), ExchangeError> {
    let after_code = "HTTP/1.1 200".len();
    if !head.starts_with(b"HTTP/") || head.get(after_code) != Some(&b' ') {
        return Err(invalid("malformed status line"));
    }
    Ok(())
}

/// Checks that each line of a head ends with CRLF. `httparse` also takes a line feed alone for
/// the end of a line, and two of them for the end of the head.
fn check_line_ends(head: &[u8]) -> Result<(), ExchangeError> {
    let mut before = 0;
    for &byte in head {
        if byte == b'\n' && before != b'\r' {
            return Err(invalid("line feed without carriage return"));
        }
        before = byte;
    }
    Ok(())
}

/// Parses the line with the size of a chunk at the start of `buffer` and returns the length of
/// the line with that size; `None` if it is incomplete.
pub fn parse_chunk_size(buffer: &[u8]) -> Result<Option<(usize, usize)>, ExchangeError> {
    let malformed = invalid("malformed chunk size");
    let (used, size) = match httparse::parse_chunk_size(buffer) {
        Ok(httparse::Status::Complete(parsed)) => parsed,
        Ok(httparse::Status::Partial) => return Ok(None),
        Err(_) => return Err(malformed),
    };
    // httparse takes no digits for zero, and any byte in an extension.
    let line = buffer[..used].strip_suffix(b"\r\n").unwrap_or_default();
    let digits = line.iter().take_while(|b| b.is_ascii_hexdigit()).count();
    let extension = &line[digits..];
    let is_extension = extension.is_empty() || extension.trim_ascii_start().starts_with(b";");
    let has_control = extension.iter().any(|b| b.is_ascii_control() && *b != b'\t');
    match usize::try_from(size) {
        Ok(size) if digits > 0 && is_extension && !has_control => Ok(Some((used, size))),
        _ => Err(malformed),
    }
}

/// Checks the trailers after a chunked body, at the start of `buffer`, and returns their length
/// with the empty line that ends them; `None` if they are incomplete.
pub fn parse_trailers(buffer: &[u8]) -> Result<Option<usize>, ExchangeError> {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(buffer, &mut trailers) {
        Ok(httparse::Status::Complete((size, _))) => {
            check_line_ends(&buffer[..size])?;
            Ok(Some(size))
        }
        Ok(httparse::Status::Partial) => {
            check_line_ends(buffer)?;
            Ok(None)
        }
        Err(_) => Err(invalid("malformed trailer, or more than 64 trailers")),
    }
}

/// Whether a header is `connection` with the option `close`.
fn closes_connection(header: &httparse::Header<'_>) -> bool {
    let options = str::from_utf8(header.value).unwrap_or_default().split(',');
    header.name.eq_ignore_ascii_case(header::CONNECTION.as_str())
        && options.into_iter().any(|option| option.trim().eq_ignore_ascii_case("close"))
}
