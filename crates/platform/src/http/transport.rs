//! Sends requests and maps their failures to [`StoreError`].

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use chervil_http::memory::MemoryUse;
use chervil_http::memory::ReplyMemory;
use chervil_http::reader::ReplyReader;
use chervil_http::reader::WholeReply;
use serde::de::DeserializeOwned;
use snafu::OptionExt as _;
use snafu::Snafu;
use tokio::net::TcpStream;
use tokio::time;
use url::Position;
use url::Url;

use crate::StoreError;

/// Why a client cannot be created.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The URL does not have the form `http://HOST[:PORT]`.
    #[snafu(display("{url:?} is not a valid URL of the platform; use the form http://IP:PORT"))]
    Url {
        /// URL from the settings.
        url: Box<str>,
    },
}

/// Address and timeouts of the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpSettings {
    /// Base URL, such as `http://127.0.0.1:8500`.
    pub url: Box<str>,
    /// Timeout for opening a connection.
    pub connect_timeout: Duration,
    /// Timeout of a call. For a watch its requested wait is added.
    pub timeout: Duration,
}

impl HttpSettings {
    /// Settings with the default timeouts: 500 ms to connect, 2 s for a call.
    pub fn new(url: &str) -> HttpSettings {
        HttpSettings {
            url: url.into(),
            connect_timeout: Duration::from_millis(500),
            timeout: Duration::from_secs(2),
        }
    }
}

/// Largest body of a response: the list of 200,000 keys, or a value of the largest size with
/// each byte escaped in JSON.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Whether a call changes the store. Decides what a missing response means: a
/// read can be repeated, a write may have taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum CallKind {
    Read,
    Write,
}

impl CallKind {
    /// Error of a call that was sent and got no usable response.
    pub(super) fn no_response(self) -> StoreError {
        match self {
            CallKind::Read => StoreError::Unavailable,
            CallKind::Write => StoreError::Unknown,
        }
    }
}

/// HTTP status 200 OK.
pub(super) const OK: u16 = 200;

/// Limit on the first 16 KiB of all responses that are read at the same time.
const MAX_SMALL_RESPONSE_BYTES: usize = 2 * 1024 * 1024;

/// A call.
pub(super) struct Call<'a> {
    pub(super) method: &'static str,
    pub(super) url: Url,
    pub(super) body: &'a str,
}

impl Call<'_> {
    /// A call with a method that has no body.
    pub(super) fn new(method: &'static str, url: Url) -> Call<'static> {
        Call { method, url, body: "" }
    }

    fn encode(&self) -> String {
        let Call { method, url, body } = self;
        let path = &url[Position::BeforePath..Position::AfterQuery];
        let host = &url[Position::BeforeHost..Position::AfterPort];
        let length = body.len();
        format!(
            "{method} {path} HTTP/1.1\r\nhost: {host}\r\ncontent-length: {length}\r\n\r\n{body}"
        )
    }
}

/// Connections to the platform. Keeps idle ones, as many as there were simultaneous calls.
#[derive(Debug)]
pub(super) struct Transport {
    base: Url,
    host: Box<str>,
    port: u16,
    settings: HttpSettings,
    idle: Mutex<Vec<ReplyReader>>,
    memory: Arc<ReplyMemory>,
    calls: AtomicU64,
}

impl Transport {
    pub(super) fn new(settings: &HttpSettings) -> Result<Transport, HttpError> {
        let url = &settings.url;
        let base = Url::parse(url).ok().filter(|u| u.scheme() == "http");
        let base = base.context(UrlSnafu { url: url.clone() })?;
        // Without the brackets that a URL puts around an IPv6 address.
        let host = base.host_str().context(UrlSnafu { url: url.clone() })?;
        let host = host.trim_matches(['[', ']']).into();
        let port = base.port_or_known_default().context(UrlSnafu { url: url.clone() })?;
        let memory = ReplyMemory::new(MAX_SMALL_RESPONSE_BYTES, MAX_RESPONSE_BYTES);
        Ok(Transport {
            base,
            host,
            port,
            settings: settings.clone(),
            idle: Mutex::default(),
            memory: Arc::new(memory),
            calls: AtomicU64::new(0),
        })
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    /// URL of `path` below the base URL. Percent-encodes each segment between
    /// slashes.
    pub(super) fn url(&self, path: &str) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.pop_if_empty().extend(path.split('/'));
        }
        url
    }

    /// Sends a call and reads its response, for the timeout plus `extra`.
    pub(super) async fn send(
        &self,
        call: Call<'_>,
        kind: CallKind,
        extra: Duration,
    ) -> Result<WholeReply, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let mut connection = self.connection().await.ok_or(StoreError::Unavailable)?;
        let message = call.encode();
        let exchange = async {
            connection.send(message.as_bytes()).await.ok()?;
            connection.read_reply().await.ok()
        };
        let response = time::timeout(self.settings.timeout + extra, exchange).await;
        let response = response.ok().flatten().ok_or(kind.no_response())?;
        if !response.closes {
            self.idle().push(connection);
        }
        Ok(response)
    }

    /// An idle connection that is still open, or a new one. None if it cannot be opened.
    async fn connection(&self) -> Option<ReplyReader> {
        let idle = {
            let mut idle = self.idle();
            idle.retain_mut(ReplyReader::is_clean);
            idle.pop()
        };
        if idle.is_some() {
            return idle;
        }
        let connect = TcpStream::connect((&*self.host, self.port));
        let stream = time::timeout(self.settings.connect_timeout, connect).await.ok()?.ok()?;
        stream.set_nodelay(true).ok()?;
        Some(ReplyReader::new(stream, MemoryUse::new(self.memory.clone()), MAX_RESPONSE_BYTES))
    }

    fn idle(&self) -> MutexGuard<'_, Vec<ReplyReader>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Parses the JSON body of a response; any status but 200 is an error.
pub(super) fn json_body<T>(response: &WholeReply, kind: CallKind) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    if response.status != OK {
        return Err(kind.no_response());
    }
    serde_json::from_slice(&response.body).map_err(|_| kind.no_response())
}
