//! Reads HTTP/1.1 replies from a connection, within limits on the memory that they take.

use std::io;
use std::time::Duration;

use bytes::Buf as _;
use bytes::Bytes;
use bytes::BytesMut;
use hyper::HeaderMap;
use snafu::ResultExt as _;
use tokio::io::AsyncReadExt as _;
use tokio::io::AsyncWriteExt as _;
use tokio::net::TcpStream;
use tokio::time;

use crate::body::BodyParts;
use crate::body::PART_BYTES;
use crate::error::ExchangeError;
use crate::error::IoSnafu;
use crate::grammar;
use crate::grammar::Framing;
use crate::grammar::MAX_HEADERS;
use crate::memory::MemoryUse;

/// Maximum size of a reply's head, and of all trailers after a chunked body.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Number of interim (1xx) replies that are skipped before a reply fails.
const MAX_INTERIM_REPLIES: u32 = 16;

/// Buffer space reserved before each read.
const READ_RESERVE_BYTES: usize = 2 * 1024;

/// Largest buffer that a connection keeps for its next reply. A host keeps hundreds of idle
/// connections.
const MAX_KEPT_BUFFER_BYTES: usize = 16 * 1024;

/// Largest request that a server has received in whole when it replies: it fits into the receive
/// window that each peer offers at first.
pub const FIRST_WINDOW_BYTES: usize = 4 * 1024;

/// Time in which the reset of a connection arrives whose server has ended without receiving the
/// whole request: several round trips between availability zones.
const RESET_WAIT: Duration = Duration::from_millis(20);

/// Reason of a reply with a body over the limit of its connection.
const BODY_TOO_LARGE: &str = "body exceeds its limit";

/// Reason of a reply that does not fit into the memory for replies.
const MEMORY_EXHAUSTED: &str = "the replies that this host reads exceed their memory";

/// Whether the reason of an invalid reply is its size.
pub fn is_too_large(reason: &str) -> bool {
    [BODY_TOO_LARGE, MEMORY_EXHAUSTED].contains(&reason)
}

/// A reply that was read in full.
#[derive(Debug)]
pub struct WholeReply {
    /// Status code.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body. It counts against the memory of replies until it is dropped, if it is large.
    pub body: Bytes,
    /// Whether the connection cannot be used again.
    pub closes: bool,
}

/// Head of a whole reply.
struct Head {
    status: u16,
    headers: HeaderMap,
    framing: Framing,
    closes: bool,
}

fn parse_head(buffer: &[u8]) -> Result<Option<(usize, u16, Head)>, ExchangeError> {
    let mut fields = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let Some(parsed) = grammar::parse_head(buffer, &mut fields)? else { return Ok(None) };
    let (status, framing, closes) = (parsed.status, parsed.framing, parsed.closes);
    let head = Head { status, headers: parsed.header_map(), framing, closes };
    Ok(Some((parsed.size, status, head)))
}

/// An open connection on which replies are read.
#[derive(Debug)]
pub struct ReplyReader {
    stream: TcpStream,
    buffer: BytesMut,
    memory: MemoryUse,
    /// Maximum size of a body.
    max_body: usize,
    /// Error of a request that was not sent in full.
    send_error: Option<io::ErrorKind>,
    /// Size of the last request.
    sent_bytes: usize,
}

impl ReplyReader {
    /// Wraps an open stream.
    pub fn new(stream: TcpStream, memory: MemoryUse, max_body: usize) -> ReplyReader {
        ReplyReader {
            stream,
            buffer: BytesMut::new(),
            memory,
            max_body,
            send_error: None,
            sent_bytes: 0,
        }
    }

    /// The connection.
    pub fn stream(&self) -> &TcpStream {
        &self.stream
    }

