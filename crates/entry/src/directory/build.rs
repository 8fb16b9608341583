//! Builds the servers, groups and gates that a service's queries choose from.

use chervil_base::HashMap;
use chervil_base::catalog::BackendServerKey;
use chervil_base::catalog::Catalog;
use chervil_base::catalog::GroupKey;
use chervil_members::rendezvous::rank;
use chervil_plan::topology::Gate;
use chervil_plan::topology::GateIdx;
use chervil_plan::topology::Group;
use chervil_plan::topology::GroupIdx;
use chervil_plan::topology::Server;
use chervil_plan::topology::TopologyParts;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::MemberHost;

/// Gates that are tried for one group: the likely owner, and those that take
/// over from it.
const GATES_PER_GROUP: usize = 3;

/// Parts of the layout of a service.
pub(super) fn parts(
    catalog: &Catalog,
    hosts: &[Member],
    service: &str,
    zone: &str,
) -> TopologyParts {
    let live = hosts.iter().filter(|h| h.up && !h.leaving).map(|h| h.host.clone());
    let live: Vec<MemberHost> = live.collect();
    let mut zones: HashMap<Box<str>, Vec<MemberHost>> = HashMap::default();
    for host in &live {
        zones.entry(host.zone.clone()).or_default().push(host.clone());
    }
    let mut builder = Builder {
        catalog,
        live: &live,
        zones: &zones,
        gates: HashMap::default(),
        groups: HashMap::default(),
        parts: TopologyParts::default(),
    };
    if let Some(key) = catalog.service(service) {
        for &server in &catalog.services[key].servers {
            builder.add(server, zone);
        }
    }
    builder.parts
}

struct Builder<'a> {
    catalog: &'a Catalog,
    live: &'a [MemberHost],
    /// The same hosts by zone.
    zones: &'a HashMap<Box<str>, Vec<MemberHost>>,
    gates: HashMap<Box<str>, GateIdx>,
    groups: HashMap<GroupKey, Option<GroupIdx>>,
    parts: TopologyParts,
}

impl Builder<'_> {
    fn add(&mut self, key: BackendServerKey, zone: &str) {
        let server = &self.catalog.servers[key];
        if !self.catalog.is_in_service(key) {
            return;
        }
        let Some(group) = self.group(server.group) else { return };
        self.parts.servers.push(Server {
            name: server.name.clone(),
            group,
            local: &*self.catalog.zones[server.zone].name == zone,
            slots: server.slots,
        });
    }

    /// Position of a group; `None` when no host can own it.
    fn group(&mut self, key: GroupKey) -> Option<GroupIdx> {
        if let Some(at) = self.groups.get(&key) {
            return *at;
        }
        let group = &self.catalog.groups[key];
        let zone = &self.catalog.zones[group.zone].name;
        // Hosts of the group's zone come first, so that the others matter only
        // where these are few; with 2,700 hosts, ranking all is too slow.
        let near = self.zones.get(zone).filter(|h| h.len() >= GATES_PER_GROUP);
        let hosts = near.map_or(self.live, |h| h.as_slice());
        let owners = rank(hosts, &group.name, Some(zone)).into_iter().take(GATES_PER_GROUP);
        let gates: Vec<GateIdx> = owners.map(|h| self.gate(h)).collect();
        let at = (!gates.is_empty()).then(|| {
            self.parts.groups.push(Group { gates });
            GroupIdx(self.parts.groups.len() as u32 - 1)
        });
        self.groups.insert(key, at);
        at
    }

    fn gate(&mut self, host: &MemberHost) -> GateIdx {
        if let Some(at) = self.gates.get(&host.host) {
            return *at;
        }
        let at = GateIdx(self.parts.gates.len() as u32);
        self.parts.gates.push(Gate { host: host.host.clone(), address: host.gate });
        self.gates.insert(host.host.clone(), at);
        at
    }
}
