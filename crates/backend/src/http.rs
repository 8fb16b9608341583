//! Implementation for the HTTP/1.1 protocol of `chervil-standin`.

use std::error::Error as _;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use chervil_base::value;
use reqwest::Client;
use reqwest::Request;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use serde::de::DeserializeOwned;
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
use crate::dial::DialOnce;
use crate::wire::AskReplyBody;
use crate::wire::RefusedBody;
use crate::wire::RunReplyBody;
use crate::wire::StatusReplyBody;
use crate::wire::WrongVersionBody;

/// Number of unanswered TCP keep-alive probes after which the operating system drops
/// a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Difference between the timeout of a call and the timeout sent to the server, for
/// the transfer of the reply.
const REPLY_TRANSFER_TIME: Duration = Duration::from_millis(2);

/// Minimum timeout sent to a server.
const MIN_TIMEOUT: Duration = Duration::from_millis(1);

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
#[derive(Clone, Copy, Debug, Default)]
pub struct HttpConnector {
    settings: HttpSettings,
}

impl HttpConnector {
    /// Creates a connector with these limits.
    pub fn new(settings: HttpSettings) -> HttpConnector {
        HttpConnector { settings }
    }

    fn client(&self, dial: &DialOnce) -> Result<Client, RequestError> {
        let s = self.settings;
        let builder = Client::builder()
            .http1_only()
            .no_proxy()
            .redirect(reqwest::redirect::Policy::none())
            .retry(reqwest::retry::never())
            .pool_max_idle_per_host(1)
            .pool_idle_timeout(None)
            .tcp_nodelay(true)
            .tcp_keepalive(s.keepalive)
            .tcp_keepalive_interval(s.keepalive)
            .tcp_keepalive_retries(KEEPALIVE_PROBES)
            .connector_layer(dial.clone());
        #[cfg(target_os = "linux")]
        let builder = builder.tcp_user_timeout(s.user_timeout);
        builder.build().map_err(|e| RequestError::NotConnected { cause: error_chain(&e) })
    }

    fn new_connection(&self, address: SocketAddr) -> Result<HttpConnection, RequestError> {
        let dial = DialOnce::default();
        let client = self.client(&dial)?;
        let base_url = format!("http://{address}").into();
        let max_reply_bytes = self.settings.max_reply_bytes;
        Ok(HttpConnection { client, dial, base_url, max_reply_bytes })
    }
}

#[async_trait]
impl Connector for HttpConnector {
    async fn open(&self, address: SocketAddr, timeout: Duration) -> Result<Opened, RequestError> {
        let connection = self.new_connection(address)?;
        match connection.status(timeout).await {
            Ok(status) => Ok(Opened { connection: Box::new(connection), status }),
            Err(RequestError::TimedOut) => Err(RequestError::TimedOut),
            // Only a status request was sent, so no failure can leave work running.
            Err(e @ RequestError::NotConnected { .. }) => Err(e),
            Err(e) => Err(RequestError::NotConnected { cause: e.to_string().into() }),
        }
    }

    fn open_lazy(&self, address: SocketAddr) -> Result<Box<dyn Connection>, RequestError> {
        Ok(Box::new(self.new_connection(address)?))
    }
}

/// One connection: an HTTP client that dials once and keeps that connection in its
/// pool.
struct HttpConnection {
    client: Client,
    dial: DialOnce,
    base_url: Box<str>,
    max_reply_bytes: usize,
}

impl HttpConnection {
    fn post(&self, path: &str, timeout: Duration, traceparent: Option<&str>) -> RequestBuilder {
        let mut request = self.client.post(format!("{}{path}", self.base_url));
        let timeout = timeout.saturating_sub(REPLY_TRANSFER_TIME).max(MIN_TIMEOUT);
        request = request.header("x-timeout-ms", timeout.as_millis().to_string());
        if let Some(traceparent) = traceparent {
            request = request.header("traceparent", traceparent);
        }
        request
    }

