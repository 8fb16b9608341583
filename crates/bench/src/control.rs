//! Client of the stand-in's control port.

use std::net::SocketAddr;

use chervil_standin::control::ServerInfo;
use chervil_standin::stats::Stats;
use reqwest::Client;
use serde_json::Value;
use snafu::ResultExt as _;
use snafu::Snafu;

/// A call to the stand-in's control port failed.
#[derive(Debug, Snafu)]
#[snafu(display(
    "request for {path} to the stand-in's control port failed: {source}; check `control` in the \
     settings"
))]
pub struct ControlError {
    path: Box<str>,
    source: reqwest::Error,
}

/// Client of the control port; clones share its connections.
#[derive(Clone, Debug)]
pub struct Control {
    address: SocketAddr,
    client: Client,
}

impl Control {
    /// Creates a client. It connects on the first call.
    pub fn new(address: SocketAddr) -> Control {
        Control { address, client: Client::new() }
    }

    /// Runs a command with `body` as its arguments.
    pub async fn send(
        &self,
        target: &str,
        command: &str,
        body: &Value,
    ) -> Result<(), ControlError> {
        self.post(&format!("control/{target}/{command}"), body.to_string()).await
    }

    /// Lists the simulated servers.
    pub async fn servers(&self) -> Result<Vec<ServerInfo>, ControlError> {
        self.get("servers").await
    }

    /// Reads all counters.
    pub async fn stats(&self) -> Result<Stats, ControlError> {
        self.get("stats").await
    }

    /// Resets all counters.
    pub async fn reset_stats(&self) -> Result<(), ControlError> {
        self.post("stats/reset", String::new()).await
    }

    async fn post(&self, path: &str, body: String) -> Result<(), ControlError> {
        let request = self.client.post(self.url(path)).body(body);
        let reply = request.send().await.and_then(reqwest::Response::error_for_status);
        reply.context(ControlSnafu { path }).map(drop)
    }

    async fn get<T>(&self, path: &str) -> Result<T, ControlError>
    where
        T: serde::de::DeserializeOwned,
    {
        let reply = self.client.get(self.url(path)).send().await;
        reply.context(ControlSnafu { path })?.json().await.context(ControlSnafu { path })
    }

    fn url(&self, path: &str) -> String {
        format!("http://{}/{path}", self.address)
    }
}
