//! Reply of a backend server.

use std::time::Duration;

use bytes::Bytes;
use chervil_base::value;
use chervil_route::health::Load;
use hyper::HeaderMap;
use hyper::header;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

use crate::exchange::MAX_HEADERS;
use crate::outgoing::KEEP_ALIVE;

value! {
    /// A complete reply.
    pub struct Reply {
        /// Status code.
        pub status: u16,
        /// Proof that the backend server ran the request.
        pub stamp: Option<HeaderValue>,
        /// Whether the backend server states that it did not run the request.
        pub refused: bool,
        /// Load that the backend server reports.
        pub load: Option<Load>,
        /// How much longer the backend server stays cold, where it says so.
        pub warmup_left: Option<Duration>,
        /// Whether the body is encoded, which no caller asked for.
        pub encoded: bool,
        /// Whether the backend server is about to close the connection.
        pub closes: bool,
        /// Time that the backend server keeps an idle connection.
        pub idle_timeout: Option<Duration>,
        /// Status line and headers as they came.
        pub head: Bytes,
        /// Body.
        pub body: Bytes,
    }
}

/// Headers that concern the connection to the backend server, or say that the
/// body is as it is.
const DROPPED_HEADERS: [HeaderName; 5] = [
    header::CONTENT_LENGTH,
    header::CONTENT_ENCODING,
    header::TRANSFER_ENCODING,
    header::CONNECTION,
    KEEP_ALIVE,
];

/// Status by which a backend server says that another one was expected.
pub const MISDIRECTED_REQUEST: u16 = 421;

impl Reply {
    /// A reply without headers and body.
    pub fn new(status: u16) -> Reply {
        Reply {
            status,
            stamp: None,
            refused: false,
            load: None,
            warmup_left: None,
            encoded: false,
            closes: false,
            idle_timeout: None,
            head: Bytes::new(),
            body: Bytes::new(),
        }
    }

    /// End-to-end headers. Those of parts of a query are never looked at.
    pub fn headers(&self) -> HeaderMap {
        let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
        let mut parsed = httparse::Response::new(&mut headers);
        let mut all = HeaderMap::new();
        // The head was parsed before, when it came.
        if parsed.parse(&self.head).is_err() {
            return all;
        }
        for header in parsed.headers.iter() {
            let name = HeaderName::from_bytes(header.name.as_bytes());
            let value = HeaderValue::from_bytes(header.value);
            if let (Ok(name), Ok(value)) = (name, value) {
                all.append(name, value);
            }
        }
        for name in DROPPED_HEADERS {
            all.remove(name);
        }
        all
    }

    /// Whether the reply says that the request was not run.
    pub fn is_not_run(&self) -> bool {
        self.refused || self.status == MISDIRECTED_REQUEST
    }

    /// Whether the request succeeded with proof.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.is_forwardable()
    }

    /// Whether the reply can be passed on as the backend server's.
    pub fn is_forwardable(&self) -> bool {
        self.stamp.is_some() && !self.encoded && !self.is_not_run()
    }
}
