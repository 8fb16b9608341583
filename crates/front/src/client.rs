//! HTTP client with JSON bodies for calls to the registry and to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use chervil_base::HashMap;
use chervil_base::value;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::HeaderMap;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time;

use crate::body::BodyParts;
use crate::registry::RegistryError;
use crate::reply_memory::MemoryUse;
use crate::reply_memory::ReplyMemory;

/// Timeout for opening a connection; a hop between zones takes a hundredth of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Client of one server. Keeps idle connections, as many as there were
/// simultaneous calls.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
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

    /// Sends a request and decodes the body of a reply with status 200. An empty
    /// body counts as JSON `null`.
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
        let json = body.map(serde_json::to_string).transpose();
        let json = json.map_err(|e| unreachable(&e))?.unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(json)))
            .map_err(|e| unreachable(&e))?;
        let mut sender = self.connection().await?;
        let reply = sender.send_request(request).await.map_err(|e| unreachable(&e))?;
        let (head, body) = reply.into_parts();
        let mut memory = MemoryUse::new(self.memory.clone());
        let body = read_body(body, &mut memory).await?;
        self.put_idle(sender);
        match head.status {
            StatusCode::OK => decode(&body).map(|body| Reply { headers: head.headers, body }),
            StatusCode::GONE => Err(RegistryError::HistoryLost),
            status => Err(RegistryError::Refused { status: status.as_u16() }),
        }
    }

    fn put_idle(&self, sender: SendRequest<Full<Bytes>>) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    }

    /// An idle connection that is still open.
    fn take_idle(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    /// An idle connection, or a new one.
    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, RegistryError> {
        if let Some(sender) = self.take_idle() {
            return Ok(sender);
        }
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream =
            connect.await.map_err(|_| connect_timed_out())?.map_err(|e| unreachable(&e))?;
        stream.set_nodelay(true).map_err(|e| unreachable(&e))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| unreachable(&e))?;
        // Errors are ignored: the call that uses the connection fails too.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

/// Reads a body within the limits on the memory of replies.
async fn read_body(mut body: Incoming, memory: &mut MemoryUse) -> Result<Bytes, RegistryError> {
    let mut parts = BodyParts::default();
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame.map_err(|e| unreachable(&e))?.into_data() else { continue };
        if !memory.grow(data.len()) {
            return Err(RegistryError::TooLarge);
        }
        parts.push(data);
    }
    Ok(parts.join())
}

fn decode<Body>(body: &[u8]) -> Result<Body, RegistryError>
where
    Body: DeserializeOwned,
{
    let json = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(json)
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
