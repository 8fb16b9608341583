//! Simulated backend servers: what they hold, and their faults.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use chervil_base::index::HeldVersion;
use chervil_base::index::ServerIndex;
use chervil_base::index::ServiceIndex;
use chervil_base::shards::Shard;
use chervil_base::shards::ShardSet;
use chervil_plan::topology::Gate;
use chervil_plan::topology::GateIdx;
use chervil_plan::topology::Group;
use chervil_plan::topology::GroupIdx;
use chervil_plan::topology::Server;
use chervil_plan::topology::Topology;
use chervil_plan::topology::TopologyParts;
use chervil_rpc::gate::Refusal;
use chervil_rpc::gate::Row;
use serde::Deserialize;

/// One version on one server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    pub version: u64,
    /// Shards of the version, over all servers.
    pub total: u32,
    pub shards: ShardSet,
}

/// One backend server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SimServer {
    pub name: Box<str>,
    #[serde(default)]
    pub zone: u32,
    /// Gate that owns it.
    #[serde(default)]
    pub gate: u32,
    pub held: Vec<Held>,
    /// What the index says of it, when that differs.
    pub reported: Option<Vec<Held>>,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// Replies after `delay_ms` more than usual.
    Slow,
    /// The connection is lost while the request runs.
    Lost,
    /// The server sheds the request.
    Busy,
    /// The gate has no room and gives a hint.
    Shed,
    /// The gate does not own the server.
    NotOwner,
    /// The server fails.
    Failed,
    /// No reply at all.
    Silent,
    /// The reply arrives twice.
    Duplicated,
    /// The reply carries rows of another version.
    OtherVersion,
    /// The server declares its reply partial.
    Partial,
    /// A reply to another query and one of another process come first.
    Foreign,
    /// The link to the gate is lost.
    GateLost,
}

/// Fault of the attempts that match.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// Name of the server; any when absent.
    pub server: Option<Box<str>>,
    /// Shards; any when absent.
    pub shards: Option<ShardSet>,
    /// Attempts that it affects; all when absent.
    pub times: Option<u32>,
    #[serde(default)]
    pub delay_ms: u64,
}

/// Change of what a server holds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    pub at_ms: u64,
    pub server: Box<str>,
    pub held: Vec<Held>,
}

/// All servers and faults.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub servers: Vec<SimServer>,
    pub faults: Vec<Fault>,
    pub changes: Vec<Change>,
}

impl World {
    /// Takes the first fault that affects an attempt.
    pub fn fault(&mut self, server: &str, shard: Shard) -> Option<Fault> {
        let matches = |f: &&mut Fault| {
            f.times != Some(0)
                && f.server.as_deref().is_none_or(|s| s == server)
                && f.shards.as_ref().is_none_or(|s| s.contains(shard))
        };
        let fault = self.faults.iter_mut().find(matches)?;
        fault.times = fault.times.map(|t| t - 1);
        Some(fault.clone())
    }

    /// Applies the changes that are due.
    pub fn advance(&mut self, elapsed: Duration) {
        let due = |c: &Change| Duration::from_millis(c.at_ms) <= elapsed;
        let (now, later) = self.changes.drain(..).partition::<Vec<_>, _>(due);
        self.changes = later;
        for change in now {
            let server = self.servers.iter_mut().find(|s| s.name == change.server).unwrap();
            server.held = change.held;
            server.reported = None;
        }
    }

    /// Topology as an entry in zone 0 would build it.
    pub fn topology(&self) -> Arc<Topology> {
        let gates = self.servers.iter().map(|s| s.gate).max().unwrap_or(0) + 1;
        // Every second gate may take over from the one before.
        let group = |g| Group { gates: vec![GateIdx(g), GateIdx((g + 1) % gates)] };
        let parts = TopologyParts {
            gates: (0..gates).map(gate).collect(),
            groups: (0..gates).map(group).collect(),
            servers: self.servers.iter().map(layout_server).collect(),
        };
        let mut index = ServiceIndex::default();
        for s in &self.servers {
            let versions = versions(s.reported.as_ref().unwrap_or(&s.held));
            index.update(ServerIndex { server: s.name.clone(), versions });
        }
        Arc::new(Topology::new(parts, index))
    }
}

fn gate(at: u32) -> Gate {
    let address = SocketAddr::from(([127, 0, 0, 1], 1000 + at as u16));
    Gate { host: format!("h{at}").into(), address }
}

fn layout_server(s: &SimServer) -> Server {
    Server { name: s.name.clone(), group: GroupIdx(s.gate), local: s.zone == 0, slots: 2 }
}

/// Held versions in the form of the messages.
pub fn versions(held: &[Held]) -> Vec<HeldVersion> {
    let version =
        |h: &Held| HeldVersion { version: h.version, shards: h.total, held: h.shards.clone() };
    held.iter().map(version).collect()
}

/// Content of a shard at a version; keys interleave between shards and some
/// are equal.
pub fn rows(version: u64, shard: Shard) -> Vec<Row> {
    let row = |i: u32| Row {
        key: format!("{:03}", (i * 37 + shard * 11) % 101).into(),
        value: serde_json::json!([version, shard, i]),
    };
    (0..1 + shard % 4).map(row).collect()
}

/// Reason that a server gives with a refusal of this kind.
pub fn refusal(kind: FaultKind) -> Option<Refusal> {
    match kind {
        FaultKind::Busy | FaultKind::Shed => Some(Refusal::Busy),
        FaultKind::NotOwner => Some(Refusal::NotOwner),
        _ => None,
    }
}
