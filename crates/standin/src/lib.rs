//! Simulated backend servers and a simulated platform for tests and
//! measurements. Faults of the real ones can be injected at run time. One
//! process simulates many servers, each on its own port.

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
