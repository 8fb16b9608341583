//! Simulated backend servers and a simulated platform, with the faults that
//! the real ones have. Many servers run in one process, each on its own port.

pub mod cluster;
pub mod control;
pub mod faults;
pub mod http;
pub mod model;
pub mod platform;
pub mod request;
pub mod rows;
pub mod server;
pub mod settings;
pub mod sheet;
pub mod stats;
