//! Planning of requests to backend servers, free of I/O.
//!
//! [`query::Query`] is the state machine of one scatter-gather query: it pins
//! an index version, chooses replicas, decides when to hedge, retry or restart,
//! and computes the coverage of the answer. [`run::Run`] is the state machine
//! of one non-idempotent request. [`policy::Policy`] is the state shared by all
//! requests for one service on one entry.
//!
//! Nothing here performs I/O or reads a clock: the caller passes events and the
//! current time in and executes the returned actions, so that runs can be
//! replayed in simulation.

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
