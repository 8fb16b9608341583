//! Settings file of the stand-in.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use chervil_base::shards::ShardSet;
use chervil_platform::ListedHost;
use serde::Deserialize;

use crate::faults::Faults;

/// Everything that one process simulates.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the control port.
    pub control: SocketAddr,
    /// Seed of every random choice.
    #[serde(default)]
    pub seed: u64,
    /// Simulated platform.
    pub platform: Option<PlatformSettings>,
    /// Services with their backend servers.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSettings>,
}

/// Settings of the simulated platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Address of the store and the host list.
    pub listen: SocketAddr,
    /// Hosts listed at the start.
    #[serde(default, rename = "host")]
    pub hosts: Vec<ListedHost>,
}

/// Settings of one service; its servers are named `<service>-1` and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of backend servers.
    pub servers: u32,
    /// Address of all of them.
    #[serde(default = "default_ip")]
    pub ip: IpAddr,
    /// Port of the first one, the others follow; 0 lets the system choose.
    #[serde(default)]
    pub port: u16,
    /// Availability zones, assigned in turn.
    #[serde(default = "default_zones")]
    pub zones: Vec<Box<str>>,
    /// Shards of the first index version.
    pub shards: u32,
    /// Servers that hold each shard.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Number of the first index version.
    #[serde(default = "default_version")]
    pub version: u64,
    /// Requests that each server runs at once.
    pub slots: u32,
    /// Connections that each server accepts.
    pub connections: u32,
    /// Delay before the first reply on a new connection, in milliseconds.
    #[serde(default)]
    pub connect_ms: u32,
    /// Whether the servers start cold.
    #[serde(default)]
    pub start_cold: bool,
    /// Behavior and faults at the start.
    #[serde(default)]
    pub faults: Faults,
}

fn default_ip() -> IpAddr {
    IpAddr::V4(Ipv4Addr::LOCALHOST)
}

fn default_zones() -> Vec<Box<str>> {
    vec!["z1".into()]
}

fn default_replicas() -> u32 {
    2
}

fn default_version() -> u64 {
    1
}

impl ServiceSettings {
    /// Name of the server at `index`.
    pub fn server_name(&self, index: u32) -> Box<str> {
        format!("{}-{}", self.name, index + 1).into()
    }

    /// Availability zone of the server at `index`.
    pub fn zone(&self, index: u32) -> Box<str> {
        let zone = self.zones.get(index as usize % self.zones.len().max(1));
        zone.cloned().unwrap_or_else(|| "z1".into())
    }

    /// Address of the server at `index`.
    pub fn address(&self, index: u32) -> SocketAddr {
        let port = if self.port == 0 { 0 } else { self.port + index as u16 };
        SocketAddr::new(self.ip, port)
    }
}

/// Shards that the server at `index` of `servers` holds.
///
/// Consecutive servers hold the replicas of a shard, so that zones assigned in
/// turn put them in different zones.
pub fn assigned_shards(index: u32, servers: u32, shards: u32, replicas: u32) -> ShardSet {
    let servers = servers.max(1);
    let replicas = replicas.clamp(1, servers);
    (0..shards).filter(|s| (index + servers - s % servers) % servers < replicas).collect()
}
