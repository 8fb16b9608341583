//! Parsing of the heads of replies, and of the lines between the chunks of a body.
//!
//! `httparse` accepts more than the grammar of HTTP/1.1 (RFC 9112). What goes beyond it is no
//! reply here: a backend server in trouble may have sent it, and a guess at what it stands for
//! may give callers a body that is not that server's.

use std::ops::RangeInclusive;
use std::str;
use std::time::Duration;

use chervil_route::health::Load;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::exchange::ExchangeError;
use crate::names::HeaderNames;
use crate::outgoing::KEEP_ALIVE;
use crate::outgoing::Outgoing;
use crate::reply;
use crate::reply::LimitHeader;
use crate::reply::Reply;

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

/// Head of a reply.
pub struct Head {
    /// The reply, without its body.
    pub reply: Reply,
    /// How the end of its body is determined.
    pub framing: Framing,
    /// Whether the reply carries the id of the request that was sent; None if it
    /// carries no id.
    pub matches_request: Option<bool>,
}

/// Parses the head at the start of `buffer` and returns it with its size in
/// bytes; `None` if it is incomplete.
pub fn parse(
    buffer: &[u8],
    request: &Outgoing,
    names: &HeaderNames,
) -> Result<Option<(usize, Head)>, ExchangeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut parsed = httparse::Response::new(&mut headers);
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
        Err(_) => {
            return Err(ExchangeError::InvalidReply {
                reason: "malformed head, or more than 64 headers",
            });
        }
    };
    let status = parsed.code.filter(|code| STATUS_CODES.contains(code));
    let status = status.ok_or(ExchangeError::InvalidReply { reason: "invalid status code" })?;
    if status == SWITCHING_PROTOCOLS {
        return Err(ExchangeError::InvalidReply { reason: "unsolicited switch of protocols" });
    }
    let mut reply = Reply::new(status);
    reply.closes = parsed.version == Some(0);
    let mut fields =
        HeaderFields { reply, content_length: None, is_chunked: false, matches_request: None };
    for header in parsed.headers.iter() {
        fields.apply(header, request, names)?;
    }
    let HeaderFields { mut reply, content_length, is_chunked, matches_request } = fields;
    let text = |name: &HeaderName| {
        let header = parsed.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name.as_str()))?;
        str::from_utf8(header.value).ok().map(str::trim)
    };
    let retry_after = text(&header::RETRY_AFTER);
    reply.pause = retry_after.and_then(|t| reply::parse_retry_after(t, text(&header::DATE)));
    if is_chunked && (content_length.is_some() || parsed.version == Some(0)) {
        return Err(ExchangeError::InvalidReply { reason: "end of the body stated in two ways" });
    }
    let never_has_body = status < 200 || status == NO_CONTENT;
    if never_has_body && (is_chunked || content_length.is_some_and(|l| l > 0)) {
        return Err(ExchangeError::InvalidReply { reason: "body of a status that has none" });
    }
    let framing = match content_length {
        _ if never_has_body || request.expects_no_body || status == NOT_MODIFIED => Framing::NoBody,
        _ if is_chunked => Framing::Chunked,
        Some(length) => Framing::Length(length),
        None => Framing::UntilEof,
    };
    Ok(Some((size, Head { reply, framing, matches_request })))
}

/// Checks the parts of a status line that `httparse` leaves open: it skips empty lines before
/// it, and does not require the space after the status code.
fn check_status_line(head: &[u8]) -> Result<(), ExchangeError> {
    let after_code = "HTTP/1.1 200".len();
    if !head.starts_with(b"HTTP/") || head.get(after_code) != Some(&b' ') {
        return Err(ExchangeError::InvalidReply { reason: "malformed status line" });
    }
    Ok(())
}

/// Checks that each line of a head ends with CRLF. `httparse` also takes a line feed alone for
/// the end of a line, and two of them for the end of the head.
fn check_line_ends(head: &[u8]) -> Result<(), ExchangeError> {
    let mut before = 0;
    for &byte in head {
        if byte == b'\n' && before != b'\r' {
            return Err(ExchangeError::InvalidReply {
                reason: "line feed without carriage return",
            });
        }
        before = byte;
    }
    Ok(())
}

