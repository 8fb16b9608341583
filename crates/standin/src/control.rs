//! Control port: faults and counters while the stand-in runs.
//!
//! `POST /control/<target>/<command>` with a JSON body. A target is the name of
//! a server, `service:<name>`, `zone:<name>`, `all` or `platform`. `GET /stats`
//! returns all counters and `POST /stats/reset` sets them to zero. `GET /servers`
//! lists the servers with their versions and faults.

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
        /// Version; one of the same number is replaced.
        pub version: u64,
        /// Shards of the version.
        pub shards: u32,
        /// Shards that the target holds; placed by `replicas` when absent.
        pub held: Option<ShardSet>,
        /// Servers that hold each shard.
        pub replicas: Option<u32>,
    }

    /// Body of `retire`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Retire {
        /// Version.
        pub version: u64,
    }

    /// Body of `mark` and `down`.
    #[derive(Eq)]
    #[serde(deny_unknown_fields)]
    pub struct Switch {
        /// Whether the target is marked as out, or down.
        pub on: bool,
    }

    /// Body of `silence`.
    #[serde(deny_unknown_fields)]
    pub struct Silence {
        /// Share of the open connections.
        #[serde(default = "whole")]
        pub share: f64,
    }

    /// A simulated server, as `GET /servers` lists it.
    pub struct ServerInfo {
        /// Name.
        pub name: Box<str>,
        /// Service.
        pub service: Box<str>,
        /// Availability zone.
        pub zone: Box<str>,
        /// Address.
        pub address: SocketAddr,
        /// Requests that run at once.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
        /// Versions that it holds.
        pub versions: Vec<HeldVersion>,
        /// Behavior.
        pub faults: Faults,
    }

    /// Reply to a command.
    #[derive(Eq)]
    pub struct CommandReply {
        /// Servers that the command changed.
        pub servers: usize,
    }
}

fn whole() -> f64 {
    1.0
}

/// Why a command is refused.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum ControlError {
    /// No server matches.
    #[snafu(display(
        "target {target:?} matches nothing; use a server, service:NAME, zone:NAME, all or platform"
    ))]
    Target {
        /// Target given.
        target: Box<str>,
    },
    /// The command does not exist.
    #[snafu(display(
        "command {command:?} is unknown; use faults, mark, down, chill, warm, restart, reset, \
         silence, publish or retire"
    ))]
    Command {
        /// Command given.
        command: Box<str>,
    },
    /// The body is not valid.
    #[snafu(display("the body is not valid: {source}; see crates/standin/src/control.rs"))]
    Body {
        /// Cause.
        source: serde_json::Error,
    },
}

/// Serves the control port.
pub struct ControlHandler {
    /// Everything that is simulated.
    pub cluster: Arc<Cluster>,
}

#[async_trait]
impl Handler for ControlHandler {
    async fn handle(&self, call: HttpRequest) -> HttpResponse {
        let path: Vec<&str> = call.path.trim_matches('/').split('/').collect();
        match (&call.method, path.as_slice()) {
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
                match self.apply(target, command, &call.body) {
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
            self.apply_one(server, command, body)?;
        }
        Ok(servers.len())
    }

    fn apply_one(
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
                let down = Duration::from_millis(server.model().faults.restart_ms);
                server.restart(down);
            }
            "reset" => server.reset_connections(),
            "silence" => {
                server.silence(parse::<Silence>(body)?.share);
            }
            "publish" => {
                let version = self.place(server, parse(body)?);
                server.model().publish(version);
            }
            "retire" => server.model().retire(parse::<Retire>(body)?.version),
            _ => return CommandSnafu { command }.fail(),
        }
        Ok(())
    }

    /// Shards of a version that a server holds, by its position in the service.
    fn place(&self, server: &Server, publish: Publish) -> HeldVersion {
        let Publish { version, shards, held: given, replicas } = publish;
        let peers = self.cluster.select(&format!("service:{}", server.identity.service));
        let index = peers.iter().position(|p| p.identity.name == server.identity.name);
        let index = index.unwrap_or_default() as u32;
        let replicas = replicas.unwrap_or(2);
        let held =
            given.unwrap_or_else(|| assigned_shards(index, peers.len() as u32, shards, replicas));
        HeldVersion { version, shards, held }
    }
}

/// Reads the body of a command.
pub fn parse<T>(body: &[u8]) -> Result<T, ControlError>
where
    T: serde::de::DeserializeOwned,
{
    serde_json::from_slice(body).context(BodySnafu)
}

/// Replaces the members of `current` that the body names.
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
