//! Reply of a backend server.

use std::time::Duration;

use bytes::Bytes;
use chervil_base::value;
use chervil_route::health::Load;
use hyper::header::HeaderName;
use hyper::header::HeaderValue;

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
        pub warmup: Option<Duration>,
        /// Whether the body is encoded, which no caller asked for.
        pub encoded: bool,
        /// Whether the backend server is about to close the connection.
        pub closing: bool,
        /// Time that the backend server keeps an idle connection.
        pub keep: Option<Duration>,
        /// End-to-end headers.
        pub headers: Vec<(HeaderName, HeaderValue)>,
        /// Body.
        pub body: Bytes,
    }
}

/// Status by which a backend server says that another one was expected.
pub const MISDIRECTED: u16 = 421;

impl Reply {
    /// Whether the reply says that the request was not run.
    pub fn not_run(&self) -> bool {
        self.refused || self.status == MISDIRECTED
    }

    /// Whether the request succeeded with proof.
    pub fn is_success(&self) -> bool {
        (200..300).contains(&self.status) && self.is_genuine()
    }

    /// Whether the reply can be passed on as the backend server's.
    pub fn is_genuine(&self) -> bool {
        self.stamp.is_some() && !self.encoded && !self.not_run()
    }
}
