//! Infrastructure shared by all chervillink processes: command line, settings,
//! logs, metrics, traces, admin endpoints and graceful shutdown.

pub mod admin;
pub mod cli;
pub mod logs;
pub mod metrics;
pub mod settings;
pub mod shutdown;
pub mod trace;
