//! The key-value store over HTTP.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::Response;
use reqwest::StatusCode;
use serde::Deserialize;
use tokio::time;

use super::transport;
use super::transport::Effect;
use super::transport::HttpError;
use super::transport::HttpSettings;
use super::transport::Transport;
use crate::MAX_VALUE_BYTES;
use crate::Revision;
use crate::Store;
use crate::StoreError;
use crate::Versioned;

/// Wait before a watch reports an absent key, in case that the platform
/// answers at once: callers watch in a loop.
const ABSENT_WAIT: Duration = Duration::from_millis(500);

/// Store of a platform that serves `/kv/<key>` and `/list`.
#[derive(Debug)]
pub struct HttpStore {
    transport: Transport,
}

#[derive(Deserialize)]
struct Written {
    revision: Revision,
}

#[derive(Deserialize)]
struct Refused {
    current: Revision,
}

impl HttpStore {
    /// Creates an adapter; nothing is sent yet.
    pub fn new(settings: &HttpSettings) -> Result<HttpStore, HttpError> {
        Ok(HttpStore { transport: Transport::new(settings)? })
    }

    /// Calls so far, whatever their result; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }

    fn url(&self, key: &str) -> reqwest::Url {
        self.transport.url(&format!("kv/{key}"))
    }
}

/// Error of a write that was not answered with 200.
async fn refused(response: Response) -> StoreError {
    match response.status() {
        StatusCode::CONFLICT => match response.json::<Refused>().await {
            Ok(Refused { current }) => StoreError::Conflict { current },
            Err(_) => StoreError::Unknown,
        },
        _ => StoreError::Unknown,
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let request = self.transport.client().get(self.url(key));
        let response = self.transport.send(request, Effect::Read, Duration::ZERO).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        transport::body(response, Effect::Read).await.map(Some)
    }

    async fn put_if(
        &self,
        key: &str,
        expected: Revision,
        value: &str,
    ) -> Result<Revision, StoreError> {
        if value.len() > MAX_VALUE_BYTES {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        let mut url = self.url(key);
        url.query_pairs_mut().append_pair("if_revision", &expected.to_string());
        let request = self.transport.client().put(url).body(value.to_owned());
        let response = self.transport.send(request, Effect::Write, Duration::ZERO).await?;
        if response.status() == StatusCode::PAYLOAD_TOO_LARGE {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        if response.status() != StatusCode::OK {
            return Err(refused(response).await);
        }
        let written: Written = transport::body(response, Effect::Write).await?;
        Ok(written.revision)
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let mut url = self.url(key);
        url.query_pairs_mut().append_pair("if_revision", &expected.to_string());
        let request = self.transport.client().delete(url);
        let response = self.transport.send(request, Effect::Write, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::Conflict { current: 0 }),
            _ => Err(refused(response).await),
        }
    }

    async fn watch(
        &self,
        key: &str,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Versioned>, StoreError> {
        let mut url = self.url(key);
        url.query_pairs_mut()
            .append_pair("after", &after.to_string())
            .append_pair("wait_ms", &wait.as_millis().to_string());
        let request = self.transport.client().get(url);
        let response = self.transport.send(request, Effect::Read, wait).await?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(None),
            StatusCode::NOT_FOUND => {
                time::sleep(wait.min(ABSENT_WAIT)).await;
                Ok(None)
            }
            _ => transport::body(response, Effect::Read).await.map(Some),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        let mut url = self.transport.url("list");
        url.query_pairs_mut().append_pair("prefix", prefix);
        let request = self.transport.client().get(url);
        let response = self.transport.send(request, Effect::Read, Duration::ZERO).await?;
        transport::body(response, Effect::Read).await
    }
}
