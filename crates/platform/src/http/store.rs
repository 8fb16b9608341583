//! HTTP client of the key-value store.

use std::time::Duration;

use async_trait::async_trait;
use chervil_http::reader::WholeReply;
use serde::Deserialize;
use tokio::time;
use url::Url;

use super::transport;
use super::transport::Call;
use super::transport::CallKind;
use super::transport::HttpError;
use super::transport::HttpSettings;
use super::transport::OK;
use super::transport::Transport;
use crate::MAX_VALUE_BYTES;
use crate::Revision;
use crate::Store;
use crate::StoreError;
use crate::Versioned;

/// HTTP status 204 No Content.
const NO_CONTENT: u16 = 204;

/// HTTP status 404 Not Found.
const NOT_FOUND: u16 = 404;

/// HTTP status 409 Conflict: the key has another revision.
const CONFLICT: u16 = 409;

/// HTTP status 413 Content Too Large.
const PAYLOAD_TOO_LARGE: u16 = 413;

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

    fn url(&self, key: &str) -> Url {
        self.transport.url(&format!("kv/{key}"))
    }
}

/// Error of a write that was not answered with success. Only a readable 409
/// proves that nothing was written.
fn write_error(response: &WholeReply) -> StoreError {
    match response.status {
        CONFLICT => match serde_json::from_slice(&response.body) {
            Ok(ConflictReply { current }) => StoreError::Conflict { current },
            Err(_) => StoreError::Unknown,
        },
        _ => StoreError::Unknown,
    }
}

#[async_trait]
impl Store for HttpStore {
    async fn get(&self, key: &str) -> Result<Option<Versioned>, StoreError> {
        let call = Call::new("GET", self.url(key));
        let response = self.transport.send(call, CallKind::Read, Duration::ZERO).await?;
        if response.status == NOT_FOUND {
            return Ok(None);
        }
        transport::json_body(&response, CallKind::Read).map(Some)
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
        let call = Call { body: value, ..Call::new("PUT", url) };
        let response = self.transport.send(call, CallKind::Write, Duration::ZERO).await?;
        if response.status == PAYLOAD_TOO_LARGE {
            return Err(StoreError::TooLarge { size: value.len() });
        }
        if response.status != OK {
            return Err(write_error(&response));
        }
        let reply: WriteReply = transport::json_body(&response, CallKind::Write)?;
        Ok(reply.revision)
    }

    async fn delete_if(&self, key: &str, expected: Revision) -> Result<(), StoreError> {
        let mut url = self.url(key);
        url.query_pairs_mut().append_pair("if_revision", &expected.to_string());
        let call = Call::new("DELETE", url);
        let response = self.transport.send(call, CallKind::Write, Duration::ZERO).await?;
        match response.status {
            OK | NO_CONTENT => Ok(()),
            NOT_FOUND => Err(StoreError::Conflict { current: 0 }),
            _ => Err(write_error(&response)),
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
        let call = Call::new("GET", url);
        let response = self.transport.send(call, CallKind::Read, wait).await?;
        match response.status {
            NO_CONTENT => Ok(None),
            NOT_FOUND => {
                time::sleep(wait.min(ABSENT_KEY_DELAY)).await;
                Ok(None)
            }
            _ => transport::json_body(&response, CallKind::Read).map(Some),
        }
    }

    async fn list(&self, prefix: &str) -> Result<Vec<(Box<str>, Revision)>, StoreError> {
        let mut url = self.transport.url("list");
        url.query_pairs_mut().append_pair("prefix", prefix);
        let call = Call::new("GET", url);
        let response = self.transport.send(call, CallKind::Read, Duration::ZERO).await?;
        transport::json_body(&response, CallKind::Read)
    }
}
