//! Catalog of the availability zones, services and backend servers that the
//! active configuration declares.

use std::net::SocketAddr;
use std::time::Duration;

use slotmap::SlotMap;
use slotmap::new_key_type;

use crate::HashMap;
use crate::digest::stable_hash;
use crate::message;
use crate::shards::ShardSet;

/// Largest average number of backend servers in the ownership groups of a
/// service and zone. Members are assigned by hash, so a single group can be
/// larger.
pub const TARGET_GROUP_SIZE: usize = 8;

message! {
    /// Declaration of an availability zone.
    #[derive(Eq)]
    pub struct ZoneSpec {
        /// Name, unique among zones.
        pub name: Box<str>,
        /// Whether new requests may be sent to the zone.
        pub in_service: bool,
    }

    /// Declaration of a service.
    #[derive(Eq)]
    pub struct ServiceSpec {
        /// Name, unique among services.
        pub name: Box<str>,
        /// Number of shards that the sheet declares.
        pub shards: u32,
        /// Whether new requests may be sent to the service.
        pub in_service: bool,
    }

    /// Declaration of a backend server.
    #[derive(Eq)]
    pub struct BackendServerSpec {
        /// Name, unique among backend servers.
        pub name: Box<str>,
        /// Name of its service.
        pub service: Box<str>,
        /// Name of its availability zone.
        pub zone: Box<str>,
        /// Address that it serves requests on.
        pub address: SocketAddr,
        /// Maximum number of concurrent requests.
        pub slots: u32,
        /// Maximum number of open connections.
        pub connections: u32,
        /// Time that opening a connection takes, in milliseconds.
        pub connect_ms: u32,
        /// Shards that the sheet assigns to it.
        pub shards: ShardSet,
        /// Whether new requests may be sent to the server.
        pub in_service: bool,
    }

    /// All declarations of one configuration revision.
    #[derive(Default, Eq)]
    pub struct CatalogSpec {
        /// Configuration revision.
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

/// Availability zone in a [`Catalog`].
#[derive(Clone, Debug)]
pub struct AvailabilityZone {
    /// Name, unique among zones.
    pub name: Box<str>,
    /// Whether new requests may be sent to the zone.
    pub in_service: bool,
}

/// Service in a [`Catalog`].
#[derive(Clone, Debug)]
pub struct Service {
    /// Name, unique among services.
    pub name: Box<str>,
    /// Number of shards that the sheet declares.
    pub shards: u32,
    /// Whether new requests may be sent to the service.
    pub in_service: bool,
    /// Its backend servers.
    pub servers: Vec<BackendServerKey>,
    /// Its ownership groups.
    pub groups: Vec<GroupKey>,
}

/// Backend server in a [`Catalog`].
#[derive(Clone, Debug)]
pub struct BackendServer {
    /// Name, unique among backend servers.
    pub name: Box<str>,
    /// Its service.
    pub service: ServiceKey,
    /// Its availability zone.
    pub zone: ZoneKey,
    /// Its ownership group.
    pub group: GroupKey,
    /// Address that it serves requests on.
    pub address: SocketAddr,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Maximum number of open connections.
    pub connections: u32,
    /// Time that opening a connection takes.
    pub connect_time: Duration,
    /// Shards that the sheet assigns to it.
    pub shards: ShardSet,
    /// Whether the server itself is in service; its zone and its service have
    /// flags of their own, see [`Catalog::is_in_service`].
    pub in_service: bool,
}

/// Ownership group: backend servers of one service and zone that are owned by
/// the same host.
#[derive(Clone, Debug)]
pub struct Group {
    /// Stable name, which rendezvous hashing uses to choose the owner.
    pub name: Box<str>,
    /// Availability zone of all members.
    pub zone: ZoneKey,
    /// Backend servers of the group.
    pub servers: Vec<BackendServerKey>,
}

/// Catalog with lookup by key and by name.
#[derive(Clone, Debug, Default)]
pub struct Catalog {
    /// Configuration revision.
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
    /// Builds a catalog. Servers whose zone or service is not declared are
    /// skipped.
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
    pub fn is_in_service(&self, key: BackendServerKey) -> bool {
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
                connect_time: Duration::from_millis(s.connect_ms.into()),
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

/// Name of the ownership group of a backend server whose service has `count`
/// servers in its zone.
///
/// The number of groups is a power of two, so that servers move between groups
/// only when `count` passes [`TARGET_GROUP_SIZE`] times a power of two, that is,
/// when it doubles or halves.
fn group_name(server: &BackendServerSpec, count: usize) -> Box<str> {
    let groups = count.div_ceil(TARGET_GROUP_SIZE).next_power_of_two() as u64;
    let index = stable_hash(&server.name) % groups;
    format!("{}/{}/{index}", server.service, server.zone).into()
}
