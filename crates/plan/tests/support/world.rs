//! Simulated backend servers: the versions that they hold and their faults.

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

/// Shards of one version held by one server.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Held {
    pub version: u64,
    /// Number of shards of the version over all servers.
    pub total: u32,
    pub shards: ShardSet,
}

/// Simulated backend server.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SimServer {
    pub name: Box<str>,
    #[serde(default)]
    pub zone: u32,
    /// Number of the gate that owns it.
    #[serde(default)]
    pub gate: u32,
    pub held: Vec<Held>,
    /// What the index reports for it; `None` if the index is up to date.
    pub reported: Option<Vec<Held>>,
}

/// Kind of a fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FaultKind {
    /// The reply is delayed by `delay_ms`.
    Slow,
    /// The connection is lost while the request runs.
    Lost,
    /// The server refuses the request as busy.
    Busy,
    /// The gate has no capacity left and refuses with a retry hint.
    Shed,
    /// The gate does not own the server.
    NotOwner,
    /// The server replies with an error.
    Failed,
    /// There is no reply.
    Silent,
    /// The reply arrives twice.
    Duplicated,
    /// The reply carries rows of another version.
    OtherVersion,
    /// The server marks its reply as partial.
    Partial,
    /// Replies to another query, to another entry process and to an unknown
    /// attempt arrive before the reply.
    Foreign,
    /// The connection to the gate is lost.
    GateLost,
}

/// Fault injected into the attempts that match.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Fault {
    pub kind: FaultKind,
    /// Name of the server; any server if absent.
    pub server: Option<Box<str>>,
    /// Shards; any shard if absent.
    pub shards: Option<ShardSet>,
    /// Remaining number of attempts to affect; all if absent.
    pub times: Option<u32>,
    /// Only for [`FaultKind::Slow`].
    #[serde(default)]
    pub delay_ms: u64,
}

/// Change of the versions that a server holds.
#[derive(Clone, Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Change {
    /// Time since the start of the simulation.
    pub at_ms: u64,
    pub server: Box<str>,
    pub held: Vec<Held>,
}

/// State of the simulated cluster.
#[derive(Clone, Debug, Default)]
pub struct World {
    pub servers: Vec<SimServer>,
    pub faults: Vec<Fault>,
    /// Changes that have not been applied.
    pub changes: Vec<Change>,
}

impl World {
    /// Returns the first fault that affects an attempt and counts it as used.
    pub fn take_fault(&mut self, server: &str, shard: Shard) -> Option<Fault> {
        let matches = |f: &&mut Fault| {
            f.times != Some(0)
                && f.server.as_deref().is_none_or(|s| s == server)
                && f.shards.as_ref().is_none_or(|s| s.contains(shard))
        };
        let fault = self.faults.iter_mut().find(matches)?;
        fault.times = fault.times.map(|t| t - 1);
        Some(fault.clone())
    }

    /// Applies the changes that are due at `elapsed` since the start.
    pub fn advance(&mut self, elapsed: Duration) {
        let is_due = |c: &Change| Duration::from_millis(c.at_ms) <= elapsed;
        let (due, later) = self.changes.drain(..).partition::<Vec<_>, _>(is_due);
        self.changes = later;
        for change in due {
            let server = self.servers.iter_mut().find(|s| s.name == change.server).unwrap();
            server.held = change.held;
            server.reported = None;
        }
    }

    /// Topology as an entry in zone 0 would build it.
    pub fn topology(&self) -> Arc<Topology> {
        let gates = self.servers.iter().map(|s| s.gate).max().unwrap_or(0) + 1;
        // The following gate may take over from the owner.
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

/// Converts held versions to the type used in messages.
pub fn versions(held: &[Held]) -> Vec<HeldVersion> {
    let version =
        |h: &Held| HeldVersion { version: h.version, shards: h.total, held: h.shards.clone() };
    held.iter().map(version).collect()
}

/// Rows of a shard at a version. The keys of different shards interleave, and
/// some are equal.
pub fn rows(version: u64, shard: Shard) -> Vec<Row> {
    let row = |i: u32| Row {
        key: format!("{:03}", (i * 37 + shard * 11) % 101).into(),
        value: serde_json::json!([version, shard, i]),
    };
    (0..1 + shard % 4).map(row).collect()
}

/// Reason of the refusal that a fault of this kind causes; `None` if it causes
/// none.
pub fn refusal(kind: FaultKind) -> Option<Refusal> {
    match kind {
        FaultKind::Busy | FaultKind::Shed => Some(Refusal::Busy),
        FaultKind::NotOwner => Some(Refusal::NotOwner),
        _ => None,
    }
}
