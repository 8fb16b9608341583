//! Decisions for queries: which version to pin, which replica to ask, when to
//! hedge, retry or restart, and what the answer covers.
//!
//! Nothing here performs I/O or reads a clock. A [`query::Query`] turns events
//! into actions; a [`policy::Policy`] is what all queries of one service share.

pub mod budget;
pub mod latency;
pub mod limiter;
pub mod policy;
pub mod query;
pub mod recent;
pub mod replica;
pub mod run;
pub mod topology;
pub mod tunables;