    /// Whether an idle connection is still open and has no unread bytes.
    pub fn is_clean(&mut self) -> bool {
        let mut byte = [0u8; 1];
        let read = self.stream.try_read(&mut byte);
        self.buffer.is_empty() && read.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    /// Sends a request.
    pub async fn send(&mut self, message: &[u8]) -> io::Result<()> {
        self.sent_bytes = message.len();
        let sent = self.stream.write_all(message).await;
        self.send_error = sent.as_ref().err().map(io::Error::kind);
        sent
    }

    /// Error of the last request, if it was not sent in full.
    pub fn send_error(&self) -> Option<io::ErrorKind> {
        self.send_error
    }

    /// Ends the reading of a reply with this body, or of none, and prepares the connection for
    /// the next one. The memory of a large body counts until the result is dropped.
    pub fn finish(&mut self, body: Option<Bytes>) -> Bytes {
        if self.memory.bytes() > MAX_KEPT_BUFFER_BYTES && self.buffer.is_empty() {
            // Even when empty, the buffer holds on to the memory of the whole reply.
            self.buffer = BytesMut::new();
        }
        match body {
            Some(body) => self.memory.hold(body),
            None => {
                self.memory.release();
                Bytes::new()
            }
        }
    }

    async fn fill(&mut self) -> Result<usize, ExchangeError> {
        self.buffer.reserve(READ_RESERVE_BYTES);
        let size = self.stream.read_buf(&mut self.buffer).await.context(IoSnafu)?;
        if !self.memory.grow(size) {
            return Err(ExchangeError::InvalidReply { reason: MEMORY_EXHAUSTED });
        }
        Ok(size)
    }

    async fn fill_or_eof(&mut self) -> Result<(), ExchangeError> {
        if self.fill().await? == 0 {
            return Err(ExchangeError::UnexpectedEof);
        }
        Ok(())
    }

    /// Reads the head of the next reply, skipping interim (1xx) ones. `parse` returns the length,
    /// the status and the content of the head at the start of the bytes that it gets, or `None`
    /// if it is incomplete.
    pub async fn read_head<Content, Parse>(
        &mut self,
        parse: Parse,
    ) -> Result<(Bytes, Content), ExchangeError>
    where
        Parse: Fn(&[u8]) -> Result<Option<(usize, u16, Content)>, ExchangeError>,
    {
        let mut interim = 0;
        while interim <= MAX_INTERIM_REPLIES {
            match parse(&self.buffer)? {
                Some((size, 100..200, _)) => {
                    self.buffer.advance(size);
                    interim += 1;
                }
                Some((size, _, content)) => {
                    return Ok((self.buffer.split_to(size).freeze(), content));
                }
                None if self.buffer.len() > MAX_HEAD_BYTES => {
                    return Err(ExchangeError::InvalidReply { reason: "head exceeds 64 KiB" });
                }
                None => self.fill_or_eof().await?,
            }
        }
        Err(ExchangeError::InvalidReply { reason: "too many interim replies" })
    }

    /// Reads a whole reply.
    pub async fn read_reply(&mut self) -> Result<WholeReply, ExchangeError> {
        let (_, head) = self.read_head(parse_head).await?;
        let Head { status, headers, framing, closes } = head;
        let body = self.read_body(framing).await?;
        let closes = closes || matches!(framing, Framing::UntilEof);
        Ok(WholeReply { status, headers, body: self.finish(Some(body)), closes })
    }

    /// Reads the body after a head.
    pub async fn read_body(&mut self, framing: Framing) -> Result<Bytes, ExchangeError> {
        match framing {
            Framing::NoBody => Ok(Bytes::new()),
            Framing::Length(size) if size > self.max_body => {
                Err(ExchangeError::InvalidReply { reason: BODY_TOO_LARGE })
            }
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
        if size > self.max_body - body.size() {
            return Err(ExchangeError::InvalidReply { reason: BODY_TOO_LARGE });
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
            if body.size() + self.buffer.len() > self.max_body {
                return Err(ExchangeError::InvalidReply { reason: BODY_TOO_LARGE });
            }
            if self.buffer.len() >= PART_BYTES {
                body.push(self.buffer.split().freeze());
            }
        }
        self.confirm_end().await?;
        body.push(self.buffer.split().freeze());
        Ok(body.join())
    }

    /// Fails if the server did not end the connection in order, which a reply without a length
    /// needs to be whole.
    async fn confirm_end(&self) -> Result<(), ExchangeError> {
        // The failed write has taken the error of the socket, so that a reset reads as an end.
        if self.send_error.is_some() {
            return Err(ExchangeError::UnexpectedEof);
        }
        if self.sent_bytes > FIRST_WINDOW_BYTES {
            // The end arrives before the reset that answers the rest of the request.
            time::sleep(RESET_WAIT).await;
        }
        match self.stream.take_error().context(IoSnafu)? {
            Some(source) => Err(ExchangeError::Io { source }),
            None => Ok(()),
        }
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