    async fn send(
        &self,
        builder: RequestBuilder,
        timeout: Duration,
    ) -> Result<Reply, RequestError> {
        let request =
            builder.build().map_err(|e| RequestError::NotConnected { cause: error_chain(&e) })?;
        match time::timeout(timeout, self.execute(request)).await {
            Ok(result) => result,
            Err(_) if self.dial.is_connected() => Err(RequestError::TimedOut),
            Err(_) => {
                let cause = format!("not connected within {} ms", timeout.as_millis()).into();
                Err(RequestError::NotConnected { cause })
            }
        }
    }

    async fn execute(&self, request: Request) -> Result<Reply, RequestError> {
        let response = self.client.execute(request).await.map_err(send_error)?;
        let status = response.status();
        let body = self.read_body(response).await?;
        Ok(Reply { status, body })
    }

    async fn read_body(&self, mut response: Response) -> Result<Vec<u8>, RequestError> {
        let mut body = Vec::new();
        loop {
            let chunk = response.chunk().await;
            let chunk =
                chunk.map_err(|e| RequestError::ConnectionLost { cause: error_chain(&e) })?;
            let Some(chunk) = chunk else {
                return Ok(body);
            };
            if body.len() + chunk.len() > self.max_reply_bytes {
                let cause = format!("the body exceeds {} bytes", self.max_reply_bytes).into();
                return Err(RequestError::InvalidReply { cause });
            }
            body.extend_from_slice(&chunk);
        }
    }
}

#[async_trait]
impl Connection for HttpConnection {
    async fn ask(&self, call: &AskCall) -> Result<AskResponse, RequestError> {
        let path = format!("/shard/{}/{}", call.service, call.shard);
        let request = self.post(&path, call.timeout, call.traceparent.as_deref());
        let request = request
            .header("x-index-version", call.version)
            .header("x-request-id", &*call.request_id)
            .body(String::from(&*call.body));
        let reply = self.send(request, call.timeout).await?;
        reply.check_status()?.json::<AskReplyBody>().map(AskResponse::from)
    }

    async fn run(&self, call: &RunCall) -> Result<RunResponse, RequestError> {
        let path = format!("/run/{}", call.service);
        let request = self.post(&path, call.timeout, call.traceparent.as_deref());
        let request = request.header("idempotency-key", &*call.key).body(String::from(&*call.body));
        let reply = self.send(request, call.timeout).await?.check_status()?;
        let body = String::from_utf8(reply.body);
        let body = body.map_err(|e| RequestError::InvalidReply { cause: e.to_string().into() })?;
        // The body is passed to the caller as it is; it need not contain a load.
        let load = serde_json::from_str::<RunReplyBody>(&body).ok().map(RunReplyBody::into_load);
        Ok(RunResponse { body: body.into(), load })
    }

    async fn status(&self, timeout: Duration) -> Result<ServerStatus, RequestError> {
        let request = self.client.get(format!("{}/status", self.base_url));
        let reply = self.send(request, timeout).await?;
        reply.check_status()?.json::<StatusReplyBody>().map(ServerStatus::from)
    }

    fn close(self: Box<Self>) {}
}

struct Reply {
    status: StatusCode,
    body: Vec<u8>,
}

impl Reply {
    /// Maps every status code other than 200 to an error.
    fn check_status(self) -> Result<Reply, RequestError> {
        match self.status {
            StatusCode::OK => Ok(self),
            StatusCode::CONFLICT => {
                let body: WrongVersionBody = self.json().unwrap_or_default();
                Err(RequestError::WrongVersion { held: body.versions })
            }
            StatusCode::SERVICE_UNAVAILABLE => {
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

fn send_error(error: reqwest::Error) -> RequestError {
    let cause = error_chain(&error);
    if error.is_connect() || error.is_builder() {
        RequestError::NotConnected { cause }
    } else {
        RequestError::ConnectionLost { cause }
    }
}

/// Text of an error followed by those of its sources.
fn error_chain(error: &reqwest::Error) -> Box<str> {
    let mut text = error.to_string();
    let mut cause = error.source();
    while let Some(c) = cause {
        text.push_str(": ");
        text.push_str(&c.to_string());
        cause = c.source();
    }
    text.into()
}
