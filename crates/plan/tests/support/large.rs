//! A service of the target scale.

use super::world::Held;
use super::world::SimServer;
use super::world::World;

/// Shards that a query of the target scale is sent to.
pub const SHARDS: u32 = 590;

/// Servers of one ownership group.
const GROUP: u32 = 8;

/// Availability zones.
const ZONES: u32 = 5;

/// A service whose shards have `replicas` servers each, one shard a server.
///
/// Each replica set stands in one zone, and each gate owns one group.
pub fn world(replicas: u32) -> World {
    let server = |i: u32| {
        let (replica, shard) = (i / SHARDS, i % SHARDS);
        let held = Held { version: 7, total: SHARDS, shards: std::iter::once(shard).collect() };
        SimServer {
            name: format!("server-{i}").into(),
            zone: replica % ZONES,
            gate: i / GROUP,
            held: vec![held],
            reported: None,
        }
    };
    let servers = (0..SHARDS * replicas).map(server).collect();
    World { servers, ..World::default() }
}
