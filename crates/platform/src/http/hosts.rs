//! The list of hosts over HTTP.

use std::time::Duration;

use async_trait::async_trait;

use super::transport;
use super::transport::Effect;
use super::transport::HttpError;
use super::transport::HttpSettings;
use super::transport::Transport;
use crate::HostList;
use crate::ListedHost;
use crate::StoreError;

/// Host list of a platform that serves `GET /hosts`.
#[derive(Debug)]
pub struct HttpHosts {
    transport: Transport,
}

impl HttpHosts {
    /// Creates an adapter; nothing is sent yet.
    pub fn new(settings: &HttpSettings) -> Result<HttpHosts, HttpError> {
        Ok(HttpHosts { transport: Transport::new(settings)? })
    }

    /// Calls so far, whatever their result.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }
}

#[async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let request = self.transport.client().get(self.transport.url("hosts"));
        let response = self.transport.send(request, Effect::Read, Duration::ZERO).await?;
        transport::body(response, Effect::Read).await
    }
}
