//! Load generator: measures real processes over loopback, against a policy
//! that asks each shard once.

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
