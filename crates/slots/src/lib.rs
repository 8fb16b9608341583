//! Scheduling logic of a gate: which ownership groups it owns, and which work
//! item starts when and on which connection.
//!
//! This crate performs no I/O and reads no clock, so that simulations can
//! replay it.

pub mod external_load;
pub mod ownership;
pub mod queue;
pub mod scheduler;
pub mod types;
pub mod warmup;

mod pool;
mod server;
