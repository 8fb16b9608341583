//! HTTP/1.1 client connection to a backend server, one request at a time.
//!
//! Reads the socket directly and uses `httparse` for the heads only, instead of
//! an HTTP client library, for two reasons: a late reply to an earlier request
//! must be recognised by its request id and skipped, and a connection with
//! unread bytes must not be reused.
//!
//! A backend server in trouble may send bytes without end, in any part of a reply.
//! Each part has a limit, and all replies that a host reads at the same time share a
//! limit on their memory; a reply that exceeds one fails its attempt and closes the
//! connection.

use std::io;
use std::mem;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use snafu::ResultExt as _;
use snafu::Snafu;
use socket2::SockRef;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;

use crate::body::BodyParts;
use crate::body::PART_BYTES;
use crate::grammar;
use crate::grammar::Framing;
use crate::head;
use crate::head::Head;
use crate::names::HeaderNames;
use crate::outgoing::Outgoing;
use crate::reply::Reply;
use crate::reply_memory::MemoryUse;
use crate::reply_memory::ReplyMemory;

/// Maximum size of a reply's head, and of all trailers after a chunked body.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Maximum size of a reply's body; larger ones could exhaust the memory of a
/// small host.
const MAX_BODY_BYTES: usize = 8 * 1024 * 1024;

/// Number of late replies to earlier requests that are skipped before the exchange
/// fails.
const MAX_STALE_REPLIES: u32 = 2;

/// Number of interim (1xx) replies that are skipped before the exchange fails.
const MAX_INTERIM_REPLIES: u32 = 16;

/// Buffer space reserved before each read.
const READ_RESERVE_BYTES: usize = 2 * 1024;

/// Largest buffer that a connection keeps for its next reply. A host keeps hundreds of idle
/// connections.
const MAX_KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Why an exchange produced no reply.
#[derive(Debug, Snafu)]
pub enum ExchangeError {
    /// Reading or writing failed.
    #[snafu(display("connection to the backend server failed: {source}"))]
    Io {
        /// Error of the socket.
        source: io::Error,
    },
    /// The backend server closed the connection before the reply was complete.
    #[snafu(display("backend server closed the connection before the reply was complete"))]
    UnexpectedEof,
    /// The reply violates HTTP/1.1, exceeds a limit or answers other requests.
    #[snafu(display("backend server sent an invalid reply: {reason}"))]
    InvalidReply {
        /// What is invalid.
        reason: &'static str,
    },
}

impl ExchangeError {
    /// Whether sent bytes stayed unacknowledged until the TCP user timeout. The backend server
    /// may have them all the same: acknowledgements get lost, too.
    pub fn is_unacknowledged(&self) -> bool {
        let ExchangeError::Io { source } = self else { return false };
        source.kind() == io::ErrorKind::TimedOut
    }

    /// Whether the backend server closed or reset the connection.
    pub fn is_disconnect(&self) -> bool {
        self.is_reset() || matches!(self, ExchangeError::UnexpectedEof)
    }

    /// Whether the backend server reset the connection.
    pub fn is_reset(&self) -> bool {
        let ExchangeError::Io { source } = self else { return false };
        matches!(source.kind(), io::ErrorKind::ConnectionReset | io::ErrorKind::BrokenPipe)
    }
}

