//! Decisions of a gate: which groups it owns, and when each work item starts
//! on which connection. Performs no I/O and reads no clock.

pub mod external_load;
pub mod ownership;
pub mod queue;
pub mod scheduler;
pub mod types;
pub mod warmup;

mod pool;
mod server;