/// Parses the line with the size of a chunk at the start of `buffer` and returns the length of
/// the line with that size; `None` if it is incomplete.
pub fn parse_chunk_size(buffer: &[u8]) -> Result<Option<(usize, usize)>, ExchangeError> {
    let malformed = ExchangeError::InvalidReply { reason: "malformed chunk size" };
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
        Err(_) => {
            let reason = "malformed trailer, or more than 64 trailers";
            Err(ExchangeError::InvalidReply { reason })
        }
    }
}

/// What the headers parsed so far say about a reply.
struct HeaderFields {
    reply: Reply,
    content_length: Option<usize>,
    is_chunked: bool,
    matches_request: Option<bool>,
}

impl HeaderFields {
    /// Takes over one header; headers that do not matter here are ignored.
    fn apply(
        &mut self,
        header: &httparse::Header<'_>,
        request: &Outgoing,
        names: &HeaderNames,
    ) -> Result<(), ExchangeError> {
        let is = |name: &HeaderName| header.name.eq_ignore_ascii_case(name.as_str());
        let text = || str::from_utf8(header.value).unwrap_or_default().trim();
        let reply = &mut self.reply;
        if is(&names.request_id) {
            let matches = header.value == &*request.request_id;
            self.matches_request = Some(matches && self.matches_request != Some(false));
        } else if is(&names.stamp) {
            let stamp = HeaderValue::from_bytes(header.value).ok();
            reply.stamp = Some(
                stamp.ok_or(ExchangeError::InvalidReply { reason: "malformed response stamp" })?,
            );
        } else if is(&names.load) {
            reply.load = parse_load(text());
        } else if is(&header::CONTENT_LENGTH) {
            let size = parse_length(header.value);
            if size.is_none() || self.content_length.is_some_and(|l| Some(l) != size) {
                return Err(ExchangeError::InvalidReply {
                    reason: "content-length malformed or repeated with another value",
                });
            }
            self.content_length = size;
        } else if is(&header::TRANSFER_ENCODING) {
            // No request allows other codings, and a body is chunked once at most.
            if self.is_chunked || !header.value.eq_ignore_ascii_case(b"chunked") {
                return Err(ExchangeError::InvalidReply { reason: "unknown transfer coding" });
            }
            self.is_chunked = true;
        } else if is(&header::CONNECTION) {
            reply.closes |= has_token(text(), "close");
        } else if is(&KEEP_ALIVE) {
            reply.idle_timeout = parse_keep_alive(text());
        } else if is(&names.refused) {
            reply.refused = true;
        } else if is(&names.limit) {
            reply.limit = parse_limit(text());
        } else if is(&names.leaving) {
            reply.leaving |= text() == "1";
        } else if is(&names.warmup) {
            reply.warmup_left = text().parse().ok().map(Duration::from_millis);
        } else if is(&header::CONTENT_ENCODING) {
            reply.encoded |= !text().eq_ignore_ascii_case("identity");
        }
        Ok(())
    }
}

/// Parses a `content-length`, which consists of digits only; Rust's integers may have a sign.
fn parse_length(value: &[u8]) -> Option<usize> {
    let digits = value.iter().all(u8::is_ascii_digit).then_some(value)?;
    str::from_utf8(digits).ok()?.parse().ok()
}

fn has_token(list: &str, token: &str) -> bool {
    list.split(',').any(|t| t.trim().eq_ignore_ascii_case(token))
}

/// Parses the `timeout=` parameter of a `keep-alive` header, in seconds.
fn parse_keep_alive(text: &str) -> Option<Duration> {
    let timeout = text.split(',').find_map(|p| p.trim().strip_prefix("timeout="))?;
    timeout.trim().parse().ok().map(Duration::from_secs)
}

/// Parses a rate in requests per second.
fn parse_limit(text: &str) -> LimitHeader {
    let rate = text.parse().ok().filter(|rate: &f64| rate.is_finite() && *rate >= 0.0);
    rate.map_or(LimitHeader::Malformed, LimitHeader::Rate)
}

/// Parses `running,queued`.
fn parse_load(text: &str) -> Option<Load> {
    let mut numbers = text.split(',').map(|n| n.trim().parse::<u32>().ok());
    let running = numbers.next()??;
    let queued = numbers.next()??;
    Some(Load { running, queued })
}
