//! The directory: which gates and servers a service's topology contains.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use chervil_base::catalog::BackendServerSpec;
use chervil_base::catalog::Catalog;
use chervil_base::catalog::CatalogSpec;
use chervil_base::catalog::ServiceSpec;
use chervil_base::catalog::ZoneSpec;
use chervil_entry::directory::Directory;
use chervil_entry::directory::LookupError;
use chervil_entry::directory::LookupService;
use chervil_entry::directory::ServiceHandle;
use chervil_entry::directory::SetView;
use chervil_members::rendezvous::rank;
use chervil_plan::tunables::Tunables;
use chervil_rpc::agent::Member;
use chervil_rpc::agent::MemberHost;
use chervil_rpc::agent::MemberList;
use chervil_rpc::agent::View;

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

/// `count` hosts, spread over two zones.
fn hosts(count: u16) -> Vec<Member> {
    let host = |i: u16| MemberHost {
        host: format!("h{i}").into(),
        zone: format!("z{}", i % 2).into(),
        agent: address(1000 + i),
        gate: address(2000 + i),
    };
    (0..count).map(|i| Member { host: host(i), up: true, leaving: false }).collect()
}

/// One service with 40 servers in two zones; `z1` may be out of service.
fn catalog(z1_in_service: bool) -> CatalogSpec {
    let zone = |name: &str, in_service| ZoneSpec { name: name.into(), in_service };
    let server = |i: u16| BackendServerSpec {
        name: format!("s{i}").into(),
        service: "lookup".into(),
        zone: format!("z{}", i % 2).into(),
        address: address(3000 + i),
        slots: 2,
        connections: 50,
        connect_ms: 6,
        shards: Default::default(),
        in_service: true,
    };
    CatalogSpec {
        revision: if z1_in_service { 1 } else { 2 },
        zones: vec![zone("z0", true), zone("z1", z1_in_service)],
        services: vec![ServiceSpec { name: "lookup".into(), shards: 4, in_service: true }],
        servers: (0..40).map(server).collect(),
    }
}

fn view(sequence: u64, hosts: Vec<Member>, catalog: Option<CatalogSpec>) -> SetView {
    let members = MemberList::default();
    SetView(View { sequence, host: "h0".into(), members, hosts, catalog, ready: true })
}

async fn lookup(directory: &xtra::Address<Directory>) -> Result<ServiceHandle, LookupError> {
    let lookup = LookupService { service: "lookup".into(), now: Instant::now() };
    directory.send(lookup).await.unwrap_or(Err(LookupError::NoCatalog))
}

fn directory() -> xtra::Address<Directory> {
    Directory::new("z0".into(), Tunables::default(), Box::new(|_, _| {})).spawn()
}

#[tokio::test]
async fn gates_of_a_group_are_in_rendezvous_order_of_the_live_hosts() {
    // Guards against a gate order that differs from the ownership of groups, so
    // that sub-requests are refused as sent to the wrong owner. With 12 hosts
    // only those of the group's zone are ranked, with 2 or 3 all of them.
    for count in [2, 3, 12] {
        let mut members = hosts(count);
        members[1].up = false;
        let live: Vec<MemberHost> =
            members.iter().filter(|m| m.up).map(|m| m.host.clone()).collect();
        let spec = catalog(true);
        let directory = directory();
        directory.send(view(1, members, Some(spec.clone()))).await.unwrap();

        let handle = lookup(&directory).await.unwrap();

        let topology = handle.topology.borrow().clone();
        let catalog = Catalog::new(&spec);
        for server in &topology.parts().servers {
            let key = catalog.server(&server.name).unwrap();
            let group = &catalog.groups[catalog.servers[key].group];
            let zone = &catalog.zones[group.zone].name;
            let expected: Vec<SocketAddr> =
                rank(&live, &group.name, Some(zone)).iter().map(|h| h.gate).take(3).collect();
            let gates = &topology.group(server.group).gates;
            let found: Vec<SocketAddr> = gates.iter().map(|g| topology.gate(*g).address).collect();
            assert_eq!(found, expected, "{} of {count} hosts", server.name);
        }
    }
}

#[tokio::test]
async fn servers_of_a_zone_taken_out_of_service_leave_the_topology() {
    // Guards against new requests to a zone that operators have taken out of
    // service.
    let directory = directory();
    directory.send(view(1, hosts(4), Some(catalog(true)))).await.unwrap();
    let mut handle = lookup(&directory).await.unwrap();
    let before = handle.topology.borrow_and_update().parts().servers.len();

    directory.send(view(2, hosts(4), Some(catalog(false)))).await.unwrap();

    let changed = tokio::time::timeout(Duration::from_secs(3), handle.topology.changed()).await;
    assert!(changed.is_ok());
    assert_eq!((before, handle.topology.borrow().parts().servers.len()), (40, 20));
}

#[tokio::test]
async fn a_lookup_without_a_catalog_fails() {
    // Guards against an entry that serves before it has a configuration, and
    // then reports declared services as unknown.
    assert_eq!(lookup(&directory()).await.err(), Some(LookupError::NoCatalog));
}
