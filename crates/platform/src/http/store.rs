//! HTTP client of the key-value store.

use std::time::Duration;

use async_trait::async_trait;
use reqwest::Response;
use reqwest::StatusCode;
use serde::Deserialize;
use tokio::time;

use super::transport;
use super::transport::CallKind;
use super::transport::HttpError;
use super::transport::HttpSettings;
use super::transport::Transport;
use crate::MAX_VALUE_BYTES;
use crate::Revision;
use crate::Store;
use crate::StoreError;
use crate::Versioned;

/// Upper bound on the delay before a watch reports an absent key. The platform
/// may answer that at once, and callers that watch in a loop would spin.
const ABSENT_KEY_DELAY: Duration = Duration::from_millis(500);

/// Client of `/kv/<key>` and `/list`.
#[derive(Debug)]
pub struct HttpStore {
    transport: Transport,
}

#[derive(Deserialize)]
struct WriteReply {
    revision: Revision,
}

#[derive(Deserialize)]
struct ConflictReply {
    current: Revision,
}

impl HttpStore {
    /// Creates a client. It connects on the first call.
    pub fn new(settings: &HttpSettings) -> Result<HttpStore, HttpError> {
        Ok(HttpStore { transport: Transport::new(settings)? })
    }

    /// Number of calls so far, including failed ones; a watch counts as one.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }

    fn url(&self, key: &str) -> reqwest::Url {
        self.transport.url(&format!("kv/{key}"))
    }
}

/// Error of a write that was not answered with success. Only a readable 409
/// proves that nothing was written.
async fn write_error(response: Response) -> StoreError {
    match response.status() {
        StatusCode::CONFLICT => match transport::decode(response).await {
            Some(ConflictReply { current }) => StoreError::Conflict { current },
            None => StoreError::Unknown,
        },
        _ => StoreError::Unknown,
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let request = self.transport.client().get(self.url(key));
        let response = self.transport.send(request, CallKind::Read, Duration::ZERO).await?;
        if response.status() == StatusCode::NOT_FOUND {
            return Ok(None);
        }
        transport::json_body(response, CallKind::Read).await.map(Some)
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
        let response = self.transport.send(request, CallKind::Write, Duration::ZERO).await?;
        if response.status() == StatusCode::PAYLOAD_TOO_LARGE {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        if response.status() != StatusCode::OK {
            return Err(write_error(response).await);
        }
        let reply: WriteReply = transport::json_body(response, CallKind::Write).await?;
        Ok(reply.revision)
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let mut url = self.url(key);
        url.query_pairs_mut().append_pair("if_revision", &expected.to_string());
        let request = self.transport.client().delete(url);
        let response = self.transport.send(request, CallKind::Write, Duration::ZERO).await?;
        match response.status() {
            StatusCode::OK | StatusCode::NO_CONTENT => Ok(()),
            StatusCode::NOT_FOUND => Err(StoreError::Conflict { current: 0 }),
            _ => Err(write_error(response).await),
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
        let response = self.transport.send(request, CallKind::Read, wait).await?;
        match response.status() {
            StatusCode::NO_CONTENT => Ok(None),
            StatusCode::NOT_FOUND => {
                time::sleep(wait.min(ABSENT_KEY_DELAY)).await;
                Ok(None)
            }
            _ => transport::json_body(response, CallKind::Read).await.map(Some),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        let mut url = self.transport.url("list");
        url.query_pairs_mut().append_pair("prefix", prefix);
        let request = self.transport.client().get(url);
        let response = self.transport.send(request, CallKind::Read, Duration::ZERO).await?;
        transport::json_body(response, CallKind::Read).await
    }
}
