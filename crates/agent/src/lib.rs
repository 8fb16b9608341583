//! The agent: keeps a host's configuration, membership and link to the
//! platform's store, and answers the host's own entry and gate.

pub mod agent;
mod beat;
mod core;
mod forward;
mod list;
mod outlook;
mod pull;
pub mod run;
mod server;
pub mod settings;
mod state;
mod store;
mod traffic;
mod watch;

pub use crate::agent::Agent;
pub use crate::settings::Settings;
