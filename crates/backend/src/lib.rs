//! Connections to backend servers: a narrow trait, and its adapter for the
//! HTTP/1.1 protocol of `chervil-standin`.

pub mod http;
pub mod link;

mod dial;
mod wire;
