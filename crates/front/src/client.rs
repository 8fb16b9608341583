//! HTTP client with JSON bodies for calls to the registry and to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use chervil_base::HashMap;
use chervil_base::value;
use chervil_http::error::ExchangeError;
use chervil_http::memory::MAX_LARGE_CALL_BYTES;
use chervil_http::memory::MemoryUse;
use chervil_http::memory::ReplyMemory;
use chervil_http::reader;
use chervil_http::reader::ReplyReader;
use hyper::HeaderMap;
use hyper::Method;
use hyper::StatusCode;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde::de::IgnoredAny;
use tokio::net::TcpStream;
use tokio::time;

use crate::registry::RegistryError;

/// Timeout for opening a connection; a hop between zones takes a hundredth of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Client of one server. Keeps idle connections, as many as there were
/// simultaneous calls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<ReplyReader>>,
    /// Memory of the replies being read.
    memory: Arc<ReplyMemory>,
}

value! {
    /// A reply with status 200.
    pub struct Reply<Body> {
        /// Headers.
        pub headers: HeaderMap,
        /// Decoded body.
        pub body: Body,
    }
}

/// Maximum size of a reply's body: the memory for the replies of all calls.
const MAX_BODY_BYTES: usize = MAX_LARGE_CALL_BYTES;

/// Number of servers to which connections are kept. Hosts that are replaced have new
/// addresses.
const MAX_CLIENTS: usize = 256;

/// Clients of several servers, by address.
#[derive(Debug)]
pub struct Clients {
    clients: HashMap<SocketAddr, Arc<Client>>,
    /// Shared by all clients.
    memory: Arc<ReplyMemory>,
}

impl Clients {
    /// Clients whose replies take this memory.
    pub fn new(memory: Arc<ReplyMemory>) -> Clients {
        Clients { clients: HashMap::default(), memory }
    }

    /// Client of the server at `address`.
    pub fn get(&mut self, address: SocketAddr) -> Arc<Client> {
        if !self.clients.contains_key(&address) {
            // Hosts that are replaced leave closed connections behind.
            self.clients.retain(|_, c| c.keeps_connections() || Arc::strong_count(c) > 1);
        }
        if self.clients.len() >= MAX_CLIENTS && !self.clients.contains_key(&address) {
            // Calls in progress keep their client.
            self.clients.clear();
        }
        let new_client = || Arc::new(Client::with_memory(address, self.memory.clone()));
        self.clients.entry(address).or_insert_with(new_client).clone()
    }
}

impl Client {
    /// Client of the server at `address`. Connects on the first call.
    pub fn new(address: SocketAddr) -> Client {
        Client::with_memory(address, Arc::new(ReplyMemory::for_calls()))
    }

    /// The same with memory that it shares with other clients.
    fn with_memory(address: SocketAddr, memory: Arc<ReplyMemory>) -> Client {
        Client { address, idle: Mutex::new(Vec::new()), memory }
    }

    /// Like [`Client::exchange`], without the headers of the reply.
    pub async fn call<Payload, Body>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Payload>,
    ) -> Result<Body, RegistryError>
    where
        Payload: Serialize,
        Body: DeserializeOwned,
    {
        self.exchange(method, path, body).await.map(|reply| reply.body)
    }

    /// Sends a request whose reply states nothing but its status 200: the body may be empty.
    pub async fn command<Payload>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Payload>,
    ) -> Result<(), RegistryError>
    where
        Payload: Serialize,
    {
        let (_, body) = self.send(method, path, body).await?;
        if body.is_empty() { Ok(()) } else { decode::<IgnoredAny>(&body).map(|_| ()) }
    }

    /// Sends a request and decodes the body of a reply with status 200.
    ///
    /// Status 410 is reported as [`RegistryError::HistoryLost`]. A connection whose call fails or is
    /// cancelled is not reused.
    pub async fn exchange<Payload, Body>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Payload>,
    ) -> Result<Reply<Body>, RegistryError>
    where
        Payload: Serialize,
        Body: DeserializeOwned,
    {
        let (headers, body) = self.send(method, path, body).await?;
        decode(&body).map(|body| Reply { headers, body })
    }

    /// Sends a request and returns the headers and the body of a reply with status 200.
    async fn send<Payload>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Payload>,
    ) -> Result<(HeaderMap, Bytes), RegistryError>
    where
        Payload: Serialize,
    {
        let json = body.map(serde_json::to_string).transpose();
        let json = json.map_err(|e| unreachable(&e))?.unwrap_or_default();
        let has_body = method != Method::GET || !json.is_empty();
        let length = has_body.then(|| format!("content-length: {}\r\n", json.len()));
        let message = format!(
            "{method} {path} HTTP/1.1\r\nhost: {}\r\ncontent-type: application/json\r\n{}\r\n{json}",
            self.address,
            length.unwrap_or_default(),
        );
        let mut connection = self.connection().await?;
        connection.send(message.as_bytes()).await.map_err(|e| unreachable(&e))?;
        let reply = connection.read_reply().await.map_err(reply_error)?;
        if !reply.closes {
            self.put_idle(connection);
        }
        match StatusCode::from_u16(reply.status) {
            Ok(StatusCode::OK) => Ok((reply.headers, reply.body)),
            Ok(StatusCode::GONE) => Err(RegistryError::HistoryLost),
            _ => Err(RegistryError::Refused { status: reply.status }),
        }
    }

    fn put_idle(&self, connection: ReplyReader) {
        self.idle().push(connection);
    }

    /// Whether any idle connection is still open. Closes the others.
    fn keeps_connections(&self) -> bool {
        let mut idle = self.idle();
        idle.retain_mut(ReplyReader::is_clean);
        !idle.is_empty()
    }

    /// An idle connection that is still open and has no unread bytes. Closes those that are not.
    fn take_idle(&self) -> Option<ReplyReader> {
        let mut idle = self.idle();
        idle.retain_mut(ReplyReader::is_clean);
        idle.pop()
    }

    fn idle(&self) -> MutexGuard<'_, Vec<ReplyReader>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An idle connection, or a new one.
    async fn connection(&self) -> Result<ReplyReader, RegistryError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream =
            connect.await.map_err(|_| connect_timed_out())?.map_err(|e| unreachable(&e))?;
        stream.set_nodelay(true).map_err(|e| unreachable(&e))?;
        Ok(ReplyReader::new(stream, MemoryUse::new(self.memory.clone()), MAX_BODY_BYTES))
    }
}

fn reply_error(error: ExchangeError) -> RegistryError {
    match error {
        ExchangeError::InvalidReply { reason } if reader::is_too_large(reason) => {
            RegistryError::TooLarge
        }
        ExchangeError::InvalidReply { reason } => {
            RegistryError::Unreadable { reason: reason.into() }
        }
        error => unreachable(&error),
    }
}

fn decode<Body>(body: &[u8]) -> Result<Body, RegistryError>
where
    Body: DeserializeOwned,
{
    serde_json::from_slice(body)
        .map_err(|e| RegistryError::Unreadable { reason: e.to_string().into() })
}

fn connect_timed_out() -> RegistryError {
    let reason = format!("no connection within {} ms", CONNECT_TIMEOUT.as_millis());
    RegistryError::Unreachable { reason: reason.into() }
}

fn unreachable<Cause>(cause: &Cause) -> RegistryError
where
    Cause: std::fmt::Display,
{
    RegistryError::Unreachable { reason: cause.to_string().into() }
}
