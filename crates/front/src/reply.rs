//! HTTP reply of a backend server.

use std::time::Duration;

use bytes::Bytes;
use chervil_base::value;
use chervil_http::grammar;
use chervil_http::grammar::MAX_HEADERS;
use chervil_route::health::Load;
use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::outgoing::KEEP_ALIVE;

value! {
    /// Requests per second that a backend server takes from all hosts together.
    #[derive(Copy)]
    pub enum LimitHeader {
        /// It names no limit.
        Absent,
        /// It takes this rate.
        Rate(f64),
        /// It names a limit that cannot be read.
        Malformed,
    }

    /// A complete reply, with the headers that concern the proxy parsed.
    pub struct Reply {
        /// Status code.
        pub status: u16,
        /// Response stamp, present if the backend server executed the request.
        pub stamp: Option<HeaderValue>,
        /// Whether the backend server reported that it did not execute the request.
        pub refused: bool,
        /// Load reported by the backend server.
        pub load: Option<Load>,
        /// Limit that the backend server named.
        pub limit: LimitHeader,
        /// Whether the backend server said that it leaves.
        pub leaving: bool,
        /// Time for which the backend server wants no request of this host.
        pub pause: Option<Duration>,
        /// Time for which the backend server stays cold, if it reported one.
        pub warmup_left: Option<Duration>,
        /// Whether the body has a content encoding, which no caller asked for.
        pub encoded: bool,
        /// Whether the connection cannot be reused after this reply.
        pub closes: bool,
        /// Idle timeout of the connection, if the backend server stated one.
        pub idle_timeout: Option<Duration>,
        /// Status line and headers as received.
        pub head: Bytes,
        /// Body, with any chunked framing removed.
        pub body: Bytes,
    }
}

/// Most seconds that are read from a `retry-after` header, so that sums of times can't overflow.
const MAX_RETRY_AFTER_S: f64 = 86_400.0;

/// Headers that are not forwarded: they describe the connection to the backend
/// server or the framing of the body, or state the identity encoding.
const DROPPED_HEADERS: [HeaderName; 5] = [
    header::CONTENT_LENGTH,
    header::CONTENT_ENCODING,
    header::TRANSFER_ENCODING,
    header::CONNECTION,
    KEEP_ALIVE,
];

/// HTTP status 503 Service Unavailable.
const UNAVAILABLE: u16 = 503;

/// HTTP status 421 Misdirected Request: the backend server at this address is not
/// the one that the request was meant for.
pub const MISDIRECTED_REQUEST: u16 = 421;

/// Statuses by which callers know that a request has not run and will not: 408 Request Timeout, 421
/// Misdirected Request, 429 Too Many Requests and 503 Service Unavailable.
const NOT_RUN_STATUSES: [u16; 4] = [408, MISDIRECTED_REQUEST, 429, UNAVAILABLE];

/// Time that a `retry-after` header states: seconds, which may have a fraction, or a date, which
/// counts from the `date` of the same reply. Zero, a time that is over and what can't be read
/// state none.
pub fn parse_retry_after(text: &str, date: Option<&str>) -> Option<Duration> {
    let seconds = text.parse::<f64>().ok().filter(|s| s.is_finite());
    let time = match seconds {
        Some(seconds) => Duration::from_secs_f64(seconds.clamp(0.0, MAX_RETRY_AFTER_S)),
        None => {
            let until = httpdate::parse_http_date(text).ok()?;
            until.duration_since(httpdate::parse_http_date(date?).ok()?).ok()?
        }
    };
    Some(time).filter(|t| !t.is_zero())
}

impl Reply {
    /// A reply with a status only.
    pub fn new(status: u16) -> Reply {
        Reply {
            status,
            stamp: None,
            refused: false,
            load: None,
            limit: LimitHeader::Absent,
            leaving: false,
            pause: None,
            warmup_left: None,
            encoded: false,
            closes: false,
            idle_timeout: None,
            head: Bytes::new(),
            body: Bytes::new(),
        }
    }

    /// A reply that another host has received, as far as it is forwarded. None if its head is
    /// not that of a final reply with this status: hosts of earlier builds pass on heads that
    /// this one rejects.
    pub fn forwarded(status: u16, head: Bytes, body: Bytes) -> Option<Reply> {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let parsed = grammar::parse_head(&head, &mut headers).ok()??;
        let is_whole = parsed.size == head.len() && parsed.status == status && status >= 200;
        is_whole.then(|| Reply { head, body, ..Reply::new(status) })
    }

    /// Headers to forward. Parsed on demand, because those of shard replies are not
    /// needed.
    pub fn headers(&self) -> HeaderMap {
        let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
        // Always a head: it was parsed when the reply was received.
        let Ok(Some(parsed)) = grammar::parse_head(&self.head, &mut fields) else {
            return HeaderMap::new();
        };
        let mut all = parsed.header_map();
        for name in DROPPED_HEADERS {
            all.remove(name);
        }
        all
    }

    /// Pause that the backend server asks for as it turns the request away, if it does.
    pub fn pause_wish(&self) -> Option<Duration> {
        self.pause.filter(|_| self.status == UNAVAILABLE)
    }

    /// Whether the backend server reported that it did not execute the request. A 421 with a stamp
    /// does not: the stamp proves the opposite.
    pub fn is_not_run(&self) -> bool {
        self.refused || (self.status == MISDIRECTED_REQUEST && self.stamp.is_none())
    }

    /// Whether the status tells callers that the request has not run.
    pub fn denies_execution(&self) -> bool {
        NOT_RUN_STATUSES.contains(&self.status)
    }

    /// Whether the status is 2xx and the reply can be forwarded.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.is_forwardable()
    }

    /// Whether the reply can be forwarded to the caller: it is stamped and not
    /// encoded, and does not report that the request was not executed.
    pub fn is_forwardable(&self) -> bool {
        self.stamp.is_some() && !self.encoded && !self.is_not_run()
    }
}
