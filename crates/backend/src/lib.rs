//! Connections to backend servers: a narrow trait, and its adapter for the
//! HTTP/1.1 protocol of `chervil-standin`.

pub mod connection;
pub mod http;

mod dial;
mod wire;
