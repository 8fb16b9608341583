//! Implementation for the HTTP/1.1 protocol of `chervil-standin`.

use std::fmt::Write as _;
use std::io;
use std::mem;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use chervil_base::value;
use chervil_http::error::ExchangeError;
use chervil_http::memory::MemoryUse;
use chervil_http::memory::ReplyMemory;
use chervil_http::reader;
use chervil_http::reader::ReplyReader;
use percent_encoding::AsciiSet;
use percent_encoding::CONTROLS;
use percent_encoding::utf8_percent_encode;
use serde::de::DeserializeOwned;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::time;

use crate::connection::AskCall;
use crate::connection::AskResponse;
use crate::connection::Connection;
use crate::connection::Connector;
use crate::connection::Opened;
use crate::connection::RequestError;
use crate::connection::RunCall;
use crate::connection::RunResponse;
use crate::connection::ServerStatus;
use crate::wire::AskReplyBody;
use crate::wire::RefusedBody;
use crate::wire::RunReplyBody;
use crate::wire::StatusReplyBody;
use crate::wire::WrongVersionBody;

/// HTTP status 200 OK.
const OK: u16 = 200;

/// HTTP status 409 Conflict: another index version is needed.
const CONFLICT: u16 = 409;

/// HTTP status 503 Service Unavailable: the request was not started.
const SERVICE_UNAVAILABLE: u16 = 503;

/// Number of unanswered TCP keep-alive probes after which the operating system drops
/// a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Difference between the timeout of a call and the timeout sent to the server, for
/// the transfer of the reply.
const REPLY_TRANSFER_TIME: Duration = Duration::from_millis(2);

/// Minimum timeout sent to a server.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

/// Limit on the first 16 KiB of all replies that a process reads at the same time.
const MAX_SMALL_REPLY_BYTES: usize = 16 * 1024 * 1024;

/// Limit on their further bytes; with the first ones, less than a third of the 256 MB that a
/// host may use.
const MAX_LARGE_REPLY_BYTES: usize = 64 * 1024 * 1024;

/// Why a request is not sent after the connection was closed.
const CLOSED: &str = "the connection was closed, and a second one is not allowed";

/// Characters of a path that are percent-encoded.
const PATH_CHARACTERS: &AsciiSet = &CONTROLS
    .add(b' ')
    .add(b'"')
    .add(b'#')
    .add(b'<')
    .add(b'>')
    .add(b'?')
    .add(b'`')
    .add(b'{')
    .add(b'}');

value! {
    /// Limits of the connections.
    #[derive(Copy, Eq)]
    pub struct HttpSettings {
        /// Maximum size of a reply body, in bytes.
        pub max_reply_bytes: usize,
        /// Idle time before the first TCP keep-alive probe, and interval between the
        /// probes.
        pub keepalive: Duration,
        /// Time for which sent data may stay unacknowledged (TCP_USER_TIMEOUT); Linux
        /// only.
        pub user_timeout: Duration,
    }
}

impl Default for HttpSettings {
    fn default() -> HttpSettings {
        HttpSettings {
            max_reply_bytes: 4 * 1024 * 1024,
            keepalive: Duration::from_secs(1),
            user_timeout: Duration::from_secs(3),
        }
    }
}

/// Opens HTTP/1.1 connections.
#[derive(Clone, Debug)]
pub struct HttpConnector {
    settings: HttpSettings,
    /// Memory of the replies that all connections read.
    memory: Arc<ReplyMemory>,
}

impl Default for HttpConnector {
    fn default() -> HttpConnector {
        HttpConnector::new(HttpSettings::default())
    }
}

impl HttpConnector {
    /// Creates a connector with these limits.
    pub fn new(settings: HttpSettings) -> HttpConnector {
        let memory = ReplyMemory::new(MAX_SMALL_REPLY_BYTES, MAX_LARGE_REPLY_BYTES);
        HttpConnector { settings, memory: Arc::new(memory) }
    }

    fn new_connection(&self, address: SocketAddr) -> HttpConnection {
        let (settings, memory) = (self.settings, self.memory.clone());
        HttpConnection { address, settings, memory, state: Mutex::new(State::Unused) }
    }
}

