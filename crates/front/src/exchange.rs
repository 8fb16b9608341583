//! HTTP/1.1 client connection to a backend server, one request at a time.
//!
//! Reads replies with `chervil_http` instead of an HTTP client library, for three reasons: a late
//! reply to an earlier request must be recognised by its request id and skipped, a connection
//! with unread bytes must not be reused, and what HTTP/1.1 does not allow must be no reply.
//!
//! A faulty backend server may send bytes without end, in any part of a reply.
//! Each part has a limit, and all replies that a host reads at the same time share a
//! limit on their memory; a reply that exceeds one fails its attempt and closes the
//! connection.

use std::io;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_http::error::ExchangeError;
use chervil_http::grammar::Framing;
use chervil_http::memory::MemoryUse;
use chervil_http::memory::ReplyMemory;
use chervil_http::reader::FIRST_WINDOW_BYTES;
use chervil_http::reader::ReplyReader;
use socket2::SockRef;
use tokio::net::TcpStream;

use crate::head;
use crate::names::HeaderNames;
use crate::outgoing::Outgoing;
use crate::reply::Reply;

/// Maximum size of a reply's body; larger ones could exhaust the memory of a
/// small host.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Number of late replies to earlier requests that are skipped before the exchange
/// fails.
const MAX_STALE_REPLIES: u32 = 2;

/// `TCP_USER_TIMEOUT`: the kernel drops a connection whose sent bytes stay unacknowledged for this
/// long. A hundred round trips between availability zones.
pub const USER_TIMEOUT: Duration = Duration::from_millis(500);

/// A connection to a backend server.
#[derive(Debug)]
pub struct Connection {
    reader: ReplyReader,
    /// Whether [`USER_TIMEOUT`] is in force.
    has_user_timeout: bool,
    /// Whether replies on this connection carry the request id.
    echoes_id: bool,
    /// Start of the current idle period.
    pub idle_since: Instant,
    /// Time after which the backend server closes it when idle; `None` if it has
    /// not said so.
    pub idle_timeout: Option<Duration>,
    /// Whether no reply has been received on it yet.
    pub is_new: bool,
    /// Whether a request was sent whose reply has not been read in full.
    is_busy: bool,
    /// Its reference count is the number of open connections to the backend
    /// server; see `Pools::try_permit`.
    _permit: Arc<()>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if self.is_busy {
            self.discard_unsent();
        }
    }
}

impl Connection {
    /// Wraps an open stream that has [`USER_TIMEOUT`]; `permit` comes from `Pools::try_permit`.
    pub fn new(
        stream: TcpStream,
        permit: Arc<()>,
        memory: Arc<ReplyMemory>,
        now: Instant,
    ) -> Connection {
        Connection {
            reader: ReplyReader::new(stream, MemoryUse::new(memory), MAX_BODY_BYTES),
            has_user_timeout: true,
            echoes_id: false,
            idle_since: now,
            idle_timeout: None,
            is_new: true,
            is_busy: false,
            _permit: permit,
        }
    }

    /// Whether an idle connection is still open and has no unread bytes.
    pub fn is_clean(&mut self) -> bool {
        self.reader.is_clean()
    }

    /// Error of the last request, if it was not sent in full.
    pub fn send_error(&self) -> Option<io::ErrorKind> {
        self.reader.send_error()
    }

    /// Sends `message`, the encoded `request`, and reads its reply. Has no timeout.
    pub async fn exchange(
        &mut self,
        message: &[u8],
        request: &Outgoing,
        names: &HeaderNames,
    ) -> Result<Reply, ExchangeError> {
        self.is_busy = true;
        self.adapt_user_timeout(message.len());
        // A backend server may reply without reading the whole request, so try to
        // read the reply even if the write failed.
        let written = self.reader.send(message).await;
        let mut reply = self.read_reply(request, names).await;
        let body = reply.as_mut().ok().map(|reply| mem::take(&mut reply.body));
        let body = self.reader.finish(body);
        if let Ok(reply) = &mut reply {
            reply.body = body;
        }
        self.is_busy = reply.is_err();
        match (written, reply) {
            (Ok(()), reply) => reply,
            (Err(_), Ok(mut reply)) => {
                reply.closes = true;
                Ok(reply)
            }
            (Err(source), Err(_)) => Err(ExchangeError::Io { source }),
        }
    }

    /// Lifts the user timeout for a request that may not fit into the receive window: the kernel
    /// applies the timeout to a closed window as well, and a backend server may read the rest only
    /// after it has worked on the request. The deadline bounds such a request.
    fn adapt_user_timeout(&mut self, request_bytes: usize) {
        let wanted = request_bytes <= FIRST_WINDOW_BYTES;
        if wanted == self.has_user_timeout {
            return;
        }
        let timeout = wanted.then_some(USER_TIMEOUT);
        match SockRef::from(self.reader.stream()).set_tcp_user_timeout(timeout) {
            Ok(()) => self.has_user_timeout = wanted,
            Err(error) => {
                let error = error.to_string();
                spdlog::warn!(
                    "cannot change the timeout of a connection; a long upload may be cut off",
                    kv: { error = error.as_str() }
                );
            }
        }
    }

    /// Makes the close of the connection discard what the backend server has not received yet.
    fn discard_unsent(&self) {
        if let Err(error) = SockRef::from(self.reader.stream()).set_linger(Some(Duration::ZERO)) {
            let error = error.to_string();
            spdlog::warn!(
                "cannot reset a connection; a request that was given up may arrive later",
                kv: { error = error.as_str() }
            );
        }
    }

    async fn read_reply(
        &mut self,
        request: &Outgoing,
        names: &HeaderNames,
    ) -> Result<Reply, ExchangeError> {
        let parse = |bytes: &[u8]| head::parse(bytes, request, names);
        let mut stale = 0;
        while stale <= MAX_STALE_REPLIES {
            let (bytes, mut head) = self.reader.read_head(parse).await?;
            head.reply.head = bytes;
            let ends = matches!(head.framing, Framing::UntilEof);
            head.reply.body = self.reader.read_body(head.framing).await?;
            head.reply.closes |= ends;
            match head.matches_request {
                Some(true) => {
                    self.echoes_id = true;
                    return Ok(head.reply);
                }
                Some(false) => stale += 1,
                // Could be a second copy of an earlier reply.
                None if self.echoes_id => {
                    let reason = "no request id, which earlier replies on the connection had";
                    return Err(ExchangeError::InvalidReply { reason });
                }
                // A later reply without an id could not be told from a copy of this one.
                None => {
                    head.reply.closes = true;
                    return Ok(head.reply);
                }
            }
            if head.reply.closes {
                return Err(ExchangeError::UnexpectedEof);
            }
        }
        Err(ExchangeError::InvalidReply { reason: "too many replies to other requests" })
    }
}
