//! HTTP calls with JSON bodies, to the registry and to other hosts.

use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use http_body_util::Full;
use hyper::Method;
use hyper::Request;
use hyper::StatusCode;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper::header;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time;

use crate::registry::RegistryError;

/// Longest time that opening a connection takes; a hop between zones takes a
/// hundredth of it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(250);

/// Client of one server; keeps a connection for each call that runs at a time.
#[derive(Debug)]
pub struct Client {
    address: SocketAddr,
    idle: Mutex<Vec<SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// A client of the server at `address`.
    pub fn new(address: SocketAddr) -> Client {
        Client { address, idle: Mutex::new(Vec::new()) }
    }

    /// Makes a call and decodes the body of a success. A connection whose call
    /// fails or is given up is not used again.
    pub async fn call<Question, Body>(
        &self,
        method: Method,
        path: &str,
        body: Option<&Question>,
    ) -> Result<Body, RegistryError>
    where
        Question: Serialize,
        Body: DeserializeOwned,
    {
        let text = body.map(serde_json::to_string).transpose();
        let text = text.map_err(|e| unreachable(&e))?.unwrap_or_default();
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header(header::HOST, self.address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(text)))
            .map_err(|e| unreachable(&e))?;
        let mut sender = self.connection().await?;
        let answer = sender.send_request(request).await.map_err(|e| unreachable(&e))?;
        let status = answer.status();
        let body = answer.into_body().collect().await.map_err(|e| unreachable(&e))?.to_bytes();
        self.keep(sender);
        match status {
            StatusCode::OK => decode(&body),
            StatusCode::GONE => Err(RegistryError::HistoryLost),
            StatusCode::NOT_FOUND => Err(RegistryError::LeaseExpired),
            _ => Err(RegistryError::Refused { status: status.as_u16() }),
        }
    }

    fn keep(&self, sender: SendRequest<Full<Bytes>>) {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner).push(sender);
    }

    fn kept(&self) -> Option<SendRequest<Full<Bytes>>> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        while let Some(sender) = idle.pop() {
            if sender.is_ready() {
                return Some(sender);
            }
        }
        None
    }

    async fn connection(&self) -> Result<SendRequest<Full<Bytes>>, RegistryError> {
        if let Some(sender) = self.kept() {
            return Ok(sender);
        }
        let connect = time::timeout(CONNECT_TIMEOUT, TcpStream::connect(self.address));
        let stream = connect.await.map_err(|e| unreachable(&e))?.map_err(|e| unreachable(&e))?;
        stream.set_nodelay(true).map_err(|e| unreachable(&e))?;
        let (sender, connection) =
            http1::handshake(TokioIo::new(stream)).await.map_err(|e| unreachable(&e))?;
        // An error of the connection also ends the call that uses it.
        tokio::spawn(async move {
            let _ = connection.await;
        });
        Ok(sender)
    }
}

fn decode<Body>(body: &[u8]) -> Result<Body, RegistryError>
where
    Body: DeserializeOwned,
{
    let text = if body.is_empty() { b"null" } else { body };
    serde_json::from_slice(text)
        .map_err(|e| RegistryError::Unreadable { reason: e.to_string().into() })
}

fn unreachable<Cause>(cause: &Cause) -> RegistryError
where
    Cause: std::fmt::Display,
{
    RegistryError::Unreachable { reason: cause.to_string().into() }
}