#[async_trait]
impl Connector for HttpConnector {
    async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<Opened, RequestError> {
        let connection = self.new_connection(address);
        match connection.status(timeout).await {
            Ok(status) => Ok(Opened { connection: Box::new(connection), status }),
            Err(RequestError::TimedOut) => Err(RequestError::TimedOut),
            // Only a status request was sent, so no failure can leave work running.
            Err(e @ RequestError::NotConnected { .. }) => Err(e),
            Err(e) => Err(RequestError::NotConnected { cause: e.to_string().into() }),
        }
    }

    fn open_lazy(&self, address: SocketAddr) -> Result<Box<dyn Connection>, RequestError> {
        Ok(Box::new(self.new_connection(address)))
    }
}

/// One connection, which is never opened a second time: that could exceed the server's connection
/// limit.
struct HttpConnection {
    address: SocketAddr,
    settings: HttpSettings,
    memory: Arc<ReplyMemory>,
    state: Mutex<State>,
}

/// State of a connection.
enum State {
    /// Not opened yet.
    Unused,
    /// Being opened.
    Connecting,
    /// A request was sent whose reply has not been read in full. A call that is cancelled leaves
    /// it so, and the connection is closed.
    Busy,
    /// Open, without a request.
    Idle(ReplyReader),
}

/// Request line and headers of a request, which are checked as they are added.
struct Message {
    head: String,
    /// Name of a header whose value is invalid.
    invalid: Option<&'static str>,
}

impl Message {
    fn new(method: &str, path: &str, address: SocketAddr) -> Message {
        let path = utf8_percent_encode(path, PATH_CHARACTERS);
        let head = format!("{method} {path} HTTP/1.1\r\nhost: {address}\r\n");
        Message { head, invalid: None }
    }

    fn header(mut self, name: &'static str, value: &str) -> Message {
        if value.bytes().any(|b| b.is_ascii_control() && b != b'\t') {
            self.invalid = Some(name);
        }
        // Writing to a string cannot fail.
        let _ = write!(self.head, "{name}: {value}\r\n");
        self
    }

    /// The complete message. Fails if a header is invalid; nothing has been sent then.
    fn encode(self, body: &str) -> Result<Vec<u8>, RequestError> {
        if let Some(name) = self.invalid {
            let cause = format!("the {name} header contains a control character").into();
            return Err(RequestError::NotConnected { cause });
        }
        Ok(format!("{}content-length: {}\r\n\r\n{body}", self.head, body.len()).into_bytes())
    }
}

impl HttpConnection {
    fn post(&self, path: &str, timeout: Duration, traceparent: Option<&str>) -> Message {
        let timeout = timeout.saturating_sub(REPLY_TRANSFER_TIME).max(MIN_TIMEOUT);
        let message = Message::new("POST", path, self.address)
            .header("x-timeout-ms", &timeout.as_millis().to_string());
        match traceparent {
            Some(traceparent) => message.header("traceparent", traceparent),
            None => message,
        }
    }

    fn replace_state(&self, state: State) -> State {
        let mut current = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        mem::replace(&mut current, state)
    }

    /// Whether the connection was opened.
    fn is_connected(&self) -> bool {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        matches!(*state, State::Busy | State::Idle(_))
    }

    async fn send(&self, message: Vec<u8>, timeout: Duration) -> Result<Reply, RequestError> {
        match time::timeout(timeout, self.execute(&message)).await {
            Ok(result) => result,
            Err(_) if self.is_connected() => Err(RequestError::TimedOut),
            Err(_) => {
                let cause = format!("not connected within {} ms", timeout.as_millis()).into();
                Err(RequestError::NotConnected { cause })
            }
        }
    }

    async fn execute(&self, message: &[u8]) -> Result<Reply, RequestError> {
        let mut reader = self.acquire().await?;
        // A server may reply without reading the whole request.
        let sent = reader.send(message).await;
        let reply = match (reader.read_reply().await, &sent) {
            (Ok(reply), _) => reply,
            (Err(_), Err(error)) => return Err(connection_lost(error)),
            (Err(ExchangeError::InvalidReply { reason }), Ok(()))
                if reader::is_too_large(reason) =>
            {
                return Err(RequestError::InvalidReply { cause: reason.into() });
            }
            // The server may still run a request whose reply is broken.
            (Err(error), Ok(())) => return Err(connection_lost(&error)),
        };
        if !reply.closes && sent.is_ok() {
            self.replace_state(State::Idle(reader));
        }
        Ok(Reply { status: reply.status, body: reply.body })
    }

