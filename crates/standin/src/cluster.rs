//! All simulated servers and the simulated platform of one process.

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

/// A port of the stand-in cannot be bound.
#[derive(Debug, Snafu)]
#[snafu(display("cannot listen on {address} for {name}: {source}; choose a free port"))]
pub struct StartError {
    name: Box<str>,
    address: SocketAddr,
    source: io::Error,
}

/// Simulated servers and platform, shared with the control port.
#[derive(Debug)]
pub struct Cluster {
    /// Servers in the order of the settings.
    pub servers: Vec<Arc<Server>>,
    /// Bound address of each server, in the same order.
    pub addresses: Vec<SocketAddr>,
    /// Simulated platform, if the settings have one.
    pub platform: Option<Arc<Platform>>,
}

impl Cluster {
    /// Servers that match a target of the control port: a server's name,
    /// `service:NAME`, `zone:NAME` or `all`.
    pub fn select(&self, target: &str) -> Vec<Arc<Server>> {
        let matches = |s: &Server| match target.split_once(':') {
            Some(("service", name)) => name == &*s.identity.service,
            Some(("zone", name)) => name == &*s.identity.zone,
            Some(_) => false,
            None => target == "all" || target == &*s.identity.name,
        };
        self.servers.iter().filter(|s| matches(s)).cloned().collect()
    }

    /// Description of each server, in the order of the settings.
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

    /// Counters of all servers and of the platform since the last reset.
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

    /// Resets the counters of all servers and of the platform.
    pub fn reset_stats(&self) {
        self.servers.iter().for_each(|s| s.model().reset_stats());
        self.platform.iter().for_each(|p| p.reset_stats());
    }
}

/// A running stand-in. Dropping it closes its ports.
#[derive(Debug)]
pub struct Standin {
    /// Simulated servers and platform.
    pub cluster: Arc<Cluster>,
    /// Bound address of the control port.
    pub control: SocketAddr,
    /// Bound address of the platform, if it is simulated.
    pub platform: Option<SocketAddr>,
    /// Bound address of each server, in the order of the settings.
    pub servers: Vec<SocketAddr>,
    _listeners: Vec<HttpServer>,
}

impl Standin {
    /// Starts the servers, the platform and the control port.
    pub async fn start(settings: &Settings) -> Result<Standin, StartError> {
        let mut listeners = Vec::new();
        let mut servers = Vec::new();
        for service in &settings.services {
            for index in 0..service.servers {
                let server = new_server(service, index, settings.seed);
                let address = service.address(index);
                let listener = server.listen(address).await;
                let name = &*server.identity.name;
                listeners.push(listener.context(StartSnafu { name, address })?);
                servers.push(server);
            }
        }
        let addresses: Vec<SocketAddr> = listeners.iter().map(|l| l.address).collect();
        let platform = settings.platform.as_ref().map(|p| Platform::new(p.hosts.clone()));
        let mut platform_address = None;
        if let (Some(platform), Some(settings)) = (&platform, &settings.platform) {
            let address = settings.listen;
            let listener = platform.listen(address).await;
            let listener = listener.context(StartSnafu { name: "platform", address })?;
            platform_address = Some(listener.address);
            listeners.push(listener);
        }
        let cluster = Arc::new(Cluster { servers, addresses: addresses.clone(), platform });
        let handler = ControlHandler { cluster: cluster.clone() };
        let address = settings.control;
        let listener = HttpServer::start(address, ListenerControl::default(), Arc::new(handler));
        let listener = listener.await.context(StartSnafu { name: "control", address })?;
        let control = listener.address;
        listeners.push(listener);
        Ok(Standin {
            cluster,
            control,
            platform: platform_address,
            servers: addresses,
            _listeners: listeners,
        })
    }
}

fn new_server(service: &ServiceSettings, index: u32, seed: u64) -> Arc<Server> {
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
