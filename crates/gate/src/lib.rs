//! `chervil-gate`: the only process that talks to backend servers. It manages
//! the slots, connections and queues of the servers that its host owns.

pub mod app;
pub mod settings;

mod agent;
mod rights;
mod rpc;
mod state;