    /// The open connection, for one request.
    async fn acquire(&self) -> Result<ReplyReader, RequestError> {
        match self.replace_state(State::Busy) {
            State::Unused => {
                self.replace_state(State::Connecting);
                let stream = self.connect().await.map_err(|e| not_connected(&e))?;
                self.replace_state(State::Busy);
                let memory = MemoryUse::new(self.memory.clone());
                Ok(ReplyReader::new(stream, memory, self.settings.max_reply_bytes))
            }
            State::Idle(mut reader) => match reader.is_clean() {
                true => Ok(reader),
                false => Err(not_connected(&CLOSED)),
            },
            State::Connecting | State::Busy => Err(not_connected(&CLOSED)),
        }
    }

    async fn connect(&self) -> io::Result<TcpStream> {
        let stream = TcpStream::connect(self.address).await?;
        stream.set_nodelay(true)?;
        let keepalive = TcpKeepalive::new()
            .with_time(self.settings.keepalive)
            .with_interval(self.settings.keepalive)
            .with_retries(KEEPALIVE_PROBES);
        let socket = SockRef::from(&stream);
        socket.set_tcp_keepalive(&keepalive)?;
        #[cfg(target_os = "linux")]
        socket.set_tcp_user_timeout(Some(self.settings.user_timeout))?;
        Ok(stream)
    }
}

#[async_trait]
impl Connection for HttpConnection {
    async fn ask(&self, call: &AskCall) -> Result<AskResponse, RequestError> {
        let path = format!("/shard/{}/{}", call.service, call.shard);
        let request = self.post(&path, call.timeout, call.traceparent.as_deref());
        let request = request
            .header("x-index-version", &call.version.to_string())
            .header("x-request-id", &call.request_id);
        let reply = self.send(request.encode(&call.body)?, call.timeout).await?;
        reply.check_status()?.json::<AskReplyBody>().map(AskResponse::from)
    }

    async fn run(&self, call: &RunCall) -> Result<RunResponse, RequestError> {
        let path = format!("/run/{}", call.service);
        let request = self.post(&path, call.timeout, call.traceparent.as_deref());
        let request = request.header("idempotency-key", &call.key).encode(&call.body)?;
        let reply = self.send(request, call.timeout).await?.check_status()?;
        let body = str::from_utf8(&reply.body);
        let body = body.map_err(|e| RequestError::InvalidReply { cause: e.to_string().into() })?;
        // The body is passed to the caller as it is; it need not contain a load.
        let load = serde_json::from_str::<RunReplyBody>(body).ok().map(RunReplyBody::into_load);
        Ok(RunResponse { body: body.into(), load })
    }

    async fn status(&self, timeout: Duration) -> Result<ServerStatus, RequestError> {
        let request = Message::new("GET", "/status", self.address).encode("")?;
        let reply = self.send(request, timeout).await?;
        reply.check_status()?.json::<StatusReplyBody>().map(ServerStatus::from)
    }

    fn close(self: Box<Self>) {}
}

struct Reply {
    status: u16,
    body: Bytes,
}

impl Reply {
    /// Maps every status code other than 200 to an error.
    fn check_status(self) -> Result<Reply, RequestError> {
        match self.status {
            OK => Ok(self),
            CONFLICT => {
                let body: WrongVersionBody = self.json().unwrap_or_default();
                Err(RequestError::WrongVersion { held: body.versions })
            }
            SERVICE_UNAVAILABLE => {
                let body: RefusedBody = self.json()?;
                Err(RequestError::Refused { refusal: body.refused.into() })
            }
            status => Err(RequestError::InvalidReply {
                cause: format!("unexpected status code {status}").into(),
            }),
        }
    }

    fn json<T>(&self) -> Result<T, RequestError>
    where
        T: DeserializeOwned,
    {
        let parsed = serde_json::from_slice(&self.body);
        parsed.map_err(|e| RequestError::InvalidReply { cause: e.to_string().into() })
    }
}

fn not_connected<Cause>(cause: &Cause) -> RequestError
where
    Cause: ToString,
{
    RequestError::NotConnected { cause: cause.to_string().into() }
}

fn connection_lost<Cause>(cause: &Cause) -> RequestError
where
    Cause: ToString,
{
    RequestError::ConnectionLost { cause: cause.to_string().into() }
}
