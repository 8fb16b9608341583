//! Decisions of the data path of one host: which route a request takes, which
//! backend server gets it, when it is sent a second time, and how parts of
//! many shards become one answer.
//!
//! Nothing here performs I/O or reads a clock.

pub mod budget;
pub mod config;
pub mod crashes;
pub mod degradation;
pub mod fleet;
pub mod health;
pub mod latency;
pub mod merge;
pub mod peers;
pub mod round_robin;
pub mod warmup;
