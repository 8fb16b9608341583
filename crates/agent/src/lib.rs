//! The agent: keeps a host's configuration, membership and link to the
//! platform's store, and answers the host's own entry and gate.

mod actor;
pub mod agent;
mod forward;
mod heartbeat;
mod list;
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
