//! Everything that one process simulates.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use chervil_base::digest::stable_hash;
use chervil_base::index::HeldVersion;
use snafu::ResultExt as _;
use snafu::Snafu;

use crate::control::ControlHandler;
use crate::control::ServerInfo;
use crate::http::HttpServer;
use crate::http::ListenerControl;
use crate::model::Model;
use crate::platform::Platform;
use crate::request::Limits;
use crate::server::Identity;
use crate::server::Server;
use crate::settings::ServiceSettings;
use crate::settings::Settings;
use crate::settings::assigned_shards;
use crate::stats::Stats;

/// Why the stand-in cannot start.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address} for {name}: {source}; choose a free port"))]
pub struct StartError {
    name: Box<str>,
    address: SocketAddr,
    source: io::Error,
}

/// State of all servers and of the platform.
#[derive(Debug)]
pub struct Cluster {
    /// Servers in the order of the settings.
    pub servers: Vec<Arc<Server>>,
    /// Address of each server.
    pub addresses: Vec<SocketAddr>,
    /// Simulated platform, if any.
    pub platform: Option<Arc<Platform>>,
}

impl Cluster {
    /// Servers that a target of the control port names.
    pub fn select(&self, target: &str) -> Vec<Arc<Server>> {
        let matches = |s: &Server| match target.split_once(':') {
            Some(("service", name)) => name == &*s.identity.service,
            Some(("zone", name)) => name == &*s.identity.zone,
            Some(_) => false,
            None => target == "all" || target == &*s.identity.name,
        };
        self.servers.iter().filter(|s| matches(s)).cloned().collect()
    }

    /// What each server is and holds.
    pub fn server_infos(&self) -> Vec<ServerInfo> {
        let info = |(server, address): (&Arc<Server>, &SocketAddr)| {
            let model = server.model();
            ServerInfo {
                name: server.identity.name.clone(),
                service: server.identity.service.clone(),
                zone: server.identity.zone.clone(),
                address: *address,
                slots: model.limits().slots,
                connections: model.limits().connections,
                versions: model.versions().to_vec(),
                faults: model.faults.clone(),
            }
        };
        self.servers.iter().zip(&self.addresses).map(info).collect()
    }

    /// All counters.
    pub fn stats(&self) -> Stats {
        let mut stats = Stats::default();
        let mut runs: BTreeMap<Box<str>, u32> = BTreeMap::new();
        for server in &self.servers {
            let model = server.model();
            stats.servers.insert(server.identity.name.clone(), model.stats());
            for (key, count) in model.key_runs() {
                *runs.entry(key.clone()).or_insert(0) += count;
            }
        }
        stats.keys = runs.len() as u64;
        stats.repeated_keys = runs.into_iter().filter(|(_, count)| *count > 1).collect();
        stats.platform = self.platform.as_ref().map(|p| p.stats());
        stats
    }

    /// Sets all counters to zero.
    pub fn reset_stats(&self) {
        self.servers.iter().for_each(|s| s.model().reset_stats());
        self.platform.iter().for_each(|p| p.reset_stats());
    }
}

/// A running stand-in; it stops when it is dropped.
#[derive(Debug)]
pub struct Standin {
    /// State of all servers and of the platform.
    pub cluster: Arc<Cluster>,
    /// Address of the control port.
    pub control: SocketAddr,
    /// Address of the platform.
    pub platform: Option<SocketAddr>,
    /// Address of each server, in the order of the settings.
    pub servers: Vec<SocketAddr>,
    _ports: Vec<HttpServer>,
}

impl Standin {
    /// Starts everything that the settings name.
    pub async fn start(settings: &Settings) -> Result<Standin, StartError> {
        let mut ports = Vec::new();
        let mut servers = Vec::new();
        for service in &settings.services {
            for index in 0..service.servers {
                let server = build(service, index, settings.seed);
                let address = service.address(index);
                let port = server.listen(address).await;
                ports.push(port.context(StartSnafu { name: &*server.identity.name, address })?);
                servers.push(server);
            }
        }
        let addresses: Vec<SocketAddr> = ports.iter().map(|p| p.address).collect();
        let platform = settings.platform.as_ref().map(|p| Platform::new(p.hosts.clone()));
        let mut listen = None;
        if let (Some(platform), Some(wanted)) = (&platform, &settings.platform) {
            let port = platform.listen(wanted.listen).await;
            let port = port.context(StartSnafu { name: "platform", address: wanted.listen })?;
            listen = Some(port.address);
            ports.push(port);
        }
        let cluster = Arc::new(Cluster { servers, addresses: addresses.clone(), platform });
        let handler = ControlHandler { cluster: cluster.clone() };
        let address = settings.control;
        let port = HttpServer::start(address, ListenerControl::default(), Arc::new(handler)).await;
        let port = port.context(StartSnafu { name: "control", address })?;
        let control = port.address;
        ports.push(port);
        Ok(Standin { cluster, control, platform: listen, servers: addresses, _ports: ports })
    }
}

fn build(service: &ServiceSettings, index: u32, seed: u64) -> Arc<Server> {
    let identity = Identity {
        name: service.server_name(index),
        service: service.name.clone(),
        zone: service.zone(index),
    };
    let limits = Limits { slots: service.slots, connections: service.connections };
    let seed = seed ^ stable_hash(&identity.name);
    let mut model = Model::new(limits, service.faults.clone(), seed, Instant::now());
    model.publish(HeldVersion {
        version: service.version,
        shards: service.shards,
        held: assigned_shards(index, service.servers, service.shards, service.replicas),
    });
    if service.start_cold {
        model.make_cold();
    }
    Server::new(identity, model, Duration::from_millis(service.connect_ms.into()))
}
