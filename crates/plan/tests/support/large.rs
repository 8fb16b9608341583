//! A service at the scale that the design targets: 590 shards.

use super::world::Held;
use super::world::SimServer;
use super::world::World;

/// Number of shards of the service, all of which a query asks.
pub const SHARDS: u32 = 590;

/// Number of servers in one ownership group.
const GROUP_SIZE: u32 = 8;

/// Number of availability zones.
const ZONES: u32 = 5;

/// Builds a service whose shards have `replicas` servers each. Every server
/// holds one shard.
///
/// The servers of one replica of the index are in one zone, and each gate owns
/// one group.
pub fn world(replicas: u32) -> World {
    let server = |i: u32| {
        let (replica, shard) = (i / SHARDS, i % SHARDS);
        let held = Held { version: 7, total: SHARDS, shards: std::iter::once(shard).collect() };
        SimServer {
            name: format!("server-{i}").into(),
            zone: replica % ZONES,
            gate: i / GROUP_SIZE,
            held: vec![held],
            reported: None,
        }
    };
    let servers = (0..SHARDS * replicas).map(server).collect();
    World { servers, ..World::default() }
}
