//! `chervil-gate`: the only process of a host that connects to backend servers. It
//! manages the slots, connections and queues of the servers that the host owns.

pub mod app;
pub mod settings;

mod actor;
mod agent;
mod fence;
mod rpc;