/// A connection to a backend server.
#[derive(Debug)]
pub struct Connection {
    stream: TcpStream,
    buffer: BytesMut,
    memory: MemoryUse,
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
    /// Wraps an open stream; `permit` comes from `Pools::try_permit`.
    pub fn new(
        stream: TcpStream,
        permit: Arc<()>,
        memory: Arc<ReplyMemory>,
        now: Instant,
    ) -> Connection {
        let buffer = BytesMut::new();
        Connection {
            stream,
            buffer,
            memory: MemoryUse::new(memory),
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
        let mut byte = [0u8; 1];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends `message`, the encoded `request`, and reads its reply. Has no timeout.
    pub async fn exchange(
        &mut self,
        message: &[u8],
        request: &Outgoing,
        names: &HeaderNames,
    ) -> Result<Reply, ExchangeError> {
        self.is_busy = true;
        // A backend server may reply without reading the whole request, so try to
        // read the reply even if the write failed.
        let written = self.stream.write_all(message).await;
        let mut reply = self.read_reply(request, names).await;
        if self.memory.bytes() > MAX_KEPT_BUFFER_BYTES && self.buffer.is_empty() {
            // Even when empty, the buffer holds on to the memory of the whole reply.
            self.buffer = BytesMut::new();
        }
        match &mut reply {
            Ok(reply) => reply.body = self.memory.hold(mem::take(&mut reply.body)),
            Err(_) => self.memory.release(),
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

    /// Makes the close of the connection discard what the backend server has not received yet.
    fn discard_unsent(&self) {
        if let Err(error) = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO)) {
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
        let (mut interim, mut stale) = (0, 0);
        while interim <= MAX_INTERIM_REPLIES && stale <= MAX_STALE_REPLIES {
            let mut head = self.read_head(request, names).await?;
            if (100..200).contains(&head.reply.status) {
                interim += 1;
                continue;
            }
            let ends = matches!(head.framing, Framing::UntilEof);
            head.reply.body = self.read_body(head.framing).await?;
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
        Err(ExchangeError::InvalidReply {
            reason: "too many interim replies or replies to other requests",
        })
    }

    async fn fill(&mut self) -> Result<usize, ExchangeError> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        let size = self.stream.read_buf(&mut self.buffer).await.context(IoSnafu)?;
        if !self.memory.grow(size) {
            let reason = "the replies that this host reads exceed their memory";
            return Err(ExchangeError::InvalidReply { reason });
        }
        Ok(size)
    }

    async fn fill_or_eof(&mut self) -> Result<(), ExchangeError> {
        if self.fill().await? == 0 {
            return Err(ExchangeError::UnexpectedEof);
        }
        Ok(())
    }

    async fn read_head(
        &mut self,
        request: &Outgoing,
        names: &HeaderNames,
    ) -> Result<Head, ExchangeError> {
        loop {
            if let Some((size, mut head)) = head::parse(&self.buffer, request, names)? {
                head.reply.head = self.buffer.split_to(size).freeze();
                return Ok(head);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ExchangeError::InvalidReply { reason: "head exceeds 64 KiB" });
            }
            self.fill_or_eof().await?;
        }
    }

    async fn read_body(&mut self, framing: Framing) -> Result<Bytes, ExchangeError> {
        match framing {
            Framing::NoBody => Ok(Bytes::new()),
            Framing::Length(size) if size <= PART_BYTES => self.read_exact(size).await,
            Framing::Length(size) => {
                let mut body = BodyParts::default();
                self.read_sized(&mut body, size).await?;
                Ok(body.join())
            }
            Framing::Chunked => self.read_chunks().await,
            Framing::UntilEof => self.read_until_eof().await,
        }
    }

    async fn read_exact(&mut self, size: usize) -> Result<Bytes, ExchangeError> {
        while self.buffer.len() < size {
            self.fill_or_eof().await?;
        }
        Ok(self.buffer.split_to(size).freeze())
    }

    /// Reads a body, or a part of one, of this size.
    async fn read_sized(
        &mut self,
        body: &mut BodyParts,
        mut size: usize,
    ) -> Result<(), ExchangeError> {
        if size > MAX_BODY_BYTES - body.size() {
            return Err(ExchangeError::InvalidReply { reason: "body exceeds 8 MiB" });
        }
        while size > 0 {
            let part = self.read_exact(size.min(PART_BYTES)).await?;
            size -= part.len();
            body.push(part);
        }
        Ok(())
    }

    async fn read_until_eof(&mut self) -> Result<Bytes, ExchangeError> {
        let mut body = BodyParts::default();
        while self.fill().await? > 0 {
            if body.size() + self.buffer.len() > MAX_BODY_BYTES {
                return Err(ExchangeError::InvalidReply { reason: "body exceeds 8 MiB" });
            }
            if self.buffer.len() >= PART_BYTES {
                body.push(self.buffer.split().freeze());
            }
        }
        body.push(self.buffer.split().freeze());
        Ok(body.join())
    }

    async fn read_chunks(&mut self) -> Result<Bytes, ExchangeError> {
        let mut body = BodyParts::default();
        loop {
            let size = self.read_chunk_size().await?;
            if size == 0 {
                break;
            }
            self.read_sized(&mut body, size).await?;
            self.read_crlf().await?;
        }
        self.skip_trailers().await?;
        Ok(body.join())
    }

    async fn read_chunk_size(&mut self) -> Result<usize, ExchangeError> {
        loop {
            if let Some((used, size)) = grammar::parse_chunk_size(&self.buffer)? {
                self.buffer.advance(used);
                return Ok(size);
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ExchangeError::InvalidReply { reason: "chunk size exceeds 64 KiB" });
            }
            self.fill_or_eof().await?;
        }
    }

    async fn read_crlf(&mut self) -> Result<(), ExchangeError> {
        let end = self.read_exact(2).await?;
        if &*end != b"\r\n" {
            return Err(ExchangeError::InvalidReply { reason: "chunk does not end with CRLF" });
        }
        Ok(())
    }

    /// Skips the trailers and the empty line that ends them.
    async fn skip_trailers(&mut self) -> Result<(), ExchangeError> {
        loop {
            if let Some(size) = grammar::parse_trailers(&self.buffer)? {
                self.buffer.advance(size);
                return Ok(());
            }
            if self.buffer.len() > MAX_HEAD_BYTES {
                return Err(ExchangeError::InvalidReply { reason: "trailers exceed 64 KiB" });
            }
            self.fill_or_eof().await?;
        }
    }
}
