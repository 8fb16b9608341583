//! Load generator: measures running processes over loopback and compares them
//! with a baseline that asks each shard once.

pub mod answer;
pub mod balancer;
pub mod control;
pub mod phase;
pub mod policy;
pub mod report;
pub mod run;
pub mod scenario;
pub mod settings;
pub mod tally;
