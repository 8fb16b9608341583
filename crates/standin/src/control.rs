//! HTTP interface that injects faults and reads counters at run time.
//!
//! `POST /control/<target>/<command>` runs a command, with its arguments as JSON
//! in the body. A target is the name of a server, `service:<name>`,
//! `zone:<name>`, `all` or `platform`. `GET /stats` returns all counters and
//! `POST /stats/reset` resets them. `GET /servers` lists the servers with their
//! versions and faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use async_trait::async_trait;
use chervil_base::index::HeldVersion;
use chervil_base::message;
use chervil_base::shards::ShardSet;
use hyper::Method;
use hyper::StatusCode;
use serde_json::Value;
use snafu::OptionExt as _;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::cluster::Cluster;
use crate::faults::Faults;
use crate::http::Handler;
use crate::http::HttpRequest;
use crate::http::HttpResponse;
use crate::server::Server;
use crate::settings::assigned_shards;

message! {
    /// Body of `publish`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Publish {
        /// Number of the index version; replaces a version of the same number.
        pub version: u64,
        /// Number of shards of the version.
        pub shards: u32,
        /// Shards that each target holds; if absent, the shards are spread over
        /// the servers of the service.
        pub held: Option<ShardSet>,
        /// Number of servers that hold each shard when they are spread; 2 if
        /// absent.
        pub replicas: Option<u32>,
    }

    /// Body of `retire`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Retire {
        /// Number of the index version.
        pub version: u64,
    }

    /// Body of `mark` and `down`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Switch {
        /// Whether the target is out of service (`mark`) or down (`down`).
        pub on: bool,
    }

    /// Body of `silence`.
    #[serde(deny_unknown_fields)]
    pub struct Silence {
        /// Share of the open connections, from 0 to 1; all of them if absent.
        #[serde(default = "default_share")]
        pub share: f64,
    }

    /// Entry of `GET /servers`.
    pub struct ServerInfo {
        /// Name of the server.
        pub name: Box<str>,
        /// Service that it belongs to.
        pub service: Box<str>,
        /// Availability zone that it runs in.
        pub zone: Box<str>,
        /// Address that it listens on.
        pub address: SocketAddr,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of open connections.
        pub connections: u32,
        /// Index versions that it holds.
        pub versions: Vec<HeldVersion>,
        /// Service times and injected faults.
        pub faults: Faults,
    }

    /// Response to a successful command.
    #[derive(Eq)]
    pub struct CommandReply {
        /// Number of servers that the command was applied to; 0 for `platform`.
        pub servers: usize,
    }
}

fn default_share() -> f64 {
    1.0
}

/// Why a command was rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// No server matches the target, or no platform is simulated.
    #[snafu(display(
        "target {target:?} matches nothing; use a server, service:NAME, zone:NAME, all or platform"
    ))]
    Target {
        /// Target of the command.
        target: Box<str>,
    },
    /// The target has no such command.
    #[snafu(display(
        "command {command:?} is unknown; use faults, mark, down, chill, warm, restart, reset, \
         silence, publish or retire"
    ))]
    Command {
        /// Name of the command.
        command: Box<str>,
    },
    /// The body is not the JSON that the command expects.
    #[snafu(display("the body is not valid: {source}; see crates/standin/src/control.rs"))]
    Body {
        /// Position and cause of the error.
        source: serde_json::Error,
    },
}

/// Handler of the control port.
pub struct ControlHandler {
    /// Servers and platform that the commands apply to.
    pub cluster: Arc<Cluster>,
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, request: HttpRequest) -> HttpResponse {
        let path: Vec<&str> = request.path.trim_matches('/').split('/').collect();
        match (&request.method, path.as_slice()) {
            (&Method::GET, ["stats"]) => HttpResponse::json(StatusCode::OK, &self.cluster.stats()),
            (&Method::GET, ["servers"]) => {
                HttpResponse::json(StatusCode::OK, &self.cluster.server_infos())
            }
            (&Method::POST, ["stats", "reset"]) => {
                self.cluster.reset_stats();
                HttpResponse::json(
                    StatusCode::OK,
                    &CommandReply { servers: self.cluster.servers.len() },
                )
            }
            (&Method::POST, ["control", target, command]) => {
                match self.apply(target, command, &request.body) {
                    Ok(servers) => HttpResponse::json(StatusCode::OK, &CommandReply { servers }),
                    Err(e) => HttpResponse::json(StatusCode::BAD_REQUEST, &e.to_string()),
                }
            }
            _ => HttpResponse::Empty(StatusCode::NOT_FOUND),
        }
    }
}

impl ControlHandler {
    fn apply(&self, target: &str, command: &str, body: &[u8]) -> Result<usize, ControlError> {
        let body = if body.is_empty() { b"{}" } else { body };
        if target == "platform" {
            let platform = self.cluster.platform.as_ref().context(TargetSnafu { target })?;
            platform.apply(command, body)?;
            return Ok(0);
        }
        let servers = self.cluster.select(target);
        if servers.is_empty() {
            return TargetSnafu { target }.fail();
        }
        for server in &servers {
            self.apply_to_server(server, command, body)?;
        }
        Ok(servers.len())
    }

    fn apply_to_server(
        &self,
        server: &Arc<Server>,
        command: &str,
        body: &[u8],
    ) -> Result<(), ControlError> {
        match command {
            "faults" => {
                let mut model = server.model();
                let patched = patch(&model.faults, body)?;
                model.faults = patched;
            }
            "mark" => server.model().set_out_of_service(parse::<Switch>(body)?.on, Instant::now()),
            "down" => server.set_down(parse::<Switch>(body)?.on),
            "chill" => server.model().make_cold(),
            "warm" => server.model().make_warm(),
            "restart" => {
                let downtime = Duration::from_millis(server.model().faults.restart_ms);
                server.restart(downtime);
            }
            "reset" => server.reset_connections(),
            "silence" => {
                server.silence(parse::<Silence>(body)?.share);
            }
            "publish" => {
                let version = self.held_version(server, parse(body)?);
                server.model().publish(version);
            }
            "retire" => server.model().retire(parse::<Retire>(body)?.version),
            _ => return CommandSnafu { command }.fail(),
        }
        Ok(())
    }

    /// What a server holds of a published version. Without an explicit shard set
    /// that depends on the server's position within its service.
    fn held_version(&self, server: &Server, publish: Publish) -> HeldVersion {
        let Publish { version, shards, held, replicas } = publish;
        let peers = self.cluster.select(&format!("service:{}", server.identity.service));
        let index = peers.iter().position(|p| p.identity.name == server.identity.name);
        let index = index.unwrap_or_default() as u32;
        let replicas = replicas.unwrap_or(2);
        let servers = peers.len() as u32;
        let held = held.unwrap_or_else(|| assigned_shards(index, servers, shards, replicas));
        HeldVersion { version, shards, held }
    }
}

/// Parses the body of a command.
pub fn parse<T>(body: &[u8]) -> Result<T, ControlError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).context(BodySnafu)
}

/// Copy of `current` with the members replaced that the body names.
pub fn patch<T>(current: &T, body: &[u8]) -> Result<T, ControlError>
where
    T: serde::Serialize + serde::de::DeserializeOwned,
{
    let mut merged = serde_json::to_value(current).context(BodySnafu)?;
    let changes: serde_json::Map<String, Value> = parse(body)?;
    if let Some(members) = merged.as_object_mut() {
        members.extend(changes);
    }
    serde_json::from_value(merged).context(BodySnafu)
}
