//! Builds the parts of a service's topology from the catalog and the live hosts:
//! servers, ownership groups and the gates that may own them.

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

/// Gates tried for a group: its likely owner, and the gates that take over from
/// it.
const GATES_PER_GROUP: usize = 3;

/// Builds the parts of a service's topology for an entry in `zone`.
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
            builder.add_server(server, zone);
        }
    }
    builder.parts
}

struct Builder<'a> {
    catalog: &'a Catalog,
    live: &'a [MemberHost],
    /// The live hosts by zone.
    zones: &'a HashMap<Box<str>, Vec<MemberHost>>,
    gates: HashMap<Box<str>, GateIdx>,
    groups: HashMap<GroupKey, Option<GroupIdx>>,
    parts: TopologyParts,
}

impl Builder<'_> {
    fn add_server(&mut self, key: BackendServerKey, zone: &str) {
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

    /// Index of a group, which is added when new; `None` when there is no
    /// live host to own it.
    fn group(&mut self, key: GroupKey) -> Option<GroupIdx> {
        if let Some(idx) = self.groups.get(&key) {
            return *idx;
        }
        let group = &self.catalog.groups[key];
        let zone = &self.catalog.zones[group.zone].name;
        // The hosts of the group's zone rank first, so hosts of other zones matter
        // only where the zone has fewer than GATES_PER_GROUP. Ranking all hosts
        // is too slow with 2,700 of them.
        let zone_hosts = self.zones.get(zone).filter(|h| h.len() >= GATES_PER_GROUP);
        let hosts = zone_hosts.map_or(self.live, |h| h.as_slice());
        let owners = rank(hosts, &group.name, Some(zone)).into_iter().take(GATES_PER_GROUP);
        let gates: Vec<GateIdx> = owners.map(|h| self.gate(h)).collect();
        let idx = (!gates.is_empty()).then(|| {
            self.parts.groups.push(Group { gates });
            GroupIdx(self.parts.groups.len() as u32 - 1)
        });
        self.groups.insert(key, idx);
        idx
    }

    /// Index of a host's gate, which is added when new.
    fn gate(&mut self, host: &MemberHost) -> GateIdx {
        if let Some(idx) = self.gates.get(&host.host) {
            return *idx;
        }
        let idx = GateIdx(self.parts.gates.len() as u32);
        self.parts.gates.push(Gate { host: host.host.clone(), address: host.gate });
        self.gates.insert(host.host.clone(), idx);
        idx
    }
}
