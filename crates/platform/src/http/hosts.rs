//! HTTP client of the host list.

use std::time::Duration;

use async_trait::async_trait;

use super::transport;
use super::transport::Call;
use super::transport::CallKind;
use super::transport::HttpError;
use super::transport::HttpSettings;
use super::transport::Transport;
use crate::HostList;
use crate::ListedHost;
use crate::StoreError;

/// Client of `GET /hosts`.
#[derive(Debug)]
pub struct HttpHosts {
    transport: Transport,
}

impl HttpHosts {
    /// Creates a client. It connects on the first call.
    pub fn new(settings: &HttpSettings) -> Result<HttpHosts, HttpError> {
        Ok(HttpHosts { transport: Transport::new(settings)? })
    }

    /// Number of calls so far, including failed ones.
    pub fn calls(&self) -> u64 {
        self.transport.calls()
    }
}

#[async_trait]
impl HostList for HttpHosts {
    async fn hosts(&self) -> Result<Vec<ListedHost>, StoreError> {
        let call = Call::new("GET", self.transport.url("hosts"));
        let response = self.transport.send(call, CallKind::Read, Duration::ZERO).await?;
        transport::json_body(&response, CallKind::Read)
    }
}
