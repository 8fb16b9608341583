//! Settings file of the stand-in.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;

use chervil_base::shards::ShardSet;
use chervil_platform::ListedHost;
use serde::Deserialize;

use crate::faults::Faults;

/// Servers and platform that one process simulates.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Address of the control port.
    pub control: SocketAddr,
    /// Seed of all random numbers.
    #[serde(default)]
    pub seed: u64,
    /// Simulated platform; none if absent.
    pub platform: Option<PlatformSettings>,
    /// Services and their backend servers.
    #[serde(default, rename = "service")]
    pub services: Vec<ServiceSettings>,
}

/// Settings of the simulated platform.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PlatformSettings {
    /// Listen address of the store and the host list.
    pub listen: SocketAddr,
    /// Initial host list.
    #[serde(default, rename = "host")]
    pub hosts: Vec<ListedHost>,
}

/// Settings of one service. Its servers are named `<service>-1`, `<service>-2`
/// and so on.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceSettings {
    /// Name of the service.
    pub name: Box<str>,
    /// Number of backend servers.
    pub servers: u32,
    /// IP address that all of them listen on.
    #[serde(default = "default_ip")]
    pub ip: IpAddr,
    /// Port of the first server, which the others follow in sequence; 0 lets the
    /// system choose all ports.
    #[serde(default)]
    pub port: u16,
    /// Availability zones, assigned to the servers round-robin.
    #[serde(default = "default_zones")]
    pub zones: Vec<Box<str>>,
    /// Number of shards of the initial index version.
    pub shards: u32,
    /// Number of servers that hold each shard.
    #[serde(default = "default_replicas")]
    pub replicas: u32,
    /// Number of the initial index version.
    #[serde(default = "default_version")]
    pub version: u64,
    /// Maximum number of concurrent requests per server.
    pub slots: u32,
    /// Maximum number of open connections per server.
    pub connections: u32,
    /// Delay before the first request on a new connection is read, in
    /// milliseconds.
    #[serde(default)]
    pub connect_ms: u32,
    /// Whether the servers start cold.
    #[serde(default)]
    pub start_cold: bool,
    /// Initial service times and faults.
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
    /// Name of the server at `index`, counted from 0.
    pub fn server_name(&self, index: u32) -> Box<str> {
        format!("{}-{}", self.name, index + 1).into()
    }

    /// Availability zone of the server at `index`.
    pub fn zone(&self, index: u32) -> Box<str> {
        let zone = self.zones.get(index as usize % self.zones.len().max(1));
        zone.cloned().unwrap_or_else(|| "z1".into())
    }

    /// Listen address of the server at `index`.
    pub fn address(&self, index: u32) -> SocketAddr {
        let port = if self.port == 0 { 0 } else { self.port + index as u16 };
        SocketAddr::new(self.ip, port)
    }
}

/// Shards that the server at `index` of `servers` holds.
///
/// The replicas of a shard are placed on consecutive servers. As zones are
/// assigned round-robin, that puts them in different zones.
pub fn assigned_shards(index: u32, servers: u32, shards: u32, replicas: u32) -> ShardSet {
    let servers = servers.max(1);
    let replicas = replicas.clamp(1, servers);
    (0..shards).filter(|s| (index + servers - s % servers) % servers < replicas).collect()
}
