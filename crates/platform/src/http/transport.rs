//! Sends requests and tells failures apart.

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

/// Why an adapter cannot be built.
#[derive(Debug, Snafu)]
pub enum HttpError {
    /// The URL is not usable.
    #[snafu(display("{url:?} is not a URL of the platform; write http://IP:PORT"))]
    Url {
        /// URL given.
        url: Box<str>,
    },
    /// The client cannot be built.
    #[snafu(display("cannot set up the HTTP client: {source}; check the host's limits"))]
    Client {
        /// Cause.
        source: reqwest::Error,
    },
}

/// Where the platform is and how long to wait for it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct HttpSettings {
    /// Base URL, such as `http://127.0.0.1:8500`.
    pub url: Box<str>,
    /// Bound on opening a connection.
    pub connect_timeout: Duration,
    /// Bound on a call, beyond the wait that a watch asks for.
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

/// What a call does if it arrives, which decides what a missing reply means.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Effect {
    Read,
    Write,
}

impl Effect {
    /// Error of a call that was sent and got no usable reply.
    pub(super) fn no_reply(self) -> StoreError {
        match self {
            Effect::Read => StoreError::Unavailable,
            Effect::Write => StoreError::Unknown,
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

    /// URL of `path` below the base; slashes separate its segments.
    pub(super) fn url(&self, path: &str) -> Url {
        let mut url = self.base.clone();
        if let Ok(mut segments) = url.path_segments_mut() {
            segments.pop_if_empty().extend(path.split('/'));
        }
        url
    }

    /// Sends a request and waits for the head of the reply.
    pub(super) async fn send(
        &self,
        request: RequestBuilder,
        effect: Effect,
        wait: Duration,
    ) -> Result<Response, StoreError> {
        self.calls.fetch_add(1, Ordering::Relaxed);
        let result = request.timeout(self.timeout + wait).send().await;
        result.map_err(|e| if e.is_connect() { StoreError::Unavailable } else { effect.no_reply() })
    }
}

/// Reads the body of a reply with the expected status.
pub(super) async fn body<T>(response: Response, effect: Effect) -> Result<T, StoreError>
where
    T: DeserializeOwned,
{
    if response.status() != StatusCode::OK {
        return Err(effect.no_reply());
    }
    response.json().await.map_err(|_| effect.no_reply())
}
