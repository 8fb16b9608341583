//! Catalog of availability zones, services and backend servers, as declared
//! by the configuration in force.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::HashMap;
use crate::digest::stable_hash;
use crate::message;
use crate::shards::ShardSet;

/// Largest number of backend servers in an ownership group.
pub const GROUP_SIZE: usize = 8;

message! {
    /// Declaration of an availability zone.
    #[derive(Eq)]
    pub struct ZoneSpec {
        /// Name, unique among zones.
        pub name: Box<str>,
        /// Whether the zone may get new work.
        pub in_service: bool,
    }

    /// Declaration of a service.
    #[derive(Eq)]
    pub struct ServiceSpec {
        /// Name, unique among services.
        pub name: Box<str>,
        /// Number of shards that the sheet plans.
        pub shards: u32,
        /// Whether the service may get new work.
        pub in_service: bool,
    }

    /// Declaration of a backend server.
    #[derive(Eq)]
    pub struct BackendServerSpec {
        /// Name, unique among backend servers.
        pub name: Box<str>,
        /// Service that it belongs to.
        pub service: Box<str>,
        /// Availability zone that it stands in.
        pub zone: Box<str>,
        /// Address of its service port.
        pub address: SocketAddr,
        /// Requests that it can run at once.
        pub slots: u32,
        /// Connections that it accepts.
        pub connections: u32,
        /// Cost of a new connection, in milliseconds.
        pub connect_ms: u32,
        /// Shards that the sheet plans for it.
        pub shards: ShardSet,
        /// Whether it may get new work.
        pub in_service: bool,
    }

    /// Everything that a revision of the configuration declares.
    #[derive(Default, Eq)]
    pub struct CatalogSpec {
        /// Revision that this catalog belongs to.
        pub revision: u64,
        /// Availability zones.
        pub zones: Vec<ZoneSpec>,
        /// Services.
        pub services: Vec<ServiceSpec>,
        /// Backend servers.
        pub servers: Vec<BackendServerSpec>,
    }
}

new_key_type! {
    /// Key of an availability zone in a [`Catalog`].
    pub struct ZoneKey;
    /// Key of a service in a [`Catalog`].
    pub struct ServiceKey;
    /// Key of a backend server in a [`Catalog`].
    pub struct BackendServerKey;
    /// Key of an ownership group in a [`Catalog`].
    pub struct GroupKey;
}

/// Availability zone in a catalog.
#[derive(Clone, Debug)]
pub struct AvailabilityZone {
    /// Name, unique among zones.
    pub name: Box<str>,
    /// Whether the zone may get new work.
    pub in_service: bool,
}

/// Service in a catalog.
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, unique among services.
    pub name: Box<str>,
    /// Number of shards that the sheet plans.
    pub shards: u32,
    /// Whether the service may get new work.
    pub in_service: bool,
    /// Its backend servers.
    pub servers: Vec<BackendServerKey>,
    /// Its ownership groups.
    pub groups: Vec<GroupKey>,
}

/// Backend server in a catalog.
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Name, unique among backend servers.
    pub name: Box<str>,
    /// Service that it belongs to.
    pub service: ServiceKey,
    /// Availability zone that it stands in.
    pub zone: ZoneKey,
    /// Ownership group that it belongs to.
    pub group: GroupKey,
    /// Address of its service port.
    pub address: SocketAddr,
    /// Requests that it can run at once.
    pub slots: u32,
    /// Connections that it accepts.
    pub connections: u32,
    /// Cost of a new connection.
    pub connect_cost: Duration,
    /// Shards that the sheet plans for it.
    pub shards: ShardSet,
    /// Whether it may get new work, apart from its zone and service.
    pub in_service: bool,
}

/// Backend servers of one service in one zone that share an owner.
#[derive(Clone, Debug)]
pub struct Group {
    /// Stable name, the item of rendezvous hashing.
    pub name: Box<str>,
    /// Availability zone of all members.
    pub zone: ZoneKey,
    /// Members.
    pub servers: Vec<BackendServerKey>,
}

