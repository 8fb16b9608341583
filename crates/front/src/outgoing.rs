//! Encoding of a caller's request for backend servers.

use std::io::Write as _;
use std::time::Duration;

use bytes::Bytes;
use chervil_base::value;
use hyper::HeaderMap;
use hyper::Method;
use hyper::header;
use hyper::header::HeaderName;

use crate::names::HeaderNames;

/// Header in which a server states its idle timeout, as `timeout=SECONDS`.
pub const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers: they apply to one connection and are not forwarded.
const HOP_BY_HOP_HEADERS: [HeaderName; 8] = [
    header::CONNECTION,
    KEEP_ALIVE,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

value! {
    /// A request, encoded once and sent to one or more backend servers.
    pub struct Outgoing {
        /// Request id of the caller's attempt; empty if it sent none.
        pub request_id: Box<[u8]>,
        /// Request line and the headers that are the same for every backend
        /// server, without the empty line that ends them.
        pub head: Vec<u8>,
        /// Body; empty if there is none.
        pub body: Bytes,
        /// Whether the reply has no body even if its headers state a length, as
        /// for HEAD.
        pub expects_no_body: bool,
    }
}

/// Whether a header is hop-by-hop, by its name or because the `connection` header
/// lists it.
pub fn is_hop_by_hop(name: &HeaderName, headers: &HeaderMap) -> bool {
    if HOP_BY_HOP_HEADERS.contains(name) {
        return true;
    }
    let listed = headers.get_all(header::CONNECTION).iter();
    let mut tokens = listed.filter_map(|v| v.to_str().ok()).flat_map(|v| v.split(','));
    tokens.any(|t| t.trim().eq_ignore_ascii_case(name.as_str()))
}

impl Outgoing {
    /// Encodes method, path, end-to-end headers and body of a caller's request.
    pub fn new(
        method: &Method,
        path: &str,
        headers: &HeaderMap,
        body: Bytes,
        names: &HeaderNames,
    ) -> Outgoing {
        let mut head = Vec::with_capacity(512);
        head.extend_from_slice(method.as_str().as_bytes());
        head.push(b' ');
        head.extend_from_slice(path.as_bytes());
        head.extend_from_slice(b" HTTP/1.1\r\n");
        let replaced =
            [&names.deadline, &names.expected_id, &header::CONTENT_LENGTH, &header::EXPECT];
        for (name, value) in headers {
            if replaced.contains(&name) || is_hop_by_hop(name, headers) {
                continue;
            }
            head.extend_from_slice(name.as_str().as_bytes());
            head.extend_from_slice(b": ");
            head.extend_from_slice(value.as_bytes());
            head.extend_from_slice(b"\r\n");
        }
        let may_have_body = method == Method::POST || method == Method::PUT;
        if !body.is_empty() || may_have_body {
            // Writing to a vector cannot fail.
            let _ = write!(head, "content-length: {}\r\n", body.len());
        }
        let id = headers.get(&names.request_id).map_or(&[][..], |v| v.as_bytes());
        let expects_no_body = method == Method::HEAD;
        Outgoing { request_id: id.into(), head, body, expects_no_body }
    }

    /// The complete HTTP/1.1 message for the backend server with the registry id
    /// `server_id`, which gets `time_left` (at least 1 ms) as its deadline.
    pub fn encode(&self, server_id: &str, time_left: Duration, names: &HeaderNames) -> Vec<u8> {
        let mut message = Vec::with_capacity(self.head.len() + self.body.len() + 96);
        message.extend_from_slice(&self.head);
        // Writing to a vector cannot fail.
        let _ = write!(
            message,
            "{}: {}\r\n{}: {}\r\n\r\n",
            names.deadline.as_str(),
            time_left.as_millis().max(1),
            names.expected_id.as_str(),
            server_id
        );
        message.extend_from_slice(&self.body);
        message
    }
}
