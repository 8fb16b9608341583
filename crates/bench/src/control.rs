//! Client of the stand-in's control port.

use std::net::SocketAddr;

use chervil_standin::control::ServerInfo;
use chervil_standin::stats::Stats;
use reqwest::Client;
use serde_json::Value;
use snafu::ResultExt as _;
use snafu::Snafu;

/// The stand-in cannot be reached or refuses a command.
#[derive(Debug, Snafu)]
#[snafu(display("the stand-in's control port failed at {path}: {source}; check `control`"))]
pub struct ControlError {
    path: Box<str>,
    source: reqwest::Error,
}

/// The stand-in's control port.
#[derive(Clone, Debug)]
pub struct Control {
    address: SocketAddr,
    client: Client,
}

impl Control {
    /// The control port at `address`.
    pub fn new(address: SocketAddr) -> Control {
        Control { address, client: Client::new() }
    }

    /// Runs a command.
    pub async fn send(
        &self,
        target: &str,
        command: &str,
        body: &Value,
    ) -> Result<(), ControlError> {
        self.post(&format!("control/{target}/{command}"), body.to_string()).await
    }

    /// Simulated servers.
    pub async fn servers(&self) -> Result<Vec<ServerInfo>, ControlError> {
        self.get("servers").await
    }

    /// All counters.
    pub async fn stats(&self) -> Result<Stats, ControlError> {
        self.get("stats").await
    }

    /// Sets all counters to zero.
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
