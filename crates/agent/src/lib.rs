//! The agent: holds a host's configuration and membership state, accesses the
//! platform's store, and serves the entry and the gate on the same host.

mod actor;
pub mod agent;
mod forward;
mod heartbeat;
mod member_list;
mod pull;
pub mod run;
mod server;
pub mod settings;
mod state;
mod store;
mod traffic;
mod view;
mod watch;

pub use crate::agent::Agent;
pub use crate::settings::Settings;
