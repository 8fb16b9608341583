//! Sends requests and maps their failures to [`StoreError`].

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use reqwest::Client;
use reqwest::RequestBuilder;
use reqwest::Response;
use reqwest::StatusCode;
use reqwest::Url;
use reqwest::redirect::Policy;
use serde::de::DeserializeOwned;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;

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
    /// The HTTP library cannot be initialised.
    #[snafu(display(
        "cannot set up the HTTP client: {source}; check the host's limits on threads and files"
    ))]
    Client {
        /// Cause reported by the library.
        source: reqwest::Error,
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

#[derive(Debug)]
pub(super) struct Transport {
    client: Client,
    base: Url,
    timeout: Duration,
    calls: AtomicU64,
}

impl Transport {
    pub(super) fn new(settings: &HttpSettings) -> Result<Transport, HttpError> {
        let url = &settings.url;
        let base = Url::parse(url).ok().filter(|u| u.scheme() == "http" && u.has_host());
        let base = base.context(UrlSnafu { url: url.clone() })?;
        let client = Client::builder()
            .connect_timeout(settings.connect_timeout)
            .redirect(Policy::none())
            .no_proxy()
            .build()
            .context(ClientSnafu)?;
        Ok(Transport { client, base, timeout: settings.timeout, calls: AtomicU64::new(0) })
    }

    pub(super) fn calls(&self) -> u64 {
        self.calls.load(Ordering::Relaxed)
    }

    pub(super) fn client(&self) -> &Client {
        &self.client
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

    /// Sends a request and waits for the head of the response, for the timeout
    /// plus `extra`.
    pub(super) async fn send(
        &self,
        request: RequestBuilder,
        kind: CallKind,
        extra: Duration,
    ) -> Result<Response, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let result = request.timeout(self.timeout + extra).send().await;
        result
            .map_err(|e| if e.is_connect() { StoreError::Unavailable } else { kind.no_response() })
    }
}

/// Parses the JSON body of a response; any status but 200 is an error.
pub(super) async fn json_body<T>(response: Response, kind: CallKind) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    if response.status() != StatusCode::OK {
        return Err(kind.no_response());
    }
    decode(response).await.ok_or(kind.no_response())
}

/// Parses the JSON body of a response with any status. None if it is unreadable or too large.
pub(super) async fn decode<T>(mut response: Response) -> Option<T>
where
    T: DeserializeOwned,
{
    let mut body = Vec::new();
    while let Some(chunk) = response.chunk().await.ok()? {
        if body.len() + chunk.len() > MAX_RESPONSE_BYTES {
            return None;
        }
        body.extend_from_slice(&chunk);
    }
    serde_json::from_slice(&body).ok()
}