/// Catalog with keys for fast look-up.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Revision of the configuration.
    pub revision: u64,
    /// Availability zones.
    pub zones: SlotMap<ZoneKey, AvailabilityZone>,
    /// Services.
    pub services: SlotMap<ServiceKey, Service>,
    /// Backend servers.
    pub servers: SlotMap<BackendServerKey, BackendServer>,
    /// Ownership groups.
    pub groups: SlotMap<GroupKey, Group>,
    zone_names: HashMap<Box<str>, ZoneKey>,
    service_names: HashMap<Box<str>, ServiceKey>,
    server_names: HashMap<Box<str>, BackendServerKey>,
}

impl Catalog {
    /// Builds a catalog; servers of undeclared zones or services are left out.
    pub fn new(spec: &CatalogSpec) -> Catalog {
        let mut catalog = Catalog { revision: spec.revision, ..Catalog::default() };
        for z in &spec.zones {
            let zone = AvailabilityZone { name: z.name.clone(), in_service: z.in_service };
            let key = catalog.zones.insert(zone);
            catalog.zone_names.insert(z.name.clone(), key);
        }
        for s in &spec.services {
            let service = Service {
                name: s.name.clone(),
                shards: s.shards,
                in_service: s.in_service,
                servers: Vec::new(),
                groups: Vec::new(),
            };
            let key = catalog.services.insert(service);
            catalog.service_names.insert(s.name.clone(), key);
        }
        catalog.add_servers(spec);
        catalog
    }

    /// Key of the service with this name.
    pub fn service(&self, name: &str) -> Option<ServiceKey> {
        self.service_names.get(name).copied()
    }

    /// Key of the backend server with this name.
    pub fn server(&self, name: &str) -> Option<BackendServerKey> {
        self.server_names.get(name).copied()
    }

    /// Key of the availability zone with this name.
    pub fn zone(&self, name: &str) -> Option<ZoneKey> {
        self.zone_names.get(name).copied()
    }

    /// Whether a backend server, its zone and its service are all in service.
    pub fn is_usable(&self, key: BackendServerKey) -> bool {
        self.servers.get(key).is_some_and(|s| {
            s.in_service && self.zones[s.zone].in_service && self.services[s.service].in_service
        })
    }

    fn add_servers(&mut self, spec: &CatalogSpec) {
        let counts = self.count_servers(spec);
        let mut groups: HashMap<Box<str>, GroupKey> = HashMap::default();
        for s in &spec.servers {
            let (Some(zone), Some(service)) = (self.zone(&s.zone), self.service(&s.service)) else {
                continue;
            };
            let name = group_name(s, counts[&(service, zone)]);
            let group = *groups.entry(name.clone()).or_insert_with(|| {
                let key = self.groups.insert(Group { name, zone, servers: Vec::new() });
                self.services[service].groups.push(key);
                key
            });
            let key = self.servers.insert(BackendServer {
                name: s.name.clone(),
                service,
                zone,
                group,
                address: s.address,
                slots: s.slots,
                connections: s.connections,
                connect_cost: Duration::from_millis(s.connect_ms.into()),
                shards: s.shards.clone(),
                in_service: s.in_service,
            });
            self.groups[group].servers.push(key);
            self.services[service].servers.push(key);
            self.server_names.insert(s.name.clone(), key);
        }
    }

    fn count_servers(&self, spec: &CatalogSpec) -> HashMap<(ServiceKey, ZoneKey), usize> {
        let mut counts = HashMap::default();
        for s in &spec.servers {
            if let (Some(zone), Some(service)) = (self.zone(&s.zone), self.service(&s.service)) {
                *counts.entry((service, zone)).or_insert(0) += 1;
            }
        }
        counts
    }
}

/// Name of the group of a backend server among `count` servers of its service
/// and zone.
///
/// The number of groups is a power of two, so that a server changes its group
/// only when the number of servers doubles or halves.
fn group_name(server: &BackendServerSpec, count: usize) -> Box<str> {
    let groups = count.div_ceil(GROUP_SIZE).next_power_of_two() as u64;
    let index = stable_hash(&server.name) % groups;
    format!("{}/{}/{index}", server.service, server.zone).into()
}
