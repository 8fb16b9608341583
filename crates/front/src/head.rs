//! What the heads of replies say.

use std::str;
use std::time::Duration;

use chervil_http::error::ExchangeError;
use chervil_http::grammar;
use chervil_http::grammar::Framing;
use chervil_http::grammar::MAX_HEADERS;
use chervil_route::health::Load;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::names::HeaderNames;
use crate::outgoing::KEEP_ALIVE;
use crate::outgoing::Outgoing;
use crate::reply;
use crate::reply::LimitHeader;
use crate::reply::Reply;

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

/// Parses the head at the start of `buffer` and returns its size in bytes, its status and what
/// it says; `None` if it is incomplete.
pub fn parse(
    buffer: &[u8],
    request: &Outgoing,
    names: &HeaderNames,
) -> Result<Option<(usize, u16, Head)>, ExchangeError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let Some(message) = grammar::parse_head(buffer, &mut headers)? else { return Ok(None) };
    let mut reply = Reply::new(message.status);
    reply.closes = message.closes;
    let mut fields = HeaderFields { reply, matches_request: None };
    for header in message.headers {
        fields.apply(header, request, names)?;
    }
    let HeaderFields { mut reply, matches_request } = fields;
    let text = |name: &HeaderName| {
        let header = message.headers.iter().find(|h| h.name.eq_ignore_ascii_case(name.as_str()))?;
        str::from_utf8(header.value).ok().map(str::trim)
    };
    let retry_after = text(&header::RETRY_AFTER);
    reply.pause = retry_after.and_then(|t| reply::parse_retry_after(t, text(&header::DATE)));
    let framing = if request.expects_no_body { Framing::NoBody } else { message.framing };
    Ok(Some((message.size, message.status, Head { reply, framing, matches_request })))
}

/// What the headers parsed so far say about a reply.
struct HeaderFields {
    reply: Reply,
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
